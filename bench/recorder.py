"""Record what a load was told: latency, counts, refusals and gaps."""

import collections
import itertools
from typing import Any
from typing import NamedTuple

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
MICROSECONDS = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# Search for the gap that belongs to an event, from before it to after it.
GAP_BEFORE_S = 1.0
GAP_AFTER_S = 20.0


class Refusal(NamedTuple):
    """Hold an error answer: its SQLSTATE and its HINT, which may be empty."""

    sqlstate: str
    hint: str = ""


class Recorder:
    """Collect the outcomes of one run.

    Times are monotonic seconds. Outcomes whose intended time lies in the
    warm-up are left out of latency and counts, but not of the checks.

    Attributes:
        begins_at: end of the warm-up.
        ends_at: end of the arrivals of the slice under way.
        is_recording: switched off between the slices of a paired run.
        acknowledged: times of acknowledged writes by group.
        stale: reads that missed an acknowledged write of their session.
        lost: acknowledged writes that the final data does not hold.
        doubled: values that occur more than once in the final data.
        unanswered: loads with statements that got no answer at all.
        unsent: arrivals that found no idle session before the end.
    """

    def __init__(self, begins_at: float) -> None:
        self.begins_at = begins_at
        self.ends_at = float("inf")
        self.is_recording = True
        self.acknowledged: dict[str, list[float]] = {}
        self.stale = 0
        self.lost = 0
        self.doubled = 0
        self.unanswered = 0
        self.unsent = 0
        self.latency: dict[str, Any] = {}
        self.refusal_latency = _make_histogram()
        self.answered: collections.Counter[str] = collections.Counter()
        self.callers: collections.Counter[str] = collections.Counter()
        self.refused_callers: collections.Counter[str] = collections.Counter()
        self.refused: dict[str, collections.Counter[str]] = {}
        self.refusals_with_hint = 0
        self.served: collections.Counter[str] = collections.Counter()
        self.timeline: dict[int, collections.Counter[str]] = {}

    def note_answer(
        self, kind: str, caller: str, intended_at: float, at: float
    ) -> None:
        """Record a statement that was answered."""
        if not self._counts(intended_at):
            return
        self.answered[kind] += 1
        self.callers[caller] += 1
        self._note_second(kind, at, "answered")
        if at <= self.ends_at:
            self._note_second("read", at, "answered in time")
        latency = self.latency.setdefault(kind, _make_histogram())
        latency.record_value(_clip(at - intended_at))

    def note_refusal(
        self,
        kind: str,
        caller: str,
        refusal: Refusal,
        begun_at: float,
        at: float,
    ) -> None:
        """Record a statement that was refused; its time runs from sending."""
        if not self._counts(begun_at):
            return
        counts = self.refused.setdefault(kind, collections.Counter())
        counts[refusal.sqlstate] += 1
        self.refused_callers[caller] += 1
        self.refusals_with_hint += bool(refusal.hint)
        self._note_second(kind, at, "refused")
        self.refusal_latency.record_value(_clip(at - begun_at))

    def note_served(self, report: str, intended_at: float) -> None:
        """Record who served a read, where the target's report is passed on."""
        if report and self._counts(intended_at):
            name = "primary" if report.endswith("/p") else "replica"
            self.served[name] += 1

    def note_acknowledged(self, group: str, at: float) -> None:
        """Record the time of an acknowledged write."""
        self.acknowledged.setdefault(group, []).append(at)

    def find_gap(self, group: str, at: float) -> float | None:
        """Return the longest time without a write around an event.

        Returns:
            Seconds between the last write acknowledged before the gap and
            the first after it; None when no write came after the event.
        """
        times = sorted(self.acknowledged.get(group, []))
        gaps = [
            later - earlier
            for earlier, later in itertools.pairwise(times)
            if later > at
            and earlier > at - GAP_BEFORE_S
            and earlier < at + GAP_AFTER_S
        ]
        return max(gaps, default=None)

    def summarize(self, seconds: float) -> dict[str, Any]:
        """Return the results of a run that recorded for some seconds."""
        refused = sum(sum(c.values()) for c in self.refused.values())
        return {
            "seconds": round(seconds, 3),
            "answered": dict(self.answered),
            "answered_per_s": round(self._count_in_time() / seconds, 1),
            "refused": {k: dict(v) for k, v in self.refused.items()},
            "refused_total": refused,
            "refusals_with_hint": self.refusals_with_hint,
            "refusal_ms": _describe(self.refusal_latency),
            "latency_ms": {k: _describe(v) for k, v in self.latency.items()},
            "callers": describe_shares(self.callers),
            "refused_callers": describe_shares(self.refused_callers),
            "stale_reads": self.stale,
            "lost_writes": self.lost,
            "doubled_writes": self.doubled,
            "unanswered": self.unanswered,
            "unsent": self.unsent,
            "timeline": self._list_timeline(),
        }

    def _count_in_time(self) -> int:
        """Count the answers that came while the load was on."""
        return sum(c["answered in time"] for c in self.timeline.values())

    def _counts(self, at: float) -> bool:
        return self.is_recording and at >= self.begins_at

    def _note_second(self, kind: str, at: float, name: str) -> None:
        second = int(at - self.begins_at)
        counts = self.timeline.setdefault(second, collections.Counter())
        counts[name] += 1
        if kind != "read":
            counts[f"writes {name}"] += 1

    def _list_timeline(self) -> list[dict[str, int]]:
        return [
            {"second": second, **{name: counts[name] for name in _COUNTS}}
            for second, counts in sorted(self.timeline.items())
        ]


_COUNTS = ("answered", "refused", "writes answered", "writes refused")


def describe_shares(
    counts: collections.Counter[str],
) -> dict[str, dict[str, int]]:
    """Return how statements spread over callers, by load.

    Names are those of the load, a hyphen and a number.
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
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def _clip(seconds: float) -> int:
    return max(LOWEST_US, min(HIGHEST_US, round(seconds * MICROSECONDS)))


def _describe(latency: Any) -> dict[str, float]:
    if not latency.get_total_count():
        return {}
    return {
        f"p{percentile:g}": latency.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
