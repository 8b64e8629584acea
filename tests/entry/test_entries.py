"""Tests of lists in which one address belongs to several targets.

The lists are ordered by id, and the entries' ages by the order of writing.
"""

import asyncio
import functools
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps
from knapweedtally.entry.common import clock
from tests.entry import listing as listing_module

_Scenario = Callable[[Any, listing_module.ListingHost], Awaitable[None]]


def with_host(test: _Scenario) -> Callable[[Any], None]:
    """Run a test with a host that isn't started."""

    @functools.wraps(test)
    def run_test(case: Any) -> None:
        async def run() -> None:
            async with listing_module.run_host() as listing:
                await test(case, listing)

        asyncio.run(run())

    return run_test


def put(
    listing: listing_module.ListingHost, target: str, number: int = 1
) -> None:
    """Write an entry of a target at the address with a number."""
    spec = listing_module.make_spec(f"10.0.0.{number}:80")
    listing.store.put("servers", target, spec)


class StartTest(testtools.TestCase):
    """The first list names the same address several times."""

    def check_start(
        self, listing: listing_module.ListingHost, *lives: str
    ) -> Awaitable[None]:
        async def check() -> None:
            for target in lives:
                put(listing, target)
            put(listing, "i-other", 2)
            listing.start()
            await listing.wait_until_watching()
            expected = {lives[-1], "i-other"}
            self.assertEqual(expected, set(listing.host.catalog.members))
            self.assertEqual(expected, set(listing.router.pools))

        return check()

    @with_host
    async def test_former_life_comes_first(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.check_start(listing, "i-1", "i-2")

    @with_host
    async def test_former_life_comes_last(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.check_start(listing, "i-2", "i-1")

    @with_host
    async def test_three_lives_in_order(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.check_start(listing, "i-1", "i-2", "i-3")

    @with_host
    async def test_three_lives_in_reverse_order(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.check_start(listing, "i-3", "i-2", "i-1")


class LaterTest(testtools.TestCase):
    """A later list names the same address several times."""

    async def start(
        self, listing: listing_module.ListingHost, first: str = "i-3"
    ) -> None:
        """Start with two members, and note a position of the first one."""
        put(listing, first)
        put(listing, "i-other", 9)
        listing.start()
        await listing.wait_until_watching()
        listing.router.pools[first].received = model.Position(1, 7)

    def check_successor(
        self, listing: listing_module.ListingHost, target: str
    ) -> None:
        members = {target, "i-other"}
        self.assertEqual(members, set(listing.host.catalog.members))
        self.assertEqual(members, set(listing.router.pools))
        pool = listing.router.pools[target]
        self.assertEqual(model.Position(1, 7), pool.get_newest_position())
        # A floor for promotions is nothing that reads may rely on.
        self.assertEqual(model.Position(0, 0), pool.load.position)

    @with_host
    async def test_two_successors_in_order(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        listing.store.is_withholding_events = True
        put(listing, "i-4")
        put(listing, "i-5")
        listing.store.is_withholding_events = False
        await listing.list_anew()
        self.check_successor(listing, "i-5")

    @with_host
    async def test_two_successors_in_reverse_order(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        listing.store.is_withholding_events = True
        put(listing, "i-5")
        put(listing, "i-4")
        listing.store.is_withholding_events = False
        await listing.list_anew()
        self.check_successor(listing, "i-4")

    @with_host
    async def test_successor_before_a_former_life_that_is_known(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        put(listing, "i-2")
        await listing.list_anew()
        self.check_successor(listing, "i-2")
        # The former life's entry is still there in the next list.
        await listing.list_anew()
        self.check_successor(listing, "i-2")

    @with_host
    async def test_two_lives_at_a_new_address(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        put(listing, "i-2", 3)
        put(listing, "i-1", 3)
        await listing.list_anew()
        members = {"i-1", "i-3", "i-other"}
        self.assertEqual(members, set(listing.host.catalog.members))
        self.assertEqual(members, set(listing.router.pools))

    @with_host
    async def test_former_life_counts_only_after_its_successor(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        put(listing, "i-2")
        await listing.list_anew()
        put(listing, "i-3")
        await listing.list_anew()
        self.check_successor(listing, "i-2")
        listing.store.remove("servers", "i-2")
        await listing.list_anew()
        self.check_successor(listing, "i-2")
        with mock.patch.object(catalog, "MEMBERSHIP_GRACE_S", -1.0):
            listing.host.tick(clock.get_time_s())
        self.check_successor(listing, "i-3")

    @with_host
    async def test_former_life_is_the_primary(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        leadership = listing.router.observer.leadership
        evidence.record_primary(leadership, "i-3", 1, 0.0)
        put(listing, "i-5")
        put(listing, "i-4")
        await listing.list_anew()
        listing.host.tick(0.0)
        self.assertIsNone(leadership.target)
        self.check_successor(listing, "i-4")

    @with_host
    async def test_former_life_is_a_fenced_member_of_a_change(
        self, listing: listing_module.ListingHost
    ) -> None:
        await self.start(listing)
        attempt = primary_change.begin_attempt(
            "g", steps.Cause.ABSENT, None, ("i-3", "i-other"), frozenset(), 1, 0
        )
        status = model.TargetStatus(
            False, 1, model.Position(1, 7), 2, 0.0, 0, 1
        )
        attempt.fenced["i-3"] = steps.OrderReport(status, 0.0)
        put(listing, "i-5")
        put(listing, "i-4")
        await listing.list_anew()
        primary_change.update_members(attempt, listing.router.members, 0.0)
        self.assertEqual({"i-4", "i-other"}, set(attempt.others))
        self.assertEqual({}, attempt.fenced)
        self.check_successor(listing, "i-4")
