"""Choose the links of this host and the watchers of its data centre.

Every host chooses from the same table by hashing, so that the choices agree
without a word between hosts.
"""

import collections
import functools
import math
from collections.abc import Iterable

from knapweedtally.utils import hashes

# Successors of a host in the ring of its data centre. Their distances grow
# with the ring, so that a register needs few hops to reach all of it.
SUCCESSORS = 3

# Hosts of a data centre that hold a link into one other data centre.
BRIDGES = 3

# Further links of each bridge for its share of a data centre's suspects.
WIDENING = 2

# Hosts of a data centre that watch the platform.
WATCHERS = 2


@functools.lru_cache(maxsize=65_536)
def rank_host(purpose: str, host: str) -> int:
    """Return the rendezvous rank of a host for a purpose."""
    return hashes.hash_text(f"{purpose}\0{host}")


def pick_top(purpose: str, hosts: Iterable[str], count: int) -> list[str]:
    """Return the highest ranked hosts for a purpose, highest first."""
    ranked = sorted(
        hosts, key=functools.partial(rank_host, purpose), reverse=True
    )
    return ranked[:count]


def pick_helpers(purpose: str, hosts: Iterable[str], count: int) -> list[str]:
    """Return hosts for a purpose that is used only once."""
    ranked = sorted(
        hosts, key=lambda host: hashes.hash_text(f"{purpose}\0{host}")
    )
    return ranked[:count]


def list_distances(size: int) -> list[int]:
    """Return the ring distances of a host's successors.

    Args:
        size: number of hosts in the ring, this one included.
    """
    distances: list[int] = []
    for exponent in range(SUCCESSORS):
        lowest = distances[-1] + 1 if distances else 1
        distance = max(lowest, round(size ** (exponent / SUCCESSORS)))
        if distance < size:
            distances.append(distance)
    return distances


def list_successors(own: str, hosts: Iterable[str]) -> list[str]:
    """Return a host's successors in the hash ring of its data centre."""
    ring = sorted({own, *hosts}, key=functools.partial(rank_host, "ring"))
    place = ring.index(own)
    return [
        ring[(place + distance) % len(ring)]
        for distance in list_distances(len(ring))
    ]


def list_relays(
    own: str,
    data_centre: str,
    live: dict[str, str],
    suspects: Iterable[str] = (),
) -> list[str]:
    """Return the hosts of other data centres that a host links to.

    Only a few hosts of a data centre hold a link into each other one; in a
    data centre of ``BRIDGES`` hosts or fewer, all do. Each suspect of a data
    centre widens the links into it, so that one which is cut off as a whole
    is found out in a few rounds, whatever its size.

    Args:
        own: name of this host.
        data_centre: data centre of this host.
        live: data centre of each live host, by name.
        suspects: data centre of each suspect.
    """
    widening = collections.Counter(suspects)
    members = group_hosts(live)
    neighbours = {own, *members.get(data_centre, ())}
    result = []
    for other in sorted(members):
        if other == data_centre:
            continue
        if own in pick_top(f"bridge {other}", neighbours, BRIDGES):
            count = 1 + WIDENING * math.ceil(widening[other] / BRIDGES)
            result.extend(pick_top(f"relay {own}", members[other], count))
    return result


def list_wanted(
    own: str,
    data_centre: str,
    live: dict[str, str],
    suspects: Iterable[str] = (),
) -> list[str]:
    """Return the names of all hosts that a host links to."""
    neighbours = [name for name, place in live.items() if place == data_centre]
    return [
        *list_successors(own, neighbours),
        *list_relays(own, data_centre, live, suspects),
    ]


def is_chosen_watcher(own: str, data_centre: str, live: dict[str, str]) -> bool:
    """Return whether a host is one of its data centre's watchers."""
    neighbours = [name for name, place in live.items() if place == data_centre]
    return own in pick_top("watch", neighbours, WATCHERS)


def group_hosts(live: dict[str, str]) -> dict[str, list[str]]:
    """Return the names of live hosts by data centre."""
    members: dict[str, list[str]] = {}
    for name, data_centre in live.items():
        members.setdefault(data_centre, []).append(name)
    return members
