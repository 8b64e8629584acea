"""Tests of the planned stop of an entry host with callers at work."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from unittest import mock

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core.groups import shutdown
from knapweedtally.core.groups import statements
from knapweedtally.entry import graceful_stop
from standins.line_platform import platform as platform_module
from standins.line_platform import targets
from tests.entry import harness
from tests.entry import test_process
from tests.entry import test_team_pools

GRACE_S = 3.0
# Id of the statements that hosts send themselves.
HOST_ID = "-"
PROMISES = ("ERROR BUSY", "ERROR ABORTED")


class Recorder(harness.Caller):
    """A caller that records how each of its statements ended.

    Attributes:
        ended: text, time, answer (empty without one) and state of each.
    """

    def __init__(self, port: int) -> None:
        super().__init__(port)
        self.ended: list[tuple[str, float, list[str], str]] = []
        self.closed_s = 0.0

    async def record(self, text: str) -> bool:
        """Run a statement; return whether an answer came."""
        sent_s = time.monotonic()
        try:
            answer = await self.run(text)
        except (OSError, asyncio.IncompleteReadError):
            answer, self.closed_s = [], time.monotonic()
        self.ended.append((text, sent_s, answer, self.state))
        return bool(answer)

    async def work(self, *texts: str) -> None:
        """Repeat statements until the connection ends."""
        while True:
            for text in texts:
                if not await self.record(text):
                    return


@contextlib.asynccontextmanager
async def slow_statements(
    delay_s: Callable[[str], float],
) -> AsyncIterator[set[str]]:
    """Let targets take time, and yield the ids that they have received."""
    received: set[str] = set()
    original = targets.Connection._serve_statement

    async def serve(
        connection: targets.Connection, id_: str, text: str
    ) -> bool:
        received.add(id_)
        if id_ != HOST_ID:
            await asyncio.sleep(delay_s(text))
        return await original(connection, id_, text)

    with mock.patch.object(targets.Connection, "_serve_statement", serve):
        yield received


async def stop(entry: harness.EntryHost) -> float:
    """Stop a host as its process does, and return how long it took."""
    assert entry._server is not None
    started_s = time.monotonic()
    await graceful_stop.GracefulStop(
        entry.host, entry._server, GRACE_S, entry.host.log
    ).run()
    return time.monotonic() - started_s


class PhaseTest(testtools.TestCase):
    @hypothesis.given(st.floats(0.0, 100.0), st.floats(0.5, 60.0))
    def test_phases_follow_each_other(self, elapsed: float, grace: float):
        phase = shutdown.find_phase(elapsed, grace)
        self.assertLessEqual(phase, shutdown.find_phase(elapsed + 1.0, grace))
        for kind in statements.Kind:
            # What ends a transaction or needs no target is never refused.
            if kind in (statements.Kind.COMMIT, statements.Kind.SET):
                self.assertFalse(shutdown.is_refused(phase, kind))

    # Guards against callers that all return at one moment.
    def test_sessions_leave_evenly_and_in_time(self) -> None:
        counts = [
            shutdown.count_leaving(1000, elapsed_ms / 1000, 6.0)
            for elapsed_ms in range(0, 6000, 50)
        ]
        steps = [b - a for a, b in zip(counts, counts[1:], strict=False)]
        self.assertEqual(0, counts[47])
        self.assertEqual(1000, counts[60])
        self.assertLess(max(steps), 100)


class BusySessionsTest(testtools.TestCase):
    """Callers whose sessions are hardly ever idle."""

    async def stop_while(
        self,
        system: harness.System,
        callers: list[Recorder],
        *texts: str,
    ) -> tuple[float, float]:
        """Stop a host beside callers at work; return when, and how long."""
        tasks = []
        for caller in callers:
            await caller.start("g-primary")
            tasks.append(asyncio.create_task(caller.work(*texts)))
        await asyncio.sleep(0.3)
        stopped_s = time.monotonic()
        took_s = await stop(system.entry_hosts[0])
        await asyncio.wait_for(asyncio.gather(*tasks), 5.0)
        return stopped_s, took_s

    # Guards against statements that are at a target when the process exits.
    @harness.with_system()
    async def test_each_session_ends_with_an_answer(
        self, system: harness.System
    ) -> None:
        port = system.entry_hosts[0].port
        callers = [Recorder(port) for _ in range(16)]
        async with slow_statements(lambda text: 0.02):
            stopped_s, took_s = await self.stop_while(
                system, callers, "READ item", "WRITE item 1"
            )
        self.assertLess(took_s, 0.7 * GRACE_S)
        ends = []
        for caller in callers:
            *answered, (_, sent_s, answer, state) = caller.ended
            self.assertEqual(([], "I"), (answer, state))
            self.assertTrue(all(a[0] != "" for _, _, a, _ in answered))
            for _, _, lines, _ in answered:
                self.assertTrue(lines[-1].startswith("DONE "), lines)
            ends.append(caller.closed_s - stopped_s)
        self.assertGreater(min(ends), 0.39 * GRACE_S)
        self.assertGreater(max(ends) - min(ends), 0.05 * GRACE_S)

    @harness.with_system()
    async def test_callers_that_await_no_answers_get_all_of_them(
        self, system: harness.System
    ) -> None:
        caller = Recorder(system.entry_hosts[0].port)
        await caller.start("g-primary")
        async with slow_statements(lambda text: 0.01):
            count = 400
            for _ in range(count):
                await caller.send("WRITE item 1")
            await stop(system.entry_hosts[0])
            codes = []
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    codes.append((await caller.receive())[-1])
        done = sum(code.startswith("DONE ") for code in codes)
        refused = sum(code.startswith("ERROR BUSY") for code in codes)
        # None of those that were read is without an answer.
        self.assertEqual(len(codes), done + refused)
        self.assertGreater(done, 0)
        written = len(system.platform.groups["g"].get_primary().log)
        self.assertEqual(done, written)

    @harness.with_system()
    async def test_transactions_keep_half_of_the_grace_time(
        self, system: harness.System
    ) -> None:
        port = system.entry_hosts[0].port
        inside, outside = Recorder(port), Recorder(port)
        for caller in (inside, outside):
            await caller.start("g-primary")
            await caller.run("BEGIN")
            await caller.run("WRITE item 1")
        stopped_s = time.monotonic()
        task = asyncio.create_task(stop(system.entry_hosts[0]))
        await asyncio.sleep(0.45 * GRACE_S)
        self.assertTrue(await inside.record("COMMIT"))
        self.assertTrue(inside.ended[0][2][0].startswith("DONE "))
        self.assertTrue(await inside.wait_for_close())
        await asyncio.sleep(stopped_s + 0.55 * GRACE_S - time.monotonic())
        self.assertTrue(await outside.record("COMMIT"))
        self.assertTrue(outside.ended[0][2][0].startswith("ERROR ABORTED"))
        self.assertEqual("I", outside.state)
        self.assertTrue(await outside.wait_for_close())
        await task
        self.assertEqual(1, len(system.platform.groups["g"].get_primary().log))

    @harness.with_system()
    async def test_transactions_without_pause_end_in_time(
        self, system: harness.System
    ) -> None:
        callers = [Recorder(system.entry_hosts[0].port) for _ in range(4)]
        async with slow_statements(lambda text: 0.02):
            await self.stop_while(
                system, callers, "BEGIN", *["WRITE item 1"] * 5, "COMMIT"
            )
        log = system.platform.groups["g"].get_primary().log
        committed = 0
        for caller in callers:
            *answered, (_, _, answer, state) = caller.ended
            self.assertEqual(([], "I"), (answer, state))
            for text, _, lines, _ in answered:
                is_done = lines[-1].startswith("DONE ")
                committed += is_done and text == "COMMIT"
                # A statement behind a refused begin has no transaction.
                known = (*PROMISES, "ERROR MALFORMED", "DONE ")
                self.assertTrue(lines[-1].startswith(known), lines)
        lone = sum(len(entry.writes) == 1 for entry in log)
        self.assertEqual(committed + lone, len(log))

    # Guards against a caller that spends all its attempts on this host.
    @harness.with_system()
    async def test_refused_begin_ends_its_session(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        caller = harness.Caller(entry.port)
        await caller.start("g-primary")
        entry.host.phase = shutdown.Phase.LEAVING
        answer = await caller.run("WRITE item 1")
        self.assertTrue(answer[0].startswith("DONE "), answer)
        answer = await caller.run("BEGIN")
        self.assertTrue(answer[0].startswith("ERROR BUSY"), answer)
        self.assertEqual("I", caller.state)
        self.assertTrue(await caller.wait_for_close())

    @harness.with_system()
    async def test_prepared_names_are_served_to_the_end(
        self, system: harness.System
    ) -> None:
        callers = [Recorder(system.entry_hosts[0].port) for _ in range(4)]
        await self.stop_while(
            system, callers, "SET a b", "PREPARE p WRITE item", "EXEC p item 1"
        )
        for caller in callers:
            for _, _, lines, state in caller.ended[:-1]:
                self.assertTrue(lines[-1].startswith("DONE "), lines)
                self.assertEqual("I", state)


class WaitingTest(testtools.TestCase):
    """Statements that take long, or wait for a connection or a primary."""

    @harness.with_system()
    async def test_slow_statement_is_awaited(
        self, system: harness.System
    ) -> None:
        caller = Recorder(system.entry_hosts[0].port)
        await caller.start("g-primary")
        async with slow_statements(lambda text: 0.7 * GRACE_S):
            running = asyncio.create_task(caller.record("WRITE item 1"))
            await asyncio.sleep(0.1)
            await stop(system.entry_hosts[0])
            await running
        self.assertTrue(caller.ended[0][2][0].startswith("DONE "))
        self.assertTrue(await caller.wait_for_close())

    @harness.with_system()
    async def test_statements_that_run_at_the_end_are_answered_in_doubt(
        self, system: harness.System
    ) -> None:
        port = system.entry_hosts[0].port
        expected = {
            "WRITE item 1": "ERROR INDOUBT",
            "READ item": "ERROR BUSY",
            "COMMIT": "ERROR INDOUBT",
        }
        callers = {text: Recorder(port) for text in expected}
        for text, caller in callers.items():
            await caller.start("g-primary")
            if text == "COMMIT":
                await caller.run("BEGIN")
                await caller.run("WRITE item 2")
        async with slow_statements(lambda text: 2 * GRACE_S):
            running = [
                asyncio.create_task(caller.record(text))
                for text, caller in callers.items()
            ]
            await asyncio.sleep(0.1)
            took_s = await stop(system.entry_hosts[0])
            await asyncio.gather(*running)
        self.assertLess(took_s, GRACE_S)
        self.assertGreater(took_s, GRACE_S * 5 / 6)
        for text, caller in callers.items():
            answer = caller.ended[-1][2]
            self.assertTrue(answer[0].startswith(expected[text]), answer)
            self.assertEqual("I", caller.state)

    @harness.with_system(max_connections=3)
    async def test_queued_statements_are_refused_and_not_run(
        self, system: harness.System
    ) -> None:
        callers = [Recorder(system.entry_hosts[0].port) for _ in range(12)]
        for caller in callers:
            await caller.start("g-primary")
        async with slow_statements(
            lambda text: 0.65 * GRACE_S if text.startswith("WRITE") else 0.0
        ):
            running = [
                asyncio.create_task(caller.record(f"WRITE item {number}"))
                for number, caller in enumerate(callers)
            ]
            await asyncio.sleep(0.1)
            await stop(system.entry_hosts[0])
            await asyncio.gather(*running)
        answers = [caller.ended[0][2][0] for caller in callers]
        done = sum(a.startswith("DONE ") for a in answers)
        refused = sum(a.startswith("ERROR BUSY") for a in answers)
        self.assertEqual(len(callers), done + refused, answers)
        self.assertGreater(refused, 0)
        log = system.platform.groups["g"].get_primary().log
        self.assertEqual(done, len(log))

    @harness.with_system()
    async def test_statements_without_a_primary_are_refused(
        self, system: harness.System
    ) -> None:
        entry = system.entry_hosts[0]
        caller = Recorder(entry.port)
        await caller.start("g-primary")
        for target in system.platform.groups["g"].targets.values():
            target.is_unresponsive = True
        await harness.wait_for(
            lambda: (
                not entry.host.routers["g"].observer.is_primary_confirmed(
                    time.monotonic()
                )
            )
        )
        running = asyncio.create_task(caller.record("WRITE item 1"))
        await stop(entry)
        await running
        self.assertTrue(caller.ended[0][2][0].startswith("ERROR BUSY"))

    @harness.with_system()
    async def test_caller_that_has_just_connected_is_told(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        task = asyncio.create_task(stop(system.entry_hosts[0]))
        await asyncio.sleep(0.3 * GRACE_S)
        caller._reader, caller._writer = await asyncio.open_connection(
            "127.0.0.1", caller._port
        )
        await asyncio.sleep(0.22 * GRACE_S)
        await caller.send_raw(b"START g-primary tests\r\n")
        self.assertTrue((await caller.read_line()).startswith("ERROR BUSY"))
        self.assertTrue(await caller.wait_for_close())
        await task


class ProcessTest(testtools.TestCase):
    """A process that gets SIGTERM while its callers are at work."""

    # Guards against statements that are at a target when the process exits.
    def test_statements_that_were_passed_on_are_answered(self) -> None:
        async def scenario(
            platform: platform_module.Platform, started: test_process.Process
        ) -> None:
            callers = [Recorder(started.callers_port) for _ in range(16)]
            async with slow_statements(lambda text: 0.25) as received:
                for number, caller in enumerate(callers):
                    await caller.start("g-primary")
                    caller.prefix = f"c{number}-"
                tasks = [
                    asyncio.create_task(caller.work("WRITE item 1"))
                    for caller in callers
                ]
                await asyncio.sleep(0.5)
                started.process.send_signal(signal.SIGTERM)
                await started.process.wait()
                await asyncio.wait_for(asyncio.gather(*tasks), 5.0)
            self.assertEqual(0, started.process.returncode)
            cut_off = [c.last_id for c in callers if c.last_id in received]
            self.assertEqual([], cut_off)

        test_process.run_scenario(scenario)


class RelayTest(testtools.TestCase):
    """A host that stops while it relays statements of other hosts."""

    async def stop_holders(
        self, system: harness.System, holders: list[harness.EntryHost]
    ) -> list[Recorder]:
        """Stop holders beside callers of another host that work."""
        other = test_team_pools.rank_entries(system, "t0")[-1]
        callers = [Recorder(other.port) for _ in range(6)]
        for caller in callers:
            await caller.start("g-primary", "key-t0")
        tasks = [
            asyncio.create_task(caller.work("WRITE t0-item 1", "READ t0-item"))
            for caller in callers[:4]
        ]
        tasks += [
            asyncio.create_task(
                caller.work("BEGIN", "WRITE t0-item 2", "COMMIT")
            )
            for caller in callers[4:]
        ]
        async with slow_statements(lambda text: 0.01):
            await asyncio.sleep(0.3)
            await asyncio.gather(*map(stop, holders))
            await asyncio.sleep(0.3)
            for caller in callers:
                caller.close()
            await asyncio.gather(*tasks)
        return callers

    def assert_served(
        self, system: harness.System, callers: list[Recorder]
    ) -> None:
        """Check that no statement ended in doubt, and that most were done."""
        answers = [
            lines[-1]
            for caller in callers
            for _, _, lines, _ in caller.ended
            if lines
        ]
        done = sum(answer.startswith("DONE ") for answer in answers)
        known = (*PROMISES, "ERROR MALFORMED", "DONE ")
        self.assertEqual([], [a for a in answers if not a.startswith(known)])
        self.assertGreater(done, 0.95 * len(answers))

    @test_team_pools.with_teams()
    async def test_statements_of_another_host_end_without_doubt(
        self, system: harness.System
    ) -> None:
        holder = test_team_pools.rank_entries(system, "t0")[0]
        self.assert_served(system, await self.stop_holders(system, [holder]))

    @test_team_pools.with_teams()
    async def test_two_holders_that_stop_at_once(
        self, system: harness.System
    ) -> None:
        holders = test_team_pools.rank_entries(system, "t0")[:2]
        self.assert_served(system, await self.stop_holders(system, holders))


class Drawn(Recorder):
    """A caller that draws its statements, each write with a value of its own.

    Attributes:
        written: the answer to each write, or to the commit that follows it, by
            its value.
    """

    def __init__(self, port: int, name: str, rng: random.Random) -> None:
        super().__init__(port)
        self.prefix = f"{name}."
        self.written: dict[str, str] = {}
        self._rng = rng
        self._is_prepared = False

    async def use(self) -> None:
        """Use a session until its connection ends."""
        while await self.run_operation():
            await asyncio.sleep(self._rng.choice((0.0, 0.0, 0.05, 0.3)))

    async def run_operation(self) -> bool:
        """Run a statement or a transaction; return whether it was answered."""
        kind = self._rng.choice(("read", "write", "execute", "transaction"))
        if kind == "read":
            return await self.record("READ item")
        if kind == "execute" and not self._is_prepared:
            if not await self.record("PREPARE w WRITE item"):
                return False
            self._is_prepared = True
        if kind != "transaction":
            return await self.write("EXEC w" if kind == "execute" else "WRITE")
        if not await self.record("BEGIN"):
            return False
        if self.state != "T":
            return True
        values = []
        for _ in range(self._rng.randint(1, 3)):
            is_answered = await self.write("WRITE")
            values.append(self.last_id)
            # What becomes of them is told by the answer to the commit.
            self.written.update(dict.fromkeys(values, ""))
            if not is_answered:
                return False
            await asyncio.sleep(self._rng.choice((0.0, 0.1, 0.4)))
        # Rolled back, they aren't kept, whatever they were answered.
        ending = "COMMIT" if self.state == "T" else "ROLLBACK"
        is_answered = await self.record(ending)
        answer = self.ended[-1][2][-1] if is_answered else ""
        if ending == "ROLLBACK":
            answer = PROMISES[1]
        self.written.update(dict.fromkeys(values, answer))
        return is_answered

    async def write(self, verb: str) -> bool:
        """Write the id of the statement as its value."""
        value = f"{self.prefix}{self._ids + 1}"
        is_answered = await self.record(f"{verb} item {value}")
        self.written[value] = self.ended[-1][2][-1] if is_answered else ""
        return is_answered


async def play(system: harness.System, seed: int) -> list[str]:
    """Stop a host beside drawn callers, and return what was wrong."""
    rng = random.Random(seed)
    entry = system.entry_hosts[0]
    longest_s = rng.choice((0.005, 0.05, 0.3, 0.9))
    callers = [
        Drawn(entry.port, f"s{seed}c{number}", random.Random(rng.random()))
        for number in range(rng.choice((2, 8, 24)))
    ]
    async with slow_statements(
        lambda text: rng.uniform(0.0, longest_s)
    ) as received:
        for caller in callers:
            await caller.start("g-primary")
        tasks = [asyncio.create_task(caller.use()) for caller in callers]
        await asyncio.sleep(rng.uniform(0.2, 1.0))
        await stop(entry)
        await asyncio.wait_for(asyncio.gather(*tasks), 5.0)
    wrong = [
        f"{caller.last_id} was passed on and has no answer"
        for caller in callers
        if not caller.ended[-1][2] and caller.last_id in received
    ]
    log = system.platform.groups["g"].get_primary().read_all("item")
    for caller in callers:
        for value, answer in caller.written.items():
            if answer.startswith(PROMISES) and value in log:
                wrong.append(f"{value} is kept: {answer}")
            if answer.startswith("DONE ") and log.count(value) != 1:
                wrong.append(f"{value} is kept {log.count(value)} times")
    return wrong


class DrawnTest(testtools.TestCase):
    """Drawn callers, statements and times of targets."""

    @harness.with_system(max_connections=6)
    async def test_what_is_passed_on_is_answered_with_the_truth(
        self, system: harness.System
    ) -> None:
        self.assertEqual([], await play(system, 1))
