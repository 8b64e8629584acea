"""The connections of this host to one target."""

import asyncio
from collections.abc import Callable

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import statements
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import logs
from knapweedtally.entry import reach
from knapweedtally.entry import waiting
from knapweedtally.platform import lines

# Time to make a connection, in seconds: a lost opening packet is sent again
# after a second, which is too late to wait for.
CONNECT_TIMEOUT_S = 0.3

# Time for the answer to a question about a target's status, in seconds.
ASK_TIMEOUT_S = 0.3

# Pause between attempts to reach a silent target anew, in seconds.
PROBE_PAUSE_S = 0.2

# Connections of the target's limit that are left to hosts that start.
RESERVED_CONNECTIONS = 2

# No new connection is tried for this long after a failed one, in seconds.
RETRY_S = 0.1
# The same after the target said that it has too many.
FULL_RETRY_S = 0.5

# A target's count of its connections is believed for this long, in seconds.
COUNT_AGE_S = 1.0

# Connections to one target through other hosts. They cost the target nothing.
RELAYED_CONNECTIONS = 4

# A connection beyond the first is closed after it was idle for this long.
IDLE_CLOSE_S = 10.0


def get_free(max_connections: int) -> int:
    """Return the connections that the hosts may hold together."""
    return max(1, max_connections - RESERVED_CONNECTIONS)


class Pool:
    """Hold the connections to one target and judge whether it answers.

    Attributes:
        load: what placement knows of the target.
        entry: the target's entry.
        max_connections: connections that the target takes from all hosts.
        known_connections: connections that it counted when last asked.
        counted_s: when that was.
        sharers: hosts that hold connections to the target.
        reach: ways to the target.
        failing_since_s: first failure since its last answer, or None.
        failures: failures since its last answer.
        is_refusing: whether the last failure was a refusal.
        life: changes when the target may have restarted.
        received: newest position that its log is known to have held.
        floor: position that its log reached before it restarted.
    """

    def __init__(
        self,
        entry: model.TargetEntry,
        max_connections: int,
        user: str,
        log: logs.Log,
        on_change: Callable[[], None],
    ) -> None:
        """Make a pool without a connection."""
        self.load = placement.TargetLoad(entry.target, entry.data_centre)
        self.entry = entry
        self.max_connections = max_connections
        self.known_connections = 0
        self.counted_s = 0.0
        self.sharers = 1
        self.reach = reach.Reach()
        self._waiting = waiting.Waiting(self.take)
        self._openers: list[Callable[[bool], None]] = []
        self._serves_borrower = False
        self.failing_since_s: float | None = None
        self.failures = 0
        self.is_refusing = False
        self.life = 0
        self.received = model.Position(0, 0)
        self.floor = model.Position(0, 0)
        self._user = user
        self._log = log
        self._on_change = on_change
        self._connections: set[connections.Connection] = set()
        self._opening = 0
        self._retry_at_s = 0.0
        self._next_probe_s = 0.0
        self._answered_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def size(self) -> int:
        """Return the number of connections, those being made included."""
        return len(self._connections) + self._opening

    @property
    def is_answering(self) -> bool:
        """Tell whether the target answers as far as is known."""
        return self.failing_since_s is None and bool(self._connections)

    @property
    def has_direct(self) -> bool:
        """Tell whether a connection doesn't go through another host."""
        return any(not connection.way for connection in self._connections)

    def is_settled(self) -> bool:
        """Tell whether every connection goes a way that is to be used."""
        return bool(self._connections) and all(
            self._is_current(connection) for connection in self._connections
        )

    def take(
        self, values: dict[bytes, bytes], is_direct: bool = False
    ) -> connections.Connection | None:
        """Return an idle connection, one that needs few changes.

        Args:
            values: session values that it should hold.
            is_direct: whether it must not go through another host.
        """
        best = None
        best_changes = 3
        for connection in self._connections:
            if connection.is_idle and not (is_direct and connection.way):
                changes = connection.count_changes(values)
                if changes < best_changes:
                    best, best_changes = connection, changes
        return best

    def count_idle(self) -> int:
        """Return the number of idle connections, and tell placement."""
        idle = sum(1 for c in self._connections if c.is_idle)
        self.load.idle = idle
        return idle

    def ask(
        self, text: bytes, on_end: connections.Listener, limit_s: float
    ) -> None:
        """Send a control statement on the next connection that is idle."""
        now_s = clock.get_time_s()
        if not self._connections and not self._opening:
            if self._retry_at_s > now_s:
                on_end(connections.Outcome(None, now_s))
                return
            self.open()
        connection = self.take({})
        if connection is not None:
            connection.send(lines.OWN_ID, text, on_end, limit_s)
            self.count_idle()
            return
        self._waiting.add_question(text, on_end, now_s + limit_s)
        # Open transactions may hold every connection for long.
        self.want_connection()

    def want_connection(self) -> None:
        """Open another connection if the limits allow one."""
        now_s = clock.get_time_s()
        if self._opening or self._retry_at_s > now_s or self._is_closed:
            return
        if self.size < self._get_share() or self._has_room(now_s):
            self.open()

    def _get_share(self) -> int:
        """Return the connections that this host may hold at any time."""
        if self.reach.ways:
            return RELAYED_CONNECTIONS
        return max(1, get_free(self.max_connections) // self.sharers)

    def _has_room(self, now_s: float) -> bool:
        """Tell whether the target has connections that no host claims.

        Several hosts may find so at the same time, so each leaves room for
        half of the others.
        """
        if self.reach.ways or now_s - self.counted_s > COUNT_AGE_S:
            return False
        free = get_free(self.max_connections)
        return self.known_connections + self.sharers // 2 < free

    def open(self) -> None:
        """Open a connection in the background."""
        self._opening += 1
        task = asyncio.get_running_loop().create_task(self._open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_detour(self) -> None:
        """Try to reach a target through other hosts that doesn't answer."""
        if self._is_closed:
            return
        if self.reach.start_detour(clock.get_time_s()) and self._opening < 2:
            self.open()

    def _is_current(self, connection: connections.Connection) -> bool:
        """Tell whether a connection goes a way that is still to be used."""
        return self.reach.is_current(connection.way, clock.get_time_s())

    def call_when_open(self, on_open: Callable[[bool], None]) -> None:
        """Call back once a direct connection is open, or none was made.

        Hosts that reach each other's targets by detours must not take each
        other for a way to a target that is down.
        """
        if self.has_direct:
            on_open(True)
            return
        self._openers.append(on_open)
        self.want_connection()

    def call_when_idle(
        self,
        values: dict[bytes, bytes],
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
    ) -> None:
        """Call back with an idle direct connection, or None after a deadline.

        Args:
            values: session values that the connection should hold.
            on_idle: called once.
            deadline_s: when waiting ends.
        """
        connection = None
        if not self._waiting.has_borrowers:
            connection = self.take(values, is_direct=True)
        if connection is None:
            self._waiting.add_borrower(values, on_idle, deadline_s)
            self.want_connection()
            return
        on_idle(connection)
        self.count_idle()

    async def _open(self) -> None:
        entry = self.entry
        way = self.reach.choose(clock.get_time_s())
        connection = connections.Connection(
            self, entry.group, self._user, entry.target
        )
        connection.way = way.host if way else ""
        address = (way or entry).address
        port = (way or entry).port
        loop = asyncio.get_running_loop()
        started_s = clock.get_time_s()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, address, port)
                await connection.settled
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            self._note_open_failure(started_s, is_refused, repr(error))
            connection.abort()
        finally:
            self._opening -= 1
        if connection.is_closed and connection.refusal is not None:
            self._note_refusal(connection.refusal, started_s)
        if self._is_closed:
            connection.abort()
        if not connection.is_open:
            self.reach.note_failure()
        elif not connection.way:
            self.reach.end_detour()
        openers, self._openers = self._openers, []
        for on_open in openers:
            on_open(connection.is_open and not connection.way)
        self._on_change()

    def _note_refusal(self, code: statements.Code, started_s: float) -> None:
        now_s = clock.get_time_s()
        if code is statements.Code.TOO_MANY_CONNECTIONS:
            self.known_connections = self.max_connections
            self.counted_s = now_s
            self._retry_at_s = now_s + FULL_RETRY_S
            return
        self._note_open_failure(started_s, True, code.name)

    def _note_open_failure(
        self, started_s: float, is_refused: bool, reason: str
    ) -> None:
        now_s = clock.get_time_s()
        self._retry_at_s = now_s + RETRY_S
        self.note_failure(started_s, is_refused)
        self.start_detour()
        if self.failures in (1, 10, 100):
            self._log.write(
                "connection_failed",
                target=self.entry.target,
                reason=reason,
                failures=self.failures,
            )

    def note_failure(self, since_s: float, is_refused: bool) -> None:
        """Record that the target did not answer."""
        if self.failing_since_s is None:
            self.failing_since_s = since_s
        self.failures += 1
        self.load.is_answering = self.failures < 2
        self.is_refusing = is_refused

    def note_opened(self, connection: connections.Connection) -> None:
        """Take a connection that the target has accepted."""
        self._connections.add(connection)
        if connection.way and self.failing_since_s is not None:
            # Only the target's own answer shows that it is reached this way.
            connection.send(lines.OWN_ID, lines.STATUS, None, ASK_TIMEOUT_S)
        self._waiting.serve_questions(clock.get_time_s())
        self._serve_borrowers()
        self.count_idle()
        self._on_change()

    def note_free(self, connection: connections.Connection) -> None:
        """Give a connection to a question, another host or the queue."""
        self._waiting.serve_questions(clock.get_time_s())
        if not self._is_current(connection) and connection.is_idle:
            connection.close()
            return
        # Other hosts' statements and this host's own take turns.
        self._serves_borrower = not self._serves_borrower
        if self._serves_borrower:
            self._serve_borrowers()
        self.count_idle()
        self._on_change()
        self._serve_borrowers()

    def note_answer(self) -> None:
        """Take note that the target answers."""
        self._answered_s = clock.get_time_s()
        if self.failing_since_s is not None:
            self.failing_since_s = None
            self.failures = 0
            self.load.is_answering = True

    def note_closed(self, connection: connections.Connection) -> None:
        """Drop a connection that is gone."""
        if connection in self._connections:
            self._connections.discard(connection)
            self.life += 1
        self.count_idle()
        self._on_change()

    def tick(self, now_s: float) -> None:
        """Give up overdue answers and questions, and close what rests."""
        self._check_silence(now_s)
        for connection in tuple(self._connections):
            connection.check_deadline(now_s)
        self._waiting.expire(now_s)
        for connection in tuple(self._connections):
            if connection.is_idle and not self._is_current(connection):
                connection.close()
        if not self.size:
            self.want_connection()
        elif self.reach.is_direct_due(now_s):
            self.open()
        self._close_resting(now_s)
        self.count_idle()

    def _check_silence(self, now_s: float) -> None:
        """Note a failure when no statement is answered, and try anew.

        Connections may go silent while new ones work, so one more is made.
        """
        silent = [
            (asked_s, connection)
            for connection in self._connections
            if (asked_s := connection.get_oldest_s()) is not None
            and now_s - asked_s > ASK_TIMEOUT_S
        ]
        if not silent or now_s < self._next_probe_s:
            return
        asked_s, connection = min(silent, key=lambda pair: pair[0])
        if self._answered_s > asked_s:
            return
        self._next_probe_s = now_s + PROBE_PAUSE_S
        self.note_failure(asked_s, False)
        if connection.way:
            self.reach.note_failure()
            for other in tuple(self._connections):
                if other.way == connection.way and other.is_idle:
                    other.abort()
        if not self._opening:
            self.open()
        self.start_detour()

    def close(self) -> None:
        """Close every connection; transactions on them end."""
        self._is_closed = True
        for connection in tuple(self._connections):
            connection.abort()
        self._waiting.close(clock.get_time_s())

    def get_floor(self) -> model.Position:
        """Return the newest position that its log is known to have held."""
        return max(self.floor, self.received)

    def restart(self, entry: model.TargetEntry) -> None:
        """Begin anew with a target that began a new life."""
        self.entry = entry
        self.floor = self.get_floor()
        self.load.data_centre = entry.data_centre
        self.load.position = model.Position(0, 0)
        self.received = model.Position(0, 0)
        self.life += 1
        self._retry_at_s = 0.0
        for connection in tuple(self._connections):
            connection.abort()

    def _serve_borrowers(self) -> None:
        self._waiting.serve_borrowers()
        self.count_idle()

    def _close_resting(self, now_s: float) -> None:
        if len(self._connections) < 2:
            return
        crowded = (
            self.known_connections
            >= self.max_connections - RESERVED_CONNECTIONS
        )
        limit_s = 1.0 if crowded else IDLE_CLOSE_S
        for connection in tuple(self._connections):
            if len(self._connections) < 2:
                return
            if connection.is_idle and now_s - connection.idle_since_s > limit_s:
                connection.close()
                return
