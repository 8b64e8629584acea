"""Tests of the proof that rests on the last primary's log."""

import testtools

from knapweedtally.core import store_revisions
from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import last_primary
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps
from tests.groups import test_primary_change

FLOOR = model.Position(1, 5)
NOW_S = 100.0


def begin_attempt() -> steps.Attempt:
    """Return an attempt of a group of which d and e are gone for good."""
    return primary_change.begin_attempt(
        "g",
        steps.Cause.ABSENT,
        "p",
        ("a", "b", "d", "e"),
        frozenset(),
        1,
        NOW_S,
        FLOOR,
    )


class ProofTest(testtools.TestCase):
    """When the last primary's log is the proof for a promotion."""

    def step_down(
        self, attempt: steps.Attempt, number: int
    ) -> model.Position | None:
        report = test_primary_change.make_report(number)
        change_reports.record_reports(
            attempt, steps.Order.STEP_DOWN, {"p": report}, NOW_S
        )
        return attempt.final_position

    def test_last_primary_steps_down_first(self) -> None:
        attempt = begin_attempt()
        step = primary_change.next_step(attempt, NOW_S)
        expected = steps.SendOrder(steps.Order.STEP_DOWN, ("p",))
        self.assertEqual(step, expected)
        self.step_down(attempt, 9)
        change_reports.record_reports(
            attempt,
            steps.Order.STATUS,
            {"a": test_primary_change.make_report(9)},
            NOW_S,
        )
        self.assertEqual(attempt.candidate, "a")
        self.assertIs(attempt.phase, steps.Phase.WAIT)

    # Guards against the promotion of a target that restarted with nothing.
    def test_log_below_the_recorded_position_was_lost(self) -> None:
        attempt = begin_attempt()
        self.step_down(attempt, 4)
        self.assertIs(attempt.phase, steps.Phase.GIVEN_UP)

    def test_log_behind_another_member_was_lost(self) -> None:
        attempt = begin_attempt()
        self.step_down(attempt, 6)
        change_reports.record_reports(
            attempt,
            steps.Order.STATUS,
            {"a": test_primary_change.make_report(7)},
            NOW_S,
        )
        self.assertIs(attempt.phase, steps.Phase.GIVEN_UP)

    # Guards against an empty log that no other member's answer gives away.
    def test_log_alone_is_no_proof(self) -> None:
        attempt = begin_attempt()
        self.step_down(attempt, 9)
        attempt.phase = steps.Phase.FENCE
        attempt.phase_since_s = NOW_S
        change_reports.record_reports(
            attempt, steps.Order.PAUSE, {}, NOW_S + 1.1
        )
        self.assertIs(attempt.phase, steps.Phase.FENCE)

    def test_later_term_is_no_proof(self) -> None:
        last = last_primary.LastPrimary("p", 3, FLOOR)
        self.assertTrue(last_primary.can_prove_log(last, 3, 0))
        self.assertFalse(last_primary.can_prove_log(last, 4, 0))
        self.assertFalse(last_primary.can_prove_log(None, 0, 0))


class GenerationTest(testtools.TestCase):
    """The store may have lost the term of a promotion that was requested."""

    def confirm(self, primary_seen_s: float) -> int:
        """Return the generation for a primary that was seen at a time."""
        leadership = evidence.Leadership(
            target="p", term=3, primary_seen_s=primary_seen_s
        )
        last = last_primary.confirm(
            last_primary.LastPrimary("p", 3, FLOOR),
            leadership,
            store_revisions.Generation(2, NOW_S),
        )
        assert last is not None
        return last.generation

    def test_counts_once_no_request_of_before_can_take_effect(self) -> None:
        settled_s = NOW_S + change_notices.REQUEST_VALIDITY_S
        self.assertEqual(0, self.confirm(settled_s - 0.1))
        self.assertEqual(2, self.confirm(settled_s))

    def test_another_generation_is_no_proof(self) -> None:
        last = last_primary.LastPrimary("p", 3, FLOOR, 1)
        self.assertTrue(last_primary.can_prove_log(last, 3, 1))
        self.assertFalse(last_primary.can_prove_log(last, 3, 2))


class ChoiceTest(testtools.TestCase):
    """Which of two last primaries counts."""

    def test_later_term_counts_and_then_the_id_of_a_member(self) -> None:
        old = last_primary.LastPrimary("p", 3, FLOOR)
        new = old._replace(target="q", term=4)
        successor = old._replace(target="s")
        choose = last_primary.choose_latest
        for known, found in ((old, new), (new, old), (None, new), (new, None)):
            self.assertEqual(choose(known, found, {}), new)
        self.assertEqual(choose(old, successor, {"s": None}), successor)
        self.assertEqual(choose(successor, old, {"s": None}), successor)
