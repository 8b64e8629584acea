"""Tests of how long a primary that leaves gets new work.

The users' bound counts from the store's acknowledgement of the report.
"""

import types
from typing import Any

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.entry import group_members
from tests.groups import test_catalog

DRAIN_BOUND_S = 7.0
TARGET = "i-1"


def make_members() -> Any:
    log = types.SimpleNamespace(write=lambda *args, **fields: None)
    members: Any = group_members.GroupMembers
    return members(catalog.Catalog(), None, None, (), DRAIN_BOUND_S, log)


def accepts_new_work(members: Any, now_s: float) -> bool:
    """Return whether the group's primary, which leaves, gets new work."""
    entry = test_catalog.make_entry(TARGET, is_draining=True)
    load = types.SimpleNamespace(accepts_new_work=True)
    members._sync_accepts_new_work(
        types.SimpleNamespace(
            observer=types.SimpleNamespace(
                leadership=types.SimpleNamespace(target=TARGET)
            )
        ),
        types.SimpleNamespace(load=load),
        catalog.Member(entry),
        now_s,
    )
    return load.accepts_new_work


class LeavingPrimaryTest(testtools.TestCase):
    def test_report_made_while_the_host_was_cut_off_counts_from_then(
        self,
    ) -> None:
        # The store was last read at 100, and again at 104.
        members = make_members()
        members.record_leaving(TARGET, 100.0, 104.0)
        self.assertTrue(accepts_new_work(members, 104.0))
        self.assertFalse(accepts_new_work(members, 100.0 + DRAIN_BOUND_S))

    def test_host_that_starts_gives_a_leaving_primary_little_time(
        self,
    ) -> None:
        # Guards against a whole drain time for each start of a host.
        members = make_members()
        members.record_leaving(TARGET, None, 104.0)
        self.assertTrue(accepts_new_work(members, 104.0))
        limit_s = group_members.UNKNOWN_DRAIN_S
        self.assertFalse(accepts_new_work(members, 104.0 + limit_s))

    def test_later_entries_of_the_target_change_nothing(self) -> None:
        members = make_members()
        members.record_leaving(TARGET, 100.0, 104.0)
        members.record_leaving(TARGET, 106.0, 106.5)
        self.assertFalse(accepts_new_work(members, 100.0 + DRAIN_BOUND_S))
