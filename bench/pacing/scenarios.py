"""Scenarios and policies, and the table of their results."""

from collections.abc import Callable
from typing import Any

from bench.pacing import model
from bench.pacing import policies


def _cold(number: int, now_s: float, answered: int) -> float:
    """Return five at the start, falling to one within 200 statements."""
    return 1.0 + 4.0 * max(0.0, 1.0 - answered / 200) if now_s > 3 else 1.0


SCENARIOS = (
    model.Scenario(
        "cold start with slow first answers",
        380,
        ((1, 1.0, 3.0),),
        lambda t, now, n: _cold(t, now, n) if t == 1 else 1.0,
    ),
    model.Scenario("recovery beside two healthy peers", 380, ((1, 1.0, 3.0),)),
    model.Scenario("recovery under high load", 480, ((1, 1.0, 3.0),)),
    model.Scenario(
        "all at once after a power loss",
        380,
        ((0, 2.0, 3.0), (1, 2.0, 3.0), (2, 2.0, 3.0)),
        _cold,
    ),
    model.Scenario(
        "half as fast for good",
        380,
        slowness=lambda t, now, n: 2.0 if t == 1 and now > 3 else 1.0,
    ),
    model.Scenario(
        "flapping, 0.7 s up and 0.3 s down",
        380,
        tuple((1, 3.0 + i, 3.3 + i) for i in range(7)),
    ),
    model.Scenario(
        "grey, 45% fail at once",
        380,
        error_share=lambda t, now: 0.45 if t == 1 and now > 3 else 0.0,
    ),
    model.Scenario("healthy", 380),
    model.Scenario("healthy, high load", 520),
)

POLICIES: dict[str, Callable[..., Any]] = {
    "none": lambda s, h, t: policies.Unlimited(model.SLOTS, model.HOSTS),
    "ramp": lambda s, h, t: policies.FixedRamp(model.SLOTS, model.HOSTS),
    "AIMD": lambda s, h, t: policies.Aimd(model.SLOTS, model.HOSTS),
    "gradient": lambda s, h, t: policies.Gradient(model.SLOTS, model.HOSTS),
    "adaptive": model.make_adaptive,
}


def find_scenario(prefix: str) -> model.Scenario:
    """Return the scenario whose name begins with a text."""
    return next(s for s in SCENARIOS if s.name.startswith(prefix))


def run(scenario: model.Scenario, policy: str, seeds: range) -> model.Tally:
    """Return the sum of the runs of some seeds."""
    total = model.Tally()
    for seed in seeds:
        simulation = model.Simulation(scenario, POLICIES[policy], seed)
        tally = simulation.run()
        total.in_time += tally.in_time
        total.late += tally.late
        total.refused += tally.refused
        total.idle_s += tally.idle_s
        total.peak_queue = max(total.peak_queue, tally.peak_queue)
    return total


def format_table(seeds: range) -> str:
    """Return the results of all scenarios and policies in Markdown."""
    lines = [
        "| scenario | policy | in time | late | refused | idle, slot s |"
        " longest queue |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for scenario in SCENARIOS:
        for policy in POLICIES:
            tally = run(scenario, policy, seeds)
            count = tally.in_time + tally.late + tally.refused
            lines.append(
                f"| {scenario.name} | {policy} | {tally.in_time / count:.1%} |"
                f" {tally.late / count:.1%} | {tally.refused / count:.2%} |"
                f" {tally.idle_s / len(seeds):.2f} | {tally.peak_queue} |"
            )
    return "\n".join(lines)
