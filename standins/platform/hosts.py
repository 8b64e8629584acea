"""The platform's list of hosts, which lags behind the truth."""

import collections
import time
from typing import Any
from typing import NamedTuple

# A host that doesn't register again for this long leaves the list.
EXPIRY_S = 120.0


class Registration(NamedTuple):
    """Hold what a host said of itself, and when."""

    at: float
    value: dict[str, Any]


class HostList:
    """Keep registrations and show them after a lag."""

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._registrations: dict[str, collections.deque[Registration]] = (
            collections.defaultdict(collections.deque)
        )

    def register(self, name: str, value: dict[str, Any]) -> None:
        """Take what a host says of itself."""
        registration = Registration(time.monotonic(), {"name": name, **value})
        self._registrations[name].append(registration)

    def list_hosts(self) -> list[dict[str, Any]]:
        """Return the hosts as they were one lag ago."""
        now = time.monotonic()
        shown = []
        for registrations in self._registrations.values():
            visible = self._find_visible(registrations, now - self._lag_s)
            if visible and visible.at > now - EXPIRY_S:
                shown.append(visible.value)
        return shown

    def _find_visible(
        self, registrations: collections.deque[Registration], until: float
    ) -> Registration | None:
        while len(registrations) > 1 and registrations[1].at <= until:
            registrations.popleft()
        first = registrations[0]
        return first if first.at <= until else None
