"""Choice of the target that serves a request.

Replicas lag by different and changing amounts, and one target may be slower
than the others. A read therefore goes to the target from which the first answer
is expected among those that may serve it. This also keeps the primary less busy
for requests that only it can serve.
"""

import dataclasses
import enum
from collections.abc import Iterable
from typing import NamedTuple

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import queue_refusals

# Weight of the newest sample in the moving average of run times.
RUN_TIME_WEIGHT = 0.2

# Run time that is assumed for a target that has not answered yet.
INITIAL_RUN_TIME_S = 0.015

# Latency that is added for a target in another data centre: one round trip
# between data centres.
CROSS_DATA_CENTRE_LATENCY_S = 0.003

# The expected answer time of the primary is multiplied by this for reads, which
# leaves the primary to requests that only it can serve while replicas are about
# as fast.
PRIMARY_COST_FACTOR = 1.5

# Exponential backoff: after n consecutive failures, a target is tried again
# after the base times 2**n, up to the limit.
BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 1.0

# Weight of the newest sample of a replica's lag in its moving average.
LAG_WEIGHT = 0.3

# A replica that is expected to lack a position is tried anyway if the last
# sample of its lag is older than this.
MAX_LAG_SAMPLE_AGE_S = 0.15

# A replica counts as lagging once its lag exceeds the first threshold, until it
# has fallen to the second. Both are several times the lag of the users'
# replicas without load.
LAGGING_THRESHOLD_S = 1.0
CAUGHT_UP_THRESHOLD_S = 0.5

# A replica that lacked a position isn't tried for the same or a later position
# for this long.
MISSING_POSITION_RETRY_S = 0.02


class Requirements(NamedTuple):
    """What a request requires of a target.

    Attributes:
        is_primary_only: whether only the primary can serve the request.
        is_write: whether the request is itself a write.
        consistency: which commits its reads may miss.
        max_age_s: maximum staleness of its reads.
        arrived_s: when the first byte of the request, or of its transaction,
            arrived.
        last_commit_position: log position of the session's last commit, or
            None.
    """

    is_primary_only: bool
    is_write: bool
    consistency: model.Consistency
    max_age_s: float
    arrived_s: float
    last_commit_position: model.Position | None


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """What this host knows of one target's load and log.

    Attributes:
        target: id of the target.
        data_centre: data centre of the target.
        accepts_new_work: whether the target may get new work.
        is_responsive: whether the target has answered recently.
        idle: number of idle connections to the target.
        running: number of this host's statements that run on the target.
        run_time_s: moving average of the time until an answer.
        position: newest log position that reads at the target have shown.
        lag_s: moving average of how far its reads lag behind the primary.
        lag_sampled_s: when the last sample of this lag was taken.
        is_lagging: whether the target lags, as last determined by
            ``update_lagging``.
        backoff_until_s: end of the backoff after failures.
        failures: number of consecutive failures.
        missing_position: position that the target lacked when it was last
            tried in vain, or None.
        missing_until_s: until when the target is assumed to lack it.
        queue_cost: addition to the expected time until an answer after a
            refusal of a holder's queue.
        wait_s: expected wait for a connection in this host's own queue.
    """

    target: str
    data_centre: str = ""
    accepts_new_work: bool = True
    is_responsive: bool = True
    idle: int = 0
    running: int = 0
    run_time_s: float = INITIAL_RUN_TIME_S
    position: model.Position = model.Position(0, 0)
    lag_s: float = 0.0
    lag_sampled_s: float = 0.0
    is_lagging: bool = False
    backoff_until_s: float = 0.0
    failures: int = 0
    missing_position: model.Position | None = None
    missing_until_s: float = 0.0
    queue_cost: queue_refusals.QueueCost = queue_refusals.NO_COST
    wait_s: float = 0.0


class Choice(NamedTuple):
    """The target that serves a request.

    Attributes:
        target: id of the target, or None if no target can serve the request.
        position: log position that the target must have reached, or None if
            the target is the primary.
        reason: why no target was chosen, or ``CHOSEN``.
    """

    target: str | None
    position: model.Position | None
    reason: "Reason"


class Reason(enum.Enum):
    """Reasons why a request waits for a target."""

    CHOSEN = "chosen"
    NO_PRIMARY = "no known primary"
    EVIDENCE_EXPIRED = "evidence about the primary is too old"
    NO_POSITION = "no position of the primary is recent enough"
    NO_CONNECTION = "no idle connection"
    NO_TARGET = "no target may serve it"
    CROWDED = "more requests for the primary than it can run"


def record_run_time(load: TargetLoad, run_s: float) -> None:
    """Record a successful attempt and the time until its answer."""
    load.run_time_s += RUN_TIME_WEIGHT * (run_s - load.run_time_s)
    load.failures = 0


def record_failure(load: TargetLoad, now_s: float) -> None:
    """Record a failed attempt and start the backoff of the target."""
    load.failures += 1
    backoff_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2 ** min(load.failures, 6))
    load.backoff_until_s = now_s + backoff_s


def record_position(
    load: TargetLoad,
    position: model.Position,
    leadership: evidence.Leadership,
    now_s: float,
) -> None:
    """Record the log position that a read at a target has shown."""
    load.position = max(load.position, position)
    if load.target == leadership.target:
        return
    passed_s = evidence.find_time_passed(leadership, position)
    sample_s = 0.0 if passed_s is None else max(0.0, now_s - passed_s)
    _add_lag_sample(load, sample_s, now_s)


def record_missing_position(
    load: TargetLoad,
    position: model.Position,
    leadership: evidence.Leadership,
    now_s: float,
) -> None:
    """Record that a target lacks a position."""
    load.missing_position = position
    load.missing_until_s = now_s + MISSING_POSITION_RETRY_S
    known_s = evidence.find_time_reached(leadership, position)
    if known_s is not None and now_s - known_s > load.lag_s:
        _add_lag_sample(load, now_s - known_s, now_s)


def _add_lag_sample(load: TargetLoad, sample_s: float, now_s: float) -> None:
    load.lag_s += LAG_WEIGHT * (sample_s - load.lag_s)
    load.lag_sampled_s = now_s


def update_lagging(load: TargetLoad, is_primary: bool) -> bool:
    """Update whether a target counts as lagging.

    Returns:
        Whether this has changed.
    """
    threshold_s = (
        CAUGHT_UP_THRESHOLD_S if load.is_lagging else LAGGING_THRESHOLD_S
    )
    is_lagging = not is_primary and load.lag_s > threshold_s
    has_changed = is_lagging is not load.is_lagging
    load.is_lagging = is_lagging
    return has_changed


def may_use_primary(
    need: Requirements, leadership: evidence.Leadership, now_s: float
) -> bool:
    """Return whether the evidence allows sending a request to the primary.

    A write has to run before any promotion can have taken effect. A read only
    has to include the commits that were acknowledged before it arrived, or
    earlier by the accepted age.
    """
    if leadership.target is None:
        return False
    if need.is_write:
        return leadership.valid_until_s >= now_s
    since_s = need.arrived_s
    if need.consistency is not model.Consistency.PRIMARY:
        since_s -= max(0.0, need.max_age_s - evidence.AGE_DRIFT_MARGIN_S)
    if (
        need.last_commit_position
        and need.last_commit_position.term > leadership.term
    ):
        return False
    return leadership.valid_until_s >= since_s


def find_required_position(
    need: Requirements, leadership: evidence.Leadership
) -> model.Position | None:
    """Return the position that a replica must have reached to serve a read.

    Returns:
        The position, or None if no replica may serve the request.
    """
    if need.is_primary_only or need.consistency is model.Consistency.PRIMARY:
        return None
    allowed_age_s = max(0.0, need.max_age_s - evidence.AGE_DRIFT_MARGIN_S)
    position = evidence.find_position(
        leadership, need.arrived_s - allowed_age_s
    )
    if position is None:
        return None
    is_session = need.consistency is model.Consistency.SESSION
    if is_session and need.last_commit_position is not None:
        return max(position, need.last_commit_position)
    return position


def choose_target(
    need: Requirements,
    loads: Iterable[TargetLoad],
    leadership: evidence.Leadership,
    data_centre: str,
    now_s: float,
    excluded: frozenset[str] = frozenset(),
) -> Choice:
    """Choose the target that is expected to answer first.

    Args:
        need: what the request requires of a target.
        loads: what is known of the group's targets.
        leadership: evidence about the group's primary.
        data_centre: data centre of this host.
        now_s: the current time, by the clock of the evidence.
        excluded: ids of the targets that already failed to serve the request.
    """
    primary_allowed = may_use_primary(need, leadership, now_s)
    position = find_required_position(need, leadership)
    known_s = None
    if position is not None:
        known_s = evidence.find_time_reached(leadership, position)
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
        if not may_serve or not _is_available(
            load, is_primary, excluded, now_s
        ):
            continue
        has_candidate = True
        cost = estimate_answer_s(load, is_primary and not need.is_primary_only)
        cost += queue_refusals.get_remaining_s(load.queue_cost, now_s)
        cost += load.wait_s
        if load.data_centre != data_centre:
            cost += CROSS_DATA_CENTRE_LATENCY_S
        if load.idle > 0 and (best is None or cost < best_cost):
            best, best_cost = load, cost
    if best is not None:
        is_replica = best.target != leadership.target
        return Choice(
            best.target, position if is_replica else None, Reason.CHOSEN
        )
    if has_candidate:
        return Choice(None, None, Reason.NO_CONNECTION)
    return Choice(None, None, _find_wait_reason(need, leadership, position))


def has_position(
    load: TargetLoad,
    position: model.Position,
    known_s: float | None,
    now_s: float,
) -> bool:
    """Return whether a replica is expected to have reached a position.

    Args:
        load: what is known of the replica.
        position: the position.
        known_s: when the primary was first known to have reached the position,
            or None.
        now_s: the current time.
    """
    if position <= load.position:
        return True
    lacked = load.missing_position
    lacked_it_recently = lacked is not None and now_s < load.missing_until_s
    if lacked_it_recently and lacked is not None and position >= lacked:
        return False
    if known_s is None or now_s >= known_s + load.lag_s:
        return True
    return now_s - load.lag_sampled_s > MAX_LAG_SAMPLE_AGE_S


def _is_available(
    load: TargetLoad, is_primary: bool, excluded: frozenset[str], now_s: float
) -> bool:
    if load.target in excluded:
        return False
    if not load.accepts_new_work or not load.is_responsive:
        return False
    return is_primary or load.backoff_until_s <= now_s


def estimate_answer_s(load: TargetLoad, is_avoided: bool) -> float:
    """Return the expected time until an answer, in seconds.

    Args:
        load: what is known of the target.
        is_avoided: whether to apply ``PRIMARY_COST_FACTOR``.
    """
    expected_s = load.run_time_s * (1 + load.running)
    return expected_s * PRIMARY_COST_FACTOR if is_avoided else expected_s


def _find_wait_reason(
    need: Requirements,
    leadership: evidence.Leadership,
    position: model.Position | None,
) -> Reason:
    if need.is_primary_only or need.consistency is model.Consistency.PRIMARY:
        if leadership.target is None:
            return Reason.NO_PRIMARY
        return Reason.EVIDENCE_EXPIRED
    return Reason.NO_POSITION if position is None else Reason.NO_TARGET
