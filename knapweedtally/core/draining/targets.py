"""Follow which targets are leaving, from every source that says so.

The bundle's own list needs no state here. The other sources change a mark,
which spreads as a register of kind ``target`` with the version (bundle
version, count). Counts grow by ``COUNT_STEP`` per turn from serving to gone
and back, with the state's rank added, so each version has one value.
"""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.explanations import decisions as explanations

COUNT_STEP = 4

# A target that refused work for a shutdown but still answers probes after
# this time is tried again: an operator may have ended one connection only.
STOPPING_RETRY_S = 60.0

Effects = list[effects.Effect]
Signal = draining_state.Signal
TargetState = draining_state.TargetState

TRANSITIONS: dict[tuple[TargetState, Signal], TargetState] = {
    (TargetState.SERVING, Signal.LISTED): TargetState.LISTED,
    (TargetState.SERVING, Signal.REFUSED): TargetState.STOPPING,
    (TargetState.LISTED, Signal.REFUSED): TargetState.STOPPING,
    (TargetState.LISTED, Signal.UNREACHABLE): TargetState.GONE,
    (TargetState.LISTED, Signal.UNLISTED): TargetState.SERVING,
    (TargetState.STOPPING, Signal.UNREACHABLE): TargetState.GONE,
    (TargetState.STOPPING, Signal.ANSWERED): TargetState.SERVING,
    (TargetState.GONE, Signal.ANSWERED): TargetState.SERVING,
}

_REMEDIES = {
    TargetState.SERVING: "",
    TargetState.LISTED: "mark it as live in the platform's list to use it",
    TargetState.STOPPING: "start it again to use it",
    TargetState.GONE: "start it again to use it, or take it off the bundle",
}


def handle_probe_answered(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Take a target back that returned."""
    target = event.report.target
    entry = state.draining.target_entries.get(target)
    if entry is None:
        return []
    is_early = moment.at - entry.at < STOPPING_RETRY_S
    if entry.state is TargetState.STOPPING and is_early:
        return []
    return _apply_signal(state, moment, target, Signal.ANSWERED)


def handle_probe_failed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeFailed,
) -> Effects:
    """Take note that a leaving target is gone."""
    if not event.is_refused:
        return []
    return _apply_signal(state, moment, event.target, Signal.UNREACHABLE)


def handle_target_stopping(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.TargetStopping,
) -> Effects:
    """Give no more work to a target that refused some for its shutdown."""
    return _apply_signal(state, moment, event.target, Signal.REFUSED)


def handle_host_list(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.HostListSeen,
) -> Effects:
    """Match the platform's list with the targets of the bundle.

    An entry is a target's when it bears the target's id or its address and
    port.
    """
    apply_bundle(state, moment)
    result: Effects = []
    for listed in event.hosts:
        address = (listed.address, listed.port)
        target = state.draining.addresses.get(address, listed.name)
        signal = Signal.LISTED if listed.is_leaving else Signal.UNLISTED
        result.extend(_apply_signal(state, moment, target, signal))
    return result


def handle_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.RegisterSeen,
) -> Effects:
    """Take over what a peer knows of a target."""
    register = event.register
    entry = state.draining.target_entries.get(register.name)
    if register.kind != "target" or len(register.version) != 2:
        return []
    bundle_version, count = register.version
    version = (bundle_version, count)
    if entry is not None and version <= entry.version:
        return []
    new_state = TargetState(count % COUNT_STEP)
    _store_entry(
        state, moment, register.name, new_state, version, "a peer's word"
    )
    return []


def apply_bundle(state: state_module.ProxyState, moment: model.Moment) -> None:
    """Record what a new bundle changes in the set of leaving targets."""
    draining = state.draining
    bundle = state.directory.bundle
    if bundle is None or bundle.version == draining.bundle_version:
        return
    draining.bundle_version = bundle.version
    targets = [
        target for group in bundle.groups.values() for target in group.targets
    ]
    draining.addresses = {
        (target.host, target.port): target.id for target in targets
    }
    leaving: frozenset[str] = frozenset().union(
        *(group.leaving for group in bundle.groups.values())
    )
    for target in sorted(leaving ^ draining.bundle_leaving):
        _record_bundle_change(
            state, moment, target, target in leaving, bundle.version
        )
    draining.bundle_leaving = leaving
    draining.target_ids = frozenset(target.id for target in targets)
    for target in draining.target_entries.keys() - draining.target_ids:
        del draining.target_entries[target]


def _apply_signal(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    signal: Signal,
) -> Effects:
    """Apply a signal, and spread the new state if there is one."""
    apply_bundle(state, moment)
    entry = state.draining.target_entries.get(target)
    known = entry.state if entry else TargetState.SERVING
    new_state = TRANSITIONS.get((known, signal))
    if new_state is None or target not in state.draining.target_ids:
        return []
    old_version = entry.version if entry else (0, 0)
    version = _build_version(state, old_version, new_state)
    _store_entry(state, moment, target, new_state, version, signal.value)
    value: dict[str, object] = {"state": new_state.name.lower()}
    register = model.Register("target", target, version, value)
    return [effects.PublishRegister(register)]


def _build_version(
    state: state_module.ProxyState,
    old_version: tuple[int, int],
    new_state: TargetState,
) -> tuple[int, int]:
    """Return the lowest version of a state above the old version."""
    bundle = state.directory.bundle
    bundle_version = max(bundle.version if bundle else 0, old_version[0])
    turn, old_rank = divmod(old_version[1], COUNT_STEP)
    if new_state.value <= old_rank:
        turn += 1
    return bundle_version, turn * COUNT_STEP + new_state.value


def _store_entry(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    new_state: TargetState,
    version: tuple[int, int],
    source: str,
) -> None:
    entries = state.draining.target_entries
    known = entries.get(target)
    entries[target] = draining_state.TargetEntry(new_state, version, moment.at)
    known_state = known.state if known else TargetState.SERVING
    if known_state is new_state:
        return
    explanations.record_decision(
        state,
        moment,
        "draining",
        target,
        new_state.name.lower(),
        f"target is {new_state.name.lower()}: {source}",
        _REMEDIES[new_state],
        before=known_state.name.lower(),
    )


def _record_bundle_change(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    is_leaving: bool,
    version: int,
) -> None:
    choice = "leaving" if is_leaving else "serving"
    remedy = "roll out a bundle without it under leaving" if is_leaving else ""
    explanations.record_decision(
        state,
        moment,
        "draining",
        target,
        choice,
        f"bundle {version} lists the target as {choice}",
        remedy,
        bundle_version=version,
    )
