"""Sums over the last minutes, hours and days, in bounded memory.

Each window keeps snapshots of the totals in a ring, one a step; the sum over
a window is the difference of the totals now and those of its oldest snapshot.
A request costs nothing here.
"""

import collections
import itertools
from typing import NamedTuple

from knapweedtally.metrics import requests

SNAPSHOT_INTERVAL_S = 10.0
# Time by which a snapshot may come early, since sleeps are not exact. A ring
# that holds one step more than its window still covers it.
EARLY_S = 0.1


class Window(NamedTuple):
    """Describe a window.

    Attributes:
        name: name of the window.
        span_s: its length in seconds.
        step_s: time between two of its snapshots, in seconds.
    """

    name: str
    span_s: float
    step_s: float


WINDOWS = (
    Window("5m", 300.0, 10.0),
    Window("1h", 3_600.0, 60.0),
    Window("6h", 21_600.0, 300.0),
    Window("3d", 259_200.0, 3_600.0),
)


class Snapshot(NamedTuple):
    """Hold the totals at one time.

    Attributes:
        at: monotonic time in seconds.
        group_s: sum over time of the number of groups, in seconds.
        totals: totals since the start.
    """

    at: float
    group_s: float
    totals: requests.Totals


class Span(NamedTuple):
    """Hold what passed between two snapshots.

    Attributes:
        ended_at: monotonic time of its end, in seconds.
        seconds: its length.
        group_s: seconds times groups, the most that can be blocked.
        totals: what was counted in it.
    """

    ended_at: float
    seconds: float
    group_s: float
    totals: requests.Totals


class History:
    """Keep the snapshots of all windows."""

    def __init__(self, now: float) -> None:
        """Begin with totals of zero.

        Args:
            now: monotonic time in seconds.
        """
        self._newest = Snapshot(now, 0.0, requests.Totals())
        self._rings = {
            window: collections.deque([self._newest], _count(window))
            for window in WINDOWS
        }

    def note(self, now: float, groups: int, totals: requests.Totals) -> None:
        """Keep a snapshot in each ring whose step has passed.

        Args:
            now: monotonic time in seconds.
            groups: number of groups in the bundle in force.
            totals: totals since the start.
        """
        self._newest = self._make_snapshot(now, groups, totals)
        for window, ring in self._rings.items():
            if now - ring[-1].at >= window.step_s - EARLY_S:
                ring.append(self._newest)

    def sum_window(
        self,
        window: Window,
        now: float,
        groups: int,
        totals: requests.Totals,
    ) -> Span:
        """Return the sum over a window; one step longer at the most.

        It is as long as the process runs when that is less.
        """
        ring = self._rings[window]
        first = ring[0]
        for snapshot in ring:
            if now - snapshot.at < window.span_s:
                break
            first = snapshot
        return _subtract(self._make_snapshot(now, groups, totals), first)

    def list_steps(
        self,
        window: Window,
        now: float,
        groups: int,
        totals: requests.Totals,
    ) -> list[Span]:
        """Return the steps of a window, oldest first."""
        newest = self._make_snapshot(now, groups, totals)
        snapshots = [*self._rings[window], newest]
        return [
            _subtract(later, earlier)
            for earlier, later in itertools.pairwise(snapshots)
            if later.at > earlier.at
        ]

    def _make_snapshot(
        self, now: float, groups: int, totals: requests.Totals
    ) -> Snapshot:
        passed_s = now - self._newest.at
        group_s = self._newest.group_s + groups * passed_s
        return Snapshot(now, group_s, totals)


def _count(window: Window) -> int:
    return round(window.span_s / window.step_s) + 2


def _subtract(later: Snapshot, earlier: Snapshot) -> Span:
    pairs = zip(later.totals, earlier.totals, strict=True)
    return Span(
        later.at,
        later.at - earlier.at,
        later.group_s - earlier.group_s,
        requests.Totals._make(new - old for new, old in pairs),
    )
