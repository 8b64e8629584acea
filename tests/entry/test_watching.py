"""Tests of how often hosts ask the store for changes.

They guard against calls that each host pays for and that bring little.
"""

import testtools

from knapweedtally.core import watching


def count_calls(changes_s: list[float], delay: watching.BatchDelay) -> int:
    """Return the watch calls of one host for changes at given times."""
    now_s, calls, index = 0.0, 0, 0
    while index < len(changes_s):
        calls += 1
        returned_s = max(now_s, changes_s[index])
        while index < len(changes_s) and changes_s[index] <= returned_s:
            index += 1
        now_s = returned_s + delay.compute_next_s(returned_s - now_s)
    return calls


class FixedDelay(watching.BatchDelay):
    """The former decision."""

    def compute_next_s(self, waited_s: float) -> float:
        return watching.MIN_DELAY_S


class BatchDelayTest(testtools.TestCase):
    def test_series_of_changes_costs_fewer_calls(self) -> None:
        # 12 targets that start within 4 s, as at the start of a group.
        changes_s = [number * 0.33 for number in range(12)]
        self.assertEqual(12, count_calls(changes_s, FixedDelay()))
        self.assertLessEqual(count_calls(changes_s, watching.BatchDelay()), 6)

    def test_single_changes_are_followed_at_once(self) -> None:
        delay = watching.BatchDelay()
        for _ in range(3):
            self.assertEqual(watching.MIN_DELAY_S, delay.compute_next_s(5.0))

    def test_delay_is_bounded(self) -> None:
        delay = watching.BatchDelay()
        delays = [delay.compute_next_s(0.0) for _ in range(9)]
        self.assertEqual(watching.MAX_DELAY_S, max(delays))


class WaitTest(testtools.TestCase):
    def test_watch_ends_before_its_revision_leaves_the_history(self) -> None:
        # Guards against listing all objects again after each idle watch.
        self.assertLess(watching.compute_wait_s(20.0), 20.0)
        self.assertEqual(watching.MAX_WAIT_S, watching.compute_wait_s(0.0))
