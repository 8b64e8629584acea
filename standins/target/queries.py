"""Simple and extended query protocol of a session."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from pygwire import messages

from standins.target import answers
from standins.target import errors
from standins.target import execution
from standins.target import log as logs
from standins.target import sql
from standins.target import storage as storages
from standins.target import target as targets
from standins.target import values

Send = Callable[[Any], None]


class CancelledError(errors.TargetError):
    """A cancel request interrupted the statement."""

    sqlstate = "57014"


class UnknownStatementError(errors.TargetError):
    """There is no prepared statement or portal of this name."""

    sqlstate = "26000"


class BindError(errors.TargetError):
    """The number of bound values differs from that of placeholders."""

    sqlstate = "08P01"


class MultipleStatementsError(errors.TargetError):
    """The text of a prepared statement contains several statements."""

    sqlstate = "42601"


class PreparedStatement:
    """Prepared statement.

    Attributes:
        statement: the parsed statement, or None for an empty one.
        parameters: type OID of each placeholder.
        columns: result columns as sent to the client, or None.
        is_described: whether the columns are known.
    """

    def __init__(
        self, statement: sql.ParsedStatement | None, parameters: list[int]
    ) -> None:
        """Create a prepared statement whose columns are not known yet."""
        self.statement = statement
        self.parameters = parameters
        self.columns: list[values.Column] | None = None
        self.is_described = False


class Portal:
    """Bound statement and the progress of sending its result.

    Attributes:
        prepared: the prepared statement.
        parameters: values of the placeholders.
        formats: requested format codes of the result columns.
        outcome: the result, or None before the statement has run.
        sent_rows: number of rows sent so far.
        columns: result columns as sent to the client, or None.
        is_described: whether the columns are known.
    """

    def __init__(
        self,
        prepared: PreparedStatement,
        parameters: list[logs.Value],
        formats: list[int],
    ) -> None:
        """Create a portal that has not run yet."""
        self.prepared = prepared
        self.parameters = parameters
        self.formats = formats
        self.outcome: execution.Outcome | None = None
        self.sent_rows = 0
        self.columns = prepared.columns
        self.is_described = prepared.is_described


class Queries:
    """Handler of the query messages of one session.

    Attributes:
        executor: runs the statements.
    """

    def __init__(self, target: targets.Target, send: Send) -> None:
        """Create a handler that sends its answers through ``send``."""
        self.executor = execution.Executor(target)
        self._describer = target.describer
        self._send = send
        self._statements: dict[str, PreparedStatement] = {}
        self._portals: dict[str, Portal] = {}
        self._run_scope: anyio.CancelScope | None = None

    async def handle_message(self, message: Any) -> None:
        """Handle one message.

        Raises:
            errors.TargetError: the message failed; its changes are undone.
        """
        await _HANDLERS[type(message)](self, message)

    def cancel(self) -> None:
        """Cancel the running statement, if there is one."""
        if self._run_scope is not None:
            self._run_scope.cancel()

    def close_portals(self) -> None:
        """Close all portals; portals end with their transaction."""
        self._portals = {}

    async def _run_statement(
        self, statement: sql.ParsedStatement, parameters: list[logs.Value]
    ) -> execution.Outcome:
        # Only the run itself is cancellable: a commit is always answered.
        with anyio.CancelScope() as scope:
            self._run_scope = scope
            try:
                return await self.executor.run(statement, parameters)
            finally:
                self._run_scope = None
        raise CancelledError("statement was cancelled on request")

    async def _run_query(self, message: messages.Query) -> None:
        statements = sql.split_statements(message.query_string)
        if not statements:
            self._send(messages.EmptyQueryResponse())
        for statement in statements:
            outcome = await self._run_statement(statement, [])
            self._send_outcome(outcome)
        self.executor.commit_implicit()

    def _send_outcome(self, outcome: execution.Outcome) -> None:
        result = outcome.result
        if result.names is not None:
            columns = self._describer.describe_result(result)
            self._send(answers.make_row_description(columns, []))
            for row in answers.make_data_rows(result.rows, columns, []):
                self._send(row)
        self._send(messages.CommandComplete(tag=outcome.tag))

    async def _parse(self, message: messages.Parse) -> None:
        statements = sql.split_statements(message.query)
        if len(statements) > 1:
            raise MultipleStatementsError(
                "a prepared statement holds one statement; send them one by one"
            )
        prepared = PreparedStatement(None, [])
        if statements:
            given = message.param_types
            found = self._describer.find_parameter_types(statements[0], given)
            prepared = PreparedStatement(statements[0], found)
        self._statements[message.statement] = prepared
        self._send(messages.ParseComplete())

    async def _bind(self, message: messages.Bind) -> None:
        prepared = _get_named(self._statements, message.statement)
        count = len(prepared.parameters)
        if len(message.param_values) != count:
            raise BindError(
                f"{len(message.param_values)} values bound to a statement"
                f" with {count} placeholders"
            )
        formats = answers.expand_formats(message.param_formats, count)
        parameters = [
            values.decode(data, oid, format_code)
            for data, oid, format_code in zip(
                message.param_values, prepared.parameters, formats, strict=True
            )
        ]
        portal = Portal(prepared, parameters, message.result_formats)
        self._portals[message.portal] = portal
        self._send(messages.BindComplete())

    async def _describe(self, message: messages.Describe) -> None:
        if message.kind == "S":
            prepared = _get_named(self._statements, message.name)
            self._describe_statement(prepared)
            oids = prepared.parameters
            self._send(messages.ParameterDescription(type_oids=oids))
            self._send_description(prepared.columns, [])
        else:
            portal = _get_named(self._portals, message.name)
            self._describe_portal(portal)
            self._send_description(portal.columns, portal.formats)

    def _send_description(
        self, columns: list[values.Column] | None, formats: list[int]
    ) -> None:
        if columns is None:
            self._send(messages.NoData())
        else:
            self._send(answers.make_row_description(columns, formats))

    def _describe_statement(self, prepared: PreparedStatement) -> None:
        if prepared.statement is None or prepared.is_described:
            return
        statement = prepared.statement
        sample = self._describer.make_sample_statement(
            statement, prepared.parameters
        )
        prepared.columns = self._describer.find_columns(
            statement, lambda: self.executor.transaction.read(sample)
        )
        prepared.is_described = True

    def _describe_portal(self, portal: Portal) -> None:
        if portal.prepared.statement is None or portal.is_described:
            return
        statement = portal.prepared.statement
        portal.columns = self._describer.find_columns(
            statement,
            lambda: self.executor.transaction.read(
                statement.sql, portal.parameters
            ),
        )
        portal.is_described = True

    async def _execute(self, message: messages.Execute) -> None:
        portal = _get_named(self._portals, message.portal)
        statement = portal.prepared.statement
        if statement is None:
            self._send(messages.EmptyQueryResponse())
            return
        if portal.outcome is None:
            self._describe_portal(portal)
            portal.outcome = await self._run_statement(
                statement, portal.parameters
            )
        self._send_portal_rows(portal, portal.outcome, message.max_rows)

    def _send_portal_rows(
        self, portal: Portal, outcome: execution.Outcome, max_rows: int
    ) -> None:
        rows: list[storages.Row] = outcome.result.rows
        end = portal.sent_rows + max_rows if max_rows else len(rows)
        batch = rows[portal.sent_rows : end]
        portal.sent_rows = end
        columns = portal.columns or []
        for row in answers.make_data_rows(batch, columns, portal.formats):
            self._send(row)
        if end < len(rows):
            self._send(messages.PortalSuspended())
        else:
            self._send(messages.CommandComplete(tag=outcome.tag))

    async def _close(self, message: messages.Close) -> None:
        named: dict[str, Any] = (
            self._statements if message.kind == "S" else self._portals
        )
        named.pop(message.name, None)
        self._send(messages.CloseComplete())

    async def _sync(self, message: messages.Sync) -> None:
        self.executor.commit_implicit()


def _get_named(named: dict[str, Any], name: str) -> Any:
    if name not in named:
        raise UnknownStatementError(f"no statement or portal named {name!r}")
    return named[name]


Handler = Callable[[Queries, Any], Awaitable[None]]
_HANDLERS: dict[type, Handler] = {
    messages.Query: Queries._run_query,
    messages.Parse: Queries._parse,
    messages.Bind: Queries._bind,
    messages.Describe: Queries._describe,
    messages.Execute: Queries._execute,
    messages.Close: Queries._close,
    messages.Sync: Queries._sync,
}
MESSAGE_TYPES = tuple(_HANDLERS)
