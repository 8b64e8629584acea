"""Tests of the record of members that entry hosts keep in the store."""

import asyncio
from unittest import mock

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.entry import member_records
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
