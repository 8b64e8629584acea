"""Tests of which targets count as members of a group."""

import itertools

import testtools

from knapweedtally.core.groups import catalog
from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps
from tests.groups import test_catalog


class MovedTargetTest(testtools.TestCase):
    """A target that moved while another took its address."""

    # Guards against a group that counts fewer members than run.
    def test_replaced_target_that_moved_is_a_member_in_every_order(
        self,
    ) -> None:
        moved = test_catalog.make_entry("i-1", revision=8, address="10.0.0.2")
        other = test_catalog.make_entry("i-2", revision=7)
        for order in itertools.permutations([moved, other]):
            known = catalog.Catalog()
            catalog.update_entry(known, test_catalog.make_entry("i-1"))
            for entry in order:
                catalog.update_entry(known, entry)
            self.assertEqual(sorted(known.members), ["i-1", "i-2"], order)


class RejectedPromotionTest(testtools.TestCase):
    """A promotion that the platform rejects, and what joins afterwards."""

    # Guards against a member that stays unfenced after a rejected promotion.
    def test_member_that_joins_after_a_rejection_is_fenced(self) -> None:
        attempt = primary_change.begin_attempt(
            "g", steps.Cause.UNREACHABLE, "p", ("a",), frozenset(), 1, 0.0
        )
        status = model.TargetStatus(
            False, 1, model.Position(1, 5), 2, 0.0, 0, 0
        )
        report = {"a": steps.OrderReport(status, 0.0)}
        change_reports.record_reports(attempt, steps.Order.PAUSE, report, 0.0)
        primary_change.next_step(attempt, 1.0)
        primary_change.record_listing(attempt, 1.0)
        change_reports.record_reports(attempt, steps.Order.STATUS, report, 1.0)
        step = primary_change.next_step(attempt, 1.0)
        self.assertIsInstance(step, steps.Promote)
        change_reports.record_promotion_response(attempt, 409, 1.1)
        primary_change.update_members(attempt, ("p", "a", "b"), 1.1)
        self.assertIn("b", attempt.others)
