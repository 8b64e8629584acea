"""Assign observers to targets and rank the hosts that may act.

Observers are chosen by rendezvous hashing on two levels: first the data
centres, then the hosts in each. A change of one host recomputes little, since
each host needs the second level of its own data centre only.
"""

from collections.abc import Mapping

import xxhash

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.membership import hosts


def list_live_hosts(state: state_module.ProxyState) -> Mapping[str, str]:
    """Return the data centre of each live host, including this host."""
    identity = state.identity
    live = hosts.get_live_hosts(state)
    if live.get(identity.host) == identity.data_centre:
        return live
    return {**live, identity.host: identity.data_centre}


def compute_weight(key: str, name: str) -> tuple[int, str]:
    """Return the rendezvous weight of a name for a key; the highest wins."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode()), name


def rank_names(key: str, names: list[str]) -> list[str]:
    """Return the names sorted by weight, highest first."""
    return sorted(names, key=lambda name: compute_weight(key, name))[::-1]


def allocate_observers(key: str, sizes: Mapping[str, int]) -> dict[str, int]:
    """Return how many observers each data centre provides.

    Args:
        key: id of the target.
        sizes: number of live hosts by data centre.
    """
    wanted = min(limits.OBSERVERS, sum(sizes.values()))
    ranked = rank_names(key, list(sizes))
    observer_counts: dict[str, int] = {}
    while sum(observer_counts.values()) < wanted:
        for centre in ranked:
            used = observer_counts.get(centre, 0)
            if used < sizes[centre] and sum(observer_counts.values()) < wanted:
                observer_counts[centre] = used + 1
    return observer_counts


def refresh(state: state_module.ProxyState, at: float) -> None:
    """Recompute the assignment if the bundle or the live hosts changed."""
    old = state.failover.assignment
    bundle = state.directory.bundle
    live = list_live_hosts(state)
    if old.bundle is bundle and old.hosts == live:
        return
    new = build_assignment(old, bundle, live)
    state.failover.assignment = new
    if may_change_watches(old, new, state.identity.data_centre):
        update_watches(state, at)


def may_change_watches(
    old: failover_state.Assignment,
    new: failover_state.Assignment,
    centre: str,
) -> bool:
    """Return whether the watches of a data centre's hosts may change."""
    if (
        old.bundle is not new.bundle
        or old.observer_counts != new.observer_counts
    ):
        return True
    old_names = old.hosts_by_centre.get(centre, [])
    return sorted(old_names) != sorted(new.hosts_by_centre[centre])


def build_assignment(
    previous: failover_state.Assignment,
    bundle: model.Bundle | None,
    live: Mapping[str, str],
) -> failover_state.Assignment:
    """Return the assignment for a bundle and the live hosts.

    Args:
        previous: assignment whose observer counts are reused unless the capped
            number of hosts in a data centre changed.
        bundle: bundle in force.
        live: data centre of each live host.
    """
    hosts_by_centre: dict[str, list[str]] = {}
    for host, centre in live.items():
        hosts_by_centre.setdefault(centre, []).append(host)
    sizes = cap_sizes(hosts_by_centre)
    known = previous.observer_counts
    if sizes != cap_sizes(previous.hosts_by_centre):
        known = {}
    groups = bundle.groups if bundle else {}
    targets = {
        target.id: group.name
        for group in groups.values()
        for target in group.targets
    }
    observer_counts = {
        target: known.get(target) or allocate_observers(target, sizes)
        for target in targets
    }
    return failover_state.Assignment(
        bundle, dict(live), hosts_by_centre, targets, observer_counts
    )


def cap_sizes(hosts_by_centre: Mapping[str, list[str]]) -> dict[str, int]:
    """Return the host count by data centre, at most ``OBSERVERS`` each."""
    return {
        centre: min(len(hosts), limits.OBSERVERS)
        for centre, hosts in hosts_by_centre.items()
    }


def update_watches(state: state_module.ProxyState, at: float) -> None:
    """Create and remove watches to match the targets of this host."""
    failover = state.failover
    groups = failover.assignment.groups
    failover.watches = {
        target: failover.watches.get(target)
        or failover_state.Watch(group, at - get_initial_probe_age(target))
        for target, group in groups.items()
        if is_observer(state, target)
    }
    failover.observations = {
        target: found
        for target, found in failover.observations.items()
        if target in groups
    }


def is_observer(state: state_module.ProxyState, target: str) -> bool:
    """Return whether this host observes a target."""
    identity = state.identity
    assignment = state.failover.assignment
    observer_count = assignment.observer_counts[target].get(
        identity.data_centre
    )
    if not observer_count:
        return False
    names = assignment.hosts_by_centre[identity.data_centre]
    if observer_count == 1:
        best = max(names, key=lambda name: compute_weight(target, name))
        return best == identity.host
    return identity.host in rank_names(target, names)[:observer_count]


def get_initial_probe_age(target: str) -> float:
    """Return the age of a new watch's assumed last probe, in seconds.

    The age depends on the target, which spreads the first probes over time.
    """
    fraction = (xxhash.xxh64_intdigest(target.encode()) % 1000) / 1000
    return fraction * limits.REPLICA_PROBE_INTERVAL_S


def list_observers(
    state: state_module.ProxyState, target: str
) -> tuple[str, ...]:
    """Return the observers of a target, or an empty tuple if unknown."""
    assignment = state.failover.assignment
    found = assignment.observers.get(target)
    if found is None:
        found = tuple(
            host
            for centre, observer_count in assignment.observer_counts.get(
                target, {}
            ).items()
            for host in rank_names(target, assignment.hosts_by_centre[centre])[
                :observer_count
            ]
        )
        assignment.observers[target] = found
    return found


def list_candidates(state: state_module.ProxyState, group: str) -> set[str]:
    """Return the observers of a group's targets, which may act for it."""
    found = state.directory.get_group(group)
    targets = found.targets if found else ()
    return {
        host for target in targets for host in list_observers(state, target.id)
    }


def get_rank(
    state: state_module.ProxyState, group: str, term: int
) -> int | None:
    """Return this host's rank for a term, or None if it may not act.

    Args:
        state: state of the proxy.
        group: name of the group.
        term: term of the planned action.
    """
    candidates = list_candidates(state, group)
    host = state.identity.host
    if host not in candidates:
        return None
    return rank_names(f"{group}\0{term}", list(candidates)).index(host)
