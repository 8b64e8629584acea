"""Relaying of other hosts' statements to a target.

The other host uses the targets' line protocol, so it treats a connection to
this host like one to the target. A connection to the target is used only
while a statement or a transaction runs.
"""

import asyncio
import collections
import functools
import socket
import typing
from collections.abc import Callable
from typing import ParamSpec

from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import half_close
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pools
from knapweedtally.platform import line_protocol

# Time that a statement may wait for a connection to the target, in seconds.
# No caller waits longer for a statement.
CONNECTION_TIMEOUT_S = 2.0

# Time for the answer to a statement, in seconds. The other host applies the
# caller's shorter timeout and then closes its connection.
STATEMENT_TIMEOUT_S = 8.0

# A waiting statement of a team is refused this long before its sender stops
# waiting, in seconds: two of the periodic checks that drop overdue statements.
# The refusal proves that the statement did not run.
REFUSAL_MARGIN_S = 0.1

_Kind = statements.Kind
_State = statements.SessionState

_Parameters = ParamSpec("_Parameters")

GetConfiguration = Callable[[], bytes | None]
FindPool = Callable[[str, str], pools.Pool | None]


class RelaySession(asyncio.Protocol):
    """Relay one connection of another host to one target.

    Attributes:
        values: session values by name.
        prepared: definitions of prepared statements by name.
        team: name of the team whose statements follow, or empty.
    """

    def __init__(
        self,
        find_pool: FindPool,
        sessions: "set[RelaySession]",
        get_configuration: GetConfiguration = lambda: None,
        is_stopping: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create a session that waits for its first message.

        Args:
            find_pool: returns the pool for the name of a group and the id of
                a target, or None if this host doesn't connect to the target
                directly.
            sessions: the open sessions, which this one joins and leaves.
            get_configuration: returns the configuration to send to a host
                that asks for it, or None.
            is_stopping: returns whether this host's planned stop was requested.
        """
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, bytes] = {}
        self.team = ""
        self._priority = 0
        self._deadline_s: float | None = None
        self._find_pool = find_pool
        self._sessions = sessions
        self._get_configuration = get_configuration
        self._is_stopping = is_stopping
        self._buffer = line_protocol.MessageBuffer()
        self._messages: collections.deque[bytes] = collections.deque()
        self._transport: asyncio.Transport | None = None
        self._pool: pools.Pool | None = None
        self._held_connection: connections.Connection | None = None
        self._running_connection: connections.Connection | None = None
        self._is_busy = False
        self._is_waiting = False
        self._is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the session."""
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            line_connections.TCP_USER_TIMEOUT_MS,
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        self._sessions.add(self)

    def data_received(self, data: bytes) -> None:
        """Queue the complete messages and serve the first one."""
        if not supervision.contain("relay session", self._receive, data):
            self.abort()

    def _guard(
        self, function: Callable[_Parameters, object]
    ) -> Callable[_Parameters, None]:
        """Return a callback that closes this connection if it fails."""
        return supervision.guard("relay session", function, self.abort)

    def _receive(self, data: bytes) -> None:
        try:
            self._messages.extend(self._buffer.feed(data))
        except line_protocol.MalformedMessage:
            self.abort()
            return
        self._serve_next()

    def connection_lost(self, exc: Exception | None) -> None:
        """Roll back what the other host left open."""
        self._clean_up()

    @property
    def pool(self) -> pools.Pool | None:
        """Return the pool that the other host uses, None before its start."""
        return self._pool

    def is_idle(self) -> bool:
        """Return whether no statement and no transaction is open."""
        return (
            not self._is_busy
            and not self._messages
            and self._held_connection is None
        )

    def abort(self) -> None:
        """Close the connection at once, since an outcome is unknown."""
        if self._transport is not None:
            self._transport.abort()
        self._clean_up()

    def refuse_waiting(self) -> None:
        """Refuse a statement that waits for a connection to the target."""
        if self._is_waiting:
            self._refuse_statement(b"")

    def _end(self) -> None:
        """End the connection after an answer to another host."""
        if self._transport is not None:
            half_close.end(self._transport)
        self._clean_up()

    def close(self) -> None:
        """Close the connection gracefully."""
        if self._transport is not None:
            self._transport.close()
        self._clean_up()

    def _clean_up(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._messages.clear()
        self._sessions.discard(self)
        if self._running_connection is not None:
            # No one waits for the answer any more. Closing the connection
            # makes the target roll back.
            self._running_connection.abort()
        elif (
            self._held_connection is not None
            and not self._held_connection.is_closed
        ):
            self._held_connection.release(
                line_protocol.HOST_STATEMENT_ID, pools.CONTROL_TIMEOUT_S
            )
        self._held_connection = self._running_connection = None
        self._end_commit(None)

    def _serve_next(self) -> None:
        while self._messages and not self._is_busy and not self._is_closed:
            message = self._messages.popleft()
            if self._pool is None:
                self._open_session(message)
            elif line_protocol.is_session_end(message):
                self.close()
            else:
                self._serve_statement(message)

    def _open_session(self, message: bytes) -> None:
        if message == line_protocol.CONFIGURATION_REQUEST:
            self._send_configuration()
            return
        target_key = line_protocol.parse_target_start(message)
        pool = self._find_pool(*target_key) if target_key is not None else None
        if pool is None:
            self._refuse_session(statements.Code.WRONG_TARGET)
            return
        self._pool = pool
        self._is_busy = True
        pool.call_when_open(self._guard(self._handle_pool_opened))

    def _send_configuration(self) -> None:
        """Send the configuration in force and close the connection."""
        source = self._get_configuration()
        if source is None:
            self._refuse_session(statements.Code.FAILED)
            return
        self._write(
            line_protocol.encode_rows(source)
            + line_protocol.encode_done()
            + line_protocol.encode_ready(_State.IDLE)
        )
        self.close()

    def _handle_pool_opened(self, is_open: bool) -> None:
        self._is_busy = False
        if self._is_closed:
            return
        if not is_open:
            self._refuse_session(statements.Code.FAILED)
            return
        self._write(line_protocol.encode_ready(_State.IDLE))
        self._serve_next()

    def _refuse_session(self, code: statements.Code) -> None:
        detail = line_protocol.NOT_REACHED_DETAIL
        self._write(line_protocol.encode_error(code, detail))
        self.close()

    def _serve_statement(self, message: bytes) -> None:
        split = line_protocol.split_query(message)
        if split is None:
            self.abort()
            return
        id_, text = split
        if line_protocol.is_control(text):
            self._send_control(text)
            return
        if line_protocol.is_announcement(text):
            self._set_team(text)
            return
        position, statement_text = line_protocol.split_required_position(text)
        statement = line_protocol.parse_statement(id_, statement_text)
        if line_protocol.is_reset(text):
            self.values.clear()
            self.prepared.clear()
            self._write_done()
        elif statement.kind in _LOCAL_HANDLERS:
            _LOCAL_HANDLERS[statement.kind](self, statement)
            self._write_done()
            self._prepare_transaction(statement)
        else:
            self._forward_statement(statement, position)

    def _prepare_transaction(self, statement: statements.Statement) -> None:
        """Set up the session of an open transaction ahead of its statement."""
        if self._held_connection is not None:
            is_prepare = statement.kind is _Kind.PREPARE
            definition = statement.arguments if is_prepare else None
            needs = session_setup.Needs(self.values, definition, self.prepared)
            self._held_connection.prepare(needs)

    def _set_team(self, text: bytes) -> None:
        """Remember the team, priority and deadline of what follows."""
        announcement = line_protocol.parse_announcement(text)
        if announcement is None or self._held_connection is not None:
            self.abort()
            return
        self.team, self._priority, time_left_s = announcement
        self._deadline_s = clock.get_time_s() + time_left_s
        self._write_done()

    def _get_wait_deadline_s(self) -> float:
        """Return until when a statement may wait for a connection."""
        if self._deadline_s is None:
            return clock.get_time_s() + CONNECTION_TIMEOUT_S
        return self._deadline_s - REFUSAL_MARGIN_S

    def _set_value(self, statement: statements.Statement) -> None:
        self.values[statement.name] = statement.arguments

    def _prepare_statement(self, statement: statements.Statement) -> None:
        self.prepared[statement.name] = statement.arguments

    def _deallocate_statement(self, statement: statements.Statement) -> None:
        self.prepared.pop(statement.name, None)

    def _send_control(self, text: bytes) -> None:
        """Send a control statement on any connection to the target."""
        assert self._pool is not None
        self._is_busy = True

        def handle_outcome(outcome: line_connections.Outcome) -> None:
            self._is_busy = False
            if outcome.answer is None:
                self.abort()
                return
            self._write_answer(outcome.answer, _State.IDLE)
            self._serve_next()

        self._pool.send_control_statement(
            text, self._guard(handle_outcome), pools.CONTROL_TIMEOUT_S
        )

    def _forward_statement(
        self, statement: statements.Statement, position: bytes
    ) -> None:
        assert self._pool is not None
        is_prepared = statement.name in self.prepared
        if statement.kind is _Kind.EXECUTE and not is_prepared:
            code = statements.Code.UNKNOWN_STATEMENT
            self._write(
                line_protocol.encode_error(code, b"not prepared")
                + line_protocol.encode_ready(self._get_state())
            )
            return
        self._is_busy = True
        if self._held_connection is not None:
            self._run_statement(self._held_connection, statement, position)
            return
        if self._is_stopping():
            self._refuse_statement(b"")
            return
        self._is_waiting = True
        self._pool.call_when_idle(
            connections.find_needs(self, statement),
            self._guard(
                lambda connection: self._run_or_reject(
                    connection, statement, position
                )
            ),
            self._get_wait_deadline_s(),
            self.team,
            self._priority,
            on_refused=self._guard(self._refuse_statement),
            id_=statement.id,
        )

    def _run_or_reject(
        self,
        connection: connections.Connection | None,
        statement: statements.Statement,
        position: bytes,
    ) -> None:
        if not self._is_waiting:
            return
        self._is_waiting = False
        # This host may not know of the teams yet.
        if connection is None or connection.team != self.team:
            self._refuse_statement(b"no connection in time")
        elif not self._is_closed:
            self._run_statement(connection, statement, position)

    def _refuse_statement(self, detail: bytes) -> None:
        """Refuse a statement of which nothing was sent to the target."""
        if self._is_closed:
            return
        self._is_busy = self._is_waiting = False
        assert self._pool is not None
        is_unreachable = (
            self._is_stopping() or self._pool.is_unreachable_for_others()
        )
        if is_unreachable:
            # Tells the other host to use the next holder at once: it may have
            # more connections to this one than attempts.
            detail = line_protocol.NOT_REACHED_DETAIL
        self._write(
            line_protocol.encode_error(statements.Code.BUSY, detail)
            + line_protocol.encode_ready(_State.IDLE)
        )
        if is_unreachable:
            self._end()
            return
        # The queue may refuse at once, while the messages are being served.
        asyncio.get_running_loop().call_soon(self._guard(self._serve_next))

    def _run_statement(
        self,
        connection: connections.Connection,
        statement: statements.Statement,
        position: bytes,
    ) -> None:
        if connection.is_closed:
            self.abort()
            return
        self._running_connection = connection

        def add_position(text: bytes) -> bytes:
            return position + text

        if self._is_commit(statement):
            assert self._pool is not None
            self._pool.start_commit(self)
        handle_outcome = self._guard(
            functools.partial(self._handle_outcome, connection)
        )

        if statement.kind in (_Kind.BEGIN, _Kind.BEGIN_READ):
            text = add_position(statement.text)
            connection.begin(
                self, statement.id, text, handle_outcome, STATEMENT_TIMEOUT_S
            )
        else:
            connection.run(
                self,
                statement,
                add_position,
                handle_outcome,
                STATEMENT_TIMEOUT_S,
            )

    def _handle_outcome(
        self,
        connection: connections.Connection,
        outcome: line_connections.Outcome,
    ) -> None:
        self._is_busy = False
        self._running_connection = None
        answer = outcome.answer
        self._end_commit(answer)
        is_begun = self._held_connection is not None
        if answer is None and not outcome.is_sent and not is_begun:
            self._refuse_statement(b"the session wasn't set up")
            return
        if answer is None:
            self._held_connection = None
            self.abort()
            return
        is_over = answer.state is _State.IDLE
        connection.is_held = not is_over
        self._held_connection = None if is_over else connection
        if self._is_closed:
            return
        self._write_answer(answer, answer.state)
        self._serve_next()

    def _is_commit(self, statement: statements.Statement) -> bool:
        """Return whether a statement commits a write of its own."""
        if self._held_connection is not None:
            return False
        if statement.kind is _Kind.EXECUTE:
            definition = self.prepared[statement.name]
            return line_protocol.is_write_definition(definition)
        return statement.kind is _Kind.WRITE

    def _end_commit(self, answer: statements.Answer | None) -> None:
        if self._pool is not None:
            is_acknowledged = answer is not None and answer.code is None
            self._pool.end_commit(self, is_acknowledged)

    def _get_state(self) -> statements.SessionState:
        return (
            _State.IDLE
            if self._held_connection is None
            else _State.IN_TRANSACTION
        )

    def _write_done(self) -> None:
        self._write(
            line_protocol.encode_done()
            + line_protocol.encode_ready(self._get_state())
        )

    def _write_answer(
        self, answer: statements.Answer, state: statements.SessionState
    ) -> None:
        if answer.code is None:
            data = answer.rows + line_protocol.encode_done(
                answer.signature or b"-"
            )
        else:
            data = line_protocol.encode_error(answer.code, answer.detail)
        self._write(data + line_protocol.encode_ready(state, answer.position))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._is_closed:
            self._transport.write(data)


_LOCAL_HANDLERS = {
    _Kind.SET: RelaySession._set_value,
    _Kind.PREPARE: RelaySession._prepare_statement,
    _Kind.DEALLOCATE: RelaySession._deallocate_statement,
}
