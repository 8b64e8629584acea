"""Teams of callers, and surges of what they send."""

import itertools
import random
from typing import NamedTuple


class Surge(NamedTuple):
    """Load beyond the usual one for a while.

    Attributes:
        start_s: when it begins.
        duration_s: how long it lasts.
        factor: factor on the usual load.
        team: number of the only team that sends it, or None for all teams.
    """

    start_s: float
    duration_s: float
    factor: float
    team: int | None = None


class Demand(NamedTuple):
    """Who sends the operations of a scenario.

    Attributes:
        teams: number of teams.
        exponent: exponent of the Zipf distribution of their sizes.
        surges: loads beyond the usual one.
    """

    teams: int
    exponent: float
    surges: tuple[Surge, ...] = ()


class Arrival(NamedTuple):
    """Time and team of an operation."""

    at_s: float
    team: str


def get_name(number: int) -> str:
    """Return the name of a team; number 0 is the largest."""
    return f"team-{number}"


def draw_arrivals(
    demand: Demand, rate: float, duration_s: float, random_source: random.Random
) -> list[Arrival]:
    """Return the arrivals of one class of requests.

    Args:
        demand: who sends them.
        rate: usual arrivals per second of all teams.
        duration_s: time with arrivals.
        random_source: source of times and teams.
    """
    weights = [(n + 1) ** -demand.exponent for n in range(demand.teams)]
    cumulative = list(itertools.accumulate(weights))
    arrivals = _draw(rate, 0.0, duration_s, None, cumulative, random_source)
    for surge in demand.surges:
        share = 1.0
        if surge.team is not None:
            share = weights[surge.team] / cumulative[-1]
        arrivals += _draw(
            rate * share * (surge.factor - 1),
            surge.start_s,
            min(duration_s, surge.start_s + surge.duration_s),
            surge.team,
            cumulative,
            random_source,
        )
    return arrivals


def _draw(
    rate: float,
    start_s: float,
    end_s: float,
    team: int | None,
    cumulative: list[float],
    random_source: random.Random,
) -> list[Arrival]:
    arrivals = []
    at_s = start_s + random_source.expovariate(rate)
    while at_s < end_s:
        number = team
        if number is None:
            (number,) = random_source.choices(
                range(len(cumulative)), cum_weights=cumulative
            )
        arrivals.append(Arrival(at_s, get_name(number)))
        at_s += random_source.expovariate(rate)
    return arrivals
