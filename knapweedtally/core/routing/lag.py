"""Estimates of when a replica reaches a position."""

from knapweedtally.core import model
from knapweedtally.core.routing import state as routing_state

LAG_SMOOTHING_FACTOR = 0.2
DEFAULT_LAG_S = 0.02


def record_offset(
    routing: routing_state.RoutingState, group: str, offset: int, at: float
) -> None:
    """Record when an offset of a group's log was first seen."""
    timeline = routing.timelines.setdefault(
        group, routing_state.GroupTimeline()
    )
    if not timeline.points or timeline.points[-1][0] < offset:
        timeline.points.append((offset, at))


def find_first_seen(
    routing: routing_state.RoutingState, group: str, offset: int
) -> float | None:
    """Return when an offset or a higher one was first seen, or None."""
    timeline = routing.timelines.get(group)
    if timeline is None:
        return None
    found = None
    for seen_offset, seen_at in reversed(timeline.points):
        if seen_offset < offset:
            break
        found = seen_at
    return found


def update_lag(
    routing: routing_state.RoutingState,
    group: str,
    report: model.TargetReport,
    at: float,
) -> None:
    """Update the lag of a replica from its report.

    If a replica has not applied the next offset, its lag is at least the age
    of that offset. If it has applied the newest offset, its lag is at most
    the age of that offset.
    """
    if report.is_primary:
        record_offset(routing, group, report.offset, at)
        return
    unapplied_since = find_first_seen(routing, group, report.offset + 1)
    known = routing.lag_s.get(report.target, DEFAULT_LAG_S)
    if unapplied_since is not None:
        sample = max(at - unapplied_since, known)
    else:
        reached_at = find_first_seen(routing, group, report.offset)
        if reached_at is None:
            return
        sample = min(at - reached_at, known)
    routing.lag_s[report.target] = known + LAG_SMOOTHING_FACTOR * (
        sample - known
    )


def estimate_ready_at(
    routing: routing_state.RoutingState,
    group: str,
    target: str,
    offset: int,
    at: float,
) -> float:
    """Return the time when a replica is expected to have applied an offset."""
    if offset == 0:
        return at
    seen_at = find_first_seen(routing, group, offset)
    if seen_at is None:
        seen_at = at
    return seen_at + routing.lag_s.get(target, DEFAULT_LAG_S)
