"""Fault injection and rate limits of the platform stand-in."""

import time

import anyio

from knapweedtally.utils import http

MODES = ("up", "down", "slow")


class Faults:
    """Faults that are currently injected."""

    def __init__(self) -> None:
        self.mode = "up"
        self.delay_ms = 0
        self.lose_answers = 0
        self.cut: tuple[str, ...] = ()

    def update(self, value: dict[str, object]) -> None:
        """Set the given faults and keep all others.

        Raises:
            ValueError: a value is not valid.
        """
        mode = str(value.get("mode", self.mode))
        if mode not in MODES:
            raise ValueError(f"mode {mode!r}: one of {', '.join(MODES)}")
        self.mode = mode
        self.delay_ms = int(str(value.get("delay_ms", self.delay_ms)))
        lose_answers = value.get("lose_answers", self.lose_answers)
        self.lose_answers = int(str(lose_answers))
        cut = value.get("cut", self.cut)
        if not isinstance(cut, list | tuple):
            raise ValueError(f"cut {cut!r}: a list of address prefixes")
        self.cut = tuple(str(prefix) for prefix in cut)

    def is_cut_off(self, peer: str) -> bool:
        """Return whether a caller is cut off; the empty prefix matches all."""
        return peer.startswith(self.cut) if self.cut else False

    async def sleep_if_slow(self) -> None:
        """Sleep for the configured delay if the mode is slow."""
        if self.mode == "slow":
            await anyio.sleep(self.delay_ms / 1000)

    def drop_answer_if_due(self) -> None:
        """Drop this answer if the fault still has answers to drop.

        Raises:
            http.ExchangeDropped: the answer is dropped; the server closes the
                connection.
        """
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise http.ExchangeDropped("answer dropped by an injected fault")


class RateLimit:
    """Token bucket for calls per second, with a burst of one second."""

    def __init__(self, per_s: float) -> None:
        self._tokens_per_s = per_s
        self._burst_tokens = max(1.0, per_s)
        self._tokens = self._burst_tokens
        self._refilled_at_s = time.monotonic()

    def try_acquire(self) -> bool:
        """Take one token; return False when the rate is exceeded."""
        now = time.monotonic()
        refilled = (now - self._refilled_at_s) * self._tokens_per_s
        self._tokens = min(self._burst_tokens, self._tokens + refilled)
        self._refilled_at_s = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
