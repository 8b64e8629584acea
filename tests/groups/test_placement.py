"""Tests of the choice of a target."""

import testtools

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement

NOW_S = 100.0
_Consistency = model.Consistency
_Reason = placement.Reason


def make_leadership(seen_s: float = NOW_S - 0.1) -> evidence.Leadership:
    leadership = evidence.Leadership()
    evidence.record_primary(leadership, "p", 1, seen_s)
    evidence.record_member(leadership, "m", "m", 0, seen_s, seen_s)
    for number, age_s in ((10, 1.4), (20, 0.9), (30, 0.1)):
        # Older positions stay valid; only their order matters here.
        leadership.positions.append(
            (seen_s + 0.1 - age_s, model.Position(1, number))
        )
    return leadership


def make_loads(**changes: object) -> list[placement.TargetLoad]:
    loads = [
        placement.TargetLoad(name, "dc", idle=1) for name in ("p", "r", "s")
    ]
    for load in loads:
        for key, value in changes.items():
            name, _, field = key.partition("_")
            if name == load.target:
                setattr(load, field, value)
    return loads


def make_need(
    consistency: model.Consistency = _Consistency.BOUNDED,
    max_age_s: float = 1.0,
    **changes: object,
) -> placement.Requirements:
    need = placement.Requirements(
        False, False, consistency, max_age_s, NOW_S, None
    )
    return need._replace(**changes)  # type: ignore[arg-type]


def choose(
    need: placement.Requirements,
    loads: list[placement.TargetLoad] | None = None,
    leadership: evidence.Leadership | None = None,
    excluded: frozenset[str] = frozenset(),
) -> placement.Choice:
    return placement.choose_target(
        need,
        loads if loads is not None else make_loads(),
        leadership or make_leadership(),
        "dc",
        NOW_S,
        excluded,
    )


def note_behind(load: placement.TargetLoad, position: model.Position) -> None:
    placement.record_missing_position(load, position, make_leadership(), NOW_S)


class RuleTest(testtools.TestCase):
    """Which targets may serve a request."""

    def test_write_goes_to_the_primary(self) -> None:
        need = make_need(is_primary_only=True, is_write=True)
        self.assertEqual(choose(need).target, "p")

    def test_write_waits_once_evidence_has_expired(self) -> None:
        need = make_need(is_primary_only=True, is_write=True)
        old_leadership = make_leadership(
            NOW_S - evidence.EVIDENCE_VALIDITY_S - 0.01
        )
        choice = choose(need, leadership=old_leadership)
        self.assertIsNone(choice.target)
        self.assertEqual(choice.reason, _Reason.EVIDENCE_EXPIRED)

    def test_primary_read_needs_evidence_valid_until_its_arrival(self) -> None:
        old_leadership = make_leadership(
            NOW_S - evidence.EVIDENCE_VALIDITY_S - 0.2
        )
        need = make_need(_Consistency.PRIMARY, 0.0, is_primary_only=True)
        self.assertIsNone(choose(need, leadership=old_leadership).target)
        earlier = need._replace(arrived_s=NOW_S - 0.3)
        self.assertEqual(choose(earlier, leadership=old_leadership).target, "p")

    def test_unknown_primary_is_the_reason_for_waiting(self) -> None:
        need = make_need(is_primary_only=True, is_write=True)
        choice = choose(need, leadership=evidence.Leadership())
        self.assertEqual(choice.reason, _Reason.NO_PRIMARY)

    def test_bounded_read_requires_the_oldest_allowed_position(self) -> None:
        loads = make_loads(p_idle=0)
        choice = choose(make_need(max_age_s=1.0), loads)
        self.assertIn(choice.target, ("r", "s"))
        self.assertEqual(choice.position, model.Position(1, 20))

    def test_bounded_read_without_recent_position_waits(self) -> None:
        loads = make_loads(p_idle=0)
        need = make_need(max_age_s=0.05)
        self.assertIsNone(choose(need, loads).target)

    def test_session_read_requires_the_position_of_its_last_commit(
        self,
    ) -> None:
        loads = make_loads(p_idle=0)
        committed = model.Position(1, 33)
        need = make_need(_Consistency.SESSION, last_commit_position=committed)
        self.assertEqual(choose(need, loads).position, committed)

    def test_bounded_read_ignores_the_last_commit_of_its_session(self) -> None:
        loads = make_loads(p_idle=0)
        need = make_need(last_commit_position=model.Position(1, 33))
        self.assertEqual(choose(need, loads).position, model.Position(1, 20))

    def test_primary_of_lower_term_does_not_serve_later_commit(self) -> None:
        committed = model.Position(2, 5)
        need = make_need(_Consistency.SESSION, last_commit_position=committed)
        self.assertNotEqual(choose(need).target, "p")

    def test_leaving_target_is_not_chosen(self) -> None:
        loads = make_loads(p_idle=0)
        loads[1].accepts_new_work = False
        self.assertEqual(choose(make_need(), loads).target, "s")


class LoadTest(testtools.TestCase):
    """The choice among lagging, slow and failed targets."""

    def test_slow_replica_is_avoided(self) -> None:
        loads = make_loads(p_idle=0)
        loads[1].run_time_s = 0.2
        self.assertEqual(choose(make_need(), loads).target, "s")

    def test_primary_serves_reads_if_replicas_are_slow(self) -> None:
        loads = make_loads()
        loads[1].run_time_s = loads[2].run_time_s = 0.2
        self.assertEqual(choose(make_need(), loads).target, "p")

    def test_primary_serves_no_reads_while_replicas_are_fast(self) -> None:
        self.assertNotEqual(choose(make_need()).target, "p")

    def test_primary_that_does_not_answer_is_not_chosen(self) -> None:
        loads = make_loads()
        loads[0].is_responsive = False
        old_leadership = make_leadership(NOW_S - 0.5)
        need = make_need(_Consistency.PRIMARY, 0.0, is_primary_only=True)
        choice = choose(need, loads, old_leadership)
        self.assertEqual(choice.reason, _Reason.EVIDENCE_EXPIRED)

    def test_replica_that_lacked_a_position_is_skipped(self) -> None:
        loads = make_loads(p_idle=0)
        note_behind(loads[1], model.Position(1, 15))
        self.assertEqual(choose(make_need(), loads).target, "s")

    def test_replica_that_lacked_a_position_serves_older_ones(self) -> None:
        loads = make_loads(p_idle=0, s_idle=0)
        note_behind(loads[1], model.Position(1, 25))
        self.assertEqual(choose(make_need(), loads).target, "r")

    def test_replica_that_lags_more_than_accepted_is_skipped(self) -> None:
        loads = make_loads(p_idle=0)
        loads[1].lag_s = 1.2
        loads[1].lag_sampled_s = NOW_S
        self.assertEqual(choose(make_need(max_age_s=1.0), loads).target, "s")
        loads[2].idle = 0
        older = make_need(max_age_s=1.45)
        self.assertEqual(choose(older, loads).target, "r")

    def test_lagging_replica_is_tried_once_its_lag_sample_is_old(self) -> None:
        loads = make_loads(p_idle=0, s_idle=0)
        loads[1].lag_s = 1.2
        loads[1].lag_sampled_s = NOW_S - placement.MAX_LAG_SAMPLE_AGE_S - 0.01
        self.assertEqual(choose(make_need(max_age_s=1.0), loads).target, "r")

    def test_replica_that_showed_a_position_serves_it(self) -> None:
        loads = make_loads(p_idle=0, s_idle=0)
        loads[1].lag_s = 1.2
        loads[1].lag_sampled_s = NOW_S
        loads[1].position = model.Position(1, 20)
        self.assertEqual(choose(make_need(max_age_s=1.0), loads).target, "r")

    def test_lagging_changes_have_hysteresis(self) -> None:
        load = placement.TargetLoad("r")
        changes = []
        for lag_s in (0.4, 0.9, 1.1, 0.9, 1.2, 0.6, 0.4, 0.9):
            load.lag_s = lag_s
            changes.append(placement.update_lagging(load, False))
        expected = [False, False, True, False, False, False, True, False]
        self.assertEqual(changes, expected)

    def test_primary_is_never_lagging(self) -> None:
        load = placement.TargetLoad("r", lag_s=5.0)
        self.assertTrue(placement.update_lagging(load, False))
        self.assertTrue(placement.update_lagging(load, True))
        self.assertFalse(load.is_lagging)

    def test_lag_is_averaged_from_the_positions_of_reads(self) -> None:
        leadership = make_leadership()
        load = placement.TargetLoad("r")
        for _ in range(20):
            position = model.Position(1, 10)
            placement.record_position(load, position, leadership, NOW_S)
        # The primary passed position 10 when it answered with 20.
        self.assertAlmostEqual(load.lag_s, 0.9, places=2)
        for _ in range(20):
            position = model.Position(1, 30)
            placement.record_position(load, position, leadership, NOW_S)
        self.assertLess(load.lag_s, 0.01)

    def test_failed_replica_is_not_chosen_during_backoff(self) -> None:
        loads = make_loads(p_idle=0, s_idle=0)
        placement.record_failure(loads[1], NOW_S)
        self.assertIsNone(choose(make_need(), loads).target)

    def test_missing_connection_is_the_reason_for_waiting(self) -> None:
        loads = make_loads(p_idle=0, r_idle=0, s_idle=0)
        choice = choose(make_need(), loads)
        self.assertEqual(choice.reason, _Reason.NO_CONNECTION)
