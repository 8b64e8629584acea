"""State of the membership part: registers, hosts and links."""

import dataclasses
import enum
from typing import NamedTuple

from knapweedtally.core import model

Key = tuple[str, str]


class Status(enum.Enum):
    """Tell what is known of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


class Seed(NamedTuple):
    """Name a peer port to ask first."""

    address: str
    port: int


class Settings(NamedTuple):
    """Hold this host's settings for talking to peers.

    Attributes:
        address: address that the host listens on and sends from.
        peer_port: port for peers.
        admin_port: port of the administration API.
        seeds: peer ports to ask first.
    """

    address: str = "127.0.0.1"
    peer_port: int = 0
    admin_port: int = 0
    seeds: tuple[Seed, ...] = ()


class Host(NamedTuple):
    """Describe a host as its register states it.

    Attributes:
        name: name of the host.
        address: its address.
        peer_port: its port for peers.
        admin_port: its port of the administration API.
        data_centre: its data centre.
        status: what is known of it.
        bundle_version: bundle in force there; 0 before the first one.
        incarnation: grows with each start of the host.
        status_count: counts the changes within the incarnation.
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
    """Hold a register with its estimated size on the wire, in bytes."""

    register: model.Register
    size: int


@dataclasses.dataclass(slots=True)
class RegisterStore:
    """Hold the newest known register of each key.

    Attributes:
        entries: registers by kind and name.
        hashes: exclusive-or of the hashes of names and versions, by kind.
    """

    entries: dict[Key, StoredRegister] = dataclasses.field(default_factory=dict)
    hashes: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Link:
    """Track one wanted or open link.

    Attributes:
        host: name of the peer.
        since: when it was first wanted or opened.
        is_open: whether messages can be sent.
        is_wanted: whether the overlay of this host holds the peer.
        is_outgoing: whether this host opened it.
        heard_at: when the peer was last heard from, directly.
        sent_at: when a message was last sent.
        attempts: failed attempts to open it since it was last open.
        attempt_at: when to try to open it next.
        asked_at: when others were asked to probe the peer, or None.
        vouched_until: until when others' word stands for the peer.
        pending: keys of registers to send with the next tick, in order.
        urgent: keys of registers to send at once, in order.
        urgent_sends: messages sent ahead of the tick since the last one.
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
    asked_at: float | None = None
    vouched_until: float = 0.0
    pending: dict[Key, None] = dataclasses.field(default_factory=dict)
    urgent: dict[Key, None] = dataclasses.field(default_factory=dict)
    urgent_sends: int = 0


@dataclasses.dataclass(slots=True)
class Schedule:
    """Hold the times of recurring work, in seconds.

    Attributes:
        started_at: first tick, or None before it.
        ticked_at: last tick.
        overlay_at: next time that the overlay may be chosen anew.
        digest_at: next comparison with a random peer.
        dial_at: next try to reach a host outside the overlay.
    """

    started_at: float | None = None
    ticked_at: float = 0.0
    overlay_at: float = 0.0
    digest_at: float = 0.0
    dial_at: float = 0.0


@dataclasses.dataclass(slots=True)
class MembershipState:
    """Hold what the membership part knows.

    Attributes:
        settings: this host's own settings.
        incarnation: this host's incarnation, above any seen of its name.
        count: version count of this host's own register.
        is_leaving: whether this host is draining.
        published_bundle: bundle version in this host's own register.
        store: registers of all kinds.
        hosts: known hosts by name, this one among them.
        suspected: when each suspect became known as one.
        dead: when each dead host became known as dead.
        live: data centre of each host that counts as live, by name.
        links: wanted and open links by name of the peer.
        inquiries: hosts that asked for a probe, with the time, by target.
        listed: the platform's list of hosts, by name.
        is_overlay_stale: whether links and watchers are to be chosen anew.
        is_chosen_watcher: whether rendezvous hashing chose this host to
            watch the platform.
        is_watching: whether this host watches the platform.
        schedule: times of recurring work.
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
    inquiries: dict[str, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    listed: dict[str, model.ListedHost] = dataclasses.field(
        default_factory=dict
    )
    is_overlay_stale: bool = True
    is_chosen_watcher: bool = False
    is_watching: bool = False
    schedule: Schedule = dataclasses.field(default_factory=Schedule)
