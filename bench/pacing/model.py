"""Hosts, targets and callers in virtual time."""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bench.pacing import policies
from knapweedtally.core.groups import pacing
from knapweedtally.core.groups import placement

SLOTS = 4
HOSTS = 4
TARGETS = 3
# Connections of a host to a target, and statements that a target queues before
# it refuses more.
CONNECTIONS = 12
QUEUE_LENGTH = 24
WORK_S = (0.0068, 0.034, 0.020)
OBJECTIVE_S = 0.203
# A host refuses a request that has waited this long: with the objective, it
# would be late. Applies to all policies alike, since their queues differ only
# in place.
MAX_WAIT_S = 0.15
MAX_ATTEMPTS = 4
# Share of the requests that only the primary, target 0, can serve.
PRIMARY_SHARE = 0.2
TICK_S = 0.05
REFUSAL_S = 0.001


class Scenario(NamedTuple):
    """What happens to the targets, and the load.

    Attributes:
        name: name in the table.
        rate_per_s: requests per second of all hosts.
        outages: target, start and end of each outage.
        slowness: factor on the work of a target's statement, from the target,
            the time and the statements that it has answered since its start.
        error_share: share of the statements that fail at once, by target and
            time.
        watched: target whose idle time is measured.
        since_s: start of the time in which everything is counted.
        duration_s: end of the run.
    """

    name: str
    rate_per_s: float
    outages: tuple[tuple[int, float, float], ...] = ()
    slowness: Callable[[int, float, int], float] = lambda t, now, n: 1.0
    error_share: Callable[[int, float], float] = lambda t, now: 0.0
    watched: int = 1
    since_s: float = 3.0
    duration_s: float = 10.0


@dataclasses.dataclass(eq=False)
class Request:
    """A caller's request."""

    arrived_s: float
    is_primary_only: bool
    attempts: int = 0
    excluded: frozenset[int] = frozenset()
    is_done: bool = False


@dataclasses.dataclass
class Tally:
    """What callers got, and how a target was used.

    Attributes:
        in_time: answers within the objective.
        late: later answers.
        refused: requests without an answer.
        idle_s: time of the watched target's slots that were idle while
            requests that it may serve waited.
        peak_queue: longest queue at the watched target.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    idle_s: float = 0.0
    peak_queue: int = 0


@dataclasses.dataclass(eq=False)
class Target:
    """A target with slots and a queue."""

    number: int
    is_up: bool = True
    life: int = 0
    running: int = 0
    answered: int = 0
    queue: list[tuple[Any, ...]] = dataclasses.field(default_factory=list)


class Simulation:
    """One run of a scenario with one policy."""

    def __init__(
        self, scenario: Scenario, make_policy: Callable[..., Any], seed: int
    ) -> None:
        """Create hosts and targets.

        Args:
            scenario: what happens.
            make_policy: called with the simulation, host and target.
            seed: of the random numbers.
        """
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.tally = Tally()
        self.sent = 0
        self.messages = 0
        self.targets = [Target(number) for number in range(TARGETS)]
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._idle_since_s = 0.0
        self.policies: list[list[policies.Policy]] = [
            [make_policy(self, host, t) for t in range(TARGETS)]
            for host in range(HOSTS)
        ]
        self.loads = [
            [placement.TargetLoad(str(t)) for t in range(TARGETS)]
            for _ in range(HOSTS)
        ]
        self.queues: list[list[Request]] = [[] for _ in range(HOSTS)]

    def call_at(self, time_s: float, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self._events, (time_s, next(self._order), call))

    def run(self) -> Tally:
        """Run the scenario and return what was counted."""
        for number, start_s, end_s in self.scenario.outages:
            self.call_at(start_s, functools.partial(self._fail, number))
            self.call_at(end_s, functools.partial(self._start, number))
        self.call_at(0.0, self._arrive)
        self.call_at(0.0, self._tick)
        while self._events:
            time_s, _, call = heapq.heappop(self._events)
            if time_s > self.scenario.duration_s:
                break
            self._count_idle(time_s)
            self.now_s = time_s
            call()
        return self.tally

    def _count_idle(self, until_s: float) -> None:
        target = self.targets[self.scenario.watched]
        queues = self.queues
        is_wanted = any(
            not r.is_primary_only or target.number == 0
            for queue in queues
            for r in queue
        )
        if target.is_up and is_wanted and until_s > self.scenario.since_s:
            idle = SLOTS - target.running
            self.tally.idle_s += idle * (until_s - self.now_s)

    def _arrive(self) -> None:
        host = self.rng.randrange(HOSTS)
        is_primary_only = self.rng.random() < PRIMARY_SHARE
        self.queues[host].append(Request(self.now_s, is_primary_only))
        self._dispatch(host)
        wait_s = self.rng.expovariate(self.scenario.rate_per_s)
        self.call_at(self.now_s + wait_s, self._arrive)

    def _tick(self) -> None:
        for host in range(HOSTS):
            for policy in self.policies[host]:
                policy.tick(self.now_s)
            queue = self.queues[host]
            for request in tuple(queue):
                if self.now_s - request.arrived_s > MAX_WAIT_S:
                    queue.remove(request)
                    self._finish(request, False)
            self._dispatch(host)
        self.call_at(self.now_s + TICK_S, self._tick)

    def _dispatch(self, host: int) -> None:
        for request in tuple(self.queues[host]):
            number = self._choose(host, request)
            if number is not None:
                self.queues[host].remove(request)
                self._send(host, number, request)

    def _choose(self, host: int, request: Request) -> int | None:
        best, best_cost = None, 0.0
        for number, load in enumerate(self.loads[host]):
            policy = self.policies[host][number]
            if number and (
                request.is_primary_only
                or number in request.excluded
                or load.backoff_until_s > self.now_s
            ):
                continue
            if not load.is_responsive or policy.in_flight >= CONNECTIONS:
                continue
            is_avoided = number == 0 and not request.is_primary_only
            cost = placement.estimate_answer_s(load, is_avoided)
            if policy.has_room(self.now_s) and (
                best is None or cost < best_cost
            ):
                best, best_cost = number, cost
        return best

    def _send(self, host: int, number: int, request: Request) -> None:
        target = self.targets[number]
        self.sent += 1
        request.attempts += 1
        self.policies[host][number].record_sent()
        self.loads[host][number].running += 1
        sent = (host, number, request, self.now_s, target.life)
        share = self.scenario.error_share(number, self.now_s)
        if self.rng.random() < share:
            self._end_later(sent, pacing.Result.FAILED)
        elif len(target.queue) >= QUEUE_LENGTH:
            self._end_later(sent, pacing.Result.REFUSED)
        else:
            target.queue.append(sent)
            if number == self.scenario.watched and (
                self.now_s >= self.scenario.since_s
            ):
                self.tally.peak_queue = max(
                    self.tally.peak_queue, len(target.queue)
                )
            self._run_next(target)

    def _end_later(self, sent: tuple[Any, ...], result: pacing.Result) -> None:
        self.call_at(
            self.now_s + REFUSAL_S, functools.partial(self._end, sent, result)
        )

    def _run_next(self, target: Target) -> None:
        while target.is_up and target.queue and target.running < SLOTS:
            sent = target.queue.pop(0)
            target.running += 1
            factor = self.scenario.slowness(
                target.number, self.now_s, target.answered
            )
            work_s = self.rng.choice(WORK_S) * factor
            self.call_at(
                self.now_s + work_s,
                functools.partial(self._complete, target, sent),
            )

    def _complete(self, target: Target, sent: tuple[Any, ...]) -> None:
        if sent[4] != target.life:
            return
        target.running -= 1
        target.answered += 1
        self._end(sent, pacing.Result.OK)
        self._run_next(target)

    def _end(self, sent: tuple[Any, ...], result: pacing.Result) -> None:
        host, number, request, sent_s, _ = sent
        load = self.loads[host][number]
        load.running -= 1
        policy = self.policies[host][number]
        policy.record_result(result, sent_s, self.now_s)
        if result is pacing.Result.OK:
            placement.record_run_time(load, self.now_s - sent_s)
            self._finish(request, True)
        else:
            placement.record_failure(load, self.now_s)
            if result is not pacing.Result.REFUSED:
                request.excluded |= {number}
            if request.attempts < MAX_ATTEMPTS:
                self.queues[host].append(request)
            else:
                self._finish(request, False)
        self._dispatch(host)

    def _finish(self, request: Request, is_served: bool) -> None:
        if request.arrived_s < self.scenario.since_s:
            return
        if not is_served:
            self.tally.refused += 1
        elif self.now_s - request.arrived_s <= OBJECTIVE_S:
            self.tally.in_time += 1
        else:
            self.tally.late += 1

    def _fail(self, number: int) -> None:
        target = self.targets[number]
        target.is_up = False
        target.life += 1
        lost, target.queue = target.queue, []
        target.running = target.answered = 0
        for host in range(HOSTS):
            self.loads[host][number].is_responsive = False
        for sent in lost:
            self._end(sent, pacing.Result.LOST)
        # Statements that ran are lost too; their hosts count none in flight.
        for host in range(HOSTS):
            policy, load = self.policies[host][number], self.loads[host][number]
            while policy.in_flight:
                policy.record_result(pacing.Result.LOST, self.now_s, self.now_s)
            load.running = 0

    def _start(self, number: int) -> None:
        self.targets[number].is_up = True
        for host in range(HOSTS):
            # Hosts retry the connection at this interval.
            wait_s = self.rng.uniform(0.0, 0.2)
            self.call_at(
                self.now_s + wait_s,
                functools.partial(self._recover, host, number),
            )

    def _recover(self, host: int, number: int) -> None:
        load = self.loads[host][number]
        load.is_responsive, load.failures = True, 0
        load.backoff_until_s = 0.0
        self.policies[host][number].recover(self.now_s)
        self._dispatch(host)


def make_adaptive(
    simulation: Simulation, host: int, number: int
) -> policies.Adaptive:
    """Return the entry hosts' policy, which tells the other hosts."""

    def send(name: str, payload: object) -> None:
        for other in range(HOSTS):
            if other == host:
                continue
            simulation.messages += 1
            policy: Any = simulation.policies[other][number]
            simulation.call_at(
                simulation.now_s + 0.001,
                lambda policy=policy: policy.receive(  # type: ignore[misc]
                    name, payload, simulation.now_s
                ),
            )

    return policies.Adaptive(f"h{host}", SLOTS, number == 0, send)
