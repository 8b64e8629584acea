"""Simulated network: delays, reorders, loses and blocks messages."""

import math

from tests.driver import schedule as schedule_module

Process = schedule_module.Process

LOCAL_DELAY_S = 0.0003
REMOTE_DELAY_S = 0.0015
MAX_RELATIVE_JITTER = 1.0
SLOW_MESSAGE_PROBABILITY = 0.02
MAX_EXTRA_DELAY_S = 0.060
RETRANSMIT_INTERVAL_S = 0.25
MAX_RETRANSMISSIONS = 8


class Network:
    """Network that delivers messages between processes.

    A blocked message is retransmitted for a while, as TCP does, and may arrive
    late.

    Attributes:
        loss_probability: share of messages that are lost once and
            retransmitted.
        max_answer_delay_s: largest additional delay of an answer to a command
            or a probe.
    """

    def __init__(self, schedule: schedule_module.Schedule) -> None:
        """Create a network that blocks and loses no messages."""
        self.loss_probability = 0.0
        self.max_answer_delay_s = 0.0
        self._schedule = schedule
        # End of each block by source and target; infinite while it lasts.
        self._block_ends: dict[tuple[str, str], float] = {}

    def block(self, source: str, target: str) -> None:
        """Block messages in one direction.

        Args:
            source: name or data centre of the processes that send.
            target: name or data centre of the processes that receive.
        """
        self._block_ends[source, target] = math.inf

    def unblock(self, source: str, target: str) -> None:
        """Deliver messages in one direction again."""
        if (source, target) in self._block_ends:
            end = min(self._block_ends[source, target], self._schedule.now)
            self._block_ends[source, target] = end

    def heal(self) -> None:
        """Stop blocking and losing messages."""
        for pair in self._block_ends:
            self.unblock(*pair)
        self.loss_probability = 0.0
        self.max_answer_delay_s = 0.0

    def is_blocked(self, source: Process, target: Process) -> bool:
        """Return whether messages in this direction are blocked now."""
        return self.was_blocked(source, target, math.inf)

    def was_blocked(
        self, source: Process, target: Process, since: float
    ) -> bool:
        """Return whether messages were blocked at or after a time."""
        if source is target or not self._block_ends:
            return False
        return any(
            self._block_ends.get((left, right), -math.inf) >= since
            for left in source.places
            for right in target.places
        )

    def send(
        self,
        source: Process,
        target: Process,
        action: schedule_module.Action,
        max_retransmissions: float = MAX_RETRANSMISSIONS,
        outlives_source: bool = False,
    ) -> None:
        """Run an action at the target after a delay, if the message arrives.

        Args:
            source: process that sends the message.
            target: process that receives the message and runs the action.
            action: effect of the message at the target.
            max_retransmissions: how often the message is sent again while
                this direction is blocked.
            outlives_source: whether it arrives even if the process that sent
                it has ended meanwhile, as data on the way does.
        """
        draw = self._schedule.random.random
        is_local = source.data_centre == target.data_centre
        delay_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
        delay_s *= 1.0 + MAX_RELATIVE_JITTER * draw()
        if draw() < SLOW_MESSAGE_PROBABILITY:
            delay_s += MAX_EXTRA_DELAY_S * draw()
        if self.loss_probability and draw() < self.loss_probability:
            delay_s += RETRANSMIT_INTERVAL_S
        generations = (source.generation, target.generation)
        retransmissions = 0

        def arrive() -> None:
            nonlocal retransmissions
            # A restart of either process ends the connection.
            if generations[1] != target.generation:
                return
            if generations[0] != source.generation and not outlives_source:
                return
            if not self.is_blocked(source, target):
                target.call_later(0.0, action)
            elif source.is_running and retransmissions < max_retransmissions:
                retransmissions += 1
                self._schedule.call_later(RETRANSMIT_INTERVAL_S, arrive)

        self._schedule.call_later(delay_s, arrive)

    def send_answer(
        self, source: Process, target: Process, action: schedule_module.Action
    ) -> None:
        """Send an answer that may be late, even after a restart of its source.

        Args:
            source: process that answers.
            target: process that asked.
            action: effect of the answer at the target.
        """
        if not self.max_answer_delay_s:
            self.send(source, target, action)
            return
        delay_s = self.max_answer_delay_s * self._schedule.random.random()
        generation = target.generation

        def send() -> None:
            if target.generation == generation:
                self.send(source, target, action, outlives_source=True)

        self._schedule.call_later(delay_s, send)
