"""Complete promotions of other hosts, and create missing records."""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import observers
from knapweedtally.core.failover import promotion as promotions
from knapweedtally.core.failover import state as failover_state

Effects = list[effects.Effect]
Purpose = failover_state.Purpose
Promotion = failover_state.Promotion
Step = failover_state.Step


def schedule_completion(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    record: model.GroupRecord,
) -> Effects:
    """Set the timer after which this host completes a term.

    The delay grows with the host's rank. A term that was open when this host
    first learned of the group needs no completion. Any other open term is
    completed by the observers of its primary, which know whether it serves.
    """
    failover = state.failover
    is_open = record.phase is model.Phase.OPEN
    if group in failover.promotions:
        return []
    if is_open and group not in failover.cooldown_ends_at:
        return []
    if is_open and record.primary not in failover.watches:
        return []
    rank = observers.get_rank(state, group, record.term)
    delay_rank = limits.OBSERVERS if rank is None else rank
    delay_s = limits.COMPLETION_DELAY_S + limits.RANK_DELAY_S * (
        delay_rank + moment.random_value
    )
    key = failover_events.CompletionDue(group, record.term, is_open)
    return [effects.SetTimer(key, delay_s)]


def complete_term(
    state: state_module.ProxyState,
    moment: model.Moment,
    key: failover_events.CompletionDue,
) -> Effects:
    """Complete a term if nothing changed since the timer was set."""
    record = state.directory.records.get(key.group)
    if record is None or record.term != key.term:
        return []
    if key.is_open is not (record.phase is model.Phase.OPEN):
        return []
    if key.group in state.failover.promotions:
        return []
    if key.is_open and is_primary_seen_open(state, key.group, record):
        return []
    if observers.get_rank(state, key.group, key.term) is None:
        # The candidates change with the live hosts, so check again later.
        return [effects.SetTimer(key, limits.COMPLETION_RETRY_S)]
    return promotions.begin_completion(state, moment, key.group, record)


def is_primary_seen_open(
    state: state_module.ProxyState, group: str, record: model.GroupRecord
) -> bool:
    """Return whether the record's primary was seen serving its term."""
    watch = state.failover.watches.get(record.primary)
    if watch is not None and watch.opened_term >= record.term:
        return True
    known = state.directory.reports.get(record.primary)
    return bool(known and known[0].is_primary and known[0].term >= record.term)


def schedule_creations(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    """Set timers to create the missing records of observed groups."""
    result: Effects = []
    failover = state.failover
    for watch in failover.watches.values():
        group = watch.group
        if group in state.directory.records or group in failover.promotions:
            continue
        asked_at = failover.read_at.get(group, -limits.OBJECT_READ_INTERVAL_S)
        if moment.at < asked_at + limits.OBJECT_READ_INTERVAL_S:
            continue
        failover.read_at[group] = moment.at
        rank = observers.get_rank(state, group, 0) or 0
        delay_s = limits.RANK_DELAY_S * (rank + moment.random_value)
        key = failover_events.CreationDue(group)
        result.append(effects.SetTimer(key, delay_s))
    return result


def read_missing_record(
    state: state_module.ProxyState,
    moment: model.Moment,
    key: failover_events.CreationDue,
) -> Effects:
    """Read a group's object if its record is still unknown."""
    if key.group in state.directory.records:
        return []
    return read_object(state, key.group)


def read_object(state: state_module.ProxyState, group: str) -> Effects:
    """Read a group's object."""
    operation = promotions.make_operation_id(state)
    return [effects.ReadObject(operation, "group", group)]


def read_newer_object(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Read a group's object when an instance knows a later term."""
    failover = state.failover
    group = failover.assignment.groups.get(event.report.target, "")
    record = state.directory.records.get(group)
    if record is None or event.report.term <= record.term:
        return []
    asked_at = failover.read_at.get(group, -limits.OBJECT_READ_INTERVAL_S)
    if moment.at < asked_at + limits.OBJECT_READ_INTERVAL_S:
        return []
    failover.read_at[group] = moment.at
    return read_object(state, group)


def begin_creation(
    state: state_module.ProxyState, moment: model.Moment, group: str
) -> Effects:
    """Begin to create a group's object from its instances' status."""
    if group in state.directory.records or group in state.failover.promotions:
        return []
    if observers.get_rank(state, group, 0) is None:
        return []
    promotion = Promotion(
        group,
        0,
        promotions.make_operation_id(state),
        Step.PREVOTING,
        Purpose.CREATION,
        moment.at,
    )
    reason = "the platform has no object of this group"
    return promotions.begin_promotion(state, moment, promotion, reason)
