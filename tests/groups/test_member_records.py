"""Tests of the record of a group's members."""

import json

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import former_members
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import member_records
from knapweedtally.core.groups import model
from tests.groups import test_catalog


def make_catalog(*targets: str) -> catalog.Catalog:
    """Return a catalog of listed targets at addresses of their own."""
    known = catalog.Catalog()
    for number, target in enumerate(targets):
        catalog.update_entry(
            known,
            test_catalog.make_entry(
                target, revision=5 + number, address=f"10.0.0.{number}"
            ),
        )
    return known


def read_record(known: catalog.Catalog) -> member_records.Members:
    """Return the record of a catalog's members as another host reads it."""
    entries = {t: member.entry for t, member in known.members.items()}
    spec = member_records.format_record(entries)
    members = member_records.parse_record("g", spec)
    assert members is not None
    return members


class ChangeTest(testtools.TestCase):
    """The change that a record needs."""

    def plan(
        self, recorded: catalog.Catalog, known: catalog.Catalog
    ) -> member_records.RecordChange | None:
        return member_records.plan_change(
            read_record(recorded),
            catalog.list_members(known, "g"),
            known.released,
        )

    def test_unchanged_members_need_no_write(self) -> None:
        known = make_catalog("i-1", "i-2")
        self.assertIsNone(self.plan(known, known))

    def plan_primary(
        self,
        recorded: last_primary.LastPrimary | None,
        known: last_primary.LastPrimary | None,
    ) -> last_primary.LastPrimary | None:
        members = make_catalog("i-1", "i-2")
        change = member_records.plan_change(
            read_record(members),
            catalog.list_members(members, "g"),
            (),
            recorded,
            known,
        )
        return change and change.primary

    # Guards against a host that restarts and knows no primary to start from,
    # and against a write for each host that knows an earlier one.
    def test_primary_of_a_later_term_is_recorded(self) -> None:
        start = model.Position(1, 4)
        first = last_primary.LastPrimary("i-1", 2, start)
        second = last_primary.LastPrimary("i-2", 3, start)
        self.assertEqual(self.plan_primary(None, first), first)
        self.assertEqual(self.plan_primary(first, second), second)
        for known in (None, first, second):
            self.assertIsNone(self.plan_primary(second, known))

    def test_successor_of_the_primary_is_recorded(self) -> None:
        old = last_primary.LastPrimary("i-0", 2, model.Position(1, 4))
        new = old._replace(target="i-1")
        self.assertEqual(self.plan_primary(old, new), new)

    def test_recorded_primary_is_read_as_written(self) -> None:
        known = last_primary.LastPrimary("i-1", 2, model.Position(1, 4))
        spec = json.loads(json.dumps(member_records.format_record({}, known)))
        self.assertEqual(member_records.parse_primary(spec), known)
        for broken in ({}, {"primary": 3}, {"primary": {"target": "a"}}, 7):
            self.assertIsNone(member_records.parse_primary(broken))

    def test_member_that_joins_is_added(self) -> None:
        change = self.plan(make_catalog("i-1"), make_catalog("i-1", "i-2"))
        assert change is not None
        added = [entry.target for entry in change.added]
        self.assertEqual((added, change.removed), (["i-2"], ()))

    def test_member_that_is_not_known_here_stays(self) -> None:
        change = self.plan(make_catalog("i-1", "i-2"), make_catalog("i-1"))
        self.assertIsNone(change)

    def test_former_life_is_removed_once_its_log_is_kept(self) -> None:
        # The successor may have started without the log.
        known = make_catalog("i-1")
        successor = test_catalog.make_entry(
            "i-2", revision=9, address="10.0.0.0"
        )
        catalog.update_entry(known, successor)
        change = self.plan(make_catalog("i-1"), known)
        assert change is not None
        self.assertEqual(change.removed, ())
        former_members.release_replaced(known, "i-1", 20.0)
        change = self.plan(make_catalog("i-1"), known)
        assert change is not None
        self.assertEqual(change.removed, ("i-1",))

    def test_released_member_is_removed(self) -> None:
        known = make_catalog("i-1", "i-2")
        catalog.mark_missing(known, "i-2", 10.0)
        catalog.remove_expired(known, {}, 11.0 + catalog.MEMBERSHIP_GRACE_S)
        self.assertIsNone(self.plan(make_catalog("i-1", "i-2"), known))
        former_members.release_departed(known, "i-2", 20.0)
        change = self.plan(make_catalog("i-1", "i-2"), known)
        assert change is not None
        self.assertEqual(change.removed, ("i-2",))

    def test_malformed_record_is_not_read(self) -> None:
        for spec in (
            None,
            {},
            {"members": None},
            {"members": {"i-1": {}}},
            {"members": {"i-1": {"address": "a", "port": "x"}}},
        ):
            self.assertIsNone(member_records.parse_record("g", spec), spec)

    def test_odd_values_cost_only_their_member_or_are_not_read(self) -> None:
        fields = {"address": "a", "port": 1, "data_centre": "d", "slots": 1}
        odd = {**fields, "port": 99_999}
        record = {"members": {"i-1": fields, "i-2": odd}}
        self.assertEqual(
            ["i-1"], list(member_records.parse_record("g", record) or ())
        )
        infinite = {"members": {"i-1": {**fields, "slots": float("inf")}}}
        self.assertIsNone(member_records.parse_record("g", infinite))
        primary = {"target": "i-1", "term": float("inf"), "position": [1, 2]}
        self.assertIsNone(member_records.parse_primary({"primary": primary}))


class RecordedMemberTest(testtools.TestCase):
    """Members that are known only from the record."""

    def test_recorded_target_without_an_entry_is_a_member(self) -> None:
        known = make_catalog("i-1")
        record = read_record(make_catalog("i-1", "i-2"))
        added = former_members.add_unlisted(known, record.values(), 10.0)
        self.assertEqual(added, ("i-2",))
        self.assertEqual(known.members["i-2"].missing_since_s, 10.0)

    def test_target_whose_address_another_member_has_is_none(self) -> None:
        known = make_catalog("i-2")
        record = read_record(make_catalog("i-1"))
        self.assertEqual(
            former_members.add_unlisted(known, record.values(), 1.0), ()
        )
        replaced = former_members.check_replaced(known, "g", 2.0)
        self.assertEqual(
            {"i-1": 1.0}, {t: r.replaced_s for t, r in replaced.items()}
        )
        self.assertEqual({"i-2"}, former_members.list_successors(known, "g"))

    # Guards against a group that counts two members at one address, of which
    # one never answers.
    def test_of_two_targets_at_one_address_the_one_that_runs_is_one(
        self,
    ) -> None:
        for running in ("i-1", "i-2"):
            listed, answering = catalog.Catalog(), catalog.Catalog()
            entry = test_catalog.make_entry(
                running, revision=9, address="10.0.0.0"
            )
            record = [*read_record(make_catalog("i-1")).values()]
            record += read_record(make_catalog("i-2")).values()
            for known in (listed, answering):
                former_members.add_unlisted(known, record, 10.0)
                self.assertEqual(2, len(known.members))
            catalog.update_entries(listed, [entry], 11.0)
            catalog.remove_expired(answering, {running: 11.0}, 11.0)
            for known in (listed, answering):
                self.assertEqual([running], list(known.members))
                self.assertEqual(1, len(known.replaced))

    def test_replaced_target_that_left_the_record_is_forgotten(self) -> None:
        known = make_catalog("i-2")
        record = read_record(make_catalog("i-1"))
        former_members.add_unlisted(known, record.values(), 1.0)
        self.assertTrue(former_members.has_unconfirmed(known, "g"))
        former_members.drop_unrecorded(known, "g", ("i-2",), 0)
        self.assertFalse(former_members.has_unconfirmed(known, "g"))
        self.assertEqual(
            frozenset(), former_members.list_successors(known, "g")
        )

    def test_released_target_at_an_occupied_address_is_not_asked(self) -> None:
        known = make_catalog("i-2")
        record = read_record(make_catalog("i-1"))
        former_members.add_unlisted(known, record.values(), 1.0)
        former_members.release_replaced(known, "i-1", 2.0)
        self.assertEqual({}, former_members.list_released(known, "g", 3.0))
        # Nor is it a member again if a record still names it.
        self.assertEqual(
            former_members.add_unlisted(known, record.values(), 4.0), ()
        )
        self.assertEqual({}, known.replaced)

    def test_entry_replaces_what_the_record_says(self) -> None:
        known = catalog.Catalog()
        record = read_record(make_catalog("i-1"))
        former_members.add_unlisted(known, record.values(), 10.0)
        entry = test_catalog.make_entry("i-1", revision=5, address="10.0.0.0")
        catalog.update_entry(known, entry)
        self.assertEqual(known.members["i-1"], catalog.Member(entry))

    def test_member_that_left_the_record_is_dropped(self) -> None:
        known = make_catalog("i-1")
        record = read_record(make_catalog("i-1", "i-2"))
        former_members.add_unlisted(known, record.values(), 10.0)
        dropped = former_members.drop_unrecorded(known, "g", ("i-1",), 0)
        self.assertEqual((dropped, list(known.members)), (("i-2",), ["i-1"]))

    def test_member_that_the_store_has_lost_is_recorded_again(self) -> None:
        # The group got smaller by a member without an entry.
        known = make_catalog("i-1")
        spec = member_records.format_record(
            read_record(make_catalog("i-1", "i-2"))
        )
        record = member_records.parse_record("g", spec, 1)
        assert record is not None
        former_members.add_unlisted(known, record.values(), 10.0)
        self.assertEqual(
            (), former_members.drop_unrecorded(known, "g", ("i-1",), 2)
        )
        older = read_record(make_catalog("i-1"))
        members = catalog.list_members(known, "g")
        change = member_records.plan_change(older, members, (), generation=2)
        assert change is not None
        self.assertEqual(["i-2"], [entry.target for entry in change.added])
        same = member_records.plan_change(older, members, (), generation=1)
        self.assertIsNone(same)

    def test_listed_member_stays_if_the_record_lacks_it(self) -> None:
        known = make_catalog("i-1")
        self.assertEqual(former_members.drop_unrecorded(known, "g", (), 0), ())

    def test_released_member_is_checked_for_a_limited_time(self) -> None:
        known = make_catalog("i-1")
        catalog.mark_missing(known, "i-1", 10.0)
        catalog.remove_expired(known, {}, 20.0)
        former_members.release_departed(known, "i-1", 20.0)
        self.assertEqual(
            list(former_members.list_released(known, "g", 21.0)), ["i-1"]
        )
        later_s = 21.0 + catalog.RELEASED_CHECK_S
        self.assertEqual(former_members.list_released(known, "g", later_s), {})
        # Else a recorder would drop it from the record when it comes back.
        self.assertEqual({}, known.released)
