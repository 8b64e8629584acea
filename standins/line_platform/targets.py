"""Group of targets that implement the line protocol."""

import asyncio
import collections
import dataclasses
import enum
import secrets
from typing import Any
from typing import NamedTuple

from standins import ports
from standins.line_platform import monitor as monitor_module

# Duration of one statement on a target, in seconds.
STATEMENT_DURATION_S = 0.001


class OddAnswer(enum.Enum):
    """What a target may answer in place of the result of a statement.

    Attributes:
        REFUSED: it refuses the statement without running it.
        FAILED: it runs the statement and reports that it failed.
        LOST: it runs the statement and answers nothing.
        CUT_OFF: it runs the statement and sends a part of the answer.
        CLOSED: it runs the statement and closes the connection.
    """

    REFUSED = enum.auto()
    FAILED = enum.auto()
    LOST = enum.auto()
    CUT_OFF = enum.auto()
    CLOSED = enum.auto()


class Execution(NamedTuple):
    """A statement that a target executed for a caller.

    Attributes:
        id: id of the statement.
        text: the statement.
        values: session values of the connection.
        definition: what it executed by a prepared name, or empty.
        state: transaction state before the statement.
    """

    id: str
    text: str
    values: dict[str, str]
    definition: str
    state: str


@dataclasses.dataclass
class LogEntry:
    """One log entry; ``index`` is its position in the log, from 1."""

    term: int
    index: int
    writes: list[tuple[str, str]]


class Target:
    """One target with its log, its role and its server.

    Attributes:
        id: id of the target.
        port: listening port; 0 before the first start.
        is_primary: whether the target is a primary.
        term: current term of the target.
        paused_for: term for which the target stopped receiving log entries,
            or 0.
        log: log entries, oldest first.
        applied: number of log entries that reads on a replica see.
        apply_lag_s: delay between receiving and applying entries on a replica.
        is_unresponsive: whether the target accepts connections without
            answering their statements.
        is_partitioned: whether a partition separates it from the other targets.
        has_platform_entry: whether the platform keeps writing the target's
            entry.
        lose_answers: number of answers that are still to be dropped.
        remaining_refusals: number of statements still to be refused as BUSY, by
            the verb of the statement.
        odd_answers: what the target answers to the next statements, by verb.
        executions: statements executed for a caller, with their session.
        connections: open connections.
        statements: id and text of each statement executed for a caller.
        user_statements: user name of the connection and text of each statement
            executed for a caller.
        opened_connections: number of connections accepted since the start.
        refused_connections: number of those refused as too many.
        control_statements: id and text of each statement that a host issued
            itself.
    """

    def __init__(self, group: "Group", id_: str) -> None:
        """Create a target that isn't started."""
        self.group = group
        self.id = id_
        self.port = 0
        self.is_primary = False
        self.term = 1
        self.paused_for = 0
        self.log: list[LogEntry] = []
        self.applied = 0
        self.apply_lag_s = 0.0
        self.is_unresponsive = False
        self.is_partitioned = False
        self.has_platform_entry = True
        self.lose_answers = 0
        self.remaining_refusals: collections.Counter[str] = (
            collections.Counter()
        )
        self.odd_answers: dict[str, list[OddAnswer]] = {}
        self.executions: list[Execution] = []
        self.connections: set[Connection] = set()
        self.statements: list[tuple[str, str]] = []
        self.user_statements: list[tuple[str, str]] = []
        self.opened_connections = 0
        self.refused_connections = 0
        self.control_statements: list[tuple[str, str]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening, on the former port after a restart.

        A replaced primary comes back as a replica.
        """
        if self.term < self.group.get_newest_term():
            self.is_primary = False
        if not self.port:
            self.port = ports.find_free_port("127.0.0.1")
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2 * 1024 * 1024
        )

    def reconnect(self) -> None:
        """Reconnect to the other targets after a partition or a crash."""
        self.is_partitioned = False
        primary = self.group.find_primary()
        if primary is self:
            self.group.announce(self)
        elif primary is not None and self._receives_from(primary):
            self.adopt_log(primary.log, primary.term)

    def _receives_from(self, primary: "Target") -> bool:
        """Return whether this target reaches a primary and isn't paused.

        A promotion to the term for which it was paused, or to a later one,
        ended the pause.
        """
        return primary.is_reachable and self.paused_for <= primary.term

    async def stop(self) -> None:
        """Simulate a crash: abort all connections and keep the log."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self.connections):
            connection.abort()
        self.paused_for = 0

    @property
    def is_running(self) -> bool:
        """Return whether the target is running."""
        return self._server is not None

    @property
    def is_reachable(self) -> bool:
        """Return whether the other targets reach this one."""
        return self.is_running and not self.is_partitioned

    def format_position(self) -> str:
        """Return the position of the end of the log as text."""
        return f"{self.term}.{len(self.log)}"

    def format_status(self) -> str:
        """Return the status row as text."""
        role = "primary" if self.is_primary else "replica"
        count = len(self.connections)
        lag_ms = round(self.apply_lag_s * 1000)
        return (
            f"{role} {self.term} {self.format_position()} {self.paused_for} "
            f"{lag_ms} 0 {count}"
        )

    def read(self, item: str) -> str:
        """Return an item's newest visible value, or ``-`` without one."""
        limit = len(self.log) if self.is_primary else self.applied
        for entry in reversed(self.log[:limit]):
            for name, data in reversed(entry.writes):
                if name == item:
                    return data
        return "-"

    def read_all(self, prefix: str) -> list[str]:
        """Return all visible values of items with a prefix, oldest first."""
        limit = len(self.log) if self.is_primary else self.applied
        return [
            data
            for entry in self.log[:limit]
            for name, data in entry.writes
            if name.startswith(prefix)
        ]

    def receive(self, entry: LogEntry, log: list[LogEntry]) -> bool:
        """Receive the primary's log up to an entry and apply it after the lag.

        Returns:
            Whether the target accepted the log.
        """
        if not self.is_running or self.paused_for or self.is_primary:
            return False
        if entry.term < self.term or self.is_partitioned:
            return False
        self.log = log[: entry.index]
        self.term = entry.term
        loop = asyncio.get_running_loop()
        loop.call_later(self.apply_lag_s, self._advance_applied, len(self.log))
        return True

    def _advance_applied(self, count: int) -> None:
        self.applied = min(len(self.log), max(self.applied, count))

    def adopt_log(self, log: list[LogEntry], term: int) -> None:
        """Become a replica in a term with the given log fully applied."""
        self.is_primary = False
        self.paused_for = 0
        self.log = list(log)
        self.applied = len(log)
        self.term = term

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(self, reader, writer)
        if not self.is_running:
            # Accepted just before the stop, which therefore didn't abort it.
            connection.abort()
            return
        self.connections.add(connection)
        try:
            await connection.run()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            # The peer closed the connection or the event loop ends. An open
            # transaction is rolled back.
            pass
        finally:
            self.connections.discard(connection)
            connection.abort()


class Group:
    """Targets of one group.

    Attributes:
        name: name of the group.
        targets: targets by id.
        max_connections: connection limit of each target.
        promotion_notice_delay_s: delay until the other targets are notified of
            a promotion.
        promotion_history: time, term and target of each promotion.
        monitor: checks the team of each statement, or None.
    """

    def __init__(self, name: str, count: int, max_connections: int) -> None:
        """Create a group whose first target is the primary."""
        self.name = name
        self.max_connections = max_connections
        self.promotion_notice_delay_s = 0.0
        self.promotion_history: list[tuple[float, int, str]] = []
        self.monitor: monitor_module.Monitor | None = None
        # Ids are unique as on the platform, because concurrent test runs may
        # reuse each other's ports.
        run_suffix = secrets.token_hex(3)
        ids = [f"{name}-{run_suffix}-{number}" for number in range(count)]
        self.targets = {id_: Target(self, id_) for id_ in ids}
        self.targets[ids[0]].is_primary = True
        self._newest_term = 1
        self._run_suffix = run_suffix
        self._id_count = count

    def make_id(self) -> str:
        """Return an id that no target of the group has had."""
        self._id_count += 1
        return f"{self.name}-{self._run_suffix}-{self._id_count - 1}"

    def replace(self, old: Target, keeps_log: bool) -> Target:
        """Replace a stopped target with a replica at its address.

        Args:
            old: the target, which is gone for good.
            keeps_log: whether its log is transferred to the new target, which
                is otherwise refilled by the primary.

        Returns:
            The new target, which isn't started.
        """
        del self.targets[old.id]
        new = Target(self, self.make_id())
        self.targets[new.id] = new
        new.port = old.port
        if keeps_log:
            new.adopt_log(old.log, old.term)
        return new

    def get_newest_term(self) -> int:
        """Return the term of the newest promotion that took effect."""
        return self._newest_term

    def find_primary(self) -> Target | None:
        """Return the primary of the newest term, or None without one.

        A primary of an earlier term was replaced, whether it knows or not, and
        no member of a later term follows it.
        """
        term = self.get_newest_term()
        for target in self.targets.values():
            if target.is_primary and target.term == term:
                return target
        return None

    def get_primary(self) -> Target:
        """Return the primary of the newest term.

        Raises:
            LookupError: the group has no primary.
        """
        primary = self.find_primary()
        if primary is None:
            raise LookupError(f"group {self.name} has no primary")
        return primary

    def get_newest_log(self) -> list[LogEntry]:
        """Return the primary's log, or the one to promote without a primary."""
        newest = self.find_primary() or max(
            self.targets.values(),
            key=lambda target: (target.term, len(target.log)),
        )
        return newest.log

    def append(
        self, primary: Target, writes: list[tuple[str, str]]
    ) -> LogEntry:
        """Append an entry to the primary's log and return it."""
        entry = LogEntry(primary.term, len(primary.log) + 1, writes)
        primary.log.append(entry)
        return entry

    def replicate(self, primary: Target, entry: LogEntry) -> bool:
        """Replicate an entry; return whether a reachable replica has it."""
        others = [t for t in self.targets.values() if t is not primary]
        if primary.is_reachable:
            for other in others:
                if entry not in other.log[entry.index - 1 :]:
                    other.receive(entry, primary.log)
        return any(
            entry in other.log[entry.index - 1 : entry.index]
            for other in others
            if other.is_reachable and primary.is_reachable
        )

    def promote(self, id_: str) -> bool:
        """Make a target the primary of the next term.

        Returns:
            Whether the target is the primary now; False when it is not running
            or unknown.
        """
        target = self.targets.get(id_)
        if target is None or not target.is_running:
            return False
        if target.is_primary:
            return True
        term = self._newest_term = self._newest_term + 1
        target.adopt_log(target.log, term)
        target.is_primary = True
        loop = asyncio.get_running_loop()
        self.promotion_history.append((loop.time(), term, id_))
        for other in self.targets.values():
            if other is not target and other.is_reachable:
                other.paused_for = 0
        self.announce(target)
        return True

    def announce(self, primary: Target) -> None:
        """Let targets of earlier terms follow a primary that they reach."""
        loop = asyncio.get_running_loop()
        for other in self.targets.values():
            if other is primary or not other.is_reachable:
                continue
            if self.promotion_notice_delay_s:
                loop.call_later(
                    self.promotion_notice_delay_s,
                    self._notify_of_promotion,
                    other,
                    primary,
                )
            else:
                self._notify_of_promotion(other, primary)

    def _notify_of_promotion(self, other: Target, primary: Target) -> None:
        """Make a target follow the new primary unless it does already."""
        is_reached = other.is_reachable and primary.is_reachable
        if is_reached and primary.is_primary and primary.term > other.term:
            other.adopt_log(primary.log, primary.term)


class Connection:
    """Server side of one connection to a target.

    Attributes:
        user: name of the user that opened it, empty before its start.
        values: session values.
    """

    def __init__(
        self,
        target: Target,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Create a connection that expects its startup message."""
        self._target = target
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._is_read_only = False
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}
        self._user = ""
        self.values: dict[str, str] = {}
        self.user = ""

    def abort(self) -> None:
        """Close the connection immediately."""
        self._writer.transport.abort()

    async def run(self) -> None:
        """Serve statements until the connection is closed."""
        start = (await self._receive_line()).split(" ")
        self.user = "".join(start[2:3])
        target = self._target
        group = target.group
        if start[1] != group.name or start[3:4] not in ([], [target.id]):
            await self._send_text("ERROR WRONGNODE other id\r\n")
            return
        self._user = start[2]
        if len(target.connections) > group.max_connections:
            target.refused_connections += 1
            await self._send_text("ERROR MAXCONN full\r\n")
            return
        target.opened_connections += 1
        await self._send_text(f"READY I {target.format_position()}\r\n")
        while True:
            message = await self._receive_line()
            if message == "BYE":
                return
            _, id_, text = message.split(" ", 2)
            await asyncio.sleep(STATEMENT_DURATION_S)
            if not await self._serve_statement(id_, text):
                return

    async def _serve_statement(self, id_: str, text: str) -> bool:
        """Run a statement and answer it; return whether to stay connected."""
        target = self._target
        odd_answers = target.odd_answers.get(text.partition(" ")[0])
        odd = odd_answers.pop(0) if odd_answers else None
        if odd is OddAnswer.REFUSED:
            answer = "ERROR BUSY full\r\n"
        else:
            answer = await self._answer_statement(id_, text)
        if odd is OddAnswer.FAILED:
            answer = "ERROR FAIL odd\r\n"
        is_lost = odd is OddAnswer.LOST or target.is_unresponsive
        if id_ != "-" and target.lose_answers and not is_lost:
            target.lose_answers -= 1
            is_lost = True
        if odd is OddAnswer.CLOSED or is_lost:
            return odd is not OddAnswer.CLOSED
        if odd is not OddAnswer.CUT_OFF:
            answer += f"READY {self._state} {target.format_position()}\r\n"
        await self._send_text(answer)
        return True

    async def _receive_line(self) -> str:
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode()

    async def _send_text(self, text: str) -> None:
        self._writer.write(text.encode())
        await self._writer.drain()

    async def _answer_statement(self, id_: str, text: str) -> str:
        if text.startswith("SINCE "):
            _, position, text = text.split(" ", 2)
            term, index = map(int, position.split("."))
            target = self._target
            visible = len(target.log) if target.is_primary else target.applied
            if visible < index or target.term < term:
                return "ERROR LAGGING log\r\n"
        verb, _, operand = text.partition(" ")
        handler: Any = getattr(self, f"_run_{verb.lower()}", None)
        if handler is None:
            return "ERROR MALFORMED statement\r\n"
        if self._target.remaining_refusals[verb] > 0:
            self._target.remaining_refusals[verb] -= 1
            return "ERROR BUSY full\r\n"
        executed = (
            self._target.control_statements
            if id_ == "-"
            else self._target.statements
        )
        executed.append((id_, text))
        if id_ != "-":
            name = operand.partition(" ")[0] if verb == "EXEC" else ""
            definition = self._prepared.get(name, "unknown") if name else ""
            self._target.executions.append(
                Execution(id_, text, dict(self.values), definition, self._state)
            )
            self._target.user_statements.append((self._user, text))
            monitor = self._target.group.monitor
            if monitor is not None:
                now_s = asyncio.get_running_loop().time()
                monitor.record(now_s, self._user, id_, text)
        return str(await handler(id_, operand))

    def _has_lost_primary(self) -> bool:
        """Return whether an open read-write transaction lost its primary."""
        return (
            self._state == "T"
            and not self._is_read_only
            and not self._target.is_primary
        )

    def _format_done(self, id_: str) -> str:
        return f"DONE {self._target.id}.{id_}\r\n"

    def _reject_as_read_only(self) -> str:
        if self._state == "T":
            self._state = "E"
        return f"ERROR READONLY {self._target.id}\r\n"

    async def _run_begin(self, id_: str, operand: str) -> str:
        if not operand and not self._target.is_primary:
            return self._reject_as_read_only()
        self._state = "T"
        self._is_read_only = operand == "READ"
        self._writes = []
        return self._format_done(id_)

    async def _run_commit(self, id_: str, operand: str) -> str:
        state, self._state = self._state, "I"
        if state == "E":
            return "ERROR ABORTED failed\r\n"
        if self._writes:
            if not self._target.is_primary:
                return self._reject_as_read_only()
            await self._commit_writes(self._writes)
        return self._format_done(id_)

    async def _run_rollback(self, id_: str, operand: str) -> str:
        self._state = "I"
        self._writes = []
        return self._format_done(id_)

    async def _run_read(self, id_: str, operand: str) -> str:
        if self._has_lost_primary():
            return self._reject_as_read_only()
        if operand.endswith("*"):
            return self._read_all(id_, operand[:-1])
        for name, data in reversed(self._writes):
            if name == operand and self._state == "T":
                return f"ROW {data}\r\n{self._format_done(id_)}"
        return f"ROW {self._target.read(operand)}\r\n{self._format_done(id_)}"

    def _read_all(self, id_: str, prefix: str) -> str:
        """Return a row for each value; the signature includes their count."""
        rows = self._target.read_all(prefix)
        lines = "".join(f"ROW {data}\r\n" for data in rows)
        return f"{lines}DONE {self._target.id}.{id_}.{len(rows)}\r\n"

    async def _run_write(self, id_: str, operand: str) -> str:
        if not self._target.is_primary or self._is_read_only:
            return self._reject_as_read_only()
        item, _, data = operand.partition(" ")
        if self._state == "T":
            self._writes.append((item, data))
        else:
            await self._commit_writes([(item, data)])
        return self._format_done(id_)

    async def _commit_writes(self, writes: list[tuple[str, str]]) -> None:
        """Commit the writes and wait until a replica has received them.

        Raises:
            ConnectionAbortedError: another target became the primary, or the
                target was stopped.
        """
        target = self._target
        entry = target.group.append(target, list(writes))
        while not target.group.replicate(target, entry):
            await asyncio.sleep(0.01)
            if not target.is_running:
                raise ConnectionAbortedError("the target was stopped")
            if not target.is_primary or target.term != entry.term:
                raise ConnectionAbortedError(
                    "another target is the primary now"
                )

    async def _run_set(self, id_: str, operand: str) -> str:
        name, _, value = operand.partition(" ")
        self.values[name] = value
        return self._format_done(id_)

    async def _run_prepare(self, id_: str, operand: str) -> str:
        name, _, definition = operand.partition(" ")
        self._prepared[name] = definition
        return self._format_done(id_)

    async def _run_exec(self, id_: str, operand: str) -> str:
        name, _, arguments = operand.partition(" ")
        definition = self._prepared.get(name)
        if definition is None:
            return "ERROR NOSTMT unknown\r\n"
        if definition.startswith("READ "):
            return await self._run_read(id_, arguments)
        return await self._run_write(id_, arguments)

    async def _run_close(self, id_: str, operand: str) -> str:
        self._prepared.pop(operand, None)
        return self._format_done(id_)

    async def _run_reset(self, id_: str, operand: str) -> str:
        self._prepared.clear()
        self.values.clear()
        return self._format_done(id_)

    async def _run_status(self, id_: str, operand: str) -> str:
        return f"ROW {self._target.format_status()}\r\nDONE -\r\n"

    async def _run_pause(self, id_: str, operand: str) -> str:
        if not self._target.is_primary and int(operand) > self._target.term:
            self._target.paused_for = int(operand)
        return await self._run_status(id_, "")

    async def _run_resume(self, id_: str, operand: str) -> str:
        self._target.paused_for = 0
        return await self._run_status(id_, "")

    async def _run_stepdown(self, id_: str, operand: str) -> str:
        if self._target.term < int(operand) and self._target.is_primary:
            self._target.is_primary = False
            self._target.applied = len(self._target.log)
        return await self._run_status(id_, "")
