"""Start and retry attempts, and complete requests."""

import math

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import queue
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.routing import decisions as routing
from knapweedtally.core.routing import rules as routing_rules

PART = "admission"
# Fraction of the request timeout after which the first attempt of a request
# that is safe to retry is aborted.
READ_ATTEMPT_TIMEOUT_SHARE = 0.4
# Weight of a new sample in the moving average of the service time.
SERVICE_TIME_SMOOTHING = 0.1
DEFAULT_SERVICE_TIME_S = 0.005
DEFAULT_RETRY_AFTER_MS = 500
RETRY_DELAY_S = 0.02

Effects = list[effects.Effect]


def get_queue_key(request: admission_state.Request) -> admission_state.QueueKey:
    """Return the key of the queue in which a request waits."""
    return admission_state.QueueKey(
        request.group, not routing.may_use_replica(request)
    )


def get_queue(
    state: state_module.ProxyState, queue_key: admission_state.QueueKey
) -> queue.FairQueue:
    """Return the queue for a key, creating it on first use."""
    found = state.admission.queues.get(queue_key)
    if found is None:
        found = state.admission.queues[queue_key] = queue.FairQueue()
    return found


def start_attempt(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    target: str,
) -> Effects:
    """Start an attempt of a request on a target with a new lease."""
    admission = state.admission
    lease = admission_state.Lease(admission.next_lease, target)
    admission.next_lease += 1
    lease.is_read_only = not request.traits.needs_primary
    admission.leases[lease.id] = lease
    admission.leases_in_use[target] = admission.leases_in_use.get(target, 0) + 1
    return _run_attempt(state, moment, request, lease)


def start_pinned_attempt(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> Effects:
    """Start an attempt of a statement on the lease of its transaction."""
    admission = state.admission
    lease_id = admission.transactions.get(request.session, 0)
    lease = admission.leases.get(lease_id)
    if lease is None:
        return deliver_error(
            state,
            moment,
            request,
            errors.ErrorKind.TRANSACTION_LOST,
            "the transaction's connection was given up",
        )
    request.reason = "pinned to its transaction"
    return _run_attempt(state, moment, request, lease)


def release_lease(
    state: state_module.ProxyState, lease_id: int, is_reusable: bool
) -> Effects:
    """Release a lease; do nothing if it was released before.

    Args:
        state: state of the proxy.
        lease_id: id of the lease.
        is_reusable: whether the connection may return to the pool; False
            closes it.
    """
    admission = state.admission
    lease = admission.leases.pop(lease_id, None)
    if lease is None:
        return []
    admission.leases_in_use[lease.target] -= 1
    if lease.session:
        admission.transactions.pop(lease.session, None)
    return [effects.ReleaseLease(lease_id, is_reusable)]


def keep_or_release_lease(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    is_open: bool,
) -> Effects:
    """Keep the lease of an open transaction; release any other lease.

    Args:
        state: state of the proxy.
        moment: moment of the answer.
        request: request that was answered.
        is_open: whether a transaction is open on the connection.
    """
    lease = state.admission.leases.get(request.lease)
    if lease is None:
        return []
    lease.last_used_at = moment.at
    if is_open and request.traits.keeps_lease:
        lease.session = request.session
        state.admission.transactions[request.session] = lease.id
        return []
    return release_lease(state, lease.id, is_reusable=not is_open)


def update_service_time(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> None:
    """Update the moving average of the service time of a request's queue."""
    queue_key = get_queue_key(request)
    known = state.admission.service_time_s.get(
        queue_key, DEFAULT_SERVICE_TIME_S
    )
    sample = moment.at - request.sent_at
    state.admission.service_time_s[queue_key] = (
        known + SERVICE_TIME_SMOOTHING * (sample - known)
    )


def deliver_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    position: model.Position | None,
    report: model.TargetReport | None,
) -> Effects:
    """Complete a request with the answer to its running attempt."""
    state.admission.count(f"answered {request.kind.value}")
    lease = state.admission.leases.get(request.lease)
    target = lease.target if lease else request.target
    decision = explanations.record_decision(
        state,
        moment,
        "routing",
        f"request {request.id}",
        f"answered by {target}",
        request.reason,
        group=request.group,
        kind=request.kind.value,
        attempts=request.attempt,
        position=position,
        report=report,
        asked=request.position,
        max_age_ms=request.max_age_ms,
        took_ms=round((moment.at - request.arrived_at) * 1000, 1),
    )
    del state.admission.requests[request.id]
    return [
        effects.DeliverAnswer(request.id, request.attempt, position, decision)
    ]


def deliver_error(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    kind: errors.ErrorKind,
    reason: str,
    retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
) -> Effects:
    """Complete a request with an error answer.

    A write that an earlier attempt may have run is never reported as
    "not run".
    """
    kind = resolve_error_kind(request, kind)
    answer = errors.ERROR_ANSWERS[kind]
    state.admission.count(f"refused {kind.value}")
    decision = explanations.record_decision(
        state,
        moment,
        PART,
        f"request {request.id}",
        f"{answer.outcome.value}: {kind.value}",
        reason,
        remedy=_REMEDIES.get(kind, ""),
        group=request.group,
        kind=request.kind.value,
        attempts=request.attempt,
        target=request.target,
        waited_ms=round((moment.at - request.arrived_at) * 1000, 1),
    )
    remove_request(state, request)
    delay = retry_after_ms if answer.is_retryable else 0
    return [effects.DeliverError(request.id, kind, delay, decision)]


def remove_request(
    state: state_module.ProxyState, request: admission_state.Request
) -> None:
    """Remove a request from the state and from its queue."""
    state.admission.requests.pop(request.id, None)
    queue_key = get_queue_key(request)
    get_queue(state, queue_key).remove(request.caller, request.id)


def resolve_error_kind(
    request: admission_state.Request, kind: errors.ErrorKind
) -> errors.ErrorKind:
    """Return the error kind to report for a request.

    A kind that means "not run" becomes ``OUTCOME_UNKNOWN`` if an earlier
    attempt may have run the write.
    """
    if not request.may_have_run:
        return kind
    if errors.ERROR_ANSWERS[kind].outcome is errors.Outcome.NOT_RUN:
        return errors.ErrorKind.OUTCOME_UNKNOWN
    return kind


def schedule_retry(
    moment: model.Moment, request: admission_state.Request, at: float
) -> Effects:
    """Schedule a new choice of target for a request.

    Args:
        moment: current moment.
        request: request to retry.
        at: monotonic time of the retry, in seconds.
    """
    request.phase = admission_state.RequestPhase.WAITING
    key = admission_events.RetryDue(request.id)
    return [effects.SetTimer(key, max(0.0, at - moment.at))]


def retry_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    delay_s: float = RETRY_DELAY_S,
) -> Effects:
    """Retry a request after a delay, charging the group's retry budget.

    If the budget is used up, the request fails with ``TARGET_LOST``, or with
    ``OUTCOME_UNKNOWN`` if it may have run.
    """
    budget = state.admission.retry_budget.get(
        request.group, admission_state.RETRY_BUDGET_LIMIT
    )
    if budget < 1.0:
        return deliver_error(
            state,
            moment,
            request,
            errors.ErrorKind.TARGET_LOST,
            "the group's retry budget is used up",
        )
    state.admission.retry_budget[request.group] = budget - 1.0
    state.admission.count("retried")
    return retry_without_budget(moment, request, delay_s)


def retry_without_budget(
    moment: model.Moment, request: admission_state.Request, delay_s: float
) -> Effects:
    """Retry a request after a delay without charging the retry budget."""
    request.lease = 0
    request.abort_at = math.inf
    return schedule_retry(moment, request, moment.at + delay_s)


def _run_attempt(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    lease: admission_state.Lease,
) -> Effects:
    record = state.directory.records.get(request.group)
    group = state.directory.get_group(request.group)
    request.phase = admission_state.RequestPhase.RUNNING
    request.attempt += 1
    request.target = lease.target
    request.lease = lease.id
    request.term = record.term if record else 0
    request.sent_at = moment.at
    lease.last_used_at = moment.at
    if request.traits.is_safe_to_retry and group and request.attempt == 1:
        timeout_s = group.request_timeout_ms / 1000.0
        request.abort_at = moment.at + READ_ATTEMPT_TIMEOUT_SHARE * timeout_s
    is_primary = lease.target == routing.find_primary(state, request.group)
    return [
        effects.RunStatement(
            request.id,
            request.attempt,
            lease.target,
            lease.id,
            needs_barrier=_needs_barrier(request, lease, is_primary),
            is_last=not request.traits.keeps_lease,
            key=request.key,
        )
    ]


def _needs_barrier(
    request: admission_state.Request,
    lease: admission_state.Lease,
    is_primary: bool,
) -> bool:
    if request.traits.is_pinned:
        return request.traits.may_write and not lease.is_read_only
    return is_primary and routing_rules.needs_barrier(request)


_REMEDIES = {
    errors.ErrorKind.DEADLINE: "see `targets`: is a target slow or cut off?",
    errors.ErrorKind.DRAINING: "connect again; the balancer has other hosts",
    errors.ErrorKind.NO_PRIMARY: "see `groups`: is a promotion under way?",
    errors.ErrorKind.NO_REPLICA: "see `targets`: are replicas behind?",
    errors.ErrorKind.OUTCOME_UNKNOWN: (
        "read the data before writing again, or use an idempotency key"
    ),
    errors.ErrorKind.OVERLOADED: (
        "spread the load, or raise connection_limit in the bundle"
    ),
    errors.ErrorKind.TARGET_LOST: "see `targets`: which closes connections?",
    errors.ErrorKind.TRANSACTION_LOST: "run the whole transaction again",
    errors.ErrorKind.UNKNOWN_GROUP: "see `groups` for the names in force",
}
