"""Divide the connections of each target between the entry hosts."""

import math

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.membership import hosts as membership_hosts

# Connections of each target that are reserved for replication, for operators
# and for hosts that are not counted yet.
RESERVED_CONNECTIONS = 2
# Time after which a further connection is tried at a target that refused one.
CAP_DURATION_S = 2.0


def compute_share(connection_limit: int, hosts: int) -> int:
    """Return how many connections one host may hold to one target.

    Args:
        connection_limit: connections that the target accepts in all.
        hosts: entry hosts that may connect; at least 1.

    Returns:
        At least 1, so that every host can serve; where there are more hosts
        than connections, the target itself refuses the excess.
    """
    usable = max(1, connection_limit - RESERVED_CONNECTIONS)
    return max(1, usable // max(1, hosts))


def count_hosts(state: state_module.ProxyState) -> int:
    """Return how many live entry hosts share the targets; at least 1."""
    return max(1, len(membership_hosts.get_live_hosts(state)))


def get_share(state: state_module.ProxyState, group: model.Group) -> int:
    """Return how many connections this host may hold to each target."""
    return compute_share(group.connection_limit, count_hosts(state))


def has_free_connection(state: state_module.ProxyState, target: str) -> bool:
    """Return whether this host may open another lease on a target."""
    group = state.directory.get_group_of_target(target)
    if group is None:
        return False
    limit = min(get_share(state, group), get_connection_cap(state, target))
    return state.admission.leases_in_use.get(target, 0) < limit


def get_connection_cap(state: state_module.ProxyState, target: str) -> float:
    """Return the temporary connection limit of a target, or infinity."""
    return state.admission.connection_caps.get(target, math.inf)


def cap_connections(
    state: state_module.ProxyState, moment: model.Moment, target: str
) -> None:
    """Limit connections to a target that refused one to those in use."""
    usage = state.admission.leases_in_use.get(target, 0)
    state.admission.connection_caps[target] = max(1, usage)
    state.admission.caps_expire_at[target] = moment.at + CAP_DURATION_S


def remove_expired_caps(
    state: state_module.ProxyState, moment: model.Moment
) -> None:
    """Remove the connection limits that have expired."""
    for target, until in list(state.admission.caps_expire_at.items()):
        if until <= moment.at:
            del state.admission.caps_expire_at[target]
            del state.admission.connection_caps[target]
