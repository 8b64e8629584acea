"""The adapter for callers: listener, sessions and cancel requests."""

import hmac
import itertools
import secrets
import ssl
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import structlog
from pygwire import messages

from knapweedtally.callers import answers
from knapweedtally.callers import execution
from knapweedtally.callers import session as session_module
from knapweedtally.callers import stream as stream_module
from knapweedtally.core import effects
from knapweedtally.core import exceptions
from knapweedtally.core import state as state_module
from knapweedtally.core.admission import events as admission_events
from knapweedtally.core.draining import events as draining_events
from knapweedtally.core.sessions import token as token_module
from knapweedtally.metrics import requests
from knapweedtally.runtime import adapters
from knapweedtally.targets import adapter as targets_adapter

_log = structlog.get_logger("callers")
SECRET_KEY_BYTES = 4


class CallersAdapter:
    """Accept caller connections and run their requests.

    Attributes:
        effect_types: the effects that this adapter runs.
    """

    effect_types: tuple[type, ...] = (
        effects.RunStatement,
        effects.DeliverAnswer,
        effects.DeliverError,
        effects.StopAccepting,
        effects.CloseIdleCallers,
        effects.AbortTransactions,
    )

    def __init__(
        self,
        submit: adapters.Submit,
        state: state_module.ProxyState,
        targets: targets_adapter.TargetsAdapter,
        address: tuple[str, int],
        keys: tuple[token_module.SigningKey, ...],
        recorder: requests.Recorder,
        tls_context: ssl.SSLContext | None = None,
    ) -> None:
        self._submit = submit
        self._state = state
        self._address = address
        self._keys = keys
        self._tls_context = tls_context
        self._executor = execution.Executor(submit, state, targets, recorder)
        self._session_ids = itertools.count(1)
        self._sessions: dict[int, session_module.Session] = {}
        self._listen_scope: anyio.CancelScope | None = None
        self._is_closing = False
        self._tasks: anyio.abc.TaskGroup | None = None
        self._connection_count = 0
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            effects.RunStatement: self._executor.deliver_effect,
            effects.DeliverAnswer: self._executor.deliver_effect,
            effects.DeliverError: self._executor.deliver_effect,
            effects.StopAccepting: self._stop_accepting,
            effects.CloseIdleCallers: self._close_idle_callers,
            effects.AbortTransactions: self._abort_transactions,
        }

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen until cancelled."""
        host, port = self._address
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, reuse_port=False
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            with anyio.CancelScope() as scope:
                self._listen_scope = scope
                task_status.started()
                async with listener:
                    await listener.serve(self._serve_connection, tasks)
            await anyio.sleep_forever()

    def run_effect(self, effect: effects.Effect) -> None:
        """Start an effect without waiting for its completion."""
        self._effect_handlers[type(effect)](effect)

    def _stop_accepting(self, effect: effects.StopAccepting) -> None:
        if self._listen_scope is not None:
            self._listen_scope.cancel()

    def _close_idle_callers(self, effect: effects.CloseIdleCallers) -> None:
        self._is_closing = True
        if self._tasks is not None:
            self._tasks.start_soon(self._ask_to_leave, effect.spread_s)
        self._report_callers_gone()

    async def _ask_to_leave(self, spread_s: float) -> None:
        """Ask the open sessions in turn to end."""
        sessions = tuple(self._sessions.values())
        for session in sessions:
            session.close_when_idle()
            await anyio.sleep(spread_s / len(sessions))

    def _abort_transactions(self, effect: effects.AbortTransactions) -> None:
        for session in self._sessions.values():
            session.close_between_requests()

    def _report_callers_gone(self) -> None:
        if self._is_closing and not self._connection_count:
            self._submit(draining_events.CallersGone())

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self._connection_count += 1
        try:
            await self._serve_stream(stream)
        finally:
            self._connection_count -= 1
            self._report_callers_gone()

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        caller_stream = stream_module.CallerStream(stream, self._tls_context)
        async with stream:
            try:
                startup = await caller_stream.receive_startup_message()
                if isinstance(startup, messages.CancelRequest):
                    self._cancel_request(startup)
                    return
                await self._serve_session(caller_stream, startup)
            except exceptions.ProtocolError as error:
                await self._refuse_connection(caller_stream, str(error))
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                OSError,
            ):
                return

    async def _serve_session(
        self,
        stream: stream_module.CallerStream,
        startup: messages.StartupMessage,
    ) -> None:
        session = session_module.Session(
            next(self._session_ids),
            secrets.token_bytes(SECRET_KEY_BYTES),
            stream,
            self._executor,
            self._keys,
            self._state.identity.host,
        )
        self._sessions[session.id] = session
        if self._is_closing:
            session.close_when_idle()
        try:
            await session.serve(startup)
        finally:
            del self._sessions[session.id]
            self._submit(admission_events.SessionEnded(session.id))

    def _cancel_request(self, request: messages.CancelRequest) -> None:
        session = self._sessions.get(request.process_id)
        if session is None:
            return
        if hmac.compare_digest(session.secret_key, request.secret_key):
            self._submit(admission_events.RequestCancelled(session.id))

    async def _refuse_connection(
        self, stream: stream_module.CallerStream, reason: str
    ) -> None:
        _log.warning("callers: refused a malformed message", reason=reason)
        answer = answers.encode_error("08P01", reason, severity="FATAL")
        try:
            await stream.send(answer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
