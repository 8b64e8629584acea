"""Opening of connections to one target, and the target's failures."""

import abc
import asyncio
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import session_setup
from knapweedtally.core.groups import statements
from knapweedtally.entry.common import clock
from knapweedtally.entry.common import logs
from knapweedtally.entry.common import supervision
from knapweedtally.entry.pools import connections
from knapweedtally.entry.pools import pacing
from knapweedtally.entry.pools import path_selection
from knapweedtally.entry.pools import wait_queues

# Timeout for opening a connection, in seconds. A lost SYN packet is
# retransmitted after one second, which is too long to wait for.
CONNECT_TIMEOUT_S = 0.3

# Delay before a new connection after a failed one, in seconds.
RETRY_DELAY_S = 0.1
# The same after the target reported that it has too many connections.
FULL_RETRY_DELAY_S = 0.5


class Path(NamedTuple):
    """The path and the user name of one new connection.

    Attributes:
        relay_host: the host that relays the connection, or None if direct.
        user: name of this host towards the target.
        team: team for which a direct connection is opened, empty for none.
        has_announcements: whether the team of each statement is announced.
    """

    relay_host: path_selection.RelayHost | None
    user: str
    team: str = ""
    has_announcements: bool = False


class PoolOpening(abc.ABC):
    """Open the connections of a pool and record the target's failures.

    Attributes:
        load: the target's load and lag, for the placement of requests.
        entry: the target's entry in the store.
        max_connections: connections that the target accepts from all hosts.
        reported_connections: number of connections in the target's last
            status.
        reported_lag_s: how far reads lagged behind the log in that status.
        reported_s: when it was requested.
        holder_count: number of hosts that hold connections to the target.
        path_selector: chooses the network path of each connection.
        pacer: limits the concurrent statements on direct connections, or None.
        failing_since_s: time of the first failure since the target's last
            answer, or None.
        failures: number of failures since the target's last answer.
        is_refusing: whether the last failure was a refused connection.
        answered_s: when the target last answered.
        recovered_s: when it last answered after it had been unresponsive.
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
        self.reported_lag_s = 0.0
        self.reported_s = 0.0
        self.holder_count = 1
        self.path_selector = path_selection.PathSelector()
        self.pacer: pacing.TargetPacer | None = None
        self._wait_queues = wait_queues.WaitQueues(self.find_idle_connection)
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
        self.recovered_s = float("-inf")
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    @property
    def has_teams(self) -> bool:
        """Return whether connections belong to teams."""
        return False

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

    def open_connection(self) -> None:
        """Open a connection in the background."""
        self._start_opening(None)

    def _start_opening(self, path: Path | None) -> None:
        """Open a connection in the background.

        Args:
            path: its path, or None to choose it at the start.
        """
        self._opening += 1
        task = asyncio.get_running_loop().create_task(self._open(path))
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

    def _choose_path(self, now_s: float) -> Path:
        relay_host = self.path_selector.choose_relay_host(now_s)
        return Path(relay_host, self._user)

    async def _open(self, path: Path | None) -> None:
        started_s = clock.get_time_s()
        if path is None:
            path = self._choose_path(started_s)
        connection = None
        try:
            connection = await self._connect(path, started_s)
        except Exception as error:
            # An entry may name an address that can't be used at all.
            supervision.report("connection", error)
            self._handle_open_failure(path, started_s, False, repr(error))
        finally:
            self._opening -= 1
            self._handle_open_end(path)
        is_direct = False
        if connection is not None:
            self._handle_connected(connection, path, started_s)
            is_direct = connection.is_open and not connection.relay_host
        self._answer_open_callbacks(path, is_direct)
        self._on_change()

    @abc.abstractmethod
    def _handle_open_end(self, path: Path) -> None:
        """Handle that a connection is no longer being opened."""

    def _answer_open_callbacks(self, path: Path, is_direct: bool) -> None:
        callbacks, self._open_callbacks = self._open_callbacks, []
        for on_open in callbacks:
            supervision.contain("relay request", on_open, is_direct)

    async def _connect(
        self, path: Path, started_s: float
    ) -> connections.Connection:
        """Return a connection that was opened, refused or that failed."""
        entry = self.entry
        relay_host = path.relay_host
        connection = connections.Connection(
            self, entry.group, path.user, entry.target
        )
        connection.team = path.team
        connection.has_announcements = path.has_announcements
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
            self._handle_open_failure(path, started_s, is_refused, repr(error))
            connection.abort()
        except Exception:
            connection.abort()
            raise
        return connection

    def _handle_connected(
        self,
        connection: connections.Connection,
        path: Path,
        started_s: float,
    ) -> None:
        if connection.is_closed and connection.refusal is not None:
            self._handle_refusal(path, connection.refusal, started_s)
        if self._is_closed:
            connection.abort()
        if not connection.is_open:
            self.path_selector.use_next_relay_host()
        elif not connection.relay_host:
            self.path_selector.end_fallback()

    def _handle_refusal(
        self, path: Path, code: statements.Code, started_s: float
    ) -> None:
        now_s = clock.get_time_s()
        if code is statements.Code.TOO_MANY_CONNECTIONS:
            self.reported_connections = self.max_connections
            self.reported_s = now_s
            self._retry_at_s = now_s + FULL_RETRY_DELAY_S
            return
        self._handle_open_failure(path, started_s, True, code.name)

    def _handle_open_failure(
        self, path: Path, started_s: float, is_refused: bool, reason: str
    ) -> None:
        now_s = clock.get_time_s()
        self._retry_at_s = now_s + RETRY_DELAY_S
        self.record_failure(started_s, is_refused)
        self.start_fallback()
        self._log_failure(reason)

    def _log_failure(self, reason: str) -> None:
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

    def handle_answer(self) -> None:
        """Clear the target's failures, since it has answered."""
        self.answered_s = clock.get_time_s()
        if self.failing_since_s is not None:
            has_recovered = not self.load.is_responsive
            self.clear_failures()
            if has_recovered:
                self.recovered_s = self.answered_s
            if has_recovered and self.pacer is not None:
                self.pacer.handle_recovered()

    def clear_failures(self) -> None:
        """Forget the failures since the target's last answer."""
        self.failing_since_s = None
        self.failures = 0
        self.load.is_responsive = True

    @abc.abstractmethod
    def find_idle_connection(
        self,
        needs: session_setup.Needs,
        is_direct: bool = False,
        team: str | None = "",
    ) -> connections.Connection | None:
        """Return an idle connection, or None."""

    @abc.abstractmethod
    def handle_opened(self, connection: connections.Connection) -> None:
        """Add a connection that the target has accepted."""

    @abc.abstractmethod
    def handle_idle(self, connection: connections.Connection) -> None:
        """Reuse an idle connection for whatever waits for one."""

    @abc.abstractmethod
    def handle_closed(self, connection: connections.Connection) -> None:
        """Remove a connection that was closed."""
