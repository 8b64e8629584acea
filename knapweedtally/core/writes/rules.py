"""The rules that keep a write from being lost, doubled or misreported."""

from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.writes import events as writes_events

READ_ONLY = "25006"
CANNOT_CONNECT_NOW = "57P03"
ADMIN_SHUTDOWN = "57P01"
TOO_MANY_CONNECTIONS = "53300"

# SQLSTATEs by which a target proves that a statement did not run.
_NOT_RUN_SQLSTATES = frozenset(
    {READ_ONLY, CANNOT_CONNECT_NOW, ADMIN_SHUTDOWN, TOO_MANY_CONNECTIONS}
)


def proves_not_run(sqlstate: str) -> bool:
    """Return whether an error answer proves that nothing ran."""
    return sqlstate in _NOT_RUN_SQLSTATES


def is_current_attempt(request: admission_state.Request, attempt: int) -> bool:
    """Return whether an answer belongs to the attempt that runs now."""
    if request.phase is not admission_state.RequestPhase.RUNNING:
        return False
    return request.attempt == attempt


def may_run_again(request: admission_state.Request, was_sent: bool) -> bool:
    """Return whether another attempt can't run the request twice.

    A write that was sent may run again only with an idempotency key: the
    key's record, made in the same transaction, stops the second one.
    """
    if not was_sent or request.traits.is_safe_to_retry:
        return True
    return request.key != ""


def is_acknowledgeable(event: writes_events.AttemptAnswered) -> bool:
    """Return whether a majority confirmed the primary's answer in its term."""
    if event.report is None or event.confirmed is None:
        return False
    return event.confirmed.term == event.report.term
