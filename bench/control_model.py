"""Run the control path of many hosts in one process and count its cost.

The hosts run the whole reducer in virtual time; messages are encoded as on
the wire to count their bytes. Sockets are not part of it: the cost of the
peers edge is measured with processes, in ``bench.control_processes``.
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

# Header of a websocket frame, by the length of its payload; the mask of four
# bytes, sent one way only, counts half.
SHORT_FRAME_BYTES = 125
MEDIUM_FRAME_BYTES = 65_535
MASK_BYTES = 2

PROBE_RTT_S = 0.002
SETTLE_S = 30.0


class Window(NamedTuple):
    """Hold the cost of one host over a time, as the mean of all hosts.

    Attributes:
        seconds: length of the window in virtual time.
        cpu_ms: processor time of the reducer.
        sent_bytes: websocket frames sent, without TCP and IP headers.
        messages: messages sent, by type.
    """

    seconds: float
    cpu_ms: float
    sent_bytes: float
    messages: dict[str, float]


class Fleet:
    """Drive hosts with a bundle in force and count what they do.

    Attributes:
        net: the network of reducers.
    """

    def __init__(self, sizes: list[int], groups: int, seed: int = 1) -> None:
        """Start hosts and wait until they know each other and a bundle.

        Args:
            sizes: number of hosts of each data centre.
            groups: number of groups in the bundle.
            seed: seed of the network.
        """
        self._cpu_ns = 0
        self._bytes = 0
        self._messages: collections.Counter[str] = collections.Counter()
        self._groups = groups
        self._data_centres = len(sizes)
        self._version = 0
        self._terms: dict[str, int] = {}
        self.net = network.Network(seed, sizes, self._decide)
        self.net.on_send = self._count_message
        for name in self.net.nodes:
            self._prepare(name)
        self.net.run(SETTLE_S)
        self.roll_out()
        self._open_groups()
        self.net.run(SETTLE_S)

    def measure(self, seconds: float) -> Window:
        """Run for a time and return the mean cost of one host."""
        self._cpu_ns = self._bytes = 0
        self._messages.clear()
        self.net.run(seconds)
        count = len(self.net.list_live())
        return Window(
            seconds,
            self._cpu_ns / 1e6 / count,
            self._bytes / count,
            {name: n / count for name, n in self._messages.items()},
        )

    def roll_out(self) -> None:
        """Put a new bundle in force at one host, as its watcher would."""
        self._version += 1
        value = build_bundle(self._version, self._groups, self._data_centres)
        name = min(self.net.nodes)
        event = events.ObjectSeen("bundle", "current", self._version, value)
        self.net.submit(name, event)

    def change_primary(self, term: int) -> None:
        """Publish a group's new record at one host."""
        self._terms["g0"] = term
        register = build_group_register("g0", term)
        name = min(self.net.nodes)
        self.net.submit(name, membership_events.RegisterPublished(register))

    def replace_host(self, incarnation: int) -> None:
        """End one host and start it anew."""
        self.restart_host(max(self.net.nodes), incarnation)

    def restart_host(self, name: str, incarnation: int) -> None:
        """End a host and start it anew with nothing in its state."""
        place, number = name[2:].split("-h")
        self.net.kill(name)
        self.net.add_node(int(place), int(number), incarnation)
        self._prepare(name)

    def is_settled(self) -> bool:
        """Return whether every host knows all hosts and the bundle."""
        count = len(self.net.list_live())
        return all(
            len(hosts.live_hosts(node.state)) == count
            and node.state.draining.bundle_version == self._version
            for node in self.net.list_live()
        )

    def _prepare(self, name: str) -> None:
        state = self.net.nodes[name].state
        state.bundles.keys = {SIGNER: signatures.derive_public_key(PRIVATE_KEY)}

    def _open_groups(self) -> None:
        name = min(self.net.nodes)
        for number in range(self._groups):
            register = build_group_register(f"g{number}", 1)
            event = membership_events.RegisterPublished(register)
            self.net.submit(name, event)

    def _decide(
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
        self._messages[type(message).__name__] += 1
        self._bytes += get_frame_size(message)


def get_frame_size(message: messages.Message) -> int:
    """Return the size of a message's websocket frame in bytes."""
    length = len(codec.encode_message(message))
    return length + get_header_size(length)


def get_header_size(length: int) -> int:
    """Return the mean size of a websocket frame's header in bytes."""
    header = 2 + MASK_BYTES
    if length > MEDIUM_FRAME_BYTES:
        header += 8
    elif length > SHORT_FRAME_BYTES:
        header += 2
    return header


def build_bundle(
    version: int, groups: int, data_centres: int
) -> dict[str, Any]:
    """Return the plain form of a signed bundle."""
    built = {
        f"g{number}": build_group(number, data_centres)
        for number in range(groups)
    }
    bundle = model.Bundle(version, "", built, SIGNER)
    value = bundles_codec.dump_bundle(bundle)
    value["signature"] = signatures.sign(value, PRIVATE_KEY)
    return value


def build_group(number: int, data_centres: int) -> model.Group:
    """Return a group with a target in each of three data centres."""
    targets = []
    for replica in range(TARGETS_PER_GROUP):
        place = (number + replica) % data_centres + 1
        address = f"127.0.{place}.{100 + number % 100}"
        targets.append(
            model.Target(
                f"g{number}-{replica}",
                address,
                TARGET_PORT + number // 100,
                f"dc{place}",
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
        terms: terms of groups that are past their first one.
    """
    group, _, replica = target.rpartition("-")
    term = terms.get(group, 1)
    report = model.TargetReport(target, term, 100, 5.0, replica == "0")
    return events.ProbeAnswered(report, f"{group}-0", term, 100, 1.0)
