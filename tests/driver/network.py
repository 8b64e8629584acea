"""Messages between processes: delayed, reordered, lost or cut off."""

from tests.driver import schedule as schedule_module

Process = schedule_module.Process

NEAR_DELAY_S = 0.0003
FAR_DELAY_S = 0.0015
JITTER = 1.0
SLOW_SHARE = 0.02
SLOW_DELAY_S = 0.060


class Network:
    """Carry messages between processes.

    Attributes:
        loss: share of messages that are lost.
    """

    def __init__(self, schedule: schedule_module.Schedule) -> None:
        """Connect everything with everything."""
        self.loss = 0.0
        self._schedule = schedule
        self._cuts: set[tuple[str, str]] = set()

    def cut(self, source: str, target: str) -> None:
        """Drop messages from one place to another: name or data centre."""
        self._cuts.add((source, target))

    def heal(self) -> None:
        """Remove all cuts and losses."""
        self._cuts.clear()
        self.loss = 0.0

    def heal_cut(self, source: str, target: str) -> None:
        """Remove one cut."""
        self._cuts.discard((source, target))

    def is_cut(self, source: Process, target: Process) -> bool:
        """Return whether messages in this direction are dropped."""
        if source is target:
            return False
        return any(
            (left, right) in self._cuts
            for left in (*source.places, "*")
            for right in (*target.places, "*")
        )

    def send(
        self,
        source: Process,
        target: Process,
        action: schedule_module.Action,
    ) -> None:
        """Run an action at the target after a delay, or never."""
        draw = self._schedule.random.random
        if self.is_cut(source, target) or draw() < self.loss:
            return
        is_near = source.data_centre == target.data_centre
        delay_s = NEAR_DELAY_S if is_near else FAR_DELAY_S
        delay_s *= 1.0 + JITTER * draw()
        if draw() < SLOW_SHARE:
            delay_s += SLOW_DELAY_S * draw()
        generation = target.generation

        def arrive() -> None:
            # A cut stops what is on its way, and a connection doesn't
            # outlive its process.
            is_same = target.generation == generation
            if is_same and not self.is_cut(source, target):
                target.call_later(0.0, action)

        self._schedule.call_later(delay_s, arrive)
