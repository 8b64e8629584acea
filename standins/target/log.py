"""Replicated log of a database group and its replication messages.

Offsets count entries from 1; offset 0 with term 0 is the empty log. A pair of
term and offset identifies an entry and all entries before it.
"""

from typing import NamedTuple

Value = int | float | str | bytes | bool | None


class Statement(NamedTuple):
    """Hold one statement of a committed transaction.

    Attributes:
        sql: text with ``$1``, ``$2`` as placeholders.
        parameters: values of the placeholders, in order.
    """

    sql: str
    parameters: tuple[Value, ...] = ()


class Entry(NamedTuple):
    """Hold one committed transaction; a new term begins with an empty one."""

    term: int
    offset: int
    statements: tuple[Statement, ...]


class PullRequest(NamedTuple):
    """Ask a primary for the entries that follow the replica's last one.

    Attributes:
        replica: id of the replica.
        term: term that the replica has installed.
        last_term: term of its last entry; 0 when its log is empty.
        received: offset of its last entry.
        applied: offset up to which its reads see the data.
        nonce: newest nonce that the primary sent it in this term, or 0.
    """

    replica: str
    term: int
    last_term: int
    received: int
    applied: int
    nonce: int


class PullAnswer(NamedTuple):
    """Carry entries from a primary to a replica.

    Attributes:
        is_accepted: False when the answering instance is not the primary of
            the replica's term; the other values are then void, but for
            ``term``.
        term: term that the answering instance has installed.
        primary: id of the answering instance.
        nonce: to be sent back with the next pull.
        start: offset after which ``entries`` begin.
        start_term: term of the entry at ``start``; 0 when ``start`` is 0.
        entries: all of the primary's entries after ``start``.
        is_copy: whether ``entries`` is the primary's whole log, because the
            replica's last entry is not in it.
        age_ms: the primary's own age when it answered.
    """

    is_accepted: bool
    term: int
    primary: str
    nonce: int = 0
    start: int = 0
    start_term: int = 0
    entries: tuple[Entry, ...] = ()
    is_copy: bool = False
    age_ms: float = 0.0
