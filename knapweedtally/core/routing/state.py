"""What routing knows of targets besides their reports."""

import collections
import dataclasses

TIMELINE_LENGTH = 512


@dataclasses.dataclass(slots=True)
class GroupTimeline:
    """Hold when offsets of a group's log were first seen.

    Attributes:
        points: pairs of offset and time, both growing.
    """

    points: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=TIMELINE_LENGTH)
    )


@dataclasses.dataclass(slots=True)
class RoutingState:
    """Hold estimates that guide the choice of a target.

    Attributes:
        timelines: timeline of each group.
        lag_s: moving average of the replication lag of each target.
        avoided_until: time until which a failing target is avoided.
        failures: failures in a row of each target.
    """

    timelines: dict[str, GroupTimeline] = dataclasses.field(
        default_factory=dict
    )
    lag_s: dict[str, float] = dataclasses.field(default_factory=dict)
    avoided_until: dict[str, float] = dataclasses.field(default_factory=dict)
    failures: dict[str, int] = dataclasses.field(default_factory=dict)
