"""Tests of changes of primary that end the lag of a group's replicas.

They guard against a group whose primary refuses most requests for as long as
its replicas lag, and against changes that cost callers more than the lag.
"""

import math

import testtools

from knapweedtally.core.groups import lag_relief

_STEP_S = 0.05

# Share of the demand that the primary alone serves at three times its capacity,
# and that two targets serve.
_ALONE_SHARE = 1 / 3
_RELIEVED_SHARE = 2 / 3


class LoadTest(testtools.TestCase):
    """What callers get from one group while its replicas lag."""

    def play(
        self,
        lag_s: float,
        duration_s: float = 40.0,
        *,
        is_allowed: bool = True,
        is_reported: bool = True,
    ) -> tuple[float, int]:
        """Play a group whose replicas lag, and return what callers lost.

        Args:
            lag_s: how long the replicas lag if the primary isn't changed.
            duration_s: how long the run takes.
            is_allowed: whether the decision is used at all.
            is_reported: whether the replicas report how much longer they lag.

        Returns:
            The lost service in seconds of the whole demand beside what two
            targets can't serve either, and the number of changes.
        """
        state = lag_relief.LagRelief()
        lost_s = now_s = 0.0
        changed_s = -math.inf
        known_since_s = -lag_relief.MIN_LEAD_S
        changes = 0
        while now_s < duration_s:
            is_changing = now_s < changed_s + lag_relief.CHANGE_COST_S
            is_lagging = now_s < lag_s and changed_s < 0
            served = _RELIEVED_SHARE
            if is_changing:
                served = 0.0
            elif is_lagging:
                served = _ALONE_SHARE
            reported_s = max(0.0, lag_s - now_s) if is_reported else 0.0
            if not is_lagging:
                reported_s = 0.0
            lost_s += (_RELIEVED_SHARE - served) * _STEP_S
            lag_relief.update(
                state,
                [lag_relief.Replica(is_lagging, reported_s, True)] * 2,
                0.0 if is_changing else 1.0 - served,
                now_s,
            )
            if is_allowed and lag_relief.is_change_due(
                state, known_since_s, now_s
            ):
                changed_s = known_since_s = now_s
                changes += 1
            now_s += _STEP_S
        return lost_s, changes

    def test_callers_are_served_again_soon_after_a_long_lag_began(
        self,
    ) -> None:
        without_s, _ = self.play(40.0, is_allowed=False)
        lost_s, changes = self.play(40.0)
        self.assertEqual(changes, 1)
        self.assertLess(lost_s, without_s / 8)

    def test_lag_that_ends_soon_by_the_reports_causes_no_change(self) -> None:
        self.assertEqual(self.play(4.0)[1], 0)

    def test_no_lag_that_is_reported_costs_more_than_without_changes(
        self,
    ) -> None:
        for tenth in range(1, 400, 7):
            without_s, _ = self.play(tenth / 10, is_allowed=False)
            self.assertLessEqual(self.play(tenth / 10)[0], without_s + 0.01)

    # Guards against replicas whose reports are always too low.
    def test_lag_that_is_not_reported_ends_too(self) -> None:
        without_s, _ = self.play(40.0, is_allowed=False)
        lost_s, changes = self.play(40.0, is_reported=False)
        self.assertEqual(changes, 1)
        self.assertLess(lost_s, without_s / 2)


class ConditionTest(testtools.TestCase):
    """When no change is made, whatever was refused."""

    def is_due(
        self,
        replicas: list[lag_relief.Replica],
        known_since_s: float = 0.0,
        refused_share: float = 0.9,
    ) -> bool:
        state = lag_relief.LagRelief()
        now_s = 100.0
        for _ in range(200):
            lag_relief.update(state, replicas, refused_share, now_s)
            now_s += _STEP_S
        return lag_relief.is_change_due(state, known_since_s, now_s)

    def test_change_needs_a_replica_that_has_the_log(self) -> None:
        lagging = lag_relief.Replica(True, 20.0, True)
        deaf = lag_relief.Replica(True, 20.0, False)
        self.assertTrue(self.is_due([deaf, lagging]))
        self.assertFalse(self.is_due([deaf, deaf]))

    def test_one_fresh_replica_is_enough(self) -> None:
        lagging = lag_relief.Replica(True, 20.0, True)
        fresh = lag_relief.Replica(False, 0.0, True)
        self.assertFalse(self.is_due([fresh, lagging]))

    def test_group_without_replicas_that_answer_is_left(self) -> None:
        self.assertFalse(self.is_due([]))

    def test_lag_that_costs_nothing_is_left(self) -> None:
        lagging = lag_relief.Replica(True, 20.0, True)
        self.assertFalse(self.is_due([lagging], refused_share=0.0))

    # Guards against a group that is switched back and forth by a lag that a
    # change doesn't cure.
    def test_new_primary_is_kept_for_a_while(self) -> None:
        lagging = lag_relief.Replica(True, 20.0, True)
        self.assertFalse(self.is_due([lagging], known_since_s=105.0))

    # Guards against lost time after a suspension that counts as refused.
    def test_time_between_distant_updates_is_not_counted(self) -> None:
        state = lag_relief.LagRelief()
        lagging = [lag_relief.Replica(True, 0.0, True)]
        for now_s in (100.0, 130.0, 160.0):
            lag_relief.update(state, lagging, 0.9, now_s)
        self.assertFalse(lag_relief.is_change_due(state, 0.0, 160.0))

    # Guards against a lag that goes on because only pollers know how long it
    # takes, and these can't reach the store.
    def test_host_without_reports_requests_them(self) -> None:
        state = lag_relief.LagRelief()
        for step in range(80):
            now_s = 100.0 + step * _STEP_S
            unreported = [lag_relief.Replica(True, 0.0, False)]
            lag_relief.update(state, unreported, 0.8, now_s)
            if step < 20:
                self.assertFalse(lag_relief.needs_reports(state))
        self.assertTrue(lag_relief.needs_reports(state))
