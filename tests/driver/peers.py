"""A proxy's links to other proxies, which deliver messages in order."""

from __future__ import annotations

import collections
from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core.membership import events
from knapweedtally.core.membership import messages
from tests.driver import network as network_module
from tests.driver import schedule as schedule_module

CONNECT_TIMEOUT_S = 1.0


class Link:
    """Connection between two proxies.

    Attributes:
        initiator: links of the proxy that opened it.
        acceptor: links of the proxy that accepted it.
        is_open: whether neither end has closed it.
    """

    def __init__(self, initiator: PeerLinks, acceptor: PeerLinks) -> None:
        """Open a link."""
        self.initiator = initiator
        self.acceptor = acceptor
        self.is_open = True
        self._queues: dict[str, collections.deque[messages.Message]] = {
            initiator.name: collections.deque(),
            acceptor.name: collections.deque(),
        }

    def get_peer(self, end: PeerLinks) -> PeerLinks:
        """Return the opposite end."""
        return self.acceptor if end is self.initiator else self.initiator

    def enqueue_message(
        self, receiver: PeerLinks, message: messages.Message
    ) -> None:
        """Queue a message, as the network may reorder arrivals."""
        self._queues[receiver.name].append(message)

    def dequeue_message(self, receiver: PeerLinks) -> messages.Message:
        """Remove and return the next message for an end."""
        return self._queues[receiver.name].popleft()


class PeerLinks:
    """Links of one proxy to the others.

    Attributes:
        name: name of the proxy's host.
        process: the proxy's process.
        all_links: links of each proxy by name of its host.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        all_links: dict[str, PeerLinks],
        submit: Callable[[object], None],
    ) -> None:
        """Start without links."""
        self.name = process.name
        self.process = process
        self.all_links = all_links
        all_links[self.name] = self
        self._network = network
        self._submit = submit
        self._links: dict[str, Link] = {}

    def open_link(self, effect: effects.OpenLink) -> None:
        """Try once to connect to a host."""
        # The driver uses the names of hosts as their addresses.
        acceptor = self.all_links[effect.address]
        is_finished = False

        def finish(event: object) -> None:
            nonlocal is_finished
            if not is_finished:
                is_finished = True
                self._submit(event)

        def accept() -> None:
            link = Link(self, acceptor)
            if acceptor.is_preferred(link):
                acceptor.use_link(link)
                self._network.send(
                    acceptor.process, self.process, make_opened_handler(link)
                )

        def make_opened_handler(link: Link) -> schedule_module.Action:
            def run() -> None:
                nonlocal is_finished
                is_finished = True
                if link.is_open and self.is_preferred(link):
                    self.use_link(link)

            return run

        failed = events.LinkFailed(
            effect.host, effect.address, effect.port, "no answer"
        )
        self._network.send(self.process, acceptor.process, accept)
        self.process.call_later(CONNECT_TIMEOUT_S, lambda: finish(failed))

    def close_link(self, effect: effects.CloseLink) -> None:
        """Close the link to a host."""
        link = self._links.get(effect.host)
        if link is not None:
            self._remove_link(link, effect.reason)

    def send_message(self, effect: effects.SendToPeer) -> None:
        """Send a message over the link to a host."""
        link = self._links.get(effect.host)
        if link is None:
            return
        peer = link.get_peer(self)
        link.enqueue_message(peer, effect.message)
        self._network.send(
            self.process, peer.process, lambda: peer.receive_message(link)
        )

    def close_all(self) -> None:
        """Close all links, as the end of the process does."""
        links = list(self._links.values())
        self._links.clear()
        for link in links:
            self._close_link_at_peer(link)

    def is_preferred(self, link: Link) -> bool:
        """Return whether a new link is to replace the current one.

        As in the peers adapter, of two links in opposite directions both ends
        keep the one that the host with the lower name opened.
        """
        peer = link.get_peer(self).name
        known = self._links.get(peer)
        if known is None or not known.is_open:
            return True
        is_outgoing = link.initiator is self
        if is_outgoing == (known.initiator is self):
            return True
        return is_outgoing == (self.name < peer)

    def use_link(self, link: Link) -> None:
        """Use a new link and close the previous one to the same host."""
        peer = link.get_peer(self).name
        known = self._links.get(peer)
        self._links[peer] = link
        if known is not None:
            self._close_link_at_peer(known)
        self._submit(events.LinkOpened(peer, link.initiator is self))

    def receive_message(self, link: Link) -> None:
        """Submit the next message of a link, unless the link was replaced."""
        peer = link.get_peer(self).name
        message = link.dequeue_message(self)
        if self._links.get(peer) is link:
            self._submit(events.PeerMessageReceived(peer, message))

    def _remove_link(self, link: Link, reason: str) -> None:
        peer = link.get_peer(self).name
        if self._links.get(peer) is link:
            del self._links[peer]
            self._submit(events.LinkClosed(peer, reason))
        self._close_link_at_peer(link)

    def _close_link_at_peer(self, link: Link) -> None:
        if not link.is_open:
            return
        link.is_open = False
        peer = link.get_peer(self)
        # The host's kernel closes the connection even if the process has ended.
        peer.process.call_later(
            0.002, lambda: peer._remove_link(link, "closed")
        )
