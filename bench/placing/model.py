"""Model of callers, hosts and the only target that can serve them.

Time is virtual and all random values derive from the seed, so that two policies
get the same arrivals. Transactions hold a connection and run their statements
one after the other.
"""

import dataclasses
import heapq
import itertools
import random
import zlib
from collections.abc import Callable

from bench.placing import operations
from bench.placing import teams
from knapweedtally.entry.statements import transactions

# Attempts of a caller at one operation, and the range of the delay between them
# in seconds.
CALLER_ATTEMPTS = 3
RETRY_DELAY_RANGE_S = (0.02, 0.1)

# The caller's pause between the statements of a transaction, in seconds.
THINK_TIME_S = 0.02


class Model:
    """Simulation of one policy with one seed.

    Attributes:
        classes: classes of requests.
        layout: hosts and target.
        arrivals: class, service times and time of arrival of each operation.
        tallies: outcomes by class.
        team_tallies: outcomes by class and team; empty without teams.
        used_slot_time_s: total time for which slots were occupied.
        rejections: number of statements that the target rejected.
    """

    def __init__(
        self,
        classes: tuple[operations.RequestClass, ...],
        layout: operations.Layout,
        make_policy: Callable[[random.Random], operations.Policy],
        seed: int,
        demand: teams.Demand | None = None,
    ) -> None:
        """Create a model at time 0."""
        self.classes = classes
        self.layout = layout
        self.arrivals: list[tuple[str, tuple[float, ...], float]] = []
        self.team_tallies: dict[tuple[str, str], operations.Tally] = {}
        self._demand = demand
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
            request_class.name: operations.Tally() for request_class in classes
        }
        self.used_slot_time_s = 0.0
        self.rejections = 0

    def run(self, duration_s: float) -> None:
        """Simulate arrivals for a time, and the events that they cause."""
        self._end_s = duration_s
        for request_class in self.classes:
            if self._demand is not None:
                for at_s, team in teams.draw_arrivals(
                    self._demand,
                    request_class.rate,
                    duration_s,
                    self._arrival_random,
                ):
                    arrive = self._make_arrival(request_class, at_s, team)
                    self._schedule(at_s, arrive)
                continue
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
        self,
        request_class: operations.RequestClass,
        at_s: float,
        team: str = "",
    ) -> Callable[[], None]:
        count = 1
        if self._arrival_random.random() < request_class.transaction_share:
            count = self._arrival_random.randint(*self.layout.statement_counts)
        service_times_s = tuple(
            request_class.service_time_s
            * self._arrival_random.uniform(0.5, 1.5)
            for _ in range(count)
        )

        self.arrivals.append((request_class.name, service_times_s, at_s))

        def arrive() -> None:
            request = operations.Request(
                request_class, 0.0, at_s, service_times_s, team=team
            )
            for tally in self._list_tallies(request):
                tally.operations += 1
            self._send_to_host(request)

        return arrive

    def _send_to_host(self, request: operations.Request) -> None:
        host_count = len(self._hosts)
        if self.layout.is_by_team:
            # The connections of a team are at its first holder.
            host_index = zlib.crc32(request.team.encode()) % host_count
        else:
            host_index = self._choice_random.randrange(host_count)
        request.host = host_index
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

    def _list_tallies(
        self, request: operations.Request
    ) -> list[operations.Tally]:
        tallies = [self.tallies[request.request_class.name]]
        if request.team:
            key = (request.request_class.name, request.team)
            tallies.append(
                self.team_tallies.setdefault(key, operations.Tally())
            )
        return tallies

    def _end_request(self, request: operations.Request) -> None:
        """Free the connection of a request that was sent to the target."""
        self._hosts[request.host].record_end(request, self._now_s)
        self._run_host(request.host)

    def _refuse_request(self, request: operations.Request) -> None:
        tallies = self._list_tallies(request)
        for tally in tallies:
            tally.refusal_times_s.append(self._now_s - request.arrived_s)
        delay_s = self._choice_random.uniform(*RETRY_DELAY_RANGE_S)
        retry_s = self._now_s + self.layout.caller_latency_s + delay_s
        left_s = (
            request.first_sent_s + request.request_class.deadline_s - retry_s
        )
        if request.retries + 1 >= CALLER_ATTEMPTS or left_s <= 0:
            for tally in tallies:
                tally.refused += 1
            return
        retry = dataclasses.replace(
            request, retries=request.retries + 1, attempts=0
        )
        self._schedule(retry_s, lambda: self._send_to_host(retry))

    def _send_to_target(
        self, host_index: int, request: operations.Request
    ) -> None:
        request.attempts += 1

        def handle_end(has_run: bool) -> None:
            if has_run:
                self._run_next_statement(request, 1)
                return
            self.rejections += 1
            self._hosts[host_index].record_rejection(request)
            self._run_host(host_index)

        self._submit_statement(request.service_times_s[0], handle_end)

    def _run_next_statement(
        self, request: operations.Request, number: int
    ) -> None:
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
                self._end_request(request)
                self._refuse_request(request)

        def send() -> None:
            self._submit_statement(request.service_times_s[number], handle_end)

        self._schedule(self._now_s + THINK_TIME_S, send)

    def _record_answer(self, request: operations.Request) -> None:
        self._end_request(request)
        request_class = request.request_class
        think_time_s = THINK_TIME_S * (len(request.service_times_s) - 1)
        latency_s = (
            self._now_s + self.layout.caller_latency_s - request.first_sent_s
        )
        for tally in self._list_tallies(request):
            if latency_s - think_time_s <= request_class.objective_s:
                tally.answered_in_time += 1
            elif latency_s <= request_class.deadline_s:
                tally.late += 1
            else:
                tally.refused += 1
                tally.lost += 1
                continue
            tally.latencies_s.append(latency_s - think_time_s)

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
