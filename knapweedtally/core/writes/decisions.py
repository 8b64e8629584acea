"""Determine the outcome of requests: done, not run or unknown."""

from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import errors
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import attempts
from knapweedtally.core.admission import dispatch
from knapweedtally.core.admission import shares
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.failover import detection
from knapweedtally.core.routing import decisions as routing
from knapweedtally.core.routing import lag
from knapweedtally.core.routing import rules as routing_rules
from knapweedtally.core.writes import events as writes_events
from knapweedtally.core.writes import rules

# Attempts on replicas before a read falls back to the primary.
MAX_REPLICA_ATTEMPTS = 3
UNCONFIRMED_RETRY_DELAY_S = 0.05

Effects = list[effects.Effect]
Kind = admission_state.RequestKind


def handle_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: writes_events.AttemptAnswered,
) -> Effects:
    """Deliver a target's answer, or retry the request where that is safe."""
    request = _find_running_request(state, event.request, event.attempt)
    if request is None:
        return []
    _record_report(state, moment, event.report)
    attempts.update_service_time(state, moment, request)
    result = attempts.keep_or_release_lease(
        state, moment, request, event.is_open
    )
    if rules.proves_not_run(event.sqlstate) and not request.traits.is_pinned:
        result += _retry_refused_request(state, moment, request, event)
    else:
        routing.record_success(state.routing, request.target)
        handler = _ANSWER_HANDLERS[request.kind]
        result += handler(state, moment, request, event)
    return result + dispatch.dispatch_group(state, moment, request.group)


def handle_failure(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: writes_events.AttemptFailed,
) -> Effects:
    """Handle an attempt that failed before its answer was complete."""
    request = _find_running_request(state, event.request, event.attempt)
    if request is None:
        return []
    result = attempts.release_lease(state, request.lease, False)
    if event.is_too_large:
        kind = errors.ErrorKind.ANSWER_TOO_LARGE
        request.may_have_run = request.traits.may_write
        reason = "the answer is above the size limit"
        result += attempts.deliver_error(state, moment, request, kind, reason)
    elif event.sqlstate == rules.TOO_MANY_CONNECTIONS:
        shares.cap_connections(state, moment, request.target)
        result += _handle_lost_attempt(state, moment, request, False)
    else:
        routing.record_failure(state.routing, request.target, moment.at)
        result += detection.probe_after_connection_loss(
            state, moment, request.target
        )
        result += _handle_lost_attempt(state, moment, request, event.was_sent)
    return result + dispatch.dispatch_group(state, moment, request.group)


def abort_attempt(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> Effects:
    """Abort a running attempt and close its connection."""
    if request.phase is not admission_state.RequestPhase.RUNNING:
        return []
    result = attempts.release_lease(state, request.lease, False)
    routing.record_failure(state.routing, request.target, moment.at)
    request.silent_targets.add(request.target)
    return result + _handle_lost_attempt(state, moment, request, was_sent=True)


def expire_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> Effects:
    """Complete a request whose deadline has passed with an error."""
    result: Effects = []
    kind = errors.ErrorKind.DEADLINE
    reason = "no target took it in time"
    if not routing.find_primary(state, request.group):
        kind = errors.ErrorKind.NO_PRIMARY
        reason = "the group had no open term until the deadline"
    if request.phase is admission_state.RequestPhase.RUNNING:
        reason = f"{request.target} did not answer in time"
        kind = _EXPIRED_ERROR_KINDS.get(request.kind, kind)
        request.may_have_run = request.may_have_run or request.traits.may_write
        result += attempts.release_lease(state, request.lease, False)
    return result + attempts.deliver_error(state, moment, request, kind, reason)


def _find_running_request(
    state: state_module.ProxyState, request_id: int, attempt: int
) -> admission_state.Request | None:
    request = state.admission.requests.get(request_id)
    if request is None or not rules.is_current_attempt(request, attempt):
        return None
    return request


def _record_report(
    state: state_module.ProxyState,
    moment: model.Moment,
    report: model.TargetReport | None,
) -> None:
    if report is None:
        return
    state.directory.reports[report.target] = (report, moment.at)
    group = state.directory.group_names.get(report.target)
    if group is not None:
        lag.update_lag(state.routing, group, report, moment.at)


def _retry_refused_request(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    event: writes_events.AttemptAnswered,
) -> Effects:
    """Retry a request after the target proved that it didn't run."""
    if event.sqlstate == rules.READ_ONLY and request.kind is Kind.READ:
        request.kind = Kind.WRITE
        return attempts.retry_request(state, moment, request, 0.0)
    if event.sqlstate == rules.CANNOT_CONNECT_NOW:
        routing.record_write_hold(state.routing, request.target, moment.at)
    else:
        routing.record_failure(state.routing, request.target, moment.at)
    result = attempts.retry_request(state, moment, request)
    if event.sqlstate == rules.ADMIN_SHUTDOWN:
        result.append(effects.RaiseEvent(events.TargetStopping(request.target)))
    return result


def _handle_lost_attempt(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    was_sent: bool,
) -> Effects:
    if request.traits.is_pinned:
        return _deliver_transaction_lost(state, moment, request, was_sent)
    if rules.may_run_again(request, was_sent):
        is_write = request.traits.may_write
        request.may_have_run = request.may_have_run or (was_sent and is_write)
        return attempts.retry_request(state, moment, request)
    request.may_have_run = True
    return attempts.deliver_error(
        state,
        moment,
        request,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "the connection was lost after the write was sent",
    )


def _deliver_transaction_lost(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    was_sent: bool,
) -> Effects:
    kind = errors.ErrorKind.TRANSACTION_LOST
    if request.traits.may_write and was_sent:
        kind = errors.ErrorKind.OUTCOME_UNKNOWN
    reason = "the connection of the transaction was lost"
    return attempts.deliver_error(state, moment, request, kind, reason)


def _handle_read_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    event: writes_events.AttemptAnswered,
) -> Effects:
    if routing_rules.is_answer_fresh(request, event.report, event.confirmed):
        _count_read(state, request, event.report)
        # The confirmed position covers all earlier writes of the session.
        position = None if request.position else event.confirmed
        return attempts.deliver_answer(
            state, moment, request, position, event.report
        )
    state.admission.count("read again")
    result = attempts.release_lease(state, request.lease, False)
    if event.report is not None and event.report.is_primary:
        delay_s = UNCONFIRMED_RETRY_DELAY_S
    else:
        delay_s = _prepare_stale_read_retry(state, moment, request)
    return result + attempts.retry_without_budget(moment, request, delay_s)


def _prepare_stale_read_retry(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> float:
    """Return the delay before a read is retried after a stale answer.

    The read falls back to the primary after ``MAX_REPLICA_ATTEMPTS`` or once
    the group's wait for a replica has passed.
    """
    group = state.directory.get_group(request.group)
    wait_s = group.replica_wait_ms / 1000.0 if group else 0.0
    waited_s = moment.at - request.arrived_at
    if request.attempt >= MAX_REPLICA_ATTEMPTS or waited_s > wait_s:
        request.requires_primary = True
        return 0.0
    return wait_s / MAX_REPLICA_ATTEMPTS / 2


def _handle_write_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    event: writes_events.AttemptAnswered,
) -> Effects:
    if rules.is_acknowledgeable(event):
        if event.is_key_reused:
            kind = errors.ErrorKind.KEY_REUSED
            reason = "the key is on record with another statement"
            return attempts.deliver_error(state, moment, request, kind, reason)
        position = None if event.sqlstate else event.confirmed
        return attempts.deliver_answer(
            state, moment, request, position, event.report
        )
    if event.sqlstate:
        # The target rolled the write back, but it may not be the primary any
        # more.
        return attempts.retry_request(
            state, moment, request, UNCONFIRMED_RETRY_DELAY_S
        )
    request.may_have_run = True
    if rules.may_run_again(request, was_sent=True):
        return attempts.retry_request(
            state, moment, request, UNCONFIRMED_RETRY_DELAY_S
        )
    return _deliver_unconfirmed(state, moment, request)


def _handle_commit_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    event: writes_events.AttemptAnswered,
) -> Effects:
    lease = state.admission.leases.get(request.lease)
    is_read_only = lease is not None and lease.is_read_only
    if is_read_only or event.sqlstate:
        return attempts.deliver_answer(
            state, moment, request, None, event.report
        )
    if rules.is_acknowledgeable(event):
        return attempts.deliver_answer(
            state, moment, request, event.confirmed, event.report
        )
    return _deliver_unconfirmed(state, moment, request)


def _handle_pinned_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
    event: writes_events.AttemptAnswered,
) -> Effects:
    return attempts.deliver_answer(state, moment, request, None, event.report)


def _deliver_unconfirmed(
    state: state_module.ProxyState,
    moment: model.Moment,
    request: admission_state.Request,
) -> Effects:
    return attempts.deliver_error(
        state,
        moment,
        request,
        errors.ErrorKind.OUTCOME_UNKNOWN,
        "no majority of the group confirmed the write",
    )


def _count_read(
    state: state_module.ProxyState,
    request: admission_state.Request,
    report: model.TargetReport | None,
) -> None:
    served_by = "primary" if report and report.is_primary else "replica"
    state.admission.count(f"reads by {served_by}")
    if request.max_age_ms > 0:
        state.admission.count(f"eligible reads by {served_by}")


_EXPIRED_ERROR_KINDS = {
    Kind.WRITE: errors.ErrorKind.OUTCOME_UNKNOWN,
    Kind.STATEMENT: errors.ErrorKind.TRANSACTION_LOST,
    Kind.COMMIT: errors.ErrorKind.OUTCOME_UNKNOWN,
    Kind.ROLLBACK: errors.ErrorKind.TRANSACTION_LOST,
}

_AnswerHandler = Callable[
    [
        state_module.ProxyState,
        model.Moment,
        admission_state.Request,
        writes_events.AttemptAnswered,
    ],
    Effects,
]

_ANSWER_HANDLERS: dict[Kind, _AnswerHandler] = {
    Kind.READ: _handle_read_answer,
    Kind.BEGIN_READ_ONLY: _handle_read_answer,
    Kind.BEGIN: _handle_read_answer,
    Kind.WRITE: _handle_write_answer,
    Kind.COMMIT: _handle_commit_answer,
    Kind.STATEMENT: _handle_pinned_answer,
    Kind.ROLLBACK: _handle_pinned_answer,
}

HANDLERS: dict[type, Callable[..., Effects]] = {
    writes_events.AttemptAnswered: handle_answer,
    writes_events.AttemptFailed: handle_failure,
}
