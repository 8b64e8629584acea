"""Operations of callers, their outcomes, and the decisions about them."""

import dataclasses
from typing import NamedTuple
from typing import Protocol


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
        connections: connections of each host to the target, for the policies
            of holders; 0 for no limit.
        is_by_team: whether all requests of a team go to one host.
        statement_counts: range of the number of statements of a transaction,
            including its commit.
    """

    hosts: int = 71
    slots: int = 3
    queue_limit: int = 24
    target_latency_s: float = 0.0005
    caller_latency_s: float = 0.003
    connections: int = 0
    is_by_team: bool = False
    statement_counts: tuple[int, int] = (2, 6)


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
        team: name of the caller's team, or empty.
        host: number of the host that it was sent to.
    """

    request_class: RequestClass
    arrived_s: float
    first_sent_s: float
    service_times_s: tuple[float, ...]
    retries: int = 0
    attempts: int = 0
    team: str = ""
    host: int = 0


class Policy(Protocol):
    """Decisions of one host."""

    def add_request(self, request: Request, now_s: float) -> None:
        """Accept a new request."""

    def record_rejection(self, request: Request) -> None:
        """Record that the target rejected a request: its queue is full."""

    def record_end(self, request: Request, now_s: float) -> None:
        """Record that a sent request, or its transaction, has ended."""

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
        lost: number of the refused operations that were answered after the
            deadline.
        refusal_times_s: time from arrival to refusal of each refused attempt.
        latencies_s: time to the answer of each operation answered within the
            deadline, without the caller's pauses.
    """

    operations: int = 0
    answered_in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    refusal_times_s: list[float] = dataclasses.field(default_factory=list)
    latencies_s: list[float] = dataclasses.field(default_factory=list)
