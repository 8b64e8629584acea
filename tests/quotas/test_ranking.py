"""Tests of the choice of allocators while hosts come and go."""

import random
from unittest import mock

import testtools

from knapweedtally.core.quotas import allocator
from knapweedtally.core.quotas import borrower
from knapweedtally.core.quotas import slices
from tests.quotas import model

KNOWN = {f"h{number}": f"dc{number % 3}" for number in range(80)}
TEAMS = [f"t{number}" for number in range(40)]
LIMITS = {team: slices.Limit(1, 10.0, 10.0) for team in TEAMS}


def make_fleet(live: dict[str, str]) -> slices.Fleet:
    return slices.Fleet(live, dict(KNOWN), frozenset(KNOWN), True)


class RankingTest(testtools.TestCase):
    def test_kept_allocators_are_those_of_a_new_ranking(self) -> None:
        # A stale allocator would be asked in vain, or grant a slice twice.
        numbers = random.Random(1)
        ranking = slices.Ranking()
        for _ in range(60):
            names = numbers.sample(sorted(KNOWN), numbers.choice([1, 30, 79]))
            live = {name: KNOWN[name] for name in names}
            live[names[0]] = numbers.choice(["dc0", "dc1"])
            ranking.update(live)
            for team in numbers.sample(TEAMS, 25):
                for place in ("dc0", "dc1", "dc2"):
                    self.assertEqual(
                        slices.find_allocator(team, place, live),
                        ranking.find(team, place),
                    )

    def test_unchanged_hosts_are_not_ranked_again(self) -> None:
        # Ranking all hosts for all teams each second took 2.5 ms on each host.
        granting = allocator.Allocator("h0", "dc0", model.TOLERANCE, 0.0)
        asking = borrower.Borrower(
            "h0", "dc0", slices.Tolerance(5.0, 0.1, 20.0), 1
        )
        granting.update_limits(LIMITS, 0.0)
        asking.update_limits(LIMITS, 0.0)
        for second in range(5):
            granting.update_fleet(make_fleet(KNOWN), 0.5 * second)
            granting.check(0.5 * second + 0.4)
        granting.update_fleet(make_fleet(KNOWN), 3.0)
        newer = {
            team: limit._replace(version=2) for team, limit in LIMITS.items()
        }
        rank = slices._rank
        with mock.patch.object(slices, "_rank", side_effect=rank) as ranked:
            granting.update_fleet(make_fleet(KNOWN), 3.5)
            asking.update_fleet(make_fleet(KNOWN), 3.5)
            granting.update_limits(newer, 3.6)
            asking.update_limits(newer, 3.6)
            self.assertEqual(0, ranked.call_count)
            joined = {**KNOWN, "h99": "dc0"}
            granting.update_fleet(make_fleet(joined), 4.0)
            self.assertLessEqual(ranked.call_count, 2 * len(TEAMS))
