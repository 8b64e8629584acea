"""One connection to a target, and the statements in flight on it."""

import asyncio
import collections
import socket
import typing
from collections.abc import Callable
from collections.abc import Mapping
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
        answer: the target's complete answer, or None if none arrived.
        asked_s: when the statement was sent.
        is_timeout: whether the answer did not arrive in time.
    """

    answer: statements.Answer | None
    asked_s: float
    is_timeout: bool = False


OutcomeCallback = Callable[[Outcome], None]


class WrongTeam(Exception):  # noqa: N818 - named after the cause
    """Raised for a statement on a connection that belongs to another team."""


class _PendingStatement(NamedTuple):
    on_end: OutcomeCallback | None
    asked_s: float
    deadline_s: float


class Owner(Protocol):
    """Handle the events of a connection."""

    def handle_opened(self, connection: "Connection") -> None:
        """Handle a connection that is ready for its first statement."""

    def handle_idle(self, connection: "Connection") -> None:
        """Handle a connection that became idle."""

    def handle_answer(self) -> None:
        """Handle an answer of the target, on any connection."""

    def handle_closed(self, connection: "Connection") -> None:
        """Handle a connection that was closed."""


class Meter(Protocol):
    """Count the statements that are sent on a connection."""

    def measure(
        self, id_: bytes, text: bytes, on_end: OutcomeCallback | None
    ) -> OutcomeCallback | None:
        """Return what to call with a statement's outcome."""


class Session(Protocol):
    """The session state that a connection has to provide to a caller.

    Attributes:
        values: session values by name.
        prepared: definitions of prepared statements by the caller's name.
        team: name of the caller's team, empty if callers aren't told apart.
    """

    values: dict[bytes, bytes]
    prepared: dict[bytes, bytes]
    team: str


class Connection(asyncio.Protocol):
    """A client connection of the line protocol to one target.

    Attributes:
        values: session values that are set on the connection.
        is_held: whether a transaction owns the connection.
        is_open: whether the target has accepted the connection.
        is_closed: whether the connection was closed.
        refusal: error with which the target refused the connection, or None.
        idle_since_s: when the last statement ended.
        relay_host: name of the host that relays the connection, empty if
            direct.
        team: name of the team for which a direct connection was opened, empty
            for none.
        has_announcements: whether the team of each statement is announced,
            which is needed on relay connections where callers have teams.
        announced_s: when an announcement was sent that the relay host has not
            answered, or None.
        is_queued: whether the newest statement is a caller's, which may wait in
            a relay host's queue once its announcement is answered.
        heard_s: when data last arrived.
        is_lost: whether the other side, or the network, closed the connection.
        is_timed_out: whether the connection was closed because an answer was
            overdue, in which case the target may still count it.
        meter: counts the statements, or None.
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
        self.values: dict[bytes, bytes] = {}
        self.is_held = False
        self.is_open = False
        self.is_closed = False
        self.refusal: statements.Code | None = None
        self.idle_since_s = clock.get_time_s()
        self.relay_host = ""
        self.team = ""
        self.has_announcements = False
        self.announced_s: float | None = None
        self.is_queued = False
        self.heard_s = float("-inf")
        self.is_lost = False
        self.is_timed_out = False
        self.meter: Meter | None = None
        self.handshake_done: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._owner = owner
        self._start = line_protocol.encode_start(group, user, target)
        self._prepared: dict[bytes, bytes] = {}
        self._pending: collections.deque[_PendingStatement] = (
            collections.deque()
        )
        self._reader = line_protocol.AnswerReader()
        self._transport: asyncio.Transport | None = None
        self._has_setup_failed = False
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
        self.is_queued = False
        self._send_batch([(id_, text, on_end)], timeout_s)

    def run(
        self,
        session: Session,
        statement: statements.Statement,
        add_prefix: Callable[[bytes], bytes] | None,
        on_end: OutcomeCallback,
        timeout_s: float,
        priority: int = 0,
    ) -> None:
        """Send a caller's statement after the setup of its session.

        Args:
            session: the caller's session.
            statement: the statement.
            add_prefix: returns the text to send for a statement's text, or
                None to send it unchanged.
            on_end: called once with the outcome.
            timeout_s: time for the answer.
            priority: priority of the statement, for a relay host's queue.

        Raises:
            WrongTeam: the connection belongs to another team.
        """
        self._check_team(session)
        self.is_queued = True
        batch = self._build_announcement(session, timeout_s, priority)
        batch += self._build_session_setup(session)
        text = statement.text
        if statement.kind is statements.Kind.EXECUTE:
            definition = session.prepared[statement.name]
            name = self._prepared.get(definition)
            if name is None:
                name = b"k%d" % len(self._prepared)
                self._prepared[definition] = name
                text = line_protocol.encode_prepare(name, definition)
                batch.append(
                    (line_protocol.HOST_STATEMENT_ID, text, self._check_setup)
                )
            text = line_protocol.encode_execute(name, statement.arguments)
        if add_prefix is not None:
            text = add_prefix(text)
        batch.append((statement.id, text, on_end))
        self._send_batch(batch, timeout_s)

    def begin(
        self,
        session: Session,
        id_: bytes,
        text: bytes,
        on_end: OutcomeCallback,
        timeout_s: float,
        priority: int = 0,
    ) -> None:
        """Begin a transaction, which owns the connection until it ends.

        Args:
            session: the caller's session.
            id_: id of the statement.
            text: text of the statement.
            on_end: called once with the outcome.
            timeout_s: time for the answer.
            priority: priority of the statement, for a relay host's queue.

        Raises:
            WrongTeam: the connection belongs to another team.
        """
        self._check_team(session)
        self.is_queued = True
        batch = self._build_announcement(session, timeout_s, priority)
        self.is_held = True
        self._send_batch([*batch, (id_, text, on_end)], timeout_s)

    def get_setup_cost(self, values: Mapping[bytes, bytes]) -> int:
        """Return the cost of giving the connection a session's values.

        Returns:
            0 if no value differs, 1 if values are only added, 2 if values are
            changed or the connection has to be reset.
        """
        if self.values == values:
            return 0
        return 1 if self.values.items() <= values.items() else 2

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

    def release(self, id_: bytes, timeout_s: float) -> None:
        """Roll back the transaction that owns the connection, and free it.

        Args:
            id_: id of the rollback statement.
            timeout_s: time for the target to roll back.
        """
        self.is_held = False
        if self._state is statements.SessionState.IDLE:
            # Called from the callback of the commit; the connection becomes
            # available when that returns.
            return
        self.send(id_, line_protocol.ROLLBACK, None, timeout_s)

    def close(self) -> None:
        """Close an idle connection gracefully."""
        if self._transport is not None and not self.is_closed:
            self._transport.write(b"BYE\r\n")
            self._transport.close()
        self._mark_closed()

    def _check_team(self, session: Session) -> None:
        """Ensure that no statement runs on another team's connection."""
        if not self.relay_host and session.team != self.team:
            raise WrongTeam(
                f"connection of team {self.team!r}: expected a statement of "
                f"this team, got one of {session.team!r}"
            )

    def _build_announcement(
        self, session: Session, timeout_s: float, priority: int
    ) -> list[tuple[bytes, bytes, OutcomeCallback | None]]:
        """Return the statement that names the team to the relay host.

        The statements of an open transaction follow the announcement of its
        begin.
        """
        if not self.has_announcements or self.is_held:
            return []
        text = line_protocol.encode_announcement(
            session.team, priority, timeout_s
        )
        self.announced_s = clock.get_time_s()
        return [
            (line_protocol.HOST_STATEMENT_ID, text, self._check_announcement)
        ]

    def _check_announcement(self, outcome: Outcome) -> None:
        self.announced_s = None
        self._check_setup(outcome)

    def _build_session_setup(
        self, session: Session
    ) -> list[tuple[bytes, bytes, OutcomeCallback | None]]:
        """Return the statements that set up a session's values."""
        batch: list[tuple[bytes, bytes, OutcomeCallback | None]] = []
        values = session.values
        if self.values == values:
            return batch
        if any(name not in values for name in self.values):
            batch.append(
                (
                    line_protocol.HOST_STATEMENT_ID,
                    line_protocol.RESET,
                    self._check_setup,
                )
            )
            self.values.clear()
            self._prepared.clear()
        for name, value in values.items():
            if self.values.get(name) != value:
                text = line_protocol.encode_set(name, value)
                batch.append(
                    (line_protocol.HOST_STATEMENT_ID, text, self._check_setup)
                )
        self.values = dict(values)
        return batch

    def _send_batch(
        self,
        batch: list[tuple[bytes, bytes, OutcomeCallback | None]],
        timeout_s: float,
    ) -> None:
        now_s = clock.get_time_s()
        deadline_s = now_s + timeout_s
        for id_, text, on_end in batch:
            if self.meter is not None:
                on_end = self.meter.measure(id_, text, on_end)
            self._pending.append(_PendingStatement(on_end, now_s, deadline_s))
        data = b"".join(
            line_protocol.encode_query(id_, text) for id_, text, _ in batch
        )
        assert self._transport is not None
        self._transport.write(data)

    def _check_setup(self, outcome: Outcome) -> None:
        if outcome.answer is None or outcome.answer.code is not None:
            # The connection lacks values that were reported as set.
            self._has_setup_failed = True

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
        if self._has_setup_failed and not self._pending:
            self.abort()
            if pending.on_end:
                pending.on_end(Outcome(None, pending.asked_s))
            return
        if pending.on_end is not None:
            pending.on_end(Outcome(answer, pending.asked_s))
        if answer.code is statements.Code.UNKNOWN_STATEMENT:
            # The target doesn't have the statements that were prepared here.
            self.abort()
        if not self._pending and not self.is_held and not self.is_closed:
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
