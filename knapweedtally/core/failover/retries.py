"""Retry the steps of a promotion after their timeouts."""

from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import prevote
from knapweedtally.core.failover import promotion as promotions
from knapweedtally.core.failover import state as failover_state

Effects = list[effects.Effect]
Promotion = failover_state.Promotion
Step = failover_state.Step


def retry_step(
    state: state_module.ProxyState,
    moment: model.Moment,
    key: failover_events.StepDue,
) -> Effects:
    """Continue with the answers received so far, or retry the step."""
    promotion = state.failover.promotions.get(key.group)
    if promotion is None or not is_current_attempt(promotion, key):
        return []
    handler = TIMEOUT_HANDLERS.get(promotion.step)
    result = handler(state, moment, promotion) if handler else []
    if result:
        return result
    promotion.attempt += 1
    reason = promotions.find_exhausted_limit(moment, promotion)
    if reason:
        return promotions.abort_promotion(state, moment, promotion, reason)
    return promotions.run_step(state, moment, promotion)


def is_current_attempt(
    promotion: Promotion, key: failover_events.StepDue
) -> bool:
    """Return whether a timer belongs to the current attempt."""
    return (
        promotion.operation,
        promotion.step.value,
        promotion.attempt,
    ) == (key.operation, key.step, key.attempt)


def handle_prevote_timeout(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Count the votes, or discard the statuses before the next attempt."""
    result = prevote.count_votes(state, moment, promotion)
    if not result:
        promotion.statuses.clear()
        promotion.unresponsive.clear()
    return result


def handle_fence_timeout(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Choose the primary from any fenced majority.

    Until the timeout, a majority without the replaced primary is awaited.
    """
    if not promotion.is_bundle_current:
        return []
    if not promotions.is_fenced(state, promotion):
        return []
    return promotions.enter_step(state, moment, promotion, Step.CHOOSING)


TIMEOUT_HANDLERS: dict[
    Step,
    Callable[[state_module.ProxyState, model.Moment, Promotion], Effects],
] = {
    Step.PREVOTING: handle_prevote_timeout,
    Step.FENCING: handle_fence_timeout,
}
