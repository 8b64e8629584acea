"""Tests of the limit of concurrent statements, in virtual time."""

import random

import testtools

from bench.pacing import scenarios
from knapweedtally.core.groups import pacing

_OK = pacing.Result.OK
_Phase = pacing.Phase
USUAL_S = 0.01


class Feeder:
    """Answer a pace's statements, as many at once as it allows."""

    def __init__(self, pace: pacing.Pace) -> None:
        self.pace = pace
        self.now_s = 100.0

    def run_round(self, result: pacing.Result = _OK, taken_s: float = USUAL_S):
        """Send statements up to the limit, and end them together."""
        self.pace.share = self.pace.limit
        sent_s = self.now_s
        for _ in range(self.pace.limit):
            pacing.record_sent(self.pace)
        self.now_s += taken_s
        changes = [
            pacing.record_result(self.pace, result, sent_s, self.now_s)
            for _ in range(self.pace.in_flight)
        ]
        self.now_s += 0.0001
        return [change for change in changes if change]

    def run_rounds(self, count: int, **kwargs: object) -> list[int]:
        """Return the limit after each of some rounds."""
        limits = []
        for _ in range(count):
            self.run_round(**kwargs)
            limits.append(self.pace.limit)
        return limits


def make_feeder(slots: int = 8, floor: int = 1) -> Feeder:
    """Return a feeder whose pace knows the usual time."""
    feeder = Feeder(pacing.Pace(slots, floor))
    feeder.run_rounds(20)
    feeder.pace.limit = slots
    return feeder


class LimitTests(testtools.TestCase):
    """How one event changes the limit."""

    def test_new_state_begins_at_the_slots(self):
        # A restarted host in front of a healthy target must not slow it down.
        pace = pacing.Pace(5)
        self.assertEqual((5, _Phase.STEADY), (pace.limit, pace.phase))

    def test_slow_start_doubles_up_to_the_slots_then_adds_one(self):
        feeder = make_feeder(8)
        pacing.recover(feeder.pace, feeder.now_s)
        self.assertEqual([2, 4, 8, 9, 10], feeder.run_rounds(5))
        self.assertIs(_Phase.STEADY, feeder.pace.phase)

    def test_limit_never_exceeds_twice_the_slots(self):
        self.assertEqual(16, make_feeder(8).run_rounds(50)[-1])

    def test_each_failure_halves_once_per_round_trip(self):
        # Eight refusals of one moment must not end at the floor.
        for result in (
            pacing.Result.REFUSED,
            pacing.Result.FAILED,
            pacing.Result.TIMED_OUT,
        ):
            feeder = make_feeder(8)
            self.assertEqual(1, len(feeder.run_round(result)))
            self.assertEqual(4, feeder.pace.limit)
            self.assertIs(_Phase.REDUCED, feeder.pace.phase)

    def test_slow_answers_halve(self):
        feeder = make_feeder(8)
        self.assertEqual(
            [pacing.Change.SLOW], feeder.run_round(taken_s=4 * USUAL_S)
        )
        self.assertEqual(4, feeder.pace.limit)

    def test_floor_is_one_and_for_a_primary_its_slots(self):
        # Writes are not starved by the slow start of their primary.
        for floor in (1, 8):
            feeder = make_feeder(8, floor)
            pacing.recover(feeder.pace, feeder.now_s)
            self.assertEqual(floor, feeder.pace.limit)
            limits = feeder.run_rounds(9, result=pacing.Result.TIMED_OUT)
            self.assertEqual(floor, limits[-1])

    def test_target_that_becomes_primary_gets_its_slots_at_once(self):
        feeder = make_feeder(8)
        pacing.recover(feeder.pace, feeder.now_s)
        pacing.set_bounds(feeder.pace, 8, True, feeder.now_s)
        self.assertEqual(8, feeder.pace.limit)

    def test_errors_are_no_fast_answers(self):
        # A target that fails at once would look faster than its peers.
        feeder = make_feeder(8)
        usual_s = feeder.pace.usual_s
        feeder.run_rounds(50, result=pacing.Result.FAILED, taken_s=0.0001)
        self.assertEqual(1, feeder.pace.limit)
        self.assertEqual(usual_s, feeder.pace.usual_s)

    def test_limit_stays_low_while_a_part_of_the_statements_fails(self):
        # 45% fail: some rounds have no error by chance.
        feeder = make_feeder(8)
        limits = []
        for number in range(200):
            is_bad = number * 45 % 100 < 45
            result = pacing.Result.FAILED if is_bad else _OK
            feeder.run_round(result)
            limits.append(feeder.pace.limit)
        self.assertLessEqual(max(limits[10:]), 2)

    def test_statement_that_a_caller_gave_up_changes_nothing(self):
        feeder = make_feeder(8)
        self.assertEqual([], feeder.run_round(pacing.Result.LOST, USUAL_S))
        self.assertEqual([], feeder.run_round(pacing.Result.NEUTRAL, 1.0))
        self.assertNotEqual([], feeder.run_round(pacing.Result.LOST, 1.0))

    def test_slow_first_answers_do_not_stop_the_slow_start(self):
        # Caches fill with the answers; a limit of one would take for ever.
        feeder = make_feeder(8)
        pacing.recover(feeder.pace, feeder.now_s)
        limits = feeder.run_rounds(3, taken_s=5 * USUAL_S)
        self.assertEqual([2, 4, 8], limits)

    def test_slower_answers_after_doubling_end_the_slow_start(self):
        feeder = make_feeder(16)
        pacing.recover(feeder.pace, feeder.now_s)
        feeder.run_rounds(3)
        self.assertEqual(8, feeder.pace.limit)
        feeder.run_round(taken_s=4 * USUAL_S)
        self.assertEqual(4, feeder.pace.limit)
        self.assertIs(_Phase.REDUCED, feeder.pace.phase)

    def test_target_that_is_slower_for_good_regains_its_slots(self):
        # Otherwise a target that was moved to a smaller machine stays idle.
        feeder = make_feeder(4)
        feeder.run_rounds(300, taken_s=5 * USUAL_S)
        self.assertGreaterEqual(feeder.pace.limit, 4)

    def test_quiet_time_raises_a_reduced_limit(self):
        # A target without requests would stay reduced for ever.
        feeder = make_feeder(4)
        feeder.run_rounds(9, result=pacing.Result.REFUSED)
        self.assertEqual(1, feeder.pace.limit)
        for second in range(1, 6):
            pacing.tick(feeder.pace, feeder.now_s + second * 1.1)
        self.assertEqual(4, feeder.pace.limit)

    def test_answers_after_a_suspension_of_the_host_do_not_count(self):
        # They seem slow because this host did not run.
        feeder = make_feeder(8)
        sent_s = feeder.now_s
        for _ in range(8):
            pacing.record_sent(feeder.pace)
        pacing.suspend(feeder.pace, sent_s + 2.0)
        for _ in range(8):
            pacing.record_result(feeder.pace, _OK, sent_s, sent_s + 2.0)
        self.assertEqual(8, feeder.pace.limit)

    def test_any_order_of_events_keeps_the_bounds(self):
        rng = random.Random(5)
        for floor in (1, 4):
            pace, now_s = pacing.Pace(4, floor), 0.0
            for _ in range(5000):
                now_s += rng.expovariate(50)
                if rng.random() < 0.02:
                    pacing.recover(pace, now_s)
                elif rng.random() < 0.5:
                    pacing.record_sent(pace)
                else:
                    result = rng.choice(list(pacing.Result))
                    sent_s = now_s - rng.expovariate(50)
                    pacing.record_result(pace, result, sent_s, now_s)
                pacing.tick(pace, now_s)
                self.assertTrue(floor <= pace.limit <= 8)
                self.assertGreaterEqual(pace.in_flight, 0)
                is_low = pace.limit < 4
                self.assertEqual(is_low, pace.phase is not _Phase.STEADY)


class CallerTests(testtools.TestCase):
    """What callers get with pacing and without, over the same seeds."""

    def run_both(self, prefix):
        scenario = scenarios.find_scenario(prefix)
        with_pacing = scenarios.run(scenario, "adaptive", range(3))
        return with_pacing, scenarios.run(scenario, "none", range(3))

    def test_power_loss(self):
        # Load: 380 a second, all three targets cold at once. Refusals are
        # alike within the spread of the seeds, since the capacity is.
        scenario = scenarios.find_scenario("all at once")
        paced = scenarios.run(scenario, "adaptive", range(12))
        unpaced = scenarios.run(scenario, "none", range(12))
        self.assertGreater(paced.in_time, 1.03 * unpaced.in_time)
        self.assertLess(paced.late, 0.9 * unpaced.late)
        self.assertLess(paced.refused, 1.05 * unpaced.refused)
        # At most a tenth of the 28 slot seconds of each run.
        self.assertLess(paced.idle_s / 12, 2.8)

    def test_cold_start(self):
        # Load: 380 a second; the first answers take five times as long.
        paced, unpaced = self.run_both("cold start")
        self.assertLessEqual(paced.late + paced.refused, unpaced.late)
        self.assertLess(paced.idle_s / 3, 1.0)

    def test_recovery_beside_healthy_peers(self):
        # Load: 380 a second; the peers alone could just serve it.
        paced, _ = self.run_both("recovery beside")
        self.assertLessEqual((paced.late + paced.refused), 3)
        self.assertLess(paced.idle_s / 3, 1.0)

    def test_other_faults_cost_callers_nothing(self):
        # Half as fast, flapping, failing by 45%, and no fault at two loads.
        for prefix in ("half", "flapping", "grey", "healthy", "healthy, high"):
            paced, _ = self.run_both(prefix)
            bad = paced.late + paced.refused
            self.assertLess(bad, 0.003 * (paced.in_time + bad), prefix)

    def test_no_peer_gets_everything_while_a_target_is_paced(self):
        # Reads that a target has no room for are spread over its peers.
        for name in ("recovery beside", "grey"):
            scenario = scenarios.find_scenario(name)
            make = scenarios.POLICIES["adaptive"]
            simulation = scenarios.model.Simulation(scenario, make, 1)
            simulation.run()
            answered = [t.answered for t in simulation.targets]
            self.assertLess(max(answered[0], answered[2]), 0.6 * sum(answered))
