"""The other hosts: their discovery, liveness and exchange of evidence."""

import asyncio
import dataclasses
import random
import typing
from collections.abc import Callable

from knapweedtally.core.groups import sharing
from knapweedtally.entry import clock
from knapweedtally.entry import logs
from knapweedtally.entry import peer_messages
from knapweedtally.entry import store
from knapweedtally.entry import supervision
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from knapweedtally.utils import backoff

HOSTS_KIND = "knapweedtally-hosts"

# A host is live until it has missed this many heartbeats.
MAX_MISSED_HEARTBEATS = 3

# Intervals of heartbeats, which are messages without evidence, in seconds:
# within the data centre, and to other data centres, where traffic is paid for.
HEARTBEAT_INTERVAL_S = 1.0
REMOTE_HEARTBEAT_INTERVAL_S = 3.0

# Interval of messages to hosts that aren't live, in seconds.
DISCOVERY_INTERVAL_S = 5.0


@dataclasses.dataclass(slots=True)
class Peer:
    """State of another host.

    Attributes:
        address: where the host receives datagrams and connections.
        data_centre: the host's data centre.
        clock: offset between the host's clock and this host's.
        received_s: when the host's last message arrived, or None.
        echoed_s: the host's own time in that message, to be echoed.
        contacted_s: when a message was last sent to the host.
    """

    address: tuple[str, int]
    data_centre: str = ""
    clock: sharing.PeerClock = dataclasses.field(
        default_factory=sharing.PeerClock
    )
    received_s: float | None = None
    echoed_s: float = 0.0
    contacted_s: float = 0.0


EvidenceListener = Callable[[sharing.SharedEvidence, float], None]


class Peers(asyncio.DatagramProtocol):
    """Exchange datagrams with the other hosts.

    Attributes:
        live_version: increases with each change of the live hosts.
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
            on_evidence: called with another host's evidence and the earliest
                time, on this host's clock, at which it was sent.
        """
        self._host = host_settings.host
        self._data_centre = host_settings.data_centre
        self._address = host_settings.peers
        self._client = client
        self._log = log
        self._on_evidence = on_evidence
        self._incarnation = random.getrandbits(32)
        self._started_s = clock.get_time_s()
        self._peers: dict[str, Peer] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._live_hosts: dict[str, str] = {}
        self.live_version = 0
        self._listed = asyncio.Event()

    async def run(self) -> None:
        """Open the socket, register this host and list the other hosts."""
        if self._address is None:
            self._listed.set()
            return
        retry_backoff = backoff.Backoff(0.1, 2.0, random.Random())
        while True:
            try:
                await self._open_socket()
                await self._register_host()
                await self._list_hosts()
                self._listed.set()
                return
            except (store.StoreError, store_calls.MalformedResponse) as error:
                self._log.write("peers_not_listed", reason=str(error))
            except Exception as error:
                # Without the other hosts this one still serves its callers.
                supervision.report("peer discovery", error)
            await asyncio.sleep(retry_backoff.compute_next_delay_s())

    async def wait_until_listed(self) -> None:
        """Return once the other hosts were listed."""
        await self._listed.wait()

    def list_known_hosts(self) -> list[str]:
        """Return the names of this host and of all hosts ever known here."""
        return [self._host, *self._peers]

    async def _open_socket(self) -> None:
        if self._transport is not None:
            return
        assert self._address is not None
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    async def _register_host(self) -> None:
        assert self._address is not None
        spec = {
            "host": self._address.host,
            "port": self._address.port,
            "data_centre": self._data_centre,
        }
        request = store_calls.make_create_request(HOSTS_KIND, self._host, spec)
        response = await self._client.send(request)
        if response.status != 409:
            return
        # The object was created before a restart of this host, whose address
        # may have changed since.
        stored = store_calls.parse_object(store_calls.parse_answer(response))
        if stored.spec != spec:
            request = store_calls.make_replace_request(
                HOSTS_KIND, self._host, spec, stored.revision
            )
            await self._client.send(request)

    async def _list_hosts(self) -> None:
        after = None
        while True:
            request = store_calls.make_list_request(HOSTS_KIND, after)
            page = store_calls.parse_page(await self._client.send(request))
            for stored in page.objects:
                self._add_listed_host(stored)
            if not page.has_more or not page.objects:
                return
            after = page.objects[-1].name

    def _add_listed_host(self, stored: store_calls.StoredObject) -> None:
        spec = stored.spec
        if stored.name == self._host or not isinstance(spec, dict):
            return
        host, port = spec.get("host"), spec.get("port")
        data_centre = spec.get("data_centre")
        if not isinstance(host, str) or not isinstance(port, int):
            return
        if isinstance(data_centre, str):
            peer = Peer((host, port), data_centre)
            self._peers.setdefault(stored.name, peer)

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

    def _handle_message(self, data: bytes, addr: typing.Any) -> None:
        try:
            message = peer_messages.decode_message(data)
        except peer_messages.MalformedMessage as error:
            self._log.write("peer_message_broken", reason=str(error))
            return
        if message.host == self._host:
            return
        now_s = clock.get_time_s()
        peer = self._peers.get(message.host)
        if peer is None:
            peer = self._peers[message.host] = Peer((addr[0], addr[1]))
        peer.address = (addr[0], addr[1])
        peer.data_centre = message.data_centre
        peer.received_s = now_s
        peer.echoed_s = message.sent_s
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
            self._on_evidence(shared, sent_here_s)

    def error_received(self, exc: Exception) -> None:
        """Ignore a send error, because datagrams may be lost anyway."""

    def get_live_hosts(self) -> dict[str, str]:
        """Return the data centres of the live hosts by name.

        This host is included. ``live_version`` increases with each change.
        """
        return self._live_hosts

    def find_host_address(self, host: str) -> tuple[str, int] | None:
        """Return where a host accepts connections of other hosts, or None."""
        peer = self._peers.get(host)
        return peer.address if peer is not None else None

    def tick(self, now_s: float) -> None:
        """Update the live hosts and send the heartbeats that are due."""
        live = {self._host: self._data_centre}
        for name, peer in self._peers.items():
            is_local = peer.data_centre == self._data_centre
            interval_s = (
                HEARTBEAT_INTERVAL_S
                if is_local
                else REMOTE_HEARTBEAT_INTERVAL_S
            )
            is_live = peer.received_s is not None and (
                now_s - peer.received_s < interval_s * MAX_MISSED_HEARTBEATS
            )
            if is_live:
                live[name] = peer.data_centre
            if now_s - peer.contacted_s > (
                interval_s if is_live else DISCOVERY_INTERVAL_S
            ):
                self._send_message(peer, (), now_s)
        if live != self._live_hosts:
            self._live_hosts = live
            self.live_version += 1
            self._log.write("hosts_heard", hosts=len(live))

    def share(
        self, shared: tuple[sharing.SharedEvidence, ...], now_s: float
    ) -> None:
        """Send evidence to every live host."""
        for name, peer in self._peers.items():
            if name in self._live_hosts:
                self._send_message(peer, shared, now_s)

    def _send_message(
        self,
        peer: Peer,
        shared: tuple[sharing.SharedEvidence, ...],
        now_s: float,
    ) -> None:
        if self._transport is None:
            return
        peer.contacted_s = now_s
        echoed_s = None if peer.received_s is None else peer.echoed_s
        age_s = 0.0 if peer.received_s is None else now_s - peer.received_s
        message = peer_messages.PeerMessage(
            self._host,
            self._data_centre,
            self._incarnation,
            now_s,
            echoed_s,
            age_s,
            shared,
        )
        data = peer_messages.encode_message(message)
        self._transport.sendto(data, peer.address)
