"""Virtual time: one queue of actions, and processes that stop and pause."""

import heapq
import itertools
import math
import random
from collections.abc import Callable

Action = Callable[[], None]

TRACE_LIMIT = 4000


class Schedule:
    """Run actions in the order of their virtual time.

    Attributes:
        now: virtual time in seconds.
        random: the only source of randomness of a run.
        trace: lines that tell what happened.
    """

    def __init__(self, seed: int) -> None:
        """Start at time 0 with an empty queue."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.trace: list[str] = []
        self._queue: list[tuple[float, int, Action]] = []
        self._count = itertools.count()

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        entry = (self.now + max(0.0, delay_s), next(self._count), action)
        heapq.heappush(self._queue, entry)

    def run_until(self, end_s: float) -> None:
        """Run every action that is due by the end time."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end_s

    def note(self, text: str) -> None:
        """Add a line to the trace and drop the oldest beyond its limit."""
        self.trace.append(f"{self.now:9.4f} {text}")
        if len(self.trace) > TRACE_LIMIT:
            del self.trace[: TRACE_LIMIT // 2]


class Process:
    """Model an operating-system process that can be killed or paused.

    Attributes:
        name: name, unique in the run.
        data_centre: name of its data centre.
        schedule: the run's schedule.
        is_running: whether it was started and not killed.
        is_frozen: whether it is paused with all its timers.
        generation: number of starts.
        thawed_at: end of the last pause.
    """

    def __init__(self, schedule: Schedule, name: str, data_centre: str) -> None:
        """Describe a process that runs from now on."""
        self.schedule = schedule
        self.name = name
        self.data_centre = data_centre
        self.is_running = True
        self.is_frozen = False
        self.generation = 1
        self.thawed_at = -math.inf
        self._due: list[Action] = []

    @property
    def places(self) -> tuple[str, str]:
        """Return the names by which a cut can meet this process."""
        return (self.name, self.data_centre)

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run an action of this process, unless it is killed before.

        What falls due during a pause runs when the process goes on.
        """
        generation = self.generation

        def run() -> None:
            if not self.is_running or self.generation != generation:
                return
            if self.is_frozen:
                self._due.append(run)
                return
            action()

        self.schedule.call_later(delay_s, run)

    def kill(self) -> None:
        """End the process with all that it has in memory."""
        self.is_running = False
        self.is_frozen = False
        self._due.clear()

    def start(self) -> None:
        """Start the process again with empty memory."""
        self.is_running = True
        self.generation += 1

    def freeze(self) -> None:
        """Pause the process."""
        self.is_frozen = True

    def thaw(self) -> None:
        """Let the process go on; what fell due runs first, in order."""
        if not self.is_frozen:
            return
        self.is_frozen = False
        self.thawed_at = self.schedule.now
        due, self._due = self._due, []
        for action in due:
            self.schedule.call_later(0.0, action)
