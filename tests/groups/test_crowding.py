"""Tests of early refusals before a crowded primary."""

import random

import testtools

from bench.placing import model
from bench.placing import policies
from bench.placing import scenarios
from knapweedtally.core.groups import crowding

DURATION_S = 8.0
SEEDS = range(3)


def make_crowded(share: float, now_s: float = 0.0) -> crowding.Crowding:
    made = crowding.Crowding()
    crowding.note_share(made, share, now_s)
    return made


class ShareTest(testtools.TestCase):
    """How the share to refuse follows the wait."""

    def test_short_waits_refuse_nothing(self) -> None:
        made = crowding.Crowding()
        for step in range(100):
            crowding.note_wait(made, crowding.WAIT_TARGET_S, step * 0.36)
        self.assertEqual(crowding.get_share(made, 36.0), 0.0)

    def test_long_waits_refuse_more_and_more_up_to_the_limit(self) -> None:
        made = crowding.Crowding()
        shares = []
        for step in range(100):
            crowding.note_wait(made, crowding.FULL_WAIT_S, step * 0.36)
            shares.append(made.share)
        self.assertEqual(shares, sorted(shares))
        self.assertEqual(shares[-1], crowding.MAX_SHARE)

    def test_share_falls_once_the_queue_is_short(self) -> None:
        made = make_crowded(0.8)
        for step in range(1, 60):
            crowding.note_wait(made, 0.002, step * 0.36)
        self.assertEqual(made.share, 0.0)

    def test_share_that_nobody_renewed_is_out_of_date(self) -> None:
        made = make_crowded(0.8, now_s=10.0)
        in_time_s = 10.0 + crowding.MAX_AGE_S
        self.assertEqual(crowding.get_share(made, in_time_s), 0.8)
        self.assertEqual(crowding.get_share(made, in_time_s + 0.01), 0.0)

    def test_long_pause_between_measurements_counts_as_a_short_one(
        self,
    ) -> None:
        made = make_crowded(0.0, now_s=0.0)
        crowding.note_wait(made, 0.05, 1000.0)
        self.assertLess(made.share, 0.3)

    def test_new_primary_starts_without_refusals(self) -> None:
        made = make_crowded(0.8)
        crowding.note_new_primary(made)
        self.assertEqual(crowding.get_share(made, 0.0), 0.0)

    def test_broken_share_of_another_host_does_no_harm(self) -> None:
        for share in (float("nan"), -1.0, float("inf"), 7.0):
            made = make_crowded(share)
            self.assertBetween(made.share, 0.0, crowding.MAX_SHARE)

    def assertBetween(  # noqa: N802 - named as testtools names its own
        self, value: float, low: float, high: float
    ) -> None:
        self.assertTrue(low <= value <= high, value)


class RefusalTest(testtools.TestCase):
    """Which requests are refused."""

    def test_urgent_requests_are_refused_less(self) -> None:
        made = make_crowded(0.5)
        for _ in range(50):
            for priority in (1, 2, 2, 2, 2, 2):
                crowding.note_request(made, priority)
        chances = [number / 100 for number in range(100)]
        refused = {
            priority: sum(
                crowding.should_refuse(made, priority, chance, 0.0)
                for chance in chances
            )
            for priority in (1, 2)
        }
        self.assertEqual(refused[2], 50)
        self.assertEqual(refused[1], round(50 * crowding.URGENT_FACTOR))

    def test_one_priority_for_all_is_not_urgent(self) -> None:
        made = make_crowded(0.5)
        for _ in range(50):
            crowding.note_request(made, 0)
        self.assertTrue(crowding.should_refuse(made, 0, 0.45, 0.0))


class LoadTest(testtools.TestCase):
    """What callers get from a primary that serves all reads of its group."""

    def play(
        self, make_policy: policies.Maker, load: float
    ) -> list[model.Model]:
        played = []
        for seed in SEEDS:
            run = policies.make_model(
                make_policy, scenarios.CROWDED.scale(load), seed
            )
            run.run(DURATION_S)
            played.append(run)
        return played

    def get_worth(self, played: list[model.Model]) -> float:
        return sum(run.get_worth() for run in played) / len(played)

    def get_share_in_aim(self, played: list[model.Model], name: str) -> float:
        asked = sum(run.tallies[name].asked for run in played)
        return sum(run.tallies[name].in_aim for run in played) / asked

    def test_callers_get_more_under_overload(self) -> None:
        for load in (1.0, 1.4, 2.0):
            before = self.play(policies.RepeatAtOnce, load)
            after = self.play(policies.RefuseEarly, load)
            gain = self.get_worth(after) - self.get_worth(before)
            self.assertGreater(gain, 0.03, load)

    def test_urgent_requests_are_in_time_under_overload(self) -> None:
        for load in (1.0, 1.4):
            before = self.play(policies.RepeatAtOnce, load)
            after = self.play(policies.RefuseEarly, load)
            self.assertGreater(
                self.get_share_in_aim(after, "urgent"),
                self.get_share_in_aim(before, "urgent") + 0.2,
            )

    def test_nothing_is_refused_before_half_of_the_load(self) -> None:
        for run in self.play(policies.RefuseEarly, 0.5):
            refused = sum(tally.refused for tally in run.tallies.values())
            self.assertEqual(refused, 0)

    def test_same_seed_gives_the_same_run(self) -> None:
        first, second = (
            policies.make_model(policies.RefuseEarly, scenarios.CROWDED, 7)
            for _ in range(2)
        )
        first.run(2.0)
        second.run(2.0)
        self.assertEqual(first.tallies, second.tallies)
        self.assertEqual(random.Random(7).random(), random.Random(7).random())
