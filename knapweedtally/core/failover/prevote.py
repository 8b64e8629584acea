"""Collect the instances' status before a term is reserved (pre-vote).

A host that can't reach a majority of the instances could not finish a
promotion, so it reserves no term. An isolated data centre therefore disturbs
no group.
"""

from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import evidence
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import promotion as promotions
from knapweedtally.core.failover import rules
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.failover import switching

Effects = list[effects.Effect]
Purpose = failover_state.Purpose
Promotion = failover_state.Promotion
Step = failover_state.Step


def record_status(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Record an instance's status in the promotion of its group."""
    target = event.report.target
    group = state.failover.assignment.groups.get(target, "")
    promotion = state.failover.promotions.get(group)
    if promotion is None or promotion.step not in STATUS_HANDLERS:
        return []
    promotion.statuses[target] = event
    promotion.unresponsive.discard(target)
    return STATUS_HANDLERS[promotion.step](state, moment, promotion)


def record_missing_status(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeFailed,
) -> Effects:
    """Record that an instance gave no status, and stop waiting for it."""
    group = state.failover.assignment.groups.get(event.target, "")
    promotion = state.failover.promotions.get(group)
    if promotion is None or promotion.step is not Step.PREVOTING:
        return []
    promotion.unresponsive.add(event.target)
    return count_early_votes(state, moment, promotion)


def count_early_votes(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Count the votes before the timeout if every instance has responded.

    This includes the failed primary, since it may have recovered.
    """
    group = state.directory.get_group(promotion.group)
    heard = promotion.statuses.keys() | promotion.unresponsive
    if group is None or len(heard) < len(group.targets):
        return []
    return count_votes(state, moment, promotion)


def count_votes(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Enter the next step if a majority of the instances gave a status."""
    group = state.directory.get_group(promotion.group)
    if group is None:
        return []
    needed = rules.count_majority(len(group.targets))
    if len(promotion.statuses) < needed:
        return []
    if is_recovered(state, moment, promotion):
        pause_end = moment.at + limits.ABORT_BACKOFF_S
        state.failover.blocked_until[promotion.group] = pause_end
        reason = f"{promotion.replaced} answers again"
        return promotions.end_promotion(
            state, moment, promotion, "withdraw", reason
        )
    next_step = NEXT_STEPS[promotion.purpose](group, promotion)
    if next_step is None:
        return []
    return promotions.enter_step(state, moment, promotion, next_step)


def is_recovered(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> bool:
    """Return whether the evidence against a failed primary is outdated.

    The observers' verdicts may be out of date, so a host that sees the primary
    serving doesn't replace it, and leaves that to hosts that don't see it.
    """
    if promotion.purpose is not Purpose.REPLACE_FAILED:
        return False
    if evidence.find_agreed_failure(state, moment, promotion.group) is None:
        return True
    answer = promotion.statuses.get(promotion.replaced)
    return answer is not None and is_serving(answer.report, promotion.term - 1)


def is_serving(report: model.TargetReport, term: int) -> bool:
    """Return whether a report is from the confirmed primary of a term."""
    is_confirmed = report.age_ms <= limits.MAX_CONFIRMATION_AGE_MS
    return report.is_primary and report.term == term and is_confirmed


def prepare_replacement(
    group: model.Group, promotion: Promotion
) -> Step | None:
    """Return the next step of a promotion that replaces a failed primary."""
    return Step.RESERVING


def prepare_creation(group: model.Group, promotion: Promotion) -> Step | None:
    """Return the next step of a promotion that creates a group's object.

    The promotion adopts a primary that is already serving; otherwise it begins
    the next term.
    """
    reports = [answer.report for answer in promotion.statuses.values()]
    term = max(report.term for report in reports)
    primaries = [
        report.target
        for report in reports
        if report.is_primary and report.term == term
    ]
    if primaries:
        promotion.adopted_primary = primaries[0]
        promotion.term = term
        return Step.RESERVING
    promotion.term = term + 1
    return Step.RESERVING


def check_catch_up(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Reserve the term once the preferred replica has caught up."""
    if not switching.has_caught_up(promotion):
        return []
    return promotions.enter_step(state, moment, promotion, Step.RESERVING)


NEXT_STEPS: dict[Purpose, Callable[[model.Group, Promotion], Step | None]] = {
    Purpose.REPLACE_FAILED: prepare_replacement,
    Purpose.PLANNED_CHANGE: switching.prepare_switch,
    Purpose.CREATION: prepare_creation,
}

STATUS_HANDLERS: dict[
    Step,
    Callable[[state_module.ProxyState, model.Moment, Promotion], Effects],
] = {
    Step.PREVOTING: count_early_votes,
    Step.CATCHING_UP: check_catch_up,
}
