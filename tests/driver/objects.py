"""A proxy's calls to the platform."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from tests.driver import platform as platform_module
from tests.driver import schedule as schedule_module

WATCH_S = 0.1
SLOW_POLL_S = 5.0


class PlatformObjects:
    """Read, update and watch objects for one proxy.

    Attributes:
        is_watching: whether changes are asked for often.
        listed: the platform's list of hosts.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        platform: platform_module.Platform,
        submit: Callable[[object], None],
    ) -> None:
        """Start with nothing seen; ``start`` begins to poll."""
        self.is_watching = False
        self.listed: tuple[model.ListedHost, ...] = ()
        self._process = process
        self._platform = platform
        self._submit = submit
        self._seen: dict[tuple[str, str], int] = {}
        self._polled_at = 0.0

    def start(self) -> None:
        """Poll from now on, knowing nothing."""
        self.is_watching = False
        self._seen = {}
        self._polled_at = -SLOW_POLL_S
        self._poll()

    def set_watching(self, effect: effects.SetWatching) -> None:
        """Ask for changes often, or seldom."""
        self.is_watching = effect.is_watching

    def read_object(self, effect: effects.ReadObject) -> None:
        """Read an object."""
        key = (effect.kind, effect.name)

        def run() -> platform_module.Reply:
            return platform_module.Reply(self._platform.get(*key))

        def receive(reply: platform_module.Reply) -> None:
            if reply.stored is not None:
                self._submit(events.ObjectSeen(*reply.stored))

        self._platform.call(
            self._process, run, receive, self._make_failure(effect, False)
        )

    def update_object(self, effect: effects.UpdateObject) -> None:
        """Update an object if its version is the expected one."""
        wanted = platform_module.StoredObject(
            effect.kind, effect.name, effect.expected_version, effect.value
        )

        def receive(reply: platform_module.Reply) -> None:
            kind: type = events.ObjectUpdated
            if reply.is_conflict:
                kind = events.ObjectConflicted
            if reply.stored is not None:
                self._submit(kind(effect.operation, *reply.stored))

        self._platform.call(
            self._process,
            lambda: self._platform.put(wanted),
            receive,
            self._make_failure(effect, True),
        )

    def _make_failure(
        self, effect: Any, is_update: bool
    ) -> platform_module.Fail:
        def fail(may_have_run: bool) -> None:
            self._submit(
                events.PlatformFailed(
                    effect.operation,
                    effect.kind,
                    effect.name,
                    is_update and may_have_run,
                )
            )

        return fail

    def _poll(self) -> None:
        """Ask for changed objects, in place of a waiting watch."""
        self._process.call_later(WATCH_S, self._poll)
        now = self._process.schedule.now
        interval_s = WATCH_S if self.is_watching else SLOW_POLL_S
        if now - self._polled_at < interval_s:
            return
        self._polled_at = now
        found: list[platform_module.StoredObject] = []

        def run() -> platform_module.Reply:
            found.extend(self._platform.objects.values())
            return platform_module.Reply(None)

        def receive(reply: platform_module.Reply) -> None:
            self._submit(events.HostListSeen(self.listed))
            for stored in found:
                key = (stored.kind, stored.name)
                if self._seen.get(key, 0) < stored.version:
                    self._seen[key] = stored.version
                    self._submit(events.ObjectSeen(*stored))

        self._platform.call(self._process, run, receive, _ignore)


def _ignore(may_have_run: bool) -> None:
    """Wait for the next poll."""
