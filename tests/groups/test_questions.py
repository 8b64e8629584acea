"""Tests of the choice of members to ask."""

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import questions

TICK_S = 0.05


def make_leadership(seen_s: float) -> evidence.Leadership:
    leadership = evidence.Leadership()
    evidence.note_primary(leadership, "a", 3, seen_s)
    for member in "bc":
        evidence.note_member(leadership, member, "abc", 0, seen_s, seen_s)
    return leadership


def count(leadership: evidence.Leadership, is_asker: bool) -> int:
    """Return the questions in ten seconds in which none is answered."""
    asked = questions.Questions()
    return sum(
        len(questions.list_due(asked, leadership, "abc", is_asker, 10.0 + at))
        for at in (number * TICK_S for number in range(200))
    )


class QuestionTest(testtools.TestCase):
    """Whom a host asks, and how often."""

    def test_fresh_evidence_needs_no_question(self) -> None:
        due = questions.list_due(
            questions.Questions(), make_leadership(10.0), "abc", True, 10.3
        )
        self.assertEqual(due, [])

    def test_members_take_turns(self) -> None:
        asked = questions.Questions()
        leadership = make_leadership(10.0)
        leadership.primary_seen_s = 20.0
        due = [
            questions.list_due(asked, leadership, "abc", True, 10.4)
            for _ in range(4)
        ]
        self.assertEqual(due, [["c"], ["b"], ["c"], ["b"]])

    def test_host_that_is_told_asks_when_it_is_not(self) -> None:
        asked = questions.Questions()
        leadership = make_leadership(10.0)
        self.assertEqual(
            questions.list_due(asked, leadership, "abc", False, 10.5), []
        )
        due = questions.list_due(asked, leadership, "abc", False, 10.7)
        self.assertEqual(due, ["a", "c"])

    def test_expired_evidence_needs_every_member(self) -> None:
        due = questions.list_due(
            questions.Questions(), make_leadership(10.0), "abc", False, 11.0
        )
        self.assertEqual(due, ["a", "b", "c"])

    def test_hosts_that_are_told_ask_seldom_while_none_answers(self) -> None:
        for leadership in (make_leadership(10.0), evidence.Leadership()):
            asked = count(leadership, is_asker=False)
            self.assertLessEqual(asked, 3 * 10.0 / questions.ALONE_PAUSE_S + 3)
            self.assertGreater(count(leadership, is_asker=True), 2 * asked)
