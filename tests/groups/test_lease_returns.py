"""Holders of the promotion lease before a store that comes back older.

Drawn runs of claims, renewals, lost and late calls, restarts of hosts and
returns of the store from copies, in simulated time. A line of docs/PROOFS.md
says which rule fails which seed if it is taken out.
"""

import asyncio
import dataclasses
import itertools
import random
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple
from unittest import mock

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import promotion_lease
from knapweedtally.entry.common import clock
from knapweedtally.entry.fleet import store
from knapweedtally.entry.members import lease_manager
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import http
from standins.line_platform import store as store_module
from tests.groups import virtual_loop

HOSTS = ("a", "b", "c")
SEEDS = 40
DURATION_S = 60.0
MAX_COPY_AGE_S = 4.0


class Act(NamedTuple):
    """One call that a holder made under its lease."""

    at_s: float
    holder: str
    fence: int


class Run:
    """One run, and what the holders did in it."""

    def __init__(self, seed: int) -> None:
        self.acts: list[Act] = []
        self.returns = 0
        self._random = random.Random(seed)
        self._loop = virtual_loop.VirtualLoop(100.0)
        self.server = store_module.Store()
        self._late: set[asyncio.Task[Any]] = set()

    def play(self, scenario: Coroutine[Any, Any, Any] | None = None) -> Any:
        """Play a scenario, or else a drawn run."""
        asyncio.set_event_loop(self._loop)
        with mock.patch.object(clock, "get_time_s", self._loop.time):
            result = self._loop.run_until_complete(scenario or self._play())
        self._loop.discard_timers()
        self._loop.close()
        return result

    def make_manager(self, host: str) -> lease_manager.LeaseManager:
        client: Any = store.StoreClient(
            settings.Address("127.0.0.1", 1), mock.Mock()
        )
        client._client = self
        return lease_manager.LeaseManager(client, host, mock.Mock())

    async def _play(self) -> None:
        tasks = [asyncio.create_task(self._run_host(name)) for name in HOSTS]
        tasks.append(asyncio.create_task(self._run_store()))
        await asyncio.sleep(DURATION_S)
        for task in (*tasks, *self._late):
            task.cancel()
        await asyncio.gather(*tasks, *self._late, return_exceptions=True)

    async def _pause(self, longest_s: float) -> None:
        await asyncio.sleep(self._random.uniform(0.0, longest_s))

    async def _run_store(self) -> None:
        copies: list[tuple[float, store_module.StoreCopy]] = []
        next_return_s = self._loop.now_s + 3.0
        while True:
            copies.append((self._loop.now_s, self.server.make_copy()))
            await asyncio.sleep(0.25)
            if self._loop.now_s < next_return_s:
                continue
            self.server.is_down = True
            await self._pause(1.5)
            self.server.is_down = False
            oldest_s = self._loop.now_s - MAX_COPY_AGE_S
            usable = [content for at_s, content in copies if at_s >= oldest_s]
            self.server.restore(self._random.choice(usable or [copies[-1][1]]))
            self.returns += 1
            copies.clear()
            next_return_s = self._loop.now_s + self._random.uniform(0.3, 12.0)

    async def send(
        self, request: http.Request, timeout_s: float = 0.0
    ) -> http.Response:
        """Make a call, which may be lost and may be executed late."""
        await self._pause(0.03)
        if self._random.random() < 0.05:
            self._late.add(asyncio.create_task(self._execute_late(request)))
            await asyncio.sleep(timeout_s)
            raise http.ResponseLost("lost")
        response = await self.server.answer(request)
        await self._pause(0.03)
        return response

    async def _execute_late(self, request: http.Request) -> None:
        await self._pause(3.0)
        await self.server.answer(request)

    async def _run_host(self, name: str) -> None:
        for number in itertools.count():
            manager = self.make_manager(name)
            for _ in range(self._random.randint(4, 20)):
                await self._pause(0.8)
                try:
                    await manager.claim()
                    await self._act(manager, f"{name}-{number}")
                except lease_manager.LeaseLost:
                    continue

    async def _act(
        self, manager: lease_manager.LeaseManager, holder: str
    ) -> None:
        for _ in range(self._random.randint(1, 8)):
            await self._pause(0.4)
            manager.check_generation()
            if not manager.may_act():
                return
            self.acts.append(Act(self._loop.now_s, holder, manager.fence))
            await manager.renew()
        if self._random.random() < 0.7:
            await manager.release()


def find_breaches(acts: list[Act]) -> list[str]:
    """Return where a number went back, or two holders had the same one."""
    holders: dict[int, str] = {}
    breaches = []
    highest = 0
    for act in acts:
        if holders.setdefault(act.fence, act.holder) != act.holder:
            breaches.append(f"{act}: the number of {holders[act.fence]}")
        if act.fence < highest:
            breaches.append(f"{act}: after {highest}")
        highest = max(highest, act.fence)
    return breaches


def play_seed(seed: int) -> list[str]:
    """Return the breaches of one run."""
    run = Run(seed)
    run.play()
    assert run.returns > 3 and len({act.fence for act in run.acts}) > 3
    return find_breaches(run.acts)


class LateReleaseTest(testtools.TestCase):
    """A release that was sent before the store's return, executed after it."""

    def play(self) -> bool:
        """Return whether a third host could claim at once."""
        run = Run(0)
        server = run.server

        async def claim(manager: lease_manager.LeaseManager) -> None:
            await asyncio.sleep(promotion_lease.LEASE_DURATION_S)
            await manager.claim()

        async def scenario() -> bool:
            first, second, third = (run.make_manager(name) for name in HOSTS)
            await first.observe()
            content = server.make_copy()
            await claim(first)
            stored = server.get_objects(lease_manager.LEASE_KIND)
            released = first._lease._replace(is_held=False)
            late = store_calls.make_replace_request(
                lease_manager.LEASE_KIND,
                lease_manager.LEASE_NAME,
                promotion_lease.format_lease(released),
                stored[lease_manager.LEASE_NAME]["meta"]["rev"],
            )
            server.restore(content)
            for manager in (second, third):
                await manager.observe()
            await claim(second)
            await server.answer(late)
            try:
                await third.claim()
            except lease_manager.LeaseLost:
                return False
            return second.may_act()

        return run.play(scenario())

    def test_no_host_claims_at_once_beside_the_holder(self) -> None:
        self.assertFalse(self.play())

    def test_fails_if_the_generation_of_the_lease_is_ignored(self) -> None:
        claimable_at = promotion_lease.get_claimable_at_s

        def trust(lease: promotion_lease.Lease | None, *args: Any) -> float:
            return claimable_at(lease and lease._replace(generation=0), *args)

        with mock.patch.object(promotion_lease, "get_claimable_at_s", trust):
            self.assertTrue(self.play())


class LeaseReturnTest(testtools.TestCase):
    def test_no_number_twice_and_none_lower(self) -> None:
        # Two hosts promoted with the same number after a return.
        for seed in range(SEEDS):
            self.assertEqual([], play_seed(seed), f"seed {seed}")

    def test_fails_if_numbers_come_from_the_stored_lease_alone(self) -> None:
        with mock.patch.object(
            promotion_lease, "number_claim", lambda lease, revision: lease
        ):
            self.assertNotEqual([], play_seed(1))

    def test_fails_if_numbers_come_from_generation_and_lease(self) -> None:
        # A late write of the earlier generation took the number back.
        def number(
            lease: promotion_lease.Lease, revision: store_revisions.Revision
        ) -> promotion_lease.Lease:
            first = revision.generation * promotion_lease.FENCES_PER_GENERATION
            return lease._replace(fence=max(lease.fence, first + 1))

        with mock.patch.object(promotion_lease, "number_claim", number):
            self.assertNotEqual([], play_seed(43))

    def test_fails_without_the_wait_for_a_lost_lease(self) -> None:
        claimable_at = promotion_lease.get_claimable_at_s

        def ignore_sight(*args: Any) -> float:
            *others, generation = args
            unseen = dataclasses.replace(generation, seen_s=None)
            return claimable_at(*others, unseen)

        with mock.patch.object(
            promotion_lease, "get_claimable_at_s", ignore_sight
        ):
            self.assertNotEqual([], play_seed(169))
