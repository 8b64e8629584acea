"""Limit on the second attempts of one host.

Each attempt at an overloaded target that is repeated adds to the overload. The
limit keeps a host's own attempts from multiplying what callers send.
"""

import collections

# Second attempts that are allowed per request of the window, and besides, so
# that a host with few requests can retry at all.
RETRY_SHARE = 0.1
MIN_RETRIES = 3

# Length of the window in seconds, which is counted in parts of one second.
WINDOW_S = 10


class RetryBudget:
    """Count requests and second attempts over the last ten seconds."""

    def __init__(self) -> None:
        """Create a budget without requests."""
        self._requests: collections.deque[list[int]] = collections.deque()
        self._retries: collections.deque[list[int]] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Count a new request."""
        _increment(self._requests, now_s)

    def take(self, now_s: float) -> bool:
        """Count a second attempt, unless the budget is used up.

        Returns:
            Whether the second attempt may be made.
        """
        allowed = MIN_RETRIES + RETRY_SHARE * _count(self._requests, now_s)
        if _count(self._retries, now_s) + 1 > allowed:
            return False
        _increment(self._retries, now_s)
        return True

    def give_back(self) -> None:
        """Take back the newest second attempt, which was not made."""
        if self._retries:
            self._retries[-1][1] -= 1


def _increment(counts: collections.deque[list[int]], now_s: float) -> None:
    second = int(now_s)
    if counts and counts[-1][0] == second:
        counts[-1][1] += 1
    else:
        counts.append([second, 1])
    _discard_old(counts, now_s)


def _count(counts: collections.deque[list[int]], now_s: float) -> int:
    _discard_old(counts, now_s)
    return sum(count for _, count in counts)


def _discard_old(counts: collections.deque[list[int]], now_s: float) -> None:
    while counts and counts[0][0] <= int(now_s) - WINDOW_S:
        counts.popleft()
