"""Event handlers of the failover part."""

from collections.abc import Callable
from typing import Any

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import answers
from knapweedtally.core.failover import completion
from knapweedtally.core.failover import detection
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import evidence
from knapweedtally.core.failover import observers
from knapweedtally.core.failover import prevote
from knapweedtally.core.failover import reconciliation
from knapweedtally.core.failover import record_updates
from knapweedtally.core.failover import retries
from knapweedtally.core.failover import switching

Effects = list[effects.Effect]


def handle_tick(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.Ticked,
) -> Effects:
    """Send the probes that are due and check the observed groups."""
    observers.refresh(state, moment.at)
    result = detection.probe_due_targets(state, moment)
    result += completion.schedule_creations(state, moment)
    result += switching.schedule_observed_switches(state, moment)
    for target, watch in state.failover.watches.items():
        if watch.reason and is_primary(state, watch.group, target):
            result += evidence.evaluate_evidence(state, moment, watch.group)
    return result


def is_primary(state: state_module.ProxyState, group: str, target: str) -> bool:
    """Return whether a target is the primary of its group's newest record."""
    return detection.is_current_primary(state, group, target)


def handle_timer(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.TimerFired,
) -> Effects:
    """Dispatch a timer of the failover part to its handler."""
    handler = TIMER_HANDLERS.get(type(event.key))
    return handler(state, moment, event.key) if handler else []


def handle_start_due(
    state: state_module.ProxyState,
    moment: model.Moment,
    key: failover_events.StartDue,
) -> Effects:
    """Begin to replace a failed primary when the start timer fires."""
    return evidence.start_replacement(state, moment, key.group, key.term)


def handle_object(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: record_updates.ObjectEvent,
) -> Effects:
    """Apply the state of a group's object."""
    if event.kind != "group":
        return []
    return record_updates.apply_object(state, moment, event)


def handle_platform_failure(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.PlatformFailed,
) -> Effects:
    """Schedule a retry after a call about a group's object failed."""
    if event.kind != "group":
        return []
    return answers.schedule_platform_retry(state, moment, event)


def handle_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.RegisterSeen,
) -> Effects:
    """Apply a group's record or an observer's verdict."""
    handler = REGISTER_HANDLERS.get(event.register.kind)
    return handler(state, moment, event.register) if handler else []


def handle_observation(
    state: state_module.ProxyState,
    moment: model.Moment,
    register: model.Register,
) -> Effects:
    """Record another observer's verdict and evaluate the evidence."""
    target = detection.record_observation(state, moment, register)
    group = state.failover.assignment.groups.get(target, "")
    if not is_primary(state, group, target):
        return []
    return evidence.evaluate_evidence(state, moment, group)


def handle_probe_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Process the status that a target reported."""
    result = detection.record_probe_answer(state, moment, event)
    result += completion.read_newer_object(state, moment, event)
    result += reconciliation.reconcile(state, moment, event)
    result += prevote.record_status(state, moment, event)
    return result + evaluate_target(state, moment, event.report.target)


def handle_probe_failure(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeFailed,
) -> Effects:
    """Process a probe that brought no status."""
    result = detection.record_probe_failure(state, moment, event)
    result += prevote.record_missing_status(state, moment, event)
    return result + evaluate_target(state, moment, event.target)


def evaluate_target(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> Effects:
    """Evaluate the evidence if this host considers a primary failed."""
    watch = state.failover.watches.get(target)
    if watch is None or not watch.reason:
        return []
    if not is_primary(state, watch.group, target):
        return []
    return evidence.evaluate_evidence(state, moment, watch.group)


def handle_control_answer(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ControlAnswered,
) -> Effects:
    """Pass an instance's answer to the promotion that sent the command."""
    group = state.failover.assignment.groups.get(event.target, "")
    running = state.failover.promotions.get(group)
    if running is None or running.operation != event.operation:
        return []
    handler = CONTROL_HANDLERS.get(event.command)
    return handler(state, moment, running, event) if handler else []


TimerHandler = Callable[
    [state_module.ProxyState, model.Moment, Any],
    Effects,
]
TIMER_HANDLERS: dict[type, TimerHandler] = {
    failover_events.StartDue: handle_start_due,
    failover_events.CompletionDue: completion.complete_term,
    failover_events.CreationDue: completion.read_missing_record,
    failover_events.SwitchDue: switching.begin_switch,
    failover_events.StepDue: retries.retry_step,
}

RegisterHandler = Callable[
    [state_module.ProxyState, model.Moment, model.Register], Effects
]
REGISTER_HANDLERS: dict[str, RegisterHandler] = {
    "group": record_updates.apply_register,
    "observation": handle_observation,
}

CONTROL_HANDLERS: dict[str, answers.ControlHandler] = {
    **answers.CONTROL_HANDLERS,
    "hold": switching.handle_hold_answer,
}

HANDLERS: dict[type, Callable[..., Effects]] = {
    events.Ticked: handle_tick,
    events.TimerFired: handle_timer,
    events.ObjectSeen: handle_object,
    events.ChangesFetched: answers.handle_bundle_fetched,
    events.ObjectUpdated: handle_object,
    events.ObjectConflicted: handle_object,
    events.PlatformFailed: handle_platform_failure,
    events.RegisterSeen: handle_register,
    events.ProbeAnswered: handle_probe_answer,
    events.ProbeFailed: handle_probe_failure,
    events.ControlAnswered: handle_control_answer,
}
