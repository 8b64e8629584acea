"""Tests of the record of members that entry hosts keep in the store."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import change_notices
from knapweedtally.entry.members import member_records
from standins.line_platform import targets
from tests.entry import harness
from tests.entry import test_primary_changes

GRACE_S = test_primary_changes.SHORT_MEMBERSHIP_GRACE_S


def list_recorded(system: harness.System) -> list[str]:
    """Return the ids in the record of group g."""
    objects = system.platform.store.get_objects(member_records.MEMBERS_KIND)
    return sorted(objects["g"]["spec"]["members"]) if "g" in objects else []


class RecordTest(testtools.TestCase):
    """The record follows the members."""

    @harness.with_system(hosts=3)
    async def test_record_has_the_members_once_a_host_is_ready(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        await harness.wait_for(
            lambda: list_recorded(system) == sorted(group.targets)
        )

    @harness.with_system(hosts=2)
    async def test_quiet_groups_need_no_calls(
        self, system: harness.System
    ) -> None:
        await asyncio.sleep(2 * member_records.UNCONFIRMED_INTERVAL_S)
        records = member_records.MemberRecords
        with (
            mock.patch.object(records, "_read") as read,
            mock.patch.object(records, "_write") as write,
            mock.patch.object(records, "_list") as list_,
        ):
            await asyncio.sleep(2 * member_records.UNCONFIRMED_INTERVAL_S)
        calls = (read.call_count, write.call_count, list_.call_count)
        self.assertEqual(calls, (0, 0, 0))

    @harness.with_system()
    async def test_member_is_recorded_if_an_answer_is_lost(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        store = system.platform.store
        store.is_dropping_answers = True
        joining = targets.Target(group, "joining")
        await joining.start()
        group.targets[joining.id] = joining
        await harness.wait_for(
            lambda: bool(system.entry_hosts[0].find_lines("store_call_failed"))
        )
        store.is_dropping_answers = False
        await harness.wait_for(
            lambda: list_recorded(system) == sorted(group.targets)
        )

    @harness.with_system()
    async def test_malformed_record_is_replaced(
        self, system: harness.System
    ) -> None:
        store = system.platform.store
        store.put(member_records.MEMBERS_KIND, "g", {"members": [1]})
        host = await harness.add_host(system)
        group = system.platform.groups["g"]
        await harness.wait_for(
            lambda: list_recorded(system) == sorted(group.targets)
        )
        await harness.wait_for(host.host.is_ready)

    @harness.with_system()
    async def test_store_that_is_down_delays_no_host_for_long(
        self, system: harness.System
    ) -> None:
        host = system.entry_hosts[0].host
        with mock.patch.object(host._records, "_is_settled", False):
            host._records._records["g"].revision = None
            system.platform.store.is_down = True
            await harness.wait_for(host.is_ready)


class GoneMemberTest(testtools.TestCase):
    """A member that is gone for good."""

    # Guards against a group that waits for ever for a recorded member.
    @harness.with_system()
    async def test_member_that_is_gone_holds_up_no_promotion(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        primary, gone = list(group.targets.values())[:2]
        writer = harness.Writer(system.entry_hosts[0].port, "g-primary")
        with mock.patch.object(catalog, "MEMBERSHIP_GRACE_S", GRACE_S):
            await writer.run_for(0.5)
            gone.has_platform_entry = False
            system.platform.store.remove("servers", gone.id)
            await gone.stop()
            await writer.run_until(lambda: gone.id not in list_recorded(system))
            host = await harness.add_host(system)
            await harness.wait_for(host.host.is_ready)
            await writer.run_for(0.5)
            await primary.stop()
            await harness.wait_for(lambda: group.find_primary() is not primary)
            await writer.run_for(0.5)
        self.assertEqual(writer.list_lost(group), [])


def read_generation(system: harness.System) -> int | None:
    """Return the generation with which the last primary is recorded."""
    records = system.platform.store.get_objects(member_records.MEMBERS_KIND)
    primary = records["g"]["spec"].get("primary") or {}
    generation: int | None = primary.get("generation")
    return generation


class LastPrimaryTest(testtools.TestCase):
    """A group without a primary whose record has members that are gone."""

    async def lose_primary_and_hosts(
        self, system: harness.System, has_returned: bool = False
    ) -> tuple[harness.EntryHost, targets.Target]:
        """End two members for good, then the primary's lead, then the hosts.

        Args:
            system: the system.
            has_returned: whether the store then comes back from a copy.

        Returns:
            A host that started afterwards, and the last primary. Three of
            five recorded members answer.
        """
        group = system.platform.groups["g"]
        primary = group.get_primary()
        gone = [targets.Target(group, group.make_id()) for _ in range(2)]
        for target in gone:
            await target.start()
            group.targets[target.id] = target
        await harness.wait_for(
            lambda: list_recorded(system) == sorted(group.targets)
        )
        caller = harness.Caller(system.entry_hosts[0].port)
        await caller.start("g-primary")
        await caller.run("WRITE item 1")
        caller.close()
        # Its length isn't under test.
        with mock.patch.object(change_notices, "REQUEST_VALIDITY_S", 0.5):
            await harness.wait_for(lambda: read_generation(system) == 1)
        primary.is_primary = False
        for target in gone:
            target.has_platform_entry = False
            system.platform.store.remove("servers", target.id)
            await target.stop()
        for host in tuple(system.entry_hosts):
            await host.stop()
        if has_returned:
            store = system.platform.store
            store.restore(store.make_copy())
        return await harness.add_host(system), primary

    # Guards against a group that stays without a primary for ever.
    @harness.with_system()
    async def test_group_is_led_again_from_the_log_of_the_last_primary(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        host, _ = await self.lose_primary_and_hosts(system)
        await harness.wait_for(lambda: group.find_primary() is not None)
        self.assertEqual(group.get_primary().read("item"), "1")
        started = host.find_lines("change_started")[0]
        self.assertTrue(started["has_log_proof"])

    # Guards against the loss of commits of a later primary, if the store has
    # lost the term for which its promotion was requested.
    @harness.with_system()
    async def test_last_primary_of_before_a_return_is_no_proof(
        self, system: harness.System
    ) -> None:
        host, _ = await self.lose_primary_and_hosts(system, has_returned=True)
        await harness.wait_for(
            lambda: len(host.find_lines("group_without_primary")) > 3
        )
        self.assertIsNone(system.platform.groups["g"].find_primary())

    # Guards against the loss of commits that only the gone members had.
    @harness.with_system()
    async def test_log_that_was_lost_is_no_proof(
        self, system: harness.System
    ) -> None:
        group = system.platform.groups["g"]
        host, primary = await self.lose_primary_and_hosts(system)
        primary.log.clear()
        await harness.wait_for(
            lambda: len(host.find_lines("group_without_primary")) > 3
        )
        self.assertIsNone(group.find_primary())
        report = host.find_lines("group_without_primary")[0]
        self.assertEqual(len(report["answering"]), 3)
        self.assertEqual(report["last_primary"], primary.id)
