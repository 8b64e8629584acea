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
RETRY_S = 60.0

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
    mark = state.draining.marks.get(target)
    if mark is None:
        return []
    is_early = moment.at - mark.at < RETRY_S
    if mark.state is TargetState.STOPPING and is_early:
        return []
    return _signal(state, moment, target, Signal.ANSWERED)


def handle_probe_failed(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.ProbeFailed,
) -> Effects:
    """Take note that a leaving target is gone."""
    if not event.is_refused:
        return []
    return _signal(state, moment, event.target, Signal.UNREACHABLE)


def handle_stopping(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.TargetStopping,
) -> Effects:
    """Give no more work to a target that refused some for its shutdown."""
    return _signal(state, moment, event.target, Signal.REFUSED)


def handle_host_list(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.HostListSeen,
) -> Effects:
    """Match the platform's list with the targets of the bundle.

    An entry is a target's when it bears the target's id or its address and
    port.
    """
    follow_bundle(state, moment)
    result: Effects = []
    for listed in event.hosts:
        address = (listed.address, listed.port)
        target = state.draining.addresses.get(address, listed.name)
        signal = Signal.LISTED if listed.is_leaving else Signal.UNLISTED
        result.extend(_signal(state, moment, target, signal))
    return result


def handle_register(
    state: state_module.ProxyState,
    moment: model.Moment,
    event: events.RegisterSeen,
) -> Effects:
    """Take over what a peer knows of a target."""
    register = event.register
    mark = state.draining.marks.get(register.name)
    if register.kind != "target" or len(register.version) != 2:
        return []
    bundle_version, count = register.version
    version = (bundle_version, count)
    if mark is not None and version <= mark.version:
        return []
    new_state = TargetState(count % COUNT_STEP)
    _put_mark(state, moment, register.name, new_state, version, "a peer's word")
    return []


def follow_bundle(state: state_module.ProxyState, moment: model.Moment) -> None:
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
    for target in draining.marks.keys() - draining.target_ids:
        del draining.marks[target]


def _signal(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    signal: Signal,
) -> Effects:
    """Apply a signal, and spread the new state if there is one."""
    follow_bundle(state, moment)
    mark = state.draining.marks.get(target)
    known = mark.state if mark else TargetState.SERVING
    new_state = TRANSITIONS.get((known, signal))
    if new_state is None or target not in state.draining.target_ids:
        return []
    old_version = mark.version if mark else (0, 0)
    version = _build_version(state, old_version, new_state)
    _put_mark(state, moment, target, new_state, version, signal.value)
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


def _put_mark(
    state: state_module.ProxyState,
    moment: model.Moment,
    target: str,
    new_state: TargetState,
    version: tuple[int, int],
    source: str,
) -> None:
    marks = state.draining.marks
    known = marks.get(target)
    marks[target] = draining_state.Mark(new_state, version, moment.at)
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
