"""Tests that no window exceeds a team's limit, whatever fails.

``tests/proofs/test_quotas.py`` disables each rule that keeps the bound.
"""

from collections.abc import Callable
from typing import Any

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core.quotas import slices
from tests.quotas import model

TEAM = "t"

FAULTS = strategies.tuples(
    strategies.sampled_from(
        [
            "kill",
            "kill half",
            "kill all",
            "freeze",
            "cut",
            "divide",
            "lose",
            "late",
        ]
    ),
    strategies.floats(0.0, 12.0),
    strategies.floats(0.3, 8.0),
    strategies.integers(0, 79),
)


def inject(
    fleet: model.Model, kind: str, start_s: float, duration_s: float, pick: int
) -> None:
    """Schedule a fault and its end."""
    names = list(fleet.known)
    name = names[pick % len(names)]

    def stop(chosen: list[str]) -> None:
        for item in chosen:
            fleet.kill(item)
            fleet.at(duration_s, fleet.start, item)

    def part(chosen: list[str]) -> None:
        fleet.parted = {item: 1 for item in chosen}
        fleet.at(duration_s, fleet.parted.clear)

    def disturb(loss: float, late: float) -> None:
        fleet.loss, fleet.late = loss, late

    local = [n for n in names if fleet.places[n] == fleet.places[name]]
    half = fleet.random.sample(names, len(names) * 55 // 100)
    actions: dict[str, tuple[Callable[..., Any], tuple[Any, ...]]] = {
        "kill": (stop, ([name],)),
        "kill half": (stop, (half,)),
        "kill all": (stop, (names,)),
        "freeze": (fleet.freeze, (name, duration_s)),
        "cut": (part, (local,)),
        "divide": (part, (half,)),
        "lose": (disturb, (0.3, 0.0)),
        "late": (disturb, (0.0, 0.3)),
    }
    action, arguments = actions[kind]
    fleet.at(start_s, action, *arguments)
    if kind in ("lose", "late"):
        fleet.at(start_s + duration_s, disturb, 0.0, 0.0)


class BoundTest(testtools.TestCase):
    @hypothesis.settings(max_examples=60, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(0, 2**32),
        strategies.sampled_from([8, 20, 40, 80]),
        strategies.sampled_from([(4.0, 2.0), (40.0, 20.0), (195.0, 100.0)]),
        strategies.lists(FAULTS, max_size=4),
        strategies.booleans(),
    )
    def test_any_faults(
        self,
        seed: int,
        hosts: int,
        limit: tuple[float, float],
        faults: list[tuple[str, float, float, int]],
        is_lowered: bool,
    ) -> None:
        fleet = model.Model(hosts, {TEAM: slices.Limit(1, *limit)}, seed)
        fleet.offer(TEAM, limit[0] * 4, 18.0, list(fleet.known))
        for fault in faults:
            inject(fleet, *fault)
        lowered = slices.Limit(2, limit[0] / 4, limit[1] / 4)
        if is_lowered:
            fleet.at(8.0, fleet.set_limit, TEAM, lowered)
        fleet.run(18.0)
        ran = fleet.ran[TEAM]
        excess = model.find_excess(ran, slices.Limit(1, *limit))
        self.assertLessEqual(excess, 0)
        if is_lowered and not any(f[0] == "freeze" for f in faults):
            # 2 s until all hosts know the limit, and the leases after that.
            excess = model.find_excess(ran, lowered, 1000 + 8 + 2.25)
            self.assertLessEqual(excess, 0)
