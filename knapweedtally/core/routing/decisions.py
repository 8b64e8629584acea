"""Choose the target of a request."""

from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import shares
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.draining import rules as draining_rules
from knapweedtally.core.failover import detection
from knapweedtally.core.routing import lag
from knapweedtally.core.routing import state as routing_state

INITIAL_FAILURE_BACKOFF_S = 0.05
MAX_FAILURE_BACKOFF_S = 1.0
WRITE_HOLD_BACKOFF_S = 0.02
MAX_AGE_FRACTION = 0.8


class Choice(NamedTuple):
    """The target of a request, or when to choose one again.

    Attributes:
        target: id of the target, or empty when none can serve it now.
        retry_at: time at which to choose again, or 0 to wait for an event.
        reason: text for the decision record.
        is_primary_busy: whether only the primary can serve the request and it
            has no free connection.
    """

    target: str
    retry_at: float
    reason: str
    is_primary_busy: bool = False


class _Candidate(NamedTuple):
    ready_at: float
    is_silent: bool
    is_remote: bool
    load: int
    target: str


def choose_target(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> Choice:
    """Choose a target for a request that isn't pinned to a lease.

    Args:
        state: state of the proxy.
        moment: time of the choice.
        request: request to route.

    Returns:
        The choice; its target is empty when the request has to wait.
    """
    if not may_use_replica(request):
        return _choose_primary(state, moment, request, "needs the primary")
    candidates = _list_replicas(state, moment, request)
    if _should_try_near_primary(state, moment, request, candidates):
        choice = _choose_primary(
            state, moment, request, "replicas elsewhere may be cut off"
        )
        if choice.target or 0.0 < choice.retry_at < request.deadline:
            return choice
    free = [
        candidate
        for candidate in candidates
        if shares.has_free_connection(state, candidate.target)
    ]
    ready = [c for c in free if c.ready_at <= moment.at]
    if ready:
        best = min(
            ready, key=lambda c: (c.is_silent, c.is_remote, c.load, c.target)
        )
        return Choice(best.target, 0.0, "replica expected to have the position")
    if free and not request.waited_for_replica:
        first = min(free, key=lambda c: (c.ready_at, c.is_remote, c.load))
        group = _get_group(state, request)
        if first.ready_at - moment.at <= group.replica_wait_ms / 1000.0:
            return Choice("", first.ready_at, "a replica is about to catch up")
    if candidates and not free:
        return Choice("", 0.0, "replicas have no free connection")
    return _choose_primary(state, moment, request, "no replica is fresh enough")


def may_use_replica(request: admission_state.Request) -> bool:
    """Return whether a replica may serve the request."""
    if request.traits.needs_primary or request.requires_primary:
        return False
    return request.max_age_ms > 0 and request.position is not None


def record_failure(
    routing: routing_state.RoutingState, target: str, at: float
) -> None:
    """Avoid a target with backoff that doubles per consecutive failure."""
    count = routing.failures.get(target, 0)
    routing.failures[target] = count + 1
    delay = min(INITIAL_FAILURE_BACKOFF_S * 2**count, MAX_FAILURE_BACKOFF_S)
    routing.backoff_until[target] = at + delay


def record_write_hold(
    routing: routing_state.RoutingState, target: str, at: float
) -> None:
    """Back off from a primary that pauses writes for a planned change."""
    routing.backoff_until[target] = at + WRITE_HOLD_BACKOFF_S


def record_success(routing: routing_state.RoutingState, target: str) -> None:
    """Clear the backoff of a target that answered."""
    routing.failures.pop(target, None)
    routing.backoff_until.pop(target, None)


def find_primary(state: state_module.ProxyState, group: str) -> str:
    """Return the id of the primary if the newest term is open, else empty."""
    record = state.directory.records.get(group)
    if record is None or record.phase is not model.Phase.OPEN:
        return ""
    return record.primary


def _get_group(
    state: state_module.ProxyState, request: admission_state.Request
) -> model.Group:
    group = state.directory.get_group(request.group)
    if group is None:
        raise KeyError(request.group)
    return group


def _choose_primary(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    reason: str,
) -> Choice:
    primary = find_primary(state, request.group)
    if not primary:
        return Choice("", 0.0, "no open term is known")
    backoff_until = state.routing.backoff_until.get(primary, 0.0)
    if backoff_until > moment.at:
        return Choice("", backoff_until, "the primary failed a moment ago")
    if not shares.has_free_connection(state, primary):
        return Choice("", 0.0, "the primary has no free connection", True)
    return Choice(primary, 0.0, reason)


def _should_try_near_primary(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    candidates: list[_Candidate],
) -> bool:
    """Return whether a read should prefer the primary beside this host.

    When a target in another data centre was silent, this data centre may be
    cut off. Another attempt elsewhere could then last until the deadline.
    """
    if not request.silent_targets:
        return False
    if any(not candidate.is_remote for candidate in candidates):
        return False
    primary = find_primary(state, request.group)
    if detection.is_unreachable(state, moment, primary):
        return False
    own = state.identity.data_centre
    centres = {
        target.id: target.data_centre
        for target in _get_group(state, request).targets
    }
    return centres.get(primary) == own and any(
        centres.get(target, own) != own for target in request.silent_targets
    )


def _list_replicas(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> list[_Candidate]:
    group = _get_group(state, request)
    primary = find_primary(state, request.group)
    result = []
    for target in group.targets:
        if target.id == primary:
            continue
        if draining_rules.is_leaving(state, target.id, group):
            continue
        if state.routing.backoff_until.get(target.id, 0.0) > moment.at:
            continue
        if detection.is_unreachable(state, moment, target.id):
            # An attempt would use up time in which the primary could answer
            # before the deadline.
            continue
        candidate = _build_candidate(state, moment, request, target)
        if candidate is not None:
            result.append(candidate)
    return result


def _build_candidate(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    target: model.Target,
) -> _Candidate | None:
    position = request.position
    if position is None:
        return None
    known = state.directory.reports.get(target.id)
    ready_at = lag.estimate_ready_at(
        state.routing, request.group, target.id, position.offset, moment.at
    )
    if known is not None:
        report, seen_at = known
        if report.age_ms > request.max_age_ms * MAX_AGE_FRACTION and (
            moment.at - seen_at < 1.0
        ):
            return None
        if report.term >= position.term and report.offset >= position.offset:
            ready_at = moment.at
    return _Candidate(
        ready_at,
        target.id in request.silent_targets,
        target.data_centre != state.identity.data_centre,
        state.admission.leases_in_use.get(target.id, 0),
        target.id,
    )
