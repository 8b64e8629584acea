"""Run one host's reducer at target size against scripted peers.

The host knows the whole fleet, a bundle with all groups and their records.
Its peers send heartbeats, its observed targets answer, and messages are
encoded and decoded as on the wire. Virtual time; no sockets.
"""

import collections
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bench import control_memory
from bench import control_model
from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import messages
from knapweedtally.peers import codec

TICKS_PER_S = 10
HEARTBEAT_TICKS = 5
SETTLE_S = 30


class Cost(NamedTuple):
    """Hold what a host spent over a time.

    Attributes:
        cpu_ms: processor time of the reducer and the codec.
        sent_bytes: websocket frames sent, without TCP and IP headers.
        received_bytes: the same, received.
        probes: probes of targets.
    """

    cpu_ms: float
    sent_bytes: int
    received_bytes: int
    probes: int


class LoneHost:
    """Drive one reducer and play its peers and targets.

    Attributes:
        state: state of the host.
    """

    def __init__(self, host_count: int, group_count: int) -> None:
        """Let a host learn a fleet and settle."""
        self.state = control_memory.learn_fleet(host_count, group_count)
        self._group_count = group_count
        self._now = 1.0
        self._ticks = 0
        self._cpu_ns = 0
        self._sent = 0
        self._received = 0
        self._probes = 0
        self._encoder = codec.Encoder()
        self._answers: collections.deque[str] = collections.deque()
        self._runners: dict[type, Callable[[Any], None]] = {
            effects.CloseLink: self._close_link,
            effects.OpenLink: self._open_link,
            effects.SendToPeer: self._send,
            effects.ProbeTarget: self._probe,
            effects.PublishRegister: self._publish,
        }
        self.run(SETTLE_S)

    def run(self, seconds: int) -> Cost:
        """Run for a time and return the cost since the last run."""
        for _ in range(seconds * TICKS_PER_S):
            self._now += 1 / TICKS_PER_S
            self._ticks += 1
            self.submit(events.Ticked())
            while self._answers:
                target = self._answers.popleft()
                self.submit(control_model.build_probe_answer(target, {}))
            if self._ticks % HEARTBEAT_TICKS == 0:
                for peer in self.list_peers():
                    self.receive(peer, messages.Heartbeat())
        cost = Cost(
            self._cpu_ns / 1e6, self._sent, self._received, self._probes
        )
        self._cpu_ns = self._sent = self._received = self._probes = 0
        return cost

    def list_peers(self) -> list[str]:
        """Return the names of the linked peers."""
        links = self.state.membership.links.values()
        return [link.host for link in links if link.is_open]

    def receive(self, peer: str, message: messages.Message) -> None:
        """Take a message from a peer, decoding it from its bytes."""
        data = codec.encode_message(message)
        self._received += control_model.get_frame_size(message)
        start = time.thread_time_ns()
        decoded: Any = codec.decode_message(data)
        self._cpu_ns += time.thread_time_ns() - start
        self.submit(membership_events.PeerMessageReceived(peer, decoded))

    def receive_bundle(self, version: int) -> None:
        """Take a new bundle and each host's word on it from every peer."""
        registers = control_memory.build_registers(
            len(self.state.membership.live), self._group_count, version
        )
        by_kind: dict[str, list[model.Register]] = collections.defaultdict(list)
        for register in registers:
            by_kind[register.kind].append(register)
        batch = 100
        for peer in self.list_peers():
            self.receive(peer, messages.Deltas(tuple(by_kind["bundle"])))
        for start in range(0, len(by_kind["host"]), batch):
            part = tuple(by_kind["host"][start : start + batch])
            for peer in self.list_peers():
                self.receive(peer, messages.Deltas(part))

    def submit(self, event: Any) -> None:
        """Give an event to the reducer and play its effects."""
        moment = model.Moment(self._now, 0.5)
        start = time.thread_time_ns()
        result = reducer.decide(self.state, moment, event)
        self._cpu_ns += time.thread_time_ns() - start
        for effect in result:
            runner = self._runners.get(type(effect))
            if runner is not None:
                runner(effect)

    def _open_link(self, effect: effects.OpenLink) -> None:
        if effect.host:
            self.submit(membership_events.LinkOpened(effect.host, True))

    def _close_link(self, effect: effects.CloseLink) -> None:
        self.submit(membership_events.LinkClosed(effect.host, effect.reason))

    def _send(self, effect: effects.SendToPeer) -> None:
        start = time.thread_time_ns()
        data = self._encoder.encode(effect.message)
        self._cpu_ns += time.thread_time_ns() - start
        self._sent += len(data) + control_model.get_header_size(len(data))

    def _probe(self, effect: effects.ProbeTarget) -> None:
        self._probes += 1
        self._answers.append(effect.target)

    def _publish(self, effect: effects.PublishRegister) -> None:
        event = membership_events.RegisterPublished(effect.register)
        self.submit(event)


def measure_lone_host(
    host_count: int, group_count: int, seconds: int, repeats: int
) -> dict[str, Any]:
    """Return the cost of the steady state and of a new bundle.

    Args:
        host_count: hosts in the fleet.
        group_count: groups in the bundle.
        seconds: length of each measurement.
        repeats: number of measurements; the medians are returned.
    """
    host = LoneHost(host_count, group_count)
    steady = sorted(host.run(seconds) for _ in range(repeats))
    middle = steady[repeats // 2]
    changes = []
    for version in range(2, 2 + repeats):
        host.run(1)
        host.receive_bundle(version)
        cost = host.run(seconds)
        changes.append(cost)
    change = sorted(changes)[repeats // 2]
    return {
        "hosts": host_count,
        "groups": group_count,
        "links": len(host.list_peers()),
        "probes_per_s": middle.probes / seconds,
        "cpu_ms_per_s": middle.cpu_ms / seconds,
        "cpu_ms_per_s_range": [
            steady[0].cpu_ms / seconds,
            steady[-1].cpu_ms / seconds,
        ],
        "sent_bytes_per_s": middle.sent_bytes / seconds,
        "received_bytes_per_s": middle.received_bytes / seconds,
        "bundle_cpu_ms": change.cpu_ms - middle.cpu_ms,
        "bundle_sent_bytes": change.sent_bytes - middle.sent_bytes,
        "bundle_received_bytes": (
            change.received_bytes - middle.received_bytes
        ),
    }
