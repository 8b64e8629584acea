"""The state of a proxy, with one attribute per part."""

import dataclasses

from knapweedtally.core import model
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.bundles import state as bundles_state
from knapweedtally.core.draining import state as draining_state
from knapweedtally.core.explanations import state as explanations_state
from knapweedtally.core.failover import state as failover_state
from knapweedtally.core.membership import state as membership_state
from knapweedtally.core.routing import state as routing_state


@dataclasses.dataclass(slots=True)
class Identity:
    """Identity of this proxy.

    Attributes:
        host: name of the entry host, unique in the system.
        data_centre: name of its data centre.
        incarnation: number that increases with each start of the host.
    """

    host: str
    data_centre: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Directory:
    """Data that all parts read: the bundle, group records and reports.

    Attributes:
        bundle: bundle in force, or None before the first one.
        records: latest record of each group, by name of the group.
        reports: latest report of each target and the time of its arrival, by
            id of the target.
        group_names: name of each target's group, by id of the target.
    """

    bundle: model.Bundle | None = None
    records: dict[str, model.GroupRecord] = dataclasses.field(
        default_factory=dict
    )
    reports: dict[str, tuple[model.TargetReport, float]] = dataclasses.field(
        default_factory=dict
    )

    group_names: dict[str, str] = dataclasses.field(default_factory=dict)

    def set_bundle(self, bundle: model.Bundle) -> None:
        """Replace the bundle in force."""
        self.bundle = bundle
        self.group_names = {
            target.id: group.name
            for group in bundle.groups.values()
            for target in group.targets
        }

    def get_group_of_target(self, target: str) -> model.Group | None:
        """Return a target's group from the bundle in force, or None."""
        return self.get_group(self.group_names.get(target, ""))

    def get_group(self, name: str) -> model.Group | None:
        """Return a group from the bundle in force by its name, or None."""
        if self.bundle is None:
            return None
        return self.bundle.groups.get(name)


@dataclasses.dataclass(slots=True)
class ProxyState:
    """Complete state of the reducer.

    Attributes:
        identity: identity of this proxy.
        directory: bundle, group records and target reports.
        admission: requests, leases and queues.
        routing: estimates used for the choice of a target.
        explanations: ring buffer of decision records.
        membership: hosts, links and registers.
        draining: planned stop of this host, and targets that are leaving.
        failover: observations and promotions.
        bundles: serializable form of the bundle in force, and the operators'
            keys.
    """

    identity: Identity
    directory: Directory = dataclasses.field(default_factory=Directory)
    admission: admission_state.AdmissionState = dataclasses.field(
        default_factory=admission_state.AdmissionState
    )
    routing: routing_state.RoutingState = dataclasses.field(
        default_factory=routing_state.RoutingState
    )
    explanations: explanations_state.ExplanationsState = dataclasses.field(
        default_factory=explanations_state.ExplanationsState
    )
    membership: membership_state.MembershipState = dataclasses.field(
        default_factory=membership_state.MembershipState
    )
    draining: draining_state.DrainingState = dataclasses.field(
        default_factory=draining_state.DrainingState
    )
    failover: failover_state.FailoverState = dataclasses.field(
        default_factory=failover_state.FailoverState
    )
    bundles: bundles_state.BundlesState = dataclasses.field(
        default_factory=bundles_state.BundlesState
    )
