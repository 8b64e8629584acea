"""Tests of the admission control of an entry host for an overloaded primary."""

from unittest import mock

import testtools

from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.entry.common import clock
from tests.entry import harness


def refuse_new_requests(system: harness.System) -> load_shedding.LoadShedding:
    """Make the host refuse each new request for the primary."""
    load_shedding_state = (
        system.entry_hosts[0].host.routers["g"].observer.load_shedding
    )
    patcher = mock.patch.object(
        load_shedding, "get_refused_share", lambda *_: 1.0
    )
    patcher.start()
    system.entry_hosts[0].lines.clear()
    return load_shedding_state


class LoadSheddingTest(testtools.TestCase):
    """Tests of which requests are refused while the primary is overloaded."""

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(mock.patch.stopall)

    @harness.with_system()
    async def test_new_request_is_refused_with_a_retry_hint(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        refuse_new_requests(system)
        answer = await caller.run("WRITE item 2")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR BUSY"))
        self.assertIn("retry after", answer[0])
        (line,) = system.entry_hosts[0].find_lines("statement_ended")
        self.assertIn("100% are refused", line["reason"])
        primary = system.platform.groups["g"].get_primary()
        self.assertEqual(primary.read("item"), "1")

    @harness.with_system()
    async def test_new_transaction_is_refused_and_open_one_continues(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("BEGIN")
        await caller.run("WRITE item 1")
        refuse_new_requests(system)
        other = harness.Caller(system.entry_hosts[0].port)
        await other.start("g-primary")
        await other.run("BEGIN")
        answer = await other.run("WRITE item 2")
        self.assertThat(answer[0], testtools.matchers.StartsWith("ERROR BUSY"))
        self.assertEqual(other.state, "E")
        await caller.run("WRITE item 3")
        answer = await caller.run("COMMIT")
        self.assertThat(answer[0], testtools.matchers.StartsWith("DONE "))

    @harness.with_system()
    async def test_read_is_served_by_an_up_to_date_replica(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-bounded_stale")
        await caller.run("READ item")
        refuse_new_requests(system)
        for _ in range(20):
            answer = await caller.run("READ item")
            self.assertEqual(answer[0], "ROW -")

    @harness.with_system()
    async def test_hedged_attempt_of_a_read_is_not_refused(
        self, system: harness.System
    ) -> None:
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-bounded_stale")
        await caller.run("READ item")
        group = system.platform.groups["g"]
        for target in group.targets.values():
            target.is_unresponsive = target is not group.get_primary()
        refuse_new_requests(system)
        answer = await caller.run("READ item")
        self.assertEqual(answer[0], "ROW -")

    @harness.with_system()
    async def test_read_waits_for_a_connection_to_an_up_to_date_replica(
        self, system: harness.System
    ) -> None:
        router = system.entry_hosts[0].host.routers["g"]
        primary = system.platform.groups["g"].get_primary().id
        now_s = clock.get_time_s()
        need = placement.Requirements(
            False, False, model.Consistency.BOUNDED, 1.0, now_s, None
        )
        request = mock.Mock(
            need=need,
            excluded=frozenset(),
            is_admitted=False,
            attempts=0,
            priority=1,
        )
        leadership = router.observer.leadership
        await harness.wait_for(
            lambda: (
                placement.find_required_position(need, leadership) is not None
            )
        )
        refuse_new_requests(system)
        for target, pool in router.pools.items():
            pool.load.idle = int(target == primary)
        choice = router._choose_target(request, now_s)
        self.assertIs(choice.reason, placement.Reason.NO_CONNECTION)

    @harness.with_system()
    async def test_latency_of_a_primary_with_free_slots_is_ignored(
        self, system: harness.System
    ) -> None:
        router = system.entry_hosts[0].host.routers["g"]
        observer = router.observer
        primary = system.platform.groups["g"].get_primary()
        pool = router.pools[primary.id]
        asked_s = clock.get_time_s() - 0.2
        shares = []
        for is_full, busy in (
            (False, pool.entry.slots),
            (False, pool.entry.slots + 1),
            (True, 0),
        ):
            observer.load_shedding = load_shedding.LoadShedding()
            observer._record_queueing_delay(asked_s, is_full, busy, pool)
            shares.append(observer.load_shedding.refused_share)
        self.assertEqual(shares[0], 0.0)
        self.assertGreater(shares[1], 0.2)
        self.assertGreater(shares[2], 0.2)

    @harness.with_system(hosts=3)
    async def test_share_is_adopted_by_a_host_that_does_not_probe(
        self, system: harness.System
    ) -> None:
        routers = [entry.host.routers["g"] for entry in system.entry_hosts]
        await harness.wait_for(
            lambda: sum(router.observer.is_poller for router in routers) == 2
        )
        passive_router = next(
            router for router in routers if not router.observer.is_poller
        )
        with mock.patch.object(load_shedding, "TARGET_QUEUEING_DELAY_S", -0.5):
            await harness.wait_for(
                lambda: (
                    load_shedding.get_refused_share(
                        passive_router.observer.load_shedding,
                        clock.get_time_s(),
                    )
                    == load_shedding.MAX_REFUSED_SHARE
                )
            )
        await harness.wait_for(
            lambda: (
                load_shedding.get_refused_share(
                    passive_router.observer.load_shedding, clock.get_time_s()
                )
                == 0
            )
        )
