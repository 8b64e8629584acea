"""Counters and latency histograms in the Prometheus text format.

OpenTelemetry's SDK isn't used because it adds 4.6 MB to a process of 21.7 MB.
"""

import bisect
from collections.abc import Mapping

# Upper bounds of the histograms' buckets, in seconds.
BUCKET_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)

_PREFIX = "knapweedtally"
STATEMENT_HISTOGRAM = "statement_seconds"

# Teams with a series of their own; the smaller ones are summed.
MAX_TEAM_SERIES = 100

# Teams that are counted apart. Beyond that the smaller half is summed, so that
# teams that come and go don't fill the memory.
MAX_COUNTED_TEAMS = 1000

# Label of the summed teams.
OTHER_TEAMS = "other"


class TeamCounter:
    """One counter by team, with a bounded number of teams."""

    def __init__(self) -> None:
        """Start without counts."""
        self._counts: dict[str, int] = {}
        self._other = 0

    def increment(self, team: str) -> None:
        """Count one event of a team."""
        self._counts[team] = self._counts.get(team, 0) + 1
        if len(self._counts) > MAX_COUNTED_TEAMS:
            kept, self._other = self._sum_smaller(MAX_COUNTED_TEAMS // 2)
            self._counts = dict(kept)

    def list_largest(self) -> list[tuple[str, int]]:
        """Return the largest teams and the sum of the others by label."""
        largest, other = self._sum_smaller(MAX_TEAM_SERIES)
        counts = dict(largest)
        if other:
            counts[OTHER_TEAMS] = counts.get(OTHER_TEAMS, 0) + other
        return sorted(counts.items())

    def _sum_smaller(self, limit: int) -> tuple[list[tuple[str, int]], int]:
        ordered = sorted(self._counts.items(), key=lambda item: -item[1])
        rest = sum(count for _, count in ordered[limit:])
        return ordered[:limit], self._other + rest


class Metrics:
    """Counters and latency histograms, by name and label."""

    def __init__(self) -> None:
        """Create empty counters and histograms."""
        self._counters: dict[tuple[str, str], int] = {}
        self._buckets: dict[tuple[str, str], list[int]] = {}
        self._sums: dict[tuple[str, str], float] = {}
        self._team_counters: dict[str, TeamCounter] = {}

    def increment(self, name: str, label: str, amount: int = 1) -> None:
        """Increment a counter."""
        key = (name, label)
        self._counters[key] = self._counters.get(key, 0) + amount

    def increment_team(self, name: str, team: str) -> None:
        """Increment a counter by team, unless callers aren't told apart."""
        if team:
            self._team_counters.setdefault(name, TeamCounter()).increment(team)

    def observe(
        self, label: str, duration_s: float, name: str = STATEMENT_HISTOGRAM
    ) -> None:
        """Record a duration in the histogram of a name and label."""
        key = (name, label)
        buckets = self._buckets.get(key)
        if buckets is None:
            buckets = self._buckets[key] = [0] * (len(BUCKET_BOUNDS_S) + 1)
        buckets[bisect.bisect_left(BUCKET_BOUNDS_S, duration_s)] += 1
        self._sums[key] = self._sums.get(key, 0.0) + duration_s

    def format_text(self, gauges: Mapping[str, float]) -> str:
        """Return all metrics in the Prometheus text format.

        Args:
            gauges: values of the gauges, by name with labels.
        """
        lines = []
        for (name, label), value in sorted(self._counters.items()):
            lines.append(f'{_PREFIX}_{name}_total{{label="{label}"}} {value}')
        for name, counter in sorted(self._team_counters.items()):
            for team, value in counter.list_largest():
                label = _escape_label(team)
                lines.append(
                    f'{_PREFIX}_{name}_total{{team="{label}"}} {value}'
                )
        for key, buckets in sorted(self._buckets.items()):
            lines += self._format_histogram(key, buckets)
        for name, gauge in sorted(gauges.items()):
            lines.append(f"{_PREFIX}_{name} {gauge}")
        return "\n".join(lines) + "\n"

    def _format_histogram(
        self, key: tuple[str, str], buckets: list[int]
    ) -> list[str]:
        name, label = f"{_PREFIX}_{key[0]}", key[1]
        lines = []
        total = 0
        for bound, count in zip(
            (*BUCKET_BOUNDS_S, "+Inf"), buckets, strict=True
        ):
            total += count
            labels = f'label="{label}",le="{bound}"'
            lines.append(f"{name}_bucket{{{labels}}} {total}")
        labels = f'{{label="{label}"}}'
        lines.append(f"{name}_sum{labels} {self._sums[key]:.6f}")
        lines.append(f"{name}_count{labels} {total}")
        return lines


def _escape_label(text: str) -> str:
    """Return a label's value with the characters escaped that would end it."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
