"""Tests of the detection of primaries that have to be replaced."""

import testtools

from knapweedtally.core.groups import detection
from knapweedtally.core.groups import steps

NOW_S = 100.0
HEALTHY = detection.View(
    has_primary=True,
    known_since_s=50.0,
    unled_since_s=None,
    failing_since_s=None,
    failures=0,
    is_refusing=False,
    is_leaving=False,
    oldest_commit_s=None,
    last_commit_s=NOW_S - 0.1,
    primary_seen_s=NOW_S - 1.0,
    member_seen_s=NOW_S - 0.1,
    answering_members=2,
    other_members=2,
)
_Cause = steps.Cause


class DetectionTest(testtools.TestCase):
    """What leads to a change of primary, and what doesn't."""

    def find(self, **changes: object) -> steps.Cause | None:
        view = HEALTHY._replace(**changes)  # type: ignore[arg-type]
        return detection.find_cause(view, NOW_S)

    def test_healthy_primary_stays(self) -> None:
        self.assertIsNone(self.find())

    def test_refusing_primary_is_replaced_soon(self) -> None:
        since_s = NOW_S - detection.REFUSED_S - 0.01
        changes = {"failing_since_s": since_s, "failures": 2}
        self.assertIsNone(self.find(**changes))
        found = self.find(**changes, is_refusing=True)
        self.assertEqual(found, _Cause.UNREACHABLE)

    def test_silent_primary_is_replaced_later(self) -> None:
        since_s = NOW_S - detection.SILENT_S - 0.01
        found = self.find(failing_since_s=since_s, failures=2)
        self.assertEqual(found, _Cause.UNREACHABLE)

    def test_one_failure_is_not_enough(self) -> None:
        since_s = NOW_S - 5.0
        found = self.find(failing_since_s=since_s, failures=1)
        self.assertIsNone(found)

    def test_primary_that_other_hosts_see_stays(self) -> None:
        since_s = NOW_S - detection.SILENT_S - 0.01
        found = self.find(
            failing_since_s=since_s, failures=5, primary_seen_s=NOW_S - 0.3
        )
        self.assertIsNone(found)

    def test_refusing_primary_that_other_hosts_see_stays(self) -> None:
        found = self.find(
            failing_since_s=NOW_S - 3.0,
            failures=9,
            is_refusing=True,
            primary_seen_s=NOW_S - 0.4,
        )
        self.assertIsNone(found)

    def test_host_that_reaches_too_few_members_leaves_it_to_others(
        self,
    ) -> None:
        since_s = NOW_S - 5.0
        changes = {"failing_since_s": since_s, "failures": 5}
        self.assertIsNone(self.find(**changes, answering_members=1))
        absent = {"has_primary": False, "unled_since_s": NOW_S - 9.0}
        self.assertIsNone(self.find(**absent, answering_members=0))
        found = self.find(**absent, answering_members=1)
        self.assertEqual(found, _Cause.ABSENT)

    def test_leaving_primary_is_replaced(self) -> None:
        self.assertEqual(self.find(is_leaving=True), _Cause.LEAVING)

    def test_commit_that_waits_while_others_end_is_no_stall(self) -> None:
        oldest_s = NOW_S - detection.STALLED_S - 0.1
        found = self.find(oldest_commit_s=oldest_s, last_commit_s=NOW_S)
        self.assertIsNone(found)

    def test_commits_that_reach_no_replica_are_a_stall(self) -> None:
        oldest_s = NOW_S - detection.STALLED_S - 0.1
        found = self.find(
            oldest_commit_s=oldest_s, last_commit_s=oldest_s - 1.0
        )
        self.assertEqual(found, _Cause.STALLED)

    def test_members_left_stopped_are_a_stall(self) -> None:
        seen_s = NOW_S - detection.STOPPED_S - 0.1
        self.assertEqual(self.find(member_seen_s=seen_s), _Cause.STALLED)

    def test_members_that_do_not_answer_are_no_stall(self) -> None:
        seen_s = NOW_S - detection.STOPPED_S - 0.1
        found = self.find(member_seen_s=seen_s, answering_members=0)
        self.assertIsNone(found)

    def test_group_without_primary_gets_one(self) -> None:
        since_s = NOW_S - detection.ABSENT_S - 0.1
        found = self.find(has_primary=False, unled_since_s=since_s)
        self.assertEqual(found, _Cause.ABSENT)

    def test_single_target_stays(self) -> None:
        since_s = NOW_S - 5.0
        found = self.find(failing_since_s=since_s, failures=9, other_members=0)
        self.assertIsNone(found)
