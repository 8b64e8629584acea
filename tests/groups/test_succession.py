"""Tests of the change of a group's primary."""

from unittest import mock

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import steps
from knapweedtally.core.groups import succession
from tests.groups import simulation

_Cause = steps.Cause
_Order = steps.Order
_Phase = steps.Phase

SEEDS = 400


def make_attempt(
    cause: steps.Cause = _Cause.UNREACHABLE,
) -> steps.Attempt:
    old = None if cause is _Cause.ABSENT else "p"
    others = ("p", "a", "b") if old is None else ("a", "b")
    return succession.begin_attempt(
        "g", cause, old, others, frozenset(), 1, 100.0
    )


def make_report(
    number: int, *, paused_for: int = 2, is_primary: bool = False
) -> steps.Report:
    status = model.TargetStatus(
        is_primary, 1, model.Position(1, number), paused_for, 0.0, 0, 1
    )
    return steps.Report(status, 100.0)


class FenceTest(testtools.TestCase):
    """Which proofs allow a promotion."""

    def test_waits_for_every_other_member(self) -> None:
        attempt = make_attempt()
        succession.note_reports(
            attempt, _Order.PAUSE, {"a": make_report(5)}, 100.0
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)
        succession.note_reports(
            attempt, _Order.PAUSE, {"b": make_report(7)}, 100.1
        )
        self.assertEqual(attempt.phase, _Phase.WAIT)
        self.assertEqual(attempt.candidate, "b")

    def test_unknown_primary_needs_all_members_but_one(self) -> None:
        attempt = make_attempt(_Cause.ABSENT)
        succession.note_reports(
            attempt, _Order.PAUSE, {"a": make_report(5)}, 100.0
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)
        succession.note_reports(
            attempt, _Order.PAUSE, {"p": make_report(6)}, 100.0
        )
        self.assertEqual(attempt.candidate, "p")

    def test_member_that_still_receives_is_not_fenced(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5, paused_for=0), "b": make_report(5)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        self.assertEqual(list(attempt.fenced), ["b"])

    def test_member_that_restarted_is_fenced_again(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        late_s = 100.0 + evidence.EVIDENCE_SPAN_S
        step = succession.next_step(attempt, late_s)
        # Stopping it again would hide that it received in between.
        self.assertEqual(step, steps.Ask(_Order.STATUS, ("a", "b"), 0.05))
        again = {"a": make_report(5), "b": make_report(5, paused_for=0)}
        succession.note_reports(attempt, _Order.STATUS, again, late_s)
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_member_that_received_meanwhile_is_fenced_again(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        late_s = 100.0 + evidence.EVIDENCE_SPAN_S
        succession.next_step(attempt, late_s)
        again = {"a": make_report(5), "b": make_report(6)}
        succession.note_reports(attempt, _Order.STATUS, again, late_s)
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_members_that_stayed_stopped_are_enough(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        late_s = 100.0 + evidence.EVIDENCE_SPAN_S
        succession.next_step(attempt, late_s)
        succession.note_reports(attempt, _Order.STATUS, reports, late_s)
        self.assertEqual(attempt.phase, _Phase.PROMOTE)

    def test_successor_takes_the_place_of_a_member(self) -> None:
        attempt = make_attempt()
        succession.put_members(attempt, ("p", "a"))
        self.assertEqual(attempt.others, ("a", "b"))
        succession.put_members(attempt, ("p", "a", "c"))
        self.assertEqual(attempt.others, ("a", "c"))

    def test_waits_until_evidence_has_expired(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        step = succession.next_step(attempt, 100.1)
        assert isinstance(step, steps.Wait)
        self.assertAlmostEqual(
            step.delay_s, evidence.EVIDENCE_SPAN_S - 0.1, places=6
        )

    def test_gives_up_where_another_leads_already(self) -> None:
        attempt = make_attempt()
        status = model.TargetStatus(True, 2, model.Position(2, 9), 0, 0.0, 0, 1)
        report = steps.Report(status, 100.0)
        succession.note_reports(attempt, _Order.PAUSE, {"a": report}, 100.0)
        step = succession.next_step(attempt, 100.0)
        assert isinstance(step, steps.Finish)
        self.assertFalse(step.is_done)


class PlannedTest(testtools.TestCase):
    """A primary that leaves steps down before another is promoted."""

    def test_candidate_has_the_last_position(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        step = succession.next_step(attempt, 100.0)
        self.assertEqual(step, steps.Ask(_Order.STEP_DOWN, ("p",)))
        succession.note_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        behind = {"a": make_report(8), "b": make_report(7)}
        succession.note_reports(attempt, _Order.STATUS, behind, 100.1)
        self.assertEqual(attempt.phase, _Phase.CATCH_UP)
        succession.note_reports(
            attempt, _Order.STATUS, {"a": make_report(9)}, 100.2
        )
        self.assertEqual(attempt.candidate, "a")

    def test_fences_all_where_none_catches_up(self) -> None:
        attempt = make_attempt(_Cause.STALLED)
        succession.note_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        behind = {"a": make_report(8), "b": make_report(7)}
        late_s = 100.1 + succession.CATCH_UP_S
        succession.note_reports(attempt, _Order.STATUS, behind, late_s)
        self.assertEqual(attempt.phase, _Phase.FENCE)
        succession.note_reports(attempt, _Order.PAUSE, behind, late_s)
        self.assertEqual(attempt.candidate, "a")

    def test_fences_where_the_primary_does_not_answer(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        succession.note_reports(attempt, _Order.STEP_DOWN, {}, 100.4)
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_fences_where_the_old_primary_leads_again(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        succession.note_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        succession.note_reports(
            attempt, _Order.STATUS, {"a": make_report(9)}, 100.1
        )
        late_s = 100.1 + evidence.EVIDENCE_SPAN_S
        succession.next_step(attempt, late_s)
        again = {"a": make_report(9), "p": make_report(9, is_primary=True)}
        succession.note_reports(attempt, _Order.STATUS, again, late_s)
        self.assertEqual(attempt.phase, _Phase.FENCE)


class ResumeTest(testtools.TestCase):
    """Members that stopped are let go only where the old primary leads on."""

    def make_fenced(self) -> steps.Attempt:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(7)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        return attempt

    def test_let_go_before_the_promotion_was_asked_for(self) -> None:
        attempt = self.make_fenced()
        self.assertEqual(succession.list_to_resume(attempt), ("a", "b"))

    def test_not_let_go_once_it_was_asked_for(self) -> None:
        attempt = self.make_fenced()
        late_s = 100.0 + evidence.EVIDENCE_SPAN_S
        succession.next_step(attempt, late_s)
        reports = {"a": make_report(5), "b": make_report(7)}
        succession.note_reports(attempt, _Order.PAUSE, reports, late_s)
        step = succession.next_step(attempt, late_s)
        self.assertEqual(step, steps.Promote("b"))
        succession.note_promoted(attempt, 0, late_s)
        self.assertEqual(succession.list_to_resume(attempt), ())

    def test_no_orders_after_the_new_primary_leads(self) -> None:
        attempt = self.make_fenced()
        attempt.phase = _Phase.EFFECT
        status = model.TargetStatus(True, 2, model.Position(2, 7), 0, 0.0, 0, 1)
        reports = {"b": steps.Report(status, 101.0)}
        succession.note_reports(attempt, _Order.STATUS, reports, 101.0)
        step = succession.next_step(attempt, 101.0)
        self.assertEqual(step, steps.Finish(True, ""))


class SafePositionTest(testtools.TestCase):
    """Which position covers all commits while a group is stopped."""

    def test_known_from_the_fence_until_the_promotion(self) -> None:
        attempt = make_attempt()
        self.assertIsNone(succession.find_safe_position(attempt))
        reports = {"a": make_report(5), "b": make_report(7)}
        succession.note_reports(attempt, _Order.PAUSE, reports, 100.0)
        found = succession.find_safe_position(attempt)
        self.assertEqual(found, model.Position(1, 7))
        late_s = 100.0 + evidence.EVIDENCE_SPAN_S
        succession.next_step(attempt, late_s)
        succession.note_reports(attempt, _Order.PAUSE, reports, late_s)
        self.assertEqual(attempt.phase, _Phase.PROMOTE)
        self.assertIsNotNone(succession.find_safe_position(attempt))
        succession.next_step(attempt, late_s)
        self.assertIsNone(succession.find_safe_position(attempt))
        succession.note_promoted(attempt, 0, late_s)
        self.assertIsNone(succession.find_safe_position(attempt))

    def test_serves_replicas_of_the_same_term_only(self) -> None:
        leadership = evidence.Leadership()
        evidence.note_primary(leadership, "p", 1, 50.0)
        position = model.Position(1, 7)
        evidence.note_fenced_position(leadership, 2, position, 100.0)
        self.assertIsNone(evidence.find_position(leadership, 99.0))
        evidence.note_fenced_position(leadership, 1, position, 100.0)
        self.assertEqual(evidence.find_position(leadership, 99.0), position)


class SimulationTest(testtools.TestCase):
    """No acknowledged commit is missing in the promoted target's log."""

    def count(self, cause: steps.Cause) -> tuple[int, list[str]]:
        done = 0
        lost = []
        for seed in range(SEEDS):
            group, is_done = simulation.play(seed, cause)
            done += is_done
            lost += [f"seed {seed}: {text}" for text in group.lost]
        return done, lost

    def test_nothing_is_lost(self) -> None:
        for cause in _Cause:
            done, lost = self.count(cause)
            self.assertEqual(lost, [], cause)
            self.assertGreater(done, SEEDS // 4, cause)

    def test_one_fence_too_few_loses_commits(self) -> None:
        def count(attempt: steps.Attempt) -> int:
            return 1

        with mock.patch.object(succession, "count_fences_needed", count):
            _, lost = self.count(_Cause.UNREACHABLE)
        self.assertNotEqual(lost, [])
