"""Begin, retry and end promotions, and run their steps."""

from collections.abc import Mapping
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import records
from knapweedtally.core.failover import rules
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.failover import steps

Effects = list[effects.Effect]
Purpose = failover_state.Purpose
Promotion = failover_state.Promotion
Step = failover_state.Step

PART = "failover"
GIVE_UP = "give up"
BACKOFF_DOUBLINGS = 5
MS_PER_S = 1000
REVERSIBLE_STEPS = frozenset(
    {Step.PREVOTING, Step.HOLDING, Step.CATCHING_UP, Step.RESERVING}
)


def make_operation_id(state: state_module.ProxyState) -> str:
    """Return a new operation id, unique in the system."""
    state.failover.operations += 1
    identity = state.identity
    count = state.failover.operations
    return f"{identity.host}-{identity.incarnation}-{count}"


def begin_promotion(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    reason: str,
    **evidence: Any,
) -> Effects:
    """Begin a promotion at its first step and record why."""
    state.failover.promotions[promotion.group] = promotion
    explanations.record_decision(
        state,
        moment,
        PART,
        promotion.group,
        f"begin at {promotion.step.value}: {promotion.purpose.value}",
        reason,
        term=promotion.term,
        operation=promotion.operation,
        **evidence,
    )
    log = make_log("info", "promotion began", promotion, reason)
    return [log, *enter_step(state, moment, promotion, promotion.step)]


def make_log(
    level: str, message: str, promotion: Promotion, reason: str
) -> effects.Effect:
    """Return a log line about a promotion."""
    values: dict[str, object] = {
        "group": promotion.group,
        "term": promotion.term,
        "operation": promotion.operation,
        "step": promotion.step.value,
        "reason": reason,
    }
    return effects.WriteLog(PART, level, message, values)


def begin_replacement(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    record: model.GroupRecord,
    reasons: Mapping[str, str],
) -> Effects:
    """Begin to replace a failed primary.

    Args:
        state: state of the proxy.
        moment: moment of the decision.
        group: name of the group.
        record: record whose primary failed.
        reasons: why it counts as failed, by observer.
    """
    promotion = Promotion(
        group,
        record.term + 1,
        make_operation_id(state),
        Step.PREVOTING,
        Purpose.REPLACE_FAILED,
        moment.at,
        replaced=record.primary,
        preferred=record.preferred,
    )
    return begin_promotion(
        state,
        moment,
        promotion,
        f"a majority of its observers reports {record.primary} as failed",
        observers=dict(reasons),
    )


def begin_completion(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    record: model.GroupRecord,
) -> Effects:
    """Begin to complete a term that has no serving primary yet."""
    is_open = record.phase is model.Phase.OPEN
    promotion = Promotion(
        group,
        record.term,
        record.operation,
        Step.OPENING if is_open else Step.FENCING,
        Purpose.COMPLETION,
        moment.at,
        replaced=state.failover.replaced.get(group, ""),
        preferred=record.preferred,
    )
    reason = f"term {record.term} is still in phase {record.phase.value}"
    return begin_promotion(state, moment, promotion, reason)


def enter_step(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    step: Step,
) -> Effects:
    """Enter a step and run it for the first time."""
    promotion.step = step
    took_s = moment.at - promotion.started_at
    promotion.entered_ms[step.value] = round(took_s * MS_PER_S)
    promotion.attempt = 0
    promotion.is_uncertain = False
    return run_step(state, moment, promotion)


def run_step(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
) -> Effects:
    """Run the current step and set the timer of its next attempt.

    A choice needs a majority of the group as it is now, so a promotion whose
    group has changed meanwhile installs the term on further instances first.
    """
    if promotion.step is Step.CHOOSING and not is_fenced(state, promotion):
        return enter_step(state, moment, promotion, Step.FENCING)
    result = steps.RUNNERS[promotion.step](state, moment, promotion)
    delay_s = get_retry_delay(moment, promotion)
    return result + [make_step_timer(promotion, delay_s)]


def get_retry_delay(moment: model.Moment, promotion: Promotion) -> float:
    """Return the time until the current step's next attempt, in seconds."""
    delay_s = steps.RETRY_DELAYS_S[promotion.step]
    if promotion.step is Step.CATCHING_UP:
        return delay_s
    delay_s = min(delay_s * 2**promotion.attempt, limits.MAX_BACKOFF_S)
    if promotion.step is not Step.HOLDING:
        return delay_s
    remaining_s = promotion.started_at + limits.SWITCH_LIMIT_S - moment.at
    return max(limits.CATCH_UP_PROBE_S, min(delay_s, remaining_s))


def make_step_timer(promotion: Promotion, delay_s: float) -> effects.Effect:
    """Return the timer of the current step's next attempt."""
    key = failover_events.StepDue(
        promotion.group,
        promotion.operation,
        promotion.step.value,
        promotion.attempt,
    )
    return effects.SetTimer(key, delay_s)


def find_exhausted_limit(moment: model.Moment, promotion: Promotion) -> str:
    """Return a description of the exceeded limit, or an empty string.

    There is no limit while an update may have taken effect: if it did, the
    term has begun and needs a primary.
    """
    if promotion.is_uncertain:
        return ""
    is_switch = promotion.purpose is Purpose.PLANNED_CHANGE
    is_late = moment.at >= promotion.started_at + limits.SWITCH_LIMIT_S
    if is_switch and is_late and promotion.step in REVERSIBLE_STEPS:
        return f"the planned change took over {limits.SWITCH_LIMIT_S} s"
    limit = steps.ATTEMPT_LIMITS.get(promotion.step)
    if limit is None or promotion.attempt < limit:
        return ""
    return f"{limit} attempts at {promotion.step.value} got no answer"


def abort_promotion(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    reason: str,
) -> Effects:
    """End a promotion without success and block the next one for a while.

    The pause doubles with each aborted promotion, up to a limit.
    """
    failover = state.failover
    group = promotion.group
    result = end_promotion(state, moment, promotion, GIVE_UP, reason)
    count = failover.aborted_counts.get(group, 0)
    failover.aborted_counts[group] = count + 1
    pause_s = limits.ABORT_BACKOFF_S * 2 ** min(count, BACKOFF_DOUBLINGS)
    pause_s = min(pause_s, limits.MAX_ABORT_BACKOFF_S)
    failover.blocked_until[group] = moment.at + pause_s * (
        0.5 + moment.random_value
    )
    if promotion.purpose is Purpose.PLANNED_CHANGE:
        result += clear_preferred(state, group)
    return result


def end_promotion(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    choice: str,
    reason: str,
) -> Effects:
    """Remove a promotion and record how it ended."""
    state.failover.promotions.pop(promotion.group, None)
    explanations.record_decision(
        state,
        moment,
        PART,
        promotion.group,
        choice,
        reason,
        term=promotion.term,
        operation=promotion.operation,
        step=promotion.step.value,
        statuses=len(promotion.statuses),
        fenced=sorted(promotion.fenced),
        entered_ms=dict(promotion.entered_ms),
    )
    level = "warning" if choice == GIVE_UP else "info"
    return [make_log(level, f"promotion ended: {choice}", promotion, reason)]


def clear_preferred(state: state_module.ProxyState, group: str) -> Effects:
    """Clear the preferred primary in the group's record."""
    record = state.directory.records.get(group)
    if record is None or not record.preferred:
        return []
    if record.phase is not model.Phase.OPEN:
        return []
    new = record._replace(preferred="")
    update = effects.UpdateObject(
        make_operation_id(state),
        "group",
        group,
        rules.get_expected_version(record),
        records.format_value(new),
    )
    return [update]


def is_fenced(state: state_module.ProxyState, promotion: Promotion) -> bool:
    """Return whether a majority of the instances installed the term."""
    group = state.directory.get_group(promotion.group)
    return group is not None and rules.is_majority_fenced(
        group, promotion.fenced
    )
