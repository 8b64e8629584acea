"""Tests of load shedding for an overloaded primary."""

import random

import testtools

from bench.placing import model
from bench.placing import policies
from bench.placing import scenarios
from knapweedtally.core.groups import load_shedding

DURATION_S = 8.0
SEEDS = range(3)


def make_overloaded(
    share: float, now_s: float = 0.0
) -> load_shedding.LoadShedding:
    state = load_shedding.LoadShedding()
    load_shedding.set_refused_share(state, share, now_s)
    return state


class ShareTest(testtools.TestCase):
    """How the refused share depends on the queueing delay."""

    def test_short_delay_refuses_nothing(self) -> None:
        state = load_shedding.LoadShedding()
        for step in range(100):
            load_shedding.record_queueing_delay(
                state, load_shedding.TARGET_QUEUEING_DELAY_S, step * 0.36
            )
        self.assertEqual(load_shedding.get_refused_share(state, 36.0), 0.0)

    def test_long_delay_raises_the_share_up_to_the_limit(self) -> None:
        state = load_shedding.LoadShedding()
        shares = []
        for step in range(100):
            load_shedding.record_queueing_delay(
                state, load_shedding.FULL_QUEUE_DELAY_S, step * 0.36
            )
            shares.append(state.refused_share)
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(shares[-1], load_shedding.MAX_REFUSED_SHARE)

    def test_share_decreases_once_the_queue_is_short(self) -> None:
        state = make_overloaded(0.8)
        for step in range(1, 60):
            load_shedding.record_queueing_delay(state, 0.002, step * 0.36)
        self.assertEqual(state.refused_share, 0.0)

    def test_share_expires_unless_it_is_updated(self) -> None:
        state = make_overloaded(0.8, now_s=10.0)
        valid_until_s = 10.0 + load_shedding.MAX_SHARE_AGE_S
        self.assertEqual(
            load_shedding.get_refused_share(state, valid_until_s), 0.8
        )
        self.assertEqual(
            load_shedding.get_refused_share(state, valid_until_s + 0.01), 0.0
        )

    def test_interval_between_measurements_is_limited(
        self,
    ) -> None:
        state = make_overloaded(0.0, now_s=0.0)
        load_shedding.record_queueing_delay(state, 0.05, 1000.0)
        self.assertLess(state.refused_share, 0.3)

    def test_new_primary_resets_the_share(self) -> None:
        state = make_overloaded(0.8)
        load_shedding.reset_refused_share(state)
        self.assertEqual(load_shedding.get_refused_share(state, 0.0), 0.0)

    def test_invalid_share_of_another_host_is_limited(self) -> None:
        for share in (float("nan"), -1.0, float("inf"), 7.0):
            state = make_overloaded(share)
            self.assertBetween(
                state.refused_share, 0.0, load_shedding.MAX_REFUSED_SHARE
            )

    def assertBetween(  # noqa: N802 - named as testtools names its own
        self, value: float, low: float, high: float
    ) -> None:
        self.assertTrue(low <= value <= high, value)


class RefusalTest(testtools.TestCase):
    """How a request's priority affects whether it is refused."""

    def test_urgent_requests_are_refused_less(self) -> None:
        state = make_overloaded(0.5)
        for _ in range(50):
            for priority in (1, 2, 2, 2, 2, 2):
                load_shedding.record_priority(state, priority)
        chances = [number / 100 for number in range(100)]
        refused = {
            priority: sum(
                load_shedding.should_refuse(state, priority, chance, 0.0)
                for chance in chances
            )
            for priority in (1, 2)
        }
        self.assertEqual(refused[2], 50)
        self.assertEqual(
            refused[1], round(50 * load_shedding.URGENT_SHARE_FACTOR)
        )

    def test_no_request_is_urgent_if_all_have_the_same_priority(self) -> None:
        state = make_overloaded(0.5)
        for _ in range(50):
            load_shedding.record_priority(state, 0)
        self.assertTrue(load_shedding.should_refuse(state, 0, 0.45, 0.0))


class LoadTest(testtools.TestCase):
    """Simulated overload of a primary that serves all reads of its group."""

    def run_seeds(
        self, make_policy: policies.PolicyFactory, load: float
    ) -> list[model.Model]:
        runs = []
        for seed in SEEDS:
            run = policies.make_model(
                make_policy, scenarios.OVERLOADED.scale(load), seed
            )
            run.run(DURATION_S)
            runs.append(run)
        return runs

    def get_worth(self, runs: list[model.Model]) -> float:
        return sum(run.compute_utility() for run in runs) / len(runs)

    def get_share_in_aim(self, runs: list[model.Model], name: str) -> float:
        operations = sum(run.tallies[name].operations for run in runs)
        return (
            sum(run.tallies[name].answered_in_time for run in runs) / operations
        )

    def test_load_shedding_raises_total_worth_under_overload(self) -> None:
        for load in (1.0, 1.4, 2.0):
            before = self.run_seeds(policies.RetryImmediately, load)
            after = self.run_seeds(policies.RefuseEarly, load)
            gain = self.get_worth(after) - self.get_worth(before)
            self.assertGreater(gain, 0.03, load)

    def test_urgent_requests_meet_their_aim_under_overload(self) -> None:
        for load in (1.0, 1.4):
            before = self.run_seeds(policies.RetryImmediately, load)
            after = self.run_seeds(policies.RefuseEarly, load)
            self.assertGreater(
                self.get_share_in_aim(after, "urgent"),
                self.get_share_in_aim(before, "urgent") + 0.2,
            )

    def test_nothing_is_refused_at_half_load(self) -> None:
        for run in self.run_seeds(policies.RefuseEarly, 0.5):
            refused = sum(tally.refused for tally in run.tallies.values())
            self.assertEqual(refused, 0)

    def test_same_seed_gives_the_same_run(self) -> None:
        first, second = (
            policies.make_model(policies.RefuseEarly, scenarios.OVERLOADED, 7)
            for _ in range(2)
        )
        first.run(2.0)
        second.run(2.0)
        self.assertEqual(first.tallies, second.tallies)
        self.assertEqual(random.Random(7).random(), random.Random(7).random())
