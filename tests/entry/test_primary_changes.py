"""Tests of an entry host while a group's primary changes."""

import asyncio

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.entry import acknowledgements
from knapweedtally.entry import clock
from tests.entry import harness

StartsWith = testtools.matchers.StartsWith


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
