"""Exponential backoff with jitter."""

import random


class Backoff:
    """Compute retry delays with exponential backoff and jitter.

    The upper bound of the delay doubles up to a limit. Each delay is drawn
    uniformly between half of its bound and the bound. The jitter keeps many
    hosts that failed at the same time from retrying at the same time.
    """

    def __init__(
        self, first_s: float, limit_s: float, rng: random.Random
    ) -> None:
        """Initialise the bound to that of the first delay.

        Args:
            first_s: upper bound of the first delay.
            limit_s: upper bound of every delay.
            rng: source of randomness.
        """
        self._first_s = first_s
        self._limit_s = limit_s
        self._rng = rng
        self._bound_s = first_s

    def compute_next_delay_s(self) -> float:
        """Return the next delay in seconds and double the bound."""
        delay_s = self._rng.uniform(self._bound_s / 2, self._bound_s)
        self._bound_s = min(self._limit_s, self._bound_s * 2)
        return delay_s

    def reset(self) -> None:
        """Reset the bound to that of the first delay."""
        self._bound_s = self._first_s
