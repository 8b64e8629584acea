"""Tests of the detection of primaries that have to be replaced."""

import testtools

from knapweedtally.core.groups import detection
from knapweedtally.core.groups import steps

NOW_S = 100.0
HEALTHY = detection.PrimaryView(
    has_primary=True,
    known_since_s=50.0,
    no_primary_since_s=None,
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
    is_settled=True,
)
_Cause = steps.Cause


class DetectionTest(testtools.TestCase):
    """Which views of a host lead to a change of primary."""

    def find_cause_for(self, **changes: object) -> steps.Cause | None:
        view = HEALTHY._replace(**changes)  # type: ignore[arg-type]
        return detection.find_cause(view, NOW_S)

    # Guards against a group that stays without a primary because members that
    # are gone for good are still counted.
    def test_last_primary_stands_in_for_members_that_are_gone(self) -> None:
        changes = {
            "has_primary": False,
            "no_primary_since_s": NOW_S - 2.0,
            "answering_members": 3,
            "other_members": 5,
        }
        self.assertIsNone(self.find_cause_for(**changes))
        found = self.find_cause_for(**changes, has_last_primary=True)
        self.assertEqual(found, _Cause.ABSENT)
        alone = {**changes, "answering_members": 1, "has_last_primary": True}
        self.assertIsNone(self.find_cause_for(**alone))
        self.assertIsNone(
            self.find_cause_for(
                **changes, has_last_primary=True, is_settled=False
            )
        )

    def test_absence_is_explained_until_a_change_is_due(self) -> None:
        view = HEALTHY._replace(
            has_primary=False, no_primary_since_s=NOW_S - 0.1, other_members=5
        )
        texts = [detection.explain_absence(view, NOW_S)]
        view = view._replace(no_primary_since_s=NOW_S - 9.0)
        texts.append(detection.explain_absence(view, NOW_S))
        self.assertIn("may still end", texts[0])
        self.assertIn("2 members answer; 4 have to", texts[1])
        view = view._replace(answering_members=4)
        self.assertEqual(detection.explain_absence(view, NOW_S), "")

    # Guards against a needless change by a host whose data centre was cut off
    # and that reaches the replicas a moment before the primary, or whose
    # evidence of the replicas is as old as the cut.
    def test_host_that_was_cut_off_waits_until_its_view_has_settled(
        self,
    ) -> None:
        unreachable = {"failing_since_s": NOW_S - 6.0, "failures": 9}
        stalled = {"member_seen_s": NOW_S - 6.0}
        for changes, cause, settled_s in (
            (unreachable, _Cause.UNREACHABLE, 1.0),
            (stalled, _Cause.STALLED, 3.0),
        ):
            self.assertEqual(self.find_cause_for(**changes), cause)
            changes["recovered_s"] = NOW_S - 0.1
            self.assertIsNone(self.find_cause_for(**changes))
            changes["recovered_s"] = NOW_S - settled_s
            self.assertEqual(self.find_cause_for(**changes), cause)
        found = self.find_cause_for(**stalled | {"recovered_s": NOW_S - 1.0})
        self.assertIsNone(found)
        leaving = self.find_cause_for(is_leaving=True, recovered_s=NOW_S - 0.1)
        self.assertEqual(leaving, _Cause.LEAVING)

    def test_lag_is_relieved_if_nothing_else_is_wrong(self) -> None:
        found = self.find_cause_for(is_relief_due=True)
        self.assertEqual(found, _Cause.LAGGING)

    def test_healthy_primary_is_kept(self) -> None:
        self.assertIsNone(self.find_cause_for())

    def test_primary_that_refuses_connections_is_replaced(self) -> None:
        since_s = NOW_S - detection.REFUSED_TIMEOUT_S - 0.01
        changes = {"failing_since_s": since_s, "failures": 2}
        self.assertIsNone(self.find_cause_for(**changes))
        found = self.find_cause_for(**changes, is_refusing=True)
        self.assertEqual(found, _Cause.UNREACHABLE)

    def test_primary_that_does_not_answer_is_replaced_later(self) -> None:
        since_s = NOW_S - detection.NO_ANSWER_TIMEOUT_S - 0.01
        found = self.find_cause_for(failing_since_s=since_s, failures=2)
        self.assertEqual(found, _Cause.UNREACHABLE)

    def test_one_failure_is_not_enough(self) -> None:
        since_s = NOW_S - 5.0
        found = self.find_cause_for(failing_since_s=since_s, failures=1)
        self.assertIsNone(found)

    def test_primary_that_other_hosts_reach_is_kept(self) -> None:
        since_s = NOW_S - detection.NO_ANSWER_TIMEOUT_S - 0.01
        found = self.find_cause_for(
            failing_since_s=since_s, failures=5, primary_seen_s=NOW_S - 0.3
        )
        self.assertIsNone(found)

    def test_refusing_primary_that_other_hosts_reach_is_kept(self) -> None:
        found = self.find_cause_for(
            failing_since_s=NOW_S - 3.0,
            failures=9,
            is_refusing=True,
            primary_seen_s=NOW_S - 0.4,
        )
        self.assertIsNone(found)

    def test_host_that_reaches_too_few_members_finds_no_cause(
        self,
    ) -> None:
        since_s = NOW_S - 5.0
        changes = {"failing_since_s": since_s, "failures": 5}
        self.assertIsNone(self.find_cause_for(**changes, answering_members=1))
        absent = {"has_primary": False, "no_primary_since_s": NOW_S - 9.0}
        for other_members, answering in ((1, 1), (2, 1), (3, 1), (4, 2)):
            found = self.find_cause_for(
                **absent,
                other_members=other_members,
                answering_members=answering,
            )
            self.assertIsNone(found)
        for other_members, answering in ((2, 2), (3, 2), (4, 3)):
            found = self.find_cause_for(
                **absent,
                other_members=other_members,
                answering_members=answering,
            )
            self.assertEqual(found, _Cause.ABSENT)

    def test_only_a_primary_that_steps_down_is_replaced_on_a_new_list(
        self,
    ) -> None:
        since_s = NOW_S - 5.0
        unreachable = {"failing_since_s": since_s, "failures": 5}
        absent = {"has_primary": False, "no_primary_since_s": since_s}
        for changes in (unreachable, absent):
            self.assertIsNotNone(self.find_cause_for(**changes))
            found = self.find_cause_for(**changes, is_settled=False)
            self.assertIsNone(found)
        found = self.find_cause_for(is_leaving=True, is_settled=False)
        self.assertEqual(found, _Cause.LEAVING)

    def test_leaving_primary_is_replaced(self) -> None:
        self.assertEqual(self.find_cause_for(is_leaving=True), _Cause.LEAVING)

    def test_waiting_commit_is_no_stall_while_others_are_acknowledged(
        self,
    ) -> None:
        oldest_s = NOW_S - detection.COMMIT_STALL_TIMEOUT_S - 0.1
        found = self.find_cause_for(
            oldest_commit_s=oldest_s, last_commit_s=NOW_S
        )
        self.assertIsNone(found)

    def test_commits_that_reach_no_replica_are_a_stall(self) -> None:
        oldest_s = NOW_S - detection.COMMIT_STALL_TIMEOUT_S - 0.1
        found = self.find_cause_for(
            oldest_commit_s=oldest_s, last_commit_s=oldest_s - 1.0
        )
        self.assertEqual(found, _Cause.STALLED)

    def test_members_left_paused_are_a_stall(self) -> None:
        seen_s = NOW_S - detection.MEMBERS_PAUSED_TIMEOUT_S - 0.1
        self.assertEqual(
            self.find_cause_for(member_seen_s=seen_s), _Cause.STALLED
        )

    def test_members_that_do_not_answer_are_no_stall(self) -> None:
        seen_s = NOW_S - detection.MEMBERS_PAUSED_TIMEOUT_S - 0.1
        found = self.find_cause_for(member_seen_s=seen_s, answering_members=0)
        self.assertIsNone(found)

    def test_group_without_primary_needs_a_change(self) -> None:
        since_s = NOW_S - detection.NO_PRIMARY_TIMEOUT_S - 0.1
        found = self.find_cause_for(
            has_primary=False, no_primary_since_s=since_s
        )
        self.assertEqual(found, _Cause.ABSENT)

    def test_single_target_is_kept(self) -> None:
        since_s = NOW_S - 5.0
        found = self.find_cause_for(
            failing_since_s=since_s, failures=9, other_members=0
        )
        self.assertIsNone(found)
