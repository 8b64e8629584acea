"""The platform's list of hosts, which shows registrations after a delay."""

import collections
import time
from typing import Any
from typing import NamedTuple

# A host that doesn't renew its registration in this time is not listed.
REGISTRATION_TTL_S = 120.0


class Registration(NamedTuple):
    """Values that a host registered, and the time of registration."""

    registered_at: float
    value: dict[str, Any]


class HostList:
    """List of registered hosts with a visibility delay."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._registrations: dict[str, collections.deque[Registration]] = (
            collections.defaultdict(collections.deque)
        )

    def register(self, name: str, value: dict[str, Any]) -> None:
        """Record the registration of a host."""
        registration = Registration(time.monotonic(), {"name": name, **value})
        self._registrations[name].append(registration)

    def list_hosts(self) -> list[dict[str, Any]]:
        """Return the unexpired hosts as registered one lag ago."""
        now = time.monotonic()
        visible_hosts = []
        for registrations in self._registrations.values():
            visible = self._find_visible(registrations, now - self._lag_s)
            if visible and visible.registered_at > now - REGISTRATION_TTL_S:
                visible_hosts.append(visible.value)
        return visible_hosts

    def _find_visible(
        self,
        registrations: collections.deque[Registration],
        max_registered_at: float,
    ) -> Registration | None:
        while (
            len(registrations) > 1
            and registrations[1].registered_at <= max_registered_at
        ):
            registrations.popleft()
        first = registrations[0]
        return first if first.registered_at <= max_registered_at else None
