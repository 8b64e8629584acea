"""A proxy's links to other proxies: ordered messages over a fake network."""

from __future__ import annotations

import collections
from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core.membership import events
from knapweedtally.core.membership import messages
from tests.driver import network as network_module
from tests.driver import schedule as schedule_module

DIAL_TIMEOUT_S = 1.0


class Link:
    """Hold a connection between two proxies.

    Attributes:
        opener: the end that opened it.
        other: the other end.
        is_open: whether neither end has closed it.
    """

    def __init__(self, opener: PeerLinks, other: PeerLinks) -> None:
        """Open a link."""
        self.opener = opener
        self.other = other
        self.is_open = True
        self._queues: dict[str, collections.deque[messages.Message]] = {
            opener.name: collections.deque(),
            other.name: collections.deque(),
        }

    def get_peer(self, end: PeerLinks) -> PeerLinks:
        """Return the end opposite to one end."""
        return self.other if end is self.opener else self.opener

    def put(self, receiver: PeerLinks, message: messages.Message) -> None:
        """Queue a message, so that arrivals keep the order."""
        self._queues[receiver.name].append(message)

    def take(self, receiver: PeerLinks) -> messages.Message:
        """Return the next message for an end."""
        return self._queues[receiver.name].popleft()


class PeerLinks:
    """Run the links of one proxy.

    Attributes:
        name: name of the proxy's host.
        process: the proxy's process.
        everyone: the links of all proxies by name of the host.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        everyone: dict[str, PeerLinks],
        submit: Callable[[object], None],
    ) -> None:
        """Start without links."""
        self.name = process.name
        self.process = process
        self.everyone = everyone
        everyone[self.name] = self
        self._network = network
        self._submit = submit
        self._links: dict[str, Link] = {}

    def open_link(self, effect: effects.OpenLink) -> None:
        """Try once to connect."""
        # A host's address is its name here.
        other = self.everyone[effect.address]
        is_over = False

        def finish(event: object) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self._submit(event)

        def accept() -> None:
            link = Link(self, other)
            if other.is_wanted(link):
                other.adopt(link)
                self._network.send(other.process, self.process, opened(link))

        def opened(link: Link) -> schedule_module.Action:
            def run() -> None:
                nonlocal is_over
                is_over = True
                if link.is_open and self.is_wanted(link):
                    self.adopt(link)

            return run

        failed = events.LinkFailed(
            effect.host, effect.address, effect.port, "no answer"
        )
        self._network.send(self.process, other.process, accept)
        self.process.call_later(DIAL_TIMEOUT_S, lambda: finish(failed))

    def close_link(self, effect: effects.CloseLink) -> None:
        """Close the link to a host."""
        link = self._links.get(effect.host)
        if link is not None:
            self._drop(link, effect.reason)

    def send(self, effect: effects.SendToPeer) -> None:
        """Send a message over the link to a host."""
        link = self._links.get(effect.host)
        if link is None:
            return
        peer = link.get_peer(self)
        link.put(peer, effect.message)
        self._network.send(
            self.process, peer.process, lambda: peer.receive(link)
        )

    def reset(self) -> None:
        """Drop all links as the end of the process does."""
        links = list(self._links.values())
        self._links.clear()
        for link in links:
            self._tell_peer(link)

    def is_wanted(self, link: Link) -> bool:
        """Tell whether a new link is to be used; see the peers edge."""
        peer = link.get_peer(self).name
        known = self._links.get(peer)
        if known is None or not known.is_open:
            return True
        is_outgoing = link.opener is self
        if is_outgoing == (known.opener is self):
            return True
        return is_outgoing == (self.name < peer)

    def adopt(self, link: Link) -> None:
        """Use a new link in place of any other to the same host."""
        peer = link.get_peer(self).name
        known = self._links.get(peer)
        self._links[peer] = link
        if known is not None:
            self._tell_peer(known)
        self._submit(events.LinkOpened(peer, link.opener is self))

    def receive(self, link: Link) -> None:
        """Take the next message of a link."""
        peer = link.get_peer(self).name
        message = link.take(self)
        if self._links.get(peer) is link:
            self._submit(events.PeerMessageReceived(peer, message))

    def _drop(self, link: Link, reason: str) -> None:
        peer = link.get_peer(self).name
        if self._links.get(peer) is link:
            del self._links[peer]
            self._submit(events.LinkClosed(peer, reason))
        self._tell_peer(link)

    def _tell_peer(self, link: Link) -> None:
        if not link.is_open:
            return
        link.is_open = False
        peer = link.get_peer(self)
        # The process may be at its end; the host's kernel sends this.
        peer.process.call_later(0.002, lambda: peer._drop(link, "closed"))
