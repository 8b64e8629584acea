"""Statements of other hosts that reach a target through this one.

The other host speaks the targets' own protocol here, so to it this is a
connection like any other. A connection to the target is used only while a
statement or a transaction runs.
"""

import asyncio
import collections
import socket
import typing
from collections.abc import Callable

from knapweedtally.core.groups import statements
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import pools
from knapweedtally.platform import lines

# Time that a statement may wait here for a connection, in seconds; callers
# wait for no statement longer.
WAIT_LIMIT_S = 2.0

# Time for the answer to a statement, in seconds. The other host gives up
# sooner, by the caller's own limit, and closes its connection.
RUN_LIMIT_S = 8.0

_Kind = statements.Kind
_State = statements.SessionState

FindPool = Callable[[str, str], pools.Pool | None]


class RelaySession(asyncio.Protocol):
    """Serve one connection of another host to one target.

    Attributes:
        values: session values by name.
        prepared: definitions of prepared statements by name.
    """

    def __init__(
        self, find_pool: FindPool, sessions: "set[RelaySession]"
    ) -> None:
        """Make a session that waits for its first message.

        Args:
            find_pool: returns the pool of a group's target that this host
                holds connections to, or None.
            sessions: the open sessions, kept up to date.
        """
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, bytes] = {}
        self._find_pool = find_pool
        self._sessions = sessions
        self._buffer = lines.LineBuffer()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._pool: pools.Pool | None = None
        self._held: connections.Connection | None = None
        self._running: connections.Connection | None = None
        self._is_busy = False
        self._is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the session."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            connections.TCP_USER_TIMEOUT_MS,
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._sessions.add(self)

    def data_received(self, data: bytes) -> None:
        """Queue the messages that are complete and serve the first."""
        try:
            self._waiting.extend(self._buffer.feed(data))
        except lines.BrokenLine:
            self.abort()
            return
        self._serve_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """End what the other host left open."""
        self._end()

    def is_resting(self) -> bool:
        """Tell whether no statement and no transaction is open."""
        return not self._is_busy and not self._waiting and self._held is None

    def abort(self) -> None:
        """Close the connection at once: what happened is not known here."""
        if self._transport is not None:
            self._transport.abort()
        self._end()

    def close(self) -> None:
        """Close the connection in the ordinary way."""
        if self._transport is not None:
            self._transport.close()
        self._end()

    def _end(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._waiting.clear()
        self._sessions.discard(self)
        if self._running is not None:
            # Nobody waits for the answer any more; closing rolls back.
            self._running.abort()
        elif self._held is not None and not self._held.is_closed:
            self._held.release(lines.OWN_ID, pools.CONTROL_TIMEOUT_S)
        self._held = self._running = None

    def _serve_next(self) -> None:
        while self._waiting and not self._is_busy and not self._is_closed:
            message = self._waiting.popleft()
            if self._pool is None:
                self._start(message)
            elif lines.is_goodbye(message):
                self.close()
            else:
                self._serve(message)

    def _start(self, message: bytes) -> None:
        target = lines.parse_target_start(message)
        pool = self._find_pool(*target) if target is not None else None
        if pool is None:
            self._refuse(statements.Code.WRONG_TARGET)
            return
        self._pool = pool
        self._is_busy = True
        pool.call_when_open(self._note_open)

    def _note_open(self, is_open: bool) -> None:
        self._is_busy = False
        if self._is_closed:
            return
        if not is_open:
            self._refuse(statements.Code.FAILED)
            return
        self._write(lines.encode_ready(_State.IDLE))
        self._serve_next()

    def _refuse(self, code: statements.Code) -> None:
        self._write(lines.encode_error(code, b"not reached from here"))
        self.close()

    def _serve(self, message: bytes) -> None:
        split = lines.split_query(message)
        if split is None:
            self.abort()
            return
        id_, text = split
        if lines.is_control(text):
            self._ask(text)
            return
        position, bare = lines.split_position(text)
        statement = lines.parse_statement(id_, bare)
        if lines.is_reset(text):
            self.values.clear()
            self.prepared.clear()
            self._write_done()
        elif statement.kind in _LOCAL:
            _LOCAL[statement.kind](self, statement)
            self._write_done()
        else:
            self._forward(statement, position)

    def _set(self, statement: statements.Statement) -> None:
        self.values[statement.name] = statement.rest

    def _prepare(self, statement: statements.Statement) -> None:
        self.prepared[statement.name] = statement.rest

    def _deallocate(self, statement: statements.Statement) -> None:
        self.prepared.pop(statement.name, None)

    def _ask(self, text: bytes) -> None:
        """Send a control statement on any connection."""
        assert self._pool is not None
        self._is_busy = True

        def note_end(outcome: connections.Outcome) -> None:
            self._is_busy = False
            if outcome.answer is None:
                self.abort()
                return
            self._write_answer(outcome.answer, _State.IDLE)
            self._serve_next()

        self._pool.ask(text, note_end, pools.CONTROL_TIMEOUT_S)

    def _forward(
        self, statement: statements.Statement, position: bytes
    ) -> None:
        assert self._pool is not None
        is_known = statement.name in self.prepared
        if statement.kind is _Kind.EXECUTE and not is_known:
            code = statements.Code.UNKNOWN_STATEMENT
            self._write(
                lines.encode_error(code, b"not prepared")
                + lines.encode_ready(self._get_state())
            )
            return
        self._is_busy = True
        if self._held is not None:
            self._run(self._held, statement, position)
            return
        self._pool.call_when_idle(
            self.values,
            lambda connection: self._run_or_refuse(
                connection, statement, position
            ),
            clock.get_time_s() + WAIT_LIMIT_S,
        )

    def _run_or_refuse(
        self,
        connection: connections.Connection | None,
        statement: statements.Statement,
        position: bytes,
    ) -> None:
        if self._is_closed:
            return
        if connection is None:
            self._is_busy = False
            code = statements.Code.BUSY
            self._write(
                lines.encode_error(code, b"no connection in time")
                + lines.encode_ready(_State.IDLE)
            )
            self._serve_next()
            return
        self._run(connection, statement, position)

    def _run(
        self,
        connection: connections.Connection,
        statement: statements.Statement,
        position: bytes,
    ) -> None:
        if connection.is_closed:
            self.abort()
            return
        self._running = connection

        def add_position(text: bytes) -> bytes:
            return position + text

        def note_end(outcome: connections.Outcome) -> None:
            self._note_end(connection, outcome)

        if statement.kind in (_Kind.BEGIN, _Kind.BEGIN_READ):
            connection.is_held = True
            text = add_position(statement.text)
            connection.send(statement.id, text, note_end, RUN_LIMIT_S)
        else:
            connection.run(self, statement, add_position, note_end, RUN_LIMIT_S)

    def _note_end(
        self, connection: connections.Connection, outcome: connections.Outcome
    ) -> None:
        self._is_busy = False
        self._running = None
        answer = outcome.answer
        if answer is None:
            self._held = None
            self.abort()
            return
        is_over = answer.state is _State.IDLE
        connection.is_held = not is_over
        self._held = None if is_over else connection
        if self._is_closed:
            return
        self._write_answer(answer, answer.state)
        self._serve_next()

    def _get_state(self) -> statements.SessionState:
        return _State.IDLE if self._held is None else _State.IN_TRANSACTION

    def _write_done(self) -> None:
        self._write(lines.encode_done() + lines.encode_ready(self._get_state()))

    def _write_answer(
        self, answer: statements.Answer, state: statements.SessionState
    ) -> None:
        if answer.code is None:
            data = answer.rows + lines.encode_done(answer.signature or b"-")
        else:
            data = lines.encode_error(answer.code, answer.detail)
        self._write(data + lines.encode_ready(state, answer.position))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._is_closed:
            self._transport.write(data)


_LOCAL = {
    _Kind.SET: RelaySession._set,
    _Kind.PREPARE: RelaySession._prepare,
    _Kind.DEALLOCATE: RelaySession._deallocate,
}
