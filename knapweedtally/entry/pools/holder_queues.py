"""Ordered wait of relayed statements for the connections of one pool.

Used only with load control; otherwise relayed statements wait first in, first
out.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import holder_queue
from knapweedtally.core.groups import queue_refusals
from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import team_turns
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import metrics
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import connections

WAIT_HISTOGRAM = "holder_wait_seconds"

# Returns an idle direct connection for a team and a statement's needs,
# or None.
TakeTeamConnection = Callable[
    [str, session_setup.Needs], connections.Connection | None
]


class Request(NamedTuple):
    """A statement that needs a connection.

    Attributes:
        needs: what the statement needs of the connection's session.
        on_idle: called once with the connection, or with None if the queue
            closes; not called after ``on_refused``.
        on_refused: called with the detail of the refusal, or None to call
            ``on_idle`` without a connection instead.
        id: id of the statement, for the log.
    """

    needs: session_setup.Needs
    on_idle: Callable[[connections.Connection | None], None]
    on_refused: Callable[[bytes], None] | None
    id: bytes


class _Run(NamedTuple):
    team: str
    priority: int
    started_s: float


class HolderQueues:
    """Run a holder's queue for one pool: clock, randomness, log and metrics."""

    def __init__(
        self,
        target: str,
        take_connection: TakeTeamConnection,
        is_free: Callable[[str], bool],
        log: logs.Log,
        counters: metrics.Metrics,
    ) -> None:
        """Create an empty queue.

        Args:
            target: id of the target.
            take_connection: returns an idle direct connection for a team and
                a statement's needs, or None.
            is_free: returns whether it would return one for a team. It is
                asked for each waiting team, so it must not count as a use.
            log: the host's log.
            counters: the host's counters.
        """
        self._target = target
        self._take_connection = take_connection
        self._is_free = is_free
        self._log = log
        self._counters = counters
        self._queue = holder_queue.HolderQueue()
        self._runs: dict[connections.Connection, _Run] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def count_by_team(self) -> dict[str, int]:
        """Return how many requests wait, in the order of their teams."""
        return self._queue.count_by_team()

    def estimate_wait(self, team: str, priority: int) -> float:
        """Return how long a new request would wait, in seconds."""
        return self._queue.estimate_wait(team, priority)

    def add(
        self, request: Request, deadline_s: float, team: str, priority: int
    ) -> None:
        """Run, queue or refuse a request."""
        now_s = clock.get_time_s()
        self.record_ends()
        entry = team_turns.Entry(team, priority, deadline_s, now_s, request)
        self._refuse(self._queue.add(entry, now_s), now_s)
        # The entries ahead may wait for connections of other teams.
        self.serve()

    def serve(self) -> None:
        """Assign idle connections to queued requests."""
        self.record_ends()
        self.drop_overdue(clock.get_time_s())
        while len(self._queue):
            now_s = clock.get_time_s()
            entry = self._queue.take(now_s, self._is_free)
            if entry is None:
                return
            request: Request = entry.payload
            connection = self._take_connection(entry.team, request.needs)
            self._counters.observe(
                f"priority {entry.priority}",
                now_s - entry.arrived_s,
                WAIT_HISTOGRAM,
            )
            if connection is not None:
                # The last request may not have used it after all.
                self._forget(connection)
                run = _Run(entry.team, entry.priority, now_s)
                self._runs[connection] = run
            else:
                self._queue.record_end(entry.team, entry.priority, None)
            supervision.contain("relay request", request.on_idle, connection)

    def record_start(
        self, connection: connections.Connection, team: str, priority: int
    ) -> None:
        """Record that a statement got a connection without waiting."""
        self._forget(connection)
        self._queue.record_start(team, priority)
        self._runs[connection] = _Run(team, priority, clock.get_time_s())

    def record_ends(self) -> None:
        """Record which connections have been freed or closed."""
        for connection in tuple(self._runs):
            if connection.is_idle or connection.is_closed:
                self._forget(connection)

    def drop_overdue(self, now_s: float) -> None:
        """Refuse the requests that can't be answered in time any more."""
        self._refuse(self._queue.drop_overdue(now_s), now_s)

    def close(self) -> None:
        """Call back all requests without a connection."""
        for entry in self._queue.remove_all():
            request: Request = entry.payload
            supervision.contain("relay request", request.on_idle, None)

    def _forget(self, connection: connections.Connection) -> None:
        run = self._runs.pop(connection, None)
        if run is None:
            return
        run_s = connection.idle_since_s - run.started_s
        # A closed connection, or one that was not used after all, shows no run
        # time.
        is_known = not connection.is_closed and run_s > 0
        self._queue.record_end(
            run.team, run.priority, run_s if is_known else None
        )

    def _refuse(
        self, refusals: list[holder_queue.Refusal], now_s: float
    ) -> None:
        for refusal in refusals:
            entry = refusal.entry
            request: Request = entry.payload
            retry_after_s = self._queue.retry_after(
                entry.priority, random.random()
            )
            self._counters.increment(
                "holder_queue_refused", refusal.reason.name
            )
            self._log.write(
                "holder_queue_refused",
                id=request.id.decode("utf-8", "replace"),
                target=self._target,
                team=entry.team,
                priority=entry.priority,
                reason=refusal.reason.value,
                queue_length=refusal.length,
                expected_wait_ms=round(refusal.wait_s * 1000),
                waited_ms=round((now_s - entry.arrived_s) * 1000),
                left_ms=round((entry.deadline_s - now_s) * 1000),
                retry_after_ms=round(retry_after_s * 1000),
            )
            if request.on_refused is None:
                supervision.contain("relay request", request.on_idle, None)
                continue
            detail = queue_refusals.format_detail(
                refusal.reason.value,
                queue_refusals.QueueRefusal(
                    refusal.length, refusal.wait_s, retry_after_s
                ),
            )
            supervision.contain("relay request", request.on_refused, detail)
