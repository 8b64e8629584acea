"""Model of callers, hosts and the only target that can serve them.

Time is virtual and all random values derive from the seed, so that two policies
get the same arrivals. Transactions hold a connection and run their statements
one after the other.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from knapweedtally.entry import transactions


class RequestClass(NamedTuple):
    """Class of requests.

    Attributes:
        name: name of the class.
        rate: arrivals per second.
        service_time_s: mean time that a statement occupies a slot.
        objective_s: time within which an answer has its full utility.
        deadline_s: time after which the caller stops waiting.
        priority: priority of the requests; 0 is the most urgent.
        utility: utility of an answer within the objective.
        late_utility_share: utility of a later answer, as a share of the full
            utility.
        transaction_share: share of requests that are transactions.
    """

    name: str
    rate: float
    service_time_s: float
    objective_s: float
    deadline_s: float
    priority: int
    utility: float
    late_utility_share: float
    transaction_share: float


class Layout(NamedTuple):
    """Parameters of the hosts and the target.

    Attributes:
        hosts: number of hosts.
        slots: number of statements that the target runs concurrently.
        queue_limit: number of statements that may wait at the target; it
            rejects further ones.
        target_latency_s: one-way latency between a host and the target.
        caller_latency_s: one-way latency between a caller and a host.
    """

    hosts: int = 71
    slots: int = 3
    queue_limit: int = 24
    target_latency_s: float = 0.0005
    caller_latency_s: float = 0.003


# Attempts of a caller at one operation, and the range of the delay between them
# in seconds.
CALLER_ATTEMPTS = 3
RETRY_DELAY_RANGE_S = (0.02, 0.1)

# Range of the number of statements of a transaction, including its commit, and
# the caller's pause between them in seconds.
STATEMENT_COUNT_RANGE = (2, 6)
THINK_TIME_S = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Attempt of a caller at one operation, on one host.

    Attributes:
        request_class: class of the request.
        arrived_s: time at which it reached the host.
        first_sent_s: time at which the caller sent the first attempt.
        service_times_s: time that each of its statements occupies a slot.
        retries: number of earlier attempts of the caller.
        attempts: number of times that the host sent it to the target.
    """

    request_class: RequestClass
    arrived_s: float
    first_sent_s: float
    service_times_s: tuple[float, ...]
    retries: int = 0
    attempts: int = 0


class Policy(Protocol):
    """Decisions of one host."""

    def add_request(self, request: Request, now_s: float) -> None:
        """Accept a new request."""

    def record_rejection(self, request: Request) -> None:
        """Record that the target rejected a request: its queue is full."""

    def take_actions(self) -> "Actions":
        """Remove and return the requests to send and to refuse now."""


class Actions(NamedTuple):
    """Requests that a host sends and refuses.

    Attributes:
        sent: requests to send to the target.
        refused: requests to refuse.
    """

    sent: list[Request]
    refused: list[Request]


@dataclasses.dataclass
class Tally:
    """Outcomes of the operations of one class.

    Attributes:
        operations: number of operations.
        answered_in_time: number of operations answered within the objective.
        late: number of operations answered later, but before the deadline.
        refused: number of operations whose last attempt was refused or that
            were answered after the deadline.
        refusal_times_s: time from arrival to refusal of each refused attempt.
    """

    operations: int = 0
    answered_in_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_times_s: list[float] = dataclasses.field(default_factory=list)


class Model:
    """Simulation of one policy with one seed.

    Attributes:
        classes: classes of requests.
        layout: hosts and target.
        arrivals: class and service times of each operation.
        tallies: outcomes by class.
        used_slot_time_s: total time for which slots were occupied.
        rejections: number of statements that the target rejected.
    """

    def __init__(
        self,
        classes: tuple[RequestClass, ...],
        layout: Layout,
        make_policy: Callable[[random.Random], Policy],
        seed: int,
    ) -> None:
        """Create a model at time 0."""
        self.classes = classes
        self.layout = layout
        self.arrivals: list[tuple[str, tuple[float, ...]]] = []
        self._arrival_random = random.Random(seed)
        self._choice_random = random.Random(seed + 1)
        self._hosts = [
            make_policy(self._choice_random) for _ in range(layout.hosts)
        ]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._now_s = 0.0
        self._end_s = 0.0
        self._busy_slots = 0
        self._queue: list[tuple[float, Callable[[], None]]] = []
        self.tallies = {
            request_class.name: Tally() for request_class in classes
        }
        self.used_slot_time_s = 0.0
        self.rejections = 0

    def run(self, duration_s: float) -> None:
        """Simulate arrivals for a time, and the events that they cause."""
        self._end_s = duration_s
        for request_class in self.classes:
            at_s = self._arrival_random.expovariate(request_class.rate)
            while at_s < duration_s:
                self._schedule(at_s, self._make_arrival(request_class, at_s))
                at_s += self._arrival_random.expovariate(request_class.rate)
        while self._events:
            self._now_s, _, callback = heapq.heappop(self._events)
            callback()

    def poll_status(
        self,
        interval_s: float,
        service_time_s: float,
        on_end: Callable[[bool, float, float], None],
    ) -> None:
        """Poll the status of the target while there are arrivals.

        Args:
            interval_s: time between polls.
            service_time_s: time that a poll occupies a slot.
            on_end: callback; receives whether the poll ran, its duration and
                the current time, in seconds.
        """

        def poll() -> None:
            sent_s = self._now_s
            self._submit_statement(
                service_time_s,
                lambda has_run: on_end(
                    has_run, self._now_s - sent_s, self._now_s
                ),
            )
            if self._now_s < self._end_s:
                self._schedule(self._now_s + interval_s, poll)

        self._schedule(interval_s, poll)

    def compute_utility(self) -> float:
        """Return the earned utility as a share of the total utility."""
        earned_utility = total_utility = 0.0
        for request_class in self.classes:
            tally = self.tallies[request_class.name]
            total_utility += request_class.utility * tally.operations
            late = request_class.late_utility_share * tally.late
            earned_utility += request_class.utility * (
                tally.answered_in_time + late
            )
        return earned_utility / total_utility if total_utility else 1.0

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        heapq.heappush(
            self._events, (at_s, next(self._sequence_numbers), callback)
        )

    def _make_arrival(
        self, request_class: RequestClass, at_s: float
    ) -> Callable[[], None]:
        count = 1
        if self._arrival_random.random() < request_class.transaction_share:
            count = self._arrival_random.randint(*STATEMENT_COUNT_RANGE)
        service_times_s = tuple(
            request_class.service_time_s
            * self._arrival_random.uniform(0.5, 1.5)
            for _ in range(count)
        )

        self.arrivals.append((request_class.name, service_times_s))

        def arrive() -> None:
            self.tallies[request_class.name].operations += 1
            self._send_to_host(
                Request(request_class, 0.0, at_s, service_times_s)
            )

        return arrive

    def _send_to_host(self, request: Request) -> None:
        host_index = self._choice_random.randrange(len(self._hosts))
        request.arrived_s = self._now_s + self.layout.caller_latency_s

        def arrive() -> None:
            self._hosts[host_index].add_request(request, self._now_s)
            self._run_host(host_index)

        self._schedule(request.arrived_s, arrive)

    def _run_host(self, host_index: int) -> None:
        actions = self._hosts[host_index].take_actions()
        for request in actions.refused:
            self._refuse_request(request)
        for request in actions.sent:
            self._send_to_target(host_index, request)

    def _refuse_request(self, request: Request) -> None:
        tally = self.tallies[request.request_class.name]
        tally.refusal_times_s.append(self._now_s - request.arrived_s)
        delay_s = self._choice_random.uniform(*RETRY_DELAY_RANGE_S)
        retry_s = self._now_s + self.layout.caller_latency_s + delay_s
        left_s = (
            request.first_sent_s + request.request_class.deadline_s - retry_s
        )
        if request.retries + 1 >= CALLER_ATTEMPTS or left_s <= 0:
            tally.refused += 1
            return
        retry = dataclasses.replace(
            request, retries=request.retries + 1, attempts=0
        )
        self._schedule(retry_s, lambda: self._send_to_host(retry))

    def _send_to_target(self, host_index: int, request: Request) -> None:
        request.attempts += 1

        def handle_end(has_run: bool) -> None:
            if has_run:
                self._run_next_statement(request, 1)
                return
            self.rejections += 1
            self._hosts[host_index].record_rejection(request)
            self._run_host(host_index)

        self._submit_statement(request.service_times_s[0], handle_end)

    def _run_next_statement(self, request: Request, number: int) -> None:
        """Run the next statement of a transaction, or answer the caller."""
        if number == len(request.service_times_s):
            self._record_answer(request)
            return

        def handle_end(has_run: bool) -> None:
            if has_run:
                self._run_next_statement(request, number + 1)
            elif (
                self._now_s
                < request.first_sent_s + request.request_class.deadline_s
            ):
                self._schedule(self._now_s + transactions.RETRY_DELAY_S, send)
            else:
                self._refuse_request(request)

        def send() -> None:
            self._submit_statement(request.service_times_s[number], handle_end)

        self._schedule(self._now_s + THINK_TIME_S, send)

    def _record_answer(self, request: Request) -> None:
        request_class, tally = (
            request.request_class,
            self.tallies[request.request_class.name],
        )
        think_time_s = THINK_TIME_S * (len(request.service_times_s) - 1)
        latency_s = (
            self._now_s + self.layout.caller_latency_s - request.first_sent_s
        )
        if latency_s - think_time_s <= request_class.objective_s:
            tally.answered_in_time += 1
        elif latency_s <= request_class.deadline_s:
            tally.late += 1
        else:
            tally.refused += 1

    def _submit_statement(
        self, service_time_s: float, on_end: Callable[[bool], None]
    ) -> None:
        """Send a statement to the target, which runs, queues or rejects it."""

        def arrive() -> None:
            if self._busy_slots < self.layout.slots:
                self._run_statement(service_time_s, on_end)
            elif len(self._queue) < self.layout.queue_limit:
                self._queue.append((service_time_s, lambda: on_end(True)))
            else:
                returned_s = self._now_s + self.layout.target_latency_s
                self._schedule(returned_s, lambda: on_end(False))

        self._schedule(self._now_s + self.layout.target_latency_s, arrive)

    def _run_statement(
        self, service_time_s: float, on_end: Callable[[bool], None]
    ) -> None:
        self._busy_slots += 1
        self.used_slot_time_s += service_time_s

        def end() -> None:
            self._busy_slots -= 1
            returned_s = self._now_s + self.layout.target_latency_s
            self._schedule(returned_s, lambda: on_end(True))
            if self._queue:
                next_service_time_s, notify = self._queue.pop(0)
                self._run_statement(next_service_time_s, lambda _: notify())

        self._schedule(self._now_s + service_time_s, end)
