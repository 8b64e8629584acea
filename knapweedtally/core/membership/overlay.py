"""Choose the links of this host and the watchers of its data centre.

Every host applies the same hash functions to the same table of hosts, so the
choices agree without coordination.
"""

import collections
import functools
import math
from collections.abc import Iterable

from knapweedtally.utils import hashes

# Successors of a host in the hash ring of its data centre. Their distances
# grow with the size of the ring, so that a register reaches every host of the
# ring in few hops.
SUCCESSOR_COUNT = 3

# Hosts of a data centre that have a link into each other data centre.
BRIDGES_PER_DATA_CENTRE = 3

# Additional links of a bridge into a data centre for each suspected host in
# the bridge's share of that data centre's suspects.
EXTRA_LINKS_PER_SUSPECT = 2

# Hosts of a data centre that watch the platform.
WATCHERS_PER_DATA_CENTRE = 2


@functools.lru_cache(maxsize=65_536)
def rank_host(purpose: str, host: str) -> int:
    """Return the rendezvous rank of a host for a purpose."""
    return hashes.hash_text(f"{purpose}\0{host}")


def pick_highest_ranked(
    purpose: str, hosts: Iterable[str], count: int
) -> list[str]:
    """Return the highest ranked hosts for a purpose, highest first."""
    ranked = sorted(
        hosts, key=functools.partial(rank_host, purpose), reverse=True
    )
    return ranked[:count]


def pick_helpers(purpose: str, hosts: Iterable[str], count: int) -> list[str]:
    """Return the highest ranked hosts for a purpose that is used only once.

    The ranks bypass the cache of ``rank_host``, which they would fill with
    entries that are never read again.
    """
    ranked = sorted(
        hosts, key=lambda host: hashes.hash_text(f"{purpose}\0{host}")
    )
    return ranked[:count]


def list_distances(size: int) -> list[int]:
    """Return the ring distances from a host to its successors.

    Args:
        size: number of hosts in the ring, this one included.
    """
    distances: list[int] = []
    for exponent in range(SUCCESSOR_COUNT):
        lowest = distances[-1] + 1 if distances else 1
        distance = max(lowest, round(size ** (exponent / SUCCESSOR_COUNT)))
        if distance < size:
            distances.append(distance)
    return distances


def list_successors(own: str, hosts: Iterable[str]) -> list[str]:
    """Return a host's successors in the hash ring of its data centre."""
    ring = sorted({own, *hosts}, key=functools.partial(rank_host, "ring"))
    index = ring.index(own)
    return [
        ring[(index + distance) % len(ring)]
        for distance in list_distances(len(ring))
    ]


def list_relays(
    own: str,
    data_centre: str,
    live: dict[str, str],
    suspects: Iterable[str] = (),
) -> list[str]:
    """Return the hosts of other data centres that a host links to.

    Only ``BRIDGES_PER_DATA_CENTRE`` hosts of a data centre have a link into
    each other data centre; in a data centre of that size or smaller, all
    hosts do. Each suspected host of a data centre adds links into it, so that
    a data centre that is unreachable as a whole is detected in a few rounds,
    whatever its size.

    Args:
        own: name of this host.
        data_centre: data centre of this host.
        live: data centre of each live host, by name.
        suspects: data centre of each suspected host.
    """
    suspect_counts = collections.Counter(suspects)
    members = group_hosts(live)
    neighbours = {own, *members.get(data_centre, ())}
    result = []
    for other in sorted(members):
        if other == data_centre:
            continue
        if own in pick_highest_ranked(
            f"bridge {other}", neighbours, BRIDGES_PER_DATA_CENTRE
        ):
            count = 1 + EXTRA_LINKS_PER_SUSPECT * math.ceil(
                suspect_counts[other] / BRIDGES_PER_DATA_CENTRE
            )
            result.extend(
                pick_highest_ranked(f"relay {own}", members[other], count)
            )
    return result


def list_wanted_peers(
    own: str,
    data_centre: str,
    live: dict[str, str],
    suspects: Iterable[str] = (),
) -> list[str]:
    """Return the names of all hosts that a host links to."""
    neighbours = [
        name for name, location in live.items() if location == data_centre
    ]
    return [
        *list_successors(own, neighbours),
        *list_relays(own, data_centre, live, suspects),
    ]


def is_chosen_watcher(own: str, data_centre: str, live: dict[str, str]) -> bool:
    """Return whether a host is one of its data centre's watchers."""
    neighbours = [
        name for name, location in live.items() if location == data_centre
    ]
    return own in pick_highest_ranked(
        "watch", neighbours, WATCHERS_PER_DATA_CENTRE
    )


def group_hosts(live: dict[str, str]) -> dict[str, list[str]]:
    """Return the names of live hosts by data centre."""
    members: dict[str, list[str]] = {}
    for name, data_centre in live.items():
        members.setdefault(data_centre, []).append(name)
    return members
