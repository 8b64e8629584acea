"""Random lists and changes of targets' entries, beside a model of the store.

``python -m tests.entry.test_listing_fuzz --examples 20000 --seed 7`` plays
more of them than the tests do.
"""

import argparse
import asyncio
from collections.abc import Collection
from typing import Any
from typing import NamedTuple
from unittest import mock

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog as catalog_module
from knapweedtally.core.groups import model
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import supervision
from knapweedtally.platform import records
from knapweedtally.platform import store_calls
from tests.entry import listing

GROUPS = ("g", "h")
REVISION = store_revisions.Revision(1, 1)
GRACE_S = catalog_module.MEMBERSHIP_GRACE_S


class Item(NamedTuple):
    """An object of the store; its target's number decides its group."""

    number: int
    revision: int
    address: int = 0
    started_ms: int = 0
    update_count: int = 1
    is_draining: bool = False
    is_malformed: bool = False

    @property
    def target(self) -> str:
        return f"i-{self.number}"

    @property
    def place(self) -> tuple[str, int]:
        return GROUPS[self.number % 2], self.address

    def make_object(self) -> store_calls.StoredObject:
        spec = listing.make_spec(
            f"10.0.0.{self.address}:80",
            backend=self.place[0],
            born=self.started_ms,
            seq=self.update_count,
            state="draining" if self.is_draining else "ready",
        )
        if self.is_malformed:
            del spec["slots"]
        revision = store_revisions.Revision(1, self.revision)
        return store_calls.StoredObject(self.target, revision, spec)

    def parse(self) -> model.TargetEntry:
        return records.parse_target(*self.make_object())


class ListStep(NamedTuple):
    """A complete list."""

    items: tuple[Item, ...]


class ChangeStep(NamedTuple):
    """An event of a watch."""

    item: Item
    is_removed: bool


class WaitStep(NamedTuple):
    """Time passes, and then the checks run."""

    duration_s: float


class PositionStep(NamedTuple):
    """A target reports a position of its log."""

    number: int
    position: int


class ConfigureStep(NamedTuple):
    """The configuration arrives."""


Step = ListStep | ChangeStep | WaitStep | PositionStep | ConfigureStep

items = st.builds(
    Item,
    number=st.integers(0, 7),
    revision=st.integers(1, 20),
    address=st.integers(1, 3),
    started_ms=st.sampled_from((0, 0, 1, 2)),
    update_count=st.integers(1, 3),
    is_draining=st.booleans(),
    is_malformed=st.sampled_from((False, False, False, True)),
)
steps = st.lists(
    st.one_of(
        st.builds(ListStep, st.lists(items, max_size=6).map(tuple)),
        st.builds(ChangeStep, items, st.booleans()),
        st.builds(WaitStep, st.sampled_from((0.05, 1.0, 5.0, GRACE_S + 0.1))),
        st.builds(PositionStep, st.integers(0, 7), st.integers(1, 9)),
        st.builds(ConfigureStep),
    ),
    min_size=1,
    max_size=14,
)


class StoreModel:
    """What the store was last seen to hold, by the order of revisions.

    Attributes:
        newest: newest readable item of each target that was ever seen.
        absent_since_s: since when the store holds nothing of a target.
        places: the places at which a target was ever seen.
    """

    def __init__(self) -> None:
        self.newest: dict[str, Item] = {}
        self.absent_since_s: dict[str, float] = {}
        self.places: dict[str, set[tuple[str, int]]] = {}

    def apply(self, step: Step, now_s: float) -> None:
        """Follow one step."""
        if isinstance(step, ListStep):
            readable = [item for item in step.items if not item.is_malformed]
            for item in sorted(readable, key=Item.parse, reverse=True):
                self._write(item)
            listed = {item.target for item in step.items}
            for target in self.newest.keys() - listed:
                self.absent_since_s.setdefault(target, now_s)
        elif isinstance(step, ChangeStep):
            if step.is_removed:
                self._remove(step.item, now_s)
            else:
                self._write(step.item)

    def _write(self, item: Item) -> None:
        known = self.newest.get(item.target, item)
        if item.is_malformed or item.revision < known.revision:
            return
        self.absent_since_s.pop(item.target, None)
        if item.revision > known.revision or known is item:
            self.newest[item.target] = item
            self.places.setdefault(item.target, set()).add(item.place)

    def _remove(self, item: Item, now_s: float) -> None:
        known = self.newest.get(item.target)
        if known is not None and item.revision >= known.revision:
            self.absent_since_s.setdefault(item.target, now_s)

    def forget_absent(self, members: Collection[str]) -> None:
        """Forget the targets that are neither in the store nor members.

        A host that no longer knows a target can't tell that an entry is older.
        """
        for target in self.absent_since_s.keys() - members:
            del self.absent_since_s[target]
            del self.newest[target]

    def has_expired(self, target: str, now_s: float) -> bool:
        """Return whether a target was absent for longer than the grace."""
        since_s = self.absent_since_s.get(target)
        return since_s is not None and now_s - since_s > GRACE_S

    def has_moved(self, target: str) -> bool:
        """Return whether a target was seen at several places."""
        return len(self.places.get(target, ())) > 1


class Game:
    """A host and the model, which play the same steps."""

    def __init__(self) -> None:
        self.host = listing.make_host()
        self.model = StoreModel()
        self.now_s = 100.0
        self.errors: list[Any] = []
        log = mock.Mock(write=self._record_line)
        supervision.install(asyncio.get_running_loop(), log, self.host.counters)

    def _record_line(self, event: str, **fields: Any) -> None:
        self.errors.append(fields)

    def play(self, step: Step) -> None:
        """Play one step and check what follows from it."""
        members = dict(self.host.catalog.members)
        positions = self._get_positions()
        self.model.apply(step, self.now_s)
        self._apply(step)
        self._check_members(members)
        self._check_pools(members, positions)
        self.model.forget_absent(self.host.catalog.members.keys())
        assert not self.errors, self.errors

    def _apply(self, step: Step) -> None:
        host = self.host
        if isinstance(step, ListStep):
            self._check_order(step)
            host._apply_entries([item.make_object() for item in step.items])
        elif isinstance(step, ChangeStep):
            stored = step.item.make_object()
            host._apply_entry_change(
                store_calls.Change(stored, step.is_removed)
            )
        elif isinstance(step, PositionStep):
            for router in host.routers.values():
                pool = router.pools.get(f"i-{step.number}")
                if pool is not None:
                    pool.received = max(
                        pool.received, model.Position(1, step.position)
                    )
        elif isinstance(step, WaitStep):
            self.now_s += step.duration_s
            host.tick(self.now_s)
        else:
            groups = [{"name": name, "maxConns": 8} for name in GROUPS]
            spec = {**listing.make_configuration(), "backends": groups}
            host.configuration.apply_objects(
                [store_calls.StoredObject("main", REVISION, spec)]
            )
            host.tick(self.now_s)

    def _check_order(self, step: ListStep) -> None:
        entries = [i.parse() for i in step.items if not i.is_malformed]
        listed = {item.target for item in step.items}
        known = self.host.catalog
        update = catalog_module.compute_update(known, entries, listed)
        reverse = catalog_module.compute_update(known, entries[::-1], listed)
        assert update.members == reverse.members
        assert update.hidden == reverse.hidden

    def _check_members(self, before: dict[str, catalog_module.Member]) -> None:
        """Check that members leave only by a successor or by expiry."""
        after = self.host.catalog.members
        taken: list[str] = []
        for target in before.keys() - after.keys():
            successors = [
                new
                for new, member in after.items()
                if new not in before and target in member.former
            ]
            if not successors:
                assert self.model.has_expired(target, self.now_s), target
            taken += successors
        # Each leaves a member behind, so no group gets smaller.
        assert len(taken) == len(set(taken)), taken
        for target, item in self.model.newest.items():
            if target in after:
                assert after[target].entry == item.parse(), target
            elif target not in self.model.absent_since_s:
                assert self._list_members_at(item.place), target
        for group in GROUPS:
            for address in range(1, 4):
                at = self._list_members_at((group, address))
                # A member that moved to another's place replaces nobody, and
                # neither does its successor there.
                settled = [
                    target
                    for target in at
                    if not any(
                        self.model.has_moved(life)
                        for life in (target, *after[target].former)
                    )
                ]
                assert len(settled) <= 1, settled

    def _list_members_at(self, place: tuple[str, int]) -> list[str]:
        group, number = place
        return [
            target
            for target, member in self.host.catalog.members.items()
            if (member.entry.group, member.entry.address)
            == (group, f"10.0.0.{number}")
        ]

    def _get_positions(self) -> dict[str, model.Position]:
        return {
            target: pool.get_newest_position()
            for router in self.host.routers.values()
            for target, pool in router.pools.items()
        }

    def _check_pools(
        self,
        members: dict[str, catalog_module.Member],
        positions: dict[str, model.Position],
    ) -> None:
        """Check that each member has one pool, and that no floor sinks."""
        if not self.host.routers:
            return
        pools = [
            (target, pool)
            for router in self.host.routers.values()
            for target, pool in router.pools.items()
        ]
        after = self.host.catalog.members
        assert sorted(target for target, _ in pools) == sorted(after)
        for target, pool in pools:
            assert pool.entry == after[target].entry
            former = after[target].former[:1]
            for known in (target,) if target in members else former:
                floor = positions.get(known, model.Position(0, 0))
                assert pool.get_newest_position() >= floor, target


def play(played: list[Step]) -> None:
    """Play steps on a new host."""

    async def run() -> None:
        with listing.connect_to_nothing():
            game = Game()
            with mock.patch.object(clock, "get_time_s", lambda: game.now_s):
                for step in played:
                    game.play(step)

    asyncio.run(run())


class ListingFuzzTest(testtools.TestCase):
    """Lists and changes that no store should send, or only rarely."""

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(steps)
    def test_members_and_pools_follow_the_store(
        self, played: list[Step]
    ) -> None:
        play(played)


def main() -> None:
    """Play as many examples as the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=20000)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    run = hypothesis.given(steps)(play)
    run = hypothesis.settings(
        deadline=None,
        max_examples=arguments.examples,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )(run)
    hypothesis.seed(arguments.seed)(run)()
    print(f"{arguments.examples} examples passed")


if __name__ == "__main__":
    main()
