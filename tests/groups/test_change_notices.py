"""Tests of the commits that hosts don't tell during a change of primary.

They guard against telling a caller of a commit that the promoted target lacks:
it was acknowledged through a member that had restarted and was no longer
fenced, or that the promoter didn't know.
"""

from unittest import mock

import testtools

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import model
from knapweedtally.core.groups import sharing
from knapweedtally.entry.fleet import peer_messages
from tests.groups import multi_host_simulation

_Stage = change_notices.Stage
_Fault = multi_host_simulation.Fault
_MIXED = (
    _Fault.RESTARTS,
    _Fault.JOINS,
    _Fault.KILLED_HOSTS,
    _Fault.LATE_EFFECTS,
    _Fault.LOST_ENTRIES,
)
_LATE = (
    _Fault.LATE_CALLS,
    _Fault.LATE_EFFECTS,
    _Fault.LOST_ANSWERS,
    _Fault.KILLED_HOSTS,
)


def make_notice(
    stage: change_notices.Stage, number: int = 50, term: int = 2
) -> change_notices.Notice:
    return change_notices.Notice(stage, term, model.Position(1, number))


class NoticeTest(testtools.TestCase):
    """Which commits a notice withholds, and until when."""

    def setUp(self) -> None:
        super().setUp()
        self.state = change_notices.ChangeState()

    def record(self, notice: change_notices.Notice, known_s: float) -> None:
        change_notices.record_notice(self.state, notice, known_s)

    def is_held(self, number: int, answered_s: float, term: int = 1) -> bool:
        return change_notices.is_commit_held(
            self.state, "t1", model.Position(term, number), answered_s
        )

    def test_only_later_commits_of_earlier_terms_are_held(self) -> None:
        self.assertFalse(self.is_held(51, 10.0))
        self.record(make_notice(_Stage.FENCED), 10.0)
        self.assertFalse(self.is_held(50, 10.1))
        self.assertTrue(self.is_held(51, 10.1))
        self.assertFalse(self.is_held(51, 10.1, term=2))

    def test_commit_of_a_term_before_the_covered_log_is_held(self) -> None:
        position = model.Position(2, 40)
        notice = change_notices.Notice(_Stage.REQUESTED, 3, position)
        self.record(notice, 10.0)
        self.assertTrue(self.is_held(30, 10.1, term=1))

    def test_commits_are_told_again_after_a_change_was_given_up(self) -> None:
        self.record(make_notice(_Stage.FENCED), 10.0)
        self.record(make_notice(_Stage.GIVEN_UP), 10.3)
        self.assertFalse(self.is_held(51, 10.4))
        # A repetition that was passed on late.
        self.record(make_notice(_Stage.FENCED), 10.0)
        self.assertFalse(self.is_held(51, 10.4))

    def test_requested_promotion_holds_commits_until_it_is_overdue(
        self,
    ) -> None:
        self.record(make_notice(_Stage.REQUESTED), 10.0)
        end_s = 10.0 + change_notices.HOLD_S
        self.assertTrue(self.is_held(51, end_s - 0.1))
        self.assertFalse(self.is_held(51, end_s + 0.1))

    # Guards against a second promoter that lifts what the first one's request,
    # which may still take effect, holds back.
    def test_second_promoter_does_not_end_the_hold_of_a_request(self) -> None:
        self.record(make_notice(_Stage.REQUESTED), 10.0)
        self.record(make_notice(_Stage.FENCED, 60), 11.0)
        self.assertTrue(self.is_held(55, 11.1))
        self.record(make_notice(_Stage.GIVEN_UP, 60), 11.5)
        self.assertTrue(self.is_held(55, 11.6))
        self.record(make_notice(_Stage.REQUESTED, 60), 12.0)
        self.assertTrue(self.is_held(55, 10.1 + change_notices.HOLD_S))
        self.assertFalse(self.is_held(55, 12.1 + change_notices.HOLD_S))

    # Guards against two requested promotions of which the second one to take
    # effect drops what was committed after the first one.
    def test_commits_are_held_while_another_target_may_be_promoted(
        self,
    ) -> None:
        requested = make_notice(_Stage.REQUESTED)
        self.record(requested._replace(target="t2"), 10.0)
        self.record(requested._replace(target="t1"), 11.0)
        end_s = 10.0 + change_notices.REQUEST_VALIDITY_S
        self.assertTrue(self.is_held(60, end_s - 0.1, term=2))
        self.assertFalse(self.is_held(60, end_s + 0.1, term=2))

    # Guards against writes that fail for seconds after a completed change that
    # soon follows another one.
    def test_commits_are_told_once_the_other_promotion_took_effect(
        self,
    ) -> None:
        requested = make_notice(_Stage.REQUESTED)._replace(target="t2")
        self.record(requested, 10.0)
        change_notices.record_leader(self.state, "t2", 2)
        self.assertFalse(self.is_held(60, 10.5, term=3))
        # A repetition that another host has sent.
        self.record(requested, 10.3)
        self.assertFalse(self.is_held(60, 10.5, term=3))

    # Guards against a promotion that was requested twice and takes effect again
    # after that of another target.
    def test_repeated_request_holds_commits_after_its_effect(self) -> None:
        requested = make_notice(_Stage.REQUESTED_AGAIN)._replace(target="t2")
        self.record(requested, 10.0)
        change_notices.record_leader(self.state, "t2", 2)
        self.record(requested._replace(stage=_Stage.REQUESTED), 10.2)
        self.assertTrue(self.is_held(60, 10.5, term=3))

    def test_notice_of_an_earlier_change_is_ignored(self) -> None:
        self.record(make_notice(_Stage.GIVEN_UP, term=3), 10.0)
        self.record(make_notice(_Stage.FENCED, term=2), 11.0)
        self.assertFalse(self.is_held(51, 11.1))

    def test_host_objects_if_it_told_a_later_commit(self) -> None:
        told = model.Position(1, 51)
        change_notices.record_told(self.state, told)
        objection = change_notices.record_notice(
            self.state, make_notice(_Stage.FENCED), 10.0
        )
        assert objection is not None
        self.assertEqual(
            (objection.stage, objection.position), (_Stage.OBJECTION, told)
        )

    def test_objection_delays_a_promotion_for_a_limited_time(self) -> None:
        self.record(make_notice(_Stage.OBJECTION, 51), 10.0)

        def has_objection(number: int, now_s: float) -> bool:
            return change_notices.has_objection(
                self.state, 2, model.Position(1, number), 10.0, now_s
            )

        self.assertTrue(has_objection(50, 11.0))
        self.assertFalse(has_objection(51, 11.0))
        wait_s = change_notices.OBJECTION_WAIT_S
        self.assertFalse(has_objection(50, 10.1 + wait_s))

    def test_notice_survives_encoding(self) -> None:
        notice = make_notice(_Stage.REQUESTED)._replace(target="t2")
        shared = sharing.make_shared_notice("g", notice, 0.25)
        message = peer_messages.PeerMessage(
            "h", "dc", 1, 10.0, None, 0.0, (shared,)
        )
        data = peer_messages.encode_message(message)
        self.assertEqual(peer_messages.decode_message(data).shared[0], shared)

    # Guards against a host that ends by a notice of a later build.
    def test_unknown_stage_is_a_malformed_message(self) -> None:
        shared = sharing.make_shared_notice("g", make_notice(_Stage.FENCED), 0)
        message = peer_messages.PeerMessage(
            "h", "dc", 1, 10.0, None, 0.0, (shared._replace(change=99),)
        )
        self.assertRaises(
            peer_messages.MalformedMessage,
            peer_messages.decode_message,
            peer_messages.encode_message(message),
        )


class RuleTest(testtools.TestCase):
    """Each rule is needed: without it, a seed loses commits."""

    def count_losses(self, seed: int, *faults: _Fault) -> int:
        world = multi_host_simulation.run(seed, frozenset(faults))
        return len(world.losses)

    def test_without_held_commits(self) -> None:
        with mock.patch.object(
            change_notices, "is_commit_held", return_value=False
        ):
            self.assertGreater(self.count_losses(108, _Fault.RESTARTS), 0)
            self.assertGreater(self.count_losses(247, _Fault.RESTARTS), 0)

    def test_without_holding_commits_for_another_promotion(self) -> None:
        with mock.patch.object(
            change_notices, "is_other_promotion_pending", return_value=False
        ):
            self.assertGreater(self.count_losses(5675, *_MIXED), 0)
            self.assertGreater(self.count_losses(7056, *_MIXED), 0)

    def test_without_holding_commits_for_a_repeated_request(self) -> None:
        with mock.patch.object(
            change_notices,
            "_REQUEST_STAGES",
            frozenset({_Stage.REQUESTED}),
        ):
            self.assertGreater(self.count_losses(20358, *_MIXED), 0)

    def test_without_holding_commits_for_a_late_request(self) -> None:
        with mock.patch.object(change_notices, "REQUEST_VALIDITY_S", 5.0):
            self.assertGreater(self.count_losses(22092, *_LATE), 0)

    def test_without_objections(self) -> None:
        with mock.patch.object(
            change_notices, "has_objection", return_value=False
        ):
            self.assertGreater(self.count_losses(268, _Fault.JOINS), 0)
