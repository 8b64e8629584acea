"""Tests of what may lose a commit that a caller was told of.

Each test states one step of a run of the multi-host simulation that lost such
a commit.
"""

import testtools

from knapweedtally.core.groups import change_reports
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import primary_change
from knapweedtally.core.groups import steps

SPAN_S = evidence.EVIDENCE_VALIDITY_S
_Cause = steps.Cause
_Order = steps.Order
_Phase = steps.Phase

PRIMARY = "p"
COMMIT = model.Position(1, 9)


def make_report(
    number: int,
    *,
    paused_for: int = 2,
    is_primary: bool = False,
    answered_s: float = 100.0,
) -> steps.OrderReport:
    status = model.TargetStatus(
        is_primary, 1, model.Position(1, number), paused_for, 0.0, 0, 1
    )
    return steps.OrderReport(status, answered_s)


def make_fenced_attempt() -> steps.Attempt:
    """Return an attempt of a group of three whose replicas are fenced."""
    attempt = primary_change.begin_attempt(
        "g", _Cause.UNREACHABLE, "p", ("a", "b"), frozenset(), 1, 100.0
    )
    reports = {"a": make_report(5), "b": make_report(5)}
    change_reports.record_reports(attempt, _Order.PAUSE, reports, 100.0)
    return attempt


def confirm(attempt: steps.Attempt) -> steps.Step:
    """Confirm the fences after the wait and return the step that follows."""
    now_s = 100.0 + SPAN_S
    primary_change.next_step(attempt, now_s)
    reports = {"a": make_report(5), "b": make_report(5)}
    change_reports.record_reports(attempt, _Order.STATUS, reports, now_s)
    return primary_change.next_step(attempt, now_s)


class EvidenceTest(testtools.TestCase):
    """Evidence ends when the members that a promoter knows are fenced."""

    def make_leadership(self) -> evidence.Leadership:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "p", 1, 10.0)
        for member in "ab":
            evidence.record_member(leadership, member, "pab", 0, 10.0, 10.0)
        return leadership

    def test_commits_through_an_unlisted_member_do_not_extend_evidence(
        self,
    ) -> None:
        leadership = self.make_leadership()
        for tenth in range(1, 20):
            sent_s = 10.0 + tenth / 10
            evidence.record_commit(leadership, "p", sent_s, True)
        self.assertIsNone(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 11.91)
        )

    def test_member_that_joined_later_does_not_extend_evidence(self) -> None:
        leadership = self.make_leadership()
        for tenth in range(1, 20):
            sent_s = 10.0 + tenth / 10
            evidence.record_member(leadership, "c", "pabc", 0, sent_s, sent_s)
        self.assertIsNone(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 11.91)
        )

    def test_commit_is_not_told_without_evidence_if_replicas_are_unlisted(
        self,
    ) -> None:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "p", 1, 10.0)
        # As set by a host that lists only the primary.
        leadership.needs_member = False
        evidence.record_commit(leadership, "p", 19.9, True)
        self.assertIsNone(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 20.0)
        )


class MembersTest(testtools.TestCase):
    """Every member that may receive the log is fenced."""

    def test_member_listed_during_the_wait_is_fenced(self) -> None:
        attempt = make_fenced_attempt()
        primary_change.update_members(
            attempt, ("p", "a", "b", "c"), 100.0 + SPAN_S
        )
        self.assertNotIsInstance(confirm(attempt), steps.Promote)

    def test_member_listed_after_the_confirmation_is_fenced(self) -> None:
        attempt = make_fenced_attempt()
        now_s = 100.0 + SPAN_S
        primary_change.next_step(attempt, now_s)
        reports = {"a": make_report(5), "b": make_report(5)}
        change_reports.record_reports(attempt, _Order.STATUS, reports, now_s)
        self.assertEqual(attempt.phase, _Phase.PROMOTE)
        primary_change.update_members(
            attempt, ("p", "a", "b", "c"), 100.0 + SPAN_S
        )
        step = primary_change.next_step(attempt, now_s)
        self.assertNotIsInstance(step, steps.Promote)
