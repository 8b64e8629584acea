"""Planned changes of a healthy primary, with writes held briefly."""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import observers
from knapweedtally.core.failover import promotion as promotions
from knapweedtally.core.failover import state as failover_state

Effects = list[effects.Effect]
Purpose = failover_state.Purpose
Promotion = failover_state.Promotion
Step = failover_state.Step


def schedule_requested_switch(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    record: model.GroupRecord,
) -> Effects:
    """Schedule the change that a record or the bundle requests."""
    if not is_switch_requested(state, group, record):
        return []
    return schedule_switch(state, moment, group, record)


def schedule_observed_switches(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Schedule the requested changes of all observed groups."""
    result: Effects = []
    for watch in state.failover.watches.values():
        record = state.directory.records.get(watch.group)
        if record is not None:
            result += schedule_requested_switch(
                state, moment, watch.group, record
            )
    return result


def is_switch_requested(
    state: state_module.ProxyState, group: str, record: model.GroupRecord
) -> bool:
    """Return whether an operator or the bundle requests another primary."""
    found = state.directory.get_group(group)
    if found is None or record.phase is not model.Phase.OPEN:
        return False
    if record.preferred:
        return True
    staying = {target.id for target in found.targets} - found.leaving
    return record.primary in found.leaving and bool(staying)


def schedule_switch(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    record: model.GroupRecord,
) -> Effects:
    """Begin a planned change, or set a timer according to the rank."""
    failover = state.failover
    if group in failover.promotions or group in failover.pending_switches:
        return []
    rank = observers.get_rank(state, group, record.term + 1)
    if rank is None:
        return []
    delay_s = rank * limits.SWITCH_RANK_DELAY_S
    blocked_until = failover.blocked_until.get(group, moment.at)
    delay_s += max(0.0, blocked_until - moment.at)
    failover.pending_switches.add(group)
    key = failover_events.SwitchDue(group, record.term)
    if delay_s == 0.0:
        return begin_switch(state, moment, key)
    return [effects.SetTimer(key, delay_s)]


def begin_switch(
    state: state_module.ProxyState,
    moment: model.Moment,
    key: failover_events.SwitchDue,
) -> Effects:
    """Begin a planned change if it is still requested."""
    group = key.group
    state.failover.pending_switches.discard(group)
    record = state.directory.records.get(group)
    if record is None or record.term != key.term:
        return []
    if group in state.failover.promotions:
        return []
    if not is_switch_requested(state, group, record):
        return []
    obstacle = find_obstacle(state, group, record)
    if obstacle:
        return refuse_switch(state, moment, group, record, obstacle)
    promotion = Promotion(
        group,
        record.term + 1,
        promotions.make_operation_id(state),
        Step.PREVOTING,
        Purpose.PLANNED_CHANGE,
        moment.at,
        replaced=record.primary,
        preferred=record.preferred,
    )
    reason = f"{record.primary} is leaving"
    if record.preferred:
        reason = f"the record asks for {record.preferred} as primary"
    return promotions.begin_promotion(state, moment, promotion, reason)


def withdraw_switch(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    record: model.GroupRecord,
) -> Effects:
    """End a planned change that is no longer requested."""
    if state.failover.promotions.get(promotion.group) is not promotion:
        return []
    if promotion.purpose is not Purpose.PLANNED_CHANGE:
        return []
    if promotion.step not in promotions.REVERSIBLE_STEPS:
        return []
    if promotion.is_uncertain:
        return []
    if is_switch_requested(state, promotion.group, record):
        return []
    reason = "neither the record nor the bundle asks for it any more"
    return promotions.end_promotion(
        state, moment, promotion, "withdraw", reason
    )


def find_obstacle(
    state: state_module.ProxyState, group: str, record: model.GroupRecord
) -> str:
    """Return why the preferred target can't become primary, if so.

    Returns:
        One clause, or an empty string if there is no obstacle.
    """
    preferred = record.preferred
    found = state.directory.get_group(group)
    names = {target.id for target in found.targets} if found else set()
    if not preferred:
        return ""
    if preferred == record.primary:
        return f"{preferred} is the primary already"
    if preferred not in names:
        return f"{preferred} is no target of group {group}"
    if found and preferred in found.leaving:
        return f"{preferred} is leaving"
    return ""


def refuse_switch(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    record: model.GroupRecord,
    obstacle: str,
) -> Effects:
    """Reject a planned change that is impossible and record why."""
    explanations.record_decision(
        state,
        moment,
        promotions.PART,
        group,
        "refuse the planned change",
        obstacle,
        "ask for a replica that the bundle names and that is not leaving",
        preferred=record.preferred,
        primary=record.primary,
    )
    return promotions.clear_preferred(state, group)


def is_healthy_replica(promotion: Promotion, target: str) -> bool:
    """Return whether a replica answered and its data is fresh enough."""
    answer = promotion.statuses.get(target)
    if answer is None or answer.report.is_primary:
        return False
    return answer.report.age_ms <= limits.MAX_CONFIRMATION_AGE_MS


def prepare_switch(group: model.Group, promotion: Promotion) -> Step | None:
    """Return the next step once a healthy replica can take over, or None.

    If no replica is preferred, the most advanced healthy one is chosen.
    Writes are not held before the platform has answered, because the change
    can't be completed without it.
    """
    if not promotion.is_platform_up:
        return None
    if promotion.preferred:
        is_ready = is_healthy_replica(promotion, promotion.preferred)
        return Step.HOLDING if is_ready else None
    ready = [
        target.id
        for target in group.targets
        if target.id not in group.leaving
        and is_healthy_replica(promotion, target.id)
    ]
    if not ready:
        return None
    promotion.preferred = max(
        ready, key=lambda name: get_last_position(promotion, name)
    )
    return Step.HOLDING


def get_last_position(promotion: Promotion, target: str) -> model.Position:
    """Return the last log entry that an instance reported."""
    answer = promotion.statuses[target]
    return model.Position(answer.last_term, answer.received)


def handle_hold_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: Promotion,
    event: events.ControlAnswered,
) -> Effects:
    """Record the final position and wait for the replica to catch up."""
    if promotion.step is not Step.HOLDING or not event.is_accepted:
        return []
    promotion.final_position = model.Position(event.last_term, event.received)
    promotion.statuses.clear()
    return promotions.enter_step(state, moment, promotion, Step.CATCHING_UP)


def has_caught_up(promotion: Promotion) -> bool:
    """Return whether the preferred replica has the old primary's last entry."""
    if (
        promotion.final_position is None
        or promotion.preferred not in promotion.statuses
    ):
        return False
    return (
        get_last_position(promotion, promotion.preferred)
        >= promotion.final_position
    )
