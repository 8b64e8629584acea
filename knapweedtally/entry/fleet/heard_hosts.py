"""Which other hosts are live, as this host and others have heard them."""

import dataclasses
from collections.abc import Iterable

from knapweedtally.core.groups import distribution
from knapweedtally.core.groups import sharing
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import peer_messages

# A host is live until it has missed this many heartbeats.
MAX_MISSED_HEARTBEATS = 3

# Intervals of heartbeats, which are messages without evidence, in seconds:
# within the data centre, and to other data centres, where traffic is paid for.
HEARTBEAT_INTERVAL_S = 1.0
REMOTE_HEARTBEAT_INTERVAL_S = 3.0

# A contact that answers nothing for this long is no contact for a while, in
# seconds. A distributor sends something to each contact more often.
ANSWER_TIMEOUT_S = HEARTBEAT_INTERVAL_S * MAX_MISSED_HEARTBEATS
AVOIDANCE_S = 10.0

# Interval at which a larger fleet's live hosts are updated, in seconds.
LIVE_CHECK_INTERVAL_S = 0.2

# Interval at which a host that has just started sends to each listed host of
# its data centre that hasn't answered it, and for how long, in seconds.
# Heartbeats reach the distributors only, so that hosts would learn of each
# other seconds after the start.
INTRODUCTION_INTERVAL_S = 0.2
INTRODUCTION_TIME_S = 3.0

# Time after which a host of the data centre that isn't heard is marked in the
# store, in seconds. It is longer than hosts take to start again, and than they
# count as live, so that a host which is only cut off grants its part by then.
SILENT_AFTER_S = 6.0

# For how long hosts count as part of the fleet after they were last heard, and
# the listed hosts after this host started, in seconds.
FLEET_MEMORY_S = 60.0
FLEET_SETTLING_TIME_S = 5.0

# Largest age at which a host is passed on as heard, in seconds.
MAX_HEARD_AGE_S = REMOTE_HEARTBEAT_INTERVAL_S * MAX_MISSED_HEARTBEATS


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another host.

    Attributes:
        address: where the host receives datagrams and connections.
        data_centre: the host's data centre.
        is_marked: whether its entry in the store says that its data centre no
            longer hears it.
        clock: offset between the host's clock and this host's.
        received_s: when the host's last message arrived, or None.
        heard_s: when this host, or one that passed it on, last received a
            message of the host, or None.
        echoed_s: the host's own time in that message, to be echoed.
        contacted_s: when a message was last sent to the host.
        informed_s: when it was last sent which hosts were heard.
        described_s: when it was last sent their names and addresses.
        answered: the start of the host, by its incarnation, that was last
            answered at once.
        asked_s: when the first message was sent that it hasn't answered, or
            None.
        avoided_until_s: until when it is no contact, because it didn't answer.
    """

    address: tuple[str, int]
    data_centre: str = ""
    is_marked: bool = False
    clock: sharing.PeerClock = dataclasses.field(
        default_factory=sharing.PeerClock
    )
    received_s: float | None = None
    heard_s: float | None = None
    echoed_s: float = 0.0
    contacted_s: float = 0.0
    informed_s: float = float("-inf")
    described_s: float = float("-inf")
    answered: int | None = None
    asked_s: float | None = None
    avoided_until_s: float = 0.0


class HeardHosts:
    """The other hosts, which of them are live, and which are contacts.

    Attributes:
        peers: the other hosts by name.
        live_hosts: data centres of the live hosts by name, this one included.
        live_version: increases with each change of the live hosts.
        contacts: the hosts that this host sends to regularly.
        lacks_names: whether this host was told ages of hosts that it doesn't
            know.
    """

    def __init__(
        self, host: str, data_centre: str, log: logs.Log, now_s: float
    ) -> None:
        """Start without knowing another host.

        Args:
            host: name of this host.
            data_centre: its data centre.
            log: where changes are written.
            now_s: the current time.
        """
        self.peers: dict[str, Peer] = {}
        self.live_hosts: dict[str, str] = {}
        self.live_version = 0
        self.contacts = distribution.Contacts(True)
        self.lacks_names = False
        self._host = host
        self._data_centre = data_centre
        self._log = log
        self._started_s = now_s
        self._key = peer_messages.make_host_key(host)
        self._names: dict[bytes, str] = {}
        self._contacts_key: tuple[int, int, frozenset[str]] | None = None
        self._next_check_s = 0.0
        self._has_met = False

    def record_heard(
        self, heard: Iterable[peer_messages.HeardHost], now_s: float
    ) -> None:
        """Record which hosts another one has heard.

        The time that the message took isn't counted; it is short beside the
        time after which a host counts as gone.
        """
        for item in heard:
            if item.host == self._host:
                continue
            self.lacks_names = False
            heard_s = now_s - item.age_s
            peer = self.peers.get(item.host)
            if peer is None:
                peer = self.peers[item.host] = Peer(
                    (item.address, item.port), item.data_centre
                )
            if peer.heard_s is None or heard_s > peer.heard_s:
                peer.heard_s = heard_s
                peer.address = (item.address, item.port)
                peer.data_centre = item.data_centre

    def record_ages(
        self, ages: tuple[tuple[bytes, float], ...], now_s: float
    ) -> None:
        """Record how long ago another host has heard hosts known here."""
        if ages and len(self._names) != len(self.peers):
            self._names = {
                peer_messages.make_host_key(name): name for name in self.peers
            }
        for key, age_s in ages:
            peer = self.peers.get(self._names.get(key, ""))
            if peer is None:
                self.lacks_names = self.lacks_names or key != self._key
                continue
            heard_s = now_s - age_s
            if peer.heard_s is None or heard_s > peer.heard_s:
                peer.heard_s = heard_s

    def update(self, now_s: float) -> None:
        """Update the live hosts and the contacts."""
        if now_s < self._next_check_s:
            return
        live = {self._host: self._data_centre}
        for name, peer in self.peers.items():
            if self._is_live(peer, now_s):
                live[name] = peer.data_centre
        if live != self.live_hosts:
            self.live_hosts = live
            self.live_version += 1
            self._log.write("hosts_heard", hosts=len(live))
        is_starting = now_s - self._started_s < FLEET_SETTLING_TIME_S
        key = (
            self.live_version,
            len(self.peers) if is_starting else 0,
            self._avoid_silent_contacts(now_s),
        )
        if key != self._contacts_key:
            self._contacts_key = key
            self._update_contacts(is_starting, now_s)
        if not self.contacts.is_direct:
            self._next_check_s = now_s + LIVE_CHECK_INTERVAL_S

    def _avoid_silent_contacts(self, now_s: float) -> frozenset[str]:
        """Return the contacts that don't answer, and try others instead.

        A distributor that is gone can't tell that it is, and neither can
        another host while all distributors of a data centre are gone.
        """
        contacts = self.contacts
        for name in (*contacts.local, *contacts.remote):
            peer = self.peers.get(name)
            if peer is None or peer.asked_s is None:
                continue
            limit_s = ANSWER_TIMEOUT_S
            if peer.data_centre != self._data_centre:
                limit_s += REMOTE_HEARTBEAT_INTERVAL_S
            if now_s - peer.asked_s > limit_s:
                peer.avoided_until_s = now_s + AVOIDANCE_S
                peer.asked_s = None
        return frozenset(
            name
            for name, peer in self.peers.items()
            if now_s < peer.avoided_until_s and peer.asked_s is None
        )

    def _is_live(self, peer: Peer, now_s: float) -> bool:
        if peer.heard_s is None:
            return False
        is_local = peer.data_centre == self._data_centre
        interval_s = (
            HEARTBEAT_INTERVAL_S if is_local else REMOTE_HEARTBEAT_INTERVAL_S
        )
        limit_s = interval_s * MAX_MISSED_HEARTBEATS
        if is_local and not self.contacts.is_direct:
            # A distributor passes on what it has heard once an interval.
            limit_s += HEARTBEAT_INTERVAL_S
        return now_s - peer.heard_s < limit_s

    def _update_contacts(self, is_starting: bool, now_s: float) -> None:
        recent = {
            name: peer.data_centre
            for name, peer in self.peers.items()
            if (
                is_starting
                if peer.heard_s is None
                else now_s - peer.heard_s < FLEET_MEMORY_S
            )
        }
        recent[self._host] = self._data_centre
        avoided = {
            name
            for name, peer in self.peers.items()
            if now_s < peer.avoided_until_s
        }
        contacts = distribution.plan_contacts(
            self._host, self.live_hosts, recent, avoided
        )
        if contacts.rank != self.contacts.rank:
            self._log.write("distributor_changed", rank=contacts.rank)
        self.contacts = contacts

    def list_unmet(self, now_s: float) -> list[Peer]:
        """Return the hosts to which this host is to introduce itself."""
        if now_s - self._started_s > INTRODUCTION_TIME_S:
            return []
        return [
            peer
            for peer in self.peers.values()
            if peer.data_centre == self._data_centre
            and peer.clock.updated_s is None
            and now_s - peer.contacted_s >= INTRODUCTION_INTERVAL_S
        ]

    def has_met_data_centre(self) -> bool:
        """Return whether each host of the data centre has answered.

        Marked hosts aren't waited for. At that moment each of the others took
        this host for live, and this host it.
        """
        self._has_met = self._has_met or all(
            peer.clock.updated_s is not None and name in self.live_hosts
            for name, peer in self.peers.items()
            if peer.data_centre == self._data_centre and not peer.is_marked
        )
        return self._has_met

    def list_wrong_marks(self, now_s: float) -> dict[str, bool]:
        """Return the marks of the data centre's hosts that have to change.

        Returns:
            By name of the host, whether it is to be marked as silent.
        """
        marks = {}
        for name, peer in self.peers.items():
            if peer.data_centre != self._data_centre:
                continue
            heard_s = self._started_s if peer.heard_s is None else peer.heard_s
            is_silent = now_s - heard_s > SILENT_AFTER_S
            # Not having heard a marked host since the start says nothing.
            is_heard = peer.heard_s is not None and not is_silent
            if is_heard if peer.is_marked else is_silent:
                marks[name] = not peer.is_marked
        return marks

    def update_soon(self) -> None:
        """Update the live hosts at the next check, as a host has started."""
        self._next_check_s = 0.0

    def list_heard(
        self, data_centre: str | None, now_s: float
    ) -> list[tuple[str, Peer, float]]:
        """Return the hosts heard lately, and how long ago.

        Args:
            data_centre: the data centre whose hosts to return, or None for
                all.
            now_s: the current time.
        """
        return [
            (name, peer, now_s - peer.heard_s)
            for name, peer in self.peers.items()
            if peer.heard_s is not None
            and now_s - peer.heard_s < MAX_HEARD_AGE_S
            and data_centre in (None, peer.data_centre)
        ]
