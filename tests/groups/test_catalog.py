"""Tests of the configuration in force and the known targets."""

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
    """Versions only rise."""

    def test_older_version_is_not_taken(self) -> None:
        known = catalog.Catalog()
        self.assertTrue(catalog.put_configuration(known, make_configuration(7)))
        self.assertFalse(
            catalog.put_configuration(known, make_configuration(6))
        )
        assert known.configuration is not None
        self.assertEqual(known.configuration.version, 7)


class EntryTest(testtools.TestCase):
    """Entries are ordered by the store's revision."""

    def test_older_revision_is_not_taken(self) -> None:
        known = catalog.Catalog()
        catalog.put_entry(known, make_entry(revision=9, is_draining=True))
        catalog.put_entry(known, make_entry(revision=8))
        self.assertTrue(known.members["i-1"].entry.is_draining)

    def test_start_under_same_id_is_a_new_life(self) -> None:
        known = catalog.Catalog()
        catalog.put_entry(known, make_entry(started_ms=100, update=9))
        renewed = make_entry(revision=6, started_ms=200, update=1)
        self.assertTrue(catalog.put_entry(known, renewed))

    def test_count_that_falls_is_a_new_life(self) -> None:
        known = catalog.Catalog()
        catalog.put_entry(known, make_entry(update=9))
        renewed = make_entry(revision=6, update=1)
        self.assertTrue(catalog.put_entry(known, renewed))

    def test_update_is_no_new_life(self) -> None:
        known = catalog.Catalog()
        catalog.put_entry(known, make_entry(update=1))
        self.assertFalse(
            catalog.put_entry(known, make_entry(revision=6, update=2))
        )


class MissingTest(testtools.TestCase):
    """Entries lapse while the store is away."""

    def test_missing_target_is_used_on_for_a_while(self) -> None:
        known = catalog.Catalog()
        catalog.put_list(known, [make_entry()], 10.0)
        catalog.put_list(known, [], 20.0)
        member = known.members["i-1"]
        self.assertTrue(catalog.is_usable(member, 21.0))
        late_s = 20.0 + catalog.MISSING_GRACE_S
        self.assertFalse(catalog.is_usable(member, late_s))

    def test_returned_entry_is_usable_again(self) -> None:
        known = catalog.Catalog()
        catalog.put_list(known, [make_entry()], 10.0)
        catalog.note_missing(known, "i-1", 20.0)
        catalog.put_entry(known, make_entry(revision=7))
        self.assertTrue(catalog.is_usable(known.members["i-1"], 40.0))

    def test_gone_target_is_forgotten(self) -> None:
        known = catalog.Catalog()
        catalog.put_list(known, [make_entry()], 10.0)
        catalog.note_missing(known, "i-1", 20.0)
        self.assertEqual(catalog.forget_gone(known, 21.0), [])
        late_s = 20.1 + catalog.MEMBER_GRACE_S
        self.assertEqual(catalog.forget_gone(known, late_s), ["i-1"])


class PredecessorTest(testtools.TestCase):
    """A target that starts again under another id."""

    def test_found_at_the_same_address(self) -> None:
        known = catalog.Catalog()
        catalog.put_entry(known, make_entry("i-1"))
        catalog.put_entry(known, make_entry("i-2", address="10.0.0.2"))
        new = make_entry("i-3", revision=9)
        self.assertEqual(catalog.find_predecessor(known, new), "i-1")

    def test_address_of_another_group_says_nothing(self) -> None:
        known = catalog.Catalog()
        catalog.put_entry(known, make_entry("i-1", group="other"))
        new = make_entry("i-3", revision=9)
        self.assertIsNone(catalog.find_predecessor(known, new))
