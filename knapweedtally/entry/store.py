"""This host's connection to the platform's store."""

import asyncio
import random
from collections.abc import Callable

from knapweedtally.entry import logs
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import backoff
from knapweedtally.utils import http
from knapweedtally.utils import http_client

# How long a watch waits for a change, in seconds. Each call is paid for; a
# connection that went silent is found out by probes, not by the end of a wait.
WATCH_WAIT_S = 25.0

# Pause after a watch that brought a change, in seconds: changes come in groups,
# and the next watch brings all of them in one call. It is a tenth of the
# users' smallest bound for a change.
GATHER_S = 0.3

# Time without traffic after which the connection to the store is probed, in
# seconds; three of them are within the bound for a configuration.
KEEP_ALIVE_S = 1

# Time for an answer of the store, in seconds.
ANSWER_TIMEOUT_S = 1.0

# Pauses after failed calls, in seconds; the limit is a fraction of the bound
# for a configuration.
FIRST_RETRY_S = 0.05
RETRY_LIMIT_S = 0.5


class StoreError(Exception):
    """Report a call without a usable answer."""


class StoreClient:
    """Make calls to the store and note whether it answers.

    Attributes:
        is_lost: whether its last call had no usable answer.
        calls: number of calls made.
    """

    def __init__(self, address: settings.Address, log: logs.Log) -> None:
        """Make a client without connecting."""
        self._client = http_client.Client(
            address.host,
            address.port,
            max_body_bytes=store_calls.MAX_ANSWER_BYTES,
            keep_alive_s=KEEP_ALIVE_S,
        )
        self._log = log
        self.is_lost = False
        self.calls = 0

    async def send(
        self, request: http.Request, timeout_s: float = ANSWER_TIMEOUT_S
    ) -> http.Response:
        """Make one call.

        Raises:
            StoreError: no answer came, or the store refused to serve.
        """
        self.calls += 1
        try:
            response = await self._client.send(request, timeout_s)
        except http.HttpError as error:
            self._note_lost(str(error))
            raise StoreError(str(error)) from error
        if response.status in (429, 503):
            self._note_lost(f"status {response.status}")
            raise StoreError(f"status {response.status}")
        if self.is_lost:
            self.is_lost = False
            self._log.write("dependency_regained", dependency="store")
        return response

    def _note_lost(self, reason: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            self._log.write(
                "dependency_lost", dependency="store", reason=reason
            )


class Watcher:
    """Follow the objects of one kind."""

    def __init__(
        self,
        client: StoreClient,
        kind: str,
        on_list: Callable[[list[store_calls.StoredObject]], None],
        on_change: Callable[[store_calls.Change], None],
        log: logs.Log,
    ) -> None:
        """Make a watcher that isn't running.

        Args:
            client: the store's client.
            kind: kind of the objects.
            on_list: called with all objects after each whole list.
            on_change: called with each change.
            log: where lists are noted.
        """
        self._client = client
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._log = log

    async def run(self) -> None:
        """List and watch for ever."""
        revision: int | None = None
        pause = backoff.Backoff(FIRST_RETRY_S, RETRY_LIMIT_S, random.Random())
        while True:
            try:
                if revision is None:
                    revision = await self._list()
                else:
                    changes = await self._watch(revision)
                    revision = changes.revision if changes else None
                    if changes and changes.changes:
                        await asyncio.sleep(GATHER_S)
                pause.reset()
            except (StoreError, store_calls.BrokenAnswer) as error:
                self._log.write(
                    "store_call_failed", kind=self._kind, reason=str(error)
                )
                # A watch from before the failure may never hear of changes
                # that the store has dropped from its history meanwhile.
                revision = None
                await asyncio.sleep(pause.next_delay_s())

    async def _list(self) -> int:
        objects: list[store_calls.StoredObject] = []
        after = None
        first_revision = None
        while True:
            request = store_calls.make_list_request(self._kind, after)
            page = store_calls.parse_page(await self._client.send(request))
            objects += page.objects
            # Changes during the listing are seen again by the watch.
            if first_revision is None:
                first_revision = page.revision
            if not page.has_more or not page.objects:
                break
            after = page.objects[-1].name
        self._on_list(objects)
        return first_revision

    async def _watch(self, revision: int) -> store_calls.Changes | None:
        """Wait for changes; None where the store has forgotten them."""
        request = store_calls.make_watch_request(
            self._kind, revision, WATCH_WAIT_S
        )
        response = await self._client.send(
            request, WATCH_WAIT_S + ANSWER_TIMEOUT_S
        )
        if response.status == 410:
            self._log.write("watch_expired", kind=self._kind)
            return None
        if response.status != 200:
            raise StoreError(f"watch answered {response.status}")
        changes = store_calls.parse_changes(response)
        for change in changes.changes:
            self._on_change(change)
        return changes
