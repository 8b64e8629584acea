"""Share a target's connections between the entry hosts."""

import math

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import hosts as membership_hosts

# Replication, operators and hosts that are not counted yet.
RESERVED_CONNECTIONS = 2
# Time until a target that refused a connection is asked for one more.
CAP_DURATION_S = 2.0


def compute_share(connection_limit: int, hosts: int) -> int:
    """Return how many connections one host may hold to one target.

    Args:
        connection_limit: connections that the target accepts in all.
        hosts: entry hosts that may connect; at least 1.

    Returns:
        At least 1, so that every host can serve; where there are more hosts
        than connections the target itself refuses the rest.
    """
    usable = max(1, connection_limit - RESERVED_CONNECTIONS)
    return max(1, usable // max(1, hosts))


def count_hosts(state: state_module.ProxyState) -> int:
    """Return how many entry hosts share the targets."""
    return max(1, len(membership_hosts.live_hosts(state)))


def get_share(state: state_module.ProxyState, group: model.Group) -> int:
    """Return this host's connections to each target of a group."""
    return compute_share(group.connection_limit, count_hosts(state))


def has_free_connection(state: state_module.ProxyState, target: str) -> bool:
    """Return whether another lease on the target fits this host's share."""
    group = state.directory.find_group_of(target)
    if group is None:
        return False
    limit = min(get_share(state, group), get_connection_cap(state, target))
    return state.admission.usage.get(target, 0) < limit


def get_connection_cap(state: state_module.ProxyState, target: str) -> float:
    """Return how many connections a target let this host have lately."""
    return state.admission.connection_caps.get(target, math.inf)


def cap_connections(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> None:
    """Take fewer connections to a target that refused one more."""
    usage = state.admission.usage.get(target, 0)
    state.admission.connection_caps[target] = max(1, usage)
    state.admission.caps_expire_at[target] = moment.at + CAP_DURATION_S


def remove_expired_caps(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Try for more connections where the last refusal is long past."""
    for target, until in list(state.admission.caps_expire_at.items()):
        if until <= moment.at:
            del state.admission.caps_expire_at[target]
            del state.admission.connection_caps[target]
