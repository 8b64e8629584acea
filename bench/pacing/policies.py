"""Policies that limit a host's concurrent statements to one target."""

import math
from collections.abc import Callable
from typing import Protocol

from knapweedtally.core.groups import pace_sharing
from knapweedtally.core.groups import pacing

# Interval of the hosts' messages about a target, in seconds.
SEND_INTERVAL_S = 0.25


class Policy(Protocol):
    """Limit of one host's concurrent statements to one target."""

    in_flight: int

    def has_room(self, now_s: float) -> bool:
        """Return whether another statement may be sent."""

    def record_sent(self) -> None:
        """Record that a statement was sent."""

    def record_result(
        self, result: pacing.Result, sent_s: float, now_s: float
    ) -> None:
        """Record the end of a statement."""

    def recover(self, now_s: float) -> None:
        """Record that the target answers again."""

    def tick(self, now_s: float) -> None:
        """Pass the time."""


class Unlimited:
    """Send whatever the connections allow, as before."""

    def __init__(self, slots: int, hosts: int) -> None:
        """Create the policy of one of some hosts."""
        self.in_flight = 0
        self.slots = slots
        self.hosts = hosts
        self.limit = 1000.0

    def has_room(self, now_s: float) -> bool:
        """Return whether this host's part of the limit has room."""
        return self.in_flight < max(1, math.ceil(self.limit / self.hosts))

    def record_sent(self) -> None:
        """Record that a statement was sent."""
        self.in_flight += 1

    def record_result(
        self, result: pacing.Result, sent_s: float, now_s: float
    ) -> None:
        """Record the end of a statement."""
        self.in_flight -= 1

    def recover(self, now_s: float) -> None:
        """Ignore that the target answers again."""

    def tick(self, now_s: float) -> None:
        """Ignore the time."""


class FixedRamp(Unlimited):
    """Raise the limit from one to twice the slots in five seconds."""

    started_s = float("-inf")

    def recover(self, now_s: float) -> None:
        """Start the ramp."""
        self.started_s = now_s

    def has_room(self, now_s: float) -> bool:
        """Return whether this host's part of the limit has room."""
        part = min(1.0, (now_s - self.started_s) / 5.0)
        self.limit = max(1.0, 2 * self.slots * part)
        return super().has_room(now_s)


class Aimd(Unlimited):
    """Add one per limit of answers and halve on failures, without latency."""

    decreased_s = float("-inf")

    def __init__(self, slots: int, hosts: int) -> None:
        """Begin with the slots."""
        super().__init__(slots, hosts)
        self.limit = float(slots)

    def recover(self, now_s: float) -> None:
        """Begin with one."""
        self.limit = 1.0

    def record_result(
        self, result: pacing.Result, sent_s: float, now_s: float
    ) -> None:
        """Adjust the limit."""
        super().record_result(result, sent_s, now_s)
        if result is pacing.Result.OK:
            self.limit = min(2.0 * self.slots, self.limit + 1 / self.limit)
        elif sent_s >= self.decreased_s:
            self.limit = max(1.0, self.limit / 2)
            self.decreased_s = now_s


class Gradient(Unlimited):
    """Follow the ratio of the shortest to the present time of all answers."""

    def __init__(self, slots: int, hosts: int) -> None:
        """Begin with the slots."""
        super().__init__(slots, hosts)
        self.limit = float(slots)
        self.shortest_s = self.average_s = 0.0

    def recover(self, now_s: float) -> None:
        """Begin with one."""
        self.limit = 1.0

    def record_result(
        self, result: pacing.Result, sent_s: float, now_s: float
    ) -> None:
        """Adjust the limit."""
        super().record_result(result, sent_s, now_s)
        taken_s = now_s - sent_s
        self.average_s += 0.1 * (taken_s - self.average_s)
        if not self.shortest_s or self.average_s < self.shortest_s:
            self.shortest_s = self.average_s
        self.shortest_s *= 1.001
        gradient = min(1.0, max(0.5, 1.5 * self.shortest_s / self.average_s))
        limit = self.limit * gradient + math.sqrt(self.limit)
        self.limit += 0.1 * (limit - self.limit)
        self.limit = min(2.0 * self.slots, max(1.0, self.limit))


class Adaptive:
    """The policy of the entry hosts, with shared figures."""

    def __init__(
        self,
        host: str,
        slots: int,
        is_primary: bool,
        send: Callable[[str, object], None],
    ) -> None:
        """Create the policy of a host that sends its figure to the others."""
        self.pace = pacing.Pace(slots, floor=slots if is_primary else 1)
        self.figures: dict[str, pace_sharing.Figure] = {}
        self._host = host
        self._send = send
        self._next_send_s = 0.0

    @property
    def in_flight(self) -> int:
        """Return the number of statements in flight."""
        return self.pace.in_flight

    def has_room(self, now_s: float) -> bool:
        """Return whether this host's part of the limit has room."""
        return self.pace.in_flight < self.pace.share

    def record_sent(self) -> None:
        """Record that a statement was sent."""
        pacing.record_sent(self.pace)

    def record_result(
        self, result: pacing.Result, sent_s: float, now_s: float
    ) -> None:
        """Record the end of a statement."""
        pacing.record_result(self.pace, result, sent_s, now_s)
        self._update(now_s)

    def recover(self, now_s: float) -> None:
        """Begin a slow start."""
        self.figures.clear()
        pacing.recover(self.pace, now_s)
        self._update(now_s)

    def receive(self, host: str, payload: object, now_s: float) -> None:
        """Use another host's figure."""
        _, figure = pace_sharing.decode_figure(payload, now_s)
        self.figures[host] = figure
        pace_sharing.merge_figure(self.pace, figure, 1, now_s)
        self._update(now_s)

    def tick(self, now_s: float) -> None:
        """Probe, and send the figure while the target is paced."""
        pacing.tick(self.pace, now_s)
        limit = self._update(now_s)
        if limit < self.pace.slots and now_s >= self._next_send_s:
            self._next_send_s = now_s + SEND_INTERVAL_S
            payload = pace_sharing.encode_figure("t", self.pace, 1, now_s)
            self._send(self._host, payload)

    def _update(self, now_s: float) -> int:
        allowance = pace_sharing.find_allowance(
            self.pace, self._host, 1, self.figures, now_s
        )
        self.pace.share = allowance.share
        return allowance.limit
