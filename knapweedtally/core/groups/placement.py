"""Choose the target that serves a request.

Answers the load in which replicas lag by different and changing amounts while
one target is slower than the others: reads go where an answer is expected
first among the targets that may serve them, and what only the primary can do
finds it less busy.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import NamedTuple

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model

# Weight of the newest run time in the moving average.
AVERAGE_WEIGHT = 0.2

# Run time assumed of a target that has not answered yet, in seconds.
FIRST_RUN_S = 0.015

# Expected answer times that another data centre adds, in seconds: two ways
# between data centres.
DISTANCE_S = 0.003

# Reads see the primary as this much busier, which leaves it to what only it
# can do while replicas are as fast.
PRIMARY_FACTOR = 1.5

# A target that failed is tried again after this, in seconds, doubled with
# each failure in a row up to the limit.
FIRST_REST_S = 0.05
MAX_REST_S = 1.0

# Weight of the newest sample of a replica's lag in its moving average.
LAG_WEIGHT = 0.3

# A replica that is expected to lack a position is asked for it all the same
# when its lag was last seen this long ago, in seconds.
LAG_AGE_S = 0.15

# A replica counts as lagging from the first of these on and no longer below the
# second, in seconds: several times the lag of the users' replicas at rest.
LAGGING_S = 1.0
CAUGHT_UP_S = 0.5

# A replica that lacked a position is not asked for a later one for this long,
# in seconds.
BEHIND_S = 0.02


class Need(NamedTuple):
    """Say what a request asks of a target.

    Attributes:
        is_primary_only: whether only the primary can serve it.
        is_write: whether it writes by itself.
        consistency: what its reads may miss.
        max_age_s: accepted age of what it reads.
        arrived_s: when its first byte arrived, or that of its transaction.
        own_position: position of the session's last commit, or None.
    """

    is_primary_only: bool
    is_write: bool
    consistency: model.Consistency
    max_age_s: float
    arrived_s: float
    own_position: model.Position | None


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """Hold what this host knows of one target's load and log.

    Attributes:
        target: id of the target.
        data_centre: its data centre.
        is_offered: whether it may get new work.
        is_answering: whether it answered lately.
        idle: idle connections to it.
        running: statements that run on it for this host.
        run_s: moving average of the time to an answer.
        position: newest log position that its reads have shown.
        lag_s: moving average of how far its reads are behind the primary.
        lag_seen_s: when the last sample of it was taken.
        is_lagging: whether it is far behind, as was last told.
        rests_until_s: gets no work before this time after failures.
        failures: failures in a row.
        behind_position: position that it lacked when last asked for one.
        behind_until_s: until when this is believed.
    """

    target: str
    data_centre: str = ""
    is_offered: bool = True
    is_answering: bool = True
    idle: int = 0
    running: int = 0
    run_s: float = FIRST_RUN_S
    position: model.Position = model.Position(0, 0)
    lag_s: float = 0.0
    lag_seen_s: float = 0.0
    is_lagging: bool = False
    rests_until_s: float = 0.0
    failures: int = 0
    behind_position: model.Position | None = None
    behind_until_s: float = 0.0


class Choice(NamedTuple):
    """Name the target that serves a request.

    Attributes:
        target: id of the target, or None where none can.
        position: position that the target's log must hold, or None where it
            is the primary.
        reason: why no target was chosen.
    """

    target: str | None
    position: model.Position | None
    reason: "Reason"


class Reason(enum.Enum):
    """Say why a request waits."""

    CHOSEN = "chosen"
    NO_PRIMARY = "no known primary"
    EVIDENCE_EXPIRED = "evidence about the primary is too old"
    NO_POSITION = "no position of the primary is recent enough"
    NO_CONNECTION = "no idle connection"
    NO_TARGET = "no target may serve it"
    CROWDED = "more requests for the primary than it can run"


def note_run(load: TargetLoad, run_s: float) -> None:
    """Record the time to an answer."""
    load.run_s += AVERAGE_WEIGHT * (run_s - load.run_s)
    load.failures = 0


def note_failure(load: TargetLoad, now_s: float) -> None:
    """Record a failed attempt; the target rests for a while."""
    load.failures += 1
    rest_s = min(MAX_REST_S, FIRST_REST_S * 2 ** min(load.failures, 6))
    load.rests_until_s = now_s + rest_s


def note_position(
    load: TargetLoad,
    position: model.Position,
    leadership: evidence.Leadership,
    now_s: float,
) -> None:
    """Record the log position that a target's reads show."""
    load.position = max(load.position, position)
    if load.target == leadership.target:
        return
    passed_s = evidence.find_time_after(leadership, position)
    sample_s = 0.0 if passed_s is None else max(0.0, now_s - passed_s)
    _note_lag(load, sample_s, now_s)


def note_behind(
    load: TargetLoad,
    position: model.Position,
    leadership: evidence.Leadership,
    now_s: float,
) -> None:
    """Record that a target lacks a position."""
    load.behind_position = position
    load.behind_until_s = now_s + BEHIND_S
    known_s = evidence.find_time_of(leadership, position)
    if known_s is not None and now_s - known_s > load.lag_s:
        _note_lag(load, now_s - known_s, now_s)


def _note_lag(load: TargetLoad, sample_s: float, now_s: float) -> None:
    load.lag_s += LAG_WEIGHT * (sample_s - load.lag_s)
    load.lag_seen_s = now_s


def update_lagging(load: TargetLoad, is_primary: bool) -> bool:
    """Judge whether a target is far behind; return whether that changed."""
    limit_s = CAUGHT_UP_S if load.is_lagging else LAGGING_S
    is_lagging = not is_primary and load.lag_s > limit_s
    has_changed = is_lagging is not load.is_lagging
    load.is_lagging = is_lagging
    return has_changed


def may_use_primary(
    need: Need, leadership: evidence.Leadership, now_s: float
) -> bool:
    """Tell whether the evidence allows a request at the primary.

    A write has to run before a promotion can have taken effect. A read only
    has to show what was acknowledged before it arrived.
    """
    if leadership.target is None:
        return False
    if need.is_write:
        return leadership.valid_until_s >= now_s
    since_s = need.arrived_s
    if need.consistency is not model.Consistency.PRIMARY:
        since_s -= max(0.0, need.max_age_s - evidence.AGE_MARGIN_S)
    if need.own_position and need.own_position.term > leadership.term:
        return False
    return leadership.valid_until_s >= since_s


def find_needed_position(
    need: Need, leadership: evidence.Leadership
) -> model.Position | None:
    """Return the position that a replica must hold to serve a read."""
    if need.is_primary_only or need.consistency is model.Consistency.PRIMARY:
        return None
    allowed_s = max(0.0, need.max_age_s - evidence.AGE_MARGIN_S)
    position = evidence.find_position(leadership, need.arrived_s - allowed_s)
    if position is None:
        return None
    is_session = need.consistency is model.Consistency.SESSION
    if is_session and need.own_position is not None:
        return max(position, need.own_position)
    return position


def choose_target(
    need: Need,
    loads: Iterable[TargetLoad],
    leadership: evidence.Leadership,
    data_centre: str,
    now_s: float,
    excluded: frozenset[str] = frozenset(),
) -> Choice:
    """Choose the target that is expected to answer first.

    Args:
        need: what the request asks for.
        loads: the group's targets.
        leadership: evidence about the group's primary.
        data_centre: data centre of this host.
        now_s: time of the evidence's clock.
        excluded: targets that the request was tried on in vain.
    """
    primary_allowed = may_use_primary(need, leadership, now_s)
    position = find_needed_position(need, leadership)
    known_s = None
    if position is not None:
        known_s = evidence.find_time_of(leadership, position)
    best: TargetLoad | None = None
    best_cost = 0.0
    has_candidate = False
    for load in loads:
        is_primary = load.target == leadership.target
        if is_primary:
            may_serve = primary_allowed
        else:
            may_serve = position is not None and has_position(
                load, position, known_s, now_s
            )
        if not may_serve or not _is_offered(load, is_primary, excluded, now_s):
            continue
        has_candidate = True
        cost = estimate_answer_s(load, is_primary and not need.is_primary_only)
        if load.data_centre != data_centre:
            cost += DISTANCE_S
        if load.idle > 0 and (best is None or cost < best_cost):
            best, best_cost = load, cost
    if best is not None:
        is_replica = best.target != leadership.target
        return Choice(
            best.target, position if is_replica else None, Reason.CHOSEN
        )
    if has_candidate:
        return Choice(None, None, Reason.NO_CONNECTION)
    return Choice(None, None, _explain(need, leadership, position))


def has_position(
    load: TargetLoad,
    position: model.Position,
    known_s: float | None,
    now_s: float,
) -> bool:
    """Tell whether a replica is expected to show a position.

    Args:
        load: what is known of the replica.
        position: the position.
        known_s: when the primary was first known to have it, or None.
        now_s: the time.
    """
    if position <= load.position:
        return True
    behind = load.behind_position
    was_behind = behind is not None and now_s < load.behind_until_s
    if was_behind and behind is not None and position >= behind:
        return False
    if known_s is None or now_s >= known_s + load.lag_s:
        return True
    return now_s - load.lag_seen_s > LAG_AGE_S


def _is_offered(
    load: TargetLoad, is_primary: bool, excluded: frozenset[str], now_s: float
) -> bool:
    if load.target in excluded:
        return False
    if not load.is_offered or not load.is_answering:
        return False
    return is_primary or load.rests_until_s <= now_s


def estimate_answer_s(load: TargetLoad, counts_as_spare: bool) -> float:
    """Return the expected time to an answer, in seconds."""
    expected_s = load.run_s * (1 + load.running)
    return expected_s * PRIMARY_FACTOR if counts_as_spare else expected_s


def _explain(
    need: Need,
    leadership: evidence.Leadership,
    position: model.Position | None,
) -> Reason:
    if need.is_primary_only or need.consistency is model.Consistency.PRIMARY:
        if leadership.target is None:
            return Reason.NO_PRIMARY
        return Reason.EVIDENCE_EXPIRED
    return Reason.NO_POSITION if position is None else Reason.NO_TARGET
