"""Compare the orders of holders' queues on the same seeds."""

import statistics
from typing import NamedTuple

from bench.placing import model
from bench.placing import policies
from bench.placing import queue_policies
from bench.placing import scenarios


class KindRow(NamedTuple):
    """Outcomes of the operations of one kind, as shares.

    Attributes:
        in_time: answered within the objective.
        late: answered later, but before the deadline.
        refused: refused, after the caller's last attempt.
        lost: answered after the deadline.
        worst_teams: answered within the objective, in the tenth of the teams
            that have the lowest shares.
        latency_s: 95th percentile of the time to an answer, in seconds.
    """

    in_time: float
    late: float
    refused: float
    lost: float
    worst_teams: float
    latency_s: float


class Row(NamedTuple):
    """Results of one order under one load.

    Attributes:
        rule: name of the order.
        utility: mean over the seeds of the earned share of the total utility.
        bound: mean over the seeds of the utility that no policy exceeds.
        kinds: outcomes by kind.
    """

    rule: str
    utility: float
    bound: float
    kinds: dict[str, KindRow]


def play(
    scenario: scenarios.Scenario, name: str, seed: int, duration_s: float
) -> model.Model:
    """Return a finished run of one order."""
    rule = queue_policies.RULES[name]
    run = model.Model(
        scenario.classes,
        scenario.layout._replace(is_by_team=rule.is_by_team),
        lambda _: queue_policies.Holder(
            rule.make_order(), scenario.layout.connections, rule.has_deadlines
        ),
        seed,
        scenario.demand,
    )
    run.run(duration_s)
    return run


def get_team_shares(
    runs: list[model.Model], kind: str | None = None
) -> dict[str, float]:
    """Return the share that is answered in time, by team.

    Args:
        runs: finished runs.
        kind: the kind of operations that count, or None for all.
    """
    operations: dict[str, int] = {}
    in_time: dict[str, int] = {}
    for run in runs:
        for (name, team), tally in run.team_tallies.items():
            if kind in (None, name):
                operations[team] = operations.get(team, 0) + tally.operations
                count = in_time.get(team, 0) + tally.answered_in_time
                in_time[team] = count
    return {team: in_time[team] / operations[team] for team in operations}


def compute_bound(
    run: model.Model, scenario: scenarios.Scenario, duration_s: float
) -> float:
    """Return an upper bound of the earned share of the total utility.

    What arrives during surges can be answered within its objective only if its
    work is done before the end of the last surge or within the longest
    objective after it. The bound spends that time on the operations that gain
    the most per second, and assumes that the others are answered late.
    """
    bound = policies.compute_utility_bound(run, duration_s)
    surges = scenario.demand.surges if scenario.demand else ()
    if not surges:
        return bound
    start_s = min(surge.start_s for surge in surges)
    end_s = max(surge.start_s + surge.duration_s for surge in surges)
    kinds = {kind.name: kind for kind in scenario.classes}
    longest_s = max(kind.objective_s for kind in scenario.classes)
    pauses_s = model.THINK_TIME_S * scenario.layout.statement_counts[1]
    free_s = scenario.layout.slots * (end_s + longest_s + pauses_s - start_s)
    total = lost = 0.0
    gains: list[tuple[float, float]] = []
    for name, service_times_s, at_s in run.arrivals:
        kind = kinds[name]
        total += kind.utility
        if start_s <= at_s < end_s:
            gain = kind.utility * (1 - kind.late_utility_share)
            gains.append((sum(service_times_s), gain))
    for work_s, gain in sorted(gains, key=lambda item: item[0] / item[1]):
        done = min(1.0, max(0.0, free_s / work_s))
        lost += gain * (1 - done)
        free_s -= work_s
    return min(bound, 1 - lost / total)


def compare_orders(
    scenario: scenarios.Scenario, seeds: range, duration_s: float
) -> list[Row]:
    """Return the results of each order."""
    rows = []
    for name in queue_policies.RULES:
        runs = [play(scenario, name, seed, duration_s) for seed in seeds]
        rows.append(
            Row(
                name,
                statistics.mean(run.compute_utility() for run in runs),
                statistics.mean(
                    compute_bound(run, scenario, duration_s) for run in runs
                ),
                {
                    kind.name: _summarize(runs, kind.name)
                    for kind in scenario.classes
                },
            )
        )
    return rows


def _summarize(runs: list[model.Model], kind: str) -> KindRow:
    tallies = [run.tallies[kind] for run in runs]
    operations = sum(tally.operations for tally in tallies)
    lost = sum(tally.lost for tally in tallies)
    team_shares = sorted(get_team_shares(runs, kind).values())
    worst_shares = team_shares[: max(1, len(team_shares) // 10)]
    latencies_s = [time_s for tally in tallies for time_s in tally.latencies_s]
    return KindRow(
        sum(tally.answered_in_time for tally in tallies) / operations,
        sum(tally.late for tally in tallies) / operations,
        (sum(tally.refused for tally in tallies) - lost) / operations,
        lost / operations,
        statistics.mean(worst_shares),
        statistics.quantiles(latencies_s, n=20)[-1],
    )


def format_rows(rows: list[Row]) -> str:
    """Return the rows as a text table."""
    lines = [
        f"{'order':26} {'worth':>6} {'bound':>6}  {'kind':8} {'in time':>7} "
        f"{'late':>6} {'refused':>7} {'lost':>6} {'worst':>6} {'95% ms':>7}"
    ]
    for row in rows:
        start = f"{row.rule:26} {row.utility:6.3f} {row.bound:6.3f}"
        for name, kind in row.kinds.items():
            lines.append(
                f"{start:40}  {name:8} {kind.in_time:7.3f} {kind.late:6.3f} "
                f"{kind.refused:7.3f} {kind.lost:6.3f} "
                f"{kind.worst_teams:6.3f} {kind.latency_s * 1000:7.0f}"
            )
            start = ""
    return "\n".join(lines)
