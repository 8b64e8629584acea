"""Run the control path of many hosts in one process and measure its cost.

The hosts run the complete reducer in virtual time; messages are encoded as on
the wire to count their bytes. Sockets are not included: the cost of the peers
adapter is measured with real processes, in ``bench.control_processes``.
"""

import collections
import time
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import reducer
from knapweedtally.core.bundles import codec as bundles_codec
from knapweedtally.core.bundles import signatures
from knapweedtally.core.membership import events as membership_events
from knapweedtally.core.membership import hosts
from knapweedtally.core.membership import messages
from knapweedtally.peers import codec
from tests.membership import network

SIGNER = "bench"
PRIVATE_KEY = bytes(range(32))
TARGETS_PER_GROUP = 3
TARGET_PORT = 5432

# The header of a websocket frame grows with the length of its payload. The mask
# of four bytes counts half, because only one side of a link sends it.
MAX_SHORT_PAYLOAD_BYTES = 125
MAX_MEDIUM_PAYLOAD_BYTES = 65_535
MEAN_MASK_BYTES = 2

PROBE_RTT_S = 0.002
SETTLE_S = 30.0


class Window(NamedTuple):
    """Mean cost per host over a time.

    Attributes:
        seconds: length of the window in virtual time.
        cpu_ms: processor time of the reducer.
        sent_bytes: websocket frames sent, without TCP and IP headers.
        messages: number of messages sent, by type.
    """

    seconds: float
    cpu_ms: float
    sent_bytes: float
    messages: dict[str, float]


class Fleet:
    """Hosts with a bundle in force, and counters of their cost.

    Attributes:
        net: network of reducers.
    """

    def __init__(self, sizes: list[int], groups: int, seed: int = 1) -> None:
        """Start hosts and wait until they know each other and the bundle.

        Args:
            sizes: number of hosts of each data centre.
            groups: number of groups in the bundle.
            seed: seed of the network.
        """
        self._cpu_ns = 0
        self._sent_bytes = 0
        self._message_counts: collections.Counter[str] = collections.Counter()
        self._groups = groups
        self._data_centres = len(sizes)
        self._version = 0
        self._terms: dict[str, int] = {}
        self.net = network.Network(seed, sizes, self._run_reducer)
        self.net.on_send = self._count_message
        for name in self.net.nodes:
            self._set_bundle_keys(name)
        self.net.run(SETTLE_S)
        self.roll_out()
        self._publish_groups()
        self.net.run(SETTLE_S)

    def measure(self, seconds: float) -> Window:
        """Run for a time and return the mean cost per host."""
        self._cpu_ns = self._sent_bytes = 0
        self._message_counts.clear()
        self.net.run(seconds)
        count = len(self.net.list_live())
        return Window(
            seconds,
            self._cpu_ns / 1e6 / count,
            self._sent_bytes / count,
            {name: n / count for name, n in self._message_counts.items()},
        )

    def roll_out(self) -> None:
        """Submit a new bundle to one host, as its platform watch would."""
        self._version += 1
        value = build_bundle(self._version, self._groups, self._data_centres)
        name = min(self.net.nodes)
        event = events.ObjectSeen("bundle", "current", self._version, value)
        self.net.submit(name, event)

    def change_primary(self, term: int) -> None:
        """Publish a group's record of a new term at one host."""
        self._terms["g0"] = term
        register = build_group_register("g0", term)
        name = min(self.net.nodes)
        self.net.submit(name, membership_events.RegisterPublished(register))

    def replace_host(self, incarnation: int) -> None:
        """Restart the last host with a new incarnation."""
        self.restart_host(max(self.net.nodes), incarnation)

    def restart_host(self, name: str, incarnation: int) -> None:
        """Kill a host and start it with an empty state."""
        data_centre, number = name[2:].split("-h")
        self.net.kill_node(name)
        self.net.add_node(int(data_centre), int(number), incarnation)
        self._set_bundle_keys(name)

    def has_converged(self) -> bool:
        """Return whether every host knows all hosts and the newest bundle."""
        count = len(self.net.list_live())
        return all(
            len(hosts.get_live_hosts(node.state)) == count
            and node.state.draining.bundle_version == self._version
            for node in self.net.list_live()
        )

    def _set_bundle_keys(self, name: str) -> None:
        state = self.net.nodes[name].state
        state.bundles.keys = {SIGNER: signatures.derive_public_key(PRIVATE_KEY)}

    def _publish_groups(self) -> None:
        name = min(self.net.nodes)
        for number in range(self._groups):
            register = build_group_register(f"g{number}", 1)
            event = membership_events.RegisterPublished(register)
            self.net.submit(name, event)

    def _run_reducer(
        self, state: Any, moment: model.Moment, event: Any
    ) -> list[effects.Effect]:
        start = time.thread_time_ns()
        result = reducer.decide(state, moment, event)
        self._cpu_ns += time.thread_time_ns() - start
        for effect in result:
            if isinstance(effect, effects.ProbeTarget):
                answer = build_probe_answer(effect.target, self._terms)
                self.net.submit_later(PROBE_RTT_S, state.identity.host, answer)
        return result

    def _count_message(self, sender: str, peer: str, message: Any) -> None:
        self._message_counts[type(message).__name__] += 1
        self._sent_bytes += get_frame_size(message)


def get_frame_size(message: messages.Message) -> int:
    """Return the size of a message's websocket frame in bytes."""
    length = len(codec.encode_message(message))
    return length + get_header_size(length)


def get_header_size(length: int) -> int:
    """Return the mean size of a websocket frame's header in bytes."""
    header = 2 + MEAN_MASK_BYTES
    if length > MAX_MEDIUM_PAYLOAD_BYTES:
        header += 8
    elif length > MAX_SHORT_PAYLOAD_BYTES:
        header += 2
    return header


def build_bundle(
    version: int, groups: int, data_centres: int
) -> dict[str, Any]:
    """Return a signed bundle as plain data."""
    built = {
        f"g{number}": build_group(number, data_centres)
        for number in range(groups)
    }
    bundle = model.Bundle(version, "", built, SIGNER)
    value = bundles_codec.dump_bundle(bundle)
    value["signature"] = signatures.sign_bundle(value, PRIVATE_KEY)
    return value


def build_group(number: int, data_centres: int) -> model.Group:
    """Return a group with targets in consecutive data centres."""
    targets = []
    for replica in range(TARGETS_PER_GROUP):
        data_centre = (number + replica) % data_centres + 1
        address = f"127.0.{data_centre}.{100 + number % 100}"
        targets.append(
            model.Target(
                f"g{number}-{replica}",
                address,
                TARGET_PORT + number // 100,
                f"dc{data_centre}",
            )
        )
    rule = model.ReadRule(frozenset({"readings", "alarms"}), 0)
    return model.Group(f"g{number}", tuple(targets), read_rules=(rule,))


def build_group_register(name: str, term: int) -> model.Register:
    """Return the register of a group whose first target is the primary."""
    value: dict[str, object] = {
        "version": term,
        "term": term,
        "phase": "open",
        "primary": f"{name}-0",
        "operation": f"operation-{name}-{term}",
        "preferred": "",
    }
    return model.Register("group", name, (term, 1, term), value)


def build_probe_answer(
    target: str, terms: Mapping[str, int]
) -> events.ProbeAnswered:
    """Return the answer of a healthy target.

    Args:
        target: id of the target.
        terms: current terms of groups, if later than the first.
    """
    group, _, replica = target.rpartition("-")
    term = terms.get(group, 1)
    report = model.TargetReport(target, term, 100, 5.0, replica == "0")
    return events.ProbeAnswered(report, f"{group}-0", term, 100, 1.0)
