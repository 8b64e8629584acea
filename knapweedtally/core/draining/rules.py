"""Rules for a planned stop and for leaving targets."""

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import state as draining_state

MILLISECONDS_PER_S = 1000


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


def find_abort_time(state: state_module.ProxyState) -> float:
    """Return when open transactions are aborted, in seconds.

    The requests that run then can still end before the process stops. Half of
    the time is left to transactions in any case.
    """
    draining = state.draining
    timeout_s = draining.settings.timeout_s
    bundle = state.directory.bundle
    longest_ms = max(
        (
            group.request_timeout_ms
            for group in (bundle.groups.values() if bundle else ())
        ),
        default=0,
    )
    kept_s = max(timeout_s / 2, timeout_s - longest_ms / MILLISECONDS_PER_S)
    return draining.requested_at + kept_s


def is_ready(state: state_module.ProxyState) -> bool:
    """Return whether the load balancer may send callers here."""
    is_serving = state.draining.phase is draining_state.Phase.SERVING
    return is_serving and state.directory.bundle is not None
