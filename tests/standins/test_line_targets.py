"""Tests of the line platform's targets when their primary changes."""

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import testtools

from standins.line_platform import targets


def with_group(
    test: Callable[[Any, targets.Group], Awaitable[None]],
) -> Callable[[Any], None]:
    """Run a test with a running group of three targets."""

    @functools.wraps(test)
    def run_test(case: Any) -> None:
        async def run() -> None:
            group = targets.Group("g", 3, 16)
            for target in group.targets.values():
                await target.start()
            try:
                await test(case, group)
            finally:
                for target in group.targets.values():
                    await target.stop()

        asyncio.run(run())

    return run_test


def commit(primary: targets.Target, value: str) -> bool:
    """Commit a value and return whether a replica has received it."""
    group = primary.group
    return group.replicate(primary, group.append(primary, [("item", value)]))


def get_values(target: targets.Target) -> list[str]:
    """Return the values in a target's log."""
    return [data for entry in target.log for _, data in entry.writes]


class PrimaryChangeTest(testtools.TestCase):
    """Terms, roles and logs follow what the platform's page says."""

    @with_group
    async def test_member_never_follows_a_primary_of_an_earlier_term(
        self, group: targets.Group
    ) -> None:
        old, new, other = group.targets.values()
        group.promotion_notice_delay_s = 60.0
        commit(old, "1")
        group.promote(new.id)
        self.assertTrue(commit(new, "2"))
        new.is_primary = False
        for target in (new, other):
            await target.stop()
            await target.start()
            target.reconnect()
            self.assertEqual(2, target.term)
            self.assertEqual(["1", "2"], get_values(target))
        self.assertFalse(commit(old, "3"))
        self.assertIsNone(group.find_primary())
        self.assertEqual(2, len(group.get_newest_log()))

    @with_group
    async def test_replaced_primary_restarts_as_a_replica(
        self, group: targets.Group
    ) -> None:
        old, new, _ = group.targets.values()
        await old.stop()
        group.promote(new.id)
        new.is_primary = False
        await old.start()
        self.assertFalse(old.is_primary)

    @with_group
    async def test_restarted_primary_still_leads_its_own_term(
        self, group: targets.Group
    ) -> None:
        primary, *_ = group.targets.values()
        await primary.stop()
        await primary.start()
        primary.reconnect()
        self.assertTrue(primary.is_primary)
        self.assertTrue(commit(primary, "1"))

    @with_group
    async def test_replaced_primary_follows_a_new_one_that_returns(
        self, group: targets.Group
    ) -> None:
        old, new, _ = group.targets.values()
        new.is_partitioned = True
        group.promote(new.id)
        self.assertTrue(old.is_primary)
        new.reconnect()
        self.assertFalse(old.is_primary)
        self.assertEqual(2, old.term)

    @with_group
    async def test_pause_lasts_over_the_end_of_a_partition(
        self, group: targets.Group
    ) -> None:
        primary, paused, other = group.targets.values()
        other.is_partitioned = True
        paused.paused_for = 2
        paused.is_partitioned = True
        paused.reconnect()
        self.assertFalse(commit(primary, "1"))
        self.assertEqual(2, paused.paused_for)

    @with_group
    async def test_promotion_during_a_partition_ends_its_pause(
        self, group: targets.Group
    ) -> None:
        _, paused, new = group.targets.values()
        paused.paused_for = 2
        paused.is_partitioned = True
        group.promote(new.id)
        paused.reconnect()
        self.assertTrue(commit(new, "1"))
        self.assertEqual((2, 0), (paused.term, paused.paused_for))

    @with_group
    async def test_target_doesnt_receive_from_a_stopped_primary(
        self, group: targets.Group
    ) -> None:
        primary, cut_off, other = group.targets.values()
        cut_off.is_partitioned = True
        commit(primary, "1")
        await primary.stop()
        cut_off.reconnect()
        self.assertEqual([], get_values(cut_off))
        self.assertEqual(["1"], get_values(other))

    @with_group
    async def test_stopped_primary_sends_its_log_to_no_replica(
        self, group: targets.Group
    ) -> None:
        primary, *replicas = group.targets.values()
        for replica in replicas:
            replica.paused_for = 2
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", primary.port
        )
        writer.write(b"START g test\r\nQUERY q WRITE item 1\r\n")
        while not primary.log:
            await asyncio.sleep(0.001)
        await primary.stop()
        for replica in replicas:
            replica.paused_for = 0
        self.assertFalse(group.replicate(primary, primary.log[0]))
        # Longer than the interval at which the commit is sent again.
        await asyncio.sleep(0.05)
        self.assertEqual([[], []], [replica.log for replica in replicas])
        writer.close()

    @with_group
    async def test_replaced_target_keeps_its_address_and_maybe_its_log(
        self, group: targets.Group
    ) -> None:
        primary, first, second = group.targets.values()
        commit(primary, "1")
        for old, keeps_log in ((first, True), (second, False)):
            await old.stop()
            new = group.replace(old, keeps_log)
            await new.start()
            self.assertNotIn(old.id, group.targets)
            self.assertEqual(old.port, new.port)
            self.assertEqual(["1"] if keeps_log else [], get_values(new))
            self.assertFalse(new.is_primary)
            new.reconnect()
            self.assertEqual(["1"], get_values(new))
