"""Events of caller requests and sessions."""

from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core.admission import state as admission_state


class RequestArrived(NamedTuple):
    """Report that a request arrived from a caller.

    Attributes:
        request: id, unique on this host.
        session: id of the caller's connection, unique on this host.
        caller: name under which requests are queued for fair scheduling.
        group: database name that the caller connected to.
        kind: kind of the request.
        max_age_ms: age of data that the session accepts, or None for the
            bundle's rules.
        tables: names of the tables that a read refers to.
        position: position of the session in this group, or None when the
            session has no valid token.
        key: idempotency key, or empty.
    """

    request: int
    session: int
    caller: str
    group: str
    kind: admission_state.RequestKind
    max_age_ms: int | None
    tables: frozenset[str]
    position: model.Position | None
    key: str


class RequestCancelled(NamedTuple):
    """Report that a caller asked to cancel its session's request."""

    session: int


class SessionEnded(NamedTuple):
    """Report that a caller's connection ended."""

    session: int


class RetryDue(NamedTuple):
    """Key of the timer that resumes a waiting request.

    Attributes:
        request: id of the request.
    """

    request: int
