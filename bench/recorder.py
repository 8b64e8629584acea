"""Record the outcomes of a load: latency, counts, refusals and write gaps."""

import collections
import itertools
from typing import Any
from typing import NamedTuple

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# Bounds on the start of a write gap that is attributed to an event, in seconds
# before and after the event.
GAP_SEARCH_BEFORE_S = 1.0
GAP_SEARCH_AFTER_S = 20.0


class Refusal(NamedTuple):
    """SQLSTATE and HINT of an error answer; the HINT may be empty."""

    sqlstate: str
    hint: str = ""


class Recorder:
    """Collect the outcomes of one run.

    Times are seconds of the monotonic clock. Statements that belong to the
    warm-up are excluded from latency and counts, but not from the consistency
    checks.

    Attributes:
        recording_starts_at: end of the warm-up.
        arrivals_end_at: end of the arrivals of the current slice.
        is_recording: False between the slices of a run in turns.
        acknowledged_at: times of acknowledged writes, by group.
        stale_reads: number of reads that missed an acknowledged write of
            their own session.
        lost_writes: acknowledged writes that are missing from the final data.
        duplicate_writes: values that occur more than once in the final data.
        unanswered: number of loads that ended with unanswered statements.
        unsent: arrivals that got no idle session before the load ended.
        latency: histogram of latencies, by kind of statement.
        refusal_latency: histogram of the time from the start of a statement,
            which may connect first, to its refusal.
        answered: number of answered statements, by kind.
        answered_by_caller: the same, by caller.
        refused_by_caller: number of refused statements, by caller.
        refused: number of refused statements by SQLSTATE, by kind.
        refusals_with_hint: refusals that carried a HINT.
        reads_by_role: reads by the role of the target that served them.
        timeline: counts by second since the end of the warm-up.
    """

    def __init__(self, recording_starts_at: float) -> None:
        self.recording_starts_at = recording_starts_at
        self.arrivals_end_at = float("inf")
        self.is_recording = True
        self.acknowledged_at: dict[str, list[float]] = {}
        self.stale_reads = 0
        self.lost_writes = 0
        self.duplicate_writes = 0
        self.unanswered = 0
        self.unsent = 0
        self.latency: dict[str, Any] = {}
        self.refusal_latency = _make_histogram()
        self.answered: collections.Counter[str] = collections.Counter()
        self.answered_by_caller: collections.Counter[str] = (
            collections.Counter()
        )
        self.refused_by_caller: collections.Counter[str] = collections.Counter()
        self.refused: dict[str, collections.Counter[str]] = {}
        self.refusals_with_hint = 0
        self.reads_by_role: collections.Counter[str] = collections.Counter()
        self.timeline: dict[int, collections.Counter[str]] = {}

    def record_answer(
        self, kind: str, caller: str, intended_at: float, at: float
    ) -> None:
        """Record a statement that was answered."""
        if not self._is_recorded(intended_at):
            return
        self.answered[kind] += 1
        self.answered_by_caller[caller] += 1
        self._count_in_second(kind, at, "answered")
        if at <= self.arrivals_end_at:
            self._count_in_second("read", at, "answered in time")
        latency = self.latency.setdefault(kind, _make_histogram())
        latency.record_value(_convert_to_clipped_us(at - intended_at))

    def record_refusal(
        self,
        kind: str,
        caller: str,
        refusal: Refusal,
        started_at: float,
        at: float,
    ) -> None:
        """Record a refused statement, with the latency since its start."""
        if not self._is_recorded(started_at):
            return
        counts = self.refused.setdefault(kind, collections.Counter())
        counts[refusal.sqlstate] += 1
        self.refused_by_caller[caller] += 1
        self.refusals_with_hint += bool(refusal.hint)
        self._count_in_second(kind, at, "refused")
        self.refusal_latency.record_value(
            _convert_to_clipped_us(at - started_at)
        )

    def record_serving_role(self, report: str, intended_at: float) -> None:
        """Record the role that served a read, if it was reported."""
        if report and self._is_recorded(intended_at):
            role = "primary" if report.endswith("/p") else "replica"
            self.reads_by_role[role] += 1

    def record_acknowledgement(self, group: str, at: float) -> None:
        """Record the time of an acknowledged write."""
        self.acknowledged_at.setdefault(group, []).append(at)

    def find_write_gap(self, group: str, at: float) -> float | None:
        """Return the longest time without acknowledged writes around an event.

        Returns:
            Seconds between the last acknowledged write before the gap and the
            first one after it, or None if no gap qualifies, as when no write
            was acknowledged after the event.
        """
        times = sorted(self.acknowledged_at.get(group, []))
        gaps = [
            later - earlier
            for earlier, later in itertools.pairwise(times)
            if later > at
            and earlier > at - GAP_SEARCH_BEFORE_S
            and earlier < at + GAP_SEARCH_AFTER_S
        ]
        return max(gaps, default=None)

    def summarize(self, seconds: float) -> dict[str, Any]:
        """Return the results of a run.

        Args:
            seconds: length of the recorded time.
        """
        refused = sum(sum(c.values()) for c in self.refused.values())
        return {
            "seconds": round(seconds, 3),
            "answered": dict(self.answered),
            "answered_per_s": round(
                self._count_answered_in_time() / seconds, 1
            ),
            "refused": {k: dict(v) for k, v in self.refused.items()},
            "refused_total": refused,
            "refusals_with_hint": self.refusals_with_hint,
            "refusal_ms": _list_percentiles_ms(self.refusal_latency),
            "latency_ms": {
                k: _list_percentiles_ms(v) for k, v in self.latency.items()
            },
            "callers": summarize_callers(self.answered_by_caller),
            "refused_callers": summarize_callers(self.refused_by_caller),
            "stale_reads": self.stale_reads,
            "lost_writes": self.lost_writes,
            "doubled_writes": self.duplicate_writes,
            "unanswered": self.unanswered,
            "unsent": self.unsent,
            "timeline": self._list_timeline(),
        }

    def _count_answered_in_time(self) -> int:
        """Return the number of answers received before the arrivals ended."""
        return sum(c["answered in time"] for c in self.timeline.values())

    def _is_recorded(self, at: float) -> bool:
        return self.is_recording and at >= self.recording_starts_at

    def _count_in_second(self, kind: str, at: float, name: str) -> None:
        second = int(at - self.recording_starts_at)
        counts = self.timeline.setdefault(second, collections.Counter())
        counts[name] += 1
        if kind != "read":
            counts[f"writes {name}"] += 1

    def _list_timeline(self) -> list[dict[str, int]]:
        return [
            {
                "second": second,
                **{name: counts[name] for name in _TIMELINE_COUNTS},
            }
            for second, counts in sorted(self.timeline.items())
        ]


_TIMELINE_COUNTS = ("answered", "refused", "writes answered", "writes refused")


def summarize_callers(
    counts: collections.Counter[str],
) -> dict[str, dict[str, int]]:
    """Return the distribution of statements over callers, by load.

    The name of a caller is that of its load, a hyphen and a number.
    """
    loads: dict[str, list[int]] = {}
    for caller, count in counts.items():
        loads.setdefault(caller.rpartition("-")[0], []).append(count)
    return {
        name: {
            "callers": len(values),
            "statements": sum(values),
            "least": min(values),
            "most": max(values),
        }
        for name, values in loads.items()
    }


def _make_histogram() -> Any:
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )


def _convert_to_clipped_us(seconds: float) -> int:
    return max(
        MIN_LATENCY_US, min(MAX_LATENCY_US, round(seconds * MICROSECONDS_PER_S))
    )


def _list_percentiles_ms(latency: Any) -> dict[str, float]:
    if not latency.get_total_count():
        return {}
    return {
        f"p{percentile:g}": latency.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
