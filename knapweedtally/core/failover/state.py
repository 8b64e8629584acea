"""State of the failover part of one proxy."""

import dataclasses
import enum
from collections.abc import Mapping

from knapweedtally.core import events
from knapweedtally.core import model


class Step(enum.Enum):
    """Steps of a promotion, in order.

    A planned change passes through all of them; a promotion of a failed
    primary skips ``HOLDING`` and ``CATCHING_UP``; the completion of another
    proxy's promotion begins at ``FENCING`` or ``OPENING``.
    """

    PREVOTING = "prevoting"
    HOLDING = "holding"
    CATCHING_UP = "catching up"
    RESERVING = "reserving"
    FENCING = "fencing"
    CHOOSING = "choosing"
    OPENING = "opening"


class Purpose(enum.Enum):
    """Reason for which a promotion runs."""

    REPLACE_FAILED = "replace a failed primary"
    PLANNED_CHANGE = "planned change"
    COMPLETION = "complete a promotion begun before"
    CREATION = "create the group's object"


@dataclasses.dataclass(slots=True)
class Watch:
    """State of a target that this host observes.

    Attributes:
        group: name of the target's group.
        sent_at: when the last probe was sent, in seconds.
        failures: consecutive failed probes.
        refusals: consecutive refused connections.
        reason: why the target counts as failed; empty while healthy.
        opened_term: newest term in which the target was seen as primary.
        published_at: when the verdict was last published.
    """

    group: str
    sent_at: float
    failures: int = 0
    refusals: int = 0
    reason: str = ""
    opened_term: int = 0
    published_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Observation:
    """Verdict of one observer on one target.

    Attributes:
        reason: why the target counts as failed; empty while healthy.
        term: newest term that the observer knew of the group.
        opened_term: newest term in which it saw the target as primary.
        seen_at: when the verdict arrived here, in seconds.
    """

    reason: str
    term: int
    opened_term: int
    seen_at: float


@dataclasses.dataclass(slots=True)
class Promotion:
    """State of one promotion that this host runs.

    Attributes:
        group: name of the group.
        term: term that gets a primary.
        operation: id of the operation that began, or begins, the term.
        step: current step.
        purpose: reason for which it runs.
        started_at: when it began here, in seconds.
        replaced: primary of the previous term, or empty if unknown.
        preferred: target that should become the primary, or empty.
        adopted_primary: target that is already the primary when the group's
            object is created, or empty.
        attempt: number of retries of the current step.
        is_uncertain: whether an update of the platform may have taken
            effect.
        is_platform_up: whether the platform answered since the start.
        is_bundle_current: whether the platform's bundle is in force as of the
            last attempt to reserve the term, or later.
        statuses: answers of the instances before the term is reserved.
        unresponsive: instances that gave no status before the term is reserved.
        fenced: last log entry of each instance that installed the term.
        final_position: last log entry of the old primary once it holds
            writes.
        entered_ms: time from the start to the entry into each step.
    """

    group: str
    term: int
    operation: str
    step: Step
    purpose: Purpose
    started_at: float
    replaced: str = ""
    preferred: str = ""
    adopted_primary: str = ""
    attempt: int = 0
    is_uncertain: bool = False
    is_platform_up: bool = False
    is_bundle_current: bool = False
    statuses: dict[str, events.ProbeAnswered] = dataclasses.field(
        default_factory=dict
    )
    unresponsive: set[str] = dataclasses.field(default_factory=set)
    fenced: dict[str, model.Position] = dataclasses.field(default_factory=dict)
    final_position: model.Position | None = None
    entered_ms: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Assignment:
    """Cached assignment of observers to targets.

    Attributes:
        bundle: bundle for which it was computed.
        hosts: data centre of each live host for which it was computed.
        hosts_by_centre: names of the live hosts of each data centre.
        groups: name of the group of each target.
        observer_counts: number of observers by data centre, for each target.
        observers: observers by target, computed on first use.
    """

    bundle: model.Bundle | None = None
    hosts: Mapping[str, str] = dataclasses.field(default_factory=dict)
    hosts_by_centre: dict[str, list[str]] = dataclasses.field(
        default_factory=dict
    )
    groups: dict[str, str] = dataclasses.field(default_factory=dict)
    observer_counts: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    observers: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class FailoverState:
    """State of the failover part.

    Attributes:
        assignment: cached observers.
        watches: targets that this host observes.
        probes_in_flight: time at which each probe in flight counts as lost, by
            target, in seconds.
        observations: verdicts by target, then by observer.
        published: observation registers published since the start.
        operations: operations begun since the start.
        promotions: promotions that this host runs, by group.
        pending_terms: failed terms whose start timer is set, by group.
        learned_at: when the newest term or phase of a group was learned.
        cooldown_ends_at: end of the cooldown after a promotion, by group.
        blocked_until: end of the backoff after an aborted or withdrawn
            promotion, by group.
        aborted_counts: promotions aborted since the last new term or phase,
            by group.
        replaced: primary of the previous record, by group.
        pending_switches: groups whose timer for a planned change is set.
        read_at: when a read of the object was last scheduled, by group.
        reconciled_at: when a follow command was last sent to reconcile a
            target, by target.
    """

    assignment: Assignment = dataclasses.field(default_factory=Assignment)
    watches: dict[str, Watch] = dataclasses.field(default_factory=dict)
    probes_in_flight: dict[str, float] = dataclasses.field(default_factory=dict)
    observations: dict[str, dict[str, Observation]] = dataclasses.field(
        default_factory=dict
    )
    published: int = 0
    operations: int = 0
    promotions: dict[str, Promotion] = dataclasses.field(default_factory=dict)
    pending_terms: dict[str, int] = dataclasses.field(default_factory=dict)
    learned_at: dict[str, float] = dataclasses.field(default_factory=dict)
    cooldown_ends_at: dict[str, float] = dataclasses.field(default_factory=dict)
    blocked_until: dict[str, float] = dataclasses.field(default_factory=dict)
    aborted_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    replaced: dict[str, str] = dataclasses.field(default_factory=dict)
    pending_switches: set[str] = dataclasses.field(default_factory=set)
    read_at: dict[str, float] = dataclasses.field(default_factory=dict)
    reconciled_at: dict[str, float] = dataclasses.field(default_factory=dict)
