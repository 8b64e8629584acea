"""Sums over the last minutes, hours and days, in bounded memory.

Each window keeps snapshots of the totals in a ring buffer, one per step. The
sum over a window is the current totals minus those of the snapshot at its
start. Completing a request adds no work in this module.
"""

import collections
import itertools
from typing import NamedTuple

from knapweedtally.metrics import requests

SNAPSHOT_INTERVAL_S = 10.0
# A snapshot may be taken this much before its step has passed, since sleeps are
# not exact. A ring buffer holds one step more than its window and therefore
# still covers the window.
MAX_EARLY_S = 0.1


class Window(NamedTuple):
    """A sliding time window that sums are kept for.

    Attributes:
        name: name of the window.
        span_s: length of the window in seconds.
        step_s: time between two snapshots in seconds.
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
    """Totals at one time.

    Attributes:
        at: monotonic time in seconds.
        group_s: number of groups integrated over time, in group-seconds.
        totals: totals since the start.
    """

    at: float
    group_s: float
    totals: requests.Totals


class Span(NamedTuple):
    """Increase of the totals between two snapshots.

    Attributes:
        ended_at: monotonic time of the later snapshot, in seconds.
        seconds: time between the snapshots.
        group_s: seconds times groups, the upper limit of the blocked time.
        totals: increase of each total.
    """

    ended_at: float
    seconds: float
    group_s: float
    totals: requests.Totals


class History:
    """Snapshots of all windows."""

    def __init__(self, now: float) -> None:
        """Start with totals of zero.

        Args:
            now: monotonic time in seconds.
        """
        self._newest = Snapshot(now, 0.0, requests.Totals())
        self._ring_buffers = {
            window: collections.deque([self._newest], _compute_capacity(window))
            for window in WINDOWS
        }

    def record_snapshot(
        self, now: float, group_count: int, totals: requests.Totals
    ) -> None:
        """Append a snapshot to each ring buffer whose step has passed.

        Args:
            now: monotonic time in seconds.
            group_count: number of groups in the bundle in force.
            totals: totals since the start.
        """
        self._newest = self._make_snapshot(now, group_count, totals)
        for window, ring in self._ring_buffers.items():
            if now - ring[-1].at >= window.step_s - MAX_EARLY_S:
                ring.append(self._newest)

    def sum_window(
        self,
        window: Window,
        now: float,
        group_count: int,
        totals: requests.Totals,
    ) -> Span:
        """Return the sums over a window.

        The returned span is up to one step longer than the window. It covers
        the whole run time of the process if that is shorter than the window.

        Args:
            window: window to sum over.
            now: monotonic time in seconds.
            group_count: number of groups in the bundle in force.
            totals: totals since the start.
        """
        ring = self._ring_buffers[window]
        start = ring[0]
        for snapshot in ring:
            if now - snapshot.at < window.span_s:
                break
            start = snapshot
        return _compute_span(
            self._make_snapshot(now, group_count, totals), start
        )

    def list_steps(
        self,
        window: Window,
        now: float,
        group_count: int,
        totals: requests.Totals,
    ) -> list[Span]:
        """Return the sums of each step of a window, oldest first.

        Args:
            window: window to list the steps of.
            now: monotonic time in seconds.
            group_count: number of groups in the bundle in force.
            totals: totals since the start.
        """
        newest = self._make_snapshot(now, group_count, totals)
        snapshots = [*self._ring_buffers[window], newest]
        return [
            _compute_span(later, earlier)
            for earlier, later in itertools.pairwise(snapshots)
            if later.at > earlier.at
        ]

    def _make_snapshot(
        self, now: float, group_count: int, totals: requests.Totals
    ) -> Snapshot:
        elapsed_s = now - self._newest.at
        group_s = self._newest.group_s + group_count * elapsed_s
        return Snapshot(now, group_s, totals)


def _compute_capacity(window: Window) -> int:
    return round(window.span_s / window.step_s) + 2


def _compute_span(later: Snapshot, earlier: Snapshot) -> Span:
    pairs = zip(later.totals, earlier.totals, strict=True)
    return Span(
        later.at,
        later.at - earlier.at,
        later.group_s - earlier.group_s,
        requests.Totals._make(new - old for new, old in pairs),
    )
