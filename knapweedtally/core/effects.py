"""The effects: all actions that the core requests from the runtime."""

from typing import Any
from typing import NamedTuple

from knapweedtally.core import errors
from knapweedtally.core import model
from knapweedtally.core.membership import messages


class SetTimer(NamedTuple):
    """Submit ``events.TimerFired`` with the same key after a delay."""

    key: tuple[object, ...]
    delay_s: float


class ReadObject(NamedTuple):
    """Read a platform object.

    Answered by ``ObjectSeen`` or ``PlatformFailed``.
    """

    operation: str
    kind: str
    name: str


class FetchChanges(NamedTuple):
    """Fetch the platform objects of a kind that the watch hasn't seen yet.

    Answered by ``ObjectSeen`` for each of them, then ``ChangesFetched``; or by
    ``PlatformFailed`` without a name.
    """

    operation: str
    kind: str


class UpdateObject(NamedTuple):
    """Update a platform object if it has the expected version.

    Attributes:
        operation: id that is also part of the value, so that a lost answer
            is resolved by reading the object again.
        kind: kind of the object.
        name: name of the object.
        expected_version: version that was read before; 0 creates the object.
        value: new value, JSON-serializable.
    """

    operation: str
    kind: str
    name: str
    expected_version: int
    value: dict[str, object]


class PublishRegister(NamedTuple):
    """Store a register and propagate it to the peers.

    The loop submits it as the membership part's ``RegisterPublished``.
    """

    register: model.Register


class RaiseEvent(NamedTuple):
    """Handle a further event within the same call of ``decide``.

    The reducer handles this effect itself and never returns it.
    """

    event: Any


class OpenLink(NamedTuple):
    """Make one attempt to connect to the peer port of a host.

    Answered by ``LinkOpened`` or ``LinkFailed``.

    Attributes:
        host: name of the host; empty when only the address is known.
        address: address of the host.
        port: peer port of the host.
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
    """Stop accepting caller connections."""


class CloseIdleCallers(NamedTuple):
    """Close each caller connection as soon as it is idle.

    A connection is idle when it has no open transaction and no request in
    flight; the caller receives 57P01 before the connection is closed. Once no
    caller connection is left, the adapter reports ``CallersGone``.

    Attributes:
        spread_s: time over which the connections are asked to end, in turn.
    """

    spread_s: float = 0.0


class AbortTransactions(NamedTuple):
    """Close each caller connection at the end of its running request.

    An open transaction is rolled back; the caller receives 57P01.
    """


class StopProcess(NamedTuple):
    """Shut the process down normally."""


class ProbeTarget(NamedTuple):
    """Request the status of a target."""

    target: str
    timeout_s: float


class ControlTarget(NamedTuple):
    """Send a control command to a target.

    Attributes:
        operation: id of the operation.
        target: id of the target.
        command: ``install_term``, ``promote``, ``follow`` or ``hold``.
        term: term to which the command applies.
        primary: id of the primary, for ``follow``.
        timeout_s: time to wait for the answer, in seconds.
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
        attempt: number of the attempt, counted from 1.
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
    """Release a connection lease.

    Attributes:
        lease: id of the lease.
        is_reusable: whether the connection may return to the pool; False
            closes it, which rolls back an open transaction.
    """

    lease: int
    is_reusable: bool


class CancelStatement(NamedTuple):
    """Request that the target cancel the statement running on a lease."""

    lease: int


class DeliverAnswer(NamedTuple):
    """Deliver the target's complete answer to the caller.

    Attributes:
        request: id of the request.
        attempt: number of the attempt whose answer is delivered.
        position: session position for the token, or None if unchanged.
        decision: id of the decision record.
    """

    request: int
    attempt: int
    position: model.Position | None
    decision: str


class DeliverError(NamedTuple):
    """Deliver an error answer to the caller.

    Attributes:
        request: id of the request.
        kind: kind of the error; ``errors.ERROR_ANSWERS`` defines its answer.
        retry_after_ms: time after which the caller may retry; 0 if a retry
            is pointless.
        decision: id of the decision record.
    """

    request: int
    kind: errors.ErrorKind
    retry_after_ms: int
    decision: str


class WriteLog(NamedTuple):
    """Write one log line.

    Attributes:
        part: name of the part, written as a prefix.
        level: ``info`` or ``warning``.
        message: short sentence.
        values: fields of the log line, by name.
    """

    part: str
    level: str
    message: str
    values: dict[str, object]


Effect = (
    SetTimer
    | ReadObject
    | FetchChanges
    | UpdateObject
    | PublishRegister
    | RaiseEvent
    | OpenLink
    | CloseLink
    | SendToPeer
    | SetWatching
    | StopAccepting
    | CloseIdleCallers
    | AbortTransactions
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
