"""Statements of one user: reads, writes and transactions of a stated mix.

A session numbers its writes, so that a read of the highest number shows at
once whether it misses one that was acknowledged.
"""

import collections
import random
import time
from typing import NamedTuple

from bench import client
from bench import recorder as recorder_module

# Tells a proxy that the session is new and carries its tokens.
NEW_SESSION = "new"
TABLE = "CREATE TABLE IF NOT EXISTS marks (session TEXT, value INTEGER)"
INDEX = "CREATE INDEX IF NOT EXISTS marks_index ON marks (session, value)"
LOST = "connection"


class Mix(NamedTuple):
    """State what callers ask for.

    Attributes:
        write_share: share of statements that write.
        keyed_share: share of writes with an idempotency key.
        transaction_share: share of writes inside a transaction.
        max_age_ms: age of data that reads accept, or None for the bundle's.
        roam_share: share of statements that go to another entry host.
        visit_reads: reads after one write in each arrival; 0 for arrivals of
            a single statement drawn by ``write_share``.
        think_ms: pause between the statements of an arrival.
    """

    write_share: float = 0.1
    keyed_share: float = 0.5
    transaction_share: float = 0.1
    max_age_ms: int | None = None
    roam_share: float = 0.2
    visit_reads: int = 0
    think_ms: float = 0.0


class _StatementError(Exception):
    """Carry the error answer of a statement."""

    def __init__(self, reply: client.Reply) -> None:
        super().__init__(reply.sqlstate)
        self.reply = reply


class Session:
    """Run the statements of one user, roaming between entry hosts.

    Attributes:
        group: database group that it works on.
        acknowledged: numbers of its acknowledged writes.
    """

    def __init__(
        self,
        name: str,
        caller: str,
        group: str,
        entries: list[client.Address],
        mix: Mix,
        random_source: random.Random,
    ) -> None:
        self.name = name
        self.caller = caller
        self.group = group
        self.acknowledged: list[int] = []
        self._entries = entries
        self._mix = mix
        self._random = random_source
        self._entry = random_source.choice(entries)
        self._connections: dict[client.Address, client.Connection] = {}
        self._token = NEW_SESSION
        # The newest token that the connection to each host knows.
        self._given: dict[client.Address, str] = {}
        self._count = 0
        self._runners = {
            "read": self._read,
            "write": self._write,
            "keyed write": self._write_keyed,
            "transaction": self._run_transaction,
        }

    def list_kinds(self) -> list[str]:
        """Return the kinds of the statements of one arrival."""
        mix = self._mix
        if mix.visit_reads:
            return [self._draw_write(), *["read"] * mix.visit_reads]
        if self._random.random() < mix.write_share:
            return [self._draw_write()]
        return ["read"]

    async def run(
        self, kind: str, intended_at: float, recorder: recorder_module.Recorder
    ) -> str:
        """Run a statement, check its answer and record it.

        Returns:
            SQLSTATE of the refusal, or an empty string.
        """
        begun_at = time.monotonic()
        sqlstate, hint = LOST, ""
        try:
            connection, prefix = await self._take_connection()
            await self._runners[kind](connection, prefix, recorder, intended_at)
            now = time.monotonic()
            recorder.note_answer(kind, self.caller, intended_at, now)
            return ""
        except _StatementError as error:
            sqlstate, hint = error.reply.sqlstate, error.reply.hint
        except client.ConnectionLostError:
            pass
        now = time.monotonic()
        refusal = recorder_module.Refusal(sqlstate, hint)
        recorder.note_refusal(kind, self.caller, refusal, begun_at, now)
        return sqlstate

    async def check(self, recorder: recorder_module.Recorder) -> None:
        """Compare the final data with what was acknowledged.

        Raises:
            ConnectionLostError: the data can't be read.
        """
        connection = await client.Connection.connect(
            self._entry, self.caller, self.group
        )
        (reply,) = await connection.run(
            f"SELECT value FROM marks WHERE session = '{self.name}'"
        )
        await connection.close()
        if reply.sqlstate:
            raise client.ConnectionLostError(reply.sqlstate)
        counts = collections.Counter(int(row) for row in reply.rows)
        recorder.lost += sum(not counts[n] for n in self.acknowledged)
        recorder.doubled += sum(n > 1 for n in counts.values())

    async def close(self) -> None:
        """Close the session's connections."""
        for connection in self._connections.values():
            await connection.close()

    def _draw_write(self) -> str:
        draw = self._random.random()
        if draw < self._mix.transaction_share:
            return "transaction"
        if draw < self._mix.transaction_share + self._mix.keyed_share:
            return "keyed write"
        return "write"

    async def _take_connection(
        self,
    ) -> tuple[client.Connection, tuple[str, ...]]:
        """Return a connection, and statements that have to go before."""
        if self._random.random() < self._mix.roam_share:
            self._entry = self._random.choice(self._entries)
        prefix: tuple[str, ...] = ()
        connection = self._connections.get(self._entry)
        is_new = connection is None or not connection.is_open
        if connection is None or is_new:
            try:
                connection = await client.Connection.connect(
                    self._entry, self.caller, self.group
                )
            except client.ConnectionLostError:
                self._entry = self._random.choice(self._entries)
                raise
            self._connections[self._entry] = connection
        if is_new and self._mix.max_age_ms is not None:
            age = self._mix.max_age_ms
            prefix = (f"SET knapweedtally.max_age_ms = '{age}'",)
        if is_new:
            self._given.pop(self._entry, None)
        if self._token and self._given.get(self._entry) != self._token:
            prefix += (f"SET knapweedtally.token = '{self._token}'",)
        return connection, prefix

    async def _run(
        self,
        connection: client.Connection,
        prefix: tuple[str, ...],
        *statements: str,
    ) -> client.Reply:
        replies = await connection.run(*prefix, *statements)
        for reply in replies:
            if reply.sqlstate:
                raise _StatementError(reply)
        # Another connection may have brought a newer one since this came.
        token = connection.parameters.pop("knapweedtally.token", "")
        self._token = token or self._token
        self._given[self._entry] = self._token
        return replies[-1]

    async def _read(
        self,
        connection: client.Connection,
        prefix: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        reply = await self._run(
            connection,
            prefix,
            f"SELECT max(value) FROM marks WHERE session = '{self.name}'",
        )
        highest = int(reply.rows[0] or 0)
        recorder.stale += highest < max(self.acknowledged[-1:], default=0)
        report = connection.parameters.get("kt.report", "")
        recorder.note_served(report, intended_at)

    async def _write(
        self,
        connection: client.Connection,
        prefix: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        number, statement = self._make_insert()
        await self._run(connection, prefix, statement)
        self._note_acknowledged(number, recorder)

    async def _write_keyed(
        self,
        connection: client.Connection,
        prefix: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        number, statement = self._make_insert()
        key = f"{self.name}-{number}"
        prefix += (f"SET knapweedtally.idempotency_key = '{key}'",)
        await self._run(connection, prefix, statement)
        self._note_acknowledged(number, recorder)

    async def _run_transaction(
        self,
        connection: client.Connection,
        prefix: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        number, statement = self._make_insert()
        try:
            await self._run(connection, prefix, "BEGIN")
            await self._run(connection, (), statement)
            await self._run(connection, (), "COMMIT")
        except _StatementError as error:
            if error.reply.status != "I":
                await connection.run("ROLLBACK")
            raise
        self._note_acknowledged(number, recorder)

    def _make_insert(self) -> tuple[int, str]:
        self._count += 1
        return self._count, (
            "INSERT INTO marks (session, value)"
            f" VALUES ('{self.name}', {self._count})"
        )

    def _note_acknowledged(
        self, number: int, recorder: recorder_module.Recorder
    ) -> None:
        self.acknowledged.append(number)
        recorder.note_acknowledged(self.group, time.monotonic())
