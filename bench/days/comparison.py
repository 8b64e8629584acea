"""Differences between two builds over the same days and seeds."""

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

from scipy import stats

from bench.days import figures

# Confidence of the intervals.
CONFIDENCE = 0.95

# Largest number of pairs that is named as enough to decide a difference.
MAX_PAIRS = 1000


class Difference(NamedTuple):
    """The mean difference of one figure between two builds.

    Attributes:
        name: name of the figure.
        before: mean of the first build.
        after: mean of the second build.
        mean: mean of the differences over pairs of runs.
        margin: half the width of the 95% interval of that mean, by Student's
            t, or infinity for a single pair.
        pairs_needed: number of pairs that would show a difference of this size,
            or None if that isn't known.
    """

    name: str
    before: float
    after: float
    mean: float
    margin: float
    pairs_needed: int | None = None

    @property
    def is_clear(self) -> bool:
        """Return whether the difference exceeds its uncertainty."""
        return abs(self.mean) > self.margin


def compute_margin(deviation: float, pairs: int) -> float:
    """Return half the width of the interval of a mean.

    Args:
        deviation: standard deviation of the differences.
        pairs: number of pairs, at least 2.
    """
    quantile = float(stats.t.ppf((1 + CONFIDENCE) / 2, pairs - 1))
    return quantile * deviation / math.sqrt(pairs)


def count_pairs_needed(mean: float, deviation: float) -> int | None:
    """Return how many pairs show a mean difference, or None if too many."""
    candidates = range(2, MAX_PAIRS + 1)
    return next(
        (n for n in candidates if compute_margin(deviation, n) < abs(mean)),
        None,
    )


def compare(
    before: Sequence[figures.Figures], after: Sequence[figures.Figures]
) -> list[Difference]:
    """Return the differences of all figures, from pairs of runs.

    Args:
        before: the first build's runs.
        after: the second build's, of the same days and seeds in this order.
    """
    differences = []
    for index, name in enumerate(figures.Figures._fields):
        pairs = [
            (float(one[index]), float(other[index]))
            for one, other in zip(before, after, strict=True)
        ]
        changes = [later - earlier for earlier, later in pairs]
        mean = statistics.fmean(changes)
        margin, needed = math.inf, None
        if len(changes) > 1:
            deviation = statistics.stdev(changes)
            margin = compute_margin(deviation, len(changes))
            needed = count_pairs_needed(mean, deviation)
        differences.append(
            Difference(
                name,
                statistics.fmean(earlier for earlier, _ in pairs),
                statistics.fmean(later for _, later in pairs),
                mean,
                margin,
                needed,
            )
        )
    return differences
