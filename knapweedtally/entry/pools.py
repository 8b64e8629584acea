"""Pool of this host's connections to one target."""

import asyncio
from collections.abc import Callable

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import statements
from knapweedtally.entry import clock
from knapweedtally.entry import connections
from knapweedtally.entry import logs
from knapweedtally.entry import pacing
from knapweedtally.entry import path_selection
from knapweedtally.entry import supervision
from knapweedtally.entry import wait_queues
from knapweedtally.platform import line_protocol

# Timeout for opening a connection, in seconds. A lost SYN packet is
# retransmitted after one second, which is too long to wait for.
CONNECT_TIMEOUT_S = 0.3

# Timeout of a control statement, such as a status request, in seconds.
CONTROL_TIMEOUT_S = 0.3

# Interval of attempts to reconnect to an unresponsive target, in seconds.
PROBE_INTERVAL_S = 0.2

# Connections of the target's limit that are reserved for hosts that start.
RESERVED_CONNECTIONS = 2

# Delay before a new connection after a failed one, in seconds.
RETRY_DELAY_S = 0.1
# The same after the target reported that it has too many connections.
FULL_RETRY_DELAY_S = 0.5

# A target's reported number of connections is used for this long, in seconds.
MAX_COUNT_AGE_S = 1.0

# Connections to one target through other hosts. They take none of the
# connections that the target accepts.
MAX_RELAYED_CONNECTIONS = 4

# A connection beyond the first is closed after this idle time, in seconds.
IDLE_TIMEOUT_S = 10.0


def get_usable_connections(max_connections: int) -> int:
    """Return the number of connections that all hosts together may hold."""
    return max(1, max_connections - RESERVED_CONNECTIONS)


class Pool:
    """Keep the connections to one target and detect whether it answers.

    Attributes:
        load: the target's load and lag, for the placement of requests.
        entry: the target's entry in the store.
        max_connections: connections that the target accepts from all hosts.
        reported_connections: number of connections in the target's last
            status.
        reported_s: when that status was requested.
        holder_count: number of hosts that hold connections to the target.
        path_selector: chooses the network path of each connection.
        pacer: limits the concurrent statements on direct connections, or None.
        failing_since_s: time of the first failure since the target's last
            answer, or None.
        failures: number of failures since the target's last answer.
        is_refusing: whether the last failure was a refused connection.
        answered_s: when the target last answered.
        generation: changes when the target may have restarted.
        received: newest log position seen since the target's last restart.
        position_before_restart: newest log position that the target held before
            that restart.
        restart_count: how many restarts of the member were handled.
    """

    def __init__(
        self,
        entry: model.TargetEntry,
        max_connections: int,
        user: str,
        log: logs.Log,
        on_change: Callable[[], None],
    ) -> None:
        """Create a pool without connections."""
        self.load = placement.TargetLoad(entry.target, entry.data_centre)
        self.entry = entry
        self.max_connections = max_connections
        self.reported_connections = 0
        self.reported_s = 0.0
        self.holder_count = 1
        self.path_selector = path_selection.PathSelector()
        self.pacer: pacing.TargetPacer | None = None
        self._wait_queues = wait_queues.WaitQueues(
            # Relayed statements use direct connections, control statements any.
            lambda values, is_direct: self.find_idle_connection(
                values, is_direct, is_paced=is_direct
            )
        )
        self._open_callbacks: list[Callable[[bool], None]] = []
        self._is_relay_turn = False
        self.failing_since_s: float | None = None
        self.failures = 0
        self.is_refusing = False
        self.generation = 0
        self.received = model.Position(0, 0)
        self.position_before_restart = model.Position(0, 0)
        self.restart_count = 0
        self._user = user
        self._log = log
        self._on_change = on_change
        self._connections: set[connections.Connection] = set()
        self._opening = 0
        self._retry_at_s = 0.0
        self._next_probe_at_s = 0.0
        self.answered_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def size(self) -> int:
        """Return the number of connections, including those being opened."""
        return len(self._connections) + self._opening

    @property
    def is_answering(self) -> bool:
        """Return whether a connection is open and no failure is known."""
        return self.failing_since_s is None and bool(self._connections)

    @property
    def has_direct_connection(self) -> bool:
        """Return whether any connection is direct, not through a relay host."""
        return any(
            not connection.relay_host for connection in self._connections
        )

    def has_current_paths(self) -> bool:
        """Return whether all connections use a path that is still selected.

        Without a connection the result is False.
        """
        return bool(self._connections) and all(
            self._has_current_path(connection)
            for connection in self._connections
        )

    def set_pacer(self, pacer: pacing.TargetPacer) -> None:
        """Limit the concurrent statements on direct connections."""
        self.pacer = pacer
        pacer.on_room = self._handle_room

    def _is_held_back(self) -> bool:
        """Return whether the target's pace allows no further statement."""
        return self.pacer is not None and not self.pacer.has_room()

    def _handle_room(self) -> None:
        """Serve what the target's pace has held back."""
        self._serve_relay_requests()
        if self._wait_queues.has_relay_requests:
            # Transactions may hold every connection, and no new one was opened
            # while the pace held the requests back.
            self.open_if_allowed()
        self._on_change()
        self.count_idle()

    def find_idle_connection(
        self,
        values: dict[bytes, bytes],
        is_direct: bool = False,
        is_paced: bool = True,
    ) -> connections.Connection | None:
        """Return the idle connection that needs the least session setup.

        Args:
            values: session values that the connection should have.
            is_direct: whether the connection must be direct, not through a
                relay host.
            is_paced: whether the target's pace limits a direct one.

        Returns:
            The connection, or None if no suitable one is idle.
        """
        best = None
        best_cost = 3
        is_held_back = is_paced and self._is_held_back()
        for connection in self._connections:
            if is_held_back and not connection.relay_host:
                continue
            if connection.is_idle and not (is_direct and connection.relay_host):
                cost = connection.get_setup_cost(values)
                if cost < best_cost:
                    best, best_cost = connection, cost
        return best

    def list_idle_paths(self) -> list[str]:
        """Return the relay hosts of the usable connections, empty if direct.

        Changes nothing, unlike ``count_idle``.
        """
        pacer = self.pacer
        is_full = pacer is not None and not pacer.is_below_limit
        return [
            connection.relay_host
            for connection in self._connections
            if connection.is_idle and (connection.relay_host or not is_full)
        ]

    def count_idle(self) -> int:
        """Return the number of usable connections, stored in the load."""
        is_held_back = self._is_held_back()
        idle = sum(
            1
            for c in self._connections
            if c.is_idle and (c.relay_host or not is_held_back)
        )
        self.load.idle = idle
        return idle

    def send_control_statement(
        self, text: bytes, on_end: connections.OutcomeCallback, timeout_s: float
    ) -> None:
        """Send a control statement on the next idle connection.

        Args:
            text: the statement.
            on_end: called once with the outcome.
            timeout_s: time for the answer, including the wait for an idle
                connection.
        """
        now_s = clock.get_time_s()
        if not self._connections and not self._opening:
            if self._retry_at_s > now_s:
                on_end(connections.Outcome(None, now_s))
                return
            self.open_connection()
        connection = self.find_idle_connection({}, is_paced=False)
        if connection is not None:
            connection.send(
                line_protocol.HOST_STATEMENT_ID, text, on_end, timeout_s
            )
            self.count_idle()
            return
        self._wait_queues.add_control_statement(text, on_end, now_s + timeout_s)
        # Open transactions may hold every connection for a long time.
        self.open_if_allowed(is_paced=False)

    def open_if_allowed(self, is_paced: bool = True) -> None:
        """Open another connection if the limits allow one.

        Args:
            is_paced: whether the target's pace has to allow a statement on it.
        """
        now_s = clock.get_time_s()
        if is_paced and self._connections and self._is_held_back():
            return
        if self._opening or self._retry_at_s > now_s or self._is_closed:
            return
        if (
            self.size < self._get_connection_share()
            or self._has_spare_connections(now_s)
        ):
            self.open_connection()

    def _get_connection_share(self) -> int:
        """Return the number of connections that this host may always hold."""
        if self.path_selector.relay_hosts:
            return MAX_RELAYED_CONNECTIONS
        return max(
            1, get_usable_connections(self.max_connections) // self.holder_count
        )

    def _has_spare_connections(self, now_s: float) -> bool:
        """Return whether the target's limit has room beyond the share.

        Several hosts may come to this result at the same time, so each
        leaves room for half of the others.
        """
        if (
            self.path_selector.relay_hosts
            or now_s - self.reported_s > MAX_COUNT_AGE_S
        ):
            return False
        usable = get_usable_connections(self.max_connections)
        return self.reported_connections + self.holder_count // 2 < usable

    def open_connection(self) -> None:
        """Open a connection in the background."""
        self._opening += 1
        task = asyncio.get_running_loop().create_task(self._open())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def start_fallback(self) -> None:
        """Fall back to other hosts for a target that doesn't answer."""
        if self._is_closed:
            return
        if (
            self.path_selector.start_fallback(clock.get_time_s())
            and self._opening < 2
        ):
            self.open_connection()

    def _has_current_path(self, connection: connections.Connection) -> bool:
        """Return whether a connection's path is still selected."""
        return self.path_selector.is_current_path(
            connection.relay_host, clock.get_time_s()
        )

    def call_when_open(self, on_open: Callable[[bool], None]) -> None:
        """Call back with whether a direct connection could be opened.

        Only direct connections count: two hosts that use each other as
        fallback must not both report that they reach a target that is down.
        """
        if self.has_direct_connection:
            on_open(True)
            return
        self._open_callbacks.append(on_open)
        self.open_if_allowed(is_paced=False)

    def call_when_idle(
        self,
        values: dict[bytes, bytes],
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
    ) -> None:
        """Call back with an idle direct connection, or None at a deadline.

        Args:
            values: session values that the connection should have.
            on_idle: called once.
            deadline_s: when the wait ends.
        """
        connection = None
        if not self._wait_queues.has_relay_requests:
            connection = self.find_idle_connection(values, is_direct=True)
        if connection is None:
            self._wait_queues.add_relay_request(values, on_idle, deadline_s)
            self.open_if_allowed()
            return
        on_idle(connection)
        self.count_idle()

    async def _open(self) -> None:
        started_s = clock.get_time_s()
        connection = None
        try:
            connection = await self._connect(started_s)
        except Exception as error:
            # An entry may name an address that can't be used at all.
            supervision.report("connection", error)
            self._handle_open_failure(started_s, False, repr(error))
        finally:
            self._opening -= 1
        is_direct = False
        if connection is not None:
            self._handle_connected(connection, started_s)
            is_direct = connection.is_open and not connection.relay_host
        callbacks, self._open_callbacks = self._open_callbacks, []
        for on_open in callbacks:
            supervision.contain("relay request", on_open, is_direct)
        self._on_change()

    async def _connect(self, started_s: float) -> connections.Connection:
        """Return a connection that was opened, refused or that failed."""
        entry = self.entry
        relay_host = self.path_selector.choose_relay_host(started_s)
        connection = connections.Connection(
            self, entry.group, self._user, entry.target
        )
        connection.relay_host = relay_host.host if relay_host else ""
        connection.meter = None if relay_host else self.pacer
        address = (relay_host or entry).address
        port = (relay_host or entry).port
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(lambda: connection, address, port)
                await connection.handshake_done
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            self._handle_open_failure(started_s, is_refused, repr(error))
            connection.abort()
        except Exception:
            connection.abort()
            raise
        return connection

    def _handle_connected(
        self, connection: connections.Connection, started_s: float
    ) -> None:
        if connection.is_closed and connection.refusal is not None:
            self._handle_refusal(connection.refusal, started_s)
        if self._is_closed:
            connection.abort()
        if not connection.is_open:
            self.path_selector.use_next_relay_host()
        elif not connection.relay_host:
            self.path_selector.end_fallback()

    def _handle_refusal(self, code: statements.Code, started_s: float) -> None:
        now_s = clock.get_time_s()
        if code is statements.Code.TOO_MANY_CONNECTIONS:
            self.reported_connections = self.max_connections
            self.reported_s = now_s
            self._retry_at_s = now_s + FULL_RETRY_DELAY_S
            return
        self._handle_open_failure(started_s, True, code.name)

    def _handle_open_failure(
        self, started_s: float, is_refused: bool, reason: str
    ) -> None:
        now_s = clock.get_time_s()
        self._retry_at_s = now_s + RETRY_DELAY_S
        self.record_failure(started_s, is_refused)
        self.start_fallback()
        if self.failures in (1, 10, 100):
            self._log.write(
                "connection_failed",
                target=self.entry.target,
                reason=reason,
                failures=self.failures,
            )

    def record_failure(self, since_s: float, is_refused: bool) -> None:
        """Record that the target refused, or did not answer in time."""
        if self.failing_since_s is None:
            self.failing_since_s = since_s
        self.failures += 1
        self.load.is_responsive = self.failures < 2
        self.is_refusing = is_refused

    def handle_opened(self, connection: connections.Connection) -> None:
        """Add a connection that the target has accepted."""
        self._connections.add(connection)
        if connection.relay_host and self.failing_since_s is not None:
            # Only the target's own answer shows that the relay host reaches
            # it.
            connection.send(
                line_protocol.HOST_STATEMENT_ID,
                line_protocol.STATUS,
                None,
                CONTROL_TIMEOUT_S,
            )
        self._wait_queues.serve_control_statements(clock.get_time_s())
        self._serve_relay_requests()
        self.count_idle()
        self._on_change()

    def handle_idle(self, connection: connections.Connection) -> None:
        """Reuse an idle connection for whatever waits for one.

        Control statements come first; then statements relayed for other
        hosts and this host's own requests take turns.
        """
        self._wait_queues.serve_control_statements(clock.get_time_s())
        if not self._has_current_path(connection) and connection.is_idle:
            connection.close()
            return
        self._is_relay_turn = not self._is_relay_turn
        if self._is_relay_turn:
            self._serve_relay_requests()
        self.count_idle()
        self._on_change()
        self._serve_relay_requests()

    def handle_answer(self) -> None:
        """Clear the target's failures, since it has answered."""
        self.answered_s = clock.get_time_s()
        if self.failing_since_s is not None:
            has_recovered = not self.load.is_responsive
            self.clear_failures()
            if has_recovered and self.pacer is not None:
                self.pacer.handle_recovered()

    def clear_failures(self) -> None:
        """Forget the failures since the target's last answer."""
        self.failing_since_s = None
        self.failures = 0
        self.load.is_responsive = True

    def handle_closed(self, connection: connections.Connection) -> None:
        """Remove a connection that was closed."""
        if connection in self._connections:
            self._connections.discard(connection)
            self.generation += 1
        self.count_idle()
        self._on_change()

    def tick(self, now_s: float) -> None:
        """Expire overdue statements, and open or close connections."""
        self._check_unanswered(now_s)
        for connection in tuple(self._connections):
            connection.check_deadline(now_s)
        self._wait_queues.drop_overdue(now_s)
        for connection in tuple(self._connections):
            if connection.is_idle and not self._has_current_path(connection):
                connection.close()
        if not self.size:
            self.open_if_allowed()
        elif self.path_selector.is_direct_retry_due(now_s):
            self.open_connection()
        self._close_idle(now_s)
        self.count_idle()

    def _check_unanswered(self, now_s: float) -> None:
        """Record a failure when no statement is answered, and reconnect.

        Established connections may stop delivering answers while new ones
        work, so another one is opened.
        """
        overdue = [
            (asked_s, connection)
            for connection in self._connections
            if (asked_s := connection.get_oldest_sent_s()) is not None
            and now_s - asked_s > CONTROL_TIMEOUT_S
        ]
        if not overdue or now_s < self._next_probe_at_s:
            return
        asked_s, connection = min(overdue, key=lambda pair: pair[0])
        if self.answered_s > asked_s:
            return
        self._next_probe_at_s = now_s + PROBE_INTERVAL_S
        self.record_failure(asked_s, False)
        if connection.relay_host:
            self.path_selector.use_next_relay_host()
            for other in tuple(self._connections):
                if other.relay_host == connection.relay_host and other.is_idle:
                    other.abort()
        if not self._opening:
            self.open_connection()
        self.start_fallback()

    def close(self) -> None:
        """Close every connection, which rolls back their transactions."""
        self._is_closed = True
        for connection in tuple(self._connections):
            connection.abort()
        self._wait_queues.close(clock.get_time_s())

    def get_newest_position(self) -> model.Position:
        """Return the newest log position that the target ever held."""
        return max(self.position_before_restart, self.received)

    def restart(self, entry: model.TargetEntry) -> None:
        """Reset the pool for a target that has restarted."""
        self.entry = entry
        self.position_before_restart = self.get_newest_position()
        self.load.data_centre = entry.data_centre
        self.load.position = model.Position(0, 0)
        self.received = model.Position(0, 0)
        self.generation += 1
        if self.pacer is not None:
            self.pacer.life = entry.started_ms
            self.pacer.handle_recovered()
        self._retry_at_s = 0.0
        for connection in tuple(self._connections):
            connection.abort()

    def _serve_relay_requests(self) -> None:
        self._wait_queues.serve_relay_requests()
        self.count_idle()

    def _close_idle(self, now_s: float) -> None:
        if len(self._connections) < 2:
            return
        is_full = (
            self.reported_connections
            >= self.max_connections - RESERVED_CONNECTIONS
        )
        idle_timeout_s = 1.0 if is_full else IDLE_TIMEOUT_S
        for connection in tuple(self._connections):
            if len(self._connections) < 2:
                return
            if (
                connection.is_idle
                and now_s - connection.idle_since_s > idle_timeout_s
            ):
                connection.close()
                return
