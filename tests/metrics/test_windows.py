"""Tests of the sums over windows against sums over all events."""

import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.metrics import requests
from knapweedtally.metrics import windows

DAY_S = 24 * 3600.0


def make_history(
    events: list[tuple[float, int]], ends_at: float
) -> tuple[windows.History, requests.Totals]:
    """Return the history of events, each a time and a number of requests."""
    history = windows.History(0.0)
    waiting = sorted(events, reverse=True)
    count = 0
    now = 0.0
    while now + windows.SNAPSHOT_INTERVAL_S < ends_at:
        now += windows.SNAPSHOT_INTERVAL_S
        while waiting and waiting[-1][0] < now:
            count += waiting.pop()[1]
        history.record_snapshot(
            now, 2, requests.Totals(count, blocked_s=count / 4)
        )
    count += sum(number for _, number in waiting)
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
    def test_sums_are_those_of_the_events_in_the_window(
        self, events: list[tuple[float, int]], ends_at: float
    ) -> None:
        events = [event for event in events if event[0] < ends_at]
        history, totals = make_history(events, ends_at)
        for window in windows.WINDOWS:
            span = history.sum_window(window, ends_at, 2, totals)
            since = ends_at - span.seconds
            # The subtraction may be off by less than any event's distance.
            naive = sum(n for at, n in events if at >= since - 1e-6)
            self.assertEqual(naive, span.totals.requests)
            self.assertEqual(naive / 4, span.totals.blocked_s)
            self.assertAlmostEqual(2 * span.seconds, span.group_s, 3)
            lowest = min(ends_at, window.span_s)
            self.assertTrue(lowest - 1e-6 <= span.seconds)
            self.assertTrue(span.seconds <= window.span_s + window.step_s)
            steps = history.list_steps(window, ends_at, 2, totals)
            covered = [s for s in steps if s.ended_at > since + 1e-6]
            self.assertEqual(naive, sum(s.totals.requests for s in covered))

    def test_snapshots_are_bounded(self) -> None:
        history, totals = make_history([], 5 * DAY_S)
        counts = [
            len(history.list_steps(window, 5 * DAY_S, 2, totals))
            for window in windows.WINDOWS
        ]
        self.assertEqual([32, 62, 74, 74], counts)
