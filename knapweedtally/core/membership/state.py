"""State of the membership part: registers, hosts and links."""

import dataclasses
import enum
from typing import NamedTuple

from knapweedtally.core import model

Key = tuple[str, str]


class Status(enum.Enum):
    """Status of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class Seed(NamedTuple):
    """Address and port of a peer to dial first."""

    address: str
    port: int


class Settings(NamedTuple):
    """Settings of this host for communication with peers.

    Attributes:
        address: address on which this host listens and from which it connects.
        peer_port: port for peers.
        admin_port: port of the administration API.
        seeds: peers to dial first.
    """

    address: str = "127.0.0.1"
    peer_port: int = 0
    admin_port: int = 0
    seeds: tuple[Seed, ...] = ()


class Host(NamedTuple):
    """Description of a host, as stated in its register.

    Attributes:
        name: name of the host.
        address: its address.
        peer_port: its port for peers.
        admin_port: its port of the administration API.
        data_centre: its data centre.
        status: its status.
        bundle_version: version of the bundle in force there; 0 before the
            first one.
        incarnation: number that increases with each start of the host.
        status_count: number that increases with each change within the
            incarnation; see ``hosts``.
    """

    name: str
    address: str
    peer_port: int
    admin_port: int
    data_centre: str
    status: Status
    bundle_version: int
    incarnation: int
    status_count: int


class StoredRegister(NamedTuple):
    """A register with its estimated size on the wire, in bytes."""

    register: model.Register
    size: int


@dataclasses.dataclass(slots=True)
class RegisterStore:
    """The newest known register of each key.

    Attributes:
        entries: registers by kind and name.
        hashes: XOR of the hashes of names and versions, by kind.
    """

    entries: dict[Key, StoredRegister] = dataclasses.field(default_factory=dict)
    hashes: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Link:
    """State of one wanted or open link.

    Attributes:
        host: name of the peer.
        since: when it was first wanted or last opened; reset when a close is
            requested.
        is_open: whether messages can be sent.
        is_wanted: whether the peer is in this host's overlay.
        is_outgoing: whether this host opened it.
        heard_at: when the last direct message arrived from the peer.
        sent_at: when the last message was sent.
        attempts: failed attempts to open it since it was last open.
        attempt_at: time of the next attempt to open it.
        probes_requested_at: when indirect probes of the peer were requested,
            or None.
        silence_grace_until: time until which silence of the peer is ignored.
        pending: keys of registers to send at the next tick, in order.
        urgent: keys of registers to send immediately, in order.
        urgent_sends: messages of urgent registers sent since the last tick.
    """

    host: str
    since: float
    is_open: bool = False
    is_wanted: bool = False
    is_outgoing: bool = False
    heard_at: float = 0.0
    sent_at: float = 0.0
    attempts: int = 0
    attempt_at: float = 0.0
    probes_requested_at: float | None = None
    silence_grace_until: float = 0.0
    pending: dict[Key, None] = dataclasses.field(default_factory=dict)
    urgent: dict[Key, None] = dataclasses.field(default_factory=dict)
    urgent_sends: int = 0


@dataclasses.dataclass(slots=True)
class Schedule:
    """Times of periodic work, in seconds.

    Attributes:
        started_at: time of the first event, or None before it.
        ticked_at: time of the last tick.
        overlay_at: earliest time at which the overlay may be recomputed.
        anti_entropy_at: time of the next comparison with a random peer.
        dial_at: time of the next round of dialling candidate addresses.
    """

    started_at: float | None = None
    ticked_at: float = 0.0
    overlay_at: float = 0.0
    anti_entropy_at: float = 0.0
    dial_at: float = 0.0


@dataclasses.dataclass(slots=True)
class MembershipState:
    """State of the membership part.

    Attributes:
        settings: this host's own settings.
        incarnation: this host's incarnation, raised above any higher one that
            peers published under its name.
        count: version count of this host's own register.
        is_leaving: whether this host is draining.
        published_bundle: bundle version in this host's own register.
        store: registers of all kinds.
        hosts: known hosts by name, this one among them.
        suspected: when each suspected host's suspicion was recorded, by name.
        dead: when each dead host's death was recorded, by name.
        live: data centre of each host that counts as live, by name.
        links: wanted and open links, by name of the peer.
        probe_requests: time of each pending probe request, by target and
            requester.
        listed: the platform's list of hosts, by name.
        is_overlay_stale: whether the overlay and the watchers have to be
            recomputed.
        is_chosen_watcher: whether rendezvous hashing chose this host to
            watch the platform.
        is_watching: whether this host watches the platform.
        schedule: times of periodic work.
    """

    settings: Settings = Settings()
    incarnation: int = 0
    count: int = 0
    is_leaving: bool = False
    published_bundle: int = 0
    store: RegisterStore = dataclasses.field(default_factory=RegisterStore)
    hosts: dict[str, Host] = dataclasses.field(default_factory=dict)
    suspected: dict[str, float] = dataclasses.field(default_factory=dict)
    dead: dict[str, float] = dataclasses.field(default_factory=dict)
    live: dict[str, str] = dataclasses.field(default_factory=dict)
    links: dict[str, Link] = dataclasses.field(default_factory=dict)
    probe_requests: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    listed: dict[str, model.ListedHost] = dataclasses.field(
        default_factory=dict
    )
    is_overlay_stale: bool = True
    is_chosen_watcher: bool = False
    is_watching: bool = False
    schedule: Schedule = dataclasses.field(default_factory=Schedule)
