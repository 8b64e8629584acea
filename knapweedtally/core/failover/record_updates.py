"""Apply records of groups from the platform and from peers."""

import enum

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import answers
from knapweedtally.core.failover import completion
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import prevote
from knapweedtally.core.failover import promotion
from knapweedtally.core.failover import records
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.failover import switching

Effects = list[effects.Effect]
ObjectEvent = events.ObjectSeen | events.ObjectUpdated | events.ObjectConflicted


class Change(enum.Enum):
    """How a record differs from the known one.

    ``TRANSITION`` is a new term or phase, ``DETAIL`` any other change.
    """

    NONE = "none"
    DETAIL = "detail"
    TRANSITION = "transition"


def apply_object(
    state: state_module.ProxyState, moment: model.Moment, event: ObjectEvent
) -> Effects:
    """Apply the state of a group's object that the platform returned."""
    if event.version == 0:
        result = completion.begin_creation(state, moment, event.name)
        return result + continue_promotion(state, moment, event)
    record = records.parse_record(event.version, event.value)
    if record is None:
        return [warn_malformed(event.name, event.version)]
    result = []
    change = store_record(state, moment, event.name, record)
    if change is not Change.NONE:
        register = records.format_register(event.name, record)
        result.append(effects.PublishRegister(register))
    result += handle_change(state, moment, event.name, change)
    return result + continue_promotion(state, moment, event)


def apply_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
) -> Effects:
    """Apply a record that a peer published."""
    record = records.parse_register(register)
    if record is None:
        return [warn_malformed(register.name, 0)]
    change = store_record(state, moment, register.name, record)
    return handle_change(state, moment, register.name, change)


def warn_malformed(name: str, version: int) -> effects.Effect:
    """Return a log line about a malformed record."""
    return effects.WriteLog(
        promotion.PART,
        "warning",
        "group record is malformed; write it again with term, phase,"
        " primary and operation",
        {"group": name, "version": version},
    )


def store_record(
    state: state_module.ProxyState,
    moment: model.Moment,
    name: str,
    record: model.GroupRecord,
) -> Change:
    """Store a record if it is newer than the known one."""
    known = state.directory.records.get(name)
    new_order = records.get_sort_key(record)
    if known and new_order <= records.get_sort_key(known):
        return Change.NONE
    state.directory.records[name] = record
    if known and new_order[:2] == records.get_sort_key(known)[:2]:
        return Change.DETAIL
    reset_transition_state(state, moment, name, known, record)
    return Change.TRANSITION


def reset_transition_state(
    state: state_module.ProxyState,
    moment: model.Moment,
    name: str,
    known: model.GroupRecord | None,
    record: model.GroupRecord,
) -> None:
    """Reset the state that belongs to a group's previous term or phase."""
    failover = state.failover
    failover.learned_at[name] = moment.at
    failover.pending_terms.pop(name, None)
    failover.aborted_counts.pop(name, None)
    if known is None:
        return
    if known.primary:
        failover.replaced[name] = known.primary
    if record.phase is model.Phase.OPEN:
        failover.cooldown_ends_at[name] = (
            moment.at + limits.REPLACEMENT_COOLDOWN_S
        )


def handle_change(
    state: state_module.ProxyState,
    moment: model.Moment,
    name: str,
    change: Change,
) -> Effects:
    """Advance or start the work that a new record requires."""
    if change is Change.NONE:
        return []
    result: Effects = []
    record = state.directory.records[name]
    running = state.failover.promotions.get(name)
    if running is not None:
        result += answers.apply_record(state, moment, running, record)
        result += switching.withdraw_switch(state, moment, running, record)
    if change is Change.TRANSITION:
        result += completion.schedule_completion(state, moment, name, record)
    return result + switching.schedule_requested_switch(
        state, moment, name, record
    )


def is_conflict_of(
    running: failover_state.Promotion, event: ObjectEvent
) -> bool:
    """Return whether an event is a conflict of a promotion's update."""
    if not isinstance(event, events.ObjectConflicted):
        return False
    return event.operation == running.operation


def continue_promotion(
    state: state_module.ProxyState, moment: model.Moment, event: ObjectEvent
) -> Effects:
    """Continue a promotion that waited for the platform."""
    running = state.failover.promotions.get(event.name)
    if running is None:
        return []
    running.is_platform_up = True
    if running.step is failover_state.Step.PREVOTING:
        return prevote.count_early_votes(state, moment, running)
    if not (running.is_uncertain or is_conflict_of(running, event)):
        return []
    return answers.retry_update(state, moment, running)
