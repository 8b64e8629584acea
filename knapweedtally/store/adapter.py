"""Adapter between the core and the platform.

It runs calls on objects, watches objects and reads the list of hosts.
"""

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import structlog

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.runtime import adapters
from knapweedtally.store import client as platform_client
from knapweedtally.store import hosts
from knapweedtally.store import watches

WATCHED_KINDS = ("bundle", "group")
MAX_CALLS = 16
MAX_PENDING_CALLS = 1024

_logger = structlog.get_logger()

_Call = effects.ReadObject | effects.FetchChanges | effects.UpdateObject


class PlatformAdapter:
    """Run calls to the platform and submit their results as events.

    Calls aren't retried here. A failure is submitted as ``PlatformFailed``;
    the core decides whether to read the object back or to retry.
    """

    effect_types: tuple[type, ...] = (
        effects.ReadObject,
        effects.FetchChanges,
        effects.UpdateObject,
        effects.SetWatching,
    )

    def __init__(
        self,
        submit: adapters.Submit,
        platform_address: tuple[str, int],
        source_host: str,
        host: model.ListedHost | None = None,
        rng: random.Random | None = None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Initialize the adapter; nothing is sent before ``serve``.

        Args:
            submit: called with each event.
            platform_address: IP address and port of the platform.
            source_host: local IP address to which connections are bound.
            host: registration of this host, or None not to register it.
            rng: source of randomness for delays.
            is_leaving: returns whether a planned stop of the host has begun.
        """
        rng = rng or random.Random()
        self._submit = submit
        self._client = platform_client.PlatformClient(
            platform_address, source_host
        )
        self._host = host
        self._directory: hosts.HostDirectory | None = None
        if host:
            self._directory = hosts.HostDirectory(
                host, submit, self._client, rng, is_leaving
            )
        self._watches = {
            kind: watches.Watch(kind, submit, self._client, rng)
            for kind in WATCHED_KINDS
        }
        self._task_group: anyio.abc.TaskGroup | None = None
        self._call_semaphore = anyio.Semaphore(MAX_CALLS)
        self._pending_calls = 0
        self._handlers: dict[type, Callable[[Any], Awaitable[Any]]] = {
            effects.ReadObject: self._read_object,
            effects.FetchChanges: self._fetch_changes,
            effects.UpdateObject: self._update_object,
        }

    def set_watching(self, is_watching: bool) -> None:
        """Choose between long polling and infrequent polling."""
        for watch in self._watches.values():
            watch.set_watching(is_watching)

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run the watches and the host directory until cancelled."""
        try:
            async with anyio.create_task_group() as task_group:
                self._task_group = task_group
                for watch in self._watches.values():
                    task_group.start_soon(watch.run)
                if self._directory:
                    task_group.start_soon(self._directory.run_registration)
                    task_group.start_soon(self._directory.run_listing)
                task_status.started()
                await anyio.sleep_forever()
        finally:
            self._task_group = None
            await self._client.close()

    def run_effect(self, effect: effects.Effect) -> None:
        """Set the polling mode, or start a call and submit its result later.

        A call over ``MAX_PENDING_CALLS`` is refused with a
        ``PlatformFailed`` event. A call that arrives while the adapter isn't
        serving is dropped.
        """
        if isinstance(effect, effects.SetWatching):
            self.set_watching(effect.is_watching)
            return
        if self._task_group is None or not isinstance(effect, _Call):
            return
        if self._pending_calls >= MAX_PENDING_CALLS:
            _logger.warning(
                "platform: too many calls", pending=self._pending_calls
            )
            self._task_group.start_soon(self._submit_refusal, effect)
            return
        self._pending_calls += 1
        self._task_group.start_soon(self._run_call, effect)

    async def _run_call(self, effect: _Call) -> None:
        try:
            async with self._call_semaphore:
                event = await self._handlers[type(effect)](effect)
        finally:
            self._pending_calls -= 1
        self._submit(event)

    async def _submit_refusal(self, effect: _Call) -> None:
        self._submit(_make_failure(effect, may_have_run=False))

    async def _read_object(self, effect: effects.ReadObject) -> Any:
        try:
            found = await self._client.get_object(effect.kind, effect.name)
        except platform_client.PlatformError:
            return _make_failure(effect, may_have_run=False)
        return events.ObjectSeen(*found)

    async def _fetch_changes(self, effect: effects.FetchChanges) -> Any:
        try:
            await self._watches[effect.kind].fetch_changes_now()
        except platform_client.PlatformError:
            return _make_failure(effect, may_have_run=False)
        return events.ChangesFetched(effect.operation, effect.kind)

    async def _update_object(self, effect: effects.UpdateObject) -> Any:
        try:
            result = await self._client.update_object(
                effect.kind, effect.name, effect.expected_version, effect.value
            )
        except platform_client.ResponseLostError:
            return _make_failure(effect, may_have_run=True)
        except platform_client.PlatformError as error:
            _logger.warning("platform: update did not run", error=str(error))
            return _make_failure(effect, may_have_run=False)
        outcome = (
            events.ObjectUpdated
            if result.is_applied
            else events.ObjectConflicted
        )
        return outcome(effect.operation, *result.current)


def _make_failure(
    effect: _Call, *, may_have_run: bool
) -> events.PlatformFailed:
    name = "" if isinstance(effect, effects.FetchChanges) else effect.name
    return events.PlatformFailed(
        effect.operation, effect.kind, name, may_have_run
    )
