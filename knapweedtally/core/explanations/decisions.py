"""Record decisions and look them up."""

from typing import Any

from knapweedtally.core import model
from knapweedtally.core import state as state_module
from knapweedtally.core.explanations import state as explanations_state


def record_decision(
    state: state_module.ProxyState,
    moment: model.Moment,
    part: str,
    subject: str,
    choice: str,
    reason: str,
    remedy: str = "",
    **evidence: Any,
) -> str:
    """Record a decision and evict the oldest one if the ring is full.

    Args:
        state: state of the proxy.
        moment: moment of the decision.
        part: part of the core that decided.
        subject: what the decision is about.
        choice: what was decided.
        reason: one sentence that explains the choice.
        remedy: action that an operator can take, or empty.
        **evidence: values that support the reason.

    Returns:
        The id of the record.
    """
    explanations = state.explanations
    explanations.count += 1
    identity = state.identity
    decision_id = f"{identity.host}-{identity.incarnation}-{explanations.count}"
    explanations.ring[decision_id] = explanations_state.Decision(
        decision_id,
        moment.at,
        part,
        subject,
        choice,
        reason,
        evidence,
        remedy,
    )
    if len(explanations.ring) > explanations_state.RING_SIZE:
        explanations.ring.popitem(last=False)
    return decision_id


def find_decision(
    state: state_module.ProxyState, decision_id: str
) -> explanations_state.Decision | None:
    """Return the decision with an id, or None if it was evicted."""
    return state.explanations.ring.get(decision_id)
