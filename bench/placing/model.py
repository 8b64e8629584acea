"""A model of callers, hosts and one target that is the only one to serve them.

Time is virtual and every draw comes from the seed, so two policies see the same
arrivals. Transactions hold a connection and run their statements one by one.
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
    """Describe one kind of request.

    Attributes:
        name: its name.
        rate: arrivals a second.
        work_s: mean time in a slot of one statement.
        objective_s: time within which an answer is worth all.
        deadline_s: time after which the caller has left.
        priority: 0 is served first.
        worth: of an answer within the objective.
        late_worth: of a later one, as a share of it.
        transaction_share: share that are transactions.
    """

    name: str
    rate: float
    work_s: float
    objective_s: float
    deadline_s: float
    priority: int
    worth: float
    late_worth: float
    transaction_share: float


class Layout(NamedTuple):
    """Describe hosts and target.

    Attributes:
        hosts: number of hosts.
        slots: statements that the target runs at once.
        queue: statements that wait there; beyond it they are refused.
        one_way_s: time between a host and the target.
        caller_way_s: time between a caller and a host.
    """

    hosts: int = 71
    slots: int = 3
    queue: int = 24
    one_way_s: float = 0.0005
    caller_way_s: float = 0.003


# Tries of one operation, and the callers' pause between them, in seconds.
TRIES = 3
RETRY_PAUSE_S = (0.02, 0.1)

# Statements of a transaction, its commit included, and the callers' pauses
# between them, in seconds.
STATEMENTS = (2, 6)
THINK_S = 0.02


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """Hold one try of an operation at one host.

    Attributes:
        kind: its class.
        arrived_s: when it reached the host.
        first_s: when the caller first sent it.
        works_s: times in a slot of its statements.
        tries: tries before it.
        attempts: times it was sent to the target.
    """

    kind: RequestClass
    arrived_s: float
    first_s: float
    works_s: tuple[float, ...]
    tries: int = 0
    attempts: int = 0


class Policy(Protocol):
    """Decide for one host."""

    def add(self, request: Request, now_s: float) -> None:
        """Take a request."""

    def note_refusal(self, request: Request) -> None:
        """Take back a request for which the target had no room."""

    def next_actions(self) -> "Actions":
        """Return what to send and what to refuse now."""


class Actions(NamedTuple):
    """Hold what a host does now.

    Attributes:
        sent: requests to send to the target.
        refused: requests to refuse.
    """

    sent: list[Request]
    refused: list[Request]


@dataclasses.dataclass
class Tally:
    """Count what callers of one class got.

    Attributes:
        asked: operations.
        in_aim: answered within the objective.
        late: answered later.
        refused: operations whose last try was refused.
        refusal_s: times from arrival to refusal, of each refused try.
    """

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    refused: int = 0
    refusal_s: list[float] = dataclasses.field(default_factory=list)


class Model:
    """Run one policy on one seed.

    Attributes:
        classes: kinds of requests.
        layout: hosts and target.
        arrivals: class and times in a slot of each operation.
        tallies: what callers got, by class.
        busy_s: time in slots that was used.
        refusals: statements for which the target had no room.
    """

    def __init__(
        self,
        classes: tuple[RequestClass, ...],
        layout: Layout,
        make_policy: Callable[[random.Random], Policy],
        seed: int,
    ) -> None:
        """Make a model at time 0."""
        self.classes = classes
        self.layout = layout
        self.arrivals: list[tuple[str, tuple[float, ...]]] = []
        self._draws = random.Random(seed)
        self._chances = random.Random(seed + 1)
        self._hosts = [make_policy(self._chances) for _ in range(layout.hosts)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self._end_s = 0.0
        self._busy = 0
        self._queue: list[tuple[float, Callable[[], None]]] = []
        self.tallies = {kind.name: Tally() for kind in classes}
        self.busy_s = 0.0
        self.refusals = 0

    def run(self, duration_s: float) -> None:
        """Play arrivals for a time, and all that follows from them."""
        self._end_s = duration_s
        for kind in self.classes:
            at_s = self._draws.expovariate(kind.rate)
            while at_s < duration_s:
                self._at(at_s, self._make_arrival(kind, at_s))
                at_s += self._draws.expovariate(kind.rate)
        while self._events:
            self._now_s, _, act = heapq.heappop(self._events)
            act()

    def ask_regularly(
        self,
        pause_s: float,
        work_s: float,
        on_end: Callable[[bool, float, float], None],
    ) -> None:
        """Ask the target for its status while there are arrivals.

        Args:
            pause_s: time between questions.
            work_s: time in a slot of one.
            on_end: told whether it ran, how long it took, and the time.
        """

        def ask() -> None:
            asked_s = self._now_s
            self._offer(
                work_s,
                lambda has_run: on_end(
                    has_run, self._now_s - asked_s, self._now_s
                ),
            )
            if self._now_s < self._end_s:
                self._at(self._now_s + pause_s, ask)

        self._at(pause_s, ask)

    def get_worth(self) -> float:
        """Return what was earned as a share of what was asked for."""
        earned = owed = 0.0
        for kind in self.classes:
            tally = self.tallies[kind.name]
            owed += kind.worth * tally.asked
            late = kind.late_worth * tally.late
            earned += kind.worth * (tally.in_aim + late)
        return earned / owed if owed else 1.0

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), act))

    def _make_arrival(
        self, kind: RequestClass, at_s: float
    ) -> Callable[[], None]:
        count = 1
        if self._draws.random() < kind.transaction_share:
            count = self._draws.randint(*STATEMENTS)
        works_s = tuple(
            kind.work_s * self._draws.uniform(0.5, 1.5) for _ in range(count)
        )

        self.arrivals.append((kind.name, works_s))

        def arrive() -> None:
            self.tallies[kind.name].asked += 1
            self._try(Request(kind, 0.0, at_s, works_s))

        return arrive

    def _try(self, request: Request) -> None:
        place = self._chances.randrange(len(self._hosts))
        request.arrived_s = self._now_s + self.layout.caller_way_s

        def arrive() -> None:
            self._hosts[place].add(request, self._now_s)
            self._turn(place)

        self._at(request.arrived_s, arrive)

    def _turn(self, place: int) -> None:
        actions = self._hosts[place].next_actions()
        for request in actions.refused:
            self._refuse(request)
        for request in actions.sent:
            self._send(place, request)

    def _refuse(self, request: Request) -> None:
        tally = self.tallies[request.kind.name]
        tally.refusal_s.append(self._now_s - request.arrived_s)
        pause_s = self._chances.uniform(*RETRY_PAUSE_S)
        back_s = self._now_s + self.layout.caller_way_s + pause_s
        left_s = request.first_s + request.kind.deadline_s - back_s
        if request.tries + 1 >= TRIES or left_s <= 0:
            tally.refused += 1
            return
        again = dataclasses.replace(
            request, tries=request.tries + 1, attempts=0
        )
        self._at(back_s, lambda: self._try(again))

    def _send(self, place: int, request: Request) -> None:
        request.attempts += 1

        def note_end(has_run: bool) -> None:
            if has_run:
                self._follow(request, 1)
                return
            self.refusals += 1
            self._hosts[place].note_refusal(request)
            self._turn(place)

        self._offer(request.works_s[0], note_end)

    def _follow(self, request: Request, number: int) -> None:
        """Run the rest of a transaction, or answer the caller."""
        if number == len(request.works_s):
            self._answer(request)
            return

        def note_end(has_run: bool) -> None:
            if has_run:
                self._follow(request, number + 1)
            elif self._now_s < request.first_s + request.kind.deadline_s:
                self._at(self._now_s + transactions.RETRY_S, send)
            else:
                self._refuse(request)

        def send() -> None:
            self._offer(request.works_s[number], note_end)

        self._at(self._now_s + THINK_S, send)

    def _answer(self, request: Request) -> None:
        kind, tally = request.kind, self.tallies[request.kind.name]
        thought_s = THINK_S * (len(request.works_s) - 1)
        took_s = self._now_s + self.layout.caller_way_s - request.first_s
        if took_s - thought_s <= kind.objective_s:
            tally.in_aim += 1
        elif took_s <= kind.deadline_s:
            tally.late += 1
        else:
            tally.refused += 1

    def _offer(self, work_s: float, on_end: Callable[[bool], None]) -> None:
        """Bring a statement to the target."""

        def arrive() -> None:
            if self._busy < self.layout.slots:
                self._run(work_s, on_end)
            elif len(self._queue) < self.layout.queue:
                self._queue.append((work_s, lambda: on_end(True)))
            else:
                back_s = self._now_s + self.layout.one_way_s
                self._at(back_s, lambda: on_end(False))

        self._at(self._now_s + self.layout.one_way_s, arrive)

    def _run(self, work_s: float, on_end: Callable[[bool], None]) -> None:
        self._busy += 1
        self.busy_s += work_s

        def end() -> None:
            self._busy -= 1
            back_s = self._now_s + self.layout.one_way_s
            self._at(back_s, lambda: on_end(True))
            if self._queue:
                next_work_s, tell = self._queue.pop(0)
                self._run(next_work_s, lambda _: tell())

        self._at(self._now_s + work_s, end)
