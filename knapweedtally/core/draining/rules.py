"""Rules for a planned stop and for leaving targets."""

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import state as draining_state


def is_leaving(
    state: state_module.ProxyState, target: str, group: model.Group
) -> bool:
    """Return whether a target is leaving and gets no new work.

    Args:
        state: state of the proxy.
        target: id of the target.
        group: the target's group.
    """
    if target in group.leaving:
        return True
    entry = state.draining.target_entries.get(target)
    if entry is None:
        return False
    return entry.state is not draining_state.TargetState.SERVING


def is_accepting(state: state_module.ProxyState) -> bool:
    """Return whether this proxy accepts caller connections."""
    return state.draining.phase in (
        draining_state.Phase.SERVING,
        draining_state.Phase.ANNOUNCING,
    )


def is_ready(state: state_module.ProxyState) -> bool:
    """Return whether the load balancer may send callers here."""
    is_serving = state.draining.phase is draining_state.Phase.SERVING
    return is_serving and state.directory.bundle is not None
