"""Split of limits by data centre, and the hosts that grant from the parts."""

import math
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from knapweedtally.core.quotas import rules
from knapweedtally.utils import hashes

# Smallest capacity of a whole slice. One token would refuse small teams whose
# operations come in pairs; the slack of the limit covers these.
MIN_CAPACITY = 3.0


class Limit(NamedTuple):
    """The limit of a team.

    Attributes:
        version: version of the configuration that states it.
        rate_per_s: operations a second.
        burst: operations beyond that rate.
    """

    version: int
    rate_per_s: float
    burst: float


class Slice(NamedTuple):
    """The part of a limit that one allocator grants.

    Attributes:
        rate_per_s: tokens a second.
        capacity: largest number of tokens that it keeps.
    """

    rate_per_s: float
    capacity: float


class Fleet(NamedTuple):
    """The hosts, as one host knows them.

    Attributes:
        live: data centres of the live hosts by name, the own host included.
        known: data centres of all known hosts by name, live or not.
        recent: names of the hosts that were heard lately.
        is_listed: whether the known hosts were listed in the store.
        has_met: whether each known host of the own data centre is live and has
            heard that this host runs, since its start.
    """

    live: Mapping[str, str]
    known: Mapping[str, str]
    recent: frozenset[str]
    is_listed: bool
    has_met: bool = False


def list_data_centres(known: Mapping[str, str]) -> list[str]:
    """Return the data centres between which limits are split.

    They are those of the known hosts, so that a data centre that is cut off
    keeps its slice and the others don't take it.
    """
    return sorted({name for name in known.values() if name})


def list_reachable(fleet: Fleet) -> dict[str, str]:
    """Return the hosts that a host which has just started may ask.

    It hasn't heard the others yet, which grant all the same. A host that is
    gone, or isn't the allocator, grants nothing, so the bound stays.
    """
    listed = {
        name: fleet.known[name] for name in fleet.recent if name in fleet.known
    }
    return {**listed, **fleet.live}


def split_limit(limit: Limit, count: int, share: float) -> Slice:
    """Return the slice of an allocator.

    Args:
        limit: the team's limit.
        count: number of data centres.
        share: part of the slice that the allocator may grant.
    """
    # The capacities of the parts of a divided data centre add up to that of the
    # slice. A part whose capacity is below one token grants none.
    count = max(1, count)
    capacity = max(MIN_CAPACITY, limit.burst / count)
    return Slice(limit.rate_per_s / count * share, capacity * share)


def find_allocator(
    team: str, data_centre: str, live: Mapping[str, str]
) -> str | None:
    """Return the host that grants a team's tokens in a data centre."""
    hosts = [host for host, name in live.items() if name == data_centre]
    return min(hosts, key=lambda host: _rank(team, host), default=None)


class Ranking:
    """The allocators of slices, kept while hosts come and go.

    A change of one host ranks that host only, not all hosts for all teams.
    """

    def __init__(self) -> None:
        """Start without hosts."""
        self._live: Mapping[str, str] = {}
        self._allocators: dict[tuple[str, str], str | None] = {}

    def update(self, live: Mapping[str, str]) -> None:
        """Take over the data centres of the live hosts by name."""
        if live == self._live:
            return
        added = dict(live.items() - self._live.items())
        self._live = dict(live)
        for key, host in tuple(self._allocators.items()):
            team, data_centre = key
            if host is None or live.get(host) != data_centre:
                del self._allocators[key]
                continue
            if added:
                candidates = {**added, host: data_centre}
                self._allocators[key] = find_allocator(
                    team, data_centre, candidates
                )

    def keep_teams(self, teams: Collection[str]) -> None:
        """Forget the slices of all other teams."""
        for key in tuple(self._allocators):
            if key[0] not in teams:
                del self._allocators[key]

    def find(self, team: str, data_centre: str) -> str | None:
        """Return the host that grants a team's tokens in a data centre."""
        key = (team, data_centre)
        if key not in self._allocators:
            self._allocators[key] = find_allocator(
                team, data_centre, self._live
            )
        return self._allocators[key]


def _rank(team: str, host: str) -> int:
    return hashes.hash_text(f"{team}/{host}")


class Allowance(NamedTuple):
    """What a host may use while no allocator responds.

    Attributes:
        rate_per_s: tokens a second.
        capacity: largest number of tokens kept; 0 for none.
    """

    rate_per_s: float
    capacity: float


def compute_allowance(
    limit: Limit,
    team: str,
    host: str,
    known: Iterable[str],
    spare: float,
    window_s: float,
) -> Allowance:
    """Return a host's part of what the tolerance leaves.

    In a window, a bucket passes its capacity and what flows in, so each gets
    half. Where that is less than one token per host, only as many hosts as
    there are tokens have one each.

    Args:
        limit: the team's limit.
        team: name of the team.
        host: name of this host.
        known: names of all known hosts.
        spare: operations of a window that may be passed out in this way.
        window_s: length of the window.
    """
    hosts = sorted(known)
    if spare < 2 or not hosts:
        return Allowance(0.0, 0.0)
    half = spare / 2 / len(hosts)
    if half >= 1:
        return Allowance(half / window_s, half)
    hosts.sort(key=lambda name: _rank(team, name))
    if host in hosts[: math.floor(spare / 2)]:
        return Allowance(1 / window_s, 1.0)
    return Allowance(0.0, 0.0)


class Tolerance(NamedTuple):
    """By how much a limit may be exceeded in a window.

    Attributes:
        window_s: length of the window.
        excess: part of the limit.
        slack: operations besides.
    """

    window_s: float
    excess: float
    slack: float


def compute_spare(limit: Limit, tolerance: Tolerance, count: int) -> float:
    """Return the operations of a window for all hosts' allowances.

    Args:
        limit: the team's limit.
        tolerance: by how much it may be exceeded.
        count: number of slices.
    """
    left = _compute_left(limit, tolerance, count)
    start_level = compute_start_level(limit, tolerance, count)
    return (left - start_level * rules.MAX_STARTS * count) / 2


def compute_start_level(
    limit: Limit, tolerance: Tolerance, count: int
) -> float:
    """Return the tokens of one of the slices when its allocator starts.

    Args:
        limit: the team's limit.
        tolerance: by how much it may be exceeded.
        count: number of slices.
    """
    left = _compute_left(limit, tolerance, count) * rules.START_PART
    starts = rules.MAX_STARTS * max(1, count)
    return min(rules.MAX_START_LEVEL, left / starts)


def _compute_left(limit: Limit, tolerance: Tolerance, count: int) -> float:
    """Return what leases and small slices leave of the tolerance."""
    total = limit.rate_per_s * tolerance.window_s + limit.burst
    extra = total * tolerance.excess + tolerance.slack
    left = extra - limit.rate_per_s * rules.LEASE_S
    return max(0.0, left - MIN_CAPACITY * count)
