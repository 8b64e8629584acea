"""Rules that prevent lost, duplicated and misreported writes."""

from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.writes import events as writes_events

READ_ONLY = "25006"
CANNOT_CONNECT_NOW = "57P03"
ADMIN_SHUTDOWN = "57P01"
TOO_MANY_CONNECTIONS = "53300"

# SQLSTATEs that prove that a statement did not run.
_NOT_RUN_SQLSTATES = frozenset(
    {READ_ONLY, CANNOT_CONNECT_NOW, ADMIN_SHUTDOWN, TOO_MANY_CONNECTIONS}
)


def proves_not_run(sqlstate: str) -> bool:
    """Return whether a SQLSTATE proves that the statement didn't run."""
    return sqlstate in _NOT_RUN_SQLSTATES


def is_current_attempt(request: admission_state.Request, attempt: int) -> bool:
    """Return whether an attempt number is that of the running attempt."""
    if request.phase is not admission_state.RequestPhase.RUNNING:
        return False
    return request.attempt == attempt


def may_run_again(request: admission_state.Request, was_sent: bool) -> bool:
    """Return whether a retry can't execute the request twice.

    A write that was sent may be retried only with an idempotency key: the key
    is recorded in the same transaction, which prevents a second execution.
    """
    if not was_sent or request.traits.is_safe_to_retry:
        return True
    return request.key != ""


def is_acknowledgeable(event: writes_events.AttemptAnswered) -> bool:
    """Return whether a majority confirmed an answer in the primary's term."""
    if event.report is None or event.confirmed is None:
        return False
    return event.confirmed.term == event.report.term
