"""Measure each request when it ends."""

from typing import NamedTuple
from typing import Protocol

from opentelemetry import metrics as api

from knapweedtally.core import errors
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import state as admission_state
from knapweedtally.metrics import gaps

ANSWERED = "answered"
# Upper bounds of the histograms' buckets, in seconds. Chosen.
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
_LANDING_KINDS = frozenset({Kind.WRITE, Kind.COMMIT})
# Refusals that say that the group took no write at that time.
_BLOCKING_ERRORS = frozenset(
    {
        errors.ErrorKind.DEADLINE,
        errors.ErrorKind.NO_PRIMARY,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        errors.ErrorKind.TARGET_LOST,
        errors.ErrorKind.TRANSACTION_LOST,
    }
)


class Ended(NamedTuple):
    """Describe a request that got its final answer.

    Attributes:
        group: database name that the caller connected to.
        kind: kind of the request.
        is_read_only: whether its transaction only reads.
        error: kind of the error answer of the proxy, or None.
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
    """Take in requests that ended."""

    def note_request(self, ended: Ended) -> None:
        """Take in the end of one request."""


class Totals(NamedTuple):
    """Count what the service levels are computed from, since the start.

    Attributes:
        requests: requests with a final answer.
        failed: those that were refused or ended with an unknown outcome.
        replica_reads: eligible reads that a replica served.
        primary_reads: eligible reads that the primary served.
        blocked_s: seconds in which writes could not land, over all groups.
    """

    requests: int = 0
    failed: int = 0
    replica_reads: int = 0
    primary_reads: int = 0
    blocked_s: float = 0.0


class RequestMeter:
    """Count requests by kind and outcome, and record their duration.

    Attributes:
        counts: requests by kind and outcome.
        gaps: gaps of the writes of each group.
    """

    def __init__(
        self, meter: api.Meter, state: state_module.ProxyState
    ) -> None:
        """Make the histograms.

        Args:
            meter: makes the instruments.
            state: state of the proxy, only read.
        """
        self._state = state
        self.counts: dict[tuple[str, str], int] = {}
        self.gaps: dict[str, gaps.GroupGaps] = {}
        self._failed = 0
        self._requests = 0
        self._attributes: dict[tuple[str, str], dict[str, str]] = {}
        self._duration = meter.create_histogram(
            "knapweedtally.request.duration",
            "s",
            "time from a request's arrival to its final answer",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
        self._gap = meter.create_histogram(
            "knapweedtally.failover.gap",
            "s",
            "time without a landed write that a landed write ended",
            explicit_bucket_boundaries_advisory=GAP_BOUNDS_S,
        )

    def note_request(self, ended: Ended) -> None:
        """Take in the end of one request."""
        outcome = ended.error.value if ended.error else ANSWERED
        key = (ended.kind.value, outcome)
        attributes = self._attributes.get(key)
        if attributes is None:
            attributes = {"kind": key[0], "outcome": outcome}
            self._attributes[key] = attributes
        self.counts[key] = self.counts.get(key, 0) + 1
        self._requests += 1
        self._failed += ended.error is not None
        self._duration.record(ended.ended_at - ended.arrived_at, attributes)
        if ended.kind in _WRITE_KINDS and not ended.is_read_only:
            self._note_write(ended)

    def sum_totals(self) -> Totals:
        """Return the totals since the start."""
        counters = self._state.admission.counters
        return Totals(
            self._requests,
            self._failed,
            counters.get("eligible reads by replica", 0),
            counters.get("eligible reads by primary", 0),
            sum(group.blocked_s for group in self.gaps.values()),
        )

    def _note_write(self, ended: Ended) -> None:
        has_landed = ended.error is None
        if has_landed and ended.kind not in _LANDING_KINDS:
            return
        if not has_landed and ended.error not in _BLOCKING_ERRORS:
            return
        if self._state.directory.get_group(ended.group) is None:
            return
        group = self.gaps.setdefault(ended.group, gaps.GroupGaps())
        length_s = group.note_write(
            ended.arrived_at, ended.ended_at, has_landed
        )
        if length_s:
            self._gap.record(length_s, {"group": ended.group})
