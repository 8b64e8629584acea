"""Tests of commits that wait for evidence."""

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.entry import acknowledgements


class AcknowledgementsTest(testtools.TestCase):
    """When the caller is told of a commit."""

    def setUp(self) -> None:
        super().setUp()
        self.leadership = evidence.Leadership()
        evidence.note_primary(self.leadership, "a", 3, 10.0)
        evidence.note_member(self.leadership, "b", "ab", 0, 10.0, 10.0)
        self.list = acknowledgements.Acknowledgements(self.leadership)
        self.told: list[bool] = []

    def add(self, answered_s: float) -> None:
        pending = acknowledgements.Pending(
            3, answered_s, answered_s + 2.0, self.told.append
        )
        self.list.add(pending, answered_s)

    def test_covered_commit_is_told_at_once(self) -> None:
        self.add(10.2)
        self.assertEqual(self.told, [True])

    def test_commit_waits_for_evidence_and_is_told_once(self) -> None:
        self.add(11.0)
        self.assertEqual(self.told, [])
        evidence.note_member(self.leadership, "b", "ab", 0, 11.1, 11.2)
        self.list.settle(11.2)
        self.list.settle(11.3)
        self.assertEqual(self.told, [True])

    def test_commit_of_a_replaced_primary_is_in_doubt(self) -> None:
        self.add(11.0)
        evidence.note_primary(self.leadership, "b", 4, 11.1)
        self.list.settle(11.2)
        self.assertEqual(self.told, [False])

    def test_commit_is_in_doubt_at_its_deadline(self) -> None:
        self.add(11.0)
        self.list.settle(12.9)
        self.assertEqual(self.told, [])
        self.list.settle(13.0)
        self.assertEqual(self.told, [False])
