"""Virtual time: an event queue, and processes that can be killed or paused."""

import heapq
import itertools
import math
import random
from collections.abc import Callable

Action = Callable[[], None]

MAX_TRACE_LINES = 4000


class Schedule:
    """Event queue that runs actions in the order of their virtual time.

    Attributes:
        now: virtual time in seconds.
        random: the run's only source of randomness.
        trace: log lines of the run, oldest first.
    """

    def __init__(self, seed: int) -> None:
        """Start at time 0 with an empty queue."""
        self.now = 0.0
        self.random = random.Random(seed)
        self.trace: list[str] = []
        self._queue: list[tuple[float, int, Action]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay."""
        entry = (self.now + max(0.0, delay_s), next(self._sequence), action)
        heapq.heappush(self._queue, entry)

    def run_until(self, end_s: float) -> None:
        """Run every action that is due by the end time."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end_s

    def add_trace_line(self, text: str) -> None:
        """Add a line to the trace; drop the older half above the limit."""
        self.trace.append(f"{self.now:9.4f} {text}")
        if len(self.trace) > MAX_TRACE_LINES:
            del self.trace[: MAX_TRACE_LINES // 2]


class Process:
    """Simulated operating-system process that can be killed or paused.

    Attributes:
        name: name of the process, unique in the run.
        data_centre: name of its data centre.
        schedule: the run's schedule.
        is_running: whether it has been started and not killed since.
        is_paused: whether it and all its timers are paused.
        generation: number of times that it was started.
        resumed_at: virtual time at which the last pause ended, in seconds.
    """

    def __init__(self, schedule: Schedule, name: str, data_centre: str) -> None:
        """Create a process that is already running."""
        self.schedule = schedule
        self.name = name
        self.data_centre = data_centre
        self.is_running = True
        self.is_paused = False
        self.generation = 1
        self.resumed_at = -math.inf
        self._deferred: list[Action] = []

    @property
    def places(self) -> tuple[str, str]:
        """Return the names under which messages can be blocked."""
        return (self.name, self.data_centre)

    def call_later(self, delay_s: float, action: Action) -> None:
        """Run an action after a delay, unless the process is killed before.

        An action that falls due during a pause runs when the process resumes.
        """
        generation = self.generation

        def run() -> None:
            if not self.is_running or self.generation != generation:
                return
            if self.is_paused:
                self._deferred.append(run)
                return
            action()

        self.schedule.call_later(delay_s, run)

    def kill(self) -> None:
        """Kill the process; its memory is lost."""
        self.is_running = False
        self.is_paused = False
        self._deferred.clear()

    def start(self) -> None:
        """Start the process again with empty memory."""
        self.is_running = True
        self.generation += 1

    def pause(self) -> None:
        """Pause the process."""
        self.is_paused = True

    def resume(self) -> None:
        """Resume the process; actions that fell due run first, in order."""
        if not self.is_paused:
            return
        self.is_paused = False
        self.resumed_at = self.schedule.now
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            self.schedule.call_later(0.0, action)
