"""Assignment of a target's connections to hosts.

A target accepts a fixed number of connections from all hosts together. As long
as there are no more hosts than connections, each host holds its own. Otherwise,
a few hosts of each data centre, the holders, hold several connections each and
relay the statements of the other hosts: opening a new connection for each
statement would cost the target more than the statement itself.
"""

import zlib
from collections.abc import Mapping

# Connections per holder. A target runs two or three statements at a time, and
# one more connection keeps all its slots busy.
CONNECTIONS_PER_HOLDER = 3

# Number of holders that a host may use as relays.
MAX_RELAYS = 3


def list_holders(
    target: str, hosts: Mapping[str, str], max_connections: int
) -> frozenset[str]:
    """Return the hosts that hold connections to a target.

    Args:
        target: id of the target.
        hosts: data centres of the live hosts by name of the host.
        max_connections: number of connections that all hosts together may hold.
    """
    if len(hosts) <= max_connections:
        return frozenset(hosts)
    data_centres: dict[str, list[str]] = {}
    for host, data_centre in hosts.items():
        data_centres.setdefault(data_centre, []).append(host)
    holder_count = max(1, max_connections // CONNECTIONS_PER_HOLDER)
    holders_per_data_centre = max(1, holder_count // len(data_centres))
    holders: set[str] = set()
    for members in data_centres.values():
        members.sort(key=lambda host: _hash(target, host))
        holders.update(members[:holders_per_data_centre])
    return frozenset(holders)


def list_relays(
    target: str, host: str, hosts: Mapping[str, str], holders: frozenset[str]
) -> list[str]:
    """Return the holders that relay a host's statements to a target.

    Holders in the host's own data centre come first. The order differs between
    hosts, which distributes the load.

    Args:
        target: id of the target.
        host: name of the host.
        hosts: data centres of the live hosts by name of the host.
        holders: names of the hosts that hold connections to the target.

    Returns:
        Names of holders in the order in which the host tries them; empty if
        the host is a holder itself.
    """
    if host in holders:
        return []
    own_data_centre = hosts.get(host)
    return sorted(
        holders,
        key=lambda holder: (
            hosts[holder] != own_data_centre,
            _hash(host, holder),
        ),
    )[:MAX_RELAYS]


def _hash(first: str, second: str) -> int:
    return zlib.crc32(f"{first}/{second}".encode())
