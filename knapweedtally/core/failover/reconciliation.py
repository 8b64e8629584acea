"""Make instances follow the current primary of their group."""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import promotion as promotions

Effects = list[effects.Effect]


def reconcile(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Send a follow command if an instance follows an outdated primary."""
    failover = state.failover
    target = event.report.target
    group = failover.assignment.groups.get(target, "")
    record = state.directory.records.get(group)
    if record is None or not has_outdated_primary(record, event):
        return []
    commanded_at = failover.reconciled_at.get(
        target, -limits.RECONCILE_INTERVAL_S
    )
    if moment.at < commanded_at + limits.RECONCILE_INTERVAL_S:
        return []
    failover.reconciled_at[target] = moment.at
    explanations.record_decision(
        state,
        moment,
        promotions.PART,
        target,
        f"have it follow {record.primary}",
        f"it is in term {event.report.term} and follows"
        f" {event.primary or 'no primary'}; term {record.term} is current",
        term=record.term,
        was_primary=event.report.is_primary,
    )
    command = effects.ControlTarget(
        record.operation,
        target,
        "follow",
        record.term,
        record.primary,
        limits.CONTROL_TIMEOUT_S,
    )
    return [command]


def has_outdated_primary(
    record: model.GroupRecord, event: events.ProbeAnswered
) -> bool:
    """Return whether an instance has an older term or another primary."""
    report = event.report
    if record.phase is not model.Phase.OPEN:
        return False
    if report.target == record.primary or report.term > record.term:
        return False
    return report.term < record.term or event.primary != record.primary
