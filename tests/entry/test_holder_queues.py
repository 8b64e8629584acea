"""Tests of the queues of relayed statements with and without load control."""

import functools
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core.groups import holder_queue
from knapweedtally.core.groups import queue_refusals
from knapweedtally.core.groups import session_setup
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import wait_queues
from tests.entry import harness
from tests.entry import test_relays

CONTRACTS = ("pressure",)
DETAIL = queue_refusals.format_detail(
    holder_queue.Reason.TOO_LATE.value,
    queue_refusals.QueueRefusal(9, 0.4, 0.25),
)


class Connection:
    """A connection that a statement occupies until ``end``."""

    def __init__(self) -> None:
        self.is_idle = True
        self.is_closed = False
        self.idle_since_s = 0.0

    def end(self, now_s: float) -> None:
        self.is_idle = True
        self.idle_since_s = now_s


class WaitQueuesTest(testtools.TestCase):
    """The queues of one pool, with one connection."""

    def setUp(self) -> None:
        super().setUp()
        self.now_s = 0.0
        patcher = mock.patch.object(clock, "get_time_s", lambda: self.now_s)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.connection = Connection()
        self.counters = metrics.Metrics()
        self.log = mock.Mock(spec=logs.Log)
        self.queues = wait_queues.WaitQueues(self._take)
        self.served: list[str] = []
        self.refused: list[tuple[str, bytes]] = []

    def _take(
        self, values: dict[bytes, bytes], is_direct: bool, team: str | None
    ) -> Any:
        return self.connection if self.connection.is_idle else None

    def _add(
        self, name: str, team: str, priority: int, deadline_s: float = 100.0
    ) -> None:
        def handle_idle(connection: Any) -> None:
            if connection is None:
                self.refused.append((name, b""))
                return
            connection.is_idle = False
            self.served.append(name)

        self.queues.add_relay_request(
            session_setup.NO_NEEDS,
            handle_idle,
            deadline_s,
            team,
            priority,
            lambda detail: self.refused.append((name, detail)),
            name.encode(),
        )

    def _run(self, count: int, run_s: float = 0.01) -> None:
        """End and start statements."""
        for _ in range(count):
            self.now_s += run_s
            self.connection.end(self.now_s)
            self.queues.serve_control_statements(self.now_s)
            self.queues.serve_relay_requests()

    def test_without_load_control_the_order_is_that_of_arrival(self) -> None:
        self.connection.is_idle = False
        for number in range(4):
            self._add(f"{number}", f"t{number % 2}", 3 - number)
        self._run(4)
        self.assertEqual(["0", "1", "2", "3"], self.served)

    def test_with_load_control_urgent_statements_are_served_first(self) -> None:
        self.queues.use_holder_queue("i-1", self.log, self.counters)
        self.connection.is_idle = False
        for number in range(3):
            self._add(f"{number}", "t", 2 - number)
        self._run(3)
        self.assertEqual(["2", "1", "0"], self.served)
        text = self.counters.format_text({})
        self.assertIn('holder_wait_seconds_count{label="priority 2"} 1', text)

    def test_refusal_states_the_expected_wait_from_measured_runs(self) -> None:
        self.queues.use_holder_queue("i-1", self.log, self.counters)
        self.connection.is_idle = False
        for number in range(30):
            self._add(f"{number}", "t", 0)
        self._run(20, run_s=0.1)
        self._add("late", "t", 1, self.now_s + 0.5)
        ((name, detail),) = self.refused
        self.assertEqual("late", name)
        refusal = queue_refusals.parse_detail(detail)
        assert refusal is not None
        self.assertEqual(10, refusal.length)
        self.assertAlmostEqual(1.0, refusal.wait_s, delta=0.1)
        (call,) = self.log.write.mock_calls
        self.assertEqual(("holder_queue_refused",), call.args)
        self.assertEqual("late", call.kwargs["id"])
        self.assertIn(
            'holder_queue_refused_total{label="TOO_LATE"} 1',
            self.counters.format_text({}),
        )

    def test_closing_calls_back_each_request_once(self) -> None:
        self.queues.use_holder_queue("i-1", self.log, self.counters)
        self.connection.is_idle = False
        self._add("0", "t", 0)
        self.queues.close(0.0)
        self.queues.drop_overdue(200.0)
        self.assertEqual([("0", b"")], self.refused)


with_load_control = functools.partial(
    test_relays.with_connected_hosts, contracts=CONTRACTS
)


def refuse(*_: Any, **arguments: Any) -> None:
    """Refuse a relayed statement as a full queue does."""
    arguments["on_refused"](DETAIL)


class RefusalTest(testtools.TestCase):
    """What a holder's refusal means to the requesting host."""

    @with_load_control()
    async def test_refused_write_is_not_repeated_and_carries_the_hint(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        entry = test_relays.find_relayed_host(system.entry_hosts, primary.id)
        caller = harness.Caller(entry.port)
        await caller.start("g-primary")
        with mock.patch.object(pools.Pool, "call_when_idle", refuse):
            answer = await caller.run("WRITE item 1")
        self.assertEqual([f"ERROR BUSY {DETAIL.decode()}"], answer)
        (line,) = entry.find_lines("statement_ended")
        self.assertEqual(1, line["attempts"])
        self.assertIn("expected wait 400 ms", line["reason"])
        self.assertEqual("-", primary.read("item"))
        # The connection and the session are of use afterwards.
        answer = await caller.run("WRITE item 2")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))

    @with_load_control()
    async def test_refused_read_is_served_by_another_target(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        replica = next(t for t in group.targets.values() if not t.is_primary)
        entry = test_relays.find_relayed_host(system.entry_hosts, replica.id)
        caller = harness.Caller(entry.port)
        await caller.start("g-bounded_stale")
        await caller.run("READ item")
        router_pools = entry.host.routers["g"].pools
        for target, pool in router_pools.items():
            # The replica is expected to answer first.
            pool.load.run_time_s = 0.001 if target == replica.id else 0.1
        entry.lines.clear()
        call_when_idle = pools.Pool.call_when_idle
        refusals: list[str] = []

        def refuse_once(pool: pools.Pool, *values: Any, **named: Any) -> None:
            if refusals:
                call_when_idle(pool, *values, **named)
                return
            refusals.append(pool.entry.target)
            refuse(**named)

        with mock.patch.object(pools.Pool, "call_when_idle", refuse_once):
            answer = await caller.run("READ item")
        self.assertEqual([replica.id], refusals)
        self.assertEqual("ROW -", answer[0])
        (line,) = entry.find_lines("statement_ended")
        self.assertEqual(2, line["attempts"])
        self.assertNotEqual(replica.id, line["target"])
        # A queue that is full for now is no failure of the target.
        load = router_pools[replica.id].load
        self.assertEqual(0, load.failures)
        self.assertEqual(0.4, load.queue_cost.cost_s)

    @with_load_control()
    async def test_used_up_budget_passes_the_refusal_on(
        self, system: harness.System
    ) -> None:
        """Guards against attempts of the host that double an overload."""
        group = system.platform.groups["g"]
        replica = next(t for t in group.targets.values() if not t.is_primary)
        entry = test_relays.find_relayed_host(system.entry_hosts, replica.id)
        caller = harness.Caller(entry.port)
        await caller.start("g-bounded_stale")
        await caller.run("READ item")
        for target, pool in entry.host.routers["g"].pools.items():
            pool.load.run_time_s = 0.001 if target == replica.id else 0.1
        entry.lines.clear()
        budget = entry.host.retry_budget
        assert budget is not None
        while budget.take(clock.get_time_s()):
            pass
        with mock.patch.object(pools.Pool, "call_when_idle", refuse):
            answer = await caller.run("READ item")
        self.assertEqual([f"ERROR BUSY {DETAIL.decode()}"], answer)
        (line,) = entry.find_lines("statement_ended")
        self.assertEqual(1, line["attempts"])

    @harness.with_system()
    async def test_without_load_control_refusal_and_budget_are_unchanged(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        host = system.entry_hosts[0].host
        self.assertIsNone(host.retry_budget)
        pool = host.routers["g"].pools[primary.id]
        while (
            held := pool.find_idle_connection(session_setup.NO_NEEDS)
        ) is not None:
            held.is_held = True
        outcomes: list[Any] = []
        with mock.patch.object(pool, "open_if_allowed"):
            pool.call_when_idle(
                session_setup.NO_NEEDS,
                outcomes.append,
                clock.get_time_s() + 0.2,
                on_refused=outcomes.append,
            )
            await harness.wait_for(lambda: bool(outcomes))
        self.assertEqual([None], outcomes)

    @harness.with_system(contracts=CONTRACTS)
    async def test_statement_that_gets_no_connection_in_time_is_refused(
        self, system: harness.System
    ) -> None:
        primary = system.platform.groups["g"].get_primary()
        pool = system.entry_hosts[0].host.routers["g"].pools[primary.id]
        while (
            held := pool.find_idle_connection(session_setup.NO_NEEDS)
        ) is not None:
            held.is_held = True
        refusals: list[bytes] = []
        connections: list[Any] = []
        with mock.patch.object(pool, "open_if_allowed"):
            pool.call_when_idle(
                session_setup.NO_NEEDS,
                connections.append,
                clock.get_time_s() + 0.2,
                on_refused=refusals.append,
            )
            await harness.wait_for(lambda: bool(refusals))
        self.assertEqual([], connections)
        self.assertIsNotNone(queue_refusals.parse_detail(refusals[0]))
