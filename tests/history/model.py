"""Events of a history.

Times are seconds on one clock that all events of a history share. The values of
a write are unique to it; a retry under the same idempotency key has the same
values.
"""

import enum
from typing import NamedTuple

from knapweedtally.core import errors


class Kind(enum.Enum):
    """Kind of a request to the table of its group."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Invoked(NamedTuple):
    """Event of a caller that sent a request.

    Attributes:
        at: time at which it was sent, in seconds.
        request: id of the request, unique in the history.
        caller: id of the caller's connection that sent it.
        session: session that it belongs to; a session may use several
            connections one after the other.
        group: name of the group that it is for.
        kind: kind of the request.
        key: idempotency key, or empty.
        values: values that it appends; empty for a read.
        scope: session whose rows a read selects; empty selects all.
        max_age_s: maximum age of the data that a read accepts, in seconds; None
            for any age.
        marker: unique text that its answer has to echo.
    """

    at: float
    request: int
    caller: str
    session: str
    group: str
    kind: Kind
    key: str = ""
    values: tuple[str, ...] = ()
    scope: str = ""
    max_age_s: float | None = None
    marker: str = ""


class Answered(NamedTuple):
    """Event of a caller that received an answer, or lost its connection.

    Attributes:
        at: time at which the answer arrived, in seconds.
        request: id of the request that the caller matches the answer to.
        caller: id of the caller's connection that received it.
        outcome: outcome of the request that the answer reports; ``UNKNOWN`` if
            the connection was lost.
        host: entry host that sent the answer, or empty.
        target: target that ran the request, or empty.
        term: term under which the target ran it.
        rows: values that a read returned.
        row_count: number of rows that the target reports to have returned.
        marker: the marker in the answer.
    """

    at: float
    request: int
    caller: str
    outcome: errors.Outcome
    host: str = ""
    target: str = ""
    term: int = 0
    rows: tuple[str, ...] = ()
    row_count: int = 0
    marker: str = ""


class TermOpened(NamedTuple):
    """Event of a primary that started to accept writes in a new term."""

    at: float
    group: str
    term: int
    primary: str


class Row(NamedTuple):
    """Row of a group's table at the end of a run.

    Attributes:
        commit: offset of the log entry that wrote it; 0 if unknown.
        term: term of that log entry.
        session: session that wrote it.
        value: value of the row.
    """

    commit: int
    term: int
    session: str
    value: str


Event = Invoked | Answered | TermOpened


class History(NamedTuple):
    """Events of a run in order of time, and final table of each group."""

    events: tuple[Event, ...]
    tables: dict[str, tuple[Row, ...]]


class Violation(NamedTuple):
    """Violation that a check found.

    Attributes:
        check: name of the check.
        request: id of the request at fault; 0 if there is none.
        detail: description of the violation.
    """

    check: str
    request: int
    detail: str
