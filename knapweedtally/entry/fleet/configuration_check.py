"""Confirmation of the configuration after the host was suspended."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import store
from knapweedtally.platform import store_calls

# Standstill after which callers wait for a confirmation, in seconds. A shorter
# one leaves most of the users' bound for a configuration.
MIN_STANDSTILL_S = 2.0

# Time for other hosts to bring a newer configuration if the store doesn't
# answer, in seconds: a question, its answer and a fetch.
EXCHANGE_TIME_S = 0.5


class ConfigurationCheck:
    """Let callers wait until a woken host has read the configuration again.

    A key may have been revoked during the standstill, and the statements that
    arrived in it would be served before the store's notice of it is read.
    """

    def __init__(self, refresh: Callable[[], Awaitable[None]]) -> None:
        """Create a check that isn't running.

        Args:
            refresh: reads and applies the configuration; may raise what a call
                to the store raises.
        """
        self._refresh = refresh
        self._callbacks: list[Callable[[], None]] = []
        self._task: asyncio.Task[None] | None = None

    @property
    def is_running(self) -> bool:
        """Return whether callers have to wait."""
        return self._task is not None

    @property
    def has_waiting(self) -> bool:
        """Return whether any caller waits."""
        return bool(self._callbacks)

    def start(self) -> None:
        """Read the configuration, and then call those that wait."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def call_when_done(self, callback: Callable[[], None]) -> None:
        """Call back after the check that runs or is about to start."""
        self._callbacks.append(callback)

    async def _run(self) -> None:
        try:
            await self._refresh()
        except (store.StoreError, store_calls.MalformedResponse):
            await asyncio.sleep(EXCHANGE_TIME_S)
        except Exception as error:
            supervision.report("configuration", error)
        finally:
            self._task = None
            callbacks, self._callbacks = self._callbacks, []
            for callback in callbacks:
                supervision.contain("configuration callback", callback)
