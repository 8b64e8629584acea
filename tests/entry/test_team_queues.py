"""Tests of the holder's queue for the connections of teams."""

import asyncio
import functools
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core.groups import model
from knapweedtally.core.groups import retry_budget
from knapweedtally.core.groups import session_setup
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import requests
from knapweedtally.entry.pools import team_pools
from knapweedtally.entry.pools import wait_queues
from knapweedtally.entry.statements import router as router_module
from knapweedtally.platform import line_protocol
from tests.entry import harness
from tests.entry import test_holder_queues
from tests.entry import test_team_pools

with_load_control = functools.partial(
    test_team_pools.with_teams, contracts=test_holder_queues.CONTRACTS
)


async def wait_for_holder(
    system: harness.System, entry: harness.EntryHost
) -> None:
    """Wait until a host uses the first holder of t0, which has a connection.

    A busy machine answers late, so that the next holder is used for a second.
    """
    first = test_team_pools.rank_entries(system, "t0")[0]
    primary = system.platform.groups["g"].get_primary().id
    holders = test_team_pools.find_pool(entry, primary).holders
    pool = test_team_pools.find_pool(first, primary)
    await harness.wait_for(
        lambda: (
            holders.choose_holder("t0") == first.host.name
            and "t0" in pool.count_by_team()
        )
    )


class TeamOrderTest(testtools.TestCase):
    """The queue of one pool, with one connection for each of two teams."""

    def setUp(self) -> None:
        super().setUp()
        self.connections = {
            team: test_holder_queues.Connection() for team in "ab"
        }
        self.queues = wait_queues.WaitQueues(self._take)
        self.queues.use_holder_queue(
            "i-1", mock.Mock(spec=logs.Log), metrics.Metrics()
        )
        self.served: list[str] = []

    def _take(
        self, values: dict[bytes, bytes], is_direct: bool, team: str | None
    ) -> Any:
        connection = self.connections.get(team or "")
        return connection if connection and connection.is_idle else None

    def _add(
        self, name: str, team: str, priority: int = 0, is_used: bool = True
    ) -> None:
        def handle_idle(connection: Any) -> None:
            connection.is_idle = not is_used
            self.served.append(name)

        self.queues.add_relay_request(
            session_setup.NO_NEEDS,
            handle_idle,
            clock.get_time_s() + 100.0,
            team,
            priority,
        )

    def test_busy_team_does_not_block_the_teams_behind_it(self) -> None:
        self.connections["a"].is_idle = False
        for name, team in (("a1", "a"), ("a2", "a"), ("b1", "b")):
            self._add(name, team)
        self.assertEqual(["b1"], self.served)
        self.assertEqual({"a": 2}, self.queues.count_waiting_by_team())

    def test_connections_are_opened_in_the_order_of_the_queue(self) -> None:
        # In the order of arrival, a burst would get connections first.
        for connection in self.connections.values():
            connection.is_idle = False
        self._add("a1", "a", 2)
        self._add("b1", "b", 1)
        self.assertEqual(["b", "a"], list(self.queues.count_waiting_by_team()))

    def test_unused_connection_does_not_count_as_running(self) -> None:
        # Else the shares of running statements and the waits grow for ever.
        self.connections["a"].is_idle = False
        for name in ("a1", "a2", "a3"):
            self._add(name, "a", is_used=False)
        self.connections["a"].is_idle = True
        self.queues.serve_relay_requests()
        self.queues.serve_control_statements(0.0)
        self.assertEqual(["a1", "a2", "a3"], self.served)
        queues = self.queues._holder_queues
        assert queues is not None
        self.assertEqual(0, queues._queue.load.running)


class SecondAttemptTest(testtools.TestCase):
    """The limits on second attempts of one host."""

    def setUp(self) -> None:
        super().setUp()
        self.budget = retry_budget.RetryBudget()
        settings = mock.Mock(spec=model.GroupSettings)
        settings.name = "g"
        self.router = router_module.Router(
            settings,
            "dc-0",
            mock.Mock(spec=logs.Log),
            metrics.Metrics(),
            self.budget,
        )
        self.retry = mock.patch.object(self.router, "retry").start()
        self.addCleanup(mock.patch.stopall)
        self.request = mock.Mock(
            spec=requests.Request,
            is_done=False,
            is_refused_by_queue=False,
            running_attempts=1,
            attempts=1,
            hedge_at_s=0.0,
            deadline_s=100.0,
            permit=mock.Mock(spec=requests.Permit),
        )

    def test_hedge_without_a_token_keeps_the_budget(self) -> None:
        # It is tried again at each tick, which would use the budget up.
        self.request.permit.take_more.return_value = False
        for _ in range(20):
            self.router._send_due_hedge(self.request, 1.0)
        self.retry.assert_not_called()
        self.assertEqual(3, sum(self.budget.take(1.0) for _ in range(9)))

    def test_hedge_without_budget_takes_no_token(self) -> None:
        while self.budget.take(1.0):
            pass
        self.router._send_due_hedge(self.request, 1.0)
        self.request.permit.take_more.assert_not_called()
        self.retry.assert_not_called()

    def test_queue_refusal_is_retried_once(self) -> None:
        # Else a request goes round all full queues in an overload.
        with mock.patch.object(self.router, "has_alternative") as found:
            found.return_value = True
            results = [
                self.router.retry_elsewhere(self.request, "i-1", 1.0)
                for _ in range(2)
            ]
        self.assertEqual([True, False], results)
        self.retry.assert_called_once_with(self.request, "i-1")


class TeamQueueTest(testtools.TestCase):
    """Statements that wait at their team's holder."""

    async def _hold_connections(
        self, system: harness.System, entry: harness.EntryHost
    ) -> Any:
        """Return the pool of the primary whose connections of t0 are held."""
        first = test_team_pools.rank_entries(system, "t0")[0]
        primary = system.platform.groups["g"].get_primary()
        pool = test_team_pools.find_pool(first, primary.id)
        caller = await test_team_pools.start_caller(entry, "t0")
        answer = await caller.run("WRITE t0-item 1")
        self.assertTrue(answer[0].startswith("DONE "), answer)
        caller.close()
        await wait_for_holder(system, entry)
        for connection in pool._list_direct():
            connection.is_held |= connection.team == "t0"
        return pool

    @with_load_control()
    async def test_own_callers_get_the_refusal_as_their_answer(
        self, system: harness.System
    ) -> None:
        entry = test_team_pools.rank_entries(system, "t0")[0]
        pool = await self._hold_connections(system, entry)
        for priority in range(3):
            for _ in range(20):
                load = pool._wait_queues._holder_queues._queue.load
                load.record_run_time(priority, 600.0)
        router = entry.host.routers["g"]
        permit = mock.Mock(spec=requests.Permit)
        submit = router.submit

        def submit_with_permit(request: requests.Request) -> None:
            request.permit = permit
            submit(request)

        caller = await test_team_pools.start_caller(entry, "t0")
        with (
            mock.patch.object(router, "submit", submit_with_permit),
            mock.patch.object(pool, "_open_direct"),
        ):
            (answer,) = await caller.run("WRITE t0-item 2")
        self.assertRegex(
            answer, "ERROR BUSY holder queue: .*; retry after [0-9]+ ms"
        )
        permit.confirm.assert_not_called()
        permit.release.assert_called_once_with()
        primary = system.platform.groups["g"].get_primary()
        self.assertEqual("1", primary.read("t0-item"))
        (line,) = entry.find_lines("holder_queue_refused")
        self.assertEqual("t0", line["team"])
        self.assertEqual(0, router.queue_length)

    @with_load_control()
    async def test_announced_statement_waits_with_team_and_deadline(
        self, system: harness.System
    ) -> None:
        entry = test_team_pools.rank_entries(system, "t0")[-1]
        pool = await self._hold_connections(system, entry)
        caller = await test_team_pools.start_caller(entry, "t0")
        queue = pool._wait_queues._holder_queues._queue
        with mock.patch.object(pool, "_open_direct"):
            task = asyncio.create_task(caller.run("WRITE t0-item 2"))
            await harness.wait_for(lambda: len(queue) == 1)
            (waiting,) = next(iter(queue._classes.values())).entries["t0"]
            left_s = waiting.deadline_s - clock.get_time_s()
            for connection in pool._list_direct():
                if connection.team == "t0":
                    connection.is_held = False
                    pool.handle_idle(connection)
            answer = await task
        self.assertTrue(answer[0].startswith("DONE "), answer)
        # The caller's timeout of 4 s, less the time for the refusal's way back.
        self.assertTrue(2.0 < left_s <= 3.9, left_s)

    @test_team_pools.with_teams()
    async def test_without_load_control_teams_have_no_holder_queue(
        self, system: harness.System
    ) -> None:
        for entry in system.entry_hosts:
            self.assertIsNone(entry.host.retry_budget)
            for pool in entry.host.routers["g"].pools.values():
                self.assertFalse(pool._wait_queues.has_holder_queue)


class PacedTeamTest(testtools.TestCase):
    """The pace of a target with connections of teams."""

    @with_load_control()
    async def test_pace_holds_statements_back_but_not_transactions(
        self, system: harness.System
    ) -> None:
        entry = test_team_pools.rank_entries(system, "t0")[0]
        primary = system.platform.groups["g"].get_primary()
        pool = test_team_pools.find_pool(entry, primary.id)
        assert pool.pacer is not None
        # A host without figures doesn't know the other holders' paces.
        self.assertTrue(pool.pacer.holders)
        held = await test_team_pools.start_caller(entry, "t0")
        await held.run("BEGIN")
        await held.run("WRITE t0-item 1")
        other = next(
            t for t in test_team_pools.SPARE_TEAMS if pool.holders.is_own(t)
        )
        callers = {
            team: await test_team_pools.start_caller(entry, team)
            for team in ("t0", other)
        }
        # The connection of t0 that the pace holds back is idle.
        answer = await callers["t0"].run("READ t0-item")
        self.assertEqual("ROW -", answer[0])
        await wait_for_holder(system, entry)
        pool.pacer.pace.in_flight += 1000
        tasks = [
            asyncio.create_task(caller.run(f"READ {team}-item"))
            for team, caller in callers.items()
        ]
        await harness.wait_for(lambda: pool.relay_request_count == 2)
        # Without a connection this team would never be served in time.
        await harness.wait_for(lambda: pool.count_by_team().get(other, 0) == 1)
        # Else waiting teams take each other's connections.
        self.assertEqual(2, pool.count_by_team()["t0"])
        self.assertFalse(any(task.done() for task in tasks))
        answer = await held.run("COMMIT")
        self.assertTrue(answer[0].startswith("DONE "), answer)
        ended: list[line_connections.Outcome] = []
        pool.send_control_statement(line_protocol.STATUS, ended.append, 5.0)
        await harness.wait_for(lambda: bool(ended))
        self.assertIsNotNone(ended[0].answer)
        self.assertEqual(2, pool.relay_request_count)
        pool.pacer.pace.in_flight -= 1000
        answers = [await task for task in tasks]
        self.assertEqual("ROW 1", answers[0][0])
        self.assertEqual("ROW -", answers[1][0])

    @with_load_control()
    async def test_full_pace_protects_connections_of_waiting_teams(
        self, system: harness.System
    ) -> None:
        entry = test_team_pools.rank_entries(system, "t0")[0]
        primary = system.platform.groups["g"].get_primary()
        pool = test_team_pools.find_pool(entry, primary.id)
        assert pool.pacer is not None
        caller = await test_team_pools.start_caller(entry, "t0")
        await caller.run("READ t0-item")
        await wait_for_holder(system, entry)
        pool.pacer.pace.in_flight += 1000
        task = asyncio.create_task(caller.run("READ t0-item"))
        await harness.wait_for(lambda: pool.relay_request_count == 1)
        states = pool._get_usage(clock.get_time_s()).connections
        self.assertFalse(any(s.is_idle for s in states if s.team == "t0"))
        pool.pacer.pace.in_flight -= 1000
        self.assertEqual("ROW -", (await task)[0])

    @with_load_control()
    async def test_long_wait_at_a_holder_is_no_failure_of_the_target(
        self, system: harness.System
    ) -> None:
        # Its next answer would begin a slow start of a healthy target.
        first, second = test_team_pools.rank_entries(system, "t0")[:2]
        primary = system.platform.groups["g"].get_primary()
        pool = test_team_pools.find_pool(second, primary.id)
        holder = test_team_pools.find_pool(first, primary.id)
        caller = await test_team_pools.start_caller(second, "t0")
        await caller.run("WRITE t0-item 1")
        await wait_for_holder(system, second)
        for connection in holder._list_direct():
            connection.is_held |= connection.team == "t0"
        with mock.patch.object(holder, "_open_direct"):
            task = asyncio.create_task(caller.run("WRITE t0-item 2"))
            await harness.wait_for(lambda: holder.relay_request_count == 1)
            with mock.patch.object(pool, "record_failure") as failure:
                await asyncio.sleep(team_pools.QUEUED_TIMEOUT_S + 0.5)
            failure.assert_not_called()
        self.assertTrue(pool.load.is_responsive)
        await task
