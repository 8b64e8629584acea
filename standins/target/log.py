"""Replicated log of a database group and its replication messages.

Offsets count entries from 1; offset 0 with term 0 stands for the empty log. A
pair of term and offset identifies an entry and all entries before it.
"""

from typing import NamedTuple

Value = int | float | str | bytes | bool | None


class Statement(NamedTuple):
    """One statement of a committed transaction.

    Attributes:
        sql: SQL text with ``$1``, ``$2`` as placeholders.
        parameters: values of the placeholders, in order.
    """

    sql: str
    parameters: tuple[Value, ...] = ()


class Entry(NamedTuple):
    """One committed transaction; a new term begins with an empty entry."""

    term: int
    offset: int
    statements: tuple[Statement, ...]


class PullRequest(NamedTuple):
    """Request for the entries that follow the replica's last entry.

    Attributes:
        replica: id of the replica.
        term: term that the replica has installed.
        last_term: term of the replica's last entry; 0 when its log is empty.
        received: offset of the replica's last entry.
        applied: offset up to which reads on the replica see the data.
        nonce: newest nonce received from the primary in this term, or 0.
    """

    replica: str
    term: int
    last_term: int
    received: int
    applied: int
    nonce: int


class PullAnswer(NamedTuple):
    """Answer of a primary to a pull.

    Attributes:
        is_accepted: False when the answering instance is not the primary of
            the replica's term; of the other values only ``term`` is then
            valid.
        term: term that the answering instance has installed.
        primary: id of the answering instance.
        nonce: nonce that the replica sends back with its next pull.
        start: offset after which ``entries`` begin.
        start_term: term of the entry at ``start``; 0 when ``start`` is 0.
        entries: all of the primary's entries after ``start``.
        is_full_log: whether ``entries`` is the primary's whole log, because
            the log does not contain the replica's last entry.
        age_ms: age of the primary's own data when it answered.
    """

    is_accepted: bool
    term: int
    primary: str
    nonce: int = 0
    start: int = 0
    start_term: int = 0
    entries: tuple[Entry, ...] = ()
    is_full_log: bool = False
    age_ms: float = 0.0
