"""Deterministic simulation of a network of reducers, driven by one seed."""

import collections
import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import state as membership_state

TICK_S = 0.1
PEER_PORT = 7000
CONNECT_TIMEOUT_S = 2.0


@dataclasses.dataclass
class Node:
    """A proxy of the network."""

    state: state_module.ProxyState
    is_alive: bool = True
    paused_until: float = 0.0
    outputs: list[effects.Effect] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Faults:
    """Faults that are applied to messages.

    `cuts` contains the (sender, receiver) pairs whose messages are lost.
    """

    loss: float = 0.0
    repeats: float = 0.0
    latency_s: tuple[float, float] = (0.001, 0.003)
    is_ordered: bool = True
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)


class Network:
    """Run reducers against each other in virtual time."""

    def __init__(self, seed: int, sizes: list[int], decide: Any = None) -> None:
        """Build one node per host; `sizes` is the host count of each DC."""
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = Faults()
        self.data_centre_count = len(sizes)
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[str, str] = {}
        self.links: dict[frozenset[str], int] = {}
        self.arrivals: dict[tuple[str, str], float] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.on_send: Callable[[str, str, Any], None] | None = None
        self.decide = decide or reducer.decide
        self._queue: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = itertools.count()
        for data_centre, size in enumerate(sizes, 1):
            for number in range(1, size + 1):
                self.add_node(data_centre, number)

    def add_node(
        self, data_centre: int, number: int, incarnation: int = 1
    ) -> str:
        """Start or restart a host; the first host of each DC is a seed."""
        name = f"dc{data_centre}-h{number}"
        address = f"127.0.{data_centre}.{number}"
        seeds = tuple(
            membership_state.Seed(f"127.0.{other}.1", PEER_PORT)
            for other in range(1, self.data_centre_count + 1)
        )
        state = state_module.ProxyState(
            state_module.Identity(name, f"dc{data_centre}", incarnation)
        )
        state.membership.settings = membership_state.Settings(
            address, PEER_PORT, PEER_PORT + 1, seeds
        )
        self.nodes[name] = Node(state)
        self.by_address[address] = name
        self._schedule(self.random.uniform(0, TICK_S), self._tick, name)
        return name

    def run(self, seconds: float) -> None:
        """Run for a virtual duration."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._queue)
            action(*arguments)
        self.now = end

    def run_until(self, is_met: Callable[[], bool], limit_s: float) -> bool:
        """Run until a condition holds or the time limit has passed."""
        end = self.now + limit_s
        while self.now < end:
            if is_met():
                return True
            self.run(TICK_S)
        return is_met()

    def submit(self, name: str, event: Any) -> None:
        """Pass an event to a node and apply its effects."""
        node = self.nodes[name]
        if not node.is_alive:
            return
        if node.paused_until > self.now:
            delay = node.paused_until - self.now
            self._schedule(delay, self.submit, name, event)
            return
        moment = model.Moment(self.now, self.random.random())
        for effect in self.decide(node.state, moment, event):
            self._apply_effect(name, node, effect)

    def submit_later(self, delay_s: float, name: str, event: Any) -> None:
        """Pass an event to a node after a delay."""
        self._schedule(delay_s, self.submit, name, event)

    def kill_node(self, name: str, is_silent: bool = False) -> None:
        """Stop a node; its peers see closed links unless it is silent."""
        self.nodes[name].is_alive = False
        for pair in [pair for pair in self.links if name in pair]:
            (peer,) = pair - {name}
            del self.links[pair]
            if not is_silent:
                event = membership_events.LinkClosed(name, "reset")
                self._schedule(0.001, self.submit, peer, event)

    def pause(self, name: str, seconds: float) -> None:
        """Pause a node for a time; its events are queued meanwhile."""
        self.nodes[name].paused_until = self.now + seconds

    def drop_messages(self, first: set[str], second: set[str]) -> None:
        """Drop all messages between two sets of hosts."""
        for one, other in itertools.product(first, second):
            self.faults.cuts |= {(one, other), (other, one)}

    def list_live(self) -> list[Node]:
        """Return the running nodes."""
        return [node for node in self.nodes.values() if node.is_alive]

    def _schedule(
        self, delay: float, action: Callable[..., None], *arguments: Any
    ) -> None:
        entry = (self.now + delay, next(self._sequence), action, arguments)
        heapq.heappush(self._queue, entry)

    def _tick(self, name: str) -> None:
        node = self.nodes[name]
        if not node.is_alive:
            return
        if node.paused_until > self.now:
            self._schedule(node.paused_until - self.now, self._tick, name)
            return
        self.submit(name, events.Ticked())
        self._schedule(TICK_S, self._tick, name)

    def _apply_effect(self, name: str, node: Node, effect: Any) -> None:
        if isinstance(effect, effects.SendToPeer):
            self._send(name, effect.host, effect.message)
        elif isinstance(effect, effects.OpenLink):
            self._connect(name, effect)
        elif isinstance(effect, effects.PublishRegister):
            register = effect.register
            self.submit(name, membership_events.RegisterPublished(register))
        elif isinstance(effect, effects.CloseLink):
            self._disconnect(name, effect.host)
        else:
            node.outputs.append(effect)

    def _connect(self, name: str, effect: effects.OpenLink) -> None:
        peer = self.by_address.get(effect.address, "")
        failed = membership_events.LinkFailed(
            effect.host, effect.address, effect.port, "unreachable"
        )
        if peer not in self.nodes or not self.nodes[peer].is_alive:
            self._schedule(0.001, self.submit, name, failed)
            return
        cuts = self.faults.cuts
        if (name, peer) in cuts or (peer, name) in cuts:
            self._schedule(CONNECT_TIMEOUT_S, self.submit, name, failed)
            return
        self.links[frozenset((name, peer))] = next(self._sequence)
        opened = membership_events.LinkOpened
        self._schedule(0.002, self.submit, name, opened(peer, True))
        self._schedule(0.002, self.submit, peer, opened(name, False))

    def _disconnect(self, name: str, peer: str) -> None:
        is_linked = self.links.pop(frozenset((name, peer)), None) is not None
        closed = membership_events.LinkClosed
        self._schedule(0.001, self.submit, name, closed(peer, "closed"))
        if is_linked:
            self._schedule(0.001, self.submit, peer, closed(name, "closed"))

    def _send(self, name: str, peer: str, message: Any) -> None:
        self.sent[type(message).__name__] += 1
        if self.on_send:
            self.on_send(name, peer, message)
        link = self.links.get(frozenset((name, peer)))
        faults = self.faults
        if link is None or (name, peer) in faults.cuts:
            return
        if self.random.random() < faults.loss:
            return
        copies = 2 if self.random.random() < faults.repeats else 1
        for _ in range(copies):
            arrival = self.now + self.random.uniform(*faults.latency_s)
            if faults.is_ordered:
                arrival = max(arrival, self.arrivals.get((name, peer), 0.0))
                self.arrivals[name, peer] = arrival
            self._schedule(
                arrival - self.now, self._deliver, link, name, peer, message
            )

    def _deliver(self, link: int, name: str, peer: str, message: Any) -> None:
        if self.links.get(frozenset((name, peer))) == link:
            event = membership_events.PeerMessageReceived(name, message)
            self.submit(peer, event)
