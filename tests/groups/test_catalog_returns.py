"""Targets' entries in a store that comes back from an older copy.

Drawn sequences of what targets do, and of returns of the store. The members
that a host knows must be those that run, as they were last reported, once each
target has written its entry again; and none may get smaller or go back before.
"""

import copy
import dataclasses
from typing import Any
from unittest import mock

import hypothesis
import testtools
from hypothesis import strategies as st

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import model
from tests.groups import test_catalog

ADDRESSES = 3


@dataclasses.dataclass
class Target:
    """A target that runs, and writes its entry."""

    name: str
    address: int
    started_ms: int
    update_count: int = 0
    is_draining: bool = False


class Game:
    """Targets, the store and a host that lists and watches it."""

    def __init__(self, has_start_times: bool) -> None:
        self.number = 100
        self.generation = 1
        self.objects: dict[str, tuple[int, model.TargetEntry]] = {}
        self.targets: dict[int, Target] = {}
        self.copies: list[Any] = []
        self.known = catalog.Catalog()
        self.now_s = 100.0
        self.drained: set[str] = set()
        self._count = 0
        self._has_start_times = has_start_times
        for address in range(ADDRESSES):
            self.start(address)
        self.list_entries()

    def _make_entry(self, target: Target, number: int) -> model.TargetEntry:
        return test_catalog.make_entry(
            target.name,
            revision=test_catalog.make_revision(number, self.generation),
            address=f"10.0.0.{target.address}",
            started_ms=target.started_ms if self._has_start_times else 0,
            update_count=target.update_count,
            is_draining=target.is_draining,
        )

    # What targets do.

    def start(self, address: int) -> None:
        """Let a new target take an address, as after a release."""
        self._count += 1
        self.targets[address] = Target(f"i-{self._count}", address, self._count)
        self.write(address)

    def restart(self, address: int) -> None:
        self._count += 1
        target = self.targets[address]
        target.started_ms = self._count
        target.update_count, target.is_draining = 0, False
        self.drained.discard(target.name)
        self.write(address)

    def drain(self, address: int) -> None:
        self.targets[address].is_draining = True
        self.write(address)

    def replace(self, address: int) -> None:
        old = self.targets[address].name
        self.start(address)
        if self.objects.pop(old, None):
            self.number += 1
            revision = test_catalog.make_revision(self.number, self.generation)
            catalog.mark_missing(self.known, old, self.now_s, revision)

    def write(self, address: int) -> None:
        """Write an entry, which changes if more than its count does."""
        target = self.targets[address]
        target.update_count += 1
        stored = self.objects.get(target.name)
        number = stored[0] if stored else 0
        entry = self._make_entry(target, number)
        if stored is None or _describe(stored[1]) != _describe(entry):
            self.number += 1
            number = self.number
            entry = self._make_entry(target, number)
            catalog.update_entry(self.known, entry)
        self.objects[target.name] = (number, entry)

    # What the store and the host do.

    def list_entries(self) -> None:
        entries = [
            entry._replace(
                revision=test_catalog.make_revision(number, self.generation)
            )
            for number, entry in self.objects.values()
        ]
        catalog.update_entries(self.known, entries, self.now_s)

    def make_copy(self) -> None:
        self.copies.append((self.number, copy.copy(self.objects)))

    def come_back(self, age: int) -> None:
        if self.copies:
            index = max(0, len(self.copies) - 1 - age)
            self.number, objects = self.copies[index]
            self.objects = dict(objects)
            self.generation += 1
            del self.copies[index + 1 :]
        self.list_entries()

    def restart_host(self) -> None:
        self.known = catalog.Catalog()
        self.list_entries()

    def find_wrong(self) -> list[str]:
        """Return what the host must never do."""
        wrong = []
        for member in self.known.members.values():
            name = member.entry.target
            if member.entry.is_draining:
                self.drained.add(name)
            elif name in self.drained:
                wrong.append(f"{name} is ready again")
        groups = len({m.entry.address for m in self.known.members.values()})
        if groups < ADDRESSES:
            wrong.append("the group is smaller")
        return wrong

    def find_different(self) -> list[str]:
        """Return what the host doesn't know after each target has written."""
        for address in self.targets:
            self.write(address)
        return [
            f"{target}: {member and member.entry}"
            for target in self.targets.values()
            if (member := self.known.members.get(target.name)) is None
            or member.entry.is_draining is not target.is_draining
            or member.missing_since_s is not None
        ]


def _describe(entry: model.TargetEntry) -> model.TargetEntry:
    return entry._replace(update_count=0, revision=store_revisions.NO_REVISION)


_ADDRESS = st.integers(0, ADDRESSES - 1)
_STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(("write", "drain", "replace", "restart")), _ADDRESS
        ),
        st.tuples(st.just("come_back"), st.integers(0, 2)),
        st.tuples(st.sampled_from(("make_copy", "make_copy", "list_entries"))),
    ),
    max_size=14,
)


def play(steps: list[tuple[Any, ...]], has_start_times: bool) -> list[str]:
    """Play steps; return what went wrong."""
    game = Game(has_start_times)
    for name, *arguments in steps:
        if name in ("drain", "restart"):
            # What was never written can't be known after a return.
            game.write(arguments[0])
        getattr(game, name)(*arguments)
        wrong = game.find_wrong()
        if wrong:
            return wrong
    return game.find_different()


class EntryReturnTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=1500)
    @hypothesis.given(_STEPS)
    def test_members_are_those_that_run(
        self, steps: list[tuple[Any, ...]]
    ) -> None:
        # A draining target got work, since its report had a lower revision than
        # an entry that the store had lost.
        self.assertEqual([], play(steps, True))

    def test_report_after_a_return_is_taken(self) -> None:
        for has_start_times in (False, True):
            steps = [("make_copy",), ("replace", 0), ("come_back", 0)]
            steps += [("write", 0), ("drain", 0)]
            self.assertEqual([], play(steps, has_start_times))

    def test_entry_of_a_target_that_has_left_comes_back(self) -> None:
        # It would be a member again that can't be fenced.
        known = catalog.Catalog()
        entry = test_catalog.make_entry("i-1", update_count=8)
        catalog.update_entry(known, entry)
        catalog.mark_missing(known, "i-1", 1.0)
        catalog.remove_expired(known, {}, 100.0)
        former_members.release_departed(known, "i-1", 100.0)
        later = test_catalog.make_revision(4, 2)
        restored = entry._replace(revision=later, update_count=7)
        catalog.update_entries(known, [restored], 101.0)
        self.assertEqual({}, known.members)
        written = entry._replace(revision=later._replace(number=9))
        catalog.update_entry(known, written)
        self.assertIn("i-1", known.members)

    def test_fails_if_revisions_alone_order_the_entries(self) -> None:
        def compare(entry: model.TargetEntry, known: model.TargetEntry) -> bool:
            return entry.revision > known.revision

        steps = [("make_copy",), ("drain", 0), ("come_back", 0)]
        self.assertEqual([], play(steps, True))
        with mock.patch.object(catalog, "is_listed_newer", compare):
            self.assertNotEqual([], play(steps, True))
