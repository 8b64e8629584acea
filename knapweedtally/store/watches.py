"""Keep up with the platform's objects of one kind."""

import random
from collections.abc import Callable
from typing import Any

import anyio
import structlog

from knapweedtally.core import events
from knapweedtally.store import client as platform_client
from knapweedtally.utils import backoff

WATCH_WAIT_MS = 10_000
# A host that doesn't watch hears of changes from its peers; this slow poll
# covers what peers can't bring.
POLL_INTERVAL_S = 60.0
FIRST_DELAY_S = 0.25
# Limit of the delay between attempts of a watch; that of a poll is its
# interval, so that an outage doesn't make more calls than ordinary work.
MAX_DELAY_S = 5.0
# Events submitted before others get a turn on the loop.
BATCH_SIZE = 50

_logger = structlog.get_logger()


class Watch:
    """Submit ``ObjectSeen`` for each object of a kind that changes.

    While watching, changes arrive by long poll; otherwise by a slow poll.
    After a failure the whole list is read again, because the platform's
    count of revisions may have started anew.
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
        self._changed = anyio.Event()
        self._revision: int | None = None
        self._is_failing = False

    def set_watching(self, is_watching: bool) -> None:
        """Choose between the long poll and the slow poll."""
        if is_watching != self._is_watching:
            self._is_watching = is_watching
            self._changed.set()

    async def run(self) -> None:
        """Keep up until cancelled."""
        while True:
            try:
                await self._list()
            except platform_client.PlatformError as error:
                await self._back_off(error)
            else:
                self._recover()
                await self._pause()

    async def _list(self) -> None:
        is_waiting = self._is_watching and self._revision is not None
        wait_ms = WATCH_WAIT_MS if is_waiting else 0
        listing = await self._client.list_objects(
            self._kind, self._revision or 0, wait_ms
        )
        for count, found in enumerate(listing.objects, 1):
            self._submit(events.ObjectSeen(*found))
            if count % BATCH_SIZE == 0:
                await anyio.sleep(0)
        self._revision = listing.revision

    async def _pause(self) -> None:
        if not self._is_watching:
            await self._sleep(POLL_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    async def _back_off(self, error: platform_client.PlatformError) -> None:
        self._revision = None
        if not self._is_failing:
            self._is_failing = True
            _logger.warning(
                "platform: watch failed", kind=self._kind, error=str(error)
            )
        delay_s = self._backoff.next_delay_s()
        if self._is_watching:
            delay_s = min(delay_s, MAX_DELAY_S * self._rng.uniform(0.5, 1.0))
        await self._sleep(max(delay_s, error.retry_after_s))

    async def _sleep(self, delay_s: float) -> None:
        """Sleep, but no longer than until the way of keeping up changes."""
        self._changed = anyio.Event()
        with anyio.move_on_after(delay_s):
            await self._changed.wait()

    def _recover(self) -> None:
        self._backoff.reset()
        if self._is_failing:
            self._is_failing = False
            _logger.info("platform: watch restored", kind=self._kind)
