"""Tests of the evidence about a group's primary."""

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model

SPAN_S = evidence.EVIDENCE_VALIDITY_S

PRIMARY = "a"
COMMIT = model.Position(3, 9)


def make_leadership(seen_s: float = 10.0) -> evidence.Leadership:
    leadership = evidence.Leadership()
    evidence.record_primary(leadership, "a", 3, seen_s)
    for member in "bc":
        note_member(leadership, member, seen_s)
    return leadership


def note_member(
    leadership: evidence.Leadership,
    target: str,
    sent_s: float,
    answered_s: float | None = None,
    paused_for: int = 0,
) -> None:
    """Record an answer in the primary's term from a member of a group of 3."""
    if answered_s is None:
        answered_s = sent_s
    evidence.record_member(
        leadership, target, "abc", paused_for, sent_s, answered_s
    )


class LeadershipTest(testtools.TestCase):
    """Which answers prove that no promotion took effect."""

    def test_first_evidence_needs_the_primary_and_every_member(self) -> None:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "a", 3, 10.0)
        note_member(leadership, "b", 9.5)
        self.assertLess(leadership.valid_until_s, 9.5)
        note_member(leadership, "c", 9.6)
        self.assertLess(leadership.valid_until_s, 9.5)
        note_member(leadership, "b", 9.7)
        self.assertEqual(leadership.valid_until_s, 9.6 + SPAN_S)

    def test_one_member_extends_valid_evidence(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_primary(leadership, "a", 3, 10.7)
        note_member(leadership, "b", 10.6, 10.7)
        self.assertEqual(leadership.valid_until_s, 10.6 + SPAN_S)

    def test_one_member_does_not_extend_expired_evidence(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_primary(leadership, "a", 3, 10.9)
        note_member(leadership, "b", 10.7, 10.0 + SPAN_S + 0.01)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)
        note_member(leadership, "c", 10.85)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)
        note_member(leadership, "b", 10.86)
        self.assertEqual(leadership.valid_until_s, 10.85 + SPAN_S)

    def test_answers_from_before_and_after_a_promotion_prove_nothing(
        self,
    ) -> None:
        leadership = make_leadership(10.0)
        for member in "bc":
            note_member(leadership, member, 11.0, paused_for=4)
        # Member c restarted while its promotion was on its way. The promotion
        # takes effect at 12.1 and resumes member b, which follows the old
        # primary until it learns of the new one.
        note_member(leadership, "c", 12.0)
        for tenth in range(10):
            note_member(leadership, "b", 12.2 + tenth / 10)
        self.assertIsNone(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 12.3)
        )

    def test_pause_between_distant_answers_is_not_overlooked(self) -> None:
        leadership = make_leadership(10.0)
        note_member(leadership, "c", 12.0)
        note_member(leadership, "b", 12.2)
        self.assertIsNone(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 12.3)
        )

    def test_members_that_resumed_renew_the_evidence(self) -> None:
        leadership = make_leadership(10.0)
        for member in "bc":
            note_member(leadership, member, 11.0, paused_for=4)
        for sent_s in (12.0, 12.1):
            for member in "bc":
                note_member(leadership, member, sent_s, sent_s + 0.01)
        self.assertEqual(leadership.member_seen_s, 12.1)

    def test_paused_member_proves_nothing(self) -> None:
        leadership = make_leadership(10.0)
        note_member(leadership, "b", 10.5, paused_for=4)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)
        note_member(leadership, "c", 10.9)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)

    def test_new_primary_is_valid_from_when_it_was_seen_as_replica(
        self,
    ) -> None:
        leadership = make_leadership(10.0)
        evidence.record_term(leadership, "b", 3, 10.5)
        evidence.record_primary(leadership, "b", 4, 10.6)
        self.assertEqual(leadership.valid_until_s, 10.5 + SPAN_S)

    def test_new_primary_without_earlier_answer_proves_nothing(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_primary(leadership, "d", 4, 10.6)
        self.assertLess(leadership.valid_until_s, 10.6)

    def test_lower_term_does_not_replace_the_primary(self) -> None:
        leadership = make_leadership()
        self.assertFalse(evidence.record_primary(leadership, "b", 2, 20.0))
        self.assertEqual(leadership.target, "a")

    def test_new_term_drops_old_positions(self) -> None:
        leadership = make_leadership()
        position = model.Position(3, 7)
        evidence.record_position(leadership, "a", position, 10.0)
        self.assertTrue(evidence.record_primary(leadership, "b", 4, 11.0))
        self.assertIsNone(evidence.find_position(leadership, 0.0))
        self.assertLess(leadership.valid_until_s, 11.0)

    def test_replicated_commit_proves_the_primary_only(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_commit(leadership, "a", 10.7, True)
        self.assertEqual(leadership.primary_seen_s, 10.7)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)

    def test_replicated_commit_shows_that_a_promotion_needs_a_member(
        self,
    ) -> None:
        leadership = evidence.Leadership()
        evidence.record_primary(leadership, "a", 3, 10.0)
        leadership.needs_member = False
        evidence.record_commit(leadership, "a", 10.1, True)
        self.assertLess(leadership.valid_until_s, 10.1)

    def test_commit_without_replicas_proves_the_primary_only(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_commit(leadership, "a", 10.7, False)
        self.assertEqual(leadership.primary_seen_s, 10.7)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)

    def test_commit_at_another_target_proves_nothing(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_commit(leadership, "b", 10.7, True)
        self.assertEqual(leadership.primary_seen_s, 10.0)
        self.assertEqual(leadership.valid_until_s, 10.0 + SPAN_S)

    def test_later_term_of_a_member_drops_the_primary(self) -> None:
        leadership = make_leadership()
        self.assertTrue(evidence.record_primary_loss(leadership, "b", 4))
        self.assertIsNone(leadership.target)


class CommitTest(testtools.TestCase):
    """Whether a commit was acknowledged before any later promotion."""

    def test_true_while_evidence_covers_the_answer(self) -> None:
        leadership = make_leadership(10.0)
        self.assertIs(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 10.5), True
        )

    def test_unknown_after_evidence_has_expired(self) -> None:
        leadership = make_leadership(10.0)
        self.assertIsNone(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 10.9)
        )
        for member in "bc":
            note_member(leadership, member, 11.0)
        self.assertIs(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 10.9), True
        )

    def test_false_once_a_later_term_is_known(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_primary(leadership, "b", 4, 10.7)
        self.assertIs(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 10.5), False
        )

    def test_true_if_promotions_need_no_other_member(self) -> None:
        leadership = make_leadership(10.0)
        leadership.needs_member = False
        self.assertIs(
            evidence.check_commit(leadership, PRIMARY, COMMIT, 20.0), True
        )


class PositionTest(testtools.TestCase):
    """Which position covers all commits before a time."""

    def test_position_after_expiry_is_ignored(self) -> None:
        leadership = make_leadership(10.0)
        late_s = 10.0 + SPAN_S + 0.01
        evidence.record_position(leadership, "a", model.Position(3, 9), late_s)
        self.assertIsNone(evidence.find_position(leadership, 0.0))

    def test_oldest_sufficient_position_is_found(self) -> None:
        leadership = make_leadership(10.0)
        for number, sent_s in ((5, 10.0), (6, 10.2), (7, 10.4)):
            position = model.Position(3, number)
            evidence.record_position(leadership, "a", position, sent_s)
        found = evidence.find_position(leadership, 10.1)
        self.assertEqual(found, model.Position(3, 6))
        self.assertIsNone(evidence.find_position(leadership, 10.5))

    def test_log_is_kept_if_a_member_is_past_a_later_position(self) -> None:
        leadership = make_leadership()
        for sent_s, number in ((10.1, 5), (10.2, 6), (10.3, 7)):
            evidence.record_position(
                leadership, "a", model.Position(3, number), sent_s
            )
        for number, since_s, is_kept in (
            (5, 10.05, True),
            (5, 10.15, False),
            (6, 10.15, True),
            (9, 10.35, False),
        ):
            received = [model.Position(3, 1), model.Position(3, number)]
            found = evidence.is_log_kept(leadership, received, since_s)
            self.assertEqual(found, is_kept, (number, since_s))

    def test_position_is_valid_from_when_the_request_was_sent(self) -> None:
        leadership = make_leadership(10.0)
        evidence.record_position(leadership, "a", model.Position(3, 5), 9.0)
        self.assertIsNone(evidence.find_position(leadership, 9.1))


class NewPrimaryTest(testtools.TestCase):
    """Evidence about a new primary while another member is down."""

    def change_primary(self) -> evidence.Leadership:
        leadership = evidence.Leadership()
        members = ("p", "a", "b")
        evidence.record_primary(leadership, "p", 1, 10.0)
        for sent_s in (10.0, 10.1):
            for target in ("a", "b"):
                evidence.record_member(
                    leadership, target, members, 0, sent_s, sent_s + 0.01
                )
        evidence.record_term(leadership, "a", 1, 10.5)
        evidence.record_primary(leadership, "a", 2, 10.6)
        return leadership

    # Guards against a group that serves nobody after a change of primary until
    # a member that is down counts as gone.
    def test_member_of_the_former_round_extends_it(self) -> None:
        leadership = self.change_primary()
        self.assertEqual(leadership.member_seen_s, 10.5)
        evidence.record_member(leadership, "b", ("p", "a", "b"), 0, 11.2, 11.21)
        self.assertEqual(leadership.member_seen_s, 11.2)

    # Guards against evidence from a member that promoters don't pause.
    def test_member_that_joined_or_was_removed_does_not(self) -> None:
        leadership = self.change_primary()
        evidence.remove_member(leadership, "b")
        for target in ("b", "c"):
            evidence.record_member(
                leadership, target, ("p", "a", "b", "c"), 0, 11.2, 11.21
            )
        self.assertEqual(leadership.member_seen_s, 10.5)
