"""Notification of all tasks that wait for a change."""

import math

import anyio


class Signal:
    """Notification that wakes all waiting tasks."""

    def __init__(self) -> None:
        """Create a signal without waiting tasks."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all tasks that are waiting."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, timeout_s: float = math.inf) -> None:
        """Wait for the next notification or until the timeout."""
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
