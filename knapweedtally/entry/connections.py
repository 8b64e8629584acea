"""One connection to a target, and what stands on it."""

import asyncio
import collections
import socket
import typing
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol

from knapweedtally.core.groups import statements
from knapweedtally.entry import clock
from knapweedtally.platform import lines
from knapweedtally.utils import sockets

# Unacknowledged data of a connection is given up after this, in ms: a peer
# behind a cut answers nothing and resets nothing.
TCP_USER_TIMEOUT_MS = 2500


class Outcome(NamedTuple):
    """Hold how a statement ended on a connection.

    Attributes:
        answer: the target's whole answer, or None where none came.
        asked_s: when the statement was sent.
        is_timeout: whether it was given up for lack of an answer.
    """

    answer: statements.Answer | None
    asked_s: float
    is_timeout: bool = False


Listener = Callable[[Outcome], None]


class _Exchange(NamedTuple):
    on_end: Listener | None
    asked_s: float
    deadline_s: float


class Owner(Protocol):
    """Be told what happens to a connection."""

    def note_opened(self, connection: "Connection") -> None:
        """Take a connection that is ready for its first statement."""

    def note_free(self, connection: "Connection") -> None:
        """Take a connection whose last statement has ended."""

    def note_answer(self) -> None:
        """Take note that the target answered."""

    def note_closed(self, connection: "Connection") -> None:
        """Take note that a connection is gone."""


class Session(Protocol):
    """Hold what a caller's session expects of a connection.

    Attributes:
        values: session values by name.
        prepared: definitions of prepared statements by the caller's name.
    """

    values: dict[bytes, bytes]
    prepared: dict[bytes, bytes]


class Connection(asyncio.Protocol):
    """Speak the line protocol with one target.

    Attributes:
        values: session values that were set here.
        is_held: whether a transaction owns it.
        is_open: whether the target has accepted it.
        is_closed: whether it is gone.
        refusal: error with which the target refused it, if it did.
        idle_since_s: when its last statement ended.
        way: name of the host that it goes through, or empty.
        settled: done once the target has accepted or ended it.
    """

    def __init__(
        self, owner: Owner, group: str, user: str, target: str
    ) -> None:
        """Make a connection that starts once it is made."""
        self.values: dict[bytes, bytes] = {}
        self.is_held = False
        self.is_open = False
        self.is_closed = False
        self.refusal: statements.Code | None = None
        self.idle_since_s = clock.get_time_s()
        self.way = ""
        self.settled: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._owner = owner
        self._start = lines.encode_start(group, user, target)
        self._prepared: dict[bytes, bytes] = {}
        self._pending: collections.deque[_Exchange] = collections.deque()
        self._reader = lines.AnswerReader()
        self._transport: asyncio.Transport | None = None
        self._is_setup_broken = False
        self._state = statements.SessionState.IDLE

    @property
    def is_idle(self) -> bool:
        """Tell whether a statement may be given to it."""
        return (
            self.is_open
            and not self.is_closed
            and not self.is_held
            and not self._pending
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first message."""
        # uvloop's transports don't derive from asyncio's.
        self._transport = typing.cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self._transport.write(self._start)

    def data_received(self, data: bytes) -> None:
        """Hand each complete answer to the statement that it ends."""
        try:
            answers = self._reader.feed(data)
        except lines.BrokenLine:
            self.abort()
            return
        for answer in answers:
            self._take_answer(answer)
            if self.is_closed:
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """End what was under way."""
        if not self.is_open:
            self.refusal = self._reader.take_refusal()
        self._end()

    def send(
        self, id_: bytes, text: bytes, on_end: Listener | None, limit_s: float
    ) -> None:
        """Send one statement.

        Args:
            id_: its id.
            text: its text.
            on_end: called once with the outcome, or None.
            limit_s: time for the answer; the connection is closed after it.
        """
        self._write([(id_, text, on_end)], limit_s)

    def run(
        self,
        session: Session,
        statement: statements.Statement,
        prefix: Callable[[bytes], bytes] | None,
        on_end: Listener,
        limit_s: float,
    ) -> None:
        """Send a caller's statement after what its session expects.

        Args:
            session: the caller's session.
            statement: the statement.
            prefix: changes the text that is sent, or None.
            on_end: called once with the outcome.
            limit_s: time for the answer.
        """
        batch = self._prepare_session(session)
        text = statement.text
        if statement.kind is statements.Kind.EXECUTE:
            definition = session.prepared[statement.name]
            name = self._prepared.get(definition)
            if name is None:
                name = b"k%d" % len(self._prepared)
                self._prepared[definition] = name
                text = lines.encode_prepare(name, definition)
                batch.append((lines.OWN_ID, text, self._note_setup))
            text = lines.encode_execute(name, statement.rest)
        if prefix is not None:
            text = prefix(text)
        batch.append((statement.id, text, on_end))
        self._write(batch, limit_s)

    def count_changes(self, values: Mapping[bytes, bytes]) -> int:
        """Return how far its values are from those of a session."""
        if self.values == values:
            return 0
        return 1 if self.values.items() <= values.items() else 2

    def check_deadline(self, now_s: float) -> None:
        """Close it if an answer is overdue."""
        if self._pending and now_s > self._pending[0].deadline_s:
            self.abort(is_timeout=True)

    def get_oldest_s(self) -> float | None:
        """Return since when an answer is awaited."""
        return self._pending[0].asked_s if self._pending else None

    def abort(self, is_timeout: bool = False) -> None:
        """Close it at once, so that nothing held up on the way arrives."""
        transport = self._transport
        if transport is not None and not self.is_closed:
            sockets.reset_on_close(transport.get_extra_info("socket"))
            transport.abort()
        self._end(is_timeout)

    def release(self, id_: bytes, limit_s: float) -> None:
        """End the transaction that owns it, and serve others again.

        Args:
            id_: id of the rollback.
            limit_s: time for the target to roll back.
        """
        self.is_held = False
        if self._state is statements.SessionState.IDLE:
            # Called from within the commit's own outcome, after which the
            # connection is offered.
            return
        self.send(id_, lines.ROLLBACK, None, limit_s)

    def close(self) -> None:
        """Close an idle connection in the ordinary way."""
        if self._transport is not None and not self.is_closed:
            self._transport.write(b"BYE\r\n")
            self._transport.close()
        self._end()

    def _prepare_session(
        self, session: Session
    ) -> list[tuple[bytes, bytes, Listener | None]]:
        """Return the statements that give it a session's values."""
        batch: list[tuple[bytes, bytes, Listener | None]] = []
        values = session.values
        if self.values == values:
            return batch
        if any(name not in values for name in self.values):
            batch.append((lines.OWN_ID, lines.RESET, self._note_setup))
            self.values.clear()
            self._prepared.clear()
        for name, value in values.items():
            if self.values.get(name) != value:
                text = lines.encode_set(name, value)
                batch.append((lines.OWN_ID, text, self._note_setup))
        self.values = dict(values)
        return batch

    def _write(
        self,
        batch: list[tuple[bytes, bytes, Listener | None]],
        limit_s: float,
    ) -> None:
        now_s = clock.get_time_s()
        deadline_s = now_s + limit_s
        for _, _, on_end in batch:
            self._pending.append(_Exchange(on_end, now_s, deadline_s))
        data = b"".join(lines.encode_query(id_, text) for id_, text, _ in batch)
        assert self._transport is not None
        self._transport.write(data)

    def _note_setup(self, outcome: Outcome) -> None:
        if outcome.answer is None or outcome.answer.code is not None:
            # The session's values are not what its caller was told.
            self._is_setup_broken = True

    def _take_answer(self, answer: statements.Answer) -> None:
        if not self.way or answer.position != lines.NO_POSITION:
            # Another host answers some messages without asking the target;
            # only the target's own answers carry a position.
            self._owner.note_answer()
        if not self.is_open:
            self.is_open = True
            self._settle()
            self._owner.note_opened(self)
            return
        if not self._pending:
            self.abort()
            return
        exchange = self._pending.popleft()
        self._state = answer.state
        if self._is_setup_broken and not self._pending:
            self.abort()
            if exchange.on_end:
                exchange.on_end(Outcome(None, exchange.asked_s))
            return
        if exchange.on_end is not None:
            exchange.on_end(Outcome(answer, exchange.asked_s))
        if answer.code is statements.Code.UNKNOWN_STATEMENT:
            # What was prepared here is not what the target knows.
            self.abort()
        if not self._pending and not self.is_held and not self.is_closed:
            if self._state is not statements.SessionState.IDLE:
                self.abort()
                return
            self.idle_since_s = clock.get_time_s()
            self._owner.note_free(self)

    def _end(self, is_timeout: bool = False) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self._settle()
        self._owner.note_closed(self)
        while self._pending:
            exchange = self._pending.popleft()
            if exchange.on_end is not None:
                exchange.on_end(Outcome(None, exchange.asked_s, is_timeout))

    def _settle(self) -> None:
        if not self.settled.done():
            self.settled.set_result(None)
