"""Tests that compare sums over windows with sums over single events."""

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.metrics import requests
from knapweedtally.metrics import windows

DAY_S = 24 * 3600.0


def make_history(
    events: list[tuple[float, int]], ends_at: float
) -> tuple[windows.History, requests.Totals]:
    """Return the history of some events and the totals at its end.

    Args:
        events: time in seconds and number of requests of each event.
        ends_at: time in seconds at which the history ends.
    """
    history = windows.History(0.0)
    pending = sorted(events, reverse=True)
    count = 0
    now = 0.0
    while now + windows.SNAPSHOT_INTERVAL_S < ends_at:
        now += windows.SNAPSHOT_INTERVAL_S
        while pending and pending[-1][0] < now:
            count += pending.pop()[1]
        history.record_snapshot(
            now, 2, requests.Totals(count, blocked_s=count / 4)
        )
    count += sum(number for _, number in pending)
    return history, requests.Totals(count, blocked_s=count / 4)


class WindowsTest(testtools.TestCase):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=20
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, DAY_S), strategies.integers(0, 9)
            ),
            max_size=50,
        ),
        strategies.floats(0.01, DAY_S),
    )
    def test_sums_equal_those_of_the_events_in_the_window(
        self, events: list[tuple[float, int]], ends_at: float
    ) -> None:
        events = [event for event in events if event[0] < ends_at]
        history, totals = make_history(events, ends_at)
        for window in windows.WINDOWS:
            span = history.sum_window(window, ends_at, 2, totals)
            starts_at = ends_at - span.seconds
            # The subtraction has a rounding error, smaller than the distance
            # of any event from the start.
            expected = sum(n for at, n in events if at >= starts_at - 1e-6)
            self.assertEqual(expected, span.totals.requests)
            self.assertEqual(expected / 4, span.totals.blocked_s)
            self.assertAlmostEqual(2 * span.seconds, span.group_s, 3)
            shortest_s = min(ends_at, window.span_s)
            self.assertTrue(shortest_s - 1e-6 <= span.seconds)
            self.assertTrue(span.seconds <= window.span_s + window.step_s)
            steps = history.list_steps(window, ends_at, 2, totals)
            covered = [s for s in steps if s.ended_at > starts_at + 1e-6]
            self.assertEqual(expected, sum(s.totals.requests for s in covered))

    def test_number_of_snapshots_is_bounded(self) -> None:
        history, totals = make_history([], 5 * DAY_S)
        counts = [
            len(history.list_steps(window, 5 * DAY_S, 2, totals))
            for window in windows.WINDOWS
        ]
        self.assertEqual([32, 62, 74, 74], counts)
