"""Track which targets are leaving, from all sources that report it.

The bundle's list needs no state here. The other sources change an entry, which
is published as a register of kind ``target`` with the version (bundle version,
count). The count is the number of the cycle from serving to gone and back,
times ``COUNT_STEP``, plus the value of the state. Each version therefore stands
for one state.
"""

from knapweedtally.core import effects
from knapweedtally.core import events
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.explanations import decisions as explanations

COUNT_STEP = 4

# A target that refused work because of a shutdown is used again if it still
# answers probes after this time: an operator may have ended a single
# connection only.
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
    TargetState.GONE: "start it again to use it, or remove it from the bundle",
}


def handle_probe_answered(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeAnswered,
) -> Effects:
    """Use a target again that answers probes.

    A stopping target is used again only after ``STOPPING_RETRY_S``.
    """
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
    """Mark a leaving target as gone if it refuses connections."""
    if not event.is_refused:
        return []
    return _apply_signal(state, moment, event.target, Signal.UNREACHABLE)


def handle_target_stopping(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.TargetStopping,
) -> Effects:
    """Mark a target as stopping that refused work because it shuts down."""
    return _apply_signal(state, moment, event.target, Signal.REFUSED)


def handle_host_list(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.HostListSeen,
) -> Effects:
    """Apply the platform's host list to the targets of the bundle.

    A listed host matches a target that has its address and port, or else its
    name as id.
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
    """Apply a newer state of a target that a peer published."""
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
        state, moment, register.name, new_state, version, "a peer reports it"
    )
    return []


def apply_bundle(state: state_module.ProxyState, moment: model.Moment) -> None:
    """Update the known targets from a new bundle.

    Changes in the set of leaving targets are recorded as decisions.
    """
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
    """Apply a signal and publish the target's new state, if it changes."""
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
    """Return the lowest version of a state that is above the old one."""
    bundle = state.directory.bundle
    bundle_version = max(bundle.version if bundle else 0, old_version[0])
    cycle, old_rank = divmod(old_version[1], COUNT_STEP)
    if new_state.value <= old_rank:
        cycle += 1
    return bundle_version, cycle * COUNT_STEP + new_state.value


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
