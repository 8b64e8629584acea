"""TCP server of an instance: accepts sessions and shuts down."""

import signal
from collections.abc import AsyncIterator

import anyio
import anyio.abc
import structlog

from standins.target import replication
from standins.target import session as sessions
from standins.target import target as targets

# Maximum time that open transactions may take to end after a stop signal.
STOP_TIMEOUT_S = 5.0
STOP_CHECK_INTERVAL_S = 0.05
LISTEN_BACKLOG = 1024

_logger = structlog.get_logger()


class Server:
    """Server of one instance on its address."""

    def __init__(self, target: targets.Target) -> None:
        """Create a server that does not listen yet."""
        self._target = target
        self._sessions: dict[int, sessions.Session] = {}
        self._last_process_id = 0
        self._is_stopping = False

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until SIGTERM or SIGINT; report started once listening."""
        address = self._target.settings.address
        listener = await anyio.create_tcp_listener(
            local_host=address.host,
            local_port=address.port,
            backlog=LISTEN_BACKLOG,
            reuse_port=False,
        )
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as received:
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(replication.Replicator(self._target).run)
                tasks.start_soon(listener.serve, self._serve_connection)
                tasks.start_soon(self._stop_on_signal, received, tasks)
                _logger.info("target: listening", **address._asdict())
                task_status.started()
        _logger.info("target: stopped")

    async def _stop_on_signal(
        self,
        received: AsyncIterator[signal.Signals],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Stop on the first signal after open transactions have ended."""
        async for _ in received:
            break
        self._is_stopping = True
        with anyio.move_on_after(STOP_TIMEOUT_S):
            for session in list(self._sessions.values()):
                session.stop()
            while self._has_reachable_client():
                await anyio.sleep(STOP_CHECK_INTERVAL_S)
        tasks.cancel_scope.cancel()

    def _has_reachable_client(self) -> bool:
        is_cut_off = self._target.faults.is_cut_off
        return any(
            not is_cut_off(item.peer) for item in self._sessions.values()
        )

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            self._last_process_id += 1
            process_id = self._last_process_id
            session = sessions.Session(
                self._target, stream, process_id, self._cancel_statement
            )
            if self._is_stopping or self._target.faults.is_refusing(
                session.peer
            ):
                return
            self._sessions[process_id] = session
            try:
                await session.serve()
            except Exception:
                # An error in one session must not end the others.
                _logger.exception("target: session failed")
            finally:
                del self._sessions[process_id]

    def _cancel_statement(self, process_id: int, secret: bytes) -> None:
        session = self._sessions.get(process_id)
        if session is not None and session.secret == secret:
            session.cancel()
