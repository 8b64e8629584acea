"""One client connection: startup, simple and extended query protocol."""

import math
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import pygwire
from pygwire import constants
from pygwire import messages

from standins.target import errors
from standins.target import execution
from standins.target import instance as instances
from standins.target import log as logs
from standins.target import sql
from standins.target import storage as storages
from standins.target import target as targets
from standins.target import values

CONTROL_APPLICATION = "knapweedtally-control"
REPLICA_APPLICATION = "knapweedtally-replica"
# Connections of these applications do not count against the limit.
UNLIMITED_APPLICATIONS = frozenset({CONTROL_APPLICATION, REPLICA_APPLICATION})
REPORT_PARAMETER = "kt.report"
RECEIVE_BYTES = 65536

_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}


class ConnectionLimitError(errors.TargetError):
    """The instance has as many connections as it accepts."""

    sqlstate = "53300"


class CancelledError(errors.TargetError):
    """A cancel request ended the statement."""

    sqlstate = "57014"


class StoppingError(errors.TargetError):
    """The instance is stopping."""

    sqlstate = "57P01"


class UnknownStatementError(errors.TargetError):
    """There is no prepared statement or portal of this name."""

    sqlstate = "26000"


class MultipleStatementsError(errors.TargetError):
    """A prepared statement holds more than one statement."""

    sqlstate = "42601"


class ConnectionClosedError(Exception):
    """The connection ends without an answer."""


class Prepared(NamedTuple):
    """Hold a prepared statement; ``text`` is None for an empty one."""

    text: sql.Text | None
    parameters: list[int]


class Portal:
    """Hold a bound statement and the rows that were not sent yet."""

    def __init__(
        self,
        prepared: Prepared,
        parameters: list[logs.Value],
        formats: list[int],
    ) -> None:
        """Bind a prepared statement to its parameters."""
        self.prepared = prepared
        self.parameters = parameters
        self.formats = formats
        self.columns: list[values.Column] | None = None
        self.outcome: execution.Outcome | None = None
        self.sent = 0


class Session:
    """Serve one client.

    Attributes:
        process_id: number that a cancel request names.
        secret: key that a cancel request carries.
        peer: address of the client.
        is_limited: whether it counts against the connection limit.
    """

    def __init__(
        self,
        target: targets.Target,
        stream: anyio.abc.SocketStream,
        process_id: int,
        cancel: Callable[[int, bytes], None],
    ) -> None:
        """Make a session on an accepted connection."""
        self.process_id = process_id
        self.secret = secrets.token_bytes(4)
        self.peer: str = stream.extra(anyio.abc.SocketAttribute.remote_address)[
            0
        ]
        self.is_limited = False
        self._target = target
        self._stream = stream
        self._cancel = cancel
        self._wire = pygwire.BackendConnection()
        self._output = bytearray()
        self._executor = execution.Executor(target)
        self._statements: dict[str, Prepared] = {}
        self._portals: dict[str, Portal] = {}
        self._is_skipping = False
        self._is_stopping = False
        self._running: anyio.CancelScope | None = None
        self._idle: anyio.CancelScope | None = None

    async def serve(self) -> None:
        """Serve the client until either side ends the connection."""
        try:
            while self._wire.is_active and not self._is_done():
                data = await self._receive()
                for message in self._wire.receive(data):
                    await self._handle(message)
                await self._flush()
            if self._is_stopping:
                self._send_error(StoppingError("target is stopping"))
                await self._flush()
        except (ConnectionClosedError, anyio.BrokenResourceError):
            return
        except pygwire.PygwireError as error:
            self._send_error(errors.TargetError(str(error)))
            await self._flush()
        finally:
            self._executor.transaction.rollback()
            if self.is_limited:
                self._target.connections -= 1

    def cancel(self) -> None:
        """End the statement that runs, if one does."""
        if self._running is not None:
            self._running.cancel()

    def stop(self) -> None:
        """End the session once no transaction is open."""
        self._is_stopping = True
        if self._idle is not None and self._is_done():
            self._idle.cancel()

    def _is_done(self) -> bool:
        is_idle = self._executor.transaction.status == "I"
        return self._is_stopping and is_idle

    async def _receive(self) -> bytes:
        """Return the next bytes; none when a stop was asked for."""
        data = b""
        with anyio.CancelScope() as scope:
            self._idle = scope
            try:
                data = await self._stream.receive(RECEIVE_BYTES)
            except anyio.EndOfStream as error:
                raise ConnectionClosedError from error
            finally:
                self._idle = None
        await self._target.faults.wait_reachable(self.peer)
        return data

    async def _flush(self) -> None:
        if not self._output:
            return
        await self._target.faults.wait_reachable(self.peer)
        data, self._output = bytes(self._output), bytearray()
        await self._stream.send(data)

    def _send(self, message: Any) -> None:
        self._output += self._wire.send(message)

    def _send_error(self, error: errors.TargetError) -> None:
        fields = {
            "S": "ERROR",
            "V": "ERROR",
            "C": error.sqlstate,
            "M": str(error),
        }
        self._send(messages.ErrorResponse(fields=fields))

    async def _handle(self, message: Any) -> None:
        """Run one message's handler and turn an error into its answer."""
        if self._is_skipping and not isinstance(message, _ENDING):
            return
        handler = _HANDLERS.get(type(message))
        if handler is None:
            return
        try:
            await self._run_cancellable(handler, message)
        except errors.TargetError as error:
            self._executor.transaction.fail()
            self._send_error(error)
            if isinstance(message, messages.Query):
                await self._send_ready()
            else:
                self._is_skipping = True

    async def _run_cancellable(self, handler: "Handler", message: Any) -> None:
        with anyio.CancelScope() as scope:
            self._running = scope
            try:
                await handler(self, message)
            finally:
                self._running = None
        if scope.cancelled_caught:
            raise CancelledError("statement was cancelled on request")

    # Startup.

    async def _refuse_encryption(self, message: Any) -> None:
        if isinstance(message, messages.SSLRequest):
            self._send(messages.SSLResponse(accepted=False))
        else:
            self._send(messages.GSSResponse(accepted=False))
        await self._flush()

    async def _start(self, message: messages.StartupMessage) -> None:
        application = message.params.get("application_name", "")
        if application not in UNLIMITED_APPLICATIONS:
            self._count_connection()
            delay_ms = self._target.settings.connect_delay_ms
            await self._target.faults.sleep_lag(delay_ms)
        self._send(messages.AuthenticationOk())
        for name, value in _PARAMETERS.items():
            self._send(messages.ParameterStatus(name=name, value=value))
        self._send(messages.BackendKeyData(self.process_id, self.secret))
        await self._send_ready()

    def _count_connection(self) -> None:
        limit = self._target.settings.connection_limit
        if self._target.connections >= limit:
            raise ConnectionLimitError(
                f"all {limit} connections are in use; close one first"
            )
        self._target.connections += 1
        self.is_limited = True

    async def _pass_cancel(self, message: messages.CancelRequest) -> None:
        self._cancel(message.process_id, message.secret_key)
        raise ConnectionClosedError

    # Simple query protocol.

    async def _run_query(self, message: messages.Query) -> None:
        texts = sql.split(message.query_string)
        if not texts:
            self._send(messages.EmptyQueryResponse())
        for text in texts:
            outcome = await self._executor.run(text)
            self._send_simple_outcome(outcome)
        self._executor.finish()
        await self._send_ready()

    def _send_simple_outcome(self, outcome: execution.Outcome) -> None:
        if outcome.result.names is not None:
            columns = self._target.describer.describe_result(outcome.result)
            self._send(_make_row_description(columns, []))
            self._send_rows(outcome.result.rows, columns, [])
        self._send(messages.CommandComplete(tag=outcome.tag))

    # Extended query protocol.

    async def _parse(self, message: messages.Parse) -> None:
        texts = sql.split(message.query)
        if len(texts) > 1:
            raise MultipleStatementsError(
                "a prepared statement holds one statement; send them one by one"
            )
        text = texts[0] if texts else None
        parameters = (
            self._target.describer.find_parameters(text, message.param_types)
            if text
            else []
        )
        self._statements[message.statement] = Prepared(text, parameters)
        self._send(messages.ParseComplete())

    async def _bind(self, message: messages.Bind) -> None:
        prepared = _find(self._statements, message.statement)
        formats = _expand(message.param_formats, len(message.param_values))
        parameters = [
            values.decode(data, oid, format_code)
            for data, oid, format_code in zip(
                message.param_values, prepared.parameters, formats, strict=False
            )
        ]
        portal = Portal(prepared, parameters, message.result_formats)
        self._portals[message.portal] = portal
        self._send(messages.BindComplete())

    async def _describe(self, message: messages.Describe) -> None:
        if message.kind == "S":
            prepared = _find(self._statements, message.name)
            oids = prepared.parameters
            self._send(messages.ParameterDescription(type_oids=oids))
            columns = self._find_columns(prepared)
            formats: list[int] = []
        else:
            portal = _find(self._portals, message.name)
            columns = self._find_columns(portal.prepared)
            portal.columns = columns
            formats = portal.formats
        if columns is None:
            self._send(messages.NoData())
        else:
            self._send(_make_row_description(columns, formats))

    def _find_columns(self, prepared: Prepared) -> list[values.Column] | None:
        if prepared.text is None:
            return None
        return self._target.describer.find_columns(
            prepared.text, prepared.parameters, self._executor.transaction.read
        )

    async def _execute(self, message: messages.Execute) -> None:
        portal = _find(self._portals, message.portal)
        text = portal.prepared.text
        if text is None:
            self._send(messages.EmptyQueryResponse())
            return
        if portal.outcome is None:
            if portal.columns is None:
                portal.columns = self._find_columns(portal.prepared)
            portal.outcome = await self._executor.run(text, portal.parameters)
        self._send_portal(portal, message.max_rows)

    def _send_portal(self, portal: Portal, max_rows: int) -> None:
        assert portal.outcome is not None
        rows = portal.outcome.result.rows
        end = portal.sent + max_rows if max_rows else len(rows)
        columns = portal.columns or []
        self._send_rows(rows[portal.sent : end], columns, portal.formats)
        portal.sent = end
        if end < len(rows):
            self._send(messages.PortalSuspended())
        else:
            self._send(messages.CommandComplete(tag=portal.outcome.tag))

    def _send_rows(
        self,
        rows: Sequence[storages.Row],
        columns: Sequence[values.Column],
        formats: Sequence[int],
    ) -> None:
        expanded = _expand(formats, len(columns))
        for row in rows:
            data = [
                values.encode(value, column.oid, format_code)
                for value, column, format_code in zip(
                    row, columns, expanded, strict=True
                )
            ]
            self._send(messages.DataRow(columns=data))

    async def _close(self, message: messages.Close) -> None:
        named: dict[str, Any] = (
            self._statements if message.kind == "S" else self._portals
        )
        named.pop(message.name, None)
        self._send(messages.CloseComplete())

    async def _sync(self, message: messages.Sync) -> None:
        if not self._is_skipping:
            self._executor.finish()
        await self._send_ready()

    async def _flush_output(self, message: messages.Flush) -> None:
        await self._flush()

    async def _send_ready(self) -> None:
        self._is_skipping = False
        self._portals = {}
        executor = self._executor
        if executor.has_committed:
            executor.has_committed = False
            if self._target.faults.take_lost_answer():
                raise ConnectionClosedError
        report = executor.report or self._target.report()
        executor.report = None
        self._send(
            messages.ParameterStatus(REPORT_PARAMETER, format_report(report))
        )
        status = constants.TransactionStatus(executor.transaction.status)
        self._send(messages.ReadyForQuery(status=status))
        await self._flush()


def format_report(report: instances.Report) -> str:
    """Write a report as the value of its ParameterStatus."""
    role = "p" if report.is_primary else "r"
    age_ms = math.ceil(report.age_ms)
    return f"{report.term}/{report.offset}/{age_ms}/{role}"


def _find(named: dict[str, Any], name: str) -> Any:
    if name not in named:
        raise UnknownStatementError(f"no statement or portal named {name!r}")
    return named[name]


def _expand(formats: Sequence[int], count: int) -> Sequence[int]:
    if not formats:
        return [values.TEXT_FORMAT] * count
    return formats if len(formats) == count else [formats[0]] * count


def _make_row_description(
    columns: Sequence[values.Column], formats: Sequence[int]
) -> messages.RowDescription:
    expanded = _expand(formats, len(columns))
    return messages.RowDescription(
        fields=[
            messages.FieldDescription(
                name=column.name,
                type_oid=column.oid,
                type_size=values.get_size(column.oid),
                type_modifier=-1,
                format_code=format_code,
            )
            for column, format_code in zip(columns, expanded, strict=True)
        ]
    )


Handler = Callable[[Session, Any], Awaitable[None]]
_ENDING = (messages.Sync, messages.Query)
_HANDLERS: dict[type, Handler] = {
    messages.SSLRequest: Session._refuse_encryption,
    messages.GSSEncRequest: Session._refuse_encryption,
    messages.StartupMessage: Session._start,
    messages.CancelRequest: Session._pass_cancel,
    messages.Query: Session._run_query,
    messages.Parse: Session._parse,
    messages.Bind: Session._bind,
    messages.Describe: Session._describe,
    messages.Execute: Session._execute,
    messages.Close: Session._close,
    messages.Sync: Session._sync,
    messages.Flush: Session._flush_output,
}
