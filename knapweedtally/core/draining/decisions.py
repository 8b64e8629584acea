"""Event handlers of the draining part: planned stop of this proxy."""

from collections.abc import Callable

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.draining import rules
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.draining import targets
from knapweedtally.core.explanations import decisions as explanations
from knapweedtally.core.membership import events as membership_events

Effects = list[effects.Effect]
Phase = draining_state.Phase


def handle_drain_requested(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: draining_events.DrainRequested,
) -> Effects:
    """Begin a planned stop; further requests have no effect."""
    draining = state.draining
    if draining.phase is not Phase.SERVING:
        return []
    draining.requested_at = moment.at
    _enter_phase(state, moment, Phase.ANNOUNCING, event.reason)
    log = effects.WriteLog(
        "draining", "info", "proxy is draining", {"reason": event.reason}
    )
    return [log, effects.RaiseEvent(membership_events.LeavingChanged(True))]


def handle_callers_gone(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: draining_events.CallersGone,
) -> Effects:
    """Stop the process once the last caller has disconnected."""
    if state.draining.phase not in (Phase.CLOSING, Phase.ABORTING):
        return []
    _enter_phase(state, moment, Phase.STOPPED, "no caller connection is left")
    return [effects.StopProcess()]


def handle_tick(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.Ticked,
) -> Effects:
    """Apply a new bundle and advance a planned stop when it is due."""
    targets.apply_bundle(state, moment)
    handler = _TICK_HANDLERS.get(state.draining.phase)
    return handler(state, moment) if handler else []


def _tick_announcing(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    draining = state.draining
    if moment.at - draining.requested_at < draining.settings.announce_s:
        return []
    _enter_phase(
        state, moment, Phase.CLOSING, "the announcement period has passed"
    )
    spread_s = draining.settings.spread_s
    return [effects.StopAccepting(), effects.CloseIdleCallers(spread_s)]


def _tick_closing(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    if moment.at < rules.find_abort_time(state):
        return []
    _enter_phase(
        state, moment, Phase.ABORTING, "open transactions have had their time"
    )
    return [effects.AbortTransactions(), *_tick_aborting(state, moment)]


def _tick_aborting(
    state: state_module.ProxyState, moment: model.Moment
) -> Effects:
    draining = state.draining
    timeout_s = draining.settings.timeout_s
    if moment.at - draining.requested_at < timeout_s:
        return []
    reason = f"callers are still connected after {timeout_s} s"
    _enter_phase(state, moment, Phase.STOPPED, reason)
    log = effects.WriteLog(
        "draining",
        "warning",
        "drain timeout passed with callers connected; raise it to wait longer",
        {"timeout_s": timeout_s},
    )
    return [log, effects.StopProcess()]


def _enter_phase(
    state: state_module.ProxyState,
    moment: model.Moment,
    phase: Phase,
    reason: str,
) -> None:
    state.draining.phase = phase
    explanations.record_decision(
        state, moment, "draining", state.identity.host, phase.value, reason
    )


_TICK_HANDLERS: dict[
    Phase, Callable[[state_module.ProxyState, model.Moment], Effects]
] = {
    Phase.ANNOUNCING: _tick_announcing,
    Phase.CLOSING: _tick_closing,
    Phase.ABORTING: _tick_aborting,
}

HANDLERS: dict[type, Callable[..., Effects]] = {
    draining_events.CallersGone: handle_callers_gone,
    draining_events.DrainRequested: handle_drain_requested,
    events.HostListSeen: targets.handle_host_list,
    events.ProbeAnswered: targets.handle_probe_answered,
    events.ProbeFailed: targets.handle_probe_failed,
    events.RegisterSeen: targets.handle_register,
    events.TargetStopping: targets.handle_target_stopping,
    events.Ticked: handle_tick,
}
