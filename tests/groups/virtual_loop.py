"""Event loop whose time is simulated, so that real coroutines run at once."""

import asyncio
import heapq
from typing import Any


class VirtualLoop(asyncio.BaseEventLoop):
    """Run callbacks in the order of their times without waiting.

    Attributes:
        now_s: the simulated time.
    """

    def __init__(self, now_s: float) -> None:
        """Create a loop without sockets that starts at a given time."""
        super().__init__()
        self.now_s = now_s
        self._selector = self

    def time(self) -> float:
        """Return the simulated time."""
        return self.now_s

    def select(self, timeout_s: float | None) -> list[Any]:
        """Advance the time instead of waiting."""
        if timeout_s is None:
            raise AssertionError("nothing is left to run")
        self.now_s += timeout_s
        return []

    def _process_events(self, event_list: list[Any]) -> None:
        """Process no events, since there are no sockets."""

    def _write_to_self(self) -> None:
        """Wake up nothing, since the loop never sleeps."""

    def discard_timers(self) -> None:
        """Discard the callbacks that aren't due yet."""
        while self._scheduled:  # type: ignore[attr-defined]
            handle = heapq.heappop(
                self._scheduled  # type: ignore[attr-defined]
            )
            handle._scheduled = False
