"""Admit, queue, cancel and expire requests."""

import math
from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import attempts
from knapweedtally.core.admission import dispatch
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import shares
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.routing import lag
from knapweedtally.core.routing import rules as routing_rules
from knapweedtally.core.writes import decisions as writes

MAX_QUEUE_LENGTH = 10_000
# Fraction of the request timeout that may pass in the queue; the rest is left
# for running the request.
MAX_QUEUE_WAIT_SHARE = 0.5
# A queue that has not been empty for this long is a standing queue rather
# than a burst.
STANDING_QUEUE_S = 0.2
# Age of a standing queue at which the requests admitted during the burst are
# checked again.
TRIM_QUEUE_AFTER_S = 1.0
# Larger than MAX_QUEUE_WAIT_SHARE, so that a queue whose length fluctuates is
# not trimmed.
TRIM_QUEUE_WAIT_SHARE = 0.8
IDLE_TRANSACTION_LIMIT_S = 60.0
# Lower bound that avoids a division by zero.
MIN_SERVICE_TIME_S = 1e-6
# Time left for answers in flight from the old primary when a new term opens.
TERM_CHANGE_GRACE_S = 0.2

Effects = list[effects.Effect]


def admit_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: admission_events.RequestArrived,
) -> Effects:
    """Start or queue a request, or refuse it at once.

    A request is refused if its group is unknown, if its queue is full, or if
    its estimated wait exceeds the limit.
    """
    group = state.directory.get_group(event.group)
    request = _make_request(state, moment, event, group)
    state.admission.requests[request.id] = request
    if group is None:
        return attempts.deliver_error(
            state,
            moment,
            request,
            errors.ErrorKind.UNKNOWN_GROUP,
            "the bundle in force names no such group",
        )
    _refill_retry_budget(state, event.group)
    if request.traits.is_pinned:
        return attempts.start_pinned_attempt(state, moment, request)
    if request.position is not None:
        offset = request.position.offset
        lag.record_offset(state.routing, request.group, offset, moment.at)
    queue_key = attempts.get_queue_key(request)
    request_queue = attempts.get_queue(state, queue_key)
    if not len(request_queue):
        state.admission.busy_since[queue_key] = moment.at
    wait_s = estimate_wait_s(state, moment, group, request)
    limit_s = MAX_QUEUE_WAIT_SHARE * group.request_timeout_ms / 1000.0
    exceeds_wait_limit = wait_s >= limit_s
    if exceeds_wait_limit or len(request_queue) >= MAX_QUEUE_LENGTH:
        return attempts.deliver_error(
            state,
            moment,
            request,
            errors.ErrorKind.OVERLOADED,
            f"estimated wait {wait_s:.1f} s exceeds {limit_s:.1f} s",
            retry_after_ms=max(100, math.ceil(wait_s * 500)),
        )
    request_queue.push(request.caller, request.id)
    return dispatch.dispatch_queue(state, moment, queue_key)


def estimate_wait_s(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: model.Group,
    request: admission_state.Request,
) -> float:
    """Return the expected time of a request in its queue, in seconds."""
    queue_key = attempts.get_queue_key(request)
    request_queue = attempts.get_queue(state, queue_key)
    is_standing = _get_queue_age_s(state, moment, queue_key) >= STANDING_QUEUE_S
    ahead = request_queue.count_ahead(request.caller, is_standing)
    return ahead * _estimate_start_interval_s(state, group, queue_key)


def trim_queues(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Refuse requests that a standing queue can't start within its limit.

    These requests were admitted before the queue counted as standing. Each
    period in which a queue is not empty is checked only once.
    """
    result: Effects = []
    for queue_key, request_queue in state.admission.queues.items():
        group = state.directory.get_group(queue_key.group)
        if (
            group is None
            or _get_queue_age_s(state, moment, queue_key) < TRIM_QUEUE_AFTER_S
        ):
            continue
        busy_since = state.admission.busy_since[queue_key]
        if state.admission.trimmed_busy_since.get(queue_key) == busy_since:
            continue
        state.admission.trimmed_busy_since[queue_key] = busy_since
        limit_s = TRIM_QUEUE_WAIT_SHARE * group.request_timeout_ms / 1000.0
        round_s = request_queue.count_callers() * _estimate_start_interval_s(
            state, group, queue_key
        )
        for request_id in request_queue.list_beyond_turns(
            int(limit_s / round_s) + 1
        ):
            result += attempts.deliver_error(
                state,
                moment,
                state.admission.requests[request_id],
                errors.ErrorKind.OVERLOADED,
                f"{round_s:.1f} s between two turns of its caller",
                retry_after_ms=math.ceil(limit_s * 1000),
            )
    return result


def _get_queue_age_s(
    state: state_module.ProxyState,
    moment: model.Moment,
    queue_key: admission_state.QueueKey,
) -> float:
    """Return how long a queue has not been empty, in seconds."""
    if not len(attempts.get_queue(state, queue_key)):
        return 0.0
    return moment.at - state.admission.busy_since.get(queue_key, moment.at)


def _estimate_start_interval_s(
    state: state_module.ProxyState,
    group: model.Group,
    queue_key: admission_state.QueueKey,
) -> float:
    """Return the mean interval between request starts, in seconds."""
    targets = 1 if queue_key.is_primary else max(1, len(group.targets) - 1)
    parallel = shares.get_share(state, group) * targets
    service_time_s = state.admission.service_time_s.get(
        queue_key, attempts.DEFAULT_SERVICE_TIME_S
    )
    return max(service_time_s, MIN_SERVICE_TIME_S) / parallel


def resume_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.TimerFired,
) -> Effects:
    """Return a waiting request to the head of its caller's queue."""
    if not isinstance(event.key, admission_events.RetryDue):
        return []
    request = state.admission.requests.get(event.key.request)
    if request is None:
        return []
    if request.phase is not admission_state.RequestPhase.WAITING:
        return []
    request.phase = admission_state.RequestPhase.QUEUED
    request.waited_for_replica = True
    queue_key = attempts.get_queue_key(request)
    attempts.get_queue(state, queue_key).push_front(request.caller, request.id)
    return dispatch.dispatch_queue(state, moment, queue_key)


def handle_tick(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.Ticked,
) -> Effects:
    """Expire requests and attempts, trim queues and start queued requests."""
    result: Effects = []
    for request in list(state.admission.requests.values()):
        if request.deadline <= moment.at:
            result += writes.expire_request(state, moment, request)
        elif request.abort_at <= moment.at:
            result += writes.abort_attempt(state, moment, request)
    shares.remove_expired_caps(state, moment)
    result += trim_queues(state, moment)
    result += _release_idle_transactions(state, moment)
    result += handle_new_terms(state, moment, event)
    for group in dict.fromkeys(
        queue_key.group for queue_key in state.admission.queues
    ):
        result += dispatch.dispatch_group(state, moment, group)
    return result


def handle_new_terms(
    state: state_module.ProxyState, moment: model.Moment, event: object
) -> Effects:
    """Limit work on replaced primaries and start requests on new ones."""
    result: Effects = []
    for group in dict.fromkeys(
        queue_key.group for queue_key in state.admission.queues
    ):
        record = state.directory.records.get(group)
        if record is None or record.phase is not model.Phase.OPEN:
            continue
        newest = (record.term, record.primary)
        known = state.admission.handled_terms.get(group)
        if known == newest:
            continue
        state.admission.handled_terms[group] = newest
        state.routing.backoff_until.pop(record.primary, None)
        if known is not None:
            result += _limit_old_primary_work(state, moment, group, known[1])
        result += dispatch.dispatch_group(state, moment, group)
    return result


def cancel_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: admission_events.RequestCancelled,
) -> Effects:
    """Cancel a session's request.

    A running statement is cancelled by its target; a request that hasn't
    started ends with an error answer.
    """
    for request in list(state.admission.requests.values()):
        if request.session != event.session:
            continue
        if request.phase is admission_state.RequestPhase.RUNNING:
            return [effects.CancelStatement(request.lease)]
        return attempts.deliver_error(
            state,
            moment,
            request,
            errors.ErrorKind.DEADLINE,
            "the caller cancelled it",
        )
    return []


def end_session(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: admission_events.SessionEnded,
) -> Effects:
    """Remove a session's requests and roll back its transaction."""
    result: Effects = []
    groups = set()
    for request in list(state.admission.requests.values()):
        if request.session == event.session:
            groups.add(request.group)
            result += attempts.release_lease(state, request.lease, False)
            attempts.remove_request(state, request)
    lease = state.admission.transactions.get(event.session)
    if lease is not None:
        target = state.admission.leases[lease].target
        groups.add(state.directory.group_names.get(target, ""))
        result += attempts.release_lease(state, lease, False)
    for group in groups:
        result += dispatch.dispatch_group(state, moment, group)
    return result


def _make_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: admission_events.RequestArrived,
    group: model.Group | None,
) -> admission_state.Request:
    timeout_s = group.request_timeout_ms / 1000.0 if group else 0.0
    return admission_state.Request(
        event.request,
        event.session,
        event.caller,
        event.group,
        event.kind,
        routing_rules.compute_max_age_ms(group, event) if group else 0,
        event.position,
        event.key,
        moment.at,
        moment.at + timeout_s,
    )


def _refill_retry_budget(state: state_module.ProxyState, group: str) -> None:
    limit = admission_state.RETRY_BUDGET_LIMIT
    known = state.admission.retry_budget.get(group, limit)
    refilled = known + admission_state.RETRY_BUDGET_PER_REQUEST
    state.admission.retry_budget[group] = min(limit, refilled)


def _release_idle_transactions(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    running = {request.lease for request in state.admission.requests.values()}
    result: Effects = []
    for lease_id in list(state.admission.transactions.values()):
        lease = state.admission.leases[lease_id]
        if lease_id in running:
            continue
        if moment.at - lease.last_used_at > IDLE_TRANSACTION_LIMIT_S:
            result += attempts.release_lease(state, lease_id, False)
    return result


def _limit_old_primary_work(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    old_primary: str,
) -> Effects:
    result: Effects = []
    running = set()
    for request in state.admission.requests.values():
        running.add(request.lease)
        if request.group == group and request.target == old_primary:
            grace_end = moment.at + TERM_CHANGE_GRACE_S
            request.abort_at = min(request.abort_at, grace_end)
    for lease_id in list(state.admission.transactions.values()):
        lease = state.admission.leases[lease_id]
        must_release = lease.target == old_primary and not lease.is_read_only
        if must_release and lease_id not in running:
            result += attempts.release_lease(state, lease_id, False)
    return result


HANDLERS: dict[type, Callable[..., Effects]] = {
    admission_events.RequestArrived: admit_request,
    admission_events.RequestCancelled: cancel_request,
    admission_events.SessionEnded: end_session,
    events.TimerFired: resume_request,
    events.Ticked: handle_tick,
    events.ObjectSeen: handle_new_terms,
    events.ObjectUpdated: handle_new_terms,
    events.ObjectConflicted: handle_new_terms,
    events.RegisterSeen: handle_new_terms,
}
