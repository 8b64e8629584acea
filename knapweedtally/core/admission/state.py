"""Requests, leases on target connections, and queues."""

import dataclasses
import enum
import math
from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core.admission import queue

RETRY_BUDGET_LIMIT = 20.0
RETRY_BUDGET_PER_REQUEST = 0.1


class RequestKind(enum.Enum):
    """Kind of operation that a request asks for."""

    # Members are singletons, so identity hashing is safe; the default
    # implementation hashes the member's name on each call.
    __hash__ = object.__hash__

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class KindTraits(NamedTuple):
    """Properties that all requests of one kind share.

    Attributes:
        needs_primary: whether only the primary may run it.
        is_pinned: whether it has to run on its transaction's lease.
        is_safe_to_retry: whether it may be retried after it was sent.
        keeps_lease: whether a transaction is open afterwards.
        may_write: whether its answer acknowledges a write.
    """

    needs_primary: bool
    is_pinned: bool
    is_safe_to_retry: bool
    keeps_lease: bool
    may_write: bool


TRAITS_BY_KIND: dict[RequestKind, KindTraits] = {
    RequestKind.READ: KindTraits(False, False, True, False, False),
    RequestKind.WRITE: KindTraits(True, False, False, False, True),
    RequestKind.BEGIN: KindTraits(True, False, True, True, False),
    RequestKind.BEGIN_READ_ONLY: KindTraits(False, False, True, True, False),
    RequestKind.STATEMENT: KindTraits(False, True, False, True, False),
    RequestKind.COMMIT: KindTraits(False, True, False, False, True),
    RequestKind.ROLLBACK: KindTraits(False, True, False, False, False),
}


class QueueKey(NamedTuple):
    """Key of the queue for requests that wait for the same targets.

    Attributes:
        group: name of the group.
        is_primary: whether the requests need the primary.
    """

    group: str
    is_primary: bool


class RequestPhase(enum.Enum):
    """State of a request that has no final answer yet."""

    QUEUED = "queued"
    WAITING = "waiting"
    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Request:
    """A request that has no final answer yet.

    Attributes:
        id: id assigned by the callers adapter.
        session: id of the caller's connection.
        caller: name under which requests are queued for fair scheduling.
        group: name of the group.
        kind: kind of the request.
        max_age_ms: accepted age of data; 0 requires current data.
        position: position of the session, or None without a token.
        key: idempotency key, or empty.
        arrived_at: time of arrival.
        deadline: time by which the final answer is due.
        phase: state of the request.
        attempt: number of attempts so far.
        target: target of the latest attempt.
        lease: lease of the running attempt; 0 for none.
        term: term known when the latest attempt started.
        sent_at: time when the latest attempt started.
        waited_for_replica: whether it has already waited for a replica.
        requires_primary: whether a read has to run on the primary after no
            replica could serve it.
        may_have_run: whether an attempt of a write may have taken effect.
        silent_targets: targets that did not answer an attempt in time.
        abort_at: time at which the running attempt is aborted.
        reason: why the target of the last attempt was chosen.
    """

    id: int
    session: int
    caller: str
    group: str
    kind: RequestKind
    max_age_ms: int
    position: model.Position | None
    key: str
    arrived_at: float
    deadline: float
    phase: RequestPhase = RequestPhase.QUEUED
    attempt: int = 0
    target: str = ""
    lease: int = 0
    term: int = 0
    sent_at: float = 0.0
    waited_for_replica: bool = False
    requires_primary: bool = False
    may_have_run: bool = False
    silent_targets: set[str] = dataclasses.field(default_factory=set)
    abort_at: float = math.inf
    reason: str = ""

    @property
    def traits(self) -> KindTraits:
        """Return the properties of the request's kind."""
        return TRAITS_BY_KIND[self.kind]


@dataclasses.dataclass(slots=True)
class Lease:
    """Exclusive use of one connection to a target.

    Attributes:
        id: id of the lease.
        target: id of the target.
        session: session whose transaction is open on it; 0 for none.
        is_read_only: whether its transaction only reads.
        last_used_at: time of the last statement.
    """

    id: int
    target: str
    session: int = 0
    is_read_only: bool = False
    last_used_at: float = 0.0


@dataclasses.dataclass(slots=True)
class AdmissionState:
    """Requests, queues and leases of this host.

    Attributes:
        requests: requests without a final answer, by id.
        queues: queues of requests, by key.
        busy_since: time since which a queue has not been empty, by key.
        trimmed_busy_since: value of ``busy_since`` for which a queue was last
            trimmed, by key.
        leases: leases in use, by id.
        transactions: lease of each session with an open transaction.
        leases_in_use: leases in use, by target.
        next_lease: id of the next lease.
        service_time_s: moving average of an attempt's duration, by key of
            the queue.
        retry_budget: number of retries left, by group.
        handled_terms: newest term and primary that were handled, by group.
        counters: number of occurrences of each outcome, by name.
        connection_caps: temporary limit on connections after a target refused
            one, by target.
        caps_expire_at: time at which such a limit expires, by target.
    """

    requests: dict[int, Request] = dataclasses.field(default_factory=dict)
    queues: dict[QueueKey, queue.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    busy_since: dict[QueueKey, float] = dataclasses.field(default_factory=dict)
    trimmed_busy_since: dict[QueueKey, float] = dataclasses.field(
        default_factory=dict
    )
    leases: dict[int, Lease] = dataclasses.field(default_factory=dict)
    transactions: dict[int, int] = dataclasses.field(default_factory=dict)
    leases_in_use: dict[str, int] = dataclasses.field(default_factory=dict)
    next_lease: int = 1
    service_time_s: dict[QueueKey, float] = dataclasses.field(
        default_factory=dict
    )
    retry_budget: dict[str, float] = dataclasses.field(default_factory=dict)
    handled_terms: dict[str, tuple[int, str]] = dataclasses.field(
        default_factory=dict
    )
    counters: dict[str, int] = dataclasses.field(default_factory=dict)
    connection_caps: dict[str, int] = dataclasses.field(default_factory=dict)
    caps_expire_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counters[name] = self.counters.get(name, 0) + 1
