"""When a host asks the store for changes again.

Each call to the store is paid for, and all hosts watch the same objects. A host
that asks again right after a change gets the next change of a series alone, so
that a series costs each host one call a change.
"""

# Longest wait of a watch call for a change, in seconds. A dead connection is
# detected by keep-alive probes, not by the end of the wait.
MAX_WAIT_S = 25.0

# Part of the store's history within which a watch ends. A revision that has
# left the history makes the host list all objects again.
HISTORY_PART = 0.75

# Delays after a watch call that returned a change, in seconds: the first one,
# by how much it grows while changes keep coming, and the longest one. The
# longest one is a third of the users' smallest bound for a change.
MIN_DELAY_S = 0.3
DELAY_FACTOR = 2.0
MAX_DELAY_S = 1.0

# Wait for a change after which it belongs to a new series, in seconds.
SERIES_GAP_S = 1.0


def compute_wait_s(history_s: float) -> float:
    """Return how long a watch call waits for a change.

    Args:
        history_s: how long the store keeps changes, or 0 if that isn't known.
    """
    if history_s <= 0:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, history_s * HISTORY_PART)


class BatchDelay:
    """Delays between watch calls, longer within a series of changes."""

    def __init__(self) -> None:
        """Start outside of a series."""
        self._delay_s = 0.0

    def compute_next_s(self, waited_s: float) -> float:
        """Return the delay after a call that returned changes.

        Args:
            waited_s: how long that call waited for them.
        """
        if self._delay_s and waited_s < SERIES_GAP_S:
            self._delay_s = min(MAX_DELAY_S, self._delay_s * DELAY_FACTOR)
        else:
            self._delay_s = MIN_DELAY_S
        return self._delay_s
