"""Statements of callers, apart from how they are written on the wire."""

import enum
from typing import NamedTuple


class Kind(enum.Enum):
    """Tell statements apart by what is done with them."""

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
    """Hold one statement.

    Attributes:
        id: id that the caller gave it.
        kind: what it is.
        text: the statement as the caller wrote it.
        name: name of a session value or of a prepared statement, or empty.
        rest: what follows the name: a value, a prepared statement's
            definition, or the arguments of an execution.
    """

    id: bytes
    kind: Kind
    text: bytes
    name: bytes = b""
    rest: bytes = b""


class Code(enum.Enum):
    """Name the errors that callers are told."""

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
    TOO_LARGE = enum.auto()
    MALFORMED = enum.auto()
    OTHER = enum.auto()


# Errors with which a target says that it did not run the statement.
NOT_RUN = frozenset(
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
    """Say where a session stands."""

    IDLE = enum.auto()
    IN_TRANSACTION = enum.auto()
    FAILED = enum.auto()


class Answer(NamedTuple):
    """Hold a target's whole answer to one statement.

    Attributes:
        rows: the rows' messages as they came, ready to be passed on.
        signature: the target's signature, or None after an error.
        code: the error, or None after success.
        detail: text of the error.
        state: state of the connection afterwards.
        position: the target's log position, in wire form, or ``-``.
    """

    rows: bytes
    signature: bytes | None
    code: Code | None
    detail: bytes
    state: SessionState
    position: bytes
