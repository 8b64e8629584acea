"""Decisions about the connections of one target that belong to teams.

A statement may run only on a connection that was opened for its team. Each
holder of a target may hold a fixed share of the connections that the target
accepts. A holder at its share closes an idle connection of another team when a
team waits.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

import xxhash

# Holders of each target. Three give most connections for teams where a target
# accepts 29 (18 of them, two and four holders give 16), see
# docs/design/teams.md.
HOLDER_COUNT = 3

# Half-life of the counts by which connections are closed, in seconds: longer
# than the pauses of teams that are used often, so that these keep theirs, and
# short enough that a team whose burst is over loses them.
USE_HALF_LIFE_S = 10.0

# Team of the connections for control statements and for public routes.
NO_TEAM = ""


class Holders(NamedTuple):
    """The holders of one target, as one host sees them.

    Attributes:
        hosts: names of the holders, by rank.
        is_local: whether they are in the target's data centre.
    """

    hosts: tuple[str, ...]
    is_local: bool


class ConnectionState(NamedTuple):
    """State of one open direct connection.

    Attributes:
        team: team for which the connection was opened.
        is_idle: whether nothing runs on it and no transaction holds it.
        is_held: whether a transaction holds it.
        idle_since_s: when its last statement ended.
        use_rate: how often its team lately used a connection here.
    """

    team: str
    is_idle: bool
    is_held: bool
    idle_since_s: float
    use_rate: float = 0.0


class UseRates:
    """Decaying counts of how often each team used a connection."""

    def __init__(self) -> None:
        """Create counts of zero."""
        self._rates: dict[str, tuple[float, float]] = {}

    def record(self, team: str, now_s: float) -> None:
        """Count one use."""
        self._rates[team] = (self.get(team, now_s) + 1.0, now_s)

    def get(self, team: str, now_s: float) -> float:
        """Return the decayed count of a team's uses."""
        rate, at_s = self._rates.get(team, (0.0, now_s))
        return rate * 0.5 ** ((now_s - at_s) / USE_HALF_LIFE_S)


class Opening(NamedTuple):
    """Decision to open a connection.

    Attributes:
        evicted: index of the connection to close before, or None.
    """

    evicted: int | None


class Usage(NamedTuple):
    """The places of a target's limit that this host uses.

    Attributes:
        connections: the open connections.
        opening: number of connections being opened, by team.
        lingering: number of closed connections that the target may still
            count.
    """

    connections: Sequence[ConnectionState]
    opening: Mapping[str, int]
    lingering: int

    def count_all(self) -> int:
        """Return the number of places in use."""
        return (
            len(self.connections) + sum(self.opening.values()) + self.lingering
        )

    def count_named(self) -> int:
        """Return the number of places in use by named teams."""
        total = self.count_all() - self.opening.get(NO_TEAM, 0)
        return total - sum(1 for c in self.connections if c.team == NO_TEAM)


def list_holders(
    target: str,
    data_centre: str,
    hosts: Mapping[str, str],
    max_connections: int,
) -> Holders:
    """Return the hosts that hold connections to a target.

    Args:
        target: id of the target.
        data_centre: data centre of the target.
        hosts: data centres of the live hosts by name of the host.
        max_connections: number of connections that the target accepts.
    """
    local = [host for host, where in hosts.items() if where == data_centre]
    count = _count_holders(max_connections, bool(local), HOLDER_COUNT)
    ranked = sorted(
        local or hosts, key=lambda host: (_hash(target, host), host)
    )
    return Holders(tuple(ranked[:count]), bool(local))


def rank_holders(team: str, holders: Iterable[str]) -> tuple[str, ...]:
    """Return holders in the order in which a team uses them."""
    return tuple(sorted(holders, key=lambda host: (_hash(team, host), host)))


def get_share(
    max_connections: int, is_local: bool, count: int = HOLDER_COUNT
) -> int:
    """Return the number of connections that one holder may hold.

    The share doesn't depend on how many holders are live. The reserve is one
    more share: it covers one host more that takes itself for a holder, or the
    connections of a holder's former life, which the target drops after 3 s.

    Holders outside of the target's data centre exist where no host of it is
    seen, which may be a partition with holders on both sides. Those of two
    other data centres together stay within the reserve.

    Args:
        max_connections: number of connections that the target accepts.
        is_local: whether the holders are in the target's data centre.
        count: number of holders.
    """
    share = _get_local_share(max_connections, count)
    if is_local:
        return share
    reserve = _get_reserve(max_connections, count)
    remote = _count_holders(max_connections, False, count)
    return max(1, reserve // (2 * remote))


def _count_holders(max_connections: int, is_local: bool, count: int) -> int:
    """Return the number of holders; fewer where the limit is small."""
    if is_local:
        return max(1, min(count, max_connections - 1))
    return max(1, min(count, _get_reserve(max_connections, count) // 2))


def _get_local_share(max_connections: int, count: int) -> int:
    local = _count_holders(max_connections, True, count)
    return max(1, max_connections // (local + 1))


def _get_reserve(max_connections: int, count: int) -> int:
    local = _count_holders(max_connections, True, count)
    return max_connections - local * _get_local_share(max_connections, count)


def plan_opening(
    team: str, waiting: int, usage: Usage, share: int, slots: int
) -> Opening | None:
    """Return whether to open a connection for a team's waiting statements.

    The last place of the share is kept for connections without a team, on
    which control statements run while transactions hold all others.

    Args:
        team: the team.
        waiting: number of its waiting statements.
        usage: places in use.
        share: number of connections that this host may hold.
        slots: number of statements that the target runs concurrently. More
            connections of a team that aren't held by transactions wouldn't
            serve it sooner.

    Returns:
        The decision, or None if no connection is to be opened.
    """
    opening = usage.opening.get(team, 0)
    free = sum(1 for c in usage.connections if c.team == team and not c.is_held)
    if opening >= waiting or free + opening >= max(1, slots):
        return None
    is_named_full = team != NO_TEAM and usage.count_named() >= max(1, share - 1)
    if usage.count_all() < share and not is_named_full:
        return Opening(None)
    if usage.count_all() - 1 >= share:
        # The share has shrunk: closing one makes no place.
        return None
    evicted = _choose_eviction(team, usage, is_named_full, share)
    return None if evicted is None else Opening(evicted)


def find_excess(usage: Usage, share: int) -> int | None:
    """Return the connection to close while more than the share is held."""
    if usage.count_all() <= share or len(usage.connections) < 2:
        return None
    return _choose_eviction(None, usage, False, share)


def _choose_eviction(
    team: str | None, usage: Usage, is_named_full: bool, share: int
) -> int | None:
    """Return the idle connection of another team that is used least.

    Uses of a team are divided by its connections. Of equal ones, the least
    recently used one is returned.
    """
    counts = collections.Counter(c.team for c in usage.connections)
    unnamed = counts[NO_TEAM]
    may_close_unnamed = share < 2 or (unnamed > 1 and not is_named_full)
    candidates = [
        (
            connection.use_rate / counts[connection.team],
            connection.idle_since_s,
            index,
        )
        for index, connection in enumerate(usage.connections)
        if connection.is_idle
        and connection.team != team
        and (connection.team != NO_TEAM or may_close_unnamed)
    ]
    return min(candidates)[-1] if candidates else None


def _hash(first: str, second: str) -> int:
    # A CRC of two names is the XOR of one value for each, so that the order of
    # holders by it would hardly differ between teams.
    return xxhash.xxh3_64_intdigest(f"{first}/{second}".encode())
