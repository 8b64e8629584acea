"""Watchers of the objects in the platform's store."""

import asyncio
import random
from collections.abc import Awaitable
from collections.abc import Callable

from knapweedtally.core import store_revisions
from knapweedtally.core import watch_confirmation
from knapweedtally.core import watching
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import store
from knapweedtally.platform import store_calls
from knapweedtally.utils import backoff
from knapweedtally.utils import http

# Time after the end of a call's wait from which its success is overdue, in
# seconds: its timeout and one retry.
OVERDUE_S = 1.5

# Bounds of the retry delay after failed calls, in seconds. The upper one is a
# fraction of the bound for a configuration.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5


class WatchAbandoned(store.StoreError):  # noqa: N818 - named after the cause
    """Nothing confirmed that a watch waits for a change."""


async def _prepare_nothing() -> None:
    """Return at once, because nothing has to be read before a list."""


class Watcher:
    """Keep track of the objects of one kind by list and watch calls.

    Attributes:
        succeeded_s: time of the last successful call, or of the creation.
        state: what is known of the objects, and how it was confirmed.
        is_confirming: whether this host asks the store for other hosts.
    """

    def __init__(
        self,
        client: store.StoreClient,
        kind: str,
        on_list: Callable[[list[store_calls.StoredObject]], None],
        on_change: Callable[[store_calls.Change], None],
        log: logs.Log,
        prepare: Callable[[], Awaitable[None]] = _prepare_nothing,
    ) -> None:
        """Create a watcher that isn't running.

        Args:
            client: the store's client.
            kind: kind of the objects.
            on_list: called with all objects after each complete listing.
            on_change: called with each change.
            log: where failed calls and expired watches are written.
            prepare: called before each listing; may raise what a call to the
                store raises.
        """
        self._client = client
        self._prepare = prepare
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._log = log
        self.succeeded_s = clock.get_time_s()
        self._expected_s = self.succeeded_s
        self.state = watch_confirmation.State()
        self.is_confirming = True
        self._asked_s = self.succeeded_s
        self._is_checking = False
        self._watch_timeout: asyncio.Timeout | None = None
        client.add_listener(self._abandon_watch)

    @property
    def kind(self) -> str:
        """Return the kind of the objects."""
        return self._kind

    def is_overdue(self, now_s: float) -> bool:
        """Return whether no call succeeded for longer than one may take."""
        return now_s - self._expected_s > OVERDUE_S

    def record_confirmation(
        self,
        changed_revision: store_revisions.Revision,
        shown_s: float,
        now_s: float,
    ) -> None:
        """Record what another host has said, and when this watch ends by it.

        The arguments are those of ``watch_confirmation.record_confirmation``.
        """
        watch_confirmation.record_confirmation(
            self.state, changed_revision, shown_s, now_s
        )
        timeout = self._watch_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(self._compute_timeout_s(now_s))

    def _compute_timeout_s(self, now_s: float) -> float:
        """Return the event loop's time at which the watch is abandoned."""
        deadline_s = watch_confirmation.compute_deadline_s(
            self.state, self._asked_s
        )
        return asyncio.get_running_loop().time() + deadline_s - now_s

    async def run(self) -> None:
        """List the objects and watch for changes, forever."""
        revision: store_revisions.Revision | None = None
        delay = watching.BatchDelay()
        retry_backoff = backoff.Backoff(
            MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S, random.Random()
        )
        while True:
            self._asked_s = clock.get_time_s()
            is_watch = revision is not None
            try:
                if revision is None:
                    revision = await self._list_objects()
                    self._record_success(self._client.watch_wait_s)
                else:
                    changes = await self._watch_changes(revision)
                    revision = changes.revision if changes else None
                    self._record_success(
                        self._client.watch_wait_s if changes else 0.0
                    )
                    if changes and changes.changes:
                        waited_s = clock.get_time_s() - self._asked_s
                        await asyncio.sleep(delay.compute_next_s(waited_s))
                retry_backoff.reset()
            except (store.StoreError, store_calls.MalformedResponse) as error:
                self._log.write(
                    "store_call_failed",
                    kind=self._kind,
                    reason=str(error),
                    is_watch=is_watch,
                    waited_s=round(clock.get_time_s() - self._asked_s, 2),
                )
                # A watch without a wait says at once what a list would say,
                # unless the store doesn't answer that either.
                self._is_checking = isinstance(error, WatchAbandoned)
                if not self._is_checking:
                    # The store may have dropped changes from its history
                    # during the failure, which a watch from the last revision
                    # tells of only at its end.
                    revision = None
                self._expect_list()
                await asyncio.sleep(retry_backoff.compute_next_delay_s())
            except Exception as error:
                # The handler may have applied a part of what the store sent.
                # A whole list brings the rest.
                supervision.report("store watcher", error)
                revision = None
                self._expect_list()
                await asyncio.sleep(retry_backoff.compute_next_delay_s())

    def _record_success(self, wait_s: float) -> None:
        """Record that a call succeeded and the longest wait of the next."""
        self.succeeded_s = clock.get_time_s()
        self._expected_s = self.succeeded_s + wait_s

    def _expect_list(self) -> None:
        """Expect an answer at once, since a failed call is retried so."""
        self._expected_s = min(self._expected_s, clock.get_time_s())

    async def _list_objects(self) -> store_revisions.Revision:
        await self._prepare()
        asked_s = clock.get_time_s()
        listing = await store.list_objects(self._client, self._kind)
        self._on_list(listing.objects)
        self._record_answer(listing.revision, listing.objects, asked_s)
        return listing.revision

    async def _watch_changes(
        self, revision: store_revisions.Revision
    ) -> store_calls.WatchResult | None:
        """Wait for changes since a revision.

        Returns:
            The changes, or None if the store no longer keeps all of them, or
            came back from an older copy since.

        Raises:
            store.StoreError: the call failed or was refused.
            WatchAbandoned: nothing confirmed that it waits for a change.
        """
        is_checking, self._is_checking = self._is_checking, False
        if revision.generation != self._client.generation.number:
            return None
        wait_s = 0.0
        if not is_checking:
            wait_s = watch_confirmation.compute_wait_s(
                self.state,
                self._client.watch_wait_s,
                self.is_confirming,
                clock.get_time_s(),
            )
        send = self._client.send if is_checking else self._send_watch
        request = store_calls.make_watch_request(
            self._kind, revision.number, wait_s
        )
        response = await send(request, wait_s + store.CALL_TIMEOUT_S)
        if response.generation != revision.generation:
            return None
        if response.status == 410:
            self._log.write("watch_expired", kind=self._kind)
            return None
        if response.status != 200:
            raise store.StoreError(
                f"store answered the watch with {response.status}"
            )
        changes = store_calls.parse_changes(response)
        for change in changes.changes:
            self._on_change(change)
        # The store answers without a change only once the wait is over.
        shown_s = self._asked_s + (0.0 if changes.changes else wait_s)
        self._record_answer(
            changes.revision,
            [change.stored for change in changes.changes],
            min(shown_s, clock.get_time_s()),
        )
        return changes

    async def _send_watch(
        self, request: http.Request, timeout_s: float
    ) -> store_calls.StoreAnswer:
        """Send a watch call that is abandoned if nothing confirms it."""
        limit_s = self._compute_timeout_s(clock.get_time_s())
        try:
            async with asyncio.timeout_at(limit_s) as self._watch_timeout:
                return await self._client.send(request, timeout_s)
        except TimeoutError as error:
            raise WatchAbandoned(
                self._find_reason(self._client.generation.number)
            ) from error
        finally:
            self._watch_timeout = None

    def _abandon_watch(self) -> None:
        """End a watch call from a revision of an earlier generation."""
        timeout = self._watch_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def _find_reason(self, generation: int) -> str:
        """Return why a watch was abandoned."""
        position = self.state.position
        if position is not None and position.generation != generation:
            return "the store came back from an older copy"
        if self.state.awaited_revision is not None:
            return "another host knows a later change"
        return "no answer of the store to any host confirmed the watch"

    def _record_answer(
        self,
        position: store_revisions.Revision,
        objects: list[store_calls.StoredObject],
        shown_s: float,
    ) -> None:
        changed_revision = max(
            (o.revision for o in objects), default=store_revisions.NO_REVISION
        )
        watch_confirmation.record_answer(
            self.state, position, changed_revision, shown_s
        )
