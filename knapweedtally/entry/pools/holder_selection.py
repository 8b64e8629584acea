"""Selection of the holder to which a team's statements for one target go."""

from collections.abc import Mapping
from typing import NamedTuple

from knapweedtally.core.groups import team_connections
from knapweedtally.entry.pools import path_selection

# A holder that failed is tried again at this interval, in seconds; the second
# one applies while all holders have failed.
FAILED_RETRY_S = 1.0
ALL_FAILED_RETRY_S = 0.2


class TeamPaths(NamedTuple):
    """The holders of a target, as this host sees them.

    Attributes:
        own_host: name of this host.
        holders: the holders and whether they are in the target's data centre.
        relay_hosts: addresses of the other holders by name.
    """

    own_host: str
    holders: team_connections.Holders
    relay_hosts: Mapping[str, path_selection.RelayHost]

    @property
    def is_holder(self) -> bool:
        """Return whether this host is a holder."""
        return self.own_host in self.holders.hosts

    def has_path(self, host: str) -> bool:
        """Return whether a holder can be tried: its address must be known."""
        if host == self.own_host:
            return self.is_holder
        return host in self.holders.hosts and host in self.relay_hosts


class HolderSelector:
    """Choose the first holder in each team's order that hasn't failed.

    This host as a holder fails when it can't reach the target.

    Attributes:
        paths: the holders.
    """

    def __init__(self) -> None:
        """Create a selector without holders."""
        self.paths = TeamPaths("", team_connections.Holders((), True), {})
        self._orders: dict[str, tuple[str, ...]] = {}
        # When each failed holder was last tried.
        self._tried_s: dict[str, float] = {}

    def set_paths(self, paths: TeamPaths) -> bool:
        """Set the holders, and return whether they have changed."""
        if paths == self.paths:
            return False
        self.paths = paths
        self._orders.clear()
        self._tried_s = {
            host: tried_s
            for host, tried_s in self._tried_s.items()
            if host in paths.holders.hosts
        }
        return True

    def choose_holder(self, team: str) -> str | None:
        """Return the holder that a team uses, or None if all have failed."""
        order = self._orders.get(team)
        if order is None:
            order = team_connections.rank_holders(
                team, self.paths.holders.hosts
            )
            self._orders[team] = order
        return next((host for host in order if self.is_usable(host)), None)

    def is_own(self, team: str) -> bool:
        """Return whether this host is the holder that a team uses."""
        return self.paths.is_holder and (
            self.choose_holder(team) == self.paths.own_host
        )

    def is_usable(self, host: str) -> bool:
        """Return whether a holder can be tried and hasn't failed."""
        return self.paths.has_path(host) and host not in self._tried_s

    def is_own_usable(self) -> bool:
        """Return whether this host is a holder that reaches the target."""
        return self.is_usable(self.paths.own_host)

    def has_usable(self) -> bool:
        """Return whether any holder can be used."""
        return any(self.is_usable(host) for host in self.paths.holders.hosts)

    def mark_failed(self, host: str, now_s: float) -> None:
        """Use the next holders until ``mark_working``."""
        if host in self.paths.holders.hosts:
            self._tried_s[host] = now_s

    def mark_working(self, host: str) -> None:
        """Use a holder again."""
        self._tried_s.pop(host, None)

    def clear_failures(self) -> None:
        """Use all holders again."""
        self._tried_s.clear()

    def take_due_retries(self, now_s: float) -> list[str]:
        """Return the failed holders that are to be tried again now."""
        retry_s = FAILED_RETRY_S if self.has_usable() else ALL_FAILED_RETRY_S
        due = [
            host
            for host, tried_s in self._tried_s.items()
            if now_s - tried_s >= retry_s
        ]
        self._tried_s.update(dict.fromkeys(due, now_s))
        return due
