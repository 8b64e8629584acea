"""A target: an instance of the stand-ins on the simulated network."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from knapweedtally.core import effects
from standins.target import errors as target_errors
from standins.target import instance as instance_module
from standins.target import log as logs
from tests.driver import connection as connection_module
from tests.driver import network as network_module
from tests.driver import schedule as schedule_module
from tests.driver import table as table_module

MEAN_PULL_INTERVAL_S = 0.010
MEAN_SERVICE_TIME_S = 0.001
BARRIER_TIMEOUT_S = 2.0
WRITE_HOLD_MS = 1000.0

Command = table_module.Command
Connection = connection_module.Connection
Result = connection_module.Result


class _PendingBarrier(NamedTuple):
    barrier: instance_module.Barrier
    deadline: float
    finish: Callable[[instance_module.BarrierState], None]


class Target:
    """Server of one instance on the simulated network.

    Like a database on disk, it keeps its log and its installed term over a
    restart, and loses its connections and their transactions.

    Attributes:
        id: id of the instance.
        process: process that faults can kill, pause or isolate.
        instance: term, log and confirmations.
        table: data that reads return.
        connection_limit: maximum number of open connections.
        apply_lag_s: time from the receipt of entries to their application.
        pull_delay_s: additional time between two pulls.
        peers: targets of the group by id.
        on_term_opened: called with the term when this target becomes its
            primary.
    """

    def __init__(
        self,
        process: schedule_module.Process,
        network: network_module.Network,
        members: Sequence[str],
    ) -> None:
        """Start a target with an empty log."""
        self.id = process.name
        self.process = process
        self.instance = instance_module.Instance(self.id, members)
        self.table = table_module.Table(self.instance)
        self.connection_limit = 15
        self.apply_lag_s = 0.0
        self.pull_delay_s = 0.0
        self.peers: dict[str, Target] = {}
        self.on_term_opened: Callable[[int], None] = connection_module.ignore
        self._schedule = process.schedule
        self._network = network
        # A dict keeps the order of opening, which a set would not.
        self._connections: dict[Connection, None] = {}
        self._pending_barriers: list[_PendingBarrier] = []
        self._pull_entries()

    def kill(self) -> None:
        """End the process; clients see their connections reset."""
        self.process.kill()
        for connection in self._connections:
            connection.is_open = False
            self._schedule.call_later(0.001, connection.on_reset)
        self._connections.clear()
        self._pending_barriers.clear()

    def restart(self) -> None:
        """Restart with the log kept if the process isn't running."""
        if not self.process.is_running:
            self.process.start()
            self._pull_entries()

    def set_members(self, members: Collection[str]) -> None:
        """Set the targets that form the group, as its configuration does."""
        self.instance.members = frozenset(members)

    def accept(self) -> Connection | None:
        """Open a connection, or return None if the limit is reached."""
        if len(self._connections) >= self.connection_limit:
            return None
        connection = Connection()
        self._connections[connection] = None
        return connection

    def close(self, connection: Connection) -> None:
        """Close a connection; its open transaction is rolled back.

        A statement that has arrived still runs, and the connection closes after
        it.
        """
        connection.is_closing = connection.is_running
        if connection.is_closing:
            return
        connection.is_open = False
        connection.transaction = None
        self._connections.pop(connection, None)

    # Statements.

    def run(
        self,
        connection: Connection,
        command: Command,
        answer: Callable[[Result], None],
    ) -> None:
        """Run a command on a connection after the service time.

        Args:
            connection: connection that the command arrived on.
            command: command to run.
            answer: called with the result, after the barrier if there is one.
        """

        def serve() -> None:
            result = self._execute(connection, command)
            connection.is_running = False
            if connection.is_closing:
                self.close(connection)
            if result.sqlstate or not command.needs_barrier:
                answer(result)
                return
            self._answer_after_barrier(result, answer)

        connection.is_running = True
        delay_s = MEAN_SERVICE_TIME_S * (0.5 + self._schedule.random.random())
        self.process.call_later(delay_s, serve)

    def _execute(self, connection: Connection, command: Command) -> Result:
        self.table.apply()
        result = Result(self._make_report(), (), command.marker)
        try:
            result = _COMMANDS[command.kind](self, connection, command, result)
        except target_errors.TargetError as error:
            connection.transaction = None
            result = result._replace(sqlstate=error.sqlstate)
        self.table.apply()
        is_open = connection.transaction is not None
        return result._replace(report=self._make_report(), is_open=is_open)

    def _make_report(self) -> instance_module.Report:
        return self.instance.report(self._schedule.now)

    def _read(
        self, connection: Connection, command: Command, result: Result
    ) -> Result:
        pending = connection.transaction or ()
        rows = self.table.select(command.scope, pending)
        return result._replace(rows=rows)

    def _write(
        self, connection: Connection, command: Command, result: Result
    ) -> Result:
        if connection.transaction is not None:
            return self._add_statement(connection, command, result)
        self.instance.check_writable(self._schedule.now)
        if command.key and command.key in self.table.keys:
            is_same = self.table.keys[command.key] == command.values
            return result._replace(is_key_reused=not is_same)
        self.instance.append(table_module.make_statements(command))
        return result

    def _begin(
        self, connection: Connection, command: Command, result: Result
    ) -> Result:
        connection.transaction = []
        return result

    def _add_statement(
        self, connection: Connection, command: Command, result: Result
    ) -> Result:
        if connection.transaction is None:
            return self._write(connection, command, result)
        if len(connection.transaction) == 0:
            # A transaction that has written may commit during a write hold.
            self.instance.check_writable(self._schedule.now)
        connection.transaction += table_module.make_statements(command)
        return result

    def _commit(
        self, connection: Connection, command: Command, result: Result
    ) -> Result:
        statements, connection.transaction = connection.transaction, None
        if statements:
            self.instance.append(statements)
        return result

    def _roll_back(
        self, connection: Connection, command: Command, result: Result
    ) -> Result:
        connection.transaction = None
        return result

    # Control commands and barriers.

    def run_control(
        self, effect: effects.ControlTarget
    ) -> instance_module.ControlAnswer:
        """Run a control command and return the instance's answer."""
        was_primary = self.instance.is_primary
        found = _CONTROLS[effect.command](self, effect)
        self.table.apply()
        if self.instance.is_primary and not was_primary:
            self.on_term_opened(self.instance.term)
        self._check_barriers()
        return found

    def _hold_writes(
        self, effect: effects.ControlTarget
    ) -> instance_module.ControlAnswer:
        now = self._schedule.now
        return self.instance.hold(effect.term, WRITE_HOLD_MS, now)

    def _answer_after_barrier(
        self, result: Result, answer: Callable[[Result], None]
    ) -> None:
        try:
            barrier = self.instance.start_barrier(self._schedule.now)
        except target_errors.TargetError:
            answer(result)
            return

        def finish(state: instance_module.BarrierState) -> None:
            if state is instance_module.BarrierState.CONFIRMED:
                confirmed = (barrier.term, barrier.offset)
                answer(result._replace(confirmed=confirmed))
            else:
                answer(result)

        deadline = self._schedule.now + BARRIER_TIMEOUT_S
        self._pending_barriers.append(
            _PendingBarrier(barrier, deadline, finish)
        )
        self._check_barriers()

    def _check_barriers(self) -> None:
        barriers, self._pending_barriers = self._pending_barriers, []
        for item in barriers:
            state = self.instance.check_barrier(item.barrier)
            is_pending = state is instance_module.BarrierState.PENDING
            if is_pending and self._schedule.now < item.deadline:
                self._pending_barriers.append(item)
            else:
                item.finish(state)

    # Replication.

    def _pull_entries(self) -> None:
        jitter = 0.5 + self._schedule.random.random()
        delay_s = MEAN_PULL_INTERVAL_S * jitter + self.pull_delay_s
        self.process.call_later(delay_s, self._pull_entries)
        self._check_barriers()
        primary = self.peers.get(self.instance.primary)
        if primary is None or self.instance.is_primary:
            return
        sent_at = self._schedule.now
        request = self.instance.make_pull()

        def serve() -> None:
            answer = primary.instance.pull(request, self._schedule.now)
            primary._check_barriers()
            self._network.send(
                primary.process,
                self.process,
                lambda: self._receive_entries(answer, sent_at),
            )

        self._network.send(self.process, primary.process, serve)

    def _receive_entries(self, answer: logs.PullAnswer, sent_at: float) -> None:
        if self.instance.receive(answer, sent_at):
            self.table.rebuild()
        offset = self.instance.received
        if self.apply_lag_s:
            self.process.call_later(
                self.apply_lag_s, lambda: self.instance.mark_applied(offset)
            )
        else:
            self.instance.mark_applied(offset)


_COMMANDS: dict[
    str, Callable[[Target, Connection, Command, Result], Result]
] = {
    "read": Target._read,
    "write": Target._write,
    "begin": Target._begin,
    "statement": Target._add_statement,
    "commit": Target._commit,
    "rollback": Target._roll_back,
}

_CONTROLS: dict[
    str,
    Callable[[Target, effects.ControlTarget], instance_module.ControlAnswer],
] = {
    "install_term": lambda target, effect: target.instance.install_term(
        effect.term, effect.operation
    ),
    "promote": lambda target, effect: target.instance.promote(
        effect.term, effect.operation
    ),
    "follow": lambda target, effect: target.instance.follow(
        effect.term, effect.primary
    ),
    "hold": Target._hold_writes,
}
