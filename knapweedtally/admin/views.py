"""What the administration API shows of the proxy's state, as plain values."""

from typing import Any

import knapweedtally
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.draining import rules as draining_rules
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.explanations import state as explanations_state

MILLISECONDS = 1000


def find_obstacles(state: state_module.ProxyState) -> list[str]:
    """Return why the host is not ready for callers; empty when it is."""
    obstacles = []
    if state.directory.bundle is None:
        obstacles.append("no bundle is in force")
    if is_draining(state):
        obstacles.append("the host is draining")
    return obstacles


def is_draining(state: state_module.ProxyState) -> bool:
    """Tell whether a planned stop has begun."""
    return state.draining.phase is not draining_state.Phase.SERVING


def show_status(state: state_module.ProxyState) -> dict[str, Any]:
    """Return what the host is and what it has done."""
    bundle = state.directory.bundle
    return {
        "host": state.identity.host,
        "data_centre": state.identity.data_centre,
        "incarnation": state.identity.incarnation,
        "program_version": knapweedtally.VERSION,
        "bundle_version": bundle.version if bundle else 0,
        "is_ready": not find_obstacles(state),
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
    """Return the groups of the bundle in force with their newest records."""
    bundle = state.directory.bundle
    groups = bundle.groups.values() if bundle else ()
    return [_show_group(state, group) for group in groups]


def list_targets(
    state: state_module.ProxyState, now: float
) -> list[dict[str, Any]]:
    """Return the targets of the bundle in force with their newest reports.

    Args:
        state: state of the proxy.
        now: monotonic time in seconds.
    """
    bundle = state.directory.bundle
    groups = bundle.groups.values() if bundle else ()
    return [
        _show_target(state, group, target, now)
        for group in groups
        for target in group.targets
    ]


def show_bundle(state: state_module.ProxyState) -> dict[str, Any]:
    """Return the bundle in force here and its version on every known host."""
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


def show_decision(
    decision: explanations_state.Decision, now: float
) -> dict[str, Any]:
    """Return a decision record."""
    shown = decision._asdict()
    del shown["at"]
    return {**shown, "ago_ms": _get_ago_ms(decision.at, now)}


def _show_group(
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


def _show_target(
    state: state_module.ProxyState,
    group: model.Group,
    target: model.Target,
    now: float,
) -> dict[str, Any]:
    record = state.directory.records.get(group.name)
    watch = state.failover.watches.get(target.id)
    shown: dict[str, Any] = {
        "id": target.id,
        "group": group.name,
        "data_centre": target.data_centre,
        "address": f"{target.host}:{target.port}",
        "is_primary": bool(record and record.primary == target.id),
        "is_leaving": draining_rules.is_leaving(state, target.id, group),
        "is_observed_here": watch is not None,
        "failure": watch.reason if watch else "",
        "connections_in_use": state.admission.usage.get(target.id, 0),
        "term": None,
        "offset": None,
        "age_ms": None,
        "report_ago_ms": None,
    }
    found = state.directory.reports.get(target.id)
    if found:
        report, at = found
        shown["term"] = report.term
        shown["offset"] = report.offset
        shown["age_ms"] = round(report.age_ms)
        shown["report_ago_ms"] = _get_ago_ms(at, now)
    return shown


def _get_ago_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * MILLISECONDS))
