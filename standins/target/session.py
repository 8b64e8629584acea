"""Session of one client connection."""

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
# Connections of these applications do not count towards the limit.
UNLIMITED_APPLICATIONS = frozenset({CONTROL_APPLICATION, REPLICA_APPLICATION})
RECEIVE_BYTES = 65536
SECRET_BYTES = 4

_SERVER_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}
# Phases in which no statement is running.
_IDLE_PHASES = frozenset(
    {constants.ConnectionPhase.STARTUP, constants.ConnectionPhase.READY}
)


class ConnectionLimitError(errors.TargetError):
    """The instance has reached its connection limit."""

    sqlstate = "53300"


class StoppingError(errors.TargetError):
    """The instance is stopping."""

    sqlstate = "57P01"


class ProtocolError(errors.TargetError):
    """The client sent a message that the protocol does not allow."""

    sqlstate = "08P01"


class ConnectionClosedError(Exception):
    """The connection is closed without an answer."""


class Session:
    """Session of one client.

    Attributes:
        secret: secret key that a cancel request has to contain.
        peer: address of the client.
    """

    def __init__(
        self,
        target: targets.Target,
        stream: anyio.abc.SocketStream,
        process_id: int,
        forward_cancel: Callable[[int, bytes], None],
    ) -> None:
        """Create a session on an accepted connection.

        Args:
            target: the instance.
            stream: the connection.
            process_id: process id by which a cancel request names the session.
            forward_cancel: forwards a cancel request, given its process id
                and secret, to the session that it names.
        """
        self.secret = secrets.token_bytes(SECRET_BYTES)
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        self.peer = str(remote[0])
        self._target = target
        self._stream = stream
        self._process_id = process_id
        self._forward_cancel = forward_cancel
        self._wire = pygwire.BackendConnection()
        self._output = bytearray()
        self._queries = queries.Queries(target, self._queue_message)
        self._is_counted = False
        self._is_skipping_to_sync = False
        self._is_stopping = False
        self._receive_scope: anyio.CancelScope | None = None

    async def serve(self) -> None:
        """Serve the client until either side closes the connection."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._close_when_unreachable, tasks.cancel_scope
                )
                await self._serve_until_closed()
                tasks.cancel_scope.cancel()
        finally:
            self._queries.executor.transaction.rollback()
            if self._is_counted:
                self._target.connections -= 1
        # A cut-off client must not receive the close of the connection either.
        await self._target.faults.wait_until_reachable(self.peer)

    def cancel(self) -> None:
        """Cancel the running statement, if there is one."""
        self._queries.cancel()

    def stop(self) -> None:
        """End the session as soon as no transaction is open."""
        self._is_stopping = True
        if self._receive_scope is not None and self._is_idle():
            self._receive_scope.cancel()

    async def _serve_until_closed(self) -> None:
        try:
            await self._serve_messages()
        except (
            ConnectionClosedError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return

    async def _close_when_unreachable(self, scope: anyio.CancelScope) -> None:
        """End the session of an unreachable client, even during a lock wait."""
        await self._target.faults.wait_until_unreachable(self.peer)
        scope.cancel()

    async def _serve_messages(self) -> None:
        while self._wire.is_active:
            if self._is_stopping and self._is_idle():
                await self._send_final_error(
                    StoppingError("target is stopping")
                )
                return
            data = await self._receive()
            try:
                for message in self._wire.receive(data):
                    await self._handle_message(message)
            except (pygwire.PygwireError, UnicodeDecodeError) as error:
                await self._send_final_error(
                    ProtocolError(f"message not valid: {error}")
                )
                return
            await self._flush()

    def _is_idle(self) -> bool:
        status = self._queries.executor.transaction.status
        return status == "I" and self._wire.phase in _IDLE_PHASES

    async def _receive(self) -> bytes:
        """Return the next bytes, or no bytes when the session has to stop."""
        data = b""
        with anyio.CancelScope() as scope:
            self._receive_scope = scope
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream as error:
                raise ConnectionClosedError from error
            finally:
                self._receive_scope = None
        await self._target.faults.wait_until_reachable(self.peer)
        return data

    def _queue_message(self, message: Any) -> None:
        self._output += self._wire.send(message)

    async def _flush(self) -> None:
        if not self._output:
            return
        await self._target.faults.wait_until_reachable(self.peer)
        data, self._output = bytes(self._output), bytearray()
        await self._stream.send(data)

    async def _send_final_error(self, error: errors.TargetError) -> None:
        """Send a final error, regardless of the connection's phase."""
        self._output += answers.make_error_response(error).to_wire()
        await self._flush()

    async def _handle_message(self, message: Any) -> None:
        """Handle one message; after an error, skip messages until Sync."""
        try:
            if not isinstance(message, queries.MESSAGE_TYPES):
                await self._handle_connection_message(message)
            elif not self._is_skipping_to_sync:
                await self._queries.handle_message(message)
        except errors.TargetError as error:
            self._queries.executor.transaction.mark_failed()
            self._queue_message(answers.make_error_response(error))
            self._is_skipping_to_sync = True
        if isinstance(message, messages.Query | messages.Sync):
            await self._send_ready()

    async def _handle_connection_message(self, message: Any) -> None:
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            await handler(self, message)

    async def _refuse_ssl(self, message: messages.SSLRequest) -> None:
        self._queue_message(messages.SSLResponse(accepted=False))
        await self._flush()

    async def _refuse_gss(self, message: messages.GSSEncRequest) -> None:
        self._queue_message(messages.GSSResponse(accepted=False))
        await self._flush()

    async def _handle_startup(self, message: messages.StartupMessage) -> None:
        application = message.params.get("application_name", "")
        if application not in UNLIMITED_APPLICATIONS:
            self._count_connection()
            delay_ms = self._target.settings.connect_delay_ms
            await self._target.faults.sleep_ms(delay_ms)
        self._queue_message(messages.AuthenticationOk())
        for name, value in _SERVER_PARAMETERS.items():
            self._queue_message(
                messages.ParameterStatus(name=name, value=value)
            )
        self._queue_message(
            messages.BackendKeyData(self._process_id, self.secret)
        )
        await self._send_ready()

    def _count_connection(self) -> None:
        limit = self._target.settings.connection_limit
        if self._target.connections >= limit:
            raise ConnectionLimitError(
                f"all {limit} connections are in use; close one first"
            )
        self._target.connections += 1
        self._is_counted = True

    async def _handle_cancel_request(
        self, message: messages.CancelRequest
    ) -> None:
        self._forward_cancel(message.process_id, message.secret_key)
        raise ConnectionClosedError

    async def _handle_flush(self, message: messages.Flush) -> None:
        await self._flush()

    async def _send_ready(self) -> None:
        self._is_skipping_to_sync = False
        self._queries.close_portals()
        executor = self._queries.executor
        if (
            executor.pop_has_committed()
            and self._target.faults.consume_lost_answer()
        ):
            raise ConnectionClosedError
        self._queue_message(answers.make_report_status(executor.pop_report()))
        status = constants.TransactionStatus(executor.transaction.status)
        self._queue_message(messages.ReadyForQuery(status=status))
        await self._flush()


Handler = Callable[[Session, Any], Awaitable[None]]
_HANDLERS: dict[type, Handler] = {
    messages.CancelRequest: Session._handle_cancel_request,
    messages.Flush: Session._handle_flush,
    messages.GSSEncRequest: Session._refuse_gss,
    messages.SSLRequest: Session._refuse_ssl,
    messages.StartupMessage: Session._handle_startup,
}
