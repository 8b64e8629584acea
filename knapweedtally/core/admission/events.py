"""Events of requests as callers make them."""

from typing import NamedTuple

from knapweedtally.core import model
from knapweedtally.core.admission import state as admission_state


class RequestArrived(NamedTuple):
    """Report a request from a caller.

    Attributes:
        request: id, unique on this host.
        session: id of the caller's connection, unique on this host.
        caller: name that fair shares are kept by.
        group: database name that the caller connected to.
        kind: kind of the request.
        max_age_ms: age of data that the session accepts, or None for the
            bundle's rules.
        tables: names of the tables that a read names.
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
    """Report that the caller of a session asked to cancel its request."""

    session: int


class SessionEnded(NamedTuple):
    """Report that a caller's connection ended."""

    session: int


class RetryDue(NamedTuple):
    """Be the key of the timer after which a waiting request goes on.

    Attributes:
        request: id of the request.
    """

    request: int
