"""One caller's connection."""

import anyio
from pygwire import messages

from knapweedtally.callers import answers
from knapweedtally.callers import batch as batch_module
from knapweedtally.callers import execution
from knapweedtally.callers import local
from knapweedtally.callers import options as options_module
from knapweedtally.callers import sql
from knapweedtally.callers import stream as stream_module
from knapweedtally.callers import tokens
from knapweedtally.callers import units
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.sessions import token as token_module

# Pause between an answer and the goodbye of a planned stop.
GOODBYE_DELAY_S = 0.1
# Time that a caller gets to close its side after the goodbye.
LINGER_S = 1.0

Kind = sql.StatementKind
RequestKind = admission_state.RequestKind


_EXTENDED_MESSAGES = (
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
        secret: secret that a cancel request has to name.
    """

    def __init__(
        self,
        session_id: int,
        secret: bytes,
        stream: stream_module.CallerStream,
        executor: execution.Executor,
        keys: tuple[token_module.SigningKey, ...],
        host: str,
    ) -> None:
        self.id = session_id
        self.secret = secret
        self.is_idle = True
        self._stream = stream
        self._executor = executor
        self._keys = keys
        self._host = host
        self._options = options_module.Options()
        self._caller = ""
        self._group = ""
        self._tokens = tokens.SessionTokens(keys, "")
        self._status = "I"
        self._is_detached = False
        self._statements: batch_module.PreparedStatements = {}
        self._portals: dict[str, str] = {}
        self._pending_messages: list[messages.FrontendMessage] = []
        self._is_flushing = False
        self._is_skipping = False
        self._is_ending = False
        self._waiting: anyio.CancelScope | None = None

    @property
    def is_quiet(self) -> bool:
        """Return whether nothing is running or open."""
        return self.is_idle and self._status == "I"

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
        welcome = answers.encode_welcome(self.id, self.secret, self._host)
        if self._tokens.has_valid_token:
            welcome += self._encode_token()
        await self._stream.send(welcome)
        await self._serve_messages()
        if self._is_ending:
            await self._say_goodbye()

    def end_when_quiet(self) -> None:
        """End the connection once nothing is running or open on it."""
        self._is_ending = True
        if self.is_quiet and self._waiting is not None:
            self._waiting.cancel()

    async def _serve_messages(self) -> None:
        """Take messages until the caller or a planned stop ends it.

        The scope is cancelled only while the session is quiet, which is while
        it waits for a message.
        """
        with anyio.CancelScope() as scope:
            self._waiting = scope
            while not (self._is_ending and self.is_quiet):
                message = await self._stream.receive_message()
                if message is None or isinstance(message, messages.Terminate):
                    return
                self.is_idle = False
                await self._take_message(message)
                self.is_idle = not self._pending_messages
        self._waiting = None
        await self._await_last_request()

    async def _await_last_request(self) -> None:
        """Wait for a moment before the goodbye of a planned stop.

        A goodbye right behind an answer would reach clients of libpq together
        with it and be dropped as a notice. A request that comes meanwhile is
        not run: the goodbye is its answer.
        """
        with anyio.move_on_after(GOODBYE_DELAY_S):
            await self._stream.receive_message()

    async def _say_goodbye(self) -> None:
        await self._stream.send(
            answers.encode_error(
                "57P01",
                "this entry host is stopping",
                hint="connect again",
                severity="FATAL",
            )
        )
        # Closing with unread bytes would reset the connection, and the caller
        # might never read the goodbye.
        with anyio.move_on_after(LINGER_S):
            await self._stream.half_close()

    async def _take_message(self, message: messages.FrontendMessage) -> None:
        if isinstance(message, messages.Query):
            text = message.query_string
            statement = sql.classify(text)
            request = units.CallerRequest(
                batch_module.SimpleBatch(text), [statement], False, []
            )
            await self._handle_request(request)
        elif isinstance(message, messages.Sync):
            self._is_skipping = False
            pending, self._pending_messages = self._pending_messages, []
            await self._run_messages(pending)
        elif isinstance(message, messages.Flush):
            await self._flush()
        elif self._is_skipping:
            return
        elif isinstance(message, _EXTENDED_MESSAGES):
            self._pending_messages.append(message)
            if isinstance(message, messages.Parse):
                self._statements[message.statement] = message
        else:
            await self._refuse("0A000", f"{type(message).__name__} messages")

    async def _flush(self) -> None:
        """Answer messages that only prepare or describe, before the Sync.

        A batch that binds waits for its Sync, which ends its portals and
        its implicit transaction.
        """
        if not self._pending_messages or not local.is_preparation(
            self._pending_messages
        ):
            return
        pending, self._pending_messages = self._pending_messages, []
        self._is_flushing = True
        try:
            await self._run_messages(pending)
        finally:
            self._is_flushing = False

    def _encode_ready(self, status: str) -> bytes:
        """Return ReadyForQuery; nothing while answering a Flush."""
        if self._is_flushing:
            return b""
        return answers.encode_ready(status)

    def _note_failure(self) -> None:
        """Skip messages up to the next Sync after an error in a Flush."""
        self._is_skipping = self._is_flushing

    async def _run_messages(
        self, frontend_messages: list[messages.FrontendMessage]
    ) -> None:
        if not frontend_messages:
            await self._stream.send(self._encode_ready(self._status))
            return
        if self._status == "I" and local.is_local_batch(frontend_messages):
            answer = local.answer_local_batch(
                frontend_messages, self._statements
            )
            await self._stream.send(answer + self._encode_ready("I"))
            return
        statements = batch_module.classify_messages(
            frontend_messages, self._statements, self._portals
        )
        batch = batch_module.ExtendedBatch(frontend_messages, self._statements)
        await self._handle_request(
            units.CallerRequest(batch, statements, True, frontend_messages)
        )

    async def _handle_request(self, request: units.CallerRequest) -> None:
        statement = units.combine_statements(request.statements)
        if self._is_detached and not units.ends_transaction(statement):
            await self._refuse(
                "25P02", "transaction was lost; commands wait for ROLLBACK"
            )
            return
        if self._is_detached:
            self._status = "I"
            self._is_detached = False
            await self._answer_locally(
                request, answers.encode_complete("ROLLBACK")
            )
            return
        if statement.kind in local.LOCAL_KINDS:
            await self._run_locally(request, statement)
            return
        kind = units.find_request_kind(statement, self._status != "I")
        if kind is None:
            await self._refuse("0A000", "this statement through the proxy")
            return
        if units.ends_transaction(statement) and self._status == "I":
            tag = kind.value.upper()
            await self._answer_locally(request, answers.encode_complete(tag))
            return
        await self._run_request(request, statement, kind)

    async def _run_request(
        self,
        request: units.CallerRequest,
        statement: sql.Statement,
        kind: RequestKind,
    ) -> None:
        key = ""
        if kind in units.KEYED_KINDS:
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
        self, request: units.CallerRequest, result: execution.ExecutionResult
    ) -> None:
        frames = list(request.batch.filter_answer(result.frames))
        if request.is_extended and result.is_replayed:
            frames = [
                local.encode_empty_responses(request.frontend_messages),
                *frames,
            ]
        self._status = result.status
        if result.is_error:
            self._note_failure()
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
        self._note_failure()
        if self._status != "I" and kind is not RequestKind.COMMIT:
            self._is_detached = True
            self._status = "E"
        else:
            self._status = "I"
        if kind is RequestKind.ROLLBACK:
            # The connection is closed, so the rollback has happened.
            self._is_detached = False
            self._status = "I"
            answer = answers.encode_complete("ROLLBACK")
        else:
            answer = answers.encode_refusal(refusal)
        await self._stream.send(answer + self._encode_ready(self._status))

    async def _run_locally(
        self, request: units.CallerRequest, statement: sql.Statement
    ) -> None:
        try:
            answer = local.run_statement(statement, self._options)
        except options_module.OptionError as error:
            await self._stream.send(
                answers.encode_error("22023", str(error))
                + self._encode_ready(self._fail_status())
            )
            return
        if statement.name == options_module.PREFIX + "token":
            self._load_token()
            answer += self._encode_token()
        await self._answer_locally(request, answer)

    async def _answer_locally(
        self, request: units.CallerRequest, answer: bytes
    ) -> None:
        if request.is_extended:
            answer = (
                local.encode_empty_responses(request.frontend_messages) + answer
            )
        ready = self._encode_ready(self._status)
        await self._stream.send(answer + ready)

    async def _refuse(self, sqlstate: str, what: str) -> None:
        self._note_failure()
        message = what
        if sqlstate == "0A000":
            message = f"{what}: not supported"
        await self._stream.send(
            answers.encode_error(sqlstate, message)
            + self._encode_ready(self._fail_status())
        )

    def _fail_status(self) -> str:
        """Return the status after an error of the proxy's own.

        Inside a transaction the target hasn't seen the error, so the
        transaction goes on.
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
        """Close the connection."""
        await anyio.aclose_forcefully(self._stream.stream)
