"""The closed list of effects: what the core asks the runtime to do."""

from typing import Any
from typing import NamedTuple

from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core.membership import messages


class SetTimer(NamedTuple):
    """Ask for ``events.TimerFired`` with the same key after a delay."""

    key: tuple[object, ...]
    delay_s: float


class ReadObject(NamedTuple):
    """Read a platform object; answered by ``ObjectSeen`` or a failure."""

    operation: str
    kind: str
    name: str


class UpdateObject(NamedTuple):
    """Update a platform object if its version is still the expected one.

    Attributes:
        operation: id that the value carries too, so that a lost answer is
            resolved by reading the object back.
        kind: kind of the object.
        name: name of the object.
        expected_version: version read before; 0 creates.
        value: new value, JSON-serializable.
    """

    operation: str
    kind: str
    name: str
    expected_version: int
    value: dict[str, object]


class PublishRegister(NamedTuple):
    """Store a register and spread it to peers.

    The loop gives it back as the membership part's ``RegisterPublished``.
    """

    register: model.Register


class Raise(NamedTuple):
    """Handle one more event within the same ``decide``.

    The reducer does so itself: this effect never leaves it.
    """

    event: Any


class OpenLink(NamedTuple):
    """Try once to connect to the peer port of a host.

    Answered by ``LinkOpened`` or ``LinkFailed``.

    Attributes:
        host: name of the host, empty when only its address is known.
        address: its address.
        port: its peer port.
    """

    host: str
    address: str
    port: int


class CloseLink(NamedTuple):
    """Close the link to a host; ``LinkClosed`` follows."""

    host: str
    reason: str


class SendToPeer(NamedTuple):
    """Send a message over the open link to a host."""

    host: str
    message: messages.Message


class SetWatching(NamedTuple):
    """Start or stop watching the platform's objects and host list."""

    is_watching: bool


class StopAccepting(NamedTuple):
    """Accept no further caller connections."""


class CloseIdleCallers(NamedTuple):
    """End each caller connection as soon as it is idle.

    A connection is idle when it has no open transaction and no request in
    flight; it is told 57P01 before it closes. Once no caller connection is
    left, the edge reports ``CallersGone``.
    """


class StopProcess(NamedTuple):
    """End the process in the ordinary way."""


class ProbeTarget(NamedTuple):
    """Ask a target for its status."""

    target: str
    timeout_s: float


class ControlTarget(NamedTuple):
    """Send a control command to a target.

    Attributes:
        operation: id of the operation.
        target: id of the target.
        command: ``install_term``, ``promote``, ``follow`` or ``hold``.
        term: term that the command is for.
        primary: id of the primary, for ``follow``.
        timeout_s: time to wait for the answer.
    """

    operation: str
    target: str
    command: str
    term: int
    primary: str
    timeout_s: float


class RunStatement(NamedTuple):
    """Run a request, or one statement of its transaction, on a target.

    Attributes:
        request: id of the request.
        attempt: counts attempts of the request from 1.
        target: id of the target.
        lease: id of the connection lease; statements of one transaction
            share it.
        needs_barrier: whether a majority must confirm the term and the
            position after the statement.
        is_last: whether the connection returns to the pool afterwards.
        key: idempotency key to record with the effect, or empty.
    """

    request: int
    attempt: int
    target: str
    lease: int
    needs_barrier: bool
    is_last: bool
    key: str


class ReleaseLease(NamedTuple):
    """End a connection lease.

    Attributes:
        lease: id of the lease.
        is_reusable: False closes the connection, which rolls back whatever
            is open on it.
    """

    lease: int
    is_reusable: bool


class CancelStatement(NamedTuple):
    """Ask the target to cancel the statement that runs on a lease."""

    lease: int


class DeliverAnswer(NamedTuple):
    """Give the caller the target's whole answer to this attempt.

    Attributes:
        request: id of the request.
        attempt: the attempt whose answer is delivered.
        position: session position for the token, or None if unchanged.
        decision: id of the decision record.
    """

    request: int
    attempt: int
    position: model.Position | None
    decision: str


class DeliverError(NamedTuple):
    """Give the caller an error answer.

    Attributes:
        request: id of the request.
        kind: kind of the error; ``errors.ANSWERS`` holds its answer.
        retry_after_ms: when to come back; 0 when there is no use in it.
        decision: id of the decision record.
    """

    request: int
    kind: errors.ErrorKind
    retry_after_ms: int
    decision: str


class WriteLog(NamedTuple):
    """Write one log line.

    Attributes:
        part: prefix, the name of the part.
        level: ``info`` or ``warning``.
        message: short sentence.
        values: named values.
    """

    part: str
    level: str
    message: str
    values: dict[str, object]


Effect = (
    SetTimer
    | ReadObject
    | UpdateObject
    | PublishRegister
    | Raise
    | OpenLink
    | CloseLink
    | SendToPeer
    | SetWatching
    | StopAccepting
    | CloseIdleCallers
    | StopProcess
    | ProbeTarget
    | ControlTarget
    | RunStatement
    | ReleaseLease
    | CancelStatement
    | DeliverAnswer
    | DeliverError
    | WriteLog
)
