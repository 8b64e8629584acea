"""Compare the policies on the same seeds, and with the upper bound."""

import pathlib
import statistics
from typing import NamedTuple

from bench.placing import policies
from bench.placing import scenarios
from knapweedtally.report import plots

LOADS = (0.5, 0.7, 0.8, 1.0, 1.2, 1.4, 2.0)


class Row(NamedTuple):
    """Results of one policy under one load.

    Attributes:
        scenario: name of the scenario.
        load: factor on the arrival rates of the scenario.
        policy: name of the policy.
        utility: mean over the seeds of the earned share of the total utility.
        gain_deviation: standard deviation between seeds of the gain in utility
            over the first policy; 0 for the first policy.
        bound: mean over the seeds of the utility that no policy exceeds.
        closed_share: mean gain in utility over the first policy, as a share of
            the distance between the first policy and the bound.
        in_time_shares: share of operations answered within the objective, by
            class.
        refused: share of operations that were never answered.
        refusal_ms: median time to a refusal.
    """

    scenario: str
    load: float
    policy: str
    utility: float
    gain_deviation: float
    bound: float
    closed_share: float
    in_time_shares: dict[str, float]
    refused: float
    refusal_ms: float


def compare_policies(
    scenario: scenarios.Scenario, load: float, seeds: range, duration_s: float
) -> list[Row]:
    """Return the results of each policy; the first policy is the baseline."""
    rows: list[Row] = []
    baseline_utilities: list[float] = []
    for name, make_policy in policies.POLICIES.items():
        finished_runs = []
        for seed in seeds:
            run = policies.make_model(make_policy, scenario.scale(load), seed)
            run.run(duration_s)
            finished_runs.append(run)
        utilities = [run.compute_utility() for run in finished_runs]
        baseline_utilities = baseline_utilities or utilities
        bound = statistics.mean(
            policies.compute_utility_bound(run, duration_s)
            for run in finished_runs
        )
        gains = [
            utility - baseline_utility
            for utility, baseline_utility in zip(
                utilities, baseline_utilities, strict=True
            )
        ]
        distance = bound - statistics.mean(baseline_utilities)
        tallies = [t for run in finished_runs for t in run.tallies.values()]
        operation_count = sum(tally.operations for tally in tallies)
        refusal_times_s = [
            refusal_time_s
            for tally in tallies
            for refusal_time_s in tally.refusal_times_s
        ]
        rows.append(
            Row(
                scenario.name,
                load,
                name,
                statistics.mean(utilities),
                statistics.pstdev(gains),
                bound,
                statistics.mean(gains) / distance if distance else 0.0,
                {
                    request_class.name: sum(
                        run.tallies[request_class.name].answered_in_time
                        for run in finished_runs
                    )
                    / max(
                        1,
                        sum(
                            run.tallies[request_class.name].operations
                            for run in finished_runs
                        ),
                    )
                    for request_class in scenario.classes
                },
                sum(tally.refused for tally in tallies)
                / max(1, operation_count),
                statistics.median(refusal_times_s) * 1000
                if refusal_times_s
                else 0.0,
            )
        )
    return rows


def format_rows(rows: list[Row]) -> str:
    """Return the rows as a text table."""
    lines = [
        f"{'load':>4}  {'policy':15} {'worth':>6} {'+-':>6} {'bound':>6} "
        f"{'closed':>6} {'refused':>7} {'after ms':>8}  in aim"
    ]
    for row in rows:
        shares = ", ".join(
            f"{k} {v:.2f}" for k, v in row.in_time_shares.items()
        )
        lines.append(
            f"{row.load:4.1f}  {row.policy:15} {row.utility:6.3f} "
            f"{row.gain_deviation:6.3f} {row.bound:6.3f} "
            f"{row.closed_share:6.2f} {row.refused:7.3f} "
            f"{row.refusal_ms:8.0f}  {shares}"
        )
    return "\n".join(lines)


def write_plot(rows: list[Row], directory: str) -> str:
    """Write a page with one plot per scenario and return its path."""
    parts = []
    for name in dict.fromkeys(row.scenario for row in rows):
        scenario_rows = [row for row in rows if row.scenario == name]
        lines = [
            plots.Line(
                policy,
                [
                    (row.load, row.utility)
                    for row in scenario_rows
                    if row.policy == policy
                ],
            )
            for policy in policies.POLICIES
        ]
        bound = {row.load: row.bound for row in scenario_rows}
        lines.append(plots.Line("bound", sorted(bound.items())))
        parts.append(plots.draw_lines(name, lines, "load", "worth"))
    path = pathlib.Path(directory, "placing.html")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("<!doctype html>" + "<br>".join(parts), "utf-8")
    return str(path)
