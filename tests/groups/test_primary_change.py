"""Tests of the change of a group's primary."""

from unittest import mock

import testtools

from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import fences
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps
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
    return primary_change.begin_attempt(
        "g", cause, old, others, frozenset(), 1, 100.0
    )


def make_report(
    number: int, *, paused_for: int = 2, is_primary: bool = False
) -> steps.OrderReport:
    status = model.TargetStatus(
        is_primary, 1, model.Position(1, number), paused_for, 0.0, 0, 1
    )
    return steps.OrderReport(status, 100.0)


class FenceTest(testtools.TestCase):
    """Fencing of the other members before a promotion."""

    def test_every_other_member_is_fenced(self) -> None:
        attempt = make_attempt()
        change_reports.record_reports(
            attempt, _Order.PAUSE, {"a": make_report(5)}, 100.0
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)
        change_reports.record_reports(
            attempt, _Order.PAUSE, {"b": make_report(7)}, 100.1
        )
        self.assertEqual(attempt.phase, _Phase.WAIT)
        self.assertEqual(attempt.candidate, "b")

    def test_unknown_primary_needs_all_members_but_one(self) -> None:
        attempt = make_attempt(_Cause.ABSENT)
        change_reports.record_reports(
            attempt, _Order.PAUSE, {"a": make_report(5)}, 100.0
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)
        change_reports.record_reports(
            attempt, _Order.PAUSE, {"p": make_report(6)}, 100.0
        )
        self.assertEqual(attempt.candidate, "p")

    def test_fenced_members_of_a_new_list_are_not_enough(self) -> None:
        attempt = make_attempt()
        attempt.is_settled = False
        reports = {"a": make_report(5), "b": make_report(7)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_unknown_primary_needs_two_members(self) -> None:
        for others, needed in ((("a",), 2), (("a", "b"), 2), ("abcd", 3)):
            attempt = primary_change.begin_attempt(
                "g", _Cause.ABSENT, None, tuple(others), frozenset(), 1, 100.0
            )
            found = fences.count_fences_needed(attempt)
            self.assertEqual(found, needed)

    def test_member_that_still_receives_is_not_fenced(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5, paused_for=0), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        self.assertEqual(list(attempt.fenced), ["b"])

    def test_member_that_restarted_is_fenced_again(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        wait_end_s = 100.0 + evidence.EVIDENCE_VALIDITY_S
        step = primary_change.next_step(attempt, wait_end_s)
        self.assertEqual(step, steps.ListTargets())
        primary_change.record_listing(attempt, wait_end_s)
        step = primary_change.next_step(attempt, wait_end_s)
        # Pausing it again would hide that it received the log in between.
        self.assertEqual(step, steps.SendOrder(_Order.STATUS, ("a", "b"), 0.05))
        new_reports = {"a": make_report(5), "b": make_report(5, paused_for=0)}
        change_reports.record_reports(
            attempt, _Order.STATUS, new_reports, wait_end_s
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_member_that_received_since_is_fenced_again(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        wait_end_s = 100.0 + evidence.EVIDENCE_VALIDITY_S
        primary_change.next_step(attempt, wait_end_s)
        new_reports = {"a": make_report(5), "b": make_report(6)}
        change_reports.record_reports(
            attempt, _Order.STATUS, new_reports, wait_end_s
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_members_that_stayed_paused_allow_promotion(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        wait_end_s = 100.0 + evidence.EVIDENCE_VALIDITY_S
        primary_change.next_step(attempt, wait_end_s)
        change_reports.record_reports(
            attempt, _Order.STATUS, reports, wait_end_s
        )
        self.assertEqual(attempt.phase, _Phase.PROMOTE)

    def test_candidate_that_does_not_answer_is_not_promoted(self) -> None:
        attempt = make_attempt(_Cause.ABSENT)
        reports = {name: make_report(5) for name in ("a", "b")}
        reports["p"] = make_report(6)
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        self.assertEqual(attempt.candidate, "p")
        primary_change.next_step(attempt, 101.0)
        del reports["p"]
        change_reports.record_reports(attempt, _Order.STATUS, reports, 101.0)
        step = primary_change.next_step(attempt, 101.0)
        self.assertEqual(step, steps.Promote("b"))

    def test_restarted_member_replaces_its_former_id(self) -> None:
        attempt = make_attempt()
        primary_change.update_members(attempt, ("p", "a"), 100.0)
        self.assertEqual(attempt.others, ("a", "b"))
        primary_change.update_members(attempt, ("p", "a", "c"), 100.0)
        self.assertEqual(attempt.others, ("a", "c"))

    def test_member_that_joins_is_fenced_before_the_promotion(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        self.assertEqual(attempt.phase, _Phase.WAIT)
        primary_change.update_members(attempt, ("p", "a", "b", "c"), 100.2)
        step = primary_change.next_step(attempt, 100.2)
        self.assertEqual(step, steps.SendOrder(_Order.PAUSE, ("c",), 0.05))

    def test_member_that_joins_a_step_down_is_not_fenced(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        change_reports.record_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        change_reports.record_reports(
            attempt, _Order.STATUS, {"a": make_report(9)}, 100.1
        )
        primary_change.update_members(attempt, ("p", "a", "b", "c"), 100.2)
        self.assertEqual(attempt.phase, _Phase.WAIT)

    def test_promotion_waits_until_evidence_has_expired(self) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        step = primary_change.next_step(attempt, 100.1)
        assert isinstance(step, steps.Wait)
        self.assertAlmostEqual(
            step.delay_s, evidence.EVIDENCE_VALIDITY_S - 0.1, places=6
        )

    def test_gives_up_if_a_member_received_after_the_fencing(self) -> None:
        attempt = make_attempt()
        primary_change.record_member_evidence(attempt, 100.5, 100.6)
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        primary_change.record_member_evidence(attempt, 100.0, 100.6)
        self.assertEqual(attempt.phase, _Phase.WAIT)
        primary_change.record_member_evidence(attempt, 100.1, 100.6)
        step = primary_change.next_step(attempt, 100.6)
        self.assertIsInstance(step, steps.Finish)
        self.assertEqual(
            primary_change.list_members_to_resume(attempt), ("a", "b")
        )

    def test_gives_up_before_the_call_on_evidence_of_a_receiving_member(
        self,
    ) -> None:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        primary_change.next_step(attempt, 101.0)
        change_reports.record_reports(attempt, _Order.STATUS, reports, 101.0)
        self.assertEqual(attempt.phase, _Phase.PROMOTE)
        primary_change.record_member_evidence(attempt, 100.9, 101.0)
        step = primary_change.next_step(attempt, 101.0)
        self.assertIsInstance(step, steps.Finish)

    def test_gives_up_if_another_target_is_already_primary(self) -> None:
        attempt = make_attempt()
        status = model.TargetStatus(True, 2, model.Position(2, 9), 0, 0.0, 0, 1)
        report = steps.OrderReport(status, 100.0)
        change_reports.record_reports(
            attempt, _Order.PAUSE, {"a": report}, 100.0
        )
        step = primary_change.next_step(attempt, 100.0)
        assert isinstance(step, steps.Finish)
        self.assertFalse(step.is_done)


class PlannedTest(testtools.TestCase):
    """A leaving or stalled primary steps down before a promotion."""

    def test_candidate_has_the_last_position(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        step = primary_change.next_step(attempt, 100.0)
        self.assertEqual(step, steps.SendOrder(_Order.STEP_DOWN, ("p",)))
        change_reports.record_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        behind = {"a": make_report(8), "b": make_report(7)}
        change_reports.record_reports(attempt, _Order.STATUS, behind, 100.1)
        self.assertEqual(attempt.phase, _Phase.CATCH_UP)
        change_reports.record_reports(
            attempt, _Order.STATUS, {"a": make_report(9)}, 100.2
        )
        self.assertEqual(attempt.candidate, "a")

    def test_fences_all_members_if_none_catches_up(self) -> None:
        attempt = make_attempt(_Cause.STALLED)
        change_reports.record_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        behind = {"a": make_report(8), "b": make_report(7)}
        timeout_s = 100.1 + change_reports.CATCH_UP_TIMEOUT_S
        change_reports.record_reports(attempt, _Order.STATUS, behind, timeout_s)
        self.assertEqual(attempt.phase, _Phase.FENCE)
        change_reports.record_reports(attempt, _Order.PAUSE, behind, timeout_s)
        self.assertEqual(attempt.candidate, "a")

    def test_fences_if_the_primary_does_not_answer(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        change_reports.record_reports(attempt, _Order.STEP_DOWN, {}, 100.4)
        self.assertEqual(attempt.phase, _Phase.FENCE)

    def test_fences_if_the_old_primary_is_primary_again(self) -> None:
        attempt = make_attempt(_Cause.LEAVING)
        change_reports.record_reports(
            attempt, _Order.STEP_DOWN, {"p": make_report(9)}, 100.0
        )
        change_reports.record_reports(
            attempt, _Order.STATUS, {"a": make_report(9)}, 100.1
        )
        wait_end_s = 100.1 + evidence.EVIDENCE_VALIDITY_S
        pauses = {"a": make_report(9), "b": make_report(9)}
        change_reports.record_reports(attempt, _Order.PAUSE, pauses, 100.2)
        primary_change.next_step(attempt, wait_end_s)
        self.assertEqual(attempt.phase, _Phase.CONFIRM)
        new_reports = {
            "a": make_report(9),
            "p": make_report(9, is_primary=True),
        }
        change_reports.record_reports(
            attempt, _Order.STATUS, new_reports, wait_end_s
        )
        self.assertEqual(attempt.phase, _Phase.FENCE)


class StepDownConfirmationTest(testtools.TestCase):
    """Confirmation that a primary which stepped down may be replaced."""

    def make_confirming(self) -> steps.Attempt:
        attempt = make_attempt(_Cause.LEAVING)
        change_reports.record_reports(
            attempt,
            _Order.STEP_DOWN,
            {"p": make_report(9, paused_for=0)},
            100.0,
        )
        reports = {"a": make_report(9), "b": make_report(8)}
        change_reports.record_reports(attempt, _Order.STATUS, reports, 100.1)
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.2)
        step = primary_change.next_step(attempt, 101.0)
        assert isinstance(step, steps.SendOrder)
        self.assertEqual(step.order, _Order.STATUS)
        self.assertEqual(set(step.targets), {"p", "a", "b"})
        return attempt

    def confirm(self, **reports: steps.OrderReport) -> steps.Step:
        """Return the step that follows reports of a confirmation."""
        attempt = self.make_confirming()
        change_reports.record_reports(attempt, _Order.STATUS, reports, 101.0)
        return primary_change.next_step(attempt, 101.0)

    def run_until_promotion(
        self, silent: frozenset[str]
    ) -> tuple[float, set[str]]:
        """Return when a planned change promotes, and the paused members."""
        attempt = make_attempt(_Cause.LEAVING)
        now_s = 100.0
        paused: set[str] = set()
        for _ in range(100):
            step = primary_change.next_step(attempt, now_s)
            if isinstance(step, steps.Promote):
                return now_s, paused
            if isinstance(step, steps.Wait):
                now_s += step.delay_s
                continue
            assert isinstance(step, steps.SendOrder)
            answering = [t for t in step.targets if t not in silent]
            is_delayed = len(answering) < len(step.targets)
            now_s += primary_change.ORDER_TIMEOUT_S if is_delayed else 0.0
            if step.order is _Order.PAUSE:
                paused.update(answering)
            reports = {
                t: make_report(9, paused_for=2 if t in paused else 0)
                for t in answering
            }
            change_reports.record_reports(attempt, step.order, reports, now_s)
            now_s += step.pause_s
        raise AssertionError(attempt)

    def test_members_are_paused_before_the_promotion(self) -> None:
        promoted_s, paused = self.run_until_promotion(frozenset())
        self.assertEqual(paused, {"a", "b"})
        self.assertLess(
            promoted_s,
            100.0 + evidence.EVIDENCE_VALIDITY_S + 0.1,
        )

    def test_members_that_answer_are_paused_before_the_promotion(self) -> None:
        promoted_s, paused = self.run_until_promotion(frozenset("b"))
        self.assertEqual(paused, {"a"})
        # The orders to catch up, to pause and to confirm time out once each.
        self.assertLess(promoted_s, 100.2 + 3 * primary_change.ORDER_TIMEOUT_S)

    def test_old_primary_that_led_again_has_all_members_fenced(self) -> None:
        step = self.confirm(p=make_report(10, paused_for=0), a=make_report(9))
        self.assertEqual(step, steps.SendOrder(_Order.PAUSE, ("a", "b"), 0.05))

    def test_member_that_restarted_is_paused_again(self) -> None:
        step = self.confirm(
            p=make_report(9, paused_for=0),
            a=make_report(9),
            b=make_report(9, paused_for=0),
        )
        self.assertEqual(step, steps.SendOrder(_Order.PAUSE, ("b",), 0.05))

    def test_member_that_does_not_answer_does_not_prevent_the_promotion(
        self,
    ) -> None:
        step = self.confirm(p=make_report(9, paused_for=0), a=make_report(9))
        self.assertEqual(step, steps.Promote("a"))

    def test_candidate_that_does_not_answer_is_not_promoted(self) -> None:
        step = self.confirm(p=make_report(9, paused_for=0), b=make_report(8))
        self.assertNotIsInstance(step, steps.Promote)

    def test_primary_of_the_term_among_the_members_ends_the_attempt(
        self,
    ) -> None:
        status = model.TargetStatus(True, 2, model.Position(2, 8), 0, 0.0, 0, 1)
        step = self.confirm(
            p=make_report(9, paused_for=0),
            a=make_report(9),
            b=steps.OrderReport(status, 101.0),
        )
        self.assertIsInstance(step, steps.Finish)


class ResumeTest(testtools.TestCase):
    """Fenced members resume only if the old primary stays the primary."""

    def make_fenced(self) -> steps.Attempt:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(7)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        return attempt

    def test_members_resume_before_the_promotion_is_requested(self) -> None:
        attempt = self.make_fenced()
        self.assertEqual(
            primary_change.list_members_to_resume(attempt), ("a", "b")
        )

    def test_members_stay_paused_once_the_promotion_is_requested(self) -> None:
        attempt = self.make_fenced()
        wait_end_s = 100.0 + evidence.EVIDENCE_VALIDITY_S
        primary_change.next_step(attempt, wait_end_s)
        reports = {"a": make_report(5), "b": make_report(7)}
        change_reports.record_reports(
            attempt, _Order.PAUSE, reports, wait_end_s
        )
        step = primary_change.next_step(attempt, wait_end_s)
        self.assertEqual(step, steps.Promote("b"))
        change_reports.record_promotion_response(attempt, 0, wait_end_s)
        self.assertEqual(primary_change.list_members_to_resume(attempt), ())

    def test_no_orders_once_the_promotion_has_taken_effect(self) -> None:
        attempt = self.make_fenced()
        attempt.phase = _Phase.EFFECT
        status = model.TargetStatus(True, 2, model.Position(2, 7), 0, 0.0, 0, 1)
        reports = {"b": steps.OrderReport(status, 101.0)}
        change_reports.record_reports(attempt, _Order.STATUS, reports, 101.0)
        step = primary_change.next_step(attempt, 101.0)
        self.assertEqual(step, steps.Finish(True, ""))


class RepeatedCallTest(testtools.TestCase):
    """A promotion isn't requested on an old confirmation."""

    def make_requested(self) -> steps.Attempt:
        attempt = make_attempt()
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        primary_change.next_step(attempt, 101.0)
        change_reports.record_reports(attempt, _Order.STATUS, reports, 101.0)
        step = primary_change.next_step(attempt, 101.0)
        self.assertEqual(step, steps.Promote("b"))
        return attempt

    def assert_confirms(self, attempt: steps.Attempt, now_s: float) -> None:
        step = primary_change.next_step(attempt, now_s)
        self.assertIsInstance(step, steps.ListTargets)
        primary_change.record_listing(attempt, now_s)
        step = primary_change.next_step(attempt, now_s)
        self.assertEqual(step, steps.SendOrder(_Order.STATUS, ("a", "b"), 0.05))

    def test_members_are_confirmed_after_a_call_without_answer(self) -> None:
        for status in (0, 429, 503):
            attempt = self.make_requested()
            change_reports.record_promotion_response(attempt, status, 101.7)
            self.assert_confirms(attempt, 101.7)

    def test_members_are_confirmed_after_a_call_without_effect(self) -> None:
        attempt = self.make_requested()
        change_reports.record_promotion_response(attempt, 200, 101.1)
        now_s = 101.2 + primary_change.EFFECT_TIMEOUT_S
        self.assert_confirms(attempt, now_s)

    def test_candidate_that_leads_at_the_confirmation_ends_the_change(
        self,
    ) -> None:
        attempt = self.make_requested()
        change_reports.record_promotion_response(attempt, 0, 101.7)
        status = model.TargetStatus(True, 2, model.Position(2, 5), 0, 0.0, 0, 1)
        reports = {"b": steps.OrderReport(status, 101.8)}
        change_reports.record_reports(attempt, _Order.STATUS, reports, 101.8)
        step = primary_change.next_step(attempt, 101.8)
        self.assertEqual(step, steps.Finish(True, ""))
        self.assertEqual(primary_change.list_members_to_resume(attempt), ())

    def test_members_that_were_paused_after_the_call_resume(self) -> None:
        attempt = self.make_requested()
        change_reports.record_promotion_response(attempt, 0, 101.7)
        change_reports.record_reports(attempt, _Order.STATUS, {}, 101.8)
        step = primary_change.next_step(attempt, 101.8)
        self.assertEqual(step, steps.SendOrder(_Order.PAUSE, ("a", "b"), 0.05))
        primary_change.record_known_term(attempt, 2, 101.9)
        self.assertEqual(
            primary_change.list_members_to_resume(attempt), ("a", "b")
        )

    def test_member_that_joins_after_the_call_is_fenced_before_another(
        self,
    ) -> None:
        attempt = self.make_requested()
        change_reports.record_promotion_response(attempt, 0, 101.7)
        primary_change.update_members(attempt, ("p", "a", "b", "c"), 101.8)
        step = primary_change.next_step(attempt, 101.8)
        self.assertEqual(step, steps.SendOrder(_Order.PAUSE, ("c",), 0.05))

    def test_no_other_candidate_is_promoted_after_a_call(self) -> None:
        for other in (make_report(5), make_report(6)):
            attempt = self.make_requested()
            change_reports.record_promotion_response(attempt, 0, 101.7)
            primary_change.update_members(attempt, ("p", "a", "b", "c"), 101.8)
            change_reports.record_reports(
                attempt, _Order.PAUSE, {"c": other}, 101.9
            )
            step = primary_change.next_step(attempt, 101.9)
            if other == make_report(5):
                self.assertIsInstance(step, steps.ListTargets)
                self.assertEqual(attempt.candidate, "b")
            else:
                self.assertIsInstance(step, steps.Finish)

    def test_known_later_term_ends_the_attempt_before_a_call(self) -> None:
        for status in (None, 0):
            attempt = self.make_requested()
            if status is not None:
                change_reports.record_promotion_response(attempt, 0, 101.7)
            primary_change.record_known_term(attempt, 1, 101.8)
            self.assertNotEqual(attempt.phase, _Phase.GIVEN_UP)
            primary_change.record_known_term(attempt, 2, 101.8)
            step = primary_change.next_step(attempt, 101.8)
            self.assertIsInstance(step, steps.Finish)

    def test_known_later_term_may_be_that_of_the_accepted_promotion(
        self,
    ) -> None:
        attempt = self.make_requested()
        change_reports.record_promotion_response(attempt, 200, 101.1)
        primary_change.record_known_term(attempt, 2, 101.8)
        self.assertEqual(attempt.phase, _Phase.EFFECT)


class SafePositionTest(testtools.TestCase):
    """The position that covers all commits while a group is fenced."""

    def test_known_from_fencing_until_the_promotion_is_requested(self) -> None:
        attempt = make_attempt()
        self.assertIsNone(primary_change.find_safe_position(attempt))
        reports = {"a": make_report(5), "b": make_report(7)}
        change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
        # A target that isn't listed yet may receive further commits.
        self.assertTrue(primary_change.needs_listing(attempt))
        self.assertIsNone(primary_change.find_safe_position(attempt))
        primary_change.record_listing(attempt, 100.0)
        self.assertFalse(primary_change.needs_listing(attempt))
        found = primary_change.find_safe_position(attempt)
        self.assertEqual(found, model.Position(1, 7))
        wait_end_s = 100.0 + evidence.EVIDENCE_VALIDITY_S
        primary_change.next_step(attempt, wait_end_s)
        change_reports.record_reports(
            attempt, _Order.PAUSE, reports, wait_end_s
        )
        self.assertEqual(attempt.phase, _Phase.PROMOTE)
        self.assertIsNotNone(primary_change.find_safe_position(attempt))
        primary_change.next_step(attempt, wait_end_s)
        self.assertIsNone(primary_change.find_safe_position(attempt))
        change_reports.record_promotion_response(attempt, 0, wait_end_s)
        self.assertIsNone(primary_change.find_safe_position(attempt))

    def test_fenced_position_of_another_term_is_ignored(self) -> None:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "p", 1, 50.0)
        position = model.Position(1, 7)
        evidence.record_fenced_position(leadership, 2, position, 100.0)
        self.assertIsNone(evidence.find_position(leadership, 99.0))
        evidence.record_fenced_position(leadership, 1, position, 100.0)
        self.assertEqual(evidence.find_position(leadership, 99.0), position)


class SimulationTest(testtools.TestCase):
    """Simulated changes of primary under crashes and partitions.

    They guard against the promotion of a target whose log lacks an acknowledged
    commit.
    """

    def count_done_and_lost(self, cause: steps.Cause) -> tuple[int, list[str]]:
        done = 0
        lost = []
        for seed in range(SEEDS):
            group, is_done = simulation.run_attempt(seed, cause)
            done += is_done
            lost += [f"seed {seed}: {text}" for text in group.lost]
        return done, lost

    def test_no_acknowledged_commit_is_lost(self) -> None:
        for cause in _Cause:
            done, lost = self.count_done_and_lost(cause)
            self.assertEqual(lost, [], cause)
            self.assertGreater(done, SEEDS // 4, cause)

    def test_one_fenced_member_too_few_loses_commits(self) -> None:
        def count_one(attempt: steps.Attempt) -> int:
            return 1

        with mock.patch.object(fences, "count_fences_needed", count_one):
            _, lost = self.count_done_and_lost(_Cause.UNREACHABLE)
        self.assertNotEqual(lost, [])
