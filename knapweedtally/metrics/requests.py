"""Metrics of requests, recorded when each request ends."""

from typing import NamedTuple
from typing import Protocol

from opentelemetry import metrics as api

from knapweedtally.core import errors
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import state as admission_state
from knapweedtally.metrics import gaps

ANSWERED = "answered"
# Upper bounds of the histogram buckets, in seconds.
DURATION_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
GAP_BOUNDS_S = (0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0)

Kind = admission_state.RequestKind
_WRITE_KINDS = frozenset({Kind.WRITE, Kind.BEGIN, Kind.COMMIT})
_COMMITTING_KINDS = frozenset({Kind.WRITE, Kind.COMMIT})
# Errors that show that the group could not accept writes at that time.
_BLOCKING_ERRORS = frozenset(
    {
        errors.ErrorKind.DEADLINE,
        errors.ErrorKind.NO_PRIMARY,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.TARGET_LOST,
        errors.ErrorKind.TRANSACTION_LOST,
    }
)


class CompletedRequest(NamedTuple):
    """A request that received its final answer.

    Attributes:
        group: database name that the caller connected to.
        kind: kind of the request.
        is_read_only: whether its transaction is read-only.
        error: kind of the error that the proxy answered with, or None.
        arrived_at: monotonic time of arrival, in seconds.
        ended_at: monotonic time of the answer, in seconds.
    """

    group: str
    kind: Kind
    is_read_only: bool
    error: errors.ErrorKind | None
    arrived_at: float
    ended_at: float


class Recorder(Protocol):
    """Interface for recording completed requests."""

    def record_request(self, request: CompletedRequest) -> None:
        """Record one completed request."""


class Totals(NamedTuple):
    """Totals since the start that the service levels are computed from.

    Attributes:
        requests: requests with a final answer.
        failed: requests that were refused or ended with an unknown outcome.
        replica_reads: eligible reads that a replica served.
        primary_reads: eligible reads that the primary served.
        blocked_s: seconds in which writes were blocked, summed over all groups.
    """

    requests: int = 0
    failed: int = 0
    replica_reads: int = 0
    primary_reads: int = 0
    blocked_s: float = 0.0


class RequestMeter:
    """Recorder of request counts, request durations and write gaps.

    Attributes:
        counts: number of requests by kind and outcome.
        gaps: write gaps by group.
    """

    def __init__(
        self, meter: api.Meter, state: state_module.ProxyState
    ) -> None:
        """Create the histograms.

        Args:
            meter: creates the instruments.
            state: state of the proxy; it is only read.
        """
        self._state = state
        self.counts: dict[tuple[str, str], int] = {}
        self.gaps: dict[str, gaps.GroupGaps] = {}
        self._failed_count = 0
        self._request_count = 0
        self._attribute_sets: dict[tuple[str, str], dict[str, str]] = {}
        self._request_duration = meter.create_histogram(
            "knapweedtally.request.duration",
            "s",
            "time from a request's arrival to its final answer",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        self._gap_duration = meter.create_histogram(
            "knapweedtally.failover.gap",
            "s",
            "time without a landed write that a landed write ended",
            explicit_bucket_boundaries_advisory=GAP_BOUNDS_S,
        )

    def record_request(self, request: CompletedRequest) -> None:
        """Record one completed request."""
        outcome = request.error.value if request.error else ANSWERED
        key = (request.kind.value, outcome)
        attributes = self._attribute_sets.get(key)
        if attributes is None:
            attributes = {"kind": key[0], "outcome": outcome}
            self._attribute_sets[key] = attributes
        self.counts[key] = self.counts.get(key, 0) + 1
        self._request_count += 1
        self._failed_count += request.error is not None
        self._request_duration.record(
            request.ended_at - request.arrived_at, attributes
        )
        if request.kind in _WRITE_KINDS and not request.is_read_only:
            self._record_write(request)

    def sum_totals(self) -> Totals:
        """Return the totals since the start."""
        counters = self._state.admission.counters
        return Totals(
            self._request_count,
            self._failed_count,
            counters.get("eligible reads by replica", 0),
            counters.get("eligible reads by primary", 0),
            sum(group_gaps.blocked_s for group_gaps in self.gaps.values()),
        )

    def _record_write(self, request: CompletedRequest) -> None:
        is_acknowledged = request.error is None
        if is_acknowledged and request.kind not in _COMMITTING_KINDS:
            return
        if not is_acknowledged and request.error not in _BLOCKING_ERRORS:
            return
        if self._state.directory.get_group(request.group) is None:
            return
        group_gaps = self.gaps.setdefault(request.group, gaps.GroupGaps())
        gap_s = group_gaps.record_write(
            request.arrived_at, request.ended_at, is_acknowledged
        )
        if gap_s:
            self._gap_duration.record(gap_s, {"group": request.group})
