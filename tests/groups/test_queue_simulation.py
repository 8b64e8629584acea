"""Simulated heavy load on the holders of one target, in virtual time."""

import statistics

import testtools

from bench.placing import model
from bench.placing import queue_comparison
from bench.placing import queue_policies
from bench.placing import scenarios

DURATION_S = 12.0
SEEDS = range(3)
HOT_TEAM = "team-0"


def play(scenario: scenarios.Scenario, rule: str) -> list[model.Model]:
    return [
        queue_comparison.play(scenario, rule, seed, DURATION_S)
        for seed in SEEDS
    ]


def list_latencies_s(
    runs: list[model.Model], kind: str, excluded_team: str = ""
) -> list[float]:
    """Return the times to answers; an operation without one counts as endless.

    Args:
        runs: finished runs.
        kind: the kind of operations.
        excluded_team: team whose operations don't count.
    """
    latencies_s: list[float] = []
    for run in runs:
        for (name, team), tally in run.team_tallies.items():
            if name == kind and team != excluded_team:
                missing = tally.operations - len(tally.latencies_s)
                latencies_s += tally.latencies_s + [float("inf")] * missing
    return latencies_s


class HeavyLoadTest(testtools.TestCase):
    """Loads beyond what the target can run, with the holder's queue."""

    def test_urgent_statements_of_other_teams_meet_their_objective(
        self,
    ) -> None:
        """Guards against a burst of one team that delays urgent statements."""
        urgent = scenarios.TOLLING.classes[0]
        runs = play(scenarios.TOLLING_HOT_TEAM, queue_policies.FAIR)
        latencies_s = list_latencies_s(runs, urgent.name, HOT_TEAM)
        tenths = statistics.quantiles(latencies_s, n=10)
        self.assertLessEqual(tenths[-1], urgent.objective_s)

    def test_usual_urgent_statement_meets_its_objective_in_any_load(
        self,
    ) -> None:
        urgent = scenarios.TOLLING.classes[0]
        for scenario in scenarios.TEAM_SCENARIOS:
            runs = play(scenario, queue_policies.FAIR)
            latencies_s = list_latencies_s(runs, urgent.name, HOT_TEAM)
            self.assertLessEqual(
                statistics.median(latencies_s), urgent.objective_s
            )

    def test_no_team_within_its_limit_gets_less_than_today(self) -> None:
        """Guards against starving some teams for the sake of the sum."""
        for scenario in (
            scenarios.TOLLING_HOT_TEAM,
            scenarios.TOLLING_BOTH,
        ):
            shares, shares_today = (
                queue_comparison.get_team_shares(play(scenario, rule))
                for rule in (queue_policies.FAIR, queue_policies.TODAY)
            )
            worse = {
                team: (shares[team], share_today)
                for team, share_today in shares_today.items()
                if team != HOT_TEAM and shares[team] < share_today
            }
            self.assertEqual({}, worse)

    def test_least_urgent_statements_are_answered_in_time_in_a_burst(
        self,
    ) -> None:
        """Guards against starving the lowest priority."""
        aged = scenarios.TOLLING.classes[1]
        runs = play(scenarios.TOLLING_BURST, queue_policies.FAIR)
        latencies_s = list_latencies_s(runs, aged.name)
        self.assertLessEqual(max(latencies_s), aged.deadline_s)
