"""What a caller sends for one answer, and what kind of request it is."""

from typing import NamedTuple

from pygwire import messages

from knapweedtally.callers import execution
from knapweedtally.callers import sql
from knapweedtally.core.admission import state as admission_state

Kind = sql.StatementKind
RequestKind = admission_state.RequestKind

# Kinds of request that an idempotency key covers.
KEYED_KINDS = (RequestKind.WRITE, RequestKind.BEGIN)

_OUTSIDE_KINDS = {
    Kind.READ: RequestKind.READ,
    Kind.WRITE: RequestKind.WRITE,
    Kind.BEGIN: RequestKind.BEGIN,
    Kind.BEGIN_READ_ONLY: RequestKind.BEGIN_READ_ONLY,
}
_ENDING_KINDS = {
    Kind.COMMIT: RequestKind.COMMIT,
    Kind.ROLLBACK: RequestKind.ROLLBACK,
}
_INSIDE_KINDS = {
    **dict.fromkeys(_OUTSIDE_KINDS, RequestKind.STATEMENT),
    **_ENDING_KINDS,
}


class Unit(NamedTuple):
    """Hold what is answered with one ReadyForQuery.

    Attributes:
        batch: the messages for a target.
        statements: the statements that it executes.
        is_extended: whether it came by the extended protocol.
        parts: the caller's messages, for the extended protocol.
    """

    batch: execution.FilteringBatch
    statements: list[sql.Statement]
    is_extended: bool
    parts: list[messages.FrontendMessage]


def find_request_kind(
    statement: sql.Statement, is_open: bool
) -> RequestKind | None:
    """Return the kind of request that runs a statement.

    Args:
        statement: the statement.
        is_open: whether a transaction is open.

    Returns:
        None when the proxy doesn't offer the statement.
    """
    kinds = _INSIDE_KINDS if is_open else {**_OUTSIDE_KINDS, **_ENDING_KINDS}
    return kinds.get(statement.kind)


def ends_transaction(statement: sql.Statement) -> bool:
    """Return whether a statement is COMMIT or ROLLBACK."""
    return statement.kind in _ENDING_KINDS


def combine(statements: list[sql.Statement]) -> sql.Statement:
    """Return one statement that stands for all of a batch."""
    if len(statements) == 1:
        return statements[0]
    kinds = {statement.kind for statement in statements}
    if not statements:
        return sql.Statement(Kind.READ)
    tables = frozenset().union(*(s.tables for s in statements))
    if kinds == {Kind.READ}:
        return sql.Statement(Kind.READ, tables)
    if kinds <= {Kind.READ, Kind.WRITE}:
        return sql.Statement(Kind.WRITE)
    return sql.Statement(Kind.MULTIPLE)
