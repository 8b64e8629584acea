"""Sessions of callers: their transactions, values and answers."""

import asyncio
import socket
import typing
from collections.abc import Callable
from typing import ParamSpec

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import shutdown
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import half_close
from knapweedtally.entry.common import message_queue
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import requests
from knapweedtally.entry.statements import answers
from knapweedtally.entry.statements import router as router_module
from knapweedtally.entry.statements import services as services_module
from knapweedtally.entry.statements import session_identity
from knapweedtally.entry.statements import transactions
from knapweedtally.platform import line_protocol

# Unsent bytes beyond which a caller that doesn't read is disconnected.
MAX_WRITE_BUFFER_BYTES = 4 * 1024 * 1024

# Error detail for callers while the host has no configuration and cannot expect
# one soon. Other hosts may have one, so the retry delay is short.
NOT_CONFIGURED_DETAIL = (
    "no configuration from the store yet; retry after 300 ms"
)

# Error detail for callers of a host that stops. Other hosts serve them at once;
# the delay spreads those that were refused together.
STOPPING_REASON = "the entry host is shutting down"
STOPPING_DETAIL = f"{STOPPING_REASON}; retry after 50 ms"

# Error detail for callers for whose session a host has no descriptor.
FULL_DETAIL = "the entry host has no room for a session; retry after 300 ms"

# Queued requests of one group beyond which this host refuses new ones.
MAX_QUEUED_REQUESTS = 400

_Parameters = ParamSpec("_Parameters")

_Kind = statements.Kind
_Code = statements.Code
_State = statements.SessionState


class CallerSession(asyncio.Protocol):
    """One caller's connection and session state.

    Attributes:
        values: session values by name.
        prepared: definitions of prepared statements by name.
        team: name of the caller's team, empty if callers aren't told apart.
        idle_since_s: time at which its last answer was sent.
    """

    def __init__(self, services: services_module.Services) -> None:
        """Create a session that awaits its first message."""
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, bytes] = {}
        self.team = ""
        self.idle_since_s = clock.get_time_s()
        self._services = services
        self._identity = session_identity.SessionIdentity(services)
        self._messages = message_queue.MessageQueue(
            self.idle_since_s, services.large_messages
        )
        self._transport: asyncio.Transport | None = None
        self._database: str | None = None
        self._transaction: transactions.Transaction | None = None
        self._request: requests.Request | None = None
        self._router: router_module.Router | None = None
        self._own_position: model.Position | None = None
        self._runner = transactions.Runner(
            self, services, self._handle_statement_end, self._guard
        )
        self._is_busy = False
        self._is_confirming = False
        self._is_leaving = False
        self._is_closed = False
        self._is_write_paused = False

    # Transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options and register the session."""
        # uvloop's transports don't derive from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        self._messages.attach(self._transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        if not self._services.add_session(self):
            self._refuse_session(FULL_DETAIL)

    def _refuse_session(self, detail: str) -> None:
        """Refuse a caller that has just connected."""
        assert self._transport is not None
        self._transport.write(
            line_protocol.encode_error(_Code.BUSY, detail.encode())
        )
        if self._services.can_linger():
            self._end()
        else:
            self.close()

    def data_received(self, data: bytes) -> None:
        """Queue the complete messages and serve them unless one is running."""
        if not supervision.contain("session", self._receive, data):
            self.abort()

    def _receive(self, data: bytes) -> None:
        now_s = clock.get_time_s()
        try:
            self._messages.receive(data, now_s, self._database is not None)
        except line_protocol.OversizedMessage as error:
            self._close_with_error(_Code.TOO_LARGE, str(error))
            return
        if not self._is_busy:
            self._serve_queued_messages()

    def pause_writing(self) -> None:
        """Serve nothing more to a caller that doesn't read its answers."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Go on once the caller has read its answers."""
        self._is_write_paused = False
        if not supervision.contain("session", self._serve_queued_messages):
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Roll back the caller's transaction and cancel its request."""
        self._clean_up()
        self._services.remove_connection(self)

    def tick(self, now_s: float, idle_limit_s: float) -> None:
        """Enforce the timeouts of messages and of idle transactions.

        Args:
            now_s: the time.
            idle_limit_s: time for which an open transaction may be idle, or 0
                for no limit.
        """
        if self._messages.is_overdue(now_s):
            self._close_with_error(
                _Code.MALFORMED, "message not complete in time"
            )
            return
        self._refuse_waiting_statement()
        transaction = self._transaction
        if transaction is None or self._is_busy or not idle_limit_s:
            return
        if transaction.connection is None:
            return
        if now_s - transaction.inactive_since_s > idle_limit_s:
            self._abort_transaction("idle in transaction for too long", "idle")

    def is_idle(self) -> bool:
        """Return whether the session has no request and no transaction."""
        return (
            not self._is_busy
            and not self._messages
            and self._transaction is None
            and not self._messages.has_partial
        )

    def close_unless_busy(self, reason: str) -> None:
        """Close the session with its transaction unless a request is running.

        Args:
            reason: why the transaction is aborted, for the log.
        """
        if self._is_busy or self._messages:
            return
        if self._transaction is not None:
            self._services.log.write(
                "transaction_aborted", database=self._database, reason=reason
            )
        self._end()

    # Planned stop of the host.

    def leave(self) -> None:
        """End the session once it has no request and no transaction."""
        self._is_leaving = True
        self._end_if_left()

    def _end_if_left(self) -> None:
        # A caller that has just connected waits for an answer.
        has_started = self._database is not None
        if self._is_leaving and has_started and self.is_idle():
            self._end()

    def _end(self) -> None:
        """End the connection after its last answer."""
        if self._transport is not None and not self._is_closed:
            half_close.end(self._transport)
        self._clean_up()

    def abort_transaction(self, reason: str) -> None:
        """Abort the open transaction unless a statement of it runs.

        The caller's next statement is answered with it.

        Args:
            reason: why, for the caller and the log.
        """
        transaction = self._transaction
        if transaction is None or self._is_busy:
            return
        if not transaction.is_failed and not transaction.abort_reason:
            self._abort_transaction(reason, "shutdown")

    def refuse_waiting(self) -> None:
        """Refuse what waits for the configuration."""
        if self._is_confirming:
            self._resume()
        elif self._is_busy and self._database is None:
            self._close_with_error(_Code.BUSY, STOPPING_DETAIL)

    def end_running(self, reason: str) -> None:
        """Answer the running statement as it stands, and end the session.

        Args:
            reason: why, for the caller and the log.
        """
        transaction = self._transaction
        if self._request is not None and self._router is not None:
            self._router.fail(self._request, reason)
        elif self._is_busy and transaction and transaction.connection:
            # The target rolls back unless it has received a commit.
            transaction.connection.abort()
        self._end()

    def abort(self) -> None:
        """Close the session at once, since an outcome is unknown."""
        if self._transport is not None:
            self._transport.abort()
        supervision.contain("session", self._clean_up)
        self._services.remove_session(self)

    def _guard(
        self, function: Callable[_Parameters, object]
    ) -> Callable[_Parameters, None]:
        """Return a callback that ends this session if it fails."""
        return supervision.guard("session", function, self.abort)

    def close(self) -> None:
        """Close the session gracefully; buffered answers are still sent."""
        if self._transport is not None and not self._is_closed:
            self._transport.close()
        self._clean_up()

    def _clean_up(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._messages.clear()
        if self._request is not None and self._router is not None:
            self._router.cancel(self._request)
        self._runner.is_closed = True
        self._runner.release(self._transaction, self._is_busy)
        self._transaction = None
        self._services.remove_session(self)

    def _close_with_error(self, code: statements.Code, reason: str) -> None:
        self._services.log.write(
            "session_ended", database=self._database, reason=reason
        )
        if self._transport is not None:
            self._transport.write(
                line_protocol.encode_error(code, reason.encode())
            )
            self._transport.close()
        self._clean_up()

    # Messages.

    def _serve_queued_messages(self) -> None:
        while not self._is_busy and not self._is_closed:
            self._messages.finish()
            if not self._messages or self._is_write_paused:
                break
            if self._is_confirmation_due():
                self._is_busy = self._is_confirming = True
                self._services.configuration.call_when_confirmed(
                    self._guard(self._resume)
                )
                return
            message, arrived_s = self._messages.take()
            if self._database is None:
                self._handle_start(message)
                continue
            statement = line_protocol.parse_query(message)
            if statement is not None:
                self._serve_statement(statement, arrived_s)
            elif line_protocol.is_session_end(message):
                self.close()
            else:
                self._close_with_error(_Code.MALFORMED, "unknown message")
        self._end_if_left()

    def _is_confirmation_due(self) -> bool:
        """Return whether statements wait for the configuration."""
        return (
            self._services.phase < shutdown.Phase.FINISHING
            and self._services.configuration.is_confirmation_due()
        )

    def _resume(self) -> None:
        """Serve what has waited for the configuration's confirmation."""
        if not self._is_confirming:
            return
        self._is_busy = self._is_confirming = False
        if not self._is_closed:
            self._serve_queued_messages()

    def _handle_start(self, message: bytes) -> None:
        database = line_protocol.parse_start(message)
        if database is None:
            self._close_with_error(_Code.MALFORMED, "START expected")
            return
        if self._is_leaving or self._services.phase >= shutdown.Phase.REFUSING:
            self._close_with_error(_Code.BUSY, STOPPING_DETAIL)
            return
        if self._services.catalog.configuration is None:
            # The process has just started and knows no databases yet, so the
            # caller waits instead of getting an unknown-database error.
            if not self._services.is_configuration_expected():
                self._services.counters.increment("refused", "NOT_CONFIGURED")
                self._close_with_error(_Code.BUSY, NOT_CONFIGURED_DETAIL)
                return
            self._is_busy = True
            self._services.call_when_configured(
                self._guard(lambda: self._resume_start(message))
            )
            return
        if self._services.catalog.find_route(database) is None:
            self._services.counters.increment("refused", "UNKNOWN_DATABASE")
            self._close_with_error(_Code.UNKNOWN_DATABASE, "no such database")
            return
        self._identity.start(database, line_protocol.parse_start_key(message))
        if self._identity.refusal is not None:
            self._identity.record_start_refusal()
            self._write(self._encode_refusal())
            self.close()
            return
        self.team = self._identity.team
        self._database = database
        self._write(line_protocol.encode_ready(_State.IDLE))

    # Identity.

    def check_identity(self) -> None:
        """Identify the caller again if the configuration has changed.

        An open transaction of a revoked key, or of a key of another team, is
        rolled back at once. A commit that was sent runs to its end first.
        """
        transaction = self._transaction
        if self._database is None or (
            transaction is not None
            and transaction.is_committing
            and self._is_busy
        ):
            return
        if not self._identity.update():
            return
        self.team = self._identity.team
        refusal = self._identity.refusal
        if transaction is not None and not transaction.is_failed:
            reason = refusal.value if refusal else session_identity.TEAM_CHANGED
            self._abort_for_identity(transaction, reason)
        self._refuse_waiting_statement()

    def _abort_for_identity(
        self, transaction: transactions.Transaction, reason: str
    ) -> None:
        if transaction.abort_reason:
            return
        self._identity.record_abort(reason)
        if self._request is not None and self._router is not None:
            # Its begin hasn't succeeded yet, so nothing ran for it.
            result = requests.Result(None, _Code.ABORTED, reason)
            self._router.finish(self._request, result)
            return
        transaction.abort_reason = reason
        self._runner.release(transaction, self._is_busy)

    def _refuse_waiting_statement(self) -> None:
        """Refuse a statement of a refused caller that wasn't sent yet."""
        refusal, request = self._identity.refusal, self._request
        if refusal is None or request is None or self._router is None:
            return
        if self._router.is_waiting(request):
            self._identity.record_refusal(request.statement)
            result = requests.Result(None, _Code.UNAUTHENTICATED, refusal.value)
            self._router.finish(request, result)
            self.close()

    def _refuse_admitted(self, request: requests.Request) -> bool:
        """Refuse a request whose caller was refused during its admission.

        Nothing was sent for it. A begin ends like that of any other aborted
        transaction, also if the key only went to another team.

        Returns:
            Whether the request was refused.
        """
        transaction, refusal = self._transaction, self._identity.refusal
        if transaction is not None and transaction.abort_reason:
            reason, transaction.abort_reason = transaction.abort_reason, ""
            request.on_end(requests.Result(None, _Code.ABORTED, reason))
            return True
        if refusal is None:
            return False
        self._identity.record_refusal(request.statement)
        request.on_end(
            requests.Result(None, _Code.UNAUTHENTICATED, refusal.value)
        )
        self.close()
        return True

    def _refuse_statement(self, statement: statements.Statement) -> None:
        """Refuse a statement of a refused caller and end the session."""
        self._identity.record_refusal(statement)
        self._write(
            self._encode_refusal() + line_protocol.encode_ready(_State.IDLE)
        )
        self.close()

    def _encode_refusal(self) -> bytes:
        assert self._identity.refusal is not None
        detail = self._identity.refusal.value.encode()
        return line_protocol.encode_error(_Code.UNAUTHENTICATED, detail)

    def _resume_start(self, message: bytes) -> None:
        """Start a session that has waited for the configuration."""
        self._is_busy = False
        if not self._is_closed:
            self._handle_start(message)
            self._serve_queued_messages()

    def _serve_statement(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        self.check_identity()
        transaction = self._transaction
        is_refused = self._identity.refusal is not None
        if is_refused and not (transaction and transaction.abort_reason):
            self._refuse_statement(statement)
            return
        if transaction is not None and transaction.is_failed:
            self._serve_failed(statement, transaction)
            return
        if transaction is not None and transaction.abort_reason:
            self._report_abort(statement, transaction)
            return
        if transaction is None and shutdown.is_refused(
            self._services.phase, statement.kind
        ):
            self._answer_error(statement, _Code.BUSY, STOPPING_DETAIL)
            # The caller's next attempt shouldn't come here.
            self._is_leaving = True
            return
        handler = _HANDLERS[statement.kind]
        handler(self, statement, arrived_s)

    def _serve_failed(
        self,
        statement: statements.Statement,
        transaction: transactions.Transaction,
    ) -> None:
        """Answer a statement in a transaction that has failed."""
        if statement.kind is _Kind.ROLLBACK:
            self._transaction = None
            self._answer_done(_State.IDLE)
        elif statement.kind is _Kind.COMMIT:
            self._transaction = None
            self._answer_error(
                statement, _Code.ABORTED, "the transaction has failed"
            )
        else:
            self._answer_error(
                statement, _Code.MALFORMED, "the transaction has failed"
            )

    def _report_abort(
        self,
        statement: statements.Statement,
        transaction: transactions.Transaction,
    ) -> None:
        """Answer a statement after the host has aborted its transaction."""
        reason, transaction.abort_reason = transaction.abort_reason, ""
        transaction.is_failed = True
        if statement.kind in (_Kind.COMMIT, _Kind.ROLLBACK):
            self._transaction = None
        is_refused = self._identity.refusal is not None
        if statement.kind is _Kind.ROLLBACK and not is_refused:
            self._answer_done(_State.IDLE)
            return
        self._answer_error(statement, _Code.ABORTED, reason)

    # Statements that the host answers itself.

    def _serve_malformed(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        self._answer_error(statement, _Code.MALFORMED, "unknown statement")

    def _serve_set(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        self.values[statement.name] = statement.arguments
        self._answer_done(self._get_state())

    def _serve_prepare(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        self.prepared[statement.name] = statement.arguments
        self._answer_done(self._get_state())

    def _serve_deallocate(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        self.prepared.pop(statement.name, None)
        self._answer_done(self._get_state())

    def _serve_begin(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        if self._transaction is not None:
            self._answer_error(statement, _Code.MALFORMED, "already begun")
            return
        route = self._find_route(statement)
        if route is not None:
            # The target is chosen at the first statement after the begin, so
            # that a caller that pauses in between occupies no connection.
            self._transaction = transactions.Transaction(
                statement, arrived_s, route, inactive_since_s=arrived_s
            )
            self._answer_done(_State.IN_TRANSACTION)

    def _serve_rollback(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        if self._transaction is None:
            self._answer_error(statement, _Code.MALFORMED, "no transaction")
            return
        self._runner.release(self._transaction, self._is_busy, statement.id)
        self._transaction = None
        self._answer_done(_State.IDLE)

    # Statements that a target runs.

    def _serve_forwarded(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        transaction = self._transaction
        is_prepared = statement.name in self.prepared
        if statement.kind is _Kind.EXECUTE and not is_prepared:
            self._answer_error(
                statement, _Code.UNKNOWN_STATEMENT, "not prepared"
            )
            return
        if transaction is None and statement.kind is _Kind.COMMIT:
            self._answer_error(statement, _Code.MALFORMED, "no transaction")
            return
        self._is_busy = True
        if transaction is None:
            self._submit_autocommit(statement, arrived_s)
        elif transaction.connection is None:
            self._submit_begin(transaction, statement, arrived_s)
        else:
            self._run_in_transaction(transaction, statement, arrived_s)

    def _is_write(self, statement: statements.Statement) -> bool:
        if statement.kind is _Kind.EXECUTE:
            return line_protocol.is_write_definition(
                self.prepared[statement.name]
            )
        return statement.kind is _Kind.WRITE

    def _submit_autocommit(
        self, statement: statements.Statement, arrived_s: float
    ) -> None:
        route = self._find_route(statement)
        if route is None:
            self._is_busy = False
            return
        is_write = self._is_write(statement)
        is_primary = route.consistency is model.Consistency.PRIMARY
        need = placement.Requirements(
            is_write or is_primary,
            is_write,
            route.consistency,
            route.max_age_s,
            arrived_s,
            self._own_position,
        )

        def handle_result(result: requests.Result) -> None:
            self._request = None
            if is_write and result.answer and not result.code:
                self._record_own_commit(result.answer)
            self._report_result(statement, route, arrived_s, result)

        self._submit_request(statement, route, need, arrived_s, handle_result)

    def _submit_begin(
        self,
        transaction: transactions.Transaction,
        statement: statements.Statement,
        arrived_s: float,
    ) -> None:
        route = transaction.route
        is_read = transaction.begin.kind is _Kind.BEGIN_READ
        is_primary = route.consistency is model.Consistency.PRIMARY
        need = placement.Requirements(
            not is_read or is_primary,
            False,
            route.consistency,
            route.max_age_s,
            transaction.arrived_s,
            self._own_position,
        )

        def handle_result(result: requests.Result) -> None:
            self._request = None
            if result.connection is None:
                transaction.is_failed = True
                self._report_result(statement, route, arrived_s, result)
                return
            if self._is_closed:
                result.connection.abort()
                return
            transaction.connection = result.connection
            transaction.target = result.target
            self._run_in_transaction(transaction, statement, arrived_s)

        self._submit_request(
            transaction.begin, route, need, arrived_s, handle_result, statement
        )

    def _submit_request(
        self,
        statement: statements.Statement,
        route: model.Route,
        need: placement.Requirements,
        arrived_s: float,
        on_end: requests.Listener,
        next_statement: statements.Statement | None = None,
    ) -> None:
        """Submit a statement, or the begin of the transaction of the next."""
        router = self._services.find_router(route.group)
        if router is None or router.queue_length >= MAX_QUEUED_REQUESTS:
            detail = "too many requests wait; retry after 300 ms"
            on_end(requests.Result(None, _Code.BUSY, detail))
            return
        request = requests.Request(
            self,
            statement,
            need,
            next_statement is not None,
            route.priority,
            arrived_s,
            arrived_s + route.statement_timeout_s,
            self._guard(on_end),
            next_statement=next_statement,
        )
        self._services.quotas.admit(
            self.team,
            statement.id,
            request.deadline_s - clock.get_time_s(),
            self._guard(lambda permit: self._submit(router, request, permit)),
            lambda detail: request.on_end(
                requests.Result(None, _Code.BUSY, detail)
            ),
        )

    def _submit(
        self,
        router: router_module.Router,
        request: requests.Request,
        permit: requests.Permit | None,
    ) -> None:
        """Submit a request that is within its team's limit."""
        if self._is_closed:
            if permit is not None:
                permit.release()
            return
        if self._refuse_admitted(request):
            if permit is not None:
                permit.release()
            return
        request.permit = permit
        self._request = request
        self._router = router
        router.submit(request)

    def _run_in_transaction(
        self,
        transaction: transactions.Transaction,
        statement: statements.Statement,
        arrived_s: float,
    ) -> None:
        is_write = self._is_write(statement)
        self._runner.run(transaction, statement, arrived_s, is_write)

    def _handle_statement_end(
        self,
        transaction: transactions.Transaction,
        statement: statements.Statement,
        arrived_s: float,
        result: requests.Result,
    ) -> None:
        """Report the result of a statement in a transaction to the caller."""
        if statement.kind is _Kind.COMMIT:
            self._transaction = None
            if result.answer and not result.code and transaction.has_written:
                self._record_own_commit(result.answer)
        self._report_result(statement, transaction.route, arrived_s, result)

    def _record_own_commit(self, answer: statements.Answer) -> None:
        position = line_protocol.parse_position(answer.position)
        if position is not None:
            known = self._own_position
            self._own_position = max(known, position) if known else position

    def _abort_transaction(self, reason: str, label: str) -> None:
        transaction = self._transaction
        assert transaction is not None
        self._services.log.write(
            "transaction_aborted", database=self._database, reason=reason
        )
        self._services.counters.increment("transactions_aborted", label)
        self._runner.release(transaction, self._is_busy)
        transaction.abort_reason = reason

    # Answers.

    def _find_route(
        self, statement: statements.Statement
    ) -> model.Route | None:
        route = self._services.catalog.find_route(self._database or "")
        if route is None:
            self._services.counters.increment("refused", "UNKNOWN_DATABASE")
            self._answer_error(
                statement, _Code.UNKNOWN_DATABASE, "no such database"
            )
        return route

    def _get_state(self) -> statements.SessionState:
        if self._transaction is None:
            return _State.IDLE
        if self._transaction.is_failed:
            return _State.FAILED
        return _State.IN_TRANSACTION

    def _answer_done(self, state: statements.SessionState) -> None:
        self._write(
            line_protocol.encode_done() + line_protocol.encode_ready(state)
        )

    def _answer_error(
        self,
        statement: statements.Statement,
        code: statements.Code,
        detail: str,
    ) -> None:
        answers.log_refusal(
            self._services, self._database, statement, code, detail, self.team
        )
        self._write(
            answers.encode_error_answer(
                code, detail.encode(), self._get_state()
            )
        )

    def _report_result(
        self,
        statement: statements.Statement,
        route: model.Route,
        arrived_s: float,
        result: requests.Result,
    ) -> None:
        """Send a result to the caller, log it and serve the next message."""
        self._is_busy = False
        now_s = clock.get_time_s()
        if self._transaction is not None:
            self._transaction.inactive_since_s = now_s
        answers.log_result(
            self._services,
            self._database,
            statement,
            route,
            result,
            now_s - arrived_s,
            self.team,
        )
        if not self._is_closed:
            self._write(answers.encode_result(result, self._get_state()))
            if self._services.phase >= shutdown.Phase.REFUSING:
                self.abort_transaction(STOPPING_REASON)
            self._serve_queued_messages()

    def _write(self, data: bytes) -> None:
        self.idle_since_s = clock.get_time_s()
        transport = self._transport
        if transport is None or self._is_closed:
            return
        transport.write(data)
        if transport.get_write_buffer_size() > MAX_WRITE_BUFFER_BYTES:
            transport.abort()


_HANDLERS = {
    _Kind.MALFORMED: CallerSession._serve_malformed,
    _Kind.SET: CallerSession._serve_set,
    _Kind.PREPARE: CallerSession._serve_prepare,
    _Kind.DEALLOCATE: CallerSession._serve_deallocate,
    _Kind.BEGIN: CallerSession._serve_begin,
    _Kind.BEGIN_READ: CallerSession._serve_begin,
    _Kind.ROLLBACK: CallerSession._serve_rollback,
    _Kind.COMMIT: CallerSession._serve_forwarded,
    _Kind.READ: CallerSession._serve_forwarded,
    _Kind.WRITE: CallerSession._serve_forwarded,
    _Kind.EXECUTE: CallerSession._serve_forwarded,
}
