"""Register this host with the platform and read the list of hosts."""

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import structlog

from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.store import client as platform_client
from knapweedtally.utils import backoff

# How soon the platform is told that the host is leaving.
CHECK_INTERVAL_S = 0.5
FIRST_DELAY_S = 1.0
MAX_DELAY_S = 60.0
REGISTER_INTERVAL_S = 30.0

_logger = structlog.get_logger()


class HostDirectory:
    """Keep this host registered and submit the list of hosts now and then.

    The list is read often at first, because it lags behind the hosts that
    started together with this one, and rarely later.
    """

    def __init__(
        self,
        host: model.ListedHost,
        submit: Callable[[Any], None],
        client: platform_client.PlatformClient,
        rng: random.Random,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._host = host
        self._is_leaving = is_leaving
        self._submit = submit
        self._client = client
        self._rng = rng
        self._failing: set[str] = set()

    async def keep_registered(self) -> None:
        """Register again and again until cancelled."""
        delays = backoff.Backoff(FIRST_DELAY_S, REGISTER_INTERVAL_S, self._rng)
        while True:
            is_leaving = self._is_leaving()
            self._host = self._host._replace(is_leaving=is_leaving)
            if await self._try("register", self._register):
                delays.reset()
                delay_s = REGISTER_INTERVAL_S * self._rng.uniform(0.5, 1.0)
            else:
                delay_s = delays.next_delay_s()
            with anyio.move_on_after(delay_s):
                await self._wait_for_change()

    async def keep_listing(self) -> None:
        """Read the list again and again until cancelled."""
        delays = backoff.Backoff(FIRST_DELAY_S, MAX_DELAY_S, self._rng)
        while True:
            await self._try("list hosts", self._list)
            await anyio.sleep(delays.next_delay_s())

    async def _wait_for_change(self) -> None:
        while self._is_leaving() == self._host.is_leaving:
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _register(self) -> None:
        await self._client.register_host(self._host)

    async def _list(self) -> None:
        hosts = await self._client.list_hosts()
        self._submit(events.HostListSeen(hosts))

    async def _try(
        self, what: str, call: Callable[[], Awaitable[None]]
    ) -> bool:
        try:
            await call()
        except platform_client.PlatformError as error:
            if what not in self._failing:
                self._failing.add(what)
                _logger.warning(
                    "platform: call failed", call=what, error=str(error)
                )
            return False
        self._failing.discard(what)
        return True
