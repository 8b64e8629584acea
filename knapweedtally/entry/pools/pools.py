"""Pool of this host's connections to one target."""

from collections.abc import Callable
from collections.abc import Iterator

from knapweedtally.core.groups import model
from knapweedtally.core.groups import session_setup
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import metrics
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pacing
from knapweedtally.entry.pools import pool_opening
from knapweedtally.platform import line_protocol

# Timeout of a control statement, such as a status request, in seconds.
CONTROL_TIMEOUT_S = 0.3

# Interval of attempts to reconnect to an unresponsive target, in seconds.
PROBE_INTERVAL_S = 0.2

# Connections of the target's limit that are reserved for hosts that start.
RESERVED_CONNECTIONS = 2

# Delay before a new connection after a failed one, in seconds.
RETRY_DELAY_S = pool_opening.RETRY_DELAY_S

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


class Pool(pool_opening.PoolOpening):
    """Keep the connections to one target and detect whether it answers."""

    @property
    def relay_request_count(self) -> int:
        """Return the number of statements that wait for a connection."""
        return self._wait_queues.relay_request_count

    def use_holder_queue(self, counters: metrics.Metrics) -> None:
        """Order waiting statements by priority, team and deadline."""
        self._wait_queues.use_holder_queue(
            self.entry.target, self._log, counters, self._has_idle
        )

    def _has_idle(self, team: str) -> bool:
        """Return whether a direct connection of a team may be used now."""
        return (
            self.find_idle_connection(session_setup.NO_NEEDS, True, team)
            is not None
        )

    def _handle_open_end(self, path: pool_opening.Path) -> None:
        """Handle that a connection is no longer being opened."""

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

    def _list_usable(
        self, is_direct: bool, team: str | None
    ) -> Iterator[connections.Connection]:
        """Return the connections that may serve a team, idle or not."""
        for connection in self._connections:
            if not (is_direct and connection.relay_host):
                yield connection

    def find_idle_connection(
        self,
        needs: session_setup.Needs,
        is_direct: bool = False,
        team: str | None = "",
    ) -> connections.Connection | None:
        """Return the idle connection that needs the least session setup.

        Of several, the least recently used one is returned: the session on it
        is the least likely to be needed again.

        Args:
            needs: what the statement needs of the connection's session.
            is_direct: whether the connection must be direct, not through a
                relay host.
            team: name of the team that the connection has to serve, or None
                for control statements, which the target's pace doesn't limit;
                all serve any team here.

        Returns:
            The connection, or None if no suitable one is idle.
        """
        return min(
            self._list_idle(is_direct, team),
            key=lambda c: (c.get_setup_cost(needs), c.idle_since_s),
            default=None,
        )

    def _list_idle(
        self, is_direct: bool, team: str | None
    ) -> list[connections.Connection]:
        """Return the idle connections that a team may use now.

        The target's pace limits direct ones, except for control statements.
        """
        is_held_back = team is not None and self._is_held_back()
        return [
            c
            for c in self._list_usable(is_direct, team)
            if c.is_idle and (c.relay_host or not is_held_back)
        ]

    def count_by_team(self) -> dict[str, int]:
        """Return the number of direct connections by team; empty without."""
        return {}

    def list_idle_paths(self, team: str = "") -> list[str]:
        """Return the relay hosts of the usable connections, empty if direct.

        Changes nothing, unlike ``count_idle``.

        Args:
            team: name of the team that they have to serve.
        """
        pacer = self.pacer
        is_full = pacer is not None and not pacer.is_below_limit
        return [
            connection.relay_host
            for connection in self._list_usable(False, team)
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

    def update_available(
        self, team: str, priority: int, may_wait: bool
    ) -> None:
        """Store in the load how many connections are idle for a team.

        Args:
            team: name of the team.
            priority: priority of the request that is to be placed.
            may_wait: whether room in the queue of this host counts, too.
        """

    def wait_for_connection(
        self,
        needs: session_setup.Needs,
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
        team: str,
        priority: int,
        on_refused: Callable[[bytes], None],
        id_: bytes,
    ) -> bool:
        """Queue a request of this host's own callers.

        They wait in the router's queue instead where they have no teams.

        Returns:
            Whether the request was queued.
        """
        return False

    def is_unreachable_for_others(self) -> bool:
        """Return whether other hosts should use another relay host."""
        return False

    def handle_unreachable_holder(self, host: str) -> None:
        """Handle that a holder refused a statement: it can't reach the target.

        Only holders of teams' connections refuse statements so.
        """

    def record_start(
        self, connection: connections.Connection, team: str, priority: int
    ) -> None:
        """Record that a request of this host's own callers was started.

        Only statements that wait in the holder's queue count, so without teams
        nothing is recorded.
        """

    def start_commit(self, commit: object) -> None:
        """Handle that another host's commit is sent to the target.

        Without teams, the other host alone records it.
        """

    def end_commit(self, commit: object, is_acknowledged: bool) -> None:
        """Handle that another host's commit ended or was given up."""

    def send_control_statement(
        self,
        text: bytes,
        on_end: line_connections.OutcomeCallback,
        timeout_s: float,
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
                on_end(line_connections.Outcome(None, now_s))
                return
            self.open_connection()
        connection = self.find_idle_connection(
            session_setup.NO_NEEDS, False, None
        )
        if connection is not None:
            connection.send(
                line_protocol.HOST_STATEMENT_ID, text, on_end, timeout_s
            )
            self.count_idle()
            return
        self._wait_queues.add_control_statement(text, on_end, now_s + timeout_s)
        # Open transactions may hold every connection for a long time.
        self._open_for_control()

    def _open_for_control(self) -> None:
        """Open a connection for a control statement that waits."""
        self.open_if_allowed(is_paced=False)

    def open_if_allowed(self, team: str = "", is_paced: bool = True) -> None:
        """Open another connection if the limits allow one.

        Args:
            team: name of the team that needs a connection.
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
        needs: session_setup.Needs,
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
        team: str = "",
        priority: int = 0,
        on_refused: Callable[[bytes], None] | None = None,
        id_: bytes = b"",
    ) -> None:
        """Call back with an idle direct connection, or None at a deadline.

        Args:
            needs: what the statement needs of the connection's session.
            on_idle: called once.
            deadline_s: when the wait ends.
            team: name of the team that the connection has to serve.
            priority: priority of the statement; 0 is the most urgent.
            on_refused: called in place of ``on_idle`` with the detail of the
                refusal if the wait would take too long; only with load
                control.
            id_: id of the statement, for the log.
        """
        connection = None
        if not self._wait_queues.has_relay_requests:
            connection = self.find_idle_connection(needs, is_direct=True)
        if connection is None:
            self._wait_queues.add_relay_request(
                needs, on_idle, deadline_s, team, priority, on_refused, id_
            )
            self.open_if_allowed()
            return
        self._wait_queues.record_start(connection, team, priority)
        on_idle(connection)
        self.count_idle()

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
            self._open_for_control()
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
