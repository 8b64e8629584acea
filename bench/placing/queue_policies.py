"""Orders in which a holder serves the statements that wait for connections.

The policies of ``make_policies`` differ in the order and in what is refused at
once; all of them have the same connections.
"""

import collections
import heapq
import itertools
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

from bench.placing import operations
from knapweedtally.core.groups import holder_queue
from knapweedtally.core.groups import team_turns
from knapweedtally.entry.pools import relays

# Waiting time after which a statement ranks with new ones of the next higher
# priority, for the order with aging.
AGING_S = 0.5


class Order(Protocol):
    """Order of the entries that wait at one holder."""

    def add(self, entry: team_turns.Entry, now_s: float) -> list[Any]:
        """Add an entry and return the payloads of the entries to refuse."""

    def drop_overdue(self, now_s: float) -> list[Any]:
        """Remove what is overdue and return its payloads."""

    def take(self, now_s: float) -> Any:
        """Remove and return the payload of the next entry, or None."""

    def record_end(self, request: operations.Request, run_s: float) -> None:
        """Record for how long a request had a connection."""


class Sorted:
    """Fixed order by a key; nothing is refused before it is overdue."""

    def __init__(self, get_key: Callable[[team_turns.Entry], Any]) -> None:
        """Create an empty order.

        Args:
            get_key: returns the key of an entry; the lowest is served first.
        """
        self._get_key = get_key
        self._numbers = itertools.count()
        self._heap: list[tuple[Any, int, team_turns.Entry]] = []

    def add(self, entry: team_turns.Entry, now_s: float) -> list[Any]:
        """Add an entry; nothing is refused."""
        item = (self._get_key(entry), next(self._numbers), entry)
        heapq.heappush(self._heap, item)
        return []

    def drop_overdue(self, now_s: float) -> list[Any]:
        """Remove what is overdue and return its payloads."""
        overdue = [item for item in self._heap if item[2].deadline_s < now_s]
        if overdue:
            self._heap = [i for i in self._heap if i[2].deadline_s >= now_s]
            heapq.heapify(self._heap)
        return [item[2].payload for item in overdue]

    def take(self, now_s: float) -> Any:
        """Remove and return the payload of the next entry, or None."""
        return heapq.heappop(self._heap)[2].payload if self._heap else None

    def record_end(self, request: operations.Request, run_s: float) -> None:
        """Ignore run times, by which this order doesn't decide."""


class WeightedFair(Sorted):
    """Weighted fair queueing between pairs of priority and team.

    A pair has a weight by its priority. Entries are served by the virtual time
    at which they would end if the pairs shared the connections by weight.
    """

    WEIGHTS = (4.0, 2.0, 1.0)

    def __init__(self) -> None:
        """Create an empty order."""
        super().__init__(self._get_end)
        self._virtual_s = 0.0
        self._ends: collections.defaultdict[tuple[int, str], float] = (
            collections.defaultdict(float)
        )

    def _get_end(self, entry: team_turns.Entry) -> float:
        kind = (entry.priority, entry.team)
        start = max(self._virtual_s, self._ends[kind])
        service_time_s = entry.payload.request_class.service_time_s
        self._ends[kind] = start + service_time_s / self.WEIGHTS[entry.priority]
        return self._ends[kind]

    def take(self, now_s: float) -> Any:
        """Remove and return the payload of the next entry, or None."""
        if self._heap:
            self._virtual_s = max(self._virtual_s, self._heap[0][0])
        return super().take(now_s)


class Fair:
    """The holder's queue of the program."""

    def __init__(self, lower_share: float = holder_queue.LOWER_SHARE) -> None:
        """Create an empty queue.

        Args:
            lower_share: share set aside for lower priorities.
        """
        self._queue = holder_queue.HolderQueue(lower_share=lower_share)

    def add(self, entry: team_turns.Entry, now_s: float) -> list[Any]:
        """Add an entry and return the payloads of the entries to refuse."""
        return [r.entry.payload for r in self._queue.add(entry, now_s)]

    def drop_overdue(self, now_s: float) -> list[Any]:
        """Remove what is too late and return its payloads."""
        return [r.entry.payload for r in self._queue.drop_overdue(now_s)]

    def take(self, now_s: float) -> Any:
        """Remove and return the payload of the next entry, or None."""
        entry = self._queue.take(now_s, lambda _: True)
        return None if entry is None else entry.payload

    def record_end(self, request: operations.Request, run_s: float) -> None:
        """Record for how long a request had a connection."""
        priority = request.request_class.priority
        self._queue.record_end(request.team, priority, run_s)


class Holder:
    """Policy of a holder: sends as many requests as it has connections."""

    def __init__(
        self, order: Order, connections: int, has_deadlines: bool
    ) -> None:
        """Create a holder without requests.

        Args:
            order: order of the requests that wait.
            connections: number of connections to the target.
            has_deadlines: whether the callers' deadlines are known; otherwise
                each request may wait for ``relays.CONNECTION_TIMEOUT_S``.
        """
        self._order = order
        self._connections = connections
        self._has_deadlines = has_deadlines
        self._started_s: dict[int, float] = {}
        self._now_s = 0.0
        self._actions = operations.Actions([], [])

    def add_request(self, request: operations.Request, now_s: float) -> None:
        """Queue a request, or refuse it at once."""
        self._now_s = now_s
        deadline_s = now_s + relays.CONNECTION_TIMEOUT_S
        if self._has_deadlines:
            deadline_s = request.first_sent_s + request.request_class.deadline_s
        entry = team_turns.Entry(
            request.team,
            request.request_class.priority,
            deadline_s,
            now_s,
            request,
        )
        self._actions.refused.extend(self._order.add(entry, now_s))

    def record_rejection(self, request: operations.Request) -> None:
        """Refuse a request that the target rejected."""
        self._started_s.pop(id(request), None)
        self._order.record_end(request, 0.0)
        self._actions.refused.append(request)

    def record_end(self, request: operations.Request, now_s: float) -> None:
        """Free the connection of a request."""
        self._now_s = now_s
        started_s = self._started_s.pop(id(request))
        self._order.record_end(request, now_s - started_s)

    def take_actions(self) -> operations.Actions:
        """Remove and return the requests to send and to refuse now."""
        actions, self._actions = self._actions, operations.Actions([], [])
        actions.refused.extend(self._order.drop_overdue(self._now_s))
        while len(self._started_s) < self._connections:
            request = self._order.take(self._now_s)
            if request is None:
                break
            self._started_s[id(request)] = self._now_s
            actions.sent.append(request)
        return actions


class Rule(NamedTuple):
    """A policy of holders.

    Attributes:
        make_order: returns the order of one holder.
        has_deadlines: whether holders know the callers' deadlines.
        is_by_team: whether the requests of a team go to its first holder.
    """

    make_order: Callable[[], Order]
    has_deadlines: bool = True
    is_by_team: bool = True


TODAY = "today: first in first out"
FAIR = "holder queue"

RULES: dict[str, Rule] = {
    TODAY: Rule(lambda: Sorted(lambda entry: 0), False, False),
    "the same, holders by team": Rule(lambda: Sorted(lambda e: 0), False),
    "earliest deadline": Rule(lambda: Sorted(lambda e: e.deadline_s)),
    "priority, deadline": Rule(
        lambda: Sorted(lambda e: (e.priority, e.deadline_s))
    ),
    "aging": Rule(lambda: Sorted(lambda e: e.arrived_s + e.priority * AGING_S)),
    "weighted fair": Rule(WeightedFair),
    "holder queue, no share": Rule(lambda: Fair(0.0)),
    FAIR: Rule(Fair),
}
