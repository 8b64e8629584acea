"""Handle the platform's and the instances' answers to a promotion."""

from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import promotion as promotions
from knapweedtally.core.failover import rules
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.failover import steps

Effects = list[effects.Effect]
Promotion = failover_state.Promotion
Step = failover_state.Step

PLATFORM_STEPS = frozenset({Step.RESERVING, Step.CHOOSING})


def apply_record(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    record: model.GroupRecord,
) -> Effects:
    """Advance a promotion according to the newest record of its group."""
    if record.term < promotion.term:
        return []
    is_same_term = record.term == promotion.term
    if not is_same_term or not rules.is_own_operation(
        record, promotion.operation
    ):
        reason = f"term {record.term} was begun by {record.operation}"
        choice = "leave it to the winner"
        return promotions.end_promotion(
            state, moment, promotion, choice, reason
        )
    if record.phase is model.Phase.OPEN:
        return enter_opening(state, moment, promotion, record)
    if promotion.step in promotions.REVERSIBLE_STEPS:
        return promotions.enter_step(state, moment, promotion, Step.FENCING)
    return []


def enter_opening(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    record: model.GroupRecord,
) -> Effects:
    """Start to open the primary of the record, whichever host chose it."""
    if promotion.step is Step.OPENING:
        return []
    explanations.record_decision(
        state,
        moment,
        promotions.PART,
        promotion.group,
        f"promote {record.primary}",
        "it is the most advanced instance of a fenced majority",
        term=record.term,
        operation=record.operation,
        fenced={name: tuple(last) for name, last in promotion.fenced.items()},
    )
    return promotions.enter_step(state, moment, promotion, Step.OPENING)


def retry_update(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Retry an update that expected an older version of the object."""
    if promotion.step not in PLATFORM_STEPS:
        return []
    promotion.is_uncertain = False
    promotion.attempt += 1
    reason = promotions.find_exhausted_limit(moment, promotion)
    if reason:
        return promotions.abort_promotion(state, moment, promotion, reason)
    return promotions.run_step(state, moment, promotion)


def schedule_platform_retry(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.PlatformFailed,
) -> Effects:
    """Schedule a retry with backoff after a failed call to the platform.

    The promotion becomes uncertain if the call may have taken effect.
    """
    promotion = state.failover.promotions.get(event.name)
    if promotion is None or promotion.operation != event.operation:
        return []
    if promotion.step not in PLATFORM_STEPS:
        return []
    promotion.is_uncertain |= event.may_have_run
    delay_s = limits.PLATFORM_BACKOFF_S * 2 ** min(
        promotion.attempt, promotions.BACKOFF_DOUBLINGS
    )
    delay_s = min(delay_s, limits.MAX_BACKOFF_S) * (0.5 + moment.random_value)
    return [promotions.make_step_timer(promotion, delay_s)]


def is_fencing_complete(
    state: state_module.ProxyState, promotion: Promotion
) -> bool:
    """Return whether the answers suffice to choose without further ones.

    The platform's bundle must be in force, and a majority must have installed
    the term. If a target other than the replaced primary is preferred, it has
    to be among them; otherwise they have to be a majority without the replaced
    primary.
    """
    group = state.directory.get_group(promotion.group)
    if group is None or not promotion.is_bundle_current:
        return False
    if not promotions.is_fenced(state, promotion):
        return False
    if promotion.preferred and promotion.preferred != promotion.replaced:
        return promotion.preferred in promotion.fenced
    others = promotion.fenced.keys() - {promotion.replaced}
    return rules.is_majority_fenced(group, others)


def handle_term_installed(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    event: events.ControlAnswered,
) -> Effects:
    """Record that an instance installed the term.

    Once the answers suffice, the promotion chooses the primary.
    """
    if not event.is_accepted or event.term != promotion.term:
        return handle_refusal(state, moment, promotion, event)
    promotion.fenced[event.target] = model.Position(
        event.last_term, event.received
    )
    return choose_when_fenced(state, moment, promotion)


def choose_when_fenced(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Choose the primary if the answers suffice."""
    if promotion.step is not Step.FENCING:
        return []
    if not is_fencing_complete(state, promotion):
        return []
    return promotions.enter_step(state, moment, promotion, Step.CHOOSING)


def handle_bundle_fetched(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ChangesFetched,
) -> Effects:
    """Record that the platform's bundle is in force, unless it is refused."""
    for promotion in state.failover.promotions.values():
        if promotion.operation == event.operation:
            promotion.is_bundle_current = True
            return choose_when_fenced(state, moment, promotion)
    return []


def handle_promoted(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    event: events.ControlAnswered,
) -> Effects:
    """End the promotion once its primary is open for writes."""
    if not event.is_accepted:
        return handle_refusal(state, moment, promotion, event)
    took_s = moment.at - promotion.started_at
    reason = f"{event.target} is open for writes after {took_s:.3f} s"
    return promotions.end_promotion(state, moment, promotion, "done", reason)


def handle_refusal(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    event: events.ControlAnswered,
) -> Effects:
    """Read the group's object when an instance knows a later term."""
    if event.term <= promotion.term:
        return []
    return steps.read_object(promotion)


ControlHandler = Callable[
    [
        state_module.ProxyState,
        model.Moment,
        Promotion,
        events.ControlAnswered,
    ],
    Effects,
]
CONTROL_HANDLERS: dict[str, ControlHandler] = {
    "install_term": handle_term_installed,
    "promote": handle_promoted,
}
