"""Effects of each step of a promotion.

Each function may be called repeatedly: all commands and updates are
idempotent.
"""

from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.bundles import decisions as bundles
from knapweedtally.core.failover import detection
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import records
from knapweedtally.core.failover import rules
from knapweedtally.core.failover import state as failover_state

Effects = list[effects.Effect]
Step = failover_state.Step
Runner = Callable[
    [state_module.ProxyState, model.Moment, failover_state.Promotion], Effects
]


def list_targets(
    state: state_module.ProxyState, group: str
) -> tuple[model.Target, ...]:
    """Return the instances that the bundle names for a group."""
    found = state.directory.get_group(group)
    return found.targets if found else ()


def make_command(
    promotion: failover_state.Promotion,
    target: str,
    command: str,
    primary: str = "",
) -> effects.Effect:
    """Return the effect that sends a command for the promotion's term."""
    return effects.ControlTarget(
        promotion.operation,
        target,
        command,
        promotion.term,
        primary,
        limits.CONTROL_TIMEOUT_S,
    )


def probe_instances(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Probe all instances for their status."""
    result: Effects = []
    if promotion.purpose is failover_state.Purpose.PLANNED_CHANGE:
        result += read_object(promotion)
    for target in list_targets(state, promotion.group):
        # Don't wait for a lost probe: the failed primary may have recovered.
        send = detection.send_probe
        if target.id == promotion.replaced:
            send = detection.send_fresh_probe
        result += send(state, moment, target.id)
    return result


def read_object(promotion: failover_state.Promotion) -> Effects:
    """Read the group's object."""
    return [effects.ReadObject(promotion.operation, "group", promotion.group)]


def fetch_bundle(promotion: failover_state.Promotion) -> effects.Effect:
    """Fetch a newer bundle, if there is one, to count the majority by.

    The bundle in force may be older, if this host was cut off or paused.
    """
    return effects.FetchChanges(promotion.operation, bundles.KIND)


def hold_writes(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Ask the old primary to refuse writes until the change's time limit."""
    remaining_s = promotion.started_at + limits.SWITCH_LIMIT_S - moment.at
    command = effects.ControlTarget(
        promotion.operation,
        promotion.replaced,
        "hold",
        promotion.term - 1,
        "",
        max(remaining_s, limits.CATCH_UP_PROBE_S),
    )
    return [command]


def probe_preferred(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Probe the preferred replica for its replication position."""
    return detection.send_probe(state, moment, promotion.preferred)


def reserve_term(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Reserve the term with an update of the group's object."""
    phase = (
        model.Phase.OPEN if promotion.adopted_primary else model.Phase.ELECTING
    )
    record = state.directory.records.get(promotion.group)
    preferred = promotion.preferred
    if record and not preferred:
        preferred = record.preferred
    new = model.GroupRecord(
        0,
        promotion.term,
        phase,
        promotion.adopted_primary,
        promotion.operation,
        preferred,
    )
    promotion.is_bundle_current = False
    update = update_object(state, promotion, new)
    return update + [fetch_bundle(promotion)]


def choose_primary(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Choose the term's primary and store it in the group's object."""
    group = state.directory.get_group(promotion.group)
    record = state.directory.records.get(promotion.group)
    if group is None or record is None:
        return []
    primary = rules.choose_primary(
        group, promotion.fenced, promotion.preferred, promotion.replaced
    )
    new = record._replace(phase=model.Phase.OPEN, primary=primary, preferred="")
    return update_object(state, promotion, new)


def update_object(
    state: state_module.ProxyState,
    promotion: failover_state.Promotion,
    new: model.GroupRecord,
) -> Effects:
    """Update the group's object, or read it after an uncertain update."""
    if promotion.is_uncertain:
        return read_object(promotion)
    record = state.directory.records.get(promotion.group)
    update = effects.UpdateObject(
        promotion.operation,
        "group",
        promotion.group,
        rules.get_expected_version(record),
        records.format_value(new),
    )
    return [update]


def install_term(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Install the term on the instances that have not answered yet."""
    commands = [
        make_command(promotion, target.id, "install_term")
        for target in list_targets(state, promotion.group)
        if target.id not in promotion.fenced
    ]
    # The first attempt after a reservation awaits the answer to its own call.
    is_awaited = (
        promotion.attempt == 0 and Step.RESERVING.value in promotion.entered_ms
    )
    if promotion.is_bundle_current or is_awaited:
        return commands
    return [*commands, fetch_bundle(promotion)]


def open_primary(
    state: state_module.ProxyState,
    moment: model.Moment,
    promotion: failover_state.Promotion,
) -> Effects:
    """Promote the chosen primary and make the other instances follow it."""
    record = state.directory.records.get(promotion.group)
    if record is None or not record.primary:
        return []
    result: Effects = [make_command(promotion, record.primary, "promote")]
    for target in list_targets(state, promotion.group):
        if target.id != record.primary:
            result.append(
                make_command(promotion, target.id, "follow", record.primary)
            )
    return result


RUNNERS: dict[Step, Runner] = {
    Step.PREVOTING: probe_instances,
    Step.HOLDING: hold_writes,
    Step.CATCHING_UP: probe_preferred,
    Step.RESERVING: reserve_term,
    Step.FENCING: install_term,
    Step.CHOOSING: choose_primary,
    Step.OPENING: open_primary,
}

# Time after which a step is retried, in seconds.
RETRY_DELAYS_S: dict[Step, float] = {
    Step.PREVOTING: limits.PREVOTE_GRACE_S,
    Step.HOLDING: limits.CONTROL_TIMEOUT_S,
    Step.CATCHING_UP: limits.CATCH_UP_PROBE_S,
    Step.RESERVING: limits.PLATFORM_RETRY_S,
    Step.FENCING: limits.FENCE_GRACE_S,
    Step.CHOOSING: limits.PLATFORM_RETRY_S,
    Step.OPENING: limits.CONTROL_TIMEOUT_S,
}

# Attempts after which the promotion is aborted. The other steps are retried
# until the record shows that the promotion is over.
ATTEMPT_LIMITS: dict[Step, int] = {
    Step.PREVOTING: limits.PREVOTE_ATTEMPTS,
    Step.RESERVING: limits.RESERVE_ATTEMPTS,
    Step.OPENING: limits.OPEN_ATTEMPTS,
}
