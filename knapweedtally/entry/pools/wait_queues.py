"""Statements that wait for an idle connection to a target.

These are the control statements of this host and the statements that it relays
for other hosts. The statements of its own callers wait here, too, where callers
belong to teams, and in the router otherwise.
"""

import collections
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import session_setup
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import holder_queues
from knapweedtally.entry.pools import line_connections
from knapweedtally.platform import line_protocol

# Minimum time for the answer to a control statement that has waited.
MIN_TIMEOUT_S = 0.05

# Called with the needs of a statement, whether the connection must be direct,
# and the team, or None if the connection may belong to any.
TakeConnection = Callable[
    [session_setup.Needs, bool, str | None], connections.Connection | None
]


class _ControlStatement(NamedTuple):
    text: bytes
    on_end: line_connections.OutcomeCallback
    deadline_s: float


class _RelayRequest(NamedTuple):
    needs: session_setup.Needs
    on_idle: Callable[[connections.Connection | None], None]
    deadline_s: float
    team: str


class WaitQueues:
    """Queues for the idle connections of one pool.

    They are first in, first out. With load control, relayed statements wait in
    the order of ``core.groups.holder_queue`` instead.
    """

    def __init__(self, take_connection: TakeConnection) -> None:
        """Create empty queues.

        Args:
            take_connection: returns an idle connection for a statement's needs,
                or None; if the second argument is set, only a connection that
                isn't relayed by another host; if the third is not None, only
                one of that team.
        """
        self._take_connection = take_connection
        self._holder_queues: holder_queues.HolderQueues | None = None
        self._control_statements: collections.deque[_ControlStatement] = (
            collections.deque()
        )
        self._relay_requests: collections.deque[_RelayRequest] = (
            collections.deque()
        )

    @property
    def has_relay_requests(self) -> bool:
        """Return whether a relayed statement waits."""
        return bool(self._relay_requests or self._holder_queues)

    @property
    def relay_request_count(self) -> int:
        """Return the number of relayed statements that wait."""
        return len(self._relay_requests) + len(self._holder_queues or ())

    def use_holder_queue(
        self,
        target: str,
        log: logs.Log,
        counters: metrics.Metrics,
        is_free: Callable[[str], bool] | None = None,
    ) -> None:
        """Queue statements by priority, team and deadline.

        Args:
            target: id of the target.
            log: the host's log.
            counters: the host's counters.
            is_free: returns whether a direct connection for a team is idle
                without counting it as used, or None to take one for the
                answer.
        """

        def take_team_connection(
            team: str, needs: session_setup.Needs
        ) -> connections.Connection | None:
            return self._take_connection(needs, True, team)

        def has_team_connection(team: str) -> bool:
            return (
                take_team_connection(team, session_setup.NO_NEEDS) is not None
            )

        self._holder_queues = holder_queues.HolderQueues(
            target,
            take_team_connection,
            is_free or has_team_connection,
            log,
            counters,
        )

    @property
    def has_holder_queue(self) -> bool:
        """Return whether statements wait by priority, team and deadline."""
        return self._holder_queues is not None

    def estimate_wait(self, team: str, priority: int) -> float:
        """Return the expected wait for a connection, in seconds.

        It is known only with load control, and 0 otherwise.
        """
        if self._holder_queues is None:
            return 0.0
        return self._holder_queues.estimate_wait(team, priority)

    @property
    def has_control_statements(self) -> bool:
        """Return whether a control statement waits."""
        return bool(self._control_statements)

    def count_waiting_by_team(self) -> dict[str, int]:
        """Return how many relayed statements wait, in the order of teams."""
        if self._holder_queues is not None:
            return self._holder_queues.count_by_team()
        counts: dict[str, int] = {}
        for request in self._relay_requests:
            counts[request.team] = counts.get(request.team, 0) + 1
        return counts

    def count_waiting(self, team: str) -> int:
        """Return how many relayed statements of a team wait."""
        if self._holder_queues is not None:
            return self._holder_queues.count_by_team().get(team, 0)
        return sum(1 for r in self._relay_requests if r.team == team)

    def add_control_statement(
        self,
        text: bytes,
        on_end: line_connections.OutcomeCallback,
        deadline_s: float,
    ) -> None:
        """Queue a control statement.

        Args:
            text: the statement.
            on_end: called once with the outcome.
            deadline_s: time at which it is dropped or its answer is due.
        """
        self._control_statements.append(
            _ControlStatement(text, on_end, deadline_s)
        )

    def add_relay_request(
        self,
        needs: session_setup.Needs,
        on_idle: Callable[[connections.Connection | None], None],
        deadline_s: float,
        team: str = "",
        priority: int = 0,
        on_refused: Callable[[bytes], None] | None = None,
        id_: bytes = b"",
    ) -> None:
        """Queue a request for a connection.

        The optional arguments have no effect without load control.

        Args:
            needs: what the statement needs of the connection's session.
            on_idle: called once with the connection, or with None if the
                request is dropped.
            deadline_s: time at which the request is dropped.
            team: name of the team that the connection must belong to, empty
                for none.
            priority: priority of the statement; 0 is the most urgent.
            on_refused: called in place of ``on_idle`` with the detail of the
                refusal if the queue refuses the request, at once or later.
            id_: id of the statement, for the log.
        """
        if self._holder_queues is None:
            request = _RelayRequest(needs, on_idle, deadline_s, team)
            self._relay_requests.append(request)
            return
        self._holder_queues.add(
            holder_queues.Request(needs, on_idle, on_refused, id_),
            deadline_s,
            team,
            priority,
        )

    def record_start(
        self,
        connection: connections.Connection,
        team: str = "",
        priority: int = 0,
    ) -> None:
        """Record that a relayed statement got a connection without waiting."""
        if self._holder_queues is not None:
            self._holder_queues.record_start(connection, team, priority)

    def serve_control_statements(self, now_s: float) -> None:
        """Send queued control statements while a connection is idle."""
        if self._holder_queues is not None:
            # What ended has to be seen before the connection is used again.
            self._holder_queues.record_ends()
        while self._control_statements:
            connection = self._take_connection(
                session_setup.NO_NEEDS, False, None
            )
            if connection is None:
                return
            statement = self._control_statements.popleft()
            timeout_s = max(MIN_TIMEOUT_S, statement.deadline_s - now_s)
            connection.send(
                line_protocol.HOST_STATEMENT_ID,
                statement.text,
                statement.on_end,
                timeout_s,
            )

    def serve_relay_requests(self) -> None:
        """Assign idle direct connections to queued relay requests.

        A team without an idle connection doesn't delay the teams behind it.
        """
        if self._holder_queues is not None:
            self._holder_queues.serve()
            return
        blocked: set[str] = set()
        is_served = True
        while is_served:
            is_served = False
            for index, request in enumerate(self._relay_requests):
                if request.team in blocked:
                    continue
                connection = self._take_connection(
                    request.needs, True, request.team
                )
                if connection is None:
                    blocked.add(request.team)
                    continue
                del self._relay_requests[index]
                supervision.contain(
                    "relay request", request.on_idle, connection
                )
                # The callback may have changed the queue.
                is_served = True
                break

    def drop_overdue(self, now_s: float) -> None:
        """Drop overdue entries, calling them back without a connection."""
        while (
            self._control_statements
            and self._control_statements[0].deadline_s < now_s
        ):
            self._drop_control_statement(now_s, True)
        if self._holder_queues is not None:
            self._holder_queues.record_ends()
            self._holder_queues.drop_overdue(now_s)
        # Deadlines of teams' statements differ, so any may be overdue.
        overdue = [r for r in self._relay_requests if r.deadline_s < now_s]
        for request in overdue:
            if request in self._relay_requests:
                self._relay_requests.remove(request)
                self._reject(request)

    def drop_relay_requests(self) -> None:
        """Drop all relay requests, calling them back without a connection."""
        if self._holder_queues is not None:
            self._holder_queues.close()
        # A callback may queue its request again.
        for _ in range(len(self._relay_requests)):
            self._drop_relay_request()

    def close(self, now_s: float) -> None:
        """Drop all entries, calling them back without a connection."""
        while self._control_statements:
            self._drop_control_statement(now_s, False)
        if self._holder_queues is not None:
            self._holder_queues.close()
        while self._relay_requests:
            self._drop_relay_request()

    def _drop_control_statement(self, now_s: float, is_timeout: bool) -> None:
        statement = self._control_statements.popleft()
        outcome = line_connections.Outcome(None, now_s, is_timeout)
        supervision.contain("control statement", statement.on_end, outcome)

    def _drop_relay_request(self) -> None:
        self._reject(self._relay_requests.popleft())

    def _reject(self, request: _RelayRequest) -> None:
        supervision.contain("relay request", request.on_idle, None)
