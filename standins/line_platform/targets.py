"""A group of targets that speak the line protocol."""

import asyncio
import collections
import dataclasses
import secrets
from typing import Any

# Time that one statement takes on a target, in seconds.
RUN_S = 0.001


@dataclasses.dataclass
class Commit:
    """Hold one log entry."""

    term: int
    number: int
    writes: list[tuple[str, str]]


class Target:
    """Hold one target: its log, its role and its server.

    Attributes:
        id: its id.
        port: port that it listens on, once started.
        is_primary: whether it leads.
        term: term of its log's end.
        paused_for: term for which it stopped receiving, or 0.
        log: its log entries.
        applied: number of entries that reads see.
        lag_s: time after which a replica shows what it received.
        is_dark: whether it takes connections and answers nothing.
        is_apart: whether it is cut off from the other targets.
        is_listed: whether it writes its entry.
        lose_answers: number of answers that are left out.
        refusals: number of statements to refuse for lack of room, by word.
        statements: texts of the statements that it ran, with their ids.
        orders: the same for what hosts issued themselves.
    """

    def __init__(self, group: "Group", id_: str) -> None:
        """Make a target that isn't started."""
        self.group = group
        self.id = id_
        self.port = 0
        self.is_primary = False
        self.term = 1
        self.paused_for = 0
        self.log: list[Commit] = []
        self.applied = 0
        self.lag_s = 0.0
        self.is_dark = False
        self.is_apart = False
        self.is_listed = True
        self.lose_answers = 0
        self.refusals: collections.Counter[str] = collections.Counter()
        self.connections: set[Connection] = set()
        self.statements: list[tuple[str, str]] = []
        self.orders: list[tuple[str, str]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the same port as before, if there was one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=2 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def rejoin(self) -> None:
        """Reach the other targets again, after a cut or a crash."""
        self.is_apart = False
        leader = self.group.find_primary()
        if leader is None or leader is self:
            return
        if leader.term > self.term or not self.is_primary:
            self.take_over(leader.log, leader.term)

    async def stop(self) -> None:
        """Crash: connections end, the log stays."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in tuple(self.connections):
            connection.abort()
        self.paused_for = 0

    @property
    def is_up(self) -> bool:
        """Tell whether it runs."""
        return self._server is not None

    def get_position(self) -> str:
        """Return the position of its log's end."""
        return f"{self.term}.{len(self.log)}"

    def get_status(self) -> str:
        """Return its status row."""
        role = "primary" if self.is_primary else "replica"
        count = len(self.connections)
        lag_ms = round(self.lag_s * 1000)
        return (
            f"{role} {self.term} {self.get_position()} {self.paused_for} "
            f"{lag_ms} 0 {count}"
        )

    def read(self, item: str) -> str:
        """Return the newest value that reads see."""
        limit = len(self.log) if self.is_primary else self.applied
        for commit in reversed(self.log[:limit]):
            for name, data in reversed(commit.writes):
                if name == item:
                    return data
        return "-"

    def read_all(self, prefix: str) -> list[str]:
        """Return all values of the items with a prefix, oldest first."""
        limit = len(self.log) if self.is_primary else self.applied
        return [
            data
            for commit in self.log[:limit]
            for name, data in commit.writes
            if name.startswith(prefix)
        ]

    def receive(self, commit: Commit, log: list[Commit]) -> bool:
        """Take the primary's log up to an entry, and show it after the lag."""
        if not self.is_up or self.paused_for or self.is_primary:
            return False
        if commit.term < self.term or self.is_apart:
            return False
        self.log = log[: commit.number]
        self.term = commit.term
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._apply, len(self.log))
        return True

    def _apply(self, count: int) -> None:
        self.applied = min(len(self.log), max(self.applied, count))

    def take_over(self, log: list[Commit], term: int) -> None:
        """Follow a new primary: its log replaces this one's."""
        self.is_primary = False
        self.paused_for = 0
        self.log = list(log)
        self.applied = len(log)
        self.term = term

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(self, reader, writer)
        if not self.is_up:
            # Accepted just before the stop, which didn't see it.
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
            # The other side is gone, or the loop ends; its transaction rolls
            # back.
            pass
        finally:
            self.connections.discard(connection)
            connection.abort()


class Group:
    """Hold the targets of one group.

    Attributes:
        name: name of the group.
        targets: targets by id.
        max_connections: connections that one target takes.
        learn_s: time until the others learn of a promotion.
        openings: time, term and target of each promotion.
    """

    def __init__(self, name: str, count: int, max_connections: int) -> None:
        """Make a group whose first target leads."""
        self.name = name
        self.max_connections = max_connections
        self.learn_s = 0.0
        self.openings: list[tuple[float, int, str]] = []
        # Ids appear nowhere else, as on the platform: runs beside each other
        # may be given each other's ports.
        run = secrets.token_hex(3)
        ids = [f"{name}-{run}-{number}" for number in range(count)]
        self.targets = {id_: Target(self, id_) for id_ in ids}
        self.targets[ids[0]].is_primary = True

    def find_primary(self) -> Target | None:
        """Return the target that leads in the highest term, if one leads."""
        leading = [t for t in self.targets.values() if t.is_primary]
        return max(leading, key=lambda target: target.term, default=None)

    def get_primary(self) -> Target:
        """Return the target that leads.

        Raises:
            LookupError: none leads.
        """
        primary = self.find_primary()
        if primary is None:
            raise LookupError(f"no target of {self.name} leads")
        return primary

    def append(self, primary: Target, writes: list[tuple[str, str]]) -> Commit:
        """Append to the primary's log."""
        commit = Commit(primary.term, len(primary.log) + 1, writes)
        primary.log.append(commit)
        return commit

    def ship(self, primary: Target, commit: Commit) -> bool:
        """Send a log entry to the others and tell whether one holds it."""
        others = [t for t in self.targets.values() if t is not primary]
        if not primary.is_apart:
            for other in others:
                if commit not in other.log[commit.number - 1 :]:
                    other.receive(commit, primary.log)
        return any(
            commit in other.log[commit.number - 1 : commit.number]
            for other in others
            if other.is_up and not other.is_apart and not primary.is_apart
        )

    def promote(self, id_: str) -> bool:
        """Let a target lead the next term; the others follow it."""
        target = self.targets.get(id_)
        if target is None or not target.is_up:
            return False
        if target.is_primary:
            return True
        term = 1 + max(t.term for t in self.targets.values())
        target.take_over(target.log, term)
        target.is_primary = True
        loop = asyncio.get_running_loop()
        self.openings.append((loop.time(), term, id_))
        for other in self.targets.values():
            if other is target or not other.is_up or other.is_apart:
                continue
            other.paused_for = 0
            if self.learn_s:
                loop.call_later(self.learn_s, self._tell, other, target)
            else:
                other.take_over(target.log, term)
        return True

    def _tell(self, other: Target, leader: Target) -> None:
        """Let a target follow a new primary if it does not yet."""
        is_reached = other.is_up and not other.is_apart and leader.is_up
        if is_reached and leader.is_primary and leader.term > other.term:
            other.take_over(leader.log, leader.term)


class Connection:
    """Serve one connection to a target."""

    def __init__(
        self,
        target: Target,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Make a connection that waits for its first message."""
        self._target = target
        self._reader = reader
        self._writer = writer
        self._state = "I"
        self._is_read_only = False
        self._writes: list[tuple[str, str]] = []
        self._prepared: dict[str, str] = {}
        self.values: dict[str, str] = {}

    def abort(self) -> None:
        """End the connection at once."""
        self._writer.transport.abort()

    async def run(self) -> None:
        """Serve statements until the connection ends."""
        start = (await self._read()).split(" ")
        target = self._target
        group = target.group
        if start[1] != group.name or start[3:4] not in ([], [target.id]):
            await self._send("ERROR WRONGNODE other id\r\n")
            return
        if len(target.connections) > group.max_connections:
            await self._send("ERROR MAXCONN full\r\n")
            return
        await self._send(f"READY I {target.get_position()}\r\n")
        while True:
            message = await self._read()
            if message == "BYE":
                return
            _, id_, text = message.split(" ", 2)
            await asyncio.sleep(RUN_S)
            answer = await self._answer(id_, text)
            if target.is_dark:
                continue
            if id_ != "-" and target.lose_answers:
                target.lose_answers -= 1
                continue
            position = target.get_position()
            await self._send(f"{answer}READY {self._state} {position}\r\n")

    async def _read(self) -> str:
        line = await self._reader.readuntil(b"\r\n")
        return line[:-2].decode()

    async def _send(self, text: str) -> None:
        self._writer.write(text.encode())
        await self._writer.drain()

    async def _answer(self, id_: str, text: str) -> str:
        if text.startswith("SINCE "):
            _, position, text = text.split(" ", 2)
            term, number = map(int, position.split("."))
            target = self._target
            seen = len(target.log) if target.is_primary else target.applied
            if seen < number or target.term < term:
                return "ERROR LAGGING log\r\n"
        word, _, rest = text.partition(" ")
        handler: Any = getattr(self, f"_run_{word.lower()}", None)
        if handler is None:
            return "ERROR MALFORMED statement\r\n"
        if self._target.refusals[word] > 0:
            self._target.refusals[word] -= 1
            return "ERROR BUSY full\r\n"
        ran = self._target.orders if id_ == "-" else self._target.statements
        ran.append((id_, text))
        return str(await handler(id_, rest))

    def _is_lost(self) -> bool:
        """Tell whether an open plain transaction has lost its primary."""
        return (
            self._state == "T"
            and not self._is_read_only
            and not self._target.is_primary
        )

    def _done(self, id_: str) -> str:
        return f"DONE {self._target.id}.{id_}\r\n"

    def _fail_read_only(self) -> str:
        if self._state == "T":
            self._state = "E"
        return f"ERROR READONLY {self._target.id}\r\n"

    async def _run_begin(self, id_: str, rest: str) -> str:
        if not rest and not self._target.is_primary:
            return self._fail_read_only()
        self._state = "T"
        self._is_read_only = rest == "READ"
        self._writes = []
        return self._done(id_)

    async def _run_commit(self, id_: str, rest: str) -> str:
        state, self._state = self._state, "I"
        if state == "E":
            return "ERROR ABORTED failed\r\n"
        if self._writes:
            if not self._target.is_primary:
                return self._fail_read_only()
            await self._commit(self._writes)
        return self._done(id_)

    async def _run_rollback(self, id_: str, rest: str) -> str:
        self._state = "I"
        self._writes = []
        return self._done(id_)

    async def _run_read(self, id_: str, rest: str) -> str:
        if self._is_lost():
            return self._fail_read_only()
        if rest.endswith("*"):
            return self._read_all(id_, rest[:-1])
        for name, data in reversed(self._writes):
            if name == rest and self._state == "T":
                return f"ROW {data}\r\n{self._done(id_)}"
        return f"ROW {self._target.read(rest)}\r\n{self._done(id_)}"

    def _read_all(self, id_: str, prefix: str) -> str:
        """Return a row for each value; the signature tells their number."""
        rows = self._target.read_all(prefix)
        lines = "".join(f"ROW {data}\r\n" for data in rows)
        return f"{lines}DONE {self._target.id}.{id_}.{len(rows)}\r\n"

    async def _run_write(self, id_: str, rest: str) -> str:
        if not self._target.is_primary or self._is_read_only:
            return self._fail_read_only()
        item, _, data = rest.partition(" ")
        if self._state == "T":
            self._writes.append((item, data))
        else:
            await self._commit([(item, data)])
        return self._done(id_)

    async def _commit(self, writes: list[tuple[str, str]]) -> None:
        """Commit, and wait until a replica has received it.

        Raises:
            ConnectionAbortedError: another target leads now.
        """
        target = self._target
        commit = target.group.append(target, list(writes))
        while not target.group.ship(target, commit):
            await asyncio.sleep(0.01)
            if not target.is_primary or target.term != commit.term:
                raise ConnectionAbortedError("another target leads")

    async def _run_set(self, id_: str, rest: str) -> str:
        name, _, value = rest.partition(" ")
        self.values[name] = value
        return self._done(id_)

    async def _run_prepare(self, id_: str, rest: str) -> str:
        name, _, definition = rest.partition(" ")
        self._prepared[name] = definition
        return self._done(id_)

    async def _run_exec(self, id_: str, rest: str) -> str:
        name, _, arguments = rest.partition(" ")
        definition = self._prepared.get(name)
        if definition is None:
            return "ERROR NOSTMT unknown\r\n"
        if definition.startswith("READ "):
            return await self._run_read(id_, arguments)
        return await self._run_write(id_, arguments)

    async def _run_close(self, id_: str, rest: str) -> str:
        self._prepared.pop(rest, None)
        return self._done(id_)

    async def _run_reset(self, id_: str, rest: str) -> str:
        self._prepared.clear()
        self.values.clear()
        return self._done(id_)

    async def _run_status(self, id_: str, rest: str) -> str:
        return f"ROW {self._target.get_status()}\r\nDONE -\r\n"

    async def _run_pause(self, id_: str, rest: str) -> str:
        if not self._target.is_primary and int(rest) > self._target.term:
            self._target.paused_for = int(rest)
        return await self._run_status(id_, "")

    async def _run_resume(self, id_: str, rest: str) -> str:
        self._target.paused_for = 0
        return await self._run_status(id_, "")

    async def _run_stepdown(self, id_: str, rest: str) -> str:
        if self._target.term < int(rest) and self._target.is_primary:
            self._target.is_primary = False
            self._target.applied = len(self._target.log)
        return await self._run_status(id_, "")
