"""Tests of the current configuration and the known targets."""

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import model


def make_entry(target: str = "i-1", **changes: object) -> model.TargetEntry:
    entry = model.TargetEntry(
        target, 5, "g", "10.0.0.1", 80, "dc", 0, 1, False, False, 2
    )
    return entry._replace(**changes)  # type: ignore[arg-type]


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
        self.assertTrue(catalog.update_entry(known, restarted))

    def test_decreasing_update_count_is_a_restart(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(update_count=9))
        restarted = make_entry(revision=6, update_count=1)
        self.assertTrue(catalog.update_entry(known, restarted))

    def test_increasing_update_count_is_no_restart(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry(update_count=1))
        self.assertFalse(
            catalog.update_entry(known, make_entry(revision=6, update_count=2))
        )


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
        self.assertEqual(catalog.remove_expired(known, {}, 21.0), [])
        late_s = 20.1 + catalog.MEMBERSHIP_GRACE_S
        self.assertEqual(catalog.remove_expired(known, {}, late_s), ["i-1"])

    def test_missing_target_that_answers_stays_a_member(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        late_s = 30.0 + catalog.MEMBERSHIP_GRACE_S
        answered_s = {"i-1": 30.0}
        self.assertEqual(catalog.remove_expired(known, answered_s, late_s), [])
        late_s += 0.1
        removed = catalog.remove_expired(known, answered_s, late_s)
        self.assertEqual(removed, ["i-1"])

    def test_removed_target_is_departed_until_it_returns(self) -> None:
        known = catalog.Catalog()
        catalog.update_entries(known, [make_entry()], 10.0)
        catalog.mark_missing(known, "i-1", 20.0)
        catalog.remove_expired(known, {"i-1": 21.0}, 40.0)
        departed = catalog.list_departed(known, make_entry().group)
        self.assertEqual(
            departed,
            [catalog.DepartedMember("i-1", make_entry().group, 21.0)],
        )
        catalog.update_entry(known, make_entry(revision=9))
        self.assertEqual(catalog.list_departed(known, make_entry().group), [])


class PredecessorTest(testtools.TestCase):
    """Targets that restart with another id."""

    def test_predecessor_had_the_same_address(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1"))
        catalog.update_entry(known, make_entry("i-2", address="10.0.0.2"))
        new = make_entry("i-3", revision=9)
        self.assertEqual(catalog.find_predecessor(known, new), "i-1")

    def test_same_address_in_another_group_is_ignored(self) -> None:
        known = catalog.Catalog()
        catalog.update_entry(known, make_entry("i-1", group="other"))
        new = make_entry("i-3", revision=9)
        self.assertIsNone(catalog.find_predecessor(known, new))
