"""Evaluate the observers' verdicts and begin promotions by rank."""

from typing import NamedTuple

from knapweedtally.core import effects
from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.failover import detection
from knapweedtally.core.failover import events as failover_events
from knapweedtally.core.failover import limits
from knapweedtally.core.failover import observers
from knapweedtally.core.failover import promotion
from knapweedtally.core.failover import rules
from knapweedtally.core.failover import state as failover_state

Effects = list[effects.Effect]

# Steps of a planned change that a failure of the primary interrupts.
_PREEMPTIBLE_STEPS = frozenset(
    {
        failover_state.Step.PREVOTING,
        failover_state.Step.HOLDING,
        failover_state.Step.CATCHING_UP,
    }
)


class Evidence(NamedTuple):
    """Verdicts of the observers of a primary.

    Attributes:
        observers: hosts that observe the primary.
        reasons: why it counts as failed, by the observer that reports so.
        was_opened: whether one of the reporting observers saw it open in its
            term.
    """

    observers: tuple[str, ...]
    reasons: dict[str, str]
    was_opened: bool


def collect_evidence(
    state: state_module.ProxyState,
    moment: model.Moment,
    record: model.GroupRecord,
) -> Evidence:
    """Return the fresh verdicts against the primary of a record."""
    found = observers.list_observers(state, record.primary)
    known = state.failover.observations.get(record.primary, {})
    reasons = {}
    was_opened = False
    for observer in found:
        observation = known.get(observer)
        if observation and is_evidence_against(observation, moment, record):
            reasons[observer] = observation.reason
            was_opened |= observation.opened_term == record.term
    return Evidence(found, reasons, was_opened)


def is_evidence_against(
    observation: failover_state.Observation,
    moment: model.Moment,
    record: model.GroupRecord,
) -> bool:
    """Return whether a verdict is evidence that a record's primary failed."""
    if not observation.reason:
        return False
    if moment.at - observation.seen_at > limits.OBSERVATION_FRESH_S:
        return False
    # A status that the primary reports itself is valid for one term only.
    is_self_reported = observation.reason in (
        detection.UNCONFIRMED,
        detection.NOT_OPEN,
    )
    return not is_self_reported or observation.term == record.term


def find_agreed_failure(
    state: state_module.ProxyState, moment: model.Moment, group: str
) -> Evidence | None:
    """Return the evidence if the primary has to be replaced now, or None."""
    record = state.directory.records.get(group)
    if record is None or record.phase is not model.Phase.OPEN:
        return None
    evidence = collect_evidence(state, moment, record)
    if not rules.is_failure_agreed(evidence.observers, evidence.reasons):
        return None
    failover = state.failover
    if moment.at < failover.blocked_until.get(group, 0.0):
        return None
    cooldown_ends_at = failover.cooldown_ends_at.get(group, 0.0)
    is_replaceable = rules.is_replaceable(
        cooldown_ends_at,
        moment.at,
        evidence.reasons.values(),
        evidence.was_opened,
    )
    return evidence if is_replaceable else None


def evaluate_evidence(
    state: state_module.ProxyState, moment: model.Moment, group: str
) -> Effects:
    """Begin a promotion if the evidence requires one.

    The host of rank 0 begins at once, the others after a delay by rank.
    """
    record = state.directory.records.get(group)
    if record is None or has_uninterruptible_promotion(state, group):
        return []
    if state.failover.pending_terms.get(group) == record.term:
        return []
    if find_agreed_failure(state, moment, group) is None:
        return []
    rank = observers.get_rank(state, group, record.term + 1)
    if rank is None:
        return []
    if rank == 0:
        return start_replacement(state, moment, group, record.term)
    state.failover.pending_terms[group] = record.term
    delay_s = (rank + moment.random_value) * limits.RANK_DELAY_S
    key = failover_events.StartDue(group, record.term)
    return [effects.SetTimer(key, delay_s)]


def has_uninterruptible_promotion(
    state: state_module.ProxyState, group: str
) -> bool:
    """Return whether a promotion runs that a failure must not interrupt."""
    running = state.failover.promotions.get(group)
    if running is None:
        return False
    if running.step is failover_state.Step.OPENING:
        return False
    is_planned = running.purpose is failover_state.Purpose.PLANNED_CHANGE
    return not (is_planned and running.step in _PREEMPTIBLE_STEPS)


def start_replacement(
    state: state_module.ProxyState,
    moment: model.Moment,
    group: str,
    term: int,
) -> Effects:
    """Begin a promotion if the evidence is still valid.

    Args:
        state: state of the proxy.
        moment: moment of the decision.
        group: name of the group.
        term: term of the failed primary.
    """
    state.failover.pending_terms.pop(group, None)
    record = state.directory.records.get(group)
    if (
        record is None
        or record.term != term
        or has_uninterruptible_promotion(state, group)
    ):
        return []
    evidence = find_agreed_failure(state, moment, group)
    if evidence is None:
        return []
    return promotion.begin_replacement(
        state, moment, group, record, evidence.reasons
    )
