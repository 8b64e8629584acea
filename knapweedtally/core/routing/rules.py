"""Rules that keep reads within their freshness limits."""

from knapweedtally.core import model
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.admission import state as admission_state

# A read of a smaller accepted age needs a confirmation by a majority when it
# runs at the primary.
MIN_UNCONFIRMED_AGE_MS = 200


def reaches_position(
    report: model.TargetReport, position: model.Position | None
) -> bool:
    """Return whether a target's data covers a session's position.

    An acknowledged offset is part of the log of every later term, so a target
    of a later term covers it once its offset is as high. A target of a lower
    term than the position's may have entries that later terms discarded.
    """
    if position is None:
        return False
    return report.term >= position.term and report.offset >= position.offset


def is_within_max_age(report: model.TargetReport, max_age_ms: int) -> bool:
    """Return whether a target's data is within the accepted age."""
    return max_age_ms > 0 and report.age_ms <= max_age_ms


def needs_barrier(request: admission_state.Request) -> bool:
    """Return whether a majority has to confirm the primary's answer.

    A write needs the confirmation before it is acknowledged. A read needs it
    when it requires current data or the session's position is unknown,
    because only the confirmation shows that the primary was not replaced. A
    read of a small accepted age needs it because the interval between the
    primary's own confirmations is longer than that age.
    """
    if request.traits.may_write or request.kind in _BEGIN_KINDS:
        return True
    return request.max_age_ms < MIN_UNCONFIRMED_AGE_MS or (
        request.position is None
    )


def is_answer_fresh(
    request: admission_state.Request,
    report: model.TargetReport | None,
    confirmed: model.Position | None,
) -> bool:
    """Return whether an answer is fresh enough for the caller.

    Args:
        request: request that was answered.
        report: target's report from when the statement ran, or None.
        confirmed: position that a majority confirmed afterwards, or None.
    """
    if report is None:
        return False
    if confirmed is not None:
        return confirmed.term == report.term
    if request.traits.needs_primary:
        return False
    return reaches_position(report, request.position) and is_within_max_age(
        report, request.max_age_ms
    )


_BEGIN_KINDS = (admission_state.RequestKind.BEGIN,)


def compute_max_age_ms(
    group: model.Group, event: admission_events.RequestArrived
) -> int:
    """Return the age of data that a request accepts, in milliseconds.

    The first read rule that contains all tables of the read applies,
    otherwise the group's default. A session can only lower the value.
    """
    max_age_ms = group.max_age_ms
    for rule in group.read_rules:
        if event.tables and event.tables <= rule.tables:
            max_age_ms = rule.max_age_ms
            break
    if event.max_age_ms is None:
        return max_age_ms
    return min(max_age_ms, event.max_age_ms)
