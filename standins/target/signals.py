"""Wake-up of all tasks that wait for a change."""

import math

import anyio


class Signal:
    """Let many tasks wait for the next change."""

    def __init__(self) -> None:
        """Make a signal without waiters."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, timeout_s: float = math.inf) -> None:
        """Wait for the next change, at most for a time in seconds."""
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
