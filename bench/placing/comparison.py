"""Play each policy on the same seeds, beside the bound."""

import pathlib
import statistics
from typing import NamedTuple

from bench.placing import policies
from bench.placing import scenarios
from knapweedtally.report import plots

LOADS = (0.5, 0.7, 0.8, 1.0, 1.2, 1.4, 2.0)


class Row(NamedTuple):
    """Hold what callers got from one policy under one load.

    Attributes:
        scenario: name of the scenario.
        load: factor on its rates.
        policy: name of the policy.
        worth: mean worth of the seeds, as a share of what was asked for.
        spread: standard deviation between seeds of the distance to the first
            policy, 0 for that one.
        bound: mean worth that no policy exceeds.
        closed: share of the distance between the first policy and the bound
            that this one closes.
        in_aim: share answered within the objective, by class.
        refused: share that was never answered.
        refusal_ms: median time to a refusal.
    """

    scenario: str
    load: float
    policy: str
    worth: float
    spread: float
    bound: float
    closed: float
    in_aim: dict[str, float]
    refused: float
    refusal_ms: float


def compare(
    scenario: scenarios.Scenario, load: float, seeds: range, duration_s: float
) -> list[Row]:
    """Return a row for each policy; the first is what the others improve."""
    rows: list[Row] = []
    first: list[float] = []
    for name, make_policy in policies.POLICIES.items():
        played = []
        for seed in seeds:
            run = policies.make_model(make_policy, scenario.scale(load), seed)
            run.run(duration_s)
            played.append(run)
        worths = [run.get_worth() for run in played]
        first = first or worths
        bound = statistics.mean(
            policies.find_bound(run, duration_s) for run in played
        )
        gains = [
            worth - other for worth, other in zip(worths, first, strict=True)
        ]
        distance = bound - statistics.mean(first)
        tallies = [t for run in played for t in run.tallies.values()]
        asked = sum(tally.asked for tally in tallies)
        times = [time for tally in tallies for time in tally.refusal_s]
        rows.append(
            Row(
                scenario.name,
                load,
                name,
                statistics.mean(worths),
                statistics.pstdev(gains),
                bound,
                statistics.mean(gains) / distance if distance else 0.0,
                {
                    kind.name: sum(
                        run.tallies[kind.name].in_aim for run in played
                    )
                    / max(
                        1, sum(run.tallies[kind.name].asked for run in played)
                    )
                    for kind in scenario.classes
                },
                sum(tally.refused for tally in tallies) / max(1, asked),
                statistics.median(times) * 1000 if times else 0.0,
            )
        )
    return rows


def format_rows(rows: list[Row]) -> str:
    """Return the rows as a table of text."""
    lines = [
        f"{'load':>4}  {'policy':15} {'worth':>6} {'+-':>6} {'bound':>6} "
        f"{'closed':>6} {'refused':>7} {'after ms':>8}  in aim"
    ]
    for row in rows:
        in_aim = ", ".join(f"{k} {v:.2f}" for k, v in row.in_aim.items())
        lines.append(
            f"{row.load:4.1f}  {row.policy:15} {row.worth:6.3f} "
            f"{row.spread:6.3f} {row.bound:6.3f} {row.closed:6.2f} "
            f"{row.refused:7.3f} {row.refusal_ms:8.0f}  {in_aim}"
        )
    return "\n".join(lines)


def write_plot(rows: list[Row], directory: str) -> str:
    """Write a page with one plot a scenario and return its path."""
    parts = []
    for name in dict.fromkeys(row.scenario for row in rows):
        mine = [row for row in rows if row.scenario == name]
        lines = [
            plots.Line(
                policy,
                [(row.load, row.worth) for row in mine if row.policy == policy],
            )
            for policy in policies.POLICIES
        ]
        bound = {row.load: row.bound for row in mine}
        lines.append(plots.Line("bound", sorted(bound.items())))
        parts.append(plots.draw_lines(name, lines, "load", "worth"))
    path = pathlib.Path(directory, "placing.html")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("<!doctype html>" + "<br>".join(parts), "utf-8")
    return str(path)
