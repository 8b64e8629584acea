"""The edge towards callers: listener, sessions and cancel requests."""

import hmac
import itertools
import secrets

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
from knapweedtally.core.sessions import token as token_module
from knapweedtally.runtime import edges
from knapweedtally.targets import edge as targets_edge

_log = structlog.get_logger("callers")
SECRET_LENGTH = 4


class CallersEdge:
    """Accept callers and carry their requests.

    Attributes:
        effect_types: the effects that this edge runs.
    """

    effect_types: tuple[type, ...] = (
        effects.RunStatement,
        effects.DeliverAnswer,
        effects.DeliverError,
    )

    def __init__(
        self,
        submit: edges.Submit,
        state: state_module.ProxyState,
        targets: targets_edge.TargetsEdge,
        address: tuple[str, int],
        keys: tuple[token_module.SigningKey, ...],
    ) -> None:
        self._submit = submit
        self._state = state
        self._address = address
        self._keys = keys
        self._executor = execution.Executor(submit, state, targets)
        self._ids = itertools.count(1)
        self._sessions: dict[int, session_module.Session] = {}

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
        task_status.started()
        async with listener:
            await listener.serve(self._serve_connection)

    def run_effect(self, effect: effects.Effect) -> None:
        """Hand an effect to the session that waits for it."""
        if isinstance(
            effect,
            effects.RunStatement | effects.DeliverAnswer | effects.DeliverError,
        ):
            self._executor.deliver(effect)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        caller_stream = stream_module.CallerStream(stream)
        async with stream:
            try:
                startup = await caller_stream.receive_startup()
                if isinstance(startup, messages.CancelRequest):
                    self._cancel(startup)
                    return
                await self._serve_session(caller_stream, startup)
            except exceptions.ProtocolError as error:
                await self._refuse(caller_stream, str(error))
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
            next(self._ids),
            secrets.token_bytes(SECRET_LENGTH),
            stream,
            self._executor,
            self._keys,
            self._state.identity.host,
        )
        self._sessions[session.id] = session
        try:
            await session.serve(startup)
        finally:
            del self._sessions[session.id]
            self._submit(admission_events.SessionEnded(session.id))

    def _cancel(self, request: messages.CancelRequest) -> None:
        session = self._sessions.get(request.process_id)
        if session is None:
            return
        if hmac.compare_digest(session.secret, request.secret_key):
            self._submit(admission_events.RequestCancelled(session.id))

    async def _refuse(
        self, stream: stream_module.CallerStream, reason: str
    ) -> None:
        _log.warning("callers: refused a malformed message", reason=reason)
        answer = answers.encode_error("08P01", reason, severity="FATAL")
        try:
            await stream.send(answer)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
