"""Which hosts a host exchanges messages with.

In a small fleet every host sends to every other one. In a larger one that would
be the square of the number of hosts, most of it between data centres. There,
two hosts of each data centre, its distributors, receive what the hosts of their
own data centre and the distributors of the other ones send, and pass it on
inside their data centre: evidence, and which hosts were heard. Each host ranks
the hosts that it takes for live, so no election is needed, and the next host in
rank takes the place of a distributor that is gone.

Views may differ for a while. A host that sends to a host which isn't (or is no
longer) a distributor gets an answer that lists the hosts that one has heard.
"""

import zlib
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

# Number of distributors of a data centre. With two, its hosts still receive
# evidence if one is killed or can't be reached.
DISTRIBUTORS_PER_DATA_CENTRE = 2

# Largest number of hosts that all send to each other.
MAX_DIRECT_HOSTS = 12


class Contacts(NamedTuple):
    """The hosts that a host sends to regularly.

    Attributes:
        is_direct: whether the hosts all send to each other.
        local: distributors of the host's own data centre, without the host
            itself.
        remote: distributors of the other data centres.
        receivers: hosts of its own data centre to which the host passes on
            what it receives; empty if it is no distributor.
        rank: the host's rank among the distributors of its data centre, or
            None if it is no distributor.
    """

    is_direct: bool
    local: tuple[str, ...] = ()
    remote: tuple[str, ...] = ()
    receivers: tuple[str, ...] = ()
    rank: int | None = None


def rank_distributors(data_centre: str, hosts: Iterable[str]) -> list[str]:
    """Return hosts of a data centre in order, by rendezvous hashing."""
    return sorted(
        hosts, key=lambda host: zlib.crc32(f"{data_centre}/{host}".encode())
    )


def plan_contacts(
    host: str,
    live: Mapping[str, str],
    recent: Mapping[str, str],
    avoided: Collection[str] = (),
) -> Contacts:
    """Return the contacts of a host.

    Args:
        host: name of the host.
        live: data centres of the live hosts by name, the host included.
        recent: data centres of the hosts that were heard not long ago, or
            that this host may not have had time to hear, by name. Those of a
            data centre without a live host are tried.
        avoided: names of hosts that don't answer this host. They are no
            contacts unless a data centre has no others.
    """
    if len(recent) <= MAX_DIRECT_HOSTS:
        return Contacts(True)
    own_data_centre = live[host]
    live_ranked = _rank_by_data_centre(live, avoided)
    own = live_ranked[own_data_centre]
    rank = own.index(host) if host in own else None
    receivers: tuple[str, ...] = ()
    if rank is not None:
        receivers = tuple(
            name
            for name, data_centre in live.items()
            if data_centre == own_data_centre and name != host
        )
    # A distributor that wasn't heard yet, or for a while, is tried too: only
    # its answer shows a host that starts which hosts are live.
    contacts = _rank_by_data_centre(recent, avoided)
    for data_centre, names in live_ranked.items():
        contacts[data_centre] = [
            *names,
            *(n for n in contacts.get(data_centre, ()) if n not in names),
        ]
    local = contacts.pop(own_data_centre)
    return Contacts(
        False,
        tuple(name for name in local if name != host),
        tuple(name for names in contacts.values() for name in names),
        receivers,
        rank,
    )


def _rank_by_data_centre(
    hosts: Mapping[str, str], avoided: Collection[str]
) -> dict[str, list[str]]:
    """Return the first hosts in rank of each data centre."""
    ranked = {}
    for data_centre, names in _group_by_data_centre(hosts).items():
        eligible = [name for name in names if name not in avoided] or names
        ranked[data_centre] = rank_distributors(data_centre, eligible)[
            :DISTRIBUTORS_PER_DATA_CENTRE
        ]
    return ranked


def _group_by_data_centre(hosts: Mapping[str, str]) -> dict[str, list[str]]:
    grouped: dict[str, list[str]] = {}
    for host, data_centre in hosts.items():
        grouped.setdefault(data_centre, []).append(host)
    return grouped
