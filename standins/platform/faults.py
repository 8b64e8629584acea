"""Faults and rate limits of the platform stand-in."""

import time

import anyio

from knapweedtally.utils import http

MODES = ("up", "down", "slow")


class Faults:
    """Hold the faults that are switched on."""

    def __init__(self) -> None:
        self.mode = "up"
        self.delay_ms = 0
        self.lose_answers = 0
        self.cut: tuple[str, ...] = ()

    def switch(self, value: dict[str, object]) -> None:
        """Switch faults; what isn't named stays as it is.

        Raises:
            ValueError: a value is not allowed.
        """
        mode = str(value.get("mode", self.mode))
        if mode not in MODES:
            raise ValueError(f"mode {mode!r}: one of {', '.join(MODES)}")
        self.mode = mode
        self.delay_ms = int(str(value.get("delay_ms", self.delay_ms)))
        lost = value.get("lose_answers", self.lose_answers)
        self.lose_answers = int(str(lost))
        cut = value.get("cut", self.cut)
        if not isinstance(cut, list | tuple):
            raise ValueError(f"cut {cut!r}: a list of address prefixes")
        self.cut = tuple(str(prefix) for prefix in cut)

    def is_cut(self, peer: str) -> bool:
        """Tell whether a caller is cut off; the empty prefix cuts all."""
        return peer.startswith(self.cut) if self.cut else False

    async def delay(self) -> None:
        """Wait as long as the mode says."""
        if self.mode == "slow":
            await anyio.sleep(self.delay_ms / 1000)

    def lose_answer(self) -> None:
        """Lose this answer if one is to be lost.

        Raises:
            http.ExchangeDropped: the connection is to be closed.
        """
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise http.ExchangeDropped("answer lost by a fault")


class RateLimit:
    """Let a number of calls a second through, with a burst of one second."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._burst = max(1.0, per_s)
        self._tokens = self._burst
        self._at = time.monotonic()

    def take(self) -> bool:
        """Take one call's share; False when the rate is used up."""
        now = time.monotonic()
        gained = (now - self._at) * self._per_s
        self._tokens = min(self._burst, self._tokens + gained)
        self._at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
