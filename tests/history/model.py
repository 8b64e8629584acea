"""The events of a history.

Times are seconds on one clock that all events of a history share. Each write
carries values that no other write carries; a repeat under the same idempotency
key carries the same values again.
"""

import enum
from typing import NamedTuple

from knapweedtally.core import errors


class Kind(enum.Enum):
    """Tell what a request does to the table of its group."""

    READ = "read"
    WRITE = "write"
    TRANSACTION = "transaction"


class Invoked(NamedTuple):
    """Record that a caller sent a request.

    Attributes:
        at: when it was sent.
        request: id of the request, unique in the history.
        caller: connection that sent it.
        session: session that it belongs to; sessions change callers.
        group: group that it is for.
        kind: what it does.
        key: idempotency key, or empty.
        values: values that it appends; empty for a read.
        scope: session whose rows a read selects; empty selects all.
        max_age_s: age of data that a read accepts; None for any age.
        marker: unique text that its answer has to bring back.
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
    """Record that a caller got an answer, or lost its connection.

    Attributes:
        at: when it arrived.
        request: id of the request that the caller takes it for.
        caller: connection that got it.
        outcome: what the answer says became of the request; ``UNKNOWN`` when
            the connection was lost.
        host: entry host that gave it.
        target: target that ran the request, or empty.
        term: term under which the target ran it.
        rows: values that a read returned.
        row_count: number of rows that the target says it returned.
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
    """Record that the primary of a new term opened for writes."""

    at: float
    group: str
    term: int
    primary: str


class Row(NamedTuple):
    """Hold one row of a group's table as read at the end.

    Attributes:
        commit: offset of the log entry that brought it; 0 when not known.
        term: term of that log entry.
        session: session that wrote it.
        value: its value.
    """

    commit: int
    term: int
    session: str
    value: str


Event = Invoked | Answered | TermOpened


class History(NamedTuple):
    """Hold the events of a run by time, and each group's final table."""

    events: tuple[Event, ...]
    tables: dict[str, tuple[Row, ...]]


class Violation(NamedTuple):
    """Name a check that failed, the request at fault and what was seen."""

    check: str
    request: int
    detail: str
