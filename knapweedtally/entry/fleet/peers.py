"""The other hosts: their discovery, liveness and exchange of evidence."""

import asyncio
import math
import random
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

from knapweedtally.core.groups import distribution
from knapweedtally.core.groups import sharing
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.fleet import extension_messages
from knapweedtally.entry.fleet import heard_hosts
from knapweedtally.entry.fleet import host_registration
from knapweedtally.entry.fleet import peer_messages
from knapweedtally.entry.fleet import store
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import backoff

# Body of a message without evidence.
_NO_BODY = peer_messages.encode_body(())

# Interval at which hosts that aren't live are tried, in seconds. In a larger
# fleet that is one host at a time.
DISCOVERY_INTERVAL_S = 5.0

# Interval at which a distributor passes on names and addresses of heard hosts,
# in seconds; in between it passes on ages only.
DESCRIPTION_INTERVAL_S = 10.0

# Number of checks over which a distributor spreads what it passes on, and the
# largest number of hosts that it answers at once. Bursts overflow slow links.
INFORMING_CHECKS = 15
MAX_ANSWERS_AT_ONCE = 3

EvidenceListener = Callable[[sharing.SharedEvidence, float, str], None]


class Peers(asyncio.DatagramProtocol):
    """Exchange datagrams with the other hosts.

    Attributes:
        incarnation: identifies this start of the process.
    """

    def __init__(
        self,
        host_settings: settings.HostSettings,
        client: store.StoreClient,
        log: logs.Log,
        on_evidence: EvidenceListener,
    ) -> None:
        """Create the exchange without opening a socket.

        Args:
            host_settings: this host's settings.
            client: the store's client.
            log: where changes and errors are written.
            on_evidence: called with another host's evidence, the earliest
                time, on this host's clock, at which it was sent, and the name
                of the host.
        """
        self._host = host_settings.host
        self._data_centre = host_settings.data_centre
        self._address = host_settings.peers
        self._client = client
        self._log = log
        self._on_evidence = on_evidence
        self.incarnation = random.getrandbits(32)
        self._started_s = clock.get_time_s()
        self._heard = heard_hosts.HeardHosts(
            self._host, self._data_centre, log, self._started_s
        )
        self._peers = self._heard.peers
        self._listeners = extension_messages.Listeners()
        self._transport: asyncio.DatagramTransport | None = None
        self._answers_left = MAX_ANSWERS_AT_ONCE
        self._next_discovery_s = 0.0
        self._random = random.Random()
        self._listed = asyncio.Event()

    @property
    def live_version(self) -> int:
        """Return a number that increases with each change of live hosts."""
        return self._heard.live_version

    @property
    def contacts(self) -> distribution.Contacts:
        """Return the hosts that this host sends to regularly."""
        return self._heard.contacts

    async def run(self) -> None:
        """Open the socket, register this host and list the other hosts."""
        if self._address is None:
            self._listed.set()
            return
        retry_backoff = backoff.Backoff(0.1, 2.0, random.Random())
        while True:
            try:
                await self._open_socket()
                await host_registration.register_host(
                    self._client, self._host, self._make_spec(self._address)
                )
                listed = await host_registration.list_hosts(self._client)
                self._add_listed_hosts(listed)
                self._listed.set()
                return
            except (store.StoreError, store_calls.MalformedResponse) as error:
                self._log.write("peers_not_listed", reason=str(error))
            except Exception as error:
                # Without the other hosts this one still serves its callers.
                supervision.report("peer discovery", error)
            await asyncio.sleep(retry_backoff.compute_next_delay_s())

    def _make_spec(self, address: settings.Address) -> dict[str, Any]:
        return host_registration.make_spec(address, self._data_centre)

    async def restore(self) -> None:
        """Write this host's entry again if the store has lost it.

        Raises:
            store.StoreError: a call failed or was refused.
            store_calls.MalformedResponse: a response can't be parsed.
        """
        if self._address is not None:
            await host_registration.restore_host(
                self._client, self._host, self._make_spec(self._address)
            )

    async def wait_until_listed(self) -> None:
        """Return once the other hosts were listed."""
        await self._listed.wait()

    @property
    def is_listed(self) -> bool:
        """Return whether the other hosts were listed in the store."""
        return self._listed.is_set()

    def has_met_data_centre(self) -> bool:
        """Return whether each listed host of this data centre has answered.

        Each of them has then heard that this host runs, since its start.
        """
        return self.is_listed and self._heard.has_met_data_centre()

    def list_wrong_marks(self, now_s: float) -> dict[str, bool]:
        """Return which hosts of this data centre to mark as silent or not."""
        return self._heard.list_wrong_marks(now_s)

    def record_mark(self, name: str, is_silent: bool) -> None:
        """Record that a host's entry was marked, or the mark removed."""
        if name in self._peers:
            self._peers[name].is_marked = is_silent

    def list_known_data_centres(self) -> dict[str, str]:
        """Return the data centres of all hosts ever known here, by name.

        This host is included. A name is empty if it isn't known.
        """
        known = {name: peer.data_centre for name, peer in self._peers.items()}
        known[self._host] = self._data_centre
        return known

    def list_recent_hosts(
        self, now_s: float, heard_s: float, unheard_s: float
    ) -> frozenset[str]:
        """Return the names of other hosts that were heard lately.

        Args:
            now_s: the current time.
            heard_s: for how long a host counts after it was last heard.
            unheard_s: for how long after the start of this host those count
                that haven't been heard since.
        """
        is_starting = now_s - self._started_s < unheard_s
        return frozenset(
            name
            for name, peer in self._peers.items()
            if (
                is_starting
                if peer.heard_s is None
                else now_s - peer.heard_s < heard_s
            )
        )

    async def _open_socket(self) -> None:
        if self._transport is not None:
            return
        assert self._address is not None
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    def _add_listed_hosts(
        self, listed: list[host_registration.ListedHost]
    ) -> None:
        for found in listed:
            if found.name != self._host:
                peer = heard_hosts.Peer(
                    found.address, found.data_centre, found.is_silent
                )
                self._peers.setdefault(found.name, peer)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Handle another host's message.

        An error in here would close the socket.
        """
        supervision.contain("peer message", self._handle_message, data, addr)

    def add_listener(
        self, kind: str, listener: extension_messages.Listener
    ) -> None:
        """Call a listener for each extension message of a kind."""
        self._listeners.add(kind, listener)

    def send_extension(self, host: str, kind: str, payload: typing.Any) -> bool:
        """Send an extension message, which may be lost, to a known host.

        Returns:
            Whether the host's address is known and the socket is open.
        """
        peer = self._peers.get(host)
        if peer is None or self._transport is None:
            return False
        data = extension_messages.encode_message(self._host, kind, payload)
        self._transport.sendto(data, peer.address)
        return True

    def _handle_message(self, data: bytes, addr: typing.Any) -> None:
        try:
            if extension_messages.is_extension(data):
                self._listeners.deliver(data, self._host, clock.get_time_s())
                return
            message = peer_messages.decode_message(data)
        except (
            extension_messages.MalformedMessage,
            peer_messages.MalformedMessage,
        ) as error:
            self._log.write("peer_message_broken", reason=str(error))
            return
        if message.host == self._host:
            return
        now_s = clock.get_time_s()
        peer = self._peers.get(message.host)
        if peer is None:
            peer = self._peers[message.host] = heard_hosts.Peer(
                (addr[0], addr[1])
            )
        peer.address = (addr[0], addr[1])
        peer.data_centre = message.data_centre
        peer.received_s = peer.heard_s = now_s
        peer.asked_s = None
        peer.echoed_s = message.sent_s
        peer.avoided_until_s = 0.0
        if message.lacks_names:
            peer.described_s = float("-inf")
        self._heard.record_heard(message.heard, now_s)
        self._heard.record_ages(message.ages, now_s)
        self._answer_unexpected(message, peer, now_s)
        if message.echoed_s is None:
            return
        # The clock restarts with the machine. An echo of a message sent before
        # that would make evidence look younger than it is.
        if not self._started_s <= message.echoed_s <= now_s:
            return
        sharing.update_offset(
            peer.clock,
            message.incarnation,
            message.sent_s,
            message.echoed_s,
            message.echo_age_s,
            now_s,
        )
        sent_here_s = message.sent_s + sharing.get_offset_s(peer.clock, now_s)
        for shared in message.shared:
            self._on_evidence(shared, sent_here_s, message.host)

    def _answer_unexpected(
        self,
        message: peer_messages.PeerMessage,
        peer: heard_hosts.Peer,
        now_s: float,
    ) -> None:
        """Answer a host to which this host doesn't send regularly.

        It needs the echo for its evidence to be used here. A host of the same
        data centre, or a distributor of another one, takes this host for a
        distributor, and learns which hosts are.
        """
        if self._answer_introduction(message, peer, now_s):
            return
        contacts, host = self.contacts, message.host
        is_expected = contacts.is_direct or (
            host in contacts.local
            or host in contacts.remote
            or host in contacts.receivers
        )
        if (
            is_expected
            or now_s - peer.contacted_s < heard_hosts.HEARTBEAT_INTERVAL_S
        ):
            return
        is_local = peer.data_centre == self._data_centre
        if self._answers_left and (message.heard or message.ages or is_local):
            self._answers_left -= 1
            for body in self._encode_heard(None, now_s):
                self._send_message(peer, body, now_s)
        else:
            self._send_message(peer, _NO_BODY, now_s)

    def _answer_introduction(
        self,
        message: peer_messages.PeerMessage,
        peer: heard_hosts.Peer,
        now_s: float,
    ) -> bool:
        """Answer the first message of a start of a host of this data centre.

        Returns:
            Whether the message was answered.
        """
        if peer.data_centre != self._data_centre:
            return False
        is_new = peer.answered != message.incarnation
        if is_new:
            peer.answered = message.incarnation
            self._heard.update_soon()
        lacks_answer = message.echoed_s is None and (
            now_s - peer.contacted_s >= heard_hosts.INTRODUCTION_INTERVAL_S / 2
        )
        if is_new or lacks_answer:
            self._send_message(peer, _NO_BODY, now_s)
            return True
        return False

    def error_received(self, exc: Exception) -> None:
        """Ignore a send error, because datagrams may be lost anyway."""

    def get_live_hosts(self) -> dict[str, str]:
        """Return the data centres of the live hosts by name.

        This host is included. ``live_version`` increases with each change.
        """
        return self._heard.live_hosts

    def find_host_address(self, host: str) -> tuple[str, int] | None:
        """Return where a host accepts connections of other hosts, or None."""
        peer = self._peers.get(host)
        return peer.address if peer is not None else None

    def convert_time(
        self, host: str, incarnation: int, time_s: float, now_s: float
    ) -> float | None:
        """Return the earliest time on this host's clock for another host's.

        Returns:
            The time, or None if the other host's clock, since the start that
            the incarnation identifies, isn't known.
        """
        peer = self._peers.get(host)
        if peer is None or peer.clock.updated_s is None:
            return None
        if peer.clock.incarnation != incarnation:
            return None
        return time_s + sharing.get_offset_s(peer.clock, now_s)

    def tick(self, now_s: float) -> None:
        """Update the live hosts and send the heartbeats that are due."""
        self._answers_left = MAX_ANSWERS_AT_ONCE
        self._heard.update(now_s)
        for unmet in self._heard.list_unmet(now_s):
            self._send_message(unmet, _NO_BODY, now_s)
        if self.contacts.is_direct:
            self._send_to_all(now_s)
            return
        if self.contacts.rank is not None:
            self._distribute_heard(now_s)
        for name in self.contacts.local:
            peer = self._peers.get(name)
            if (
                peer
                and now_s - peer.contacted_s > heard_hosts.HEARTBEAT_INTERVAL_S
            ):
                self._send_message(peer, _NO_BODY, now_s)
        if now_s >= self._next_discovery_s:
            self._next_discovery_s = now_s + DISCOVERY_INTERVAL_S
            self._discover(now_s)

    def _send_to_all(self, now_s: float) -> None:
        for name, peer in self._peers.items():
            is_local = peer.data_centre == self._data_centre
            interval_s = (
                heard_hosts.HEARTBEAT_INTERVAL_S
                if is_local
                else heard_hosts.REMOTE_HEARTBEAT_INTERVAL_S
            )
            if now_s - peer.contacted_s > (
                interval_s
                if name in self._heard.live_hosts
                else DISCOVERY_INTERVAL_S
            ):
                self._send_message(peer, _NO_BODY, now_s)

    def _distribute_heard(self, now_s: float) -> None:
        """Pass on which hosts were heard, as a distributor.

        The other data centres learn of the hosts of this one only. A host gets
        names and addresses once and from time to time; in between, ages. Only
        a few hosts are due at a time, since a burst would fill the link.
        """
        contacts = self.contacts
        self._inform_due(contacts.remote, self._data_centre, now_s)
        self._inform_due(contacts.receivers, None, now_s)

    def _inform_due(
        self, names: Collection[str], data_centre: str | None, now_s: float
    ) -> None:
        due = [
            peer
            for name in names
            if (peer := self._peers.get(name))
            and now_s - peer.informed_s >= heard_hosts.HEARTBEAT_INTERVAL_S
        ]
        due.sort(key=lambda peer: peer.informed_s)
        bodies: dict[bool, list[peer_messages.Body]] = {}
        for peer in due[: math.ceil(len(names) / INFORMING_CHECKS)]:
            is_full = now_s - peer.described_s >= DESCRIPTION_INTERVAL_S
            if is_full not in bodies:
                encode = self._encode_heard if is_full else self._encode_ages
                bodies[is_full] = encode(data_centre, now_s)
            peer.informed_s = now_s
            if is_full:
                peer.described_s = now_s
            for body in bodies[is_full]:
                self._send_message(peer, body, now_s)

    def _encode_ages(
        self, data_centre: str | None, now_s: float
    ) -> list[peer_messages.Body]:
        """Return the bodies of messages with the ages of heard hosts."""
        ages = [
            (peer_messages.make_host_key(name), age_s)
            for name, _, age_s in self._heard.list_heard(data_centre, now_s)
        ]
        size = peer_messages.MAX_AGES
        return [
            peer_messages.encode_body((), (), ages[start : start + size])
            for start in range(0, max(1, len(ages)), size)
        ]

    def _encode_heard(
        self, data_centre: str | None, now_s: float
    ) -> list[peer_messages.Body]:
        """Return the bodies of messages that describe the heard hosts."""
        heard = [
            peer_messages.HeardHost(
                name, peer.data_centre, *peer.address, age_s
            )
            for name, peer, age_s in self._heard.list_heard(data_centre, now_s)
        ]
        size = peer_messages.MAX_HEARD_HOSTS
        return [
            peer_messages.encode_body((), heard[start : start + size])
            for start in range(0, max(1, len(heard)), size)
        ]

    def _discover(self, now_s: float) -> None:
        """Try one host that isn't live, which may be cut off or have moved."""
        gone = [
            name for name in self._peers if name not in self._heard.live_hosts
        ]
        if gone:
            name = self._random.choice(gone)
            self._send_message(self._peers[name], _NO_BODY, now_s)

    def share(
        self, shared: tuple[sharing.SharedEvidence, ...], now_s: float
    ) -> None:
        """Send evidence to every live host, or to those that pass it on."""
        contacts = self.contacts
        names = (
            [name for name in self._peers if name in self._heard.live_hosts]
            if contacts.is_direct
            else (*contacts.local, *contacts.remote)
        )
        self._send_evidence(names, shared, now_s)

    def share_locally(
        self, shared: tuple[sharing.SharedEvidence, ...], now_s: float
    ) -> None:
        """Pass evidence on to the hosts of this data centre."""
        self._send_evidence(self.contacts.receivers, shared, now_s)

    def _send_evidence(
        self,
        names: Iterable[str],
        shared: tuple[sharing.SharedEvidence, ...],
        now_s: float,
    ) -> None:
        body = peer_messages.encode_body(shared)
        for name in names:
            peer = self._peers.get(name)
            if peer is not None:
                self._send_message(peer, body, now_s)

    def _send_message(
        self, peer: heard_hosts.Peer, body: peer_messages.Body, now_s: float
    ) -> None:
        if self._transport is None:
            return
        peer.contacted_s = now_s
        if peer.asked_s is None:
            peer.asked_s = now_s
        echoed_s = None if peer.received_s is None else peer.echoed_s
        age_s = 0.0 if peer.received_s is None else now_s - peer.received_s
        message = peer_messages.PeerMessage(
            self._host,
            self._data_centre,
            self.incarnation,
            now_s,
            echoed_s,
            age_s,
            (),
            lacks_names=self._heard.lacks_names,
        )
        data = peer_messages.encode_message(message, body)
        self._transport.sendto(data, peer.address)
