"""Tests of commits and reads while hosts know different members."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import model
from knapweedtally.entry.common import clock
from tests.entry import harness
from tests.entry import test_primary_changes

GRACE_S = test_primary_changes.SHORT_MEMBERSHIP_GRACE_S


class UnknownReplicaTest(testtools.TestCase):
    """A replica without an entry that a host has never known."""

    # Guards against the loss of commits of a running replica that expired
    # before the host started.
    @harness.with_system()
    async def test_replica_that_a_new_host_never_listed_keeps_commits(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        lagging, unlisted = list(group.targets.values())[1:]
        unlisted.has_platform_entry = False
        system.platform.store.remove("servers", unlisted.id)
        await system.entry_hosts[0].stop()
        host = await harness.add_host(system)
        await harness.wait_for(host.host.is_ready)
        writer = harness.Writer(host.port, "g-primary")
        await writer.run_for(catalog.SETTLING_TIME_S + 0.5)
        with mock.patch.object(lagging, "receive", return_value=False):
            await writer.run_for(0.5)
            await primary.stop()
        await asyncio.sleep(4 * test_primary_changes.PROMOTION_TIME_S)
        await primary.start()
        primary.reconnect()
        await writer.run_for(0.5)
        self.assertNotEqual(writer.acknowledged, [])
        self.assertEqual(
            writer.list_lost(group), [], host.find_lines("change_started")
        )


class SuspendedHostTest(testtools.TestCase):
    """A host that was suspended while a replica has no entry."""

    # Guards against the loss of commits that a running replica received after
    # a suspended host dropped it.
    @harness.with_system()
    async def test_running_replica_is_a_member_after_a_suspension(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        lagging, unlisted = list(group.targets.values())[1:]
        host = system.entry_hosts[0]
        writer = harness.Writer(host.port, "g-primary")
        await writer.run_for(0.3)
        unlisted.has_platform_entry = False
        system.platform.store.remove("servers", unlisted.id)
        await writer.run_for(0.7)
        # The host is suspended for longer than the time of grace.
        known = host.host.catalog.members[unlisted.id]
        self.assertIsNotNone(known.missing_since_s)
        away_s = catalog.MEMBERSHIP_GRACE_S + 1.0
        host.host.catalog.members[unlisted.id] = known._replace(
            missing_since_s=known.missing_since_s - away_s
        )
        router = host.host.routers["g"]
        for pool in router.pools.values():
            pool.answered_s -= away_s
        host.host._last_tick_s -= away_s
        host.host.tick(host.host._last_tick_s + away_s + 0.05)
        await writer.run_for(2.0)
        members = router.members
        with mock.patch.object(lagging, "receive", return_value=False):
            await writer.run_for(0.5)
            await primary.stop()
        await harness.wait_for(lambda: group.find_primary() is not primary)
        self.assertEqual(
            (writer.list_lost(group), unlisted.id in members), ([], True)
        )


class ReplacedPrimaryPositionTest(testtools.TestCase):
    """Positions that show that a departed member's log is kept."""

    # Guards against a departed member that is forgotten although only the
    # primary, which stepped down, has its commits.
    @harness.with_system()
    async def test_primary_that_stepped_down_does_not_keep_a_departed_log(
        self, system: harness.System
    ) -> None:
        router = system.entry_hosts[0].host.routers["g"]
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        await writer.run_for(0.5)
        observer = router.observer
        primary = observer.leadership.target
        assert primary is not None
        since_s = observer.leadership.positions[-1][0] - 0.01
        for target, pool in router.pools.items():
            if target != primary:
                pool.received = model.Position(1, 1)
        self.assertFalse(observer.is_log_kept(since_s))
        observer.discard_primary(primary, clock.get_time_s(), "a test")
        self.assertFalse(observer.is_log_kept(since_s))


class PartialListTest(testtools.TestCase):
    """Evidence of a host that has listed only the primary."""

    async def promote_unlisted(
        self, system: harness.System
    ) -> tuple[harness.Caller, harness.Caller]:
        """Promote a target that a new host doesn't list, as a host does.

        Returns:
            Callers of the host that knows all targets, and of the new host.
        """
        group = system.platform.groups["g"]
        group.promotion_notice_delay_s = 60.0
        primary = group.get_primary()
        others = [t for t in group.targets.values() if t is not primary]
        known = harness.Caller(system.entry_hosts[0].port)
        await known.start("g-primary")
        await known.run("WRITE item 1")
        for target in others:
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
        harness.forget_members(system)
        host = await harness.add_host(system)
        await harness.wait_for(host.host.is_ready)
        await asyncio.sleep(1.0)
        for target in others:
            target.paused_for = 2
        await asyncio.sleep(1.0)
        group.promote(others[0].id)
        caller = harness.Caller(host.port)
        await caller.start("g-primary")
        return known, caller

    # Guards against stale reads at a replaced primary by a host that lists no
    # other member.
    @harness.with_system()
    async def test_host_that_lists_only_a_replaced_primary_reads_nothing_old(
        self, system: harness.System
    ) -> None:
        known, caller = await self.promote_unlisted(system)
        async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
            while (await known.run("WRITE item 2"))[0].startswith("ERROR"):
                await asyncio.sleep(0.05)
        read = await caller.run("READ item")
        self.assertNotEqual(read[0], "ROW 1")

    # Guards against commits that a host told of which a replaced primary
    # acknowledged.
    @harness.with_system()
    async def test_host_that_lists_only_a_replaced_primary_tells_no_commit(
        self, system: harness.System
    ) -> None:
        _, caller = await self.promote_unlisted(system)
        write = await caller.run("WRITE item 2")
        # A change of primary may be under way by now.
        log = system.platform.groups["g"].get_newest_log()
        kept = [
            value
            for commit in log
            for item, value in commit.writes
            if item == "item"
        ]
        self.assertEqual((write[0].startswith("DONE "), kept), (False, ["1"]))


class ReturnedMemberTest(testtools.TestCase):
    """Members that come back under new ids after they counted as gone."""

    # Guards against a group that waits for ever for former ids of members that
    # run again with their logs.
    @harness.with_system()
    async def test_group_whose_members_return_under_new_ids_is_served(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        replica = list(group.targets.values())[1]
        host = system.entry_hosts[0]
        writer = harness.Writer(host.port, "g-primary")
        await writer.run_for(0.5)
        with mock.patch.object(catalog, "MEMBERSHIP_GRACE_S", GRACE_S):
            await asyncio.gather(primary.stop(), replica.stop())
            for target in (primary, replica):
                target.has_platform_entry = False
                system.platform.store.remove("servers", target.id)
            router = host.host.routers["g"]
            await harness.wait_for(lambda: len(router.pools) == 1)
            for target in (primary, replica):
                returned = group.replace(target, keeps_log=True)
                await returned.start()
            await harness.wait_for(lambda: len(router.pools) == 3)
            await asyncio.sleep(15.0)
        self.assertEqual(
            (router.departed, group.find_primary() is not None), ((), True)
        )


class UnreachableMemberTest(testtools.TestCase):
    """A running replica that has no entry and that a host reaches again."""

    # Guards against the loss of commits that a replica received after a host
    # that couldn't reach it for a while took it for gone.
    @harness.with_system()
    async def test_replica_that_answers_again_is_a_member(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        lagging, unlisted = list(group.targets.values())[1:]
        host = system.entry_hosts[0]
        writer = harness.Writer(host.port, "g-primary")
        with mock.patch.object(catalog, "MEMBERSHIP_GRACE_S", GRACE_S):
            await writer.run_for(0.3)
            unlisted.has_platform_entry = False
            system.platform.store.remove("servers", unlisted.id)
            # The replica receives, but the host doesn't reach it.
            host.host.routers["g"].pools[unlisted.id].answered_s = 0.0
            with mock.patch.object(
                type(host.host.routers["g"].pools[unlisted.id]),
                "handle_answer",
                lambda pool: None,
            ):
                await writer.run_until(
                    lambda: bool(host.find_lines("targets_gone"))
                )
            await writer.run_for(1.5)
            with mock.patch.object(lagging, "receive", return_value=False):
                await writer.run_for(0.5)
                await primary.stop()
            await asyncio.sleep(6.0)
            await primary.start()
            primary.reconnect()
            await writer.run_for(0.5)
        self.assertEqual(
            writer.list_lost(group), [], host.find_lines("change_started")
        )
