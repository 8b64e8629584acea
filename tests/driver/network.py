"""Messages between processes: delayed, reordered, lost or cut off."""

import math

from tests.driver import schedule as schedule_module

Process = schedule_module.Process

NEAR_DELAY_S = 0.0003
FAR_DELAY_S = 0.0015
JITTER = 1.0
SLOW_SHARE = 0.02
SLOW_DELAY_S = 0.060
RETRANSMIT_S = 0.25
RETRANSMIT_LIMIT = 8


class Network:
    """Carry messages between processes.

    What a cut stops is sent again for a while, as TCP does, and may arrive
    late.

    Attributes:
        loss: share of messages that have to be sent again.
    """

    def __init__(self, schedule: schedule_module.Schedule) -> None:
        """Connect everything with everything."""
        self.loss = 0.0
        self._schedule = schedule
        # When each cut ended; infinite while it lasts.
        self._cuts: dict[tuple[str, str], float] = {}

    def cut(self, source: str, target: str) -> None:
        """Stop messages from one place to another: name or data centre."""
        self._cuts[source, target] = math.inf

    def heal_cut(self, source: str, target: str) -> None:
        """End one cut."""
        if (source, target) in self._cuts:
            end = min(self._cuts[source, target], self._schedule.now)
            self._cuts[source, target] = end

    def heal(self) -> None:
        """End all cuts and losses."""
        for pair in self._cuts:
            self.heal_cut(*pair)
        self.loss = 0.0

    def is_cut(self, source: Process, target: Process) -> bool:
        """Return whether messages in this direction are stopped now."""
        return self.was_cut(source, target, math.inf)

    def was_cut(self, source: Process, target: Process, since: float) -> bool:
        """Return whether a cut in this direction lasted beyond a time."""
        if source is target or not self._cuts:
            return False
        return any(
            self._cuts.get((left, right), -math.inf) >= since
            for left in source.places
            for right in target.places
        )

    def send(
        self,
        source: Process,
        target: Process,
        action: schedule_module.Action,
    ) -> None:
        """Run an action at the target after a delay, or never."""
        draw = self._schedule.random.random
        is_near = source.data_centre == target.data_centre
        delay_s = NEAR_DELAY_S if is_near else FAR_DELAY_S
        delay_s *= 1.0 + JITTER * draw()
        if draw() < SLOW_SHARE:
            delay_s += SLOW_DELAY_S * draw()
        if self.loss and draw() < self.loss:
            delay_s += RETRANSMIT_S
        generations = (source.generation, target.generation)
        tries = 0

        def arrive() -> None:
            nonlocal tries
            # A connection doesn't outlive the process at either end.
            if generations != (source.generation, target.generation):
                return
            if not self.is_cut(source, target):
                target.call_later(0.0, action)
            elif source.is_running and tries < RETRANSMIT_LIMIT:
                tries += 1
                self._schedule.call_later(RETRANSMIT_S, arrive)

        self._schedule.call_later(delay_s, arrive)
