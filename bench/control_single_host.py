"""Measure one host's reducer at target size against simulated peers.

The host's state holds the whole fleet, a bundle with all groups and the groups'
records. Its peers send heartbeats, the targets that it observes answer probes,
and messages are encoded and decoded as on the wire. Time is virtual, and no
sockets are used.
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
    """Cost of a host over a time.

    Attributes:
        cpu_ms: processor time of the reducer and the codec.
        sent_bytes: websocket frames sent, without TCP and IP headers.
        received_bytes: websocket frames received, likewise.
        probes: number of probes of targets.
    """

    cpu_ms: float
    sent_bytes: int
    received_bytes: int
    probes: int


class SingleHost:
    """Reducer of one host, with simulated peers and targets.

    Attributes:
        state: state of the host.
    """

    def __init__(self, host_count: int, group_count: int) -> None:
        """Create a host that knows a fleet and run it for ``SETTLE_S``."""
        self.state = control_memory.make_fleet_state(host_count, group_count)
        self._group_count = group_count
        self._now = 1.0
        self._ticks = 0
        self._cpu_ns = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._probe_count = 0
        self._encoder = codec.Encoder()
        self._probed_targets: collections.deque[str] = collections.deque()
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.CloseLink: self._close_link,
            effects.OpenLink: self._open_link,
            effects.SendToPeer: self._send_message,
            effects.ProbeTarget: self._queue_probe_answer,
            effects.PublishRegister: self._publish_register,
        }
        self.run(SETTLE_S)

    def run(self, seconds: int) -> Cost:
        """Run for a time and return the cost since the end of the last run."""
        for _ in range(seconds * TICKS_PER_S):
            self._now += 1 / TICKS_PER_S
            self._ticks += 1
            self.submit_event(events.Ticked())
            while self._probed_targets:
                target = self._probed_targets.popleft()
                self.submit_event(control_model.build_probe_answer(target, {}))
            if self._ticks % HEARTBEAT_TICKS == 0:
                for peer in self.list_peers():
                    self.receive_message(peer, messages.Heartbeat())
        cost = Cost(
            self._cpu_ns / 1e6,
            self._sent_bytes,
            self._received_bytes,
            self._probe_count,
        )
        self._cpu_ns = self._sent_bytes = self._received_bytes = (
            self._probe_count
        ) = 0
        return cost

    def list_peers(self) -> list[str]:
        """Return the names of the peers with an open link."""
        links = self.state.membership.links.values()
        return [link.host for link in links if link.is_open]

    def receive_message(self, peer: str, message: messages.Message) -> None:
        """Encode a peer's message, decode it and submit it to the reducer."""
        data = codec.encode_message(message)
        self._received_bytes += control_model.get_frame_size(message)
        start = time.thread_time_ns()
        decoded: Any = codec.decode_message(data)
        self._cpu_ns += time.thread_time_ns() - start
        self.submit_event(membership_events.PeerMessageReceived(peer, decoded))

    def receive_bundle(self, version: int) -> None:
        """Receive a new bundle and newer host registers from every peer."""
        registers = control_memory.build_registers(
            len(self.state.membership.live), self._group_count, version
        )
        by_kind: dict[str, list[model.Register]] = collections.defaultdict(list)
        for register in registers:
            by_kind[register.kind].append(register)
        chunk_size = 100
        for peer in self.list_peers():
            self.receive_message(
                peer, messages.Deltas(tuple(by_kind["bundle"]))
            )
        for start in range(0, len(by_kind["host"]), chunk_size):
            chunk = tuple(by_kind["host"][start : start + chunk_size])
            for peer in self.list_peers():
                self.receive_message(peer, messages.Deltas(chunk))

    def submit_event(self, event: Any) -> None:
        """Submit an event to the reducer and simulate its effects."""
        moment = model.Moment(self._now, 0.5)
        start = time.thread_time_ns()
        result = reducer.decide(self.state, moment, event)
        self._cpu_ns += time.thread_time_ns() - start
        for effect in result:
            handler = self._effect_handlers.get(type(effect))
            if handler is not None:
                handler(effect)

    def _open_link(self, effect: effects.OpenLink) -> None:
        if effect.host:
            self.submit_event(membership_events.LinkOpened(effect.host, True))

    def _close_link(self, effect: effects.CloseLink) -> None:
        self.submit_event(
            membership_events.LinkClosed(effect.host, effect.reason)
        )

    def _send_message(self, effect: effects.SendToPeer) -> None:
        start = time.thread_time_ns()
        data = self._encoder.encode(effect.message)
        self._cpu_ns += time.thread_time_ns() - start
        self._sent_bytes += len(data) + control_model.get_header_size(len(data))

    def _queue_probe_answer(self, effect: effects.ProbeTarget) -> None:
        self._probe_count += 1
        self._probed_targets.append(effect.target)

    def _publish_register(self, effect: effects.PublishRegister) -> None:
        event = membership_events.RegisterPublished(effect.register)
        self.submit_event(event)


def measure_single_host(
    host_count: int, group_count: int, seconds: int, repeats: int
) -> dict[str, Any]:
    """Return the cost of the steady state and of a new bundle.

    Args:
        host_count: hosts in the fleet.
        group_count: groups in the bundle.
        seconds: length of each measurement.
        repeats: number of measurements; the medians are returned.
    """
    host = SingleHost(host_count, group_count)
    steady_costs = sorted(host.run(seconds) for _ in range(repeats))
    median_cost = steady_costs[repeats // 2]
    change_costs = []
    for version in range(2, 2 + repeats):
        host.run(1)
        host.receive_bundle(version)
        cost = host.run(seconds)
        change_costs.append(cost)
    median_change = sorted(change_costs)[repeats // 2]
    return {
        "hosts": host_count,
        "groups": group_count,
        "links": len(host.list_peers()),
        "probes_per_s": median_cost.probes / seconds,
        "cpu_ms_per_s": median_cost.cpu_ms / seconds,
        "cpu_ms_per_s_range": [
            steady_costs[0].cpu_ms / seconds,
            steady_costs[-1].cpu_ms / seconds,
        ],
        "sent_bytes_per_s": median_cost.sent_bytes / seconds,
        "received_bytes_per_s": median_cost.received_bytes / seconds,
        "bundle_cpu_ms": median_change.cpu_ms - median_cost.cpu_ms,
        "bundle_sent_bytes": median_change.sent_bytes - median_cost.sent_bytes,
        "bundle_received_bytes": (
            median_change.received_bytes - median_cost.received_bytes
        ),
    }
