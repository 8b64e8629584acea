"""State of the routing part: estimates about targets."""

import collections
import dataclasses

MAX_TIMELINE_POINTS = 512


@dataclasses.dataclass(slots=True)
class GroupTimeline:
    """Times at which offsets of a group's log were first seen.

    Attributes:
        points: pairs of offset and time, both in increasing order.
    """

    points: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_TIMELINE_POINTS)
    )


@dataclasses.dataclass(slots=True)
class RoutingState:
    """Estimates that guide the choice of a target.

    Attributes:
        timelines: timelines by group.
        lag_s: moving average of the replication lag, by target.
        backoff_until: time until which a target is avoided, by target.
        failures: number of consecutive failures, by target.
    """

    timelines: dict[str, GroupTimeline] = dataclasses.field(
        default_factory=dict
    )
    lag_s: dict[str, float] = dataclasses.field(default_factory=dict)
    backoff_until: dict[str, float] = dataclasses.field(default_factory=dict)
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
