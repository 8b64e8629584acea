"""Tests of the current configuration and the known targets."""

import itertools

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import model

REVISION = store_revisions.Revision(1, 5)


def make_entry(target: str = "i-1", **changes: object) -> model.TargetEntry:
    entry = model.TargetEntry(
        target, REVISION, "g", "10.0.0.1", 80, "dc", 0, 1, False, False, 2
    )
    revision = changes.get("revision")
    if isinstance(revision, int):
        changes["revision"] = make_revision(revision)
    return entry._replace(**changes)  # type: ignore[arg-type]


def make_revision(number: int, generation: int = 1) -> store_revisions.Revision:
    return store_revisions.Revision(generation, number)


def make_configuration(version: int) -> model.Configuration:
    return model.Configuration(version, {}, {}, 0.0)


class ConfigurationTest(testtools.TestCase):
    """The version of the configuration never decreases."""

    def test_older_version_is_not_applied(self) -> None:
        known = catalog.Catalog()
        self.assertTrue(
            catalog.apply_configuration(known, make_configuration(7))
        )
        self.assertFalse(
            catalog.apply_configuration(known, make_configuration(6))
        )
        assert known.configuration is not None
        self.assertEqual(known.configuration.version, 7)


class EntryTest(testtools.TestCase):
    """Entries are ordered by the store's revision."""

    def test_older_revision_is_ignored(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(revision=9, is_draining=True))
        catalog.update_entry(known, make_entry(revision=8))
        self.assertTrue(known.members["i-1"].entry.is_draining)

    def test_later_start_time_is_a_restart(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(started_ms=100, update_count=9))
        restarted = make_entry(revision=6, started_ms=200, update_count=1)
        update = catalog.update_entry(known, restarted)
        self.assertEqual(("i-1",), update.restarted)

    def test_decreasing_update_count_is_a_restart(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(update_count=9))
        restarted = make_entry(revision=6, update_count=1)
        update = catalog.update_entry(known, restarted)
        self.assertEqual(("i-1",), update.restarted)

    def test_increasing_update_count_is_no_restart(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(update_count=1))
        update = catalog.update_entry(
            known, make_entry(revision=6, update_count=2)
        )
        self.assertEqual(((), ()), (update.added, update.restarted))


class SettledTest(testtools.TestCase):
    """Whether every running target has had time to be listed."""

    def test_first_list_settles_after_expired_entries_are_back(self) -> None:
        known = catalog.Catalog()
        self.assertFalse(known.is_settled(1e6))
        catalog.update_entries(known, [make_entry()], 10.0)
        settled_s = 10.0 + catalog.SETTLING_TIME_S
        self.assertFalse(known.is_settled(settled_s - 0.01))
        catalog.update_entries(known, [make_entry()], settled_s - 0.01)
        self.assertTrue(known.is_settled(settled_s))


class MissingTest(testtools.TestCase):
    """Targets whose entries expire while the store is unavailable."""

    def test_missing_target_stays_usable_for_grace_period(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.update_entries(known, [], 20.0)
        member = known.members["i-1"]
        self.assertTrue(catalog.is_usable(member, 21.0))
        late_s = 20.0 + catalog.MISSING_ENTRY_GRACE_S
        self.assertFalse(catalog.is_usable(member, late_s))

    def test_returned_entry_is_usable_again(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        catalog.update_entry(known, make_entry(revision=7))
        self.assertTrue(catalog.is_usable(known.members["i-1"], 40.0))

    def test_target_missing_for_too_long_is_removed(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        self.assertEqual((), catalog.remove_expired(known, {}, 21.0).gone)
        self.assertEqual({"i-1"}, set(known.members))
        late_s = 20.1 + catalog.MEMBERSHIP_GRACE_S
        self.assertEqual(
            ("i-1",), catalog.remove_expired(known, {}, late_s).gone
        )
        self.assertEqual({}, known.members)

    def test_unreadable_entry_in_a_list_is_not_missing(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.update_entries(known, [], 20.0, ["i-1"])
        self.assertIsNone(known.members["i-1"].missing_since_s)

    def test_removal_of_an_older_entry_is_past(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(revision=9))
        catalog.mark_missing(known, "i-1", 20.0, make_revision(8))
        self.assertIsNone(known.members["i-1"].missing_since_s)
        catalog.mark_missing(known, "i-1", 20.0, make_revision(9))
        self.assertEqual(20.0, known.members["i-1"].missing_since_s)

    def test_entry_of_the_same_revision_is_no_restart(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(update_count=2))
        catalog.mark_missing(known, "i-1", 20.0)
        update = catalog.update_entry(known, make_entry(update_count=1))
        self.assertEqual((), update.restarted)
        self.assertIsNone(known.members["i-1"].missing_since_s)

    def test_missing_target_that_answers_stays_a_member(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        late_s = 30.0 + catalog.MEMBERSHIP_GRACE_S
        answered_s = {"i-1": 30.0}
        update = catalog.remove_expired(known, answered_s, late_s)
        self.assertEqual((), update.gone)
        late_s += 0.1
        update = catalog.remove_expired(known, answered_s, late_s)
        self.assertEqual(("i-1",), update.gone)

    def test_removed_target_is_departed_until_it_returns(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        catalog.remove_expired(known, {"i-1": 21.0}, 40.0)
        departed = former_members.list_departed(known, make_entry().group)
        self.assertEqual(
            departed,
            [catalog.DepartedMember("i-1", make_entry(), 21.0)],
        )
        catalog.update_entry(known, make_entry(revision=9))
        self.assertEqual(
            former_members.list_departed(known, make_entry().group), []
        )


class SuccessionTest(testtools.TestCase):
    """Targets that go on with another id at the same address."""

    def test_newest_life_at_an_address_succeeds_the_member(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1"))
        catalog.update_entry(known, make_entry("i-2", address="10.0.0.2"))
        update = catalog.update_entry(known, make_entry("i-3", revision=9))
        self.assertEqual((catalog.Succession("i-1", "i-3"),), update.succeeded)
        self.assertEqual({"i-2", "i-3"}, set(known.members))
        self.assertEqual(("i-1",), known.members["i-3"].former)

    def test_same_address_in_another_group_is_another_member(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1", group="other"))
        update = catalog.update_entry(known, make_entry("i-3", revision=9))
        self.assertEqual((), update.succeeded)
        self.assertEqual({"i-1", "i-3"}, set(known.members))

    def test_order_of_a_list_does_not_matter(self) -> None:
        entries = [
            make_entry(target, revision=revision)
            for target, revision in (("i-1", 5), ("i-2", 6), ("i-3", 7))
        ]
        for listed in itertools.permutations(entries):
            known = catalog.Catalog()
            catalog.update_entry(known, make_entry("i-1"))
            update = catalog.update_entries(known, listed, 10.0)
            self.assertEqual(
                (catalog.Succession("i-1", "i-3"),), update.succeeded
            )
            self.assertEqual({"i-3"}, set(known.members))
            self.assertEqual({"i-1", "i-2"}, set(known.hidden))

    def test_former_life_in_a_later_list_does_not_count(self) -> None:
        known = catalog.Catalog()
        lives = [make_entry("i-1"), make_entry("i-2", revision=6)]
        catalog.update_entries(known, lives, 10.0)
        update = catalog.update_entries(known, lives, 11.0)
        self.assertEqual(((), ()), (update.added, update.succeeded))
        self.assertEqual({"i-2"}, set(known.members))

    def test_late_write_of_a_replaced_life_changes_nothing(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1"))
        catalog.update_entry(known, make_entry("i-2", revision=6))
        late = catalog.update_entry(known, make_entry("i-1", revision=7))
        self.assertEqual((), late.succeeded)
        self.assertEqual({"i-2"}, set(known.members))
        catalog.mark_missing(known, "i-1", 20.0)
        self.assertEqual({"i-2"}, set(known.members))

    def test_hidden_life_counts_once_the_member_has_expired(self) -> None:
        known = catalog.Catalog()
        lives = [make_entry("i-1"), make_entry("i-2", revision=6)]
        catalog.update_entries(known, lives, 10.0)
        catalog.mark_missing(known, "i-2", 20.0)
        late_s = 20.1 + catalog.MEMBERSHIP_GRACE_S
        update = catalog.remove_expired(known, {}, late_s)
        self.assertEqual((catalog.Succession("i-2", "i-1"),), update.succeeded)
        self.assertEqual((), update.gone)
        self.assertEqual({"i-1"}, set(known.members))

    def test_removed_life_does_not_return(self) -> None:
        known = catalog.Catalog()
        lives = [make_entry("i-1"), make_entry("i-2", revision=6)]
        catalog.update_entries(known, lives, 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        catalog.mark_missing(known, "i-2", 20.0)
        late_s = 20.1 + catalog.MEMBERSHIP_GRACE_S
        self.assertEqual(
            ("i-2",), catalog.remove_expired(known, {}, late_s).gone
        )
        self.assertEqual({}, known.members)

    def test_member_that_moves_replaces_no_other_member(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1"))
        catalog.update_entry(known, make_entry("i-2", address="10.0.0.2"))
        update = catalog.update_entry(known, make_entry("i-2", revision=9))
        self.assertEqual(("i-2",), update.restarted)
        self.assertEqual({"i-1", "i-2"}, set(known.members))

    def test_computing_an_update_changes_nothing(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1"))
        catalog.compute_update(known, [make_entry("i-2", revision=9)], ())
        self.assertEqual({"i-1"}, set(known.members))
        self.assertIsNone(known.members["i-1"].missing_since_s)
