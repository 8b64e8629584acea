"""Opening of connections to one target where callers belong to teams.

A holder opens direct connections for teams within its share. Other connections
go through holders.
"""

import collections
from collections.abc import Callable

from knapweedtally.core.groups import model
from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import statements
from knapweedtally.core.groups import team_connections
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.pools import connection_share
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import holder_selection
from knapweedtally.entry.pools import line_connections
from knapweedtally.entry.pools import pool_opening
from knapweedtally.entry.pools import pools
from knapweedtally.platform import line_protocol

# Relay connections to one holder. Each transaction keeps one until it ends.
MAX_RELAY_CONNECTIONS = 8

# Interval of the status requests of a holder outside of the target's data
# centre that would use more than its share, in seconds.
COUNT_INTERVAL_S = 0.2

_NO_TEAM = team_connections.NO_TEAM


class TeamOpenings(pools.Pool):
    """Open and count the connections of teams, and note failed holders."""

    def __init__(
        self,
        entry: model.TargetEntry,
        max_connections: int,
        user: str,
        log: logs.Log,
        on_change: Callable[[], None],
        counters: metrics.Metrics,
    ) -> None:
        """Create a pool without connections and without known holders.

        Args:
            entry: the target's entry in the store.
            max_connections: connections that the target accepts.
            user: user name of connections without a team.
            log: where evictions are written.
            on_change: called when a request may be served.
            counters: counters of openings, evictions and waits.
        """
        super().__init__(entry, max_connections, user, log, on_change)
        self._holders = holder_selection.HolderSelector()
        self._share = connection_share.ConnectionShare()
        self._counters = counters
        self._opening_teams: collections.Counter[str] = collections.Counter()
        self._opening_relays: collections.Counter[str] = collections.Counter()
        self._use_rates = team_connections.UseRates()
        self._next_count_s = 0.0
        # When a direct connection was last opened, or failed to open.
        self._opened_s = float("-inf")

    @property
    def has_teams(self) -> bool:
        """Return whether connections belong to teams."""
        return True

    @property
    def holders(self) -> holder_selection.HolderSelector:
        """Return the selector of the teams' holders."""
        return self._holders

    def set_paths(self, paths: holder_selection.TeamPaths) -> None:
        """Set the holders of the target.

        What waits at a host that is no holder any more is refused as not run:
        the new holder serves it, and this host may open nothing for it.
        """
        if not self._holders.set_paths(paths):
            return
        if not paths.is_holder:
            self._wait_queues.drop_relay_requests()
        if not self.size:
            self.open_connection()

    def count_by_team(self) -> dict[str, int]:
        """Return the number of direct connections by team."""
        counts = collections.Counter(c.team for c in self._list_direct())
        return dict(counts)

    def _list_direct(self) -> list[connections.Connection]:
        return [c for c in self._connections if not c.relay_host]

    def is_unreachable_for_others(self) -> bool:
        """Return whether other hosts should use another holder."""
        return not self._holders.is_own_usable()

    def _get_share(self, now_s: float) -> int:
        """Return the number of direct connections that may be held."""
        return self._share.get_share(
            self.max_connections,
            self._holders.paths.holders.is_local,
            self.reported_connections,
            self.reported_s,
            now_s,
        )

    def _get_usage(self, now_s: float) -> team_connections.Usage:
        # A team that only the pace holds back needs its connection next.
        is_held_back = self.pacer is not None and not self.pacer.is_below_limit
        waiting = (
            self._wait_queues.count_waiting_by_team() if is_held_back else {}
        )
        states = [
            team_connections.ConnectionState(
                c.team,
                c.is_idle and c.team not in waiting,
                c.is_held,
                c.idle_since_s,
                self._use_rates.get(c.team, now_s),
            )
            for c in self._list_direct()
        ]
        return team_connections.Usage(
            states, self._opening_teams, self._share.count_lingering(now_s)
        )

    def open_connection(self) -> None:
        """Open a connection on which control statements can run."""
        if self._holders.is_own_usable():
            self._open_direct(_NO_TEAM, 1)
            return
        # By the name of the host, so that hosts spread over the holders.
        own_host = self._holders.paths.own_host
        holder = self._holders.choose_holder(own_host)
        if holder is not None and holder != own_host and not self._is_closed:
            self._open_relay(holder, MAX_RELAY_CONNECTIONS)

    def _open_for_control(self) -> None:
        self.open_connection()

    def open_if_allowed(self, team: str = "", is_paced: bool = True) -> None:
        """Open another connection for a team if the limits allow one.

        Args:
            team: name of the team that needs a connection.
            is_paced: whether the target's pace has to allow a statement on it.
        """
        holder = self._holders.choose_holder(team)
        if self._is_closed or holder is None:
            return
        if holder != self._holders.paths.own_host:
            self._open_relay(holder, MAX_RELAY_CONNECTIONS)
            return
        waiting = max(1, self._wait_queues.count_waiting(team))
        if is_paced:
            self._open_paced(team, waiting)
        else:
            self._open_direct(team, waiting)

    def _open_waiting(self) -> None:
        """Open connections for the teams that wait, in their order."""
        waiting = self._wait_queues.count_waiting_by_team()
        if not waiting:
            return
        now_s = clock.get_time_s()
        if self._holders.paths.holders.is_local and not (
            team_connections.can_open(
                _NO_TEAM in waiting,
                self._get_usage(now_s),
                self._get_share(now_s),
            )
        ):
            return
        for team, count in waiting.items():
            self._open_paced(team, count)

    def _open_paced(self, team: str, waiting: int) -> None:
        """Open connections for a team as far as the target's pace allows.

        A team without a connection gets one even while the pace holds
        statements back, or the teams that have one would use all room. Only
        one is opened at a time then, since opening takes a slot.
        """
        if self._is_held_back():
            has_own = any(
                c.team == team and not c.is_held for c in self._list_direct()
            )
            if has_own or self._opening_teams.total():
                return
            waiting = 1
        self._open_direct(team, waiting)

    def _open_relay(self, host: str, limit: int) -> None:
        """Open a relay connection; only one to each holder at a time."""
        relay_host = self._holders.paths.relay_hosts.get(host)
        count = sum(1 for c in self._connections if c.relay_host == host)
        if relay_host is None or self._opening_relays[host] or count >= limit:
            return
        self._opening_relays[host] += 1
        self._start_opening(pool_opening.Path(relay_host, self._user, "", True))

    def _open_direct(self, team: str, waiting: int) -> None:
        """Open connections for a team's waiting statements within the share."""
        now_s = clock.get_time_s()
        if self._is_closed or self._retry_at_s > now_s:
            return
        share = self._get_share(now_s)
        while True:
            usage = self._get_usage(now_s)
            plan = team_connections.plan_opening(
                team,
                waiting,
                usage,
                self._limit_growth(share, usage),
                self.entry.slots,
            )
            if plan is None:
                break
            evicted = None
            if plan.evicted is not None:
                evicted = self._list_direct()[plan.evicted]
            # Counted before the eviction, which may call back into this pool.
            self._opening_teams[team] += 1
            self._start_opening(
                pool_opening.Path(None, team or self._user, team)
            )
            reason = "free place" if evicted is None else "eviction"
            self._counters.increment("connections_opened", reason)
            if evicted is not None:
                self._evict(evicted, team)
        if not self._holders.paths.holders.is_local:
            self._request_count(now_s)

    def _limit_growth(self, share: int, usage: team_connections.Usage) -> int:
        """Return the share for the next opening.

        Holders outside of the target's data centre see the same free places. So
        each opens only one connection beyond its own share for each report of
        the target's count that was requested after its last opening.
        """
        if self._holders.paths.holders.is_local or (
            not self._opening_teams.total() and self._opened_s < self.reported_s
        ):
            return share
        own = team_connections.get_share(self.max_connections, False)
        return min(share, max(own, usage.count_all()))

    def _evict(self, connection: connections.Connection, team: str) -> None:
        self._counters.increment("connections_evicted", "share")
        self._log.write(
            "connection_evicted",
            target=self.entry.target,
            team=connection.team,
            waiting_team=team,
        )
        self._close_own(connection)

    def _close_own(self, connection: connections.Connection) -> None:
        """Close an idle connection, which proves nothing about the target."""
        self._connections.discard(connection)
        connection.close()

    def _request_count(self, now_s: float) -> None:
        """Request the number of the target's connections."""
        connection = self.find_idle_connection(
            session_setup.NO_NEEDS, False, None
        )
        if now_s < self._next_count_s or connection is None:
            return
        self._next_count_s = now_s + COUNT_INTERVAL_S

        def handle_status(outcome: line_connections.Outcome) -> None:
            answer = outcome.answer
            status = line_protocol.parse_status(answer) if answer else None
            if status is not None:
                self.reported_connections = status.connections
                self.reported_s = outcome.asked_s

        connection.send(
            line_protocol.HOST_STATEMENT_ID,
            line_protocol.STATUS,
            handle_status,
            pools.CONTROL_TIMEOUT_S,
        )

    def call_when_open(self, on_open: Callable[[bool], None]) -> None:
        """Call back with whether a direct connection could be opened."""
        if self.has_direct_connection:
            on_open(True)
            return
        if not self.is_unreachable_for_others():
            self._open_direct(_NO_TEAM, 1)
        if self._opening_teams.total():
            self._open_callbacks.append(on_open)
        else:
            on_open(False)

    def _answer_open_callbacks(
        self, path: pool_opening.Path, is_direct: bool
    ) -> None:
        if path.relay_host is None:
            super()._answer_open_callbacks(path, is_direct)
            # The one being opened counted as opening until now.
            self._open_waiting()

    def _handle_open_end(self, path: pool_opening.Path) -> None:
        if path.relay_host is None:
            self._opening_teams[path.team] -= 1
            self._opened_s = clock.get_time_s()
        else:
            self._opening_relays[path.relay_host.host] -= 1

    def handle_opened(self, connection: connections.Connection) -> None:
        """Add a connection that the target or a holder has accepted."""
        own_host = self._holders.paths.own_host
        self._holders.mark_working(connection.relay_host or own_host)
        super().handle_opened(connection)

    def _handle_connected(
        self,
        connection: connections.Connection,
        path: pool_opening.Path,
        started_s: float,
    ) -> None:
        if connection.is_closed and connection.refusal is not None:
            self._handle_refusal(path, connection.refusal, started_s)
        elif not connection.is_open and path.relay_host is not None:
            self._mark_failed(path.relay_host.host)
        elif connection.is_half_open:
            now_s = clock.get_time_s()
            self._share.add_lingering(now_s)
            # At this interval the lingering ones never take the whole share.
            self._retry_at_s = now_s + (
                connection_share.LINGER_S / self._get_share(now_s)
            )
        if self._is_closed:
            connection.abort()

    def _handle_refusal(
        self, path: pool_opening.Path, code: statements.Code, started_s: float
    ) -> None:
        super()._handle_refusal(path, code, started_s)
        if code is not statements.Code.TOO_MANY_CONNECTIONS:
            return
        count = len(self._list_direct())
        self._share.reduce(count, clock.get_time_s())
        if not count:
            self._mark_failed(self._holders.paths.own_host)

    def _handle_open_failure(
        self,
        path: pool_opening.Path,
        started_s: float,
        is_refused: bool,
        reason: str,
    ) -> None:
        now_s = clock.get_time_s()
        if path.relay_host is not None:
            self._mark_failed(path.relay_host.host)
            if self._holders.has_usable():
                # Another holder may reach the target.
                return
        else:
            self._retry_at_s = now_s + pools.RETRY_DELAY_S
            if not self.has_direct_connection:
                self._mark_failed(self._holders.paths.own_host)
        self.record_failure(started_s, is_refused)
        self._log_failure(reason)

    def _mark_failed(self, host: str) -> None:
        """Use the next holders of the teams until this one responds again."""
        self._holders.mark_failed(host, clock.get_time_s())
        for connection in tuple(self._connections):
            if connection.relay_host == host and connection.is_idle:
                self._connections.discard(connection)
                connection.abort()
        if host == self._holders.paths.own_host:
            self._wait_queues.drop_relay_requests()

    def restart(self, entry: model.TargetEntry) -> None:
        """Reset the pool for a target that has restarted."""
        super().restart(entry)
        self._holders.clear_failures()
        self._share.reset()
