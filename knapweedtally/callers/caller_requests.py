"""Requests as callers send them, and the request kinds of the core."""

from typing import NamedTuple

from pygwire import messages

from knapweedtally.callers import execution
from knapweedtally.callers import sql
from knapweedtally.core.admission import state as admission_state

Kind = sql.StatementKind
RequestKind = admission_state.RequestKind

# Request kinds to which an idempotency key applies.
KEYED_KINDS = (RequestKind.WRITE, RequestKind.BEGIN)

_KINDS_OUTSIDE_TRANSACTION = {
    Kind.READ: RequestKind.READ,
    Kind.WRITE: RequestKind.WRITE,
    Kind.BEGIN: RequestKind.BEGIN,
    Kind.BEGIN_READ_ONLY: RequestKind.BEGIN_READ_ONLY,
}
_TRANSACTION_END_KINDS = {
    Kind.COMMIT: RequestKind.COMMIT,
    Kind.ROLLBACK: RequestKind.ROLLBACK,
}
_KINDS_IN_TRANSACTION = {
    **dict.fromkeys(_KINDS_OUTSIDE_TRANSACTION, RequestKind.STATEMENT),
    **_TRANSACTION_END_KINDS,
}


class CallerRequest(NamedTuple):
    """A caller's messages that are answered with one ReadyForQuery.

    Attributes:
        batch: the messages for a target.
        statements: the statements that the batch executes.
        is_extended: whether the caller used the extended query protocol.
        frontend_messages: the caller's messages up to the Sync; empty for a
            simple query.
    """

    batch: execution.FilteringBatch
    statements: list[sql.Statement]
    is_extended: bool
    frontend_messages: list[messages.FrontendMessage]


def find_request_kind(
    statement: sql.Statement, is_in_transaction: bool
) -> RequestKind | None:
    """Return the request kind of a statement.

    Args:
        statement: the statement.
        is_in_transaction: whether the session has an open transaction.

    Returns:
        The request kind, or None if the proxy doesn't support the statement.
    """
    kinds = (
        _KINDS_IN_TRANSACTION
        if is_in_transaction
        else {**_KINDS_OUTSIDE_TRANSACTION, **_TRANSACTION_END_KINDS}
    )
    return kinds.get(statement.kind)


def ends_transaction(statement: sql.Statement) -> bool:
    """Return whether a statement is COMMIT or ROLLBACK."""
    return statement.kind in _TRANSACTION_END_KINDS


def combine_statements(statements: list[sql.Statement]) -> sql.Statement:
    """Return one statement that represents a whole batch.

    The kinds of the batch's statements determine the kind of the result.
    """
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
