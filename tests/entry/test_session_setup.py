"""Tests of the setup of callers' sessions on shared connections.

A target that refuses a setup statement runs what was sent behind it: with the
values of another caller, or by a prepared name that it doesn't know.
"""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import line_connections
from standins.line_platform import targets
from tests.entry import harness
from tests.entry import test_connections
from tests.entry import test_relays
from tests.entry import test_team_pools

# More than the connections that a target accepts.
CALLERS = 6
ROUNDS = 2

# Answers that promise that nothing was kept.
PROMISES = ("ERROR BUSY", "ERROR ABORTED", "ERROR READONLY")

_OddAnswer = targets.OddAnswer


def list_values(caller: str) -> tuple[str, str]:
    """Return the names of a caller's session values, one of its own."""
    return "caller", f"option{caller[-1]}"


class Session:
    """A caller with session values and prepared statements of its own."""

    def __init__(self, entry: harness.EntryHost, name: str) -> None:
        self.caller = harness.Caller(entry.port)
        self.name = name
        self.told: dict[str, list[str]] = {}
        self._number = 0

    async def start(self, key: str = "tests") -> None:
        await self.caller.start("g-primary", key)
        for value in list_values(self.name):
            await self.caller.run(f"SET {value} {self.name}")
        await self.caller.run(f"PREPARE s1 WRITE of-{self.name}")

    async def run(self, text: str) -> str:
        """Run a statement; record what the caller is told."""
        self._number += 1
        id_ = f"{self.name}.{self._number}"
        await self.caller.send_raw(f"QUERY {id_} {text}\r\n".encode())
        answer = await self.caller.receive()
        self.told[id_] = answer
        return answer[-1]

    async def run_round(self, number: int) -> None:
        """Run single statements and a transaction."""
        item = f"{self.name}-item"
        await self.run(f"WRITE {item} w{number}")
        await self.run(f"EXEC s1 {item} e{number}")
        await self.run(f"READ {item}")
        await self.run("BEGIN")
        await self.run(f"EXEC s1 {item} t{number}")
        if self.caller.state == "T":
            await self.run(f"WRITE {item} u{number}")
        await self.run("COMMIT" if self.caller.state == "T" else "ROLLBACK")


def find_wrong_executions(
    system: harness.System, sessions: list[Session]
) -> list[targets.Execution]:
    """Return the statements that ran with another session than the caller's.

    The begin of a transaction needs no session.
    """
    by_name = {session.name: session for session in sessions}
    wrong = []
    for target in system.platform.groups["g"].targets.values():
        for execution in target.executions:
            session = by_name.get(execution.id.partition(".")[0])
            verb = execution.text.partition(" ")[0]
            if session is None or verb in ("BEGIN", "ROLLBACK"):
                continue
            values = dict.fromkeys(list_values(session.name), session.name)
            definition = f"WRITE of-{session.name}" if verb == "EXEC" else ""
            if (execution.values, execution.definition) != (values, definition):
                wrong.append(execution)
    return wrong


def find_broken_promises(
    system: harness.System, sessions: list[Session]
) -> list[str]:
    """Return the committed writes that a caller was told had not run."""
    group = system.platform.groups["g"]
    kept = {
        f"{name} {data}"
        for entry in group.get_primary().log
        for name, data in entry.writes
    }
    texts = {
        execution.id: execution.text
        for target in group.targets.values()
        for execution in target.executions
    }
    return [
        f"{id_} {texts[id_]}: {answer}"
        for session in sessions
        for id_, answer in session.told.items()
        if answer[-1].startswith(PROMISES)
        and any(texts.get(id_, "").endswith(f" {write}") for write in kept)
    ]


class OddAnswerTest(testtools.TestCase):
    """Each odd answer to each setup statement, for each kind of statement."""

    async def check(
        self, system: harness.System, verb: str, odd: targets.OddAnswer
    ) -> None:
        group = system.platform.groups["g"]
        sessions = [
            Session(system.entry_hosts[0], f"{odd.name}{verb}-{number}")
            for number in range(CALLERS)
        ]
        for session in sessions:
            await session.start()
        # Answers that were lost before have used all connections for a while.
        # Without evidence about the primary nothing is sent to a target.
        observer = system.entry_hosts[0].host.routers["g"].observer
        await harness.wait_for(
            lambda: observer.is_primary_confirmed(clock.get_time_s())
        )
        is_met = False
        for number in range(ROUNDS):
            # A primary that doesn't answer may be replaced.
            for target in group.targets.values():
                target.odd_answers[verb] = [odd] * 2
            await asyncio.gather(
                *(session.run_round(number) for session in sessions)
            )
            is_met |= any(
                len(target.odd_answers[verb]) < 2
                for target in group.targets.values()
            )
        self.assertTrue(is_met)
        self.assertEqual([], find_wrong_executions(system, sessions))
        self.assertEqual([], find_broken_promises(system, sessions))
        told = [a[-1] for s in sessions for a in s.told.values()]
        self.assertTrue(any(t.startswith("DONE g-") for t in told))

    async def check_all(self, system: harness.System, verb: str) -> None:
        # Its length isn't under test.
        with mock.patch.object(connections, "SETUP_TIMEOUT_S", 0.1):
            for odd in targets.OddAnswer:
                await self.check(system, verb, odd)

    @harness.with_system(max_connections=4)
    async def test_set(self, system: harness.System) -> None:
        await self.check_all(system, "SET")

    @harness.with_system(max_connections=4)
    async def test_reset(self, system: harness.System) -> None:
        await self.check_all(system, "RESET")

    @harness.with_system(max_connections=4)
    async def test_prepare(self, system: harness.System) -> None:
        await self.check_all(system, "PREPARE")

    @harness.with_system(max_connections=4)
    async def test_begin(self, system: harness.System) -> None:
        await self.check_all(system, "BEGIN")


class RelayTest(testtools.TestCase):
    """The same behind a relay host, and with connections of teams."""

    async def check(
        self,
        system: harness.System,
        entry: harness.EntryHost,
        teams: tuple[str, ...] = (),
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        sessions = []
        for number in range(CALLERS):
            team = teams[number % len(teams)] if teams else ""
            name = f"{team or 'c'}-{entry.host.name}-{number}"
            sessions.append(Session(entry, name))
            await sessions[-1].start(f"key-{team}" if team else "tests")
        for number in range(ROUNDS):
            for verb in ("SET", "RESET", "PREPARE"):
                primary.odd_answers[verb] = list(targets.OddAnswer)
            await asyncio.gather(
                *(session.run_round(number) for session in sessions)
            )
        self.assertEqual([], find_wrong_executions(system, sessions))
        self.assertEqual([], find_broken_promises(system, sessions))

    @test_relays.with_connected_hosts()
    async def test_relayed_statements(self, system: harness.System) -> None:
        primary = system.platform.groups["g"].get_primary()
        entry = test_relays.find_relayed_host(system.entry_hosts, primary.id)
        await self.check(system, entry)
        self.assertEqual(1, primary.term)

    @test_team_pools.with_teams()
    async def test_statements_of_teams(self, system: harness.System) -> None:
        for entry in test_team_pools.rank_entries(system, "t0")[::2]:
            await self.check(system, entry, ("t0", "t1"))
        for target in system.platform.groups["g"].targets.values():
            for user, text in target.user_statements:
                if "-item" in text:
                    self.assertIn(f" {user}-", text)


class ConnectionTest(testtools.TestCase):
    """What is sent on a connection, and when."""

    def setUp(self) -> None:
        super().setUp()
        self.outcomes: list[line_connections.Outcome] = []
        self.transport = mock.Mock(spec=asyncio.Transport)

    def play(self, *events: str) -> list[str]:
        """Play answers of the target and calls; return what was sent.

        Args:
            events: ``run``, ``begin`` or ``execute``, else an answer.
        """
        prepared = {b"s": b"READ q"} if "execute" in events else {}
        session = mock.Mock(values={b"v": b"1"}, prepared=prepared, team="")
        kinds = statements.Kind

        async def run() -> None:
            owner = test_connections.FakeOwner()
            connection = connections.Connection(owner, "g", "tests", "i-1")
            connection.connection_made(self.transport)
            connection.data_received(b"READY I 1.0\r\n")
            read = statements.Statement(b"q1", kinds.READ, b"READ a")
            execution = statements.Statement(
                b"q1", kinds.EXECUTE, b"EXEC s a", b"s", b"a"
            )
            chosen = {"run": read, "execute": execution}
            for event in events:
                if event == "begin":
                    connection.begin(
                        session, b"b1", b"BEGIN", self._add, 1.0, 0, read
                    )
                elif event in chosen:
                    connection.run(session, chosen[event], None, self._add, 1.0)
                elif event == "lost":
                    connection.connection_lost(None)
                else:
                    connection.data_received(f"{event}\r\n".encode())

        asyncio.run(run())
        sent = b"".join(c.args[0] for c in self.transport.write.mock_calls)
        return sent.decode().split("\r\n")[1:-1]

    def _add(self, outcome: line_connections.Outcome) -> None:
        self.outcomes.append(outcome)

    def test_statement_waits_for_all_answers_to_its_setup(self) -> None:
        setup = ["QUERY - SET v 1", "QUERY - PREPARE k0 READ q"]
        self.assertEqual(setup, self.play("execute"))
        self.transport.reset_mock()
        done = "DONE -\r\nREADY I 1.0"
        self.assertEqual(
            [*setup, "QUERY q1 EXEC k0 a"], self.play("execute", done, done)
        )

    def test_refused_setup_is_reported_as_not_sent(self) -> None:
        sent = self.play("run", "ERROR BUSY full\r\nREADY I 1.0")
        self.assertEqual(["QUERY - SET v 1"], sent)
        (outcome,) = self.outcomes
        self.assertFalse(outcome.is_sent)
        assert outcome.answer is not None
        self.assertIs(statements.Code.BUSY, outcome.answer.code)

    def test_failed_setup_is_a_refusal_of_the_statement(self) -> None:
        # The setup may have run; the statement has not.
        self.play("run", "ERROR FAIL odd\r\nREADY I 1.0")
        (outcome,) = self.outcomes
        assert outcome.answer is not None
        self.assertEqual(
            (False, statements.Code.BUSY),
            (outcome.is_sent, outcome.answer.code),
        )

    def test_connection_lost_during_the_setup_has_sent_nothing(self) -> None:
        self.play("run", "lost")
        (outcome,) = self.outcomes
        self.assertEqual((None, False), (outcome.answer, outcome.is_sent))

    def test_connection_lost_after_the_setup_has_sent_the_statement(
        self,
    ) -> None:
        self.play("run", "DONE -\r\nREADY I 1.0", "lost")
        (outcome,) = self.outcomes
        self.assertEqual((None, True), (outcome.answer, outcome.is_sent))

    def test_setup_goes_with_the_begin_and_is_awaited(self) -> None:
        done = "DONE -\r\nREADY T 1.0"
        sent = self.play("begin", done, "run")
        self.assertEqual(["QUERY b1 BEGIN", "QUERY - SET v 1"], sent)
        self.transport.reset_mock()
        sent = self.play("begin", done, "run", done)
        self.assertEqual("QUERY q1 READ a", sent[-1])

    def test_statement_does_not_run_outside_of_its_transaction(self) -> None:
        # The answer to the begin was lost, and that to the setup was taken for
        # it.
        idle = "DONE -\r\nREADY I 1.0"
        sent = self.play("begin", idle, "run", idle)
        self.assertNotIn("QUERY q1 READ a", sent)
        self.assertFalse(self.outcomes[-1].is_sent)
