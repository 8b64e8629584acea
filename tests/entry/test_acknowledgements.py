"""Tests of acknowledged commits that wait for evidence."""

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.entry.members import acknowledgements


class AcknowledgementsTest(testtools.TestCase):
    """Tests of when a commit is settled, and with which result."""

    def setUp(self) -> None:
        super().setUp()
        self.leadership = evidence.Leadership()
        evidence.record_primary(self.leadership, "a", 3, 10.0)
        evidence.record_member(self.leadership, "b", "ab", 0, 10.0, 10.0)
        self.pending_commits = acknowledgements.Acknowledgements(
            self.leadership
        )
        self.results: list[bool] = []

    def add(self, answered_s: float) -> None:
        pending = acknowledgements.PendingCommit(
            "a",
            model.Position(3, 9),
            answered_s,
            answered_s + 2.0,
            self.results.append,
        )
        self.pending_commits.add(pending, answered_s)

    def test_confirmed_commit_is_settled_at_once(self) -> None:
        self.add(10.2)
        self.assertEqual(self.results, [True])

    def test_commit_waits_for_evidence_and_is_settled_once(self) -> None:
        self.add(11.0)
        self.assertEqual(self.results, [])
        evidence.record_member(self.leadership, "b", "ab", 0, 11.1, 11.2)
        self.pending_commits.settle(11.2)
        self.pending_commits.settle(11.3)
        self.assertEqual(self.results, [True])

    def test_commit_of_a_replaced_primary_is_not_confirmed(self) -> None:
        self.add(11.0)
        evidence.record_primary(self.leadership, "b", 4, 11.1)
        self.pending_commits.settle(11.2)
        self.assertEqual(self.results, [False])

    def test_commit_is_not_confirmed_at_its_deadline(self) -> None:
        self.add(11.0)
        self.pending_commits.settle(12.9)
        self.assertEqual(self.results, [])
        self.pending_commits.settle(13.0)
        self.assertEqual(self.results, [False])
