"""The session of one caller's connection."""

import anyio
from pygwire import messages

from knapweedtally.callers import answers
from knapweedtally.callers import batch as batch_module
from knapweedtally.callers import caller_requests
from knapweedtally.callers import execution
from knapweedtally.callers import local_statements
from knapweedtally.callers import options as options_module
from knapweedtally.callers import sql
from knapweedtally.callers import stream as stream_module
from knapweedtally.callers import tokens
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.sessions import token as token_module

# Delay between the last answer and the shutdown error of a planned stop.
SHUTDOWN_ERROR_DELAY_S = 0.1
# Time limit for the caller to close its side after the shutdown error.
CLOSE_TIMEOUT_S = 1.0

Kind = sql.StatementKind
RequestKind = admission_state.RequestKind


_EXTENDED_QUERY_MESSAGES = (
    messages.Parse,
    messages.Bind,
    messages.Describe,
    messages.Execute,
    messages.Close,
)


class Session:
    """Serve one caller from startup to the end of its connection.

    Attributes:
        id: id of the session, unique on this host.
        secret_key: key that a cancel request for the session has to carry.
        is_between_requests: whether no request is running or partly received.
    """

    def __init__(
        self,
        session_id: int,
        secret_key: bytes,
        stream: stream_module.CallerStream,
        executor: execution.Executor,
        keys: tuple[token_module.SigningKey, ...],
        host: str,
    ) -> None:
        self.id = session_id
        self.secret_key = secret_key
        self.is_between_requests = True
        self._stream = stream
        self._executor = executor
        self._keys = keys
        self._host = host
        self._options = options_module.Options()
        self._caller = ""
        self._group = ""
        self._tokens = tokens.SessionTokens(keys, "")
        self._status = "I"
        self._is_transaction_lost = False
        self._statements: batch_module.PreparedStatements = {}
        self._portals: dict[str, str] = {}
        self._pending_messages: list[messages.FrontendMessage] = []
        self._is_answering_flush = False
        self._is_skipping_to_sync = False
        self._is_closing = False
        self._is_aborting = False
        self._receive_scope: anyio.CancelScope | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is in flight and no transaction is open."""
        return self.is_between_requests and self._status == "I"

    async def serve(self, startup: messages.StartupMessage) -> None:
        """Answer the caller's messages until its connection ends.

        Raises:
            ProtocolError: a message is malformed.
        """
        self._caller = startup.params.get("user", "")
        self._group = startup.params.get("database", self._caller)
        self._tokens = tokens.SessionTokens(self._keys, self._caller)
        try:
            self._options = options_module.parse_startup(startup.params)
        except options_module.OptionError as error:
            await self._stream.send(
                answers.encode_error("22023", str(error), severity="FATAL")
            )
            return
        self._load_token()
        startup_response = answers.encode_startup_response(
            self.id, self.secret_key, self._host
        )
        if self._tokens.has_valid_token:
            startup_response += self._encode_token()
        await self._stream.send(startup_response)
        await self._serve_messages()
        if self._is_closing:
            await self._send_shutdown_error()

    def close_when_idle(self) -> None:
        """Close the connection as soon as the session is idle."""
        self._is_closing = True
        if self.is_idle and self._receive_scope is not None:
            self._receive_scope.cancel()

    def close_between_requests(self) -> None:
        """Close the connection once no request runs, with its transaction."""
        self._is_closing = self._is_aborting = True
        if self.is_between_requests and self._receive_scope is not None:
            self._receive_scope.cancel()

    def _is_over(self) -> bool:
        """Return whether the planned stop ends the session now."""
        is_aborted = self._is_aborting and self.is_between_requests
        return is_aborted or (self._is_closing and self.is_idle)

    async def _serve_messages(self) -> None:
        """Handle messages until the caller or a planned stop ends the session.

        The scope is cancelled only between requests, which means that the
        session waits for a message.
        """
        with anyio.CancelScope() as scope:
            self._receive_scope = scope
            while not self._is_over():
                message = await self._stream.receive_message()
                if message is None or isinstance(message, messages.Terminate):
                    return
                self.is_between_requests = False
                await self._handle_message(message)
                self.is_between_requests = not self._pending_messages
        self._receive_scope = None
        await self._delay_shutdown_error()

    async def _delay_shutdown_error(self) -> None:
        """Wait before the shutdown error of a planned stop.

        A shutdown error sent right after an answer would reach libpq clients
        together with that answer, and libpq would discard it as a notice. A
        request that arrives during the delay is not run; the shutdown error
        answers it.
        """
        with anyio.move_on_after(SHUTDOWN_ERROR_DELAY_S):
            await self._stream.receive_message()

    async def _send_shutdown_error(self) -> None:
        await self._stream.send(
            answers.encode_error(
                "57P01",
                "this entry host is stopping",
                hint="connect again",
                severity="FATAL",
            )
        )
        # Closing with unread input would reset the connection, and the caller
        # might never receive the error.
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self._stream.half_close()

    async def _handle_message(self, message: messages.FrontendMessage) -> None:
        if isinstance(message, messages.Query):
            text = message.query_string
            statement = sql.classify_statement(text)
            request = caller_requests.CallerRequest(
                batch_module.SimpleBatch(text), [statement], False, []
            )
            await self._handle_request(request)
        elif isinstance(message, messages.Sync):
            self._is_skipping_to_sync = False
            pending, self._pending_messages = self._pending_messages, []
            await self._run_messages(pending)
        elif isinstance(message, messages.Flush):
            await self._handle_flush()
        elif self._is_skipping_to_sync:
            return
        elif isinstance(message, _EXTENDED_QUERY_MESSAGES):
            self._pending_messages.append(message)
            if isinstance(message, messages.Parse):
                self._statements[message.statement] = message
        else:
            await self._refuse_request(
                "0A000", f"{type(message).__name__} messages"
            )

    async def _handle_flush(self) -> None:
        """Answer pending Parse, Describe and Close messages before the Sync.

        A batch with other messages waits for its Sync, which ends its portals
        and its implicit transaction.
        """
        if not self._pending_messages or not local_statements.is_preparation(
            self._pending_messages
        ):
            return
        pending, self._pending_messages = self._pending_messages, []
        self._is_answering_flush = True
        try:
            await self._run_messages(pending)
        finally:
            self._is_answering_flush = False

    def _encode_ready(self, status: str) -> bytes:
        """Return ReadyForQuery, or nothing while answering a Flush."""
        if self._is_answering_flush:
            return b""
        return answers.encode_ready(status)

    def _skip_after_flush_error(self) -> None:
        """Discard messages up to the next Sync if a Flush ended in an error."""
        self._is_skipping_to_sync = self._is_answering_flush

    async def _run_messages(
        self, frontend_messages: list[messages.FrontendMessage]
    ) -> None:
        if not frontend_messages:
            await self._stream.send(self._encode_ready(self._status))
            return
        if self._status == "I" and local_statements.is_local_batch(
            frontend_messages
        ):
            answer = local_statements.answer_local_batch(
                frontend_messages, self._statements
            )
            await self._stream.send(answer + self._encode_ready("I"))
            return
        statements = batch_module.classify_messages(
            frontend_messages, self._statements, self._portals
        )
        batch = batch_module.ExtendedBatch(frontend_messages, self._statements)
        await self._handle_request(
            caller_requests.CallerRequest(
                batch, statements, True, frontend_messages
            )
        )

    async def _handle_request(
        self, request: caller_requests.CallerRequest
    ) -> None:
        statement = caller_requests.combine_statements(request.statements)
        if self._is_transaction_lost and not caller_requests.ends_transaction(
            statement
        ):
            await self._refuse_request(
                "25P02", "transaction was lost; commands wait for ROLLBACK"
            )
            return
        if self._is_transaction_lost:
            self._status = "I"
            self._is_transaction_lost = False
            await self._answer_locally(
                request, answers.encode_complete("ROLLBACK")
            )
            return
        if statement.kind in local_statements.LOCAL_KINDS:
            await self._run_locally(request, statement)
            return
        kind = caller_requests.find_request_kind(statement, self._status != "I")
        if kind is None:
            await self._refuse_request(
                "0A000", "this statement through the proxy"
            )
            return
        if caller_requests.ends_transaction(statement) and self._status == "I":
            tag = kind.value.upper()
            await self._answer_locally(request, answers.encode_complete(tag))
            return
        await self._run_request(request, statement, kind)

    async def _run_request(
        self,
        request: caller_requests.CallerRequest,
        statement: sql.Statement,
        kind: RequestKind,
    ) -> None:
        key = ""
        if kind in caller_requests.KEYED_KINDS:
            key = self._options.idempotency_key
            self._options.idempotency_key = ""
        execution_request = execution.ExecutionRequest(
            self.id,
            self._caller,
            self._group,
            kind,
            self._options.max_age_ms,
            statement.tables,
            self._tokens.get_position(self._group),
            key,
            request.batch,
        )
        result = await self._executor.execute(execution_request)
        if result.refusal is not None:
            await self._send_refusal(kind, result.refusal)
            return
        await self._send_result(request, result)

    async def _send_result(
        self,
        request: caller_requests.CallerRequest,
        result: execution.ExecutionResult,
    ) -> None:
        frames = list(request.batch.filter_answer(result.frames))
        if request.is_extended and result.is_replayed:
            frames = [
                local_statements.encode_empty_responses(
                    request.frontend_messages
                ),
                *frames,
            ]
        self._status = result.status
        if result.is_error:
            self._skip_after_flush_error()
        answer = b"".join(frames)
        if result.position is not None:
            self._tokens.advance_position(self._group, result.position)
            answer += self._encode_token()
        answer += answers.encode_parameter(
            "knapweedtally.decision", result.decision
        )
        await self._stream.send(answer + self._encode_ready(self._status))

    async def _send_refusal(
        self, kind: RequestKind, refusal: execution.Refusal
    ) -> None:
        self._skip_after_flush_error()
        if self._status != "I" and kind is not RequestKind.COMMIT:
            self._is_transaction_lost = True
            self._status = "E"
        else:
            self._status = "I"
        if kind is RequestKind.ROLLBACK:
            # The closed target connection has rolled back the transaction.
            self._is_transaction_lost = False
            self._status = "I"
            answer = answers.encode_complete("ROLLBACK")
        else:
            answer = answers.encode_refusal(refusal)
        await self._stream.send(answer + self._encode_ready(self._status))

    async def _run_locally(
        self, request: caller_requests.CallerRequest, statement: sql.Statement
    ) -> None:
        try:
            answer = local_statements.run_statement(statement, self._options)
        except options_module.OptionError as error:
            await self._stream.send(
                answers.encode_error("22023", str(error))
                + self._encode_ready(self._get_status_after_error())
            )
            return
        if statement.name == options_module.PREFIX + "token":
            self._load_token()
            answer += self._encode_token()
        await self._answer_locally(request, answer)

    async def _answer_locally(
        self, request: caller_requests.CallerRequest, answer: bytes
    ) -> None:
        if request.is_extended:
            answer = (
                local_statements.encode_empty_responses(
                    request.frontend_messages
                )
                + answer
            )
        ready = self._encode_ready(self._status)
        await self._stream.send(answer + ready)

    async def _refuse_request(self, sqlstate: str, text: str) -> None:
        self._skip_after_flush_error()
        message = text
        if sqlstate == "0A000":
            message = f"{text}: not supported"
        await self._stream.send(
            answers.encode_error(sqlstate, message)
            + self._encode_ready(self._get_status_after_error())
        )

    def _get_status_after_error(self) -> str:
        """Return the transaction status after an error raised by the proxy.

        The target hasn't seen the error, so an open transaction continues.
        """
        return self._status

    def _load_token(self) -> None:
        if self._options.token:
            self._tokens.load_token(self._options.token)

    def _encode_token(self) -> bytes:
        self._options.token = self._tokens.encode_token()
        return answers.encode_parameter(
            "knapweedtally.token", self._options.token
        )

    async def close(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream.stream)
