"""Differences between two builds over the same days and seeds."""

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

from bench.days import figures

# Quantile of the normal distribution for an interval of 95%.
_INTERVAL_QUANTILE = 1.96


class Difference(NamedTuple):
    """The mean difference of one figure between two builds.

    Attributes:
        name: name of the figure.
        before: mean of the first build.
        after: mean of the second build.
        mean: mean of the differences over pairs of runs.
        margin: half the width of the 95% interval of that mean, or infinity
            for a single pair.
    """

    name: str
    before: float
    after: float
    mean: float
    margin: float

    @property
    def is_clear(self) -> bool:
        """Return whether the difference exceeds its uncertainty."""
        return abs(self.mean) > self.margin


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
        margin = math.inf
        if len(changes) > 1:
            deviation = statistics.stdev(changes)
            margin = _INTERVAL_QUANTILE * deviation / math.sqrt(len(changes))
        differences.append(
            Difference(
                name,
                statistics.fmean(earlier for earlier, _ in pairs),
                statistics.fmean(later for _, later in pairs),
                statistics.fmean(changes),
                margin,
            )
        )
    return differences
