"""Randomised, bounded delays between attempts."""

import random


class Backoff:
    """Compute delays that double up to a limit, each drawn from its half up.

    The draw keeps many hosts that failed at one moment from coming back at one
    moment.
    """

    def __init__(
        self, first_s: float, limit_s: float, rng: random.Random
    ) -> None:
        """Start at the first delay.

        Args:
            first_s: upper bound of the first delay.
            limit_s: upper bound of every delay.
            rng: source of randomness.
        """
        self._first_s = first_s
        self._limit_s = limit_s
        self._rng = rng
        self._bound_s = first_s

    def next_delay_s(self) -> float:
        """Return the next delay in seconds and double the bound."""
        delay_s = self._rng.uniform(self._bound_s / 2, self._bound_s)
        self._bound_s = min(self._limit_s, self._bound_s * 2)
        return delay_s

    def reset(self) -> None:
        """Go back to the first delay."""
        self._bound_s = self._first_s
