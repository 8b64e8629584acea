"""Give queued requests their turns."""

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import attempts
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.routing import decisions as routing

# Heads of the queue that one dispatch looks at without finding a target.
MAX_FRUITLESS_CHOICES = 4

Effects = list[effects.Effect]


def dispatch_lane(
    state: state_module.ProxyState,
    moment: model.Moment,
    lane: admission_state.Lane,
) -> Effects:
    """Start the queued requests of a lane for which there is a target."""
    result: Effects = []
    waiting = attempts.get_queue(state, lane)
    is_moving = True
    while is_moving and len(waiting):
        is_moving = False
        for caller, request_id in waiting.list_heads(MAX_FRUITLESS_CHOICES):
            request = state.admission.requests[request_id]
            choice = routing.choose_target(state, moment, request)
            if choice.is_primary_busy and not lane.is_primary:
                waiting.take_head(caller)
                _move_to_primary(state, request)
                is_moving = True
                continue
            if not choice.target and not choice.retry_at:
                continue
            waiting.take_head(caller)
            request.reason = choice.reason
            is_moving = True
            if choice.target:
                result += attempts.start_attempt(
                    state, moment, request, choice.target
                )
            else:
                result += attempts.wait_until(moment, request, choice.retry_at)
    return result


def _move_to_primary(
    state: state_module.ProxyState, request: admission_state.Request
) -> None:
    """Queue a read for the primary, where it blocks no read of replicas."""
    request.wants_primary = True
    lane = attempts.get_lane(request)
    attempts.get_queue(state, lane).push(request.caller, request.id)


def dispatch_group(
    state: state_module.ProxyState, moment: model.Moment, group: str
) -> Effects:
    """Start queued requests of both lanes of a group."""
    result: Effects = []
    for is_primary in (True, False):
        lane = admission_state.Lane(group, is_primary)
        if lane in state.admission.queues:
            result += dispatch_lane(state, moment, lane)
    return result
