"""The connections of this host to one target."""

import asyncio
import collections
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import statements
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import logs
from knapweedtally.platform import lines

# Time to make a connection, in seconds: a lost opening packet is sent again
# after a second, which is too late to wait for.
CONNECT_TIMEOUT_S = 0.4

# Time for the answer to a question about a target's status, in seconds.
ASK_TIMEOUT_S = 0.3

# Connections of the target's limit that are left to hosts that start.
RESERVED_CONNECTIONS = 2

# No new connection is tried for this long after a failed one, in seconds.
RETRY_S = 0.1
# The same after the target said that it has too many.
FULL_RETRY_S = 0.5

# A target's count of its connections is believed for this long, in seconds.
COUNT_AGE_S = 1.0

# A connection beyond the first is closed after it was idle for this long.
IDLE_CLOSE_S = 10.0

# The target closes connections that rest for a minute.
MAX_IDLE_S = 45.0


class _Ask(NamedTuple):
    text: bytes
    on_end: connections.Listener
    deadline_s: float


class Pool:
    """Hold the connections to one target and judge whether it answers.

    Attributes:
        load: what placement knows of the target.
        entry: the target's entry.
        max_connections: connections that the target takes from all hosts.
        known_connections: connections that it counted when last asked.
        counted_s: when that was.
        live_hosts: hosts that share its connections.
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
        self.live_hosts = 1
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
        self._asks: collections.deque[_Ask] = collections.deque()
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def size(self) -> int:
        """Return the number of connections, those being made included."""
        return len(self._connections) + self._opening

    def take(self, values: dict[bytes, bytes]) -> connections.Connection | None:
        """Return an idle connection, one that needs few changes."""
        best = None
        best_changes = 3
        for connection in self._connections:
            if connection.is_idle:
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
        self._asks.append(_Ask(text, on_end, now_s + limit_s))

    def want_connection(self) -> None:
        """Open another connection if the limits allow one."""
        now_s = clock.get_time_s()
        if self._opening or self._retry_at_s > now_s or self._is_closed:
            return
        if self.size < self._get_share() or self._has_room(now_s):
            self.open()

    def _get_share(self) -> int:
        """Return the connections that this host may hold at any time."""
        free = self.max_connections - RESERVED_CONNECTIONS
        return max(1, free // self.live_hosts)

    def _has_room(self, now_s: float) -> bool:
        """Tell whether the target has connections that no host claims.

        Several hosts may find so at the same time, so each leaves room for
        half of the others.
        """
        if now_s - self.counted_s > COUNT_AGE_S:
            return False
        free = self.max_connections - RESERVED_CONNECTIONS
        return self.known_connections + self.live_hosts // 2 < free

    def open(self) -> None:
        """Open a connection in the background."""
        self._opening += 1
        task = asyncio.get_running_loop().create_task(self._open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self) -> None:
        entry = self.entry
        connection = connections.Connection(
            self, entry.group, self._user, entry.target
        )
        loop = asyncio.get_running_loop()
        started_s = clock.get_time_s()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: connection, entry.address, entry.port
                )
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
        self._on_change()

    def _note_refusal(self, code: statements.Code, started_s: float) -> None:
        now_s = clock.get_time_s()
        self._log.write(
            "connection_refused", target=self.entry.target, code=code.name
        )
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
        self._serve_asks()
        self.count_idle()
        self._on_change()

    def note_free(self, connection: connections.Connection) -> None:
        """Give a connection to a waiting question or to the queue."""
        self._serve_asks()
        self.count_idle()
        self._on_change()

    def note_answer(self) -> None:
        """Take note that the target answers."""
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
        for connection in tuple(self._connections):
            oldest_s = connection.get_oldest_s()
            connection.check_deadline(now_s)
            if connection.is_closed and oldest_s is not None:
                self.note_failure(oldest_s, False)
        while self._asks and self._asks[0].deadline_s < now_s:
            ask = self._asks.popleft()
            ask.on_end(connections.Outcome(None, now_s, True))
        if not self.size:
            self.want_connection()
        self._close_resting(now_s)
        self.count_idle()

    def close(self) -> None:
        """Close every connection; transactions on them end."""
        self._is_closed = True
        for connection in tuple(self._connections):
            connection.abort()
        while self._asks:
            ask = self._asks.popleft()
            ask.on_end(connections.Outcome(None, clock.get_time_s()))

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

    def _serve_asks(self) -> None:
        now_s = clock.get_time_s()
        while self._asks:
            connection = self.take({})
            if connection is None:
                return
            ask = self._asks.popleft()
            limit_s = max(0.05, ask.deadline_s - now_s)
            connection.send(lines.OWN_ID, ask.text, ask.on_end, limit_s)

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
