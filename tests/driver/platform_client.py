"""A proxy's client of the platform."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from tests.driver import platform as platform_module
from tests.driver import schedule as schedule_module

WATCH_POLL_INTERVAL_S = 0.1
IDLE_POLL_INTERVAL_S = 5.0


class PlatformClient:
    """Client that reads, updates and watches objects for one proxy.

    Attributes:
        is_watching: whether it polls at the short interval of a watch.
        listed_hosts: hosts that the platform lists.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        platform: platform_module.Platform,
        submit: Callable[[object], None],
    ) -> None:
        """Create a client that has seen no object; ``start`` begins to poll."""
        self.is_watching = False
        self.listed_hosts: tuple[model.ListedHost, ...] = ()
        self._process = process
        self._platform = platform
        self._submit = submit
        self._seen_versions: dict[tuple[str, str], int] = {}
        self._polled_at = 0.0

    def start(self) -> None:
        """Forget the versions seen and start to poll."""
        self.is_watching = False
        self._seen_versions = {}
        self._polled_at = -IDLE_POLL_INTERVAL_S
        self._poll()

    def set_watching(self, effect: effects.SetWatching) -> None:
        """Set whether to poll at the short interval."""
        self.is_watching = effect.is_watching

    def read_object(self, effect: effects.ReadObject) -> None:
        """Read an object and submit it."""
        key = (effect.kind, effect.name)

        def run() -> platform_module.Reply:
            return platform_module.Reply(self._platform.get_object(*key))

        def on_reply(reply: platform_module.Reply) -> None:
            if reply.stored is not None:
                self._submit(events.ObjectSeen(*reply.stored))

        self._platform.call(
            self._process,
            run,
            on_reply,
            self._make_failure_callback(effect, False),
        )

    def fetch_changes(self, effect: effects.FetchChanges) -> None:
        """Submit the objects of a kind that have changed."""
        self._fetch_objects(
            lambda stored: stored.kind == effect.kind,
            lambda: self._submit(
                events.ChangesFetched(effect.operation, effect.kind)
            ),
            lambda may_have_run: self._submit(
                events.PlatformFailed(effect.operation, effect.kind, "", False)
            ),
        )

    def update_object(self, effect: effects.UpdateObject) -> None:
        """Update an object if its version is the expected one."""
        update = platform_module.StoredObject(
            effect.kind, effect.name, effect.expected_version, effect.value
        )

        def on_reply(reply: platform_module.Reply) -> None:
            kind: type = events.ObjectUpdated
            if reply.is_conflict:
                kind = events.ObjectConflicted
            if reply.stored is not None:
                self._submit(kind(effect.operation, *reply.stored))

        self._platform.call(
            self._process,
            lambda: self._platform.update_object(update),
            on_reply,
            self._make_failure_callback(effect, True),
        )

    def _make_failure_callback(
        self, effect: Any, is_update: bool
    ) -> platform_module.FailureCallback:
        def on_failure(may_have_run: bool) -> None:
            self._submit(
                events.PlatformFailed(
                    effect.operation,
                    effect.kind,
                    effect.name,
                    is_update and may_have_run,
                )
            )

        return on_failure

    def _poll(self) -> None:
        """Poll for changed objects, which stands in for a long-lived watch."""
        self._process.call_later(WATCH_POLL_INTERVAL_S, self._poll)
        now = self._process.schedule.now
        interval_s = (
            WATCH_POLL_INTERVAL_S if self.is_watching else IDLE_POLL_INTERVAL_S
        )
        if now - self._polled_at < interval_s:
            return
        self._polled_at = now
        self._fetch_objects(
            lambda stored: True,
            lambda: self._submit(events.HostListSeen(self.listed_hosts)),
            _ignore_failure,
        )

    def _fetch_objects(
        self,
        is_wanted: Callable[[platform_module.StoredObject], bool],
        on_done: Callable[[], None],
        on_failure: platform_module.FailureCallback,
    ) -> None:
        """Submit the objects that have changed since they were seen."""
        found: list[platform_module.StoredObject] = []

        def run() -> platform_module.Reply:
            found.extend(filter(is_wanted, self._platform.objects.values()))
            return platform_module.Reply(None)

        def on_reply(reply: platform_module.Reply) -> None:
            for stored in found:
                key = (stored.kind, stored.name)
                if self._seen_versions.get(key, 0) < stored.version:
                    self._seen_versions[key] = stored.version
                    self._submit(events.ObjectSeen(*stored))
            on_done()

        self._platform.call(self._process, run, on_reply, on_failure)


def _ignore_failure(may_have_run: bool) -> None:
    """Do nothing, as the next poll repeats the call."""
