"""Watch the platform's objects of one kind."""

import random
from collections.abc import Callable
from typing import Any

import anyio
import structlog

from knapweedtally.core import events
from knapweedtally.store import client as platform_client
from knapweedtally.utils import backoff

WATCH_WAIT_MS = 10_000
# A host that doesn't use long polling receives changes from its peers; this
# infrequent poll covers changes that its peers can't deliver.
POLL_INTERVAL_S = 60.0
FIRST_DELAY_S = 0.25
# Maximum retry delay of a long poll. The maximum of an infrequent poll is its
# interval, so that an outage causes no more calls than normal operation.
MAX_DELAY_S = 5.0
# Number of events submitted before control returns to the event loop.
BATCH_SIZE = 50

_logger = structlog.get_logger()


class Watch:
    """Submit ``ObjectSeen`` for each object of a kind that changes.

    While watching, it uses long polling; otherwise it polls infrequently.
    After a failure it reads the whole list again, because the platform may
    have restarted its revision numbers.
    """

    def __init__(
        self,
        kind: str,
        submit: Callable[[Any], None],
        client: platform_client.PlatformClient,
        rng: random.Random,
    ) -> None:
        self._kind = kind
        self._submit = submit
        self._client = client
        self._rng = rng
        self._backoff = backoff.Backoff(FIRST_DELAY_S, POLL_INTERVAL_S, rng)
        self._is_watching = False
        self._mode_changed = anyio.Event()
        self._revision: int | None = None
        self._is_failing = False

    def set_watching(self, is_watching: bool) -> None:
        """Choose between long polling and infrequent polling."""
        if is_watching != self._is_watching:
            self._is_watching = is_watching
            self._mode_changed.set()

    async def run(self) -> None:
        """Poll for changes until cancelled."""
        while True:
            try:
                await self._fetch_changes()
            except platform_client.PlatformError as error:
                await self._wait_after_failure(error)
            else:
                self._record_success()
                await self._wait_for_next_poll()

    async def fetch_changes_now(self) -> None:
        """Fetch the changes since the last poll without waiting for others.

        Raises:
            platform_client.PlatformError: the call failed.
        """
        await self._submit_changes(0)

    async def _fetch_changes(self) -> None:
        is_long_poll = self._is_watching and self._revision is not None
        await self._submit_changes(WATCH_WAIT_MS if is_long_poll else 0)

    async def _submit_changes(self, wait_ms: int) -> None:
        since = self._revision or 0
        listing = await self._client.list_objects(self._kind, since, wait_ms)
        for count, item in enumerate(listing.objects, 1):
            self._submit(events.ObjectSeen(*item))
            if count % BATCH_SIZE == 0:
                await anyio.sleep(0)
        self._revision = listing.revision

    async def _wait_for_next_poll(self) -> None:
        if not self._is_watching:
            await self._sleep_until_mode_change(
                POLL_INTERVAL_S * self._rng.uniform(0.5, 1.0)
            )

    async def _wait_after_failure(
        self, error: platform_client.PlatformError
    ) -> None:
        self._revision = None
        if not self._is_failing:
            self._is_failing = True
            _logger.warning(
                "platform: watch failed", kind=self._kind, error=str(error)
            )
        delay_s = self._backoff.compute_next_delay_s()
        if self._is_watching:
            delay_s = min(delay_s, MAX_DELAY_S * self._rng.uniform(0.5, 1.0))
        await self._sleep_until_mode_change(max(delay_s, error.retry_after_s))

    async def _sleep_until_mode_change(self, delay_s: float) -> None:
        """Sleep for the delay, or until the polling mode changes."""
        self._mode_changed = anyio.Event()
        with anyio.move_on_after(delay_s):
            await self._mode_changed.wait()

    def _record_success(self) -> None:
        self._backoff.reset()
        if self._is_failing:
            self._is_failing = False
            _logger.info("platform: watch restored", kind=self._kind)
