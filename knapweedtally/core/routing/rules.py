"""The rules that keep reads from being stale."""

from knapweedtally.core import model
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import state as admission_state

# Below this stated age, a read at the primary asks for a confirmation.
MIN_UNCONFIRMED_AGE_MS = 200


def reaches_position(
    report: model.TargetReport, position: model.Position | None
) -> bool:
    """Return whether a target's data covers a session's position.

    An acknowledged offset is part of every later term's log, so an offset of
    a lower term is covered by any term that reaches it. A target of a lower
    term than the position's may hold entries that were dropped.
    """
    if position is None:
        return False
    return report.term >= position.term and report.offset >= position.offset


def is_young_enough(report: model.TargetReport, max_age_ms: int) -> bool:
    """Return whether a target's data is within the accepted age."""
    return max_age_ms > 0 and report.age_ms <= max_age_ms


def needs_barrier(request: admission_state.Request) -> bool:
    """Return whether a majority has to confirm the primary's answer.

    Writes need it to be acknowledged. Reads need it when current data is
    demanded or when the session's position isn't known: only the
    confirmation shows that the primary wasn't replaced. Reads of a small age
    need it because a primary's own confirmations are further apart.
    """
    if request.traits.may_write or request.kind in _BEGINNINGS:
        return True
    return request.max_age_ms < MIN_UNCONFIRMED_AGE_MS or (
        request.position is None
    )


def is_answer_fresh(
    request: admission_state.Request,
    report: model.TargetReport | None,
    confirmed: model.Position | None,
) -> bool:
    """Return whether an answer may be given to the caller.

    Args:
        request: the request.
        report: what the target said of itself when the statement ran.
        confirmed: position confirmed by a majority afterwards, or None.
    """
    if report is None:
        return False
    if confirmed is not None:
        return confirmed.term == report.term
    if request.traits.needs_primary:
        return False
    return reaches_position(report, request.position) and is_young_enough(
        report, request.max_age_ms
    )


_BEGINNINGS = (admission_state.RequestKind.BEGIN,)


def compute_max_age(
    group: model.Group, event: admission_events.RequestArrived
) -> int:
    """Return the age of data that a request accepts, in milliseconds.

    The first rule that names all of the read's tables decides, else the
    group's own figure; the session can only tighten it.
    """
    stated = group.max_age_ms
    for rule in group.read_rules:
        if event.tables and event.tables <= rule.tables:
            stated = rule.max_age_ms
            break
    if event.max_age_ms is None:
        return stated
    return min(stated, event.max_age_ms)
