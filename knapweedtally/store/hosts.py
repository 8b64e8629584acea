"""Registration of this host with the platform, and its list of hosts."""

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

# Interval of the checks for a planned stop of the host, which is registered
# without waiting for the next regular registration.
LEAVING_CHECK_INTERVAL_S = 0.5
FIRST_DELAY_S = 1.0
MAX_DELAY_S = 60.0
REGISTER_INTERVAL_S = 30.0

_logger = structlog.get_logger()


class HostDirectory:
    """Renew this host's registration and submit the list of hosts.

    Both are repeated periodically. The list is read often at first, because
    it may not yet show hosts that started at the same time as this one, and
    less often later.
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
        self._failing_calls: set[str] = set()

    async def run_registration(self) -> None:
        """Register this host periodically until cancelled."""
        delays = backoff.Backoff(FIRST_DELAY_S, REGISTER_INTERVAL_S, self._rng)
        while True:
            is_leaving = self._is_leaving()
            self._host = self._host._replace(is_leaving=is_leaving)
            if await self._try_call("register", self._register):
                delays.reset()
                delay_s = REGISTER_INTERVAL_S * self._rng.uniform(0.5, 1.0)
            else:
                delay_s = delays.compute_next_delay_s()
            with anyio.move_on_after(delay_s):
                await self._wait_for_leaving_change()

    async def run_listing(self) -> None:
        """Read the list of hosts periodically until cancelled."""
        delays = backoff.Backoff(FIRST_DELAY_S, MAX_DELAY_S, self._rng)
        while True:
            await self._try_call("list hosts", self._submit_host_list)
            await anyio.sleep(delays.compute_next_delay_s())

    async def _wait_for_leaving_change(self) -> None:
        while self._is_leaving() == self._host.is_leaving:
            await anyio.sleep(LEAVING_CHECK_INTERVAL_S)

    async def _register(self) -> None:
        await self._client.register_host(self._host)

    async def _submit_host_list(self) -> None:
        hosts = await self._client.list_hosts()
        self._submit(events.HostListSeen(hosts))

    async def _try_call(
        self, call_name: str, call: Callable[[], Awaitable[None]]
    ) -> bool:
        try:
            await call()
        except platform_client.PlatformError as error:
            if call_name not in self._failing_calls:
                self._failing_calls.add(call_name)
                _logger.warning(
                    "platform: call failed", call=call_name, error=str(error)
                )
            return False
        self._failing_calls.discard(call_name)
        return True
