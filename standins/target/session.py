"""One client connection: startup, its messages in order, and its end."""

import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import pygwire
from pygwire import constants
from pygwire import messages

from standins.target import answers
from standins.target import errors
from standins.target import queries
from standins.target import target as targets

CONTROL_APPLICATION = "knapweedtally-control"
REPLICA_APPLICATION = "knapweedtally-replica"
# Connections of these applications do not count against the limit.
UNLIMITED_APPLICATIONS = frozenset({CONTROL_APPLICATION, REPLICA_APPLICATION})
RECEIVE_BYTES = 65536
SECRET_BYTES = 4

_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}
# Phases in which no statement is under way.
_IDLE_PHASES = frozenset(
    {constants.ConnectionPhase.STARTUP, constants.ConnectionPhase.READY}
)


class ConnectionLimitError(errors.TargetError):
    """The instance has as many connections as it accepts."""

    sqlstate = "53300"


class StoppingError(errors.TargetError):
    """The instance is stopping."""

    sqlstate = "57P01"


class ProtocolError(errors.TargetError):
    """The client sent what the protocol does not allow."""

    sqlstate = "08P01"


class ConnectionClosedError(Exception):
    """The connection ends without an answer."""


class Session:
    """Serve one client.

    Attributes:
        secret: key that a cancel request carries.
        peer: address of the client.
    """

    def __init__(
        self,
        target: targets.Target,
        stream: anyio.abc.SocketStream,
        process_id: int,
        pass_cancel: Callable[[int, bytes], None],
    ) -> None:
        """Make a session on an accepted connection.

        Args:
            target: the instance.
            stream: the connection.
            process_id: number that a cancel request names.
            pass_cancel: hands a cancel request to the session it names.
        """
        self.secret = secrets.token_bytes(SECRET_BYTES)
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        self.peer = str(remote[0])
        self._target = target
        self._stream = stream
        self._process_id = process_id
        self._pass_cancel = pass_cancel
        self._wire = pygwire.BackendConnection()
        self._output = bytearray()
        self._queries = queries.Queries(target, self._send)
        self._is_counted = False
        self._is_skipping = False
        self._is_stopping = False
        self._receiving: anyio.CancelScope | None = None

    async def serve(self) -> None:
        """Serve the client until either side ends the connection."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._drop_unreachable, tasks.cancel_scope)
                await self._serve_until_closed()
                tasks.cancel_scope.cancel()
        finally:
            self._queries.executor.transaction.rollback()
            if self._is_counted:
                self._target.connections -= 1
        # A client that is cut off must not see the connection close either.
        await self._target.faults.wait_until_reachable(self.peer)

    def cancel(self) -> None:
        """End the statement that runs, if one does."""
        self._queries.cancel()

    def stop(self) -> None:
        """End the session once no transaction is open."""
        self._is_stopping = True
        if self._receiving is not None and self._is_idle():
            self._receiving.cancel()

    async def _serve_until_closed(self) -> None:
        try:
            await self._serve_messages()
        except (
            ConnectionClosedError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return

    async def _drop_unreachable(self, serving: anyio.CancelScope) -> None:
        """End the session, also in a statement that waits for a lock."""
        await self._target.faults.wait_until_unreachable(self.peer)
        serving.cancel()

    async def _serve_messages(self) -> None:
        while self._wire.is_active:
            if self._is_stopping and self._is_idle():
                await self._end(StoppingError("target is stopping"))
                return
            data = await self._receive()
            try:
                for message in self._wire.receive(data):
                    await self._handle(message)
            except (pygwire.PygwireError, UnicodeDecodeError) as error:
                await self._end(ProtocolError(f"message not valid: {error}"))
                return
            await self._flush()

    def _is_idle(self) -> bool:
        status = self._queries.executor.transaction.status
        return status == "I" and self._wire.phase in _IDLE_PHASES

    async def _receive(self) -> bytes:
        """Return the next bytes; none when a stop was asked for."""
        data = b""
        with anyio.CancelScope() as scope:
            self._receiving = scope
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream as error:
                raise ConnectionClosedError from error
            finally:
                self._receiving = None
        await self._target.faults.wait_until_reachable(self.peer)
        return data

    def _send(self, message: Any) -> None:
        self._output += self._wire.send(message)

    async def _flush(self) -> None:
        if not self._output:
            return
        await self._target.faults.wait_until_reachable(self.peer)
        data, self._output = bytes(self._output), bytearray()
        await self._stream.send(data)

    async def _end(self, error: errors.TargetError) -> None:
        """Send a last error, in whatever phase the connection is."""
        self._output += answers.make_error_response(error).to_wire()
        await self._flush()

    async def _handle(self, message: Any) -> None:
        """Answer one message; after an error skip up to the next Sync."""
        try:
            if not isinstance(message, queries.MESSAGE_TYPES):
                await self._handle_other(message)
            elif not self._is_skipping:
                await self._queries.handle_message(message)
        except errors.TargetError as error:
            self._queries.executor.transaction.mark_failed()
            self._send(answers.make_error_response(error))
            self._is_skipping = True
        if isinstance(message, messages.Query | messages.Sync):
            await self._send_ready()

    async def _handle_other(self, message: Any) -> None:
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            await handler(self, message)

    async def _refuse_ssl(self, message: messages.SSLRequest) -> None:
        self._send(messages.SSLResponse(accepted=False))
        await self._flush()

    async def _refuse_gss(self, message: messages.GSSEncRequest) -> None:
        self._send(messages.GSSResponse(accepted=False))
        await self._flush()

    async def _start(self, message: messages.StartupMessage) -> None:
        application = message.params.get("application_name", "")
        if application not in UNLIMITED_APPLICATIONS:
            self._count_connection()
            delay_ms = self._target.settings.connect_delay_ms
            await self._target.faults.sleep_ms(delay_ms)
        self._send(messages.AuthenticationOk())
        for name, value in _PARAMETERS.items():
            self._send(messages.ParameterStatus(name=name, value=value))
        self._send(messages.BackendKeyData(self._process_id, self.secret))
        await self._send_ready()

    def _count_connection(self) -> None:
        limit = self._target.settings.connection_limit
        if self._target.connections >= limit:
            raise ConnectionLimitError(
                f"all {limit} connections are in use; close one first"
            )
        self._target.connections += 1
        self._is_counted = True

    async def _cancel_other(self, message: messages.CancelRequest) -> None:
        self._pass_cancel(message.process_id, message.secret_key)
        raise ConnectionClosedError

    async def _flush_early(self, message: messages.Flush) -> None:
        await self._flush()

    async def _send_ready(self) -> None:
        self._is_skipping = False
        self._queries.close_portals()
        executor = self._queries.executor
        if (
            executor.pop_has_committed()
            and self._target.faults.consume_lost_answer()
        ):
            raise ConnectionClosedError
        self._send(answers.make_report_status(executor.pop_report()))
        status = constants.TransactionStatus(executor.transaction.status)
        self._send(messages.ReadyForQuery(status=status))
        await self._flush()


Handler = Callable[[Session, Any], Awaitable[None]]
_HANDLERS: dict[type, Handler] = {
    messages.CancelRequest: Session._cancel_other,
    messages.Flush: Session._flush_early,
    messages.GSSEncRequest: Session._refuse_gss,
    messages.SSLRequest: Session._refuse_ssl,
    messages.StartupMessage: Session._start,
}
