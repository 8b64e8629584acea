"""Plain values of the proxy's state for the administration API."""

from typing import Any

import knapweedtally
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import rules as draining_rules
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.explanations import state as explanations_state

MS_PER_S = 1000


def find_readiness_obstacles(state: state_module.ProxyState) -> list[str]:
    """Return the reasons why the host is not ready; empty if it is ready."""
    obstacles = []
    if state.directory.bundle is None:
        obstacles.append("no bundle is in force")
    if is_draining(state):
        obstacles.append("the host is draining")
    return obstacles


def is_draining(state: state_module.ProxyState) -> bool:
    """Return whether a planned stop has begun."""
    return state.draining.phase is not draining_state.Phase.SERVING


def describe_status(state: state_module.ProxyState) -> dict[str, Any]:
    """Return the host's identity, its load, its counters and known hosts."""
    bundle = state.directory.bundle
    return {
        "host": state.identity.host,
        "data_centre": state.identity.data_centre,
        "incarnation": state.identity.incarnation,
        "program_version": knapweedtally.VERSION,
        "bundle_version": bundle.version if bundle else 0,
        "is_ready": not find_readiness_obstacles(state),
        "drain_phase": state.draining.phase.value,
        "requests_in_flight": len(state.admission.requests),
        "open_transactions": len(state.admission.transactions),
        "decisions": state.explanations.count,
        "counters": dict(state.admission.counters),
        "hosts": [
            {
                "name": host.name,
                "address": host.address,
                "admin_port": host.admin_port,
                "status": host.status.value,
            }
            for host in state.membership.hosts.values()
        ],
    }


def list_groups(state: state_module.ProxyState) -> list[dict[str, Any]]:
    """Return the groups of the bundle in force with their latest records."""
    bundle = state.directory.bundle
    groups = bundle.groups.values() if bundle else ()
    return [_describe_group(state, group) for group in groups]


def list_targets(
    state: state_module.ProxyState, now: float
) -> list[dict[str, Any]]:
    """Return the targets of the bundle in force with their latest reports.

    Args:
        state: state of the proxy.
        now: monotonic time in seconds.
    """
    bundle = state.directory.bundle
    groups = bundle.groups.values() if bundle else ()
    return [
        _describe_target(state, group, target, now)
        for group in groups
        for target in group.targets
    ]


def describe_bundle(state: state_module.ProxyState) -> dict[str, Any]:
    """Return this host's bundle in force and the version on each known host."""
    bundle = state.directory.bundle
    hosts = [
        {
            "name": host.name,
            "data_centre": host.data_centre,
            "status": host.status.value,
            "version": host.bundle_version,
        }
        for host in state.membership.hosts.values()
    ]
    return {
        "version": bundle.version if bundle else 0,
        "digest": bundle.digest if bundle else "",
        "signer": bundle.signer if bundle else "",
        "hosts": sorted(hosts, key=lambda host: host["name"]),
    }


def describe_decision(
    decision: explanations_state.Decision, now: float
) -> dict[str, Any]:
    """Return a decision record, with its age in place of its time."""
    described = decision._asdict()
    del described["at"]
    return {**described, "ago_ms": _compute_elapsed_ms(decision.at, now)}


def _describe_group(
    state: state_module.ProxyState, group: model.Group
) -> dict[str, Any]:
    record = state.directory.records.get(group.name)
    promotion = state.failover.promotions.get(group.name)
    return {
        "name": group.name,
        "term": record.term if record else 0,
        "phase": record.phase.value if record else "unknown",
        "primary": record.primary if record else "",
        "preferred": record.preferred if record else "",
        "promotion": promotion.step.value if promotion else "",
        "targets": [target.id for target in group.targets],
        "max_age_ms": group.max_age_ms,
        "slots": group.slots,
        "connection_limit": group.connection_limit,
    }


def _describe_target(
    state: state_module.ProxyState,
    group: model.Group,
    target: model.Target,
    now: float,
) -> dict[str, Any]:
    record = state.directory.records.get(group.name)
    watch = state.failover.watches.get(target.id)
    described: dict[str, Any] = {
        "id": target.id,
        "group": group.name,
        "data_centre": target.data_centre,
        "address": f"{target.host}:{target.port}",
        "is_primary": bool(record and record.primary == target.id),
        "is_leaving": draining_rules.is_leaving(state, target.id, group),
        "is_observed_here": watch is not None,
        "failure": watch.reason if watch else "",
        "connections_in_use": state.admission.leases_in_use.get(target.id, 0),
        "term": None,
        "offset": None,
        "age_ms": None,
        "report_ago_ms": None,
    }
    entry = state.directory.reports.get(target.id)
    if entry:
        report, received_at = entry
        described["term"] = report.term
        described["offset"] = report.offset
        described["age_ms"] = round(report.age_ms)
        described["report_ago_ms"] = _compute_elapsed_ms(received_at, now)
    return described


def _compute_elapsed_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * MS_PER_S))
