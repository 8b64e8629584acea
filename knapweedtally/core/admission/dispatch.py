"""Start queued requests when targets have free connections."""

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import attempts
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.routing import decisions as routing

# Callers' first requests that are examined in one pass over a queue. A pass
# in which none of them can be started ends the dispatch.
MAX_HEADS_PER_PASS = 4

Effects = list[effects.Effect]


def dispatch_queue(
    state: state_module.ProxyState,
    moment: model.Moment,
    queue_key: admission_state.QueueKey,
) -> Effects:
    """Start those requests of a queue for which a target is available."""
    result: Effects = []
    request_queue = attempts.get_queue(state, queue_key)
    has_progressed = True
    while has_progressed and len(request_queue):
        has_progressed = False
        for caller, request_id in request_queue.list_heads(MAX_HEADS_PER_PASS):
            request = state.admission.requests[request_id]
            choice = routing.choose_target(state, moment, request)
            if choice.is_primary_busy and not queue_key.is_primary:
                request_queue.pop_head(caller)
                _requeue_for_primary(state, request)
                has_progressed = True
                continue
            if not choice.target and not choice.retry_at:
                continue
            request_queue.pop_head(caller)
            request.reason = choice.reason
            has_progressed = True
            if choice.target:
                result += attempts.start_attempt(
                    state, moment, request, choice.target
                )
            else:
                result += attempts.schedule_retry(
                    moment, request, choice.retry_at
                )
    return result


def _requeue_for_primary(
    state: state_module.ProxyState, request: admission_state.Request
) -> None:
    """Queue a read for the primary, so that it blocks no replica reads."""
    request.requires_primary = True
    queue_key = attempts.get_queue_key(request)
    attempts.get_queue(state, queue_key).push(request.caller, request.id)


def dispatch_group(
    state: state_module.ProxyState, moment: model.Moment, group: str
) -> Effects:
    """Start queued requests from both queues of a group."""
    result: Effects = []
    for is_primary in (True, False):
        queue_key = admission_state.QueueKey(group, is_primary)
        if queue_key in state.admission.queues:
            result += dispatch_queue(state, moment, queue_key)
    return result
