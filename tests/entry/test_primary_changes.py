"""Tests of an entry host while a group's primary changes."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import lag_relief
from knapweedtally.core.groups import load_shedding
from knapweedtally.core.groups import steps
from knapweedtally.entry.common import clock
from knapweedtally.entry.members import acknowledgements
from knapweedtally.entry.members import evidence_sharing
from standins.line_platform import targets
from tests.entry import harness

StartsWith = testtools.matchers.StartsWith

# Time until the entries that expired while the store was unavailable are back,
# in seconds.
ENTRY_RETURN_DELAY_S = 1.9

# Time after which a silent target without an entry counts as gone in the tests
# of missing members, in seconds.
SHORT_MEMBERSHIP_GRACE_S = 2.0

# Time in which a change of primary ends, in seconds.
PROMOTION_TIME_S = 2.5


# Hosts that don't hear each other know only what they see themselves.
NO_SHARED_EVIDENCE = mock.patch.object(
    evidence_sharing.EvidenceSharer, "receive", lambda *_: None
)


def has_step(host: harness.EntryHost, phase: str) -> bool:
    """Return whether a change of primary on a host reached a phase."""
    return any(
        line["phase"] == phase for line in host.find_lines("change_step")
    )


def host_of(system: harness.System) -> harness.EntryHost:
    return system.entry_hosts[0]


class ChangeTest(testtools.TestCase):
    """Answers to callers, and the return of service, in a primary change."""

    @harness.with_system()
    async def test_commit_acknowledged_late_by_a_replaced_primary_is_in_doubt(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        group.promotion_notice_delay_s = 5.0
        old = group.get_primary()
        others = [t for t in group.targets.values() if t is not old]
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        # Another host fences the replicas and promotes one of them. The other
        # replica receives from the old primary until it learns of the new one.
        for other in others:
            other.paused_for = 2
        await caller.send("WRITE item 2")
        leadership = system.entry_hosts[0].host.routers["g"].observer.leadership
        await harness.wait_for(
            lambda: leadership.valid_until_s < clock.get_time_s()
        )
        group.promote(others[0].id)
        answer = await caller.receive()
        self.assertThat(answer[0], StartsWith("ERROR INDOUBT"))
        ended = system.entry_hosts[0].find_lines("statement_ended")[-1]
        self.assertEqual(ended["reason"], acknowledgements.UNCONFIRMED_DETAIL)

    @harness.with_system()
    async def test_evidence_is_renewed_while_a_member_is_down(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        stopped = next(t for t in group.targets.values() if t is not primary)
        await stopped.stop()
        system.entry_hosts[0].host.routers[
            "g"
        ].observer.leadership.member_seen_s = 0.0
        is_served = False
        while not is_served:
            caller = harness.Caller(system.entry_hosts[0].port)
            await caller.start("g-primary")
            answer = await caller.run("WRITE item 1")
            is_served = answer[0].startswith("DONE g-")
            caller.close()

    @harness.with_system()
    async def test_commits_continue_beside_a_replaced_primary(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        group.promotion_notice_delay_s = 60.0
        old = group.get_primary()
        new, other = [t for t in group.targets.values() if t is not old]
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        # The host sees none of this, as if it started afterwards. The old
        # primary doesn't learn of the new one before that steps down.
        group.promote(new.id)
        commit = group.append(new, [("item", "2")])
        self.assertTrue(group.replicate(new, commit))
        new.is_primary = False
        async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
            while (await caller.run("WRITE other 3"))[0].startswith("ERROR"):
                await asyncio.sleep(0.05)
        self.assertEqual((await caller.run("READ item"))[0], "ROW 2")

    @harness.with_system()
    async def test_commit_is_kept_by_a_member_that_has_no_entry(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        old = group.get_primary()
        unlisted, behind = [t for t in group.targets.values() if t is not old]
        system.entry_hosts[0].attach_changes(self)
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        # The member receives and answers all the time, without the store.
        system.platform.unlisted.add(unlisted.id)
        system.platform.store.remove("servers", unlisted.id)
        await asyncio.sleep(catalog.MEMBERSHIP_GRACE_S)
        behind.is_partitioned = True
        answer = await caller.run("WRITE item 2")
        self.assertThat(answer[0], StartsWith("DONE "))
        await old.stop()
        behind.is_partitioned = False
        async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
            while (await caller.run("WRITE other 3"))[0].startswith("ERROR"):
                await asyncio.sleep(0.05)
        self.assertEqual((await caller.run("READ item"))[0], "ROW 2")

    # Guards against a group that refuses most requests while its replicas lag.
    @harness.with_system()
    async def test_overloaded_primary_whose_replicas_lag_is_replaced(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        old = group.get_primary()
        entry_host = system.entry_hosts[0]
        entry_host.attach_changes(self)
        router = entry_host.host.routers["g"]
        caller = harness.Caller(entry_host.port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        for target, pool in router.pools.items():
            pool.load.lag_s = 0.0 if target == old.id else 9.0
        with (
            mock.patch.object(lag_relief, "MIN_LEAD_S", 0.0),
            mock.patch.object(lag_relief, "CHANGE_COST_S", 0.2),
            mock.patch.object(
                load_shedding, "get_refused_share", return_value=0.6
            ),
        ):
            await harness.wait_for(lambda: has_step(entry_host, "wait"))
        await harness.wait_for(
            lambda: router.observer.leadership.target not in (None, old.id)
        )
        self.assertIsNot(group.find_primary(), old)
        started = entry_host.find_lines("change_started")[0]
        self.assertEqual(started["cause"], steps.Cause.LAGGING.value)
        async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
            while (await caller.run("WRITE item 2"))[0].startswith("ERROR"):
                await asyncio.sleep(0.05)
        self.assertEqual((await caller.run("READ item"))[0], "ROW 2")


class MissingMemberTest(testtools.TestCase):
    """Changes of primary while a replica has no entry in the store.

    Another replica lags, so the one without an entry alone has commits.
    """

    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(
            catalog, "MEMBERSHIP_GRACE_S", SHORT_MEMBERSHIP_GRACE_S
        )
        patch.start()
        self.addCleanup(patch.stop)

    async def write_to_unlisted_replica(
        self, system: harness.System
    ) -> tuple[harness.Writer, targets.Target, targets.Target]:
        """Return the writer, the replica without an entry, and the other."""
        group = system.platform.groups["g"]
        lagging, unlisted = list(group.targets.values())[1:]
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        await writer.run_for(0.2)
        unlisted.has_platform_entry = False
        system.platform.store.remove("servers", unlisted.id)
        with mock.patch.object(lagging, "receive", return_value=False):
            await writer.run_for(0.3)
        return writer, unlisted, lagging

    # Guards against the loss of commits that a running replica without an
    # entry received.
    @harness.with_system()
    async def test_running_replica_without_an_entry_is_fenced(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        writer, unlisted, lagging = await self.write_to_unlisted_replica(system)
        with mock.patch.object(lagging, "receive", return_value=False):
            await writer.run_for(SHORT_MEMBERSHIP_GRACE_S + 0.5)
            await primary.stop()
        await harness.wait_for(lambda: group.find_primary() is not primary)
        self.assertEqual(group.get_primary(), unlisted)
        self.assertEqual(writer.list_lost(group), [])

    # Guards against the loss of commits that only targets that are down have.
    @harness.with_system()
    async def test_replica_behind_a_gone_one_is_not_promoted(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        writer, unlisted, _ = await self.write_to_unlisted_replica(system)
        await asyncio.gather(unlisted.stop(), primary.stop())
        host = system.entry_hosts[0]
        await harness.wait_for(lambda: bool(host.find_lines("targets_gone")))
        await asyncio.sleep(PROMOTION_TIME_S)
        self.assertEqual(host.find_lines("promotion_asked"), [])
        await primary.start()
        primary.reconnect()
        await writer.run_for(0.5)
        self.assertEqual(writer.list_lost(group), [])


class IncompleteListTest(testtools.TestCase):
    """Changes of primary by a host that doesn't know all targets."""

    # Guards against the loss of commits that an unlisted replica received.
    @harness.with_system()
    async def test_host_that_starts_on_a_partial_list_loses_no_commit(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        unlisted = (primary, list(group.targets.values())[-1])
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        for target in unlisted:
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
        harness.forget_members(system)
        host = await harness.add_host(system)
        await writer.run_for(ENTRY_RETURN_DELAY_S)
        for target in unlisted:
            target.has_platform_entry = True
        await writer.run_for(PROMOTION_TIME_S)
        self.assertNotEqual(writer.acknowledged, [])
        self.assertEqual(
            writer.list_lost(group), [], host.find_lines("change_started")
        )

    # Guards against the loss of commits that only unlisted targets have.
    @harness.with_system()
    async def test_only_listed_target_is_not_promoted(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        for target in (primary, list(group.targets.values())[-1]):
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
        harness.forget_members(system)
        host = await harness.add_host(system)
        await writer.run_for(catalog.SETTLING_TIME_S + PROMOTION_TIME_S)
        self.assertNotEqual(writer.acknowledged, [])
        self.assertEqual(
            writer.list_lost(group), [], host.find_lines("change_started")
        )

    # Guards against the loss of commits that a target received which is listed
    # only after the others were fenced.
    @harness.with_system()
    @NO_SHARED_EVIDENCE
    async def test_target_that_is_listed_during_a_change_is_fenced(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        joining = targets.Target(group, "joining")
        await joining.start()
        group.targets[joining.id] = joining
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        await writer.run_for(0.5)
        for target in (primary, joining):
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
        harness.forget_members(system)
        host = await harness.add_host(system)
        await writer.run_until(lambda: has_step(host, "wait"))
        for target in (primary, joining):
            target.has_platform_entry = True
        await writer.run_for(PROMOTION_TIME_S)
        self.assertNotEqual(writer.acknowledged, [])
        self.assertEqual(writer.list_lost(group), [])

    # Guards against the loss of commits that a target received of which the
    # watch hasn't told the promoter.
    @harness.with_system()
    @NO_SHARED_EVIDENCE
    async def test_target_that_the_watch_withholds_is_fenced(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        joining = targets.Target(group, "joining")
        await joining.start()
        group.targets[joining.id] = joining
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        await writer.run_for(0.5)
        for target in (primary, joining):
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
        harness.forget_members(system)
        host = await harness.add_host(system)
        await writer.run_until(lambda: has_step(host, "fence"))
        system.platform.store.is_withholding_events = True
        for target in (primary, joining):
            target.has_platform_entry = True
        await writer.run_for(PROMOTION_TIME_S)
        await harness.wait_for(lambda: group.find_primary() is not None)
        self.assertNotEqual(writer.acknowledged, [])
        self.assertEqual(writer.list_lost(group), [])

    # Guards against a second primary beside one that only other hosts know.
    @harness.with_system()
    async def test_unlisted_primary_that_another_host_sees_is_kept(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary = group.get_primary()
        other = targets.Target(group, "other")
        await other.start()
        group.targets[other.id] = other
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        await writer.run_for(0.5)
        for target in (primary, other):
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
        harness.forget_members(system)
        host = await harness.add_host(system)
        await writer.run_for(catalog.SETTLING_TIME_S + PROMOTION_TIME_S)
        await harness.wait_for(lambda: group.find_primary() is not None)
        self.assertNotEqual(writer.acknowledged, [])
        self.assertEqual(
            writer.list_lost(group), [], host.find_lines("change_started")
        )
