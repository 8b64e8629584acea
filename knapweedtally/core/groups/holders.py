"""Which hosts hold connections to a target, and which reach it through them.

A target takes a fixed number of connections from all hosts together. While
there are fewer hosts than that, each holds its own. With more, a few hosts of
each data centre hold several connections each, and the others send their
statements through these: a new connection for each statement would cost the
target more than the statement.
"""

import zlib
from collections.abc import Mapping

# Connections of one holder: a target runs two or three statements at a time,
# and one more keeps them busy.
CONNECTIONS_PER_HOLDER = 3

# Holders that a host may use, in the order in which it tries them.
MAX_WAYS = 3


def list_holders(
    target: str, hosts: Mapping[str, str], free: int
) -> frozenset[str]:
    """Return the hosts that hold connections to a target.

    Args:
        target: id of the target.
        hosts: data centres of the live hosts by name.
        free: connections that the hosts may hold together.
    """
    if len(hosts) <= free:
        return frozenset(hosts)
    data_centres: dict[str, list[str]] = {}
    for host, data_centre in hosts.items():
        data_centres.setdefault(data_centre, []).append(host)
    wanted = max(1, free // CONNECTIONS_PER_HOLDER)
    each = max(1, wanted // len(data_centres))
    holders: set[str] = set()
    for members in data_centres.values():
        members.sort(key=lambda host: _hash(target, host))
        holders.update(members[:each])
    return frozenset(holders)


def list_ways(
    target: str, host: str, hosts: Mapping[str, str], holders: frozenset[str]
) -> list[str]:
    """Return the holders through which a host reaches a target.

    Those of its own data centre come first, in an order that differs between
    hosts, so that they share the load.

    Returns:
        Names of hosts; empty where the host is a holder itself.
    """
    if host in holders:
        return []
    own = hosts.get(host)
    return sorted(
        holders,
        key=lambda holder: (hosts[holder] != own, _hash(host, holder)),
    )[:MAX_WAYS]


def _hash(first: str, second: str) -> int:
    return zlib.crc32(f"{first}/{second}".encode())
