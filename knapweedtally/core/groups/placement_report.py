"""Report of where a request would go, for operators.

Nothing is decided here: the choice is that of ``placement``, and the reasons
against the other targets are found with the same functions.
"""

import math
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement

# Ages above this, such as that of evidence that never existed, are reported as
# this, in seconds.
MAX_AGE_S = 9999.0


class Knowledge(NamedTuple):
    """What a host knows besides the load of a target.

    Attributes:
        paths: relay hosts of the idle connections that may be used; an empty
            name stands for a direct connection.
        answered_s: when the target last answered.
        pace: limit of statements by pace and how many are in flight, or
            nothing if the target isn't paced.
    """

    paths: tuple[str, ...] = ()
    answered_s: float = float("-inf")
    pace: dict[str, Any] | None = None


def describe_placement(
    need: placement.Requirements,
    loads: Iterable[placement.TargetLoad],
    knowledge: dict[str, Knowledge],
    leadership: evidence.Leadership,
    data_centre: str,
    now_s: float,
) -> dict[str, Any]:
    """Return where a request would go now, and why not elsewhere.

    Args:
        need: what the request requires of a target.
        loads: what is known of the group's targets.
        knowledge: what is known besides, by target.
        leadership: evidence about the group's primary.
        data_centre: data centre of this host.
        now_s: the current time, by the clock of the evidence.

    Returns:
        Values that JSON can represent; ages and times in seconds.
    """
    loads = list(loads)
    choice = placement.choose_target(
        need, loads, leadership, data_centre, now_s
    )
    position = placement.find_required_position(need, leadership)
    targets = []
    for load in loads:
        known = knowledge.get(load.target, Knowledge())
        targets.append(
            {
                **_describe_load(load, known, leadership, now_s),
                "ruled_out": list_reasons(need, load, leadership, now_s),
            }
        )
    chosen = knowledge.get(choice.target or "", Knowledge())
    return {
        "target": choice.target,
        "path": _describe_path(chosen) if choice.target else None,
        "reason": choice.reason.value,
        "required_position": _format_position(position),
        "primary": leadership.target,
        "term": leadership.term,
        "primary_age_s": _get_age_s(leadership.primary_seen_s, now_s),
        "member_age_s": _get_age_s(leadership.member_seen_s, now_s),
        "evidence_valid_for_s": round(
            max(-MAX_AGE_S, leadership.valid_until_s - now_s), 3
        ),
        "targets": targets,
    }


def list_reasons(
    need: placement.Requirements,
    load: placement.TargetLoad,
    leadership: evidence.Leadership,
    now_s: float,
) -> list[str]:
    """Return why a target can't serve a request now; empty if it can."""
    reasons = []
    is_primary = load.target == leadership.target
    position = placement.find_required_position(need, leadership)
    if is_primary:
        if not placement.may_use_primary(need, leadership, now_s):
            reasons.append("the evidence that it is the primary is too old")
    elif need.is_primary_only or (
        need.consistency is model.Consistency.PRIMARY
    ):
        reasons.append("it isn't the known primary")
    elif position is None:
        reasons.append("no position of the primary is recent enough")
    else:
        known_s = evidence.find_time_reached(leadership, position)
        if not placement.has_position(load, position, known_s, now_s):
            reasons.append("it is expected to lack the required position")
    if not load.accepts_new_work:
        reasons.append("it gets no new work")
    if not load.is_responsive:
        reasons.append("it doesn't answer")
    if not is_primary and load.backoff_until_s > now_s:
        reasons.append("it failed recently")
    if load.idle <= 0:
        reasons.append("no idle connection, or no room at its pace")
    return reasons


def _describe_load(
    load: placement.TargetLoad,
    known: Knowledge,
    leadership: evidence.Leadership,
    now_s: float,
) -> dict[str, Any]:
    return {
        "target": load.target,
        "data_centre": load.data_centre,
        "is_primary": load.target == leadership.target,
        "answered_age_s": _get_age_s(known.answered_s, now_s),
        "idle": load.idle,
        "running": load.running,
        "run_time_s": round(load.run_time_s, 4),
        "position": _format_position(load.position),
        "lag_s": round(load.lag_s, 3),
        "lag_age_s": _get_age_s(load.lag_sampled_s, now_s),
        "failures": load.failures,
        "pace": known.pace,
    }


def _describe_path(known: Knowledge) -> str:
    """Return the path of the connections that may be used."""
    names = sorted({path or "direct" for path in known.paths})
    return ", ".join(
        name if name == "direct" else f"through {name}" for name in names
    )


def _format_position(position: model.Position | None) -> str | None:
    if position is None:
        return None
    return f"{position.term}.{position.number}"


def _get_age_s(since_s: float, now_s: float) -> float:
    age_s = now_s - since_s
    return (
        round(min(MAX_AGE_S, age_s), 3) if math.isfinite(age_s) else MAX_AGE_S
    )
