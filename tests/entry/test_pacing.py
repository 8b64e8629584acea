"""Tests of the pacing of an entry host's statements to targets."""

import asyncio
import sys
from unittest import mock

import testtools

from knapweedtally.core.groups import model
from knapweedtally.core.groups import pacing as core_pacing
from knapweedtally.core.groups import statements
from knapweedtally.entry import process as process_module
from knapweedtally.entry.common import clock
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pacing
from knapweedtally.entry.statements import placement_reports
from knapweedtally.management import exit_codes
from knapweedtally.platform import settings
from knapweedtally.utils import http_server
from tests.entry import harness

_Phase = core_pacing.Phase


class FakePeers:
    """Deliver each message at once to the hosts of one test."""

    def __init__(self, network, host):
        self.network, self.host = network, host
        self.sent = []

    def add_listener(self, kind, listener):
        self.network[self.host] = listener

    def send_extension(self, host, kind, payload):
        self.sent.append((host, kind, payload))
        if host in self.network:
            self.network[host](self.host, payload, clock.get_time_s())
        return True


def make_outcome(sent_s, code=None, is_timeout=False, is_answered=True):
    answer = statements.Answer(
        b"", None, code, b"", statements.SessionState.IDLE, b"-"
    )
    return line_connections.Outcome(
        answer if is_answered else None, sent_s, is_timeout
    )


class PacerTestCase(testtools.TestCase):
    """Two hosts that connect to one target, in virtual time."""

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        patcher = mock.patch.object(clock, "get_time_s", lambda: self.now_s)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.network = {}
        self.entry = mock.Mock(
            spec=model.TargetEntry, target="i-1", started_ms=7, slots=4
        )
        self.hosts = [self.add_host(name) for name in ("a", "b")]

    def add_host(self, name, is_new=False):
        log = mock.Mock()
        peers = FakePeers(self.network, name)
        pacers = pacing.Pacers(name, peers, log)
        pacer = pacers.add("i-1", 7, 4, is_new)
        pacers.set_holders("i-1", {"a", "b", "c"})
        return mock.Mock(peers=peers, pacers=pacers, pacer=pacer, log=log)

    def tick(self, *hosts, step_s=0.05):
        self.now_s += step_s
        for host in hosts or self.hosts:
            host.pacers.check_suspension(self.now_s)
            host.pacer.tick(self.now_s, self.entry, False)
            host.pacers.publish(self.now_s)

    def run_statement(self, host, code=None, text=b"READ x", **outcome):
        on_end = host.pacer.measure(b"q1", text, None)
        sent_s, self.now_s = self.now_s, self.now_s + 0.01
        if on_end is not None:
            on_end(make_outcome(sent_s, code, **outcome))


class PacerTests(PacerTestCase):
    """How outcomes are counted, shared and logged."""

    def test_only_statements_that_take_a_slot_are_counted(self):
        pacer = self.hosts[0].pacer
        for id_, text in (
            (b"-", b"STATUS"),
            (b"q1", b"ROLLBACK"),
            (b"q1", b"SINCE 1.2 ROLLBACK"),
        ):
            self.assertIsNone(pacer.measure(id_, text, None))
        self.assertEqual(0, pacer.pace.in_flight)
        pacer.measure(b"q1", b"COMMIT", None)
        self.assertEqual(1, pacer.pace.in_flight)

    def test_begin_counts_as_in_flight_but_its_time_does_not(self):
        # Its answer takes no slot, so a slow target would look fast; but many
        # begins at once would bring as many statements.
        pacer = self.hosts[0].pacer
        for text in (b"BEGIN", b"SINCE 1.2 BEGIN READ"):
            on_end = pacer.measure(b"q1", text, None)
            self.assertEqual(1, pacer.pace.in_flight)
            on_end(make_outcome(self.now_s - 0.01))
            self.assertEqual(0, pacer.pace.in_flight)
        self.assertEqual((0.0, 0), (pacer.pace.usual_s, pacer.pace.usual_count))

    def test_outcomes_are_classified(self):
        # A caller's mistake must not slow a target down.
        for result, outcome in (
            (core_pacing.Result.OK, make_outcome(0)),
            (
                core_pacing.Result.REFUSED,
                make_outcome(0, statements.Code.BUSY),
            ),
            (
                core_pacing.Result.FAILED,
                make_outcome(0, statements.Code.FAILED),
            ),
            (
                core_pacing.Result.NEUTRAL,
                make_outcome(0, statements.Code.MALFORMED),
            ),
            (
                core_pacing.Result.NEUTRAL,
                make_outcome(0, statements.Code.BEHIND),
            ),
            (
                core_pacing.Result.TIMED_OUT,
                make_outcome(0, is_timeout=True, is_answered=False),
            ),
            (core_pacing.Result.LOST, make_outcome(0, is_answered=False)),
        ):
            self.assertIs(result, pacing.classify(outcome))

    def test_nothing_is_sent_on_a_quiet_day(self):
        for _ in range(100):
            for host in self.hosts:
                self.run_statement(host)
            self.tick()
        for host in self.hosts:
            self.assertEqual([], host.peers.sent)
            self.assertEqual([], host.log.mock_calls)

    def test_messages_and_log_lines_are_bounded(self):
        # A target whose state changes all the time must not cause a flood.
        host = self.hosts[0]
        for number in range(200):
            code = statements.Code.BUSY if number % 5 < 2 else None
            self.run_statement(host, code)
            self.tick(host, step_s=0.04)
        per_receiver = len(host.peers.sent) / 2
        self.assertThat(per_receiver, testtools.matchers.LessThan(42))
        self.assertNotEqual(0, per_receiver)
        self.assertLessEqual(len(host.log.mock_calls), 21)

    def test_holders_share_a_slow_start_and_end_it(self):
        for host in self.hosts:
            host.pacer.handle_recovered()
        held = [h.pacer.measure(b"q", b"READ x", None) for h in self.hosts]
        self.tick()
        self.assertEqual([1, 1], [h.pacer.pace.share for h in self.hosts])
        self.assertEqual(1, self.hosts[0].pacer.pace.in_flight)
        for on_end in held:
            on_end(make_outcome(self.now_s - 0.01))
        for _ in range(100):
            for host in self.hosts:
                self.run_statement(host)
            self.tick()
        for host in self.hosts:
            self.assertIs(_Phase.STEADY, host.pacer.pace.phase)
            self.assertGreaterEqual(host.pacer.limit, 4)

    def test_restarted_holder_does_not_begin_the_ramp_anew(self):
        # Neither its own nor the other's limit falls in front of a healthy
        # target.
        for _ in range(100):
            self.run_statement(self.hosts[1])
            self.tick()
        restarted = self.add_host("a")
        for _ in range(20):
            self.run_statement(restarted)
            self.run_statement(self.hosts[1])
            self.tick(restarted, self.hosts[1])
            self.assertEqual(4, restarted.pacer.pace.share)
            self.assertEqual(4, self.hosts[1].pacer.pace.share)

    def test_new_holder_takes_over_the_slow_start(self):
        self.hosts[0].pacer.handle_recovered()
        new = self.add_host("b")
        self.tick(self.hosts[0])
        self.run_statement(self.hosts[0], statements.Code.BUSY)
        self.tick(self.hosts[0], new, step_s=0.3)
        self.assertLess(new.pacer.limit, 4)

    def test_cut_off_host_does_not_slow_down_a_healthy_target(self):
        cut_off, other = self.hosts
        for _ in range(100):
            self.run_statement(other)
            self.tick()
        cut_off.pacer.handle_recovered()
        self.run_statement(cut_off)
        for _ in range(10):
            self.run_statement(other)
            self.tick()
            self.assertEqual(4, other.pacer.limit)
        self.assertIs(_Phase.STEADY, cut_off.pacer.pace.phase)

    def test_host_without_direct_connections_tells_nothing(self):
        # It knows nothing of the target but what a relay host answers.
        host = self.hosts[0]
        host.pacers.set_holders("i-1", {"b", "c"})
        host.pacer.handle_recovered()
        self.tick(host)
        self.assertEqual([], host.peers.sent)

    def test_cut_off_host_is_answered_among_many_holders(self):
        # Messages go to eight holders in turn, of which it may be the last.
        host = self.hosts[0]
        names = {"a", "z", *(f"h{i:02}" for i in range(50))}
        host.pacers.set_holders("i-1", names)
        for _ in range(100):
            self.run_statement(host)
            self.tick(host)
        self.network["a"]("z", ["i-1", 7, 1, 0, 1, False, 0], self.now_s)
        self.tick(host)
        self.assertEqual(["z"], [item[0] for item in host.peers.sent])

    def test_frozen_host_and_its_old_figures_are_not_used(self):
        # Its messages and the answers that waited in sockets look new.
        frozen, other = self.hosts
        for host in self.hosts:
            host.pacer.handle_recovered()
        on_end = frozen.pacer.measure(b"q", b"READ x", None)
        sent_s = self.now_s
        self.tick(frozen)
        self.now_s += 5.0
        other.peers.send_extension("a", "pace", ["i-1", 7, 1, 0, 1, False, 0])
        self.assertEqual({}, frozen.pacer.figures)
        on_end(make_outcome(sent_s))
        self.tick(frozen)
        other.peers.send_extension("a", "pace", ["i-1", 7, 1, 0, 1, False, 0])
        self.assertEqual({}, frozen.pacer.figures)
        self.assertEqual(0, frozen.pacer.pace.usual_count)

    def test_malformed_and_foreign_messages_change_nothing(self):
        host = self.hosts[0]
        before = repr(host.pacer.pace)
        for sender, payload in (
            ("b", None),
            ("b", {"limit": 1}),
            ("b", ["i-1", 7, 0, 0, 1, False, 0]),
            ("b", ["i-1", 7, 1, 9, 1, False, 0]),
            ("b", ["i-1", 7, 1, 0, 1, False, 9000]),
            ("b", ["i-2", 7, 1, 0, 1, False, 0]),
            ("b", ["i-1", 6, 1, 0, 1, False, 0]),
            # Not a holder of the target.
            ("x", ["i-1", 7, 1, 0, 1, False, 0]),
        ):
            self.network["a"](sender, payload, self.now_s)
        self.assertEqual(before, repr(host.pacer.pace))
        self.assertEqual({}, host.pacer.figures)

    def test_room_is_reported_after_the_outcome_that_made_it(self):
        # A statement in a transaction frees no connection, so nothing else
        # would wake what was held back.
        async def run():
            pacer = self.hosts[0].pacer
            pacer.handle_recovered()
            pacer.on_room = mock.Mock()
            on_end = pacer.measure(b"q", b"READ x", None)
            self.assertFalse(pacer.has_room())
            on_end(make_outcome(self.now_s))
            pacer.on_room.assert_not_called()
            await asyncio.sleep(0)
            pacer.on_room.assert_called_once_with()

        asyncio.run(run())


class HostTests(testtools.TestCase):
    """Pacing in an entry host in front of stand-ins."""

    async def start(self, system):
        parse = settings.parse_settings

        def parse_with_load_control(content):
            return parse({**content, "contracts": ["pressure"]})

        with mock.patch.object(
            settings, "parse_settings", parse_with_load_control
        ):
            entry = await harness.add_host(system)
        await harness.wait_for(entry.host.is_ready)
        return entry

    def run_with_host(self, test):
        async def run():
            async with harness.run_system(hosts=0) as system:
                entry = await self.start(system)
                await test(system, entry)

        asyncio.run(run())

    def test_open_transactions_and_status_pass_a_full_target(self):
        # A held-back commit would lose a transaction that has its slots.
        async def test(system, entry):
            caller = harness.Caller(entry.port)
            await caller.start("g-primary")
            await caller.run("BEGIN")
            await caller.run("WRITE item 1")
            other = harness.Caller(entry.port)
            await other.start("g-primary")
            pools = entry.host.routers["g"].pools.values()
            for pool in pools:
                pool.pacer.pace.in_flight += 1000
            await other.send("READ item")
            self.assertTrue((await caller.run("COMMIT"))[0].startswith("DONE"))
            answered_s = max(pool.answered_s for pool in pools)
            await harness.wait_for(
                lambda: min(pool.answered_s for pool in pools) > answered_s
            )
            self.assertEqual(1, entry.host.routers["g"].queue_length)
            # The same for a status request that had to wait for a connection.
            ended = []
            now_s = clock.get_time_s()
            for pool in pools:
                queues = pool._wait_queues
                queues.add_control_statement(b"STATUS", ended.append, now_s + 5)
                queues.serve_control_statements(now_s)
            await harness.wait_for(lambda: len(ended) == len(pools))
            self.assertNotIn(None, [outcome.answer for outcome in ended])
            for pool in pools:
                pool.pacer.pace.in_flight -= 1000
            self.assertEqual("ROW 1", (await other.receive())[0])

        self.run_with_host(test)

    def test_read_goes_to_another_target_if_one_has_no_room(self):
        async def test(system, entry):
            caller = harness.Caller(entry.port)
            await caller.start("g-bounded_stale")
            await caller.run("READ item")
            router = entry.host.routers["g"]
            full = next(
                pool
                for target, pool in router.pools.items()
                if target != router.observer.leadership.target
            )
            full.pacer.pace.in_flight += 1000
            running = full.pacer.pace.in_flight
            for _ in range(30):
                answer = await caller.run("READ item")
                self.assertTrue(answer[0].startswith("ROW"))
            self.assertEqual(running, full.pacer.pace.in_flight)
            for line in entry.find_lines("statement_ended")[-30:]:
                self.assertNotEqual(full.entry.target, line.get("target"))

        self.run_with_host(test)

    def test_explanation_shows_the_pace_and_changes_nothing(self):
        async def test(system, entry):
            router = entry.host.routers["g"]
            for pool in router.pools.values():
                pool.pacer.pace.in_flight += 1000
            loads = [repr(pool.load) for pool in router.pools.values()]
            paces = [repr(p.pacer.pace) for p in router.pools.values()]
            group = system.platform.groups["g"]
            sent = [len(t.statements) for t in group.targets.values()]
            query = {"database": "g-bounded_stale", "kind": "read"}
            report = placement_reports.describe(entry.host, "dc", query)
            for item in report["targets"]:
                self.assertEqual(4, len(item["pace"]))
                self.assertGreaterEqual(item["pace"]["in_flight"], 1000)
            after = [repr(pool.load) for pool in router.pools.values()]
            self.assertEqual(loads, after)
            after = [repr(p.pacer.pace) for p in router.pools.values()]
            self.assertEqual(paces, after)
            after = [len(t.statements) for t in group.targets.values()]
            self.assertEqual(sent, after)
            for pool in router.pools.values():
                self.assertFalse(pool.pacer._is_held_back)

        self.run_with_host(test)

    def test_command_prints_the_choice_and_names_a_wrong_field(self):
        async def test(system, entry):
            process = mock.Mock(spec=process_module.EntryProcess)
            process._host, process._settings = entry.host, entry._settings
            describe = process_module.EntryProcess._describe_placement

            async def handle(request):
                return describe(process, request)

            # A host that has just started is ready before it has evidence.
            observer = entry.host.routers["g"].observer
            await harness.wait_for(
                lambda: observer.is_primary_confirmed(clock.get_time_s())
            )
            (port,) = harness.find_ports(1)
            server = http_server.Server(handle, "127.0.0.1", port)
            task = asyncio.create_task(server.serve())
            invalid = exit_codes.INVALID
            position = ["--position", "9" * 5000]
            for options, status, text in (
                (["--database", "g-primary", "--kind", "write"], 0, "direct"),
                (["--database", "none"], invalid, "database: expected"),
                (["--database", "g-primary", "--kind", "x"], invalid, "kind: "),
                (["--database", "g-primary", *position], invalid, "position: "),
            ):
                command = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "knapweedtally", "entry-explain"),
                    *("--url", f"http://127.0.0.1:{port}", *options),
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.STDOUT,
                )
                output, _ = await command.communicate()
                self.assertIn(text, output.decode())
                self.assertEqual(status, command.returncode)
            task.cancel()

        self.run_with_host(test)

    def test_without_load_control_nothing_is_counted(self):
        async def run():
            async with harness.run_system() as system:
                host = system.entry_hosts[0].host
                for pool in host.routers["g"].pools.values():
                    self.assertIsNone(pool.pacer)
                    for connection in pool._connections:
                        self.assertIsNone(connection.meter)

        asyncio.run(run())
