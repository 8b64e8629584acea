"""Pool of connections to one target where callers belong to teams.

A direct connection belongs to one team; only a holder of the target has them.
The statements of a team go to its first holder that responds, through relay
connections, which belong to no team. Control statements use any connection.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Protocol

from knapweedtally.core.groups import model
from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import team_connections
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import pools
from knapweedtally.entry.pools import team_openings

# Statements of one team of this host's own callers that may wait at this host
# as the team's holder. Further ones wait in the router's queue.
MAX_WAITING_PER_TEAM = 8

# A statement that a holder has received may wait in its queue for this long
# before the target counts as unresponsive, in seconds.
QUEUED_TIMEOUT_S = 1.0

# Idle connections are closed after this time, in seconds. Opening a direct one
# costs the target 12 ms of a slot.
DIRECT_IDLE_TIMEOUT_S = 60.0
RELAY_IDLE_TIMEOUT_S = 30.0

_NO_TEAM = team_connections.NO_TEAM


class CommitRecorder(Protocol):
    """Record the commits of other hosts, to detect that none succeeds."""

    def start_commit(self, commit: object) -> None:
        """Record that a commit is sent to the target."""

    def end_commit(self, commit: object, is_acknowledged: bool) -> None:
        """Record that a commit ended or was given up."""


class TeamPool(team_openings.TeamOpenings):
    """Keep the connections to one target, each direct one for a team."""

    def __init__(
        self,
        entry: model.TargetEntry,
        max_connections: int,
        user: str,
        log: logs.Log,
        on_change: Callable[[], None],
        counters: metrics.Metrics,
        commits: CommitRecorder,
    ) -> None:
        """Create a pool without connections and without known holders.

        Args:
            entry: the target's entry in the store.
            max_connections: connections that the target accepts.
            user: user name of connections without a team.
            log: where evictions are written.
            on_change: called when a request may be served.
            counters: counters of openings, evictions and waits.
            commits: records the commits of other hosts. They may have waited
                here, so that only this host knows when they were sent.
        """
        super().__init__(entry, max_connections, user, log, on_change, counters)
        self._commits = commits

    # Choice of paths and connections.

    def _list_usable(
        self, is_direct: bool, team: str | None
    ) -> Iterator[connections.Connection]:
        """Return the connections that may serve a team, idle or not."""
        if team is None:
            for connection in self._connections:
                host = connection.relay_host
                if not host or self._holders.is_usable(host):
                    yield connection
            return
        holder = None if is_direct else self._holders.choose_holder(team)
        if is_direct or holder == self._holders.paths.own_host:
            yield from (c for c in self._list_direct() if c.team == team)
        elif holder is not None:
            for connection in self._connections:
                if connection.relay_host == holder:
                    yield connection

    def find_idle_connection(
        self,
        needs: session_setup.Needs,
        is_direct: bool = False,
        team: str | None = "",
    ) -> connections.Connection | None:
        """Return the idle connection that needs the least session setup.

        Of several, the most recently used one is returned, so that surplus
        connections become the least recently used ones.

        Args:
            needs: what the statement needs of the connection's session.
            is_direct: whether the connection must be direct.
            team: name of the team, or None for control statements, which the
                target's pace doesn't limit.

        Returns:
            The connection, or None if no suitable one is idle.
        """
        idle = self._list_idle(is_direct, team)
        connection = min(
            idle,
            key=lambda c: (
                bool(c.relay_host),
                c.get_setup_cost(needs),
                -c.idle_since_s,
            ),
            default=None,
        )
        if connection is not None and team and not connection.relay_host:
            self._use_rates.record(team, clock.get_time_s())
        return connection

    def _has_idle(self, team: str) -> bool:
        return bool(self._list_idle(True, team))

    def update_available(
        self, team: str, priority: int, may_wait: bool
    ) -> None:
        """Store in the load how many statements of a team can be taken.

        A team whose holder is this host waits here rather than at the router,
        as statements of other hosts do. With load control the queue itself is
        bounded and refuses what would wait for too long; its expected wait
        then counts as part of the target's answer time.

        Args:
            team: name of the team.
            priority: priority of the request that is to be placed.
            may_wait: whether room in the queue of this host counts, too.
        """
        idle = len(self._list_idle(False, team))
        self.load.wait_s = 0.0
        if (
            may_wait
            and not idle
            and self._holders.is_own(team)
            and self.has_direct_connection
        ):
            if self._wait_queues.has_holder_queue:
                self.load.wait_s = self._wait_queues.estimate_wait(
                    team, priority
                )
                idle = 1
            else:
                waiting = self._wait_queues.count_waiting(team)
                idle = int(waiting < MAX_WAITING_PER_TEAM)
        self.load.idle = idle

    def record_start(
        self, connection: connections.Connection, team: str, priority: int
    ) -> None:
        """Record that a request of this host's own callers was started."""
        if not connection.relay_host:
            self._wait_queues.record_start(connection, team, priority)

    def _has_current_path(self, connection: connections.Connection) -> bool:
        paths = self._holders.paths
        return paths.has_path(connection.relay_host or paths.own_host)

    # Waiting requests.

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
        """Queue a request of this host's own callers with the relayed ones.

        Args:
            needs: what the statement needs of the connection's session.
            on_idle: called once; it need not use the connection.
            deadline_s: when the wait ends.
            team: name of the team.
            priority: priority of the request; 0 is the most urgent.
            on_refused: called in place of ``on_idle`` with the detail of the
                refusal if the wait would take too long; only with load
                control.
            id_: id of the statement, for the log.

        Returns:
            Whether the request was queued.
        """
        if not self._holders.is_own(team):
            return False
        self._add_waiting(
            needs, on_idle, deadline_s, team, priority, on_refused, id_
        )
        return True

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
        """Call back with an idle direct connection of a team, or None.

        Args:
            needs: what the statement needs of the connection's session.
            on_idle: called once; with None at the deadline, or if the target
                can't be reached from here.
            deadline_s: when the wait ends.
            team: name of the team.
            priority: priority of the statement; 0 is the most urgent.
            on_refused: called in place of ``on_idle`` with the detail of the
                refusal if the wait would take too long; only with load
                control.
            id_: id of the statement, for the log.
        """
        connection = self.find_idle_connection(needs, True, team)
        is_overdue = deadline_s <= clock.get_time_s()
        if connection is not None:
            self._wait_queues.record_start(connection, team, priority)
            on_idle(connection)
            self.count_idle()
        elif self.is_unreachable_for_others() or (
            is_overdue and not self._wait_queues.has_holder_queue
        ):
            # The refusal has to arrive before the sender stops waiting.
            on_idle(None)
        else:
            self._add_waiting(
                needs, on_idle, deadline_s, team, priority, on_refused, id_
            )

    def _add_waiting(
        self,
        needs: session_setup.Needs,
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
        team: str,
        priority: int,
        on_refused: Callable[[bytes], None] | None,
        id_: bytes,
    ) -> None:
        self._wait_queues.add_relay_request(
            needs, on_idle, deadline_s, team, priority, on_refused, id_
        )
        self._open_waiting()
        reason = "opening" if self._opening_teams[team] else "busy"
        self._counters.increment("connection_waits", reason)

    def handle_idle(self, connection: connections.Connection) -> None:
        """Reuse an idle connection for whatever waits for one."""
        self._wait_queues.serve_control_statements(clock.get_time_s())
        if not self._has_current_path(connection) and connection.is_idle:
            self._close_own(connection)
            return
        if not connection.relay_host:
            self._serve_relay_requests()
        self.count_idle()
        self._on_change()
        self._open_waiting()

    def handle_unreachable_holder(self, host: str) -> None:
        """Use the next holders of the teams until this one is tried again."""
        self._mark_failed(host)

    def _handle_room(self) -> None:
        """Serve what the target's pace has held back."""
        self._serve_relay_requests()
        self._on_change()
        self._open_waiting()

    def start_commit(self, commit: object) -> None:
        """Record that another host's commit is sent to the target."""
        self._commits.start_commit(commit)

    def end_commit(self, commit: object, is_acknowledged: bool) -> None:
        """Record that another host's commit ended or was given up."""
        self._commits.end_commit(commit, is_acknowledged)

    def handle_closed(self, connection: connections.Connection) -> None:
        """Remove a connection that was closed."""
        if connection in self._connections:
            self._handle_established_closed(connection)
        super().handle_closed(connection)
        self._open_waiting()

    def _handle_established_closed(
        self, connection: connections.Connection
    ) -> None:
        now_s = clock.get_time_s()
        host = connection.relay_host
        if not host:
            if connection.is_timed_out or self._is_target_silent(
                connection, now_s
            ):
                self._share.add_lingering(now_s)
            return
        has_other = any(
            c.relay_host == host and c is not connection
            for c in self._connections
        )
        # A holder closes one connection when the outcome of one statement is
        # unknown, and all when it stops.
        if connection.is_lost and not has_other:
            self._mark_failed(host)

    def _is_target_silent(
        self, connection: connections.Connection, now_s: float
    ) -> bool:
        """Return whether the target may miss that a connection was closed.

        The sender of a relayed statement mostly stops waiting before this host
        does, so that the connection is closed before its answer is overdue.
        """
        asked_s = connection.get_oldest_sent_s()
        return (
            not connection.is_lost
            and asked_s is not None
            and now_s - asked_s > pools.CONTROL_TIMEOUT_S
            and self.answered_s < asked_s
        )

    # Periodic checks.

    def tick(self, now_s: float) -> None:
        """Expire statements, retry failed holders and open connections."""
        super().tick(now_s)
        for host in self._holders.take_due_retries(now_s):
            self._retry_holder(host)
        if self._holders.is_own_usable():
            if not self.has_direct_connection:
                self._open_direct(_NO_TEAM, 1)
            self._open_waiting()

    def _retry_holder(self, host: str) -> None:
        if host == self._holders.paths.own_host:
            self._open_direct(_NO_TEAM, 1)
        else:
            self._open_relay(host, team_openings.MAX_RELAY_CONNECTIONS)

    def _check_unanswered(self, now_s: float) -> None:
        """Record failures when a holder or the target doesn't answer.

        A holder answers an announcement at once. The statement after it may
        wait in the holder's queue. With load control it may wait there until
        its deadline, which proves nothing about the target.
        """
        overdue: list[float] = []
        for connection in tuple(self._connections):
            asked_s = connection.get_oldest_sent_s()
            host = connection.relay_host
            limit_s = pools.CONTROL_TIMEOUT_S
            is_queued = bool(
                host and connection.is_queued and not connection.announced_s
            )
            if is_queued:
                limit_s = QUEUED_TIMEOUT_S
            if asked_s is None or now_s - asked_s <= limit_s:
                continue
            if not (is_queued and self._wait_queues.has_holder_queue):
                overdue.append(asked_s)
            if host and self._get_heard_s(host) < asked_s:
                self._mark_failed(host)
        if not overdue or now_s < self._next_probe_at_s:
            return
        asked_s = min(overdue)
        if self.answered_s > asked_s:
            return
        self._next_probe_at_s = now_s + pools.PROBE_INTERVAL_S
        self.record_failure(asked_s, False)
        if not self._opening:
            self.open_connection()

    def _get_heard_s(self, host: str) -> float:
        """Return when data last arrived from a holder on any connection."""
        return max(
            (c.heard_s for c in self._connections if c.relay_host == host),
            default=float("-inf"),
        )

    def _close_idle(self, now_s: float) -> None:
        """Close a connection beyond the share, or one that is long unused."""
        direct = self._list_direct()
        usage = self._get_usage(now_s)
        excess = team_connections.find_excess(usage, self._get_share(now_s))
        if excess is not None:
            self._close_own(direct[excess])
            return
        for connection in tuple(self._connections):
            is_direct = not connection.relay_host
            limit_s = RELAY_IDLE_TIMEOUT_S
            if is_direct:
                limit_s = DIRECT_IDLE_TIMEOUT_S
            is_last = len(direct if is_direct else self._connections) < 2
            if (
                connection.is_idle
                and not is_last
                and now_s - connection.idle_since_s > limit_s
            ):
                self._close_own(connection)
                return
