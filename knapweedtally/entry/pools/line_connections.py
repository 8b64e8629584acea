"""One connection to a target, and the statements in flight on it."""

import asyncio
import collections
import socket
import typing
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol

from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import supervision
from knapweedtally.platform import line_protocol
from knapweedtally.utils import sockets

# Time for sent data to be acknowledged before the connection is closed, in
# ms. A peer behind a network partition neither acknowledges nor resets.
TCP_USER_TIMEOUT_MS = 2500


class Outcome(NamedTuple):
    """The outcome of a statement on a connection.

    Attributes:
        answer: the target's complete answer, or None if none arrived. If the
            statement wasn't sent, the answer with which the target refused what
            had to come first, or None.
        asked_s: when the statement was sent, or given up.
        is_timeout: whether the answer did not arrive in time.
        is_sent: whether the statement was sent. If not, it can't have run.
        setup_s: how long it had waited for its session to be set up.
    """

    answer: statements.Answer | None
    asked_s: float
    is_timeout: bool = False
    is_sent: bool = True
    setup_s: float = 0.0


OutcomeCallback = Callable[[Outcome], None]


class Message(NamedTuple):
    """A statement to send.

    Attributes:
        id: id of the statement.
        text: text of the statement.
        on_end: called once with the outcome, or None.
    """

    id: bytes
    text: bytes
    on_end: OutcomeCallback | None


class _PendingStatement(NamedTuple):
    on_end: OutcomeCallback | None
    asked_s: float
    deadline_s: float


class Owner(Protocol):
    """Handle the events of a connection."""

    def handle_opened(self, connection: typing.Any) -> None:
        """Handle a connection that is ready for its first statement."""

    def handle_idle(self, connection: typing.Any) -> None:
        """Handle a connection that became idle."""

    def handle_answer(self) -> None:
        """Handle an answer of the target, on any connection."""

    def handle_closed(self, connection: typing.Any) -> None:
        """Handle a connection that was closed."""


class LineConnection(asyncio.Protocol):
    """A client connection of the line protocol to one target.

    Attributes:
        is_held: whether a transaction owns the connection.
        is_open: whether the target has accepted the connection.
        is_closed: whether the connection was closed.
        refusal: error with which the target refused the connection, or None.
        idle_since_s: when the last statement ended.
        relay_host: name of the host that relays the connection, empty if
            direct.
        heard_s: when data last arrived.
        is_lost: whether the other side, or the network, closed the connection.
        is_timed_out: whether the connection was closed because an answer was
            overdue, in which case the target may still count it.
        handshake_done: done once the target has accepted the connection or
            it was closed.
    """

    def __init__(
        self, owner: Owner, group: str, user: str, target: str
    ) -> None:
        """Create a connection that isn't opened yet.

        Args:
            owner: handles the connection's events.
            group: name of the group.
            user: name of this host towards the target.
            target: id of the target.
        """
        self.is_held = False
        self.is_open = False
        self.is_closed = False
        self.refusal: statements.Code | None = None
        self.idle_since_s = clock.get_time_s()
        self.relay_host = ""
        self.heard_s = float("-inf")
        self.is_lost = False
        self.is_timed_out = False
        self.handshake_done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._owner = owner
        self._start = line_protocol.encode_start(group, user, target)
        self._pending: collections.deque[_PendingStatement] = (
            collections.deque()
        )
        self._reader = line_protocol.AnswerReader()
        self._transport: asyncio.Transport | None = None
        self._state = statements.SessionState.IDLE

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is free for a statement."""
        return (
            self.is_open
            and not self.is_closed
            and not self.is_held
            and not self._pending
        )

    @property
    def is_half_open(self) -> bool:
        """Return whether the target may have accepted it without an answer."""
        return (
            self._transport is not None
            and not self.is_open
            and not self.is_lost
            and self.refusal is None
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the start message."""
        # uvloop's transports don't derive from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._transport.write(self._start)

    def data_received(self, data: bytes) -> None:
        """Deliver each complete answer to its statement."""
        self.heard_s = clock.get_time_s()
        try:
            answers = self._reader.feed(data)
        except line_protocol.MalformedMessage:
            self.abort()
            return
        for answer in answers:
            self._handle_answer(answer)
            if self.is_closed:
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the statements in flight as lost."""
        if not self.is_open:
            self.refusal = self._reader.get_refusal()
        self.is_lost = not self.is_closed
        self._mark_closed()

    def send(
        self,
        id_: bytes,
        text: bytes,
        on_end: OutcomeCallback | None,
        timeout_s: float,
    ) -> None:
        """Send one statement.

        Args:
            id_: id of the statement.
            text: text of the statement.
            on_end: called once with the outcome, or None.
            timeout_s: time for the answer; the connection is closed after it.
        """
        self._send_messages([Message(id_, text, on_end)], timeout_s)

    def check_deadline(self, now_s: float) -> None:
        """Close the connection if an answer is overdue."""
        if self._pending and now_s > self._pending[0].deadline_s:
            self.abort(is_timeout=True)

    def get_oldest_sent_s(self) -> float | None:
        """Return when the oldest statement in flight was sent, or None."""
        return self._pending[0].asked_s if self._pending else None

    def abort(self, is_timeout: bool = False) -> None:
        """Reset the connection, so that delayed data doesn't arrive.

        Args:
            is_timeout: whether the reason is an overdue answer.
        """
        transport = self._transport
        if transport is not None and not self.is_closed:
            sockets.reset_on_close(transport.get_extra_info("socket"))
            transport.abort()
        self._mark_closed(is_timeout)

    def close(self) -> None:
        """Close an idle connection gracefully."""
        if self._transport is not None and not self.is_closed:
            self._transport.write(b"BYE\r\n")
            self._transport.close()
        self._mark_closed()

    def _send_messages(
        self, messages: Sequence[Message], timeout_s: float
    ) -> None:
        now_s = clock.get_time_s()
        deadline_s = now_s + timeout_s
        for message in messages:
            self._pending.append(
                _PendingStatement(message.on_end, now_s, deadline_s)
            )
        data = b"".join(
            line_protocol.encode_query(message.id, message.text)
            for message in messages
        )
        assert self._transport is not None
        self._transport.write(data)

    def _handle_answer(self, answer: statements.Answer) -> None:
        if not self.relay_host or answer.position != line_protocol.NO_POSITION:
            # A relay host answers some messages without asking the target.
            # Only the target's own answers contain a position.
            self._owner.handle_answer()
        if not self.is_open:
            self.is_open = True
            self._finish_handshake()
            self._owner.handle_opened(self)
            return
        if not self._pending:
            self.abort()
            return
        pending = self._pending.popleft()
        self._state = answer.state
        if pending.on_end is not None:
            pending.on_end(Outcome(answer, pending.asked_s))
        if answer.code is statements.Code.UNKNOWN_STATEMENT:
            # The target doesn't have the statements that were prepared here.
            self.abort()
        if not self._pending and not self.is_closed:
            self._handle_all_answered()

    def _handle_all_answered(self) -> None:
        """Handle that no statement is in flight any more."""
        if self.is_held:
            return
        if self._state is not statements.SessionState.IDLE:
            self.abort()
            return
        self.idle_since_s = clock.get_time_s()
        self._owner.handle_idle(self)

    def _mark_closed(self, is_timeout: bool = False) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.is_timed_out = is_timeout
        self._finish_handshake()
        supervision.contain("connection", self._owner.handle_closed, self)
        while self._pending:
            pending = self._pending.popleft()
            if pending.on_end is not None:
                outcome = Outcome(None, pending.asked_s, is_timeout)
                supervision.contain("connection", pending.on_end, outcome)

    def _finish_handshake(self) -> None:
        if not self.handshake_done.done():
            self.handshake_done.set_result(None)
