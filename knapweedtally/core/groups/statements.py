"""Statements and answers, independent of the wire protocol."""

import enum
from typing import NamedTuple


class Kind(enum.Enum):
    """Kinds of statements, which are handled differently."""

    BEGIN = enum.auto()
    BEGIN_READ = enum.auto()
    COMMIT = enum.auto()
    ROLLBACK = enum.auto()
    READ = enum.auto()
    WRITE = enum.auto()
    SET = enum.auto()
    PREPARE = enum.auto()
    EXECUTE = enum.auto()
    DEALLOCATE = enum.auto()
    MALFORMED = enum.auto()


class Statement(NamedTuple):
    """A statement of a caller.

    Attributes:
        id: id that the caller assigned to the statement.
        kind: kind of the statement.
        text: the statement as the caller sent it.
        name: name of a session variable or of a prepared statement, or empty.
        arguments: text after the name: the value of a session variable, the
            definition of a prepared statement, or the arguments to execute it
            with.
    """

    id: bytes
    kind: Kind
    text: bytes
    name: bytes = b""
    arguments: bytes = b""


class Code(enum.Enum):
    """Codes of the errors that are reported to callers."""

    BUSY = enum.auto()
    ABORTED = enum.auto()
    BEHIND = enum.auto()
    READ_ONLY = enum.auto()
    WRONG_TARGET = enum.auto()
    TOO_MANY_CONNECTIONS = enum.auto()
    UNKNOWN_OUTCOME = enum.auto()
    TIMED_OUT = enum.auto()
    FAILED = enum.auto()
    UNKNOWN_STATEMENT = enum.auto()
    UNKNOWN_DATABASE = enum.auto()
    UNAUTHENTICATED = enum.auto()
    TOO_LARGE = enum.auto()
    MALFORMED = enum.auto()
    OTHER = enum.auto()


# Errors by which a target reports that it did not run the statement.
NOT_RUN_CODES = frozenset(
    {
        Code.BUSY,
        Code.UNKNOWN_STATEMENT,
        Code.BEHIND,
        Code.READ_ONLY,
        Code.WRONG_TARGET,
        Code.TOO_MANY_CONNECTIONS,
    }
)


class SessionState(enum.Enum):
    """The transaction state of a session."""

    IDLE = enum.auto()
    IN_TRANSACTION = enum.auto()
    FAILED = enum.auto()


class Answer(NamedTuple):
    """A target's complete answer to one statement.

    Attributes:
        rows: the row messages as received, to be forwarded unchanged.
        signature: the target's signature, or None after an error.
        code: error code, or None after success.
        detail: text of the error.
        state: transaction state of the connection after the statement.
        position: the target's log position, in wire form, or ``-``.
    """

    rows: bytes
    signature: bytes | None
    code: Code | None
    detail: bytes
    state: SessionState
    position: bytes
