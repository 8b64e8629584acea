"""Sessions that send a mix of reads, writes and transactions.

A session numbers its writes, so that a read of the highest number shows
whether it missed an acknowledged write of the session.
"""

import collections
import random
import time
from typing import NamedTuple

from bench import client
from bench import recorder as recorder_module

# Token of a session without a position yet; it tells the proxy that the caller
# returns the session tokens that it receives.
NEW_SESSION_TOKEN = "new"
CREATE_TABLE = "CREATE TABLE IF NOT EXISTS marks (session TEXT, value INTEGER)"
CREATE_INDEX = (
    "CREATE INDEX IF NOT EXISTS marks_index ON marks (session, value)"
)
# Recorded in place of a SQLSTATE when a connection ends early.
CONNECTION_LOST = "connection"


class Mix(NamedTuple):
    """Proportions of the kinds of statements that callers send.

    Attributes:
        write_share: share of statements that write.
        keyed_share: share of writes with an idempotency key.
        transaction_share: share of writes inside a transaction.
        max_age_ms: maximum age of data that reads accept, or None for the
            value of the bundle.
        roam_share: share of statements before which the session picks an
            entry host at random.
        visit_reads: number of reads after the write of each arrival, or 0 for
            arrivals of a single statement, drawn by ``write_share``.
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
    """A statement was answered with an error."""

    def __init__(self, reply: client.Reply) -> None:
        super().__init__(reply.sqlstate)
        self.reply = reply


class Session:
    """Session of one user that moves between entry hosts.

    Attributes:
        name: value of the session column of its rows.
        caller: user name that it connects with.
        group: database group that it connects to.
        acknowledged_writes: numbers of its acknowledged writes.
    """

    def __init__(
        self,
        name: str,
        caller: str,
        group: str,
        addresses: list[client.Address],
        mix: Mix,
        random_source: random.Random,
    ) -> None:
        self.name = name
        self.caller = caller
        self.group = group
        self.acknowledged_writes: list[int] = []
        self._addresses = addresses
        self._mix = mix
        self._random = random_source
        self._address = random_source.choice(addresses)
        self._connections: dict[client.Address, client.Connection] = {}
        self._token = NEW_SESSION_TOKEN
        # Last token that was set on the connection to each host.
        self._sent_tokens: dict[client.Address, str] = {}
        self._write_count = 0
        self._statement_runners = {
            "read": self._run_read,
            "write": self._run_write,
            "keyed write": self._run_keyed_write,
            "transaction": self._run_transaction,
        }

    def draw_kinds(self) -> list[str]:
        """Draw the statements of one arrival and return their kinds."""
        mix = self._mix
        if mix.visit_reads:
            return [self._draw_write_kind(), *["read"] * mix.visit_reads]
        if self._random.random() < mix.write_share:
            return [self._draw_write_kind()]
        return ["read"]

    async def run_statement(
        self, kind: str, intended_at: float, recorder: recorder_module.Recorder
    ) -> str:
        """Run a statement, check its answer and record the outcome.

        Args:
            kind: kind of statement, as returned by ``draw_kinds``.
            intended_at: monotonic time from which its latency counts.
            recorder: recorder of the outcome.

        Returns:
            SQLSTATE of the refusal, ``CONNECTION_LOST``, or an empty string
            if the statement succeeded.
        """
        started_at = time.monotonic()
        sqlstate, hint = CONNECTION_LOST, ""
        try:
            connection, preamble = await self._get_connection()
            await self._statement_runners[kind](
                connection, preamble, recorder, intended_at
            )
            now = time.monotonic()
            recorder.record_answer(kind, self.caller, intended_at, now)
            return ""
        except _StatementError as error:
            sqlstate, hint = error.reply.sqlstate, error.reply.hint
        except client.ConnectionLostError:
            pass
        now = time.monotonic()
        refusal = recorder_module.Refusal(sqlstate, hint)
        recorder.record_refusal(kind, self.caller, refusal, started_at, now)
        return sqlstate

    async def check_final_data(
        self, recorder: recorder_module.Recorder
    ) -> None:
        """Count lost and duplicate writes in the final data.

        Raises:
            ConnectionLostError: the final data can't be read.
        """
        connection = await client.Connection.connect(
            self._address, self.caller, self.group
        )
        (reply,) = await connection.run_statements(
            f"SELECT value FROM marks WHERE session = '{self.name}'"
        )
        await connection.close()
        if reply.sqlstate:
            raise client.ConnectionLostError(reply.sqlstate)
        counts = collections.Counter(int(row) for row in reply.rows)
        recorder.lost_writes += sum(
            not counts[n] for n in self.acknowledged_writes
        )
        recorder.duplicate_writes += sum(n > 1 for n in counts.values())

    async def close(self) -> None:
        """Close the session's connections."""
        for connection in self._connections.values():
            await connection.close()

    def _draw_write_kind(self) -> str:
        draw = self._random.random()
        if draw < self._mix.transaction_share:
            return "transaction"
        if draw < self._mix.transaction_share + self._mix.keyed_share:
            return "keyed write"
        return "write"

    async def _get_connection(
        self,
    ) -> tuple[client.Connection, tuple[str, ...]]:
        """Return a connection and the SET statements to send on it first."""
        if self._random.random() < self._mix.roam_share:
            self._address = self._random.choice(self._addresses)
        preamble: tuple[str, ...] = ()
        connection = self._connections.get(self._address)
        is_new = connection is None or not connection.is_open
        if connection is None or is_new:
            try:
                connection = await client.Connection.connect(
                    self._address, self.caller, self.group
                )
            except client.ConnectionLostError:
                self._address = self._random.choice(self._addresses)
                raise
            self._connections[self._address] = connection
        if is_new and self._mix.max_age_ms is not None:
            age = self._mix.max_age_ms
            preamble = (f"SET knapweedtally.max_age_ms = '{age}'",)
        if is_new:
            self._sent_tokens.pop(self._address, None)
        if self._token and self._sent_tokens.get(self._address) != self._token:
            preamble += (f"SET knapweedtally.token = '{self._token}'",)
        return connection, preamble

    async def _run_statements(
        self,
        connection: client.Connection,
        preamble: tuple[str, ...],
        *statements: str,
    ) -> client.Reply:
        replies = await connection.run_statements(*preamble, *statements)
        for reply in replies:
            if reply.sqlstate:
                raise _StatementError(reply)
        # A token is read only once: another connection may return a newer one
        # before this connection is used again.
        token = connection.parameters.pop("knapweedtally.token", "")
        self._token = token or self._token
        self._sent_tokens[self._address] = self._token
        return replies[-1]

    async def _run_read(
        self,
        connection: client.Connection,
        preamble: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        reply = await self._run_statements(
            connection,
            preamble,
            f"SELECT max(value) FROM marks WHERE session = '{self.name}'",
        )
        highest = int(reply.rows[0] or 0)
        recorder.stale_reads += highest < max(
            self.acknowledged_writes[-1:], default=0
        )
        report = connection.parameters.get("kt.report", "")
        recorder.record_serving_role(report, intended_at)

    async def _run_write(
        self,
        connection: client.Connection,
        preamble: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        number, statement = self._make_insert()
        await self._run_statements(connection, preamble, statement)
        self._record_acknowledgement(number, recorder)

    async def _run_keyed_write(
        self,
        connection: client.Connection,
        preamble: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        number, statement = self._make_insert()
        key = f"{self.name}-{number}"
        preamble += (f"SET knapweedtally.idempotency_key = '{key}'",)
        await self._run_statements(connection, preamble, statement)
        self._record_acknowledgement(number, recorder)

    async def _run_transaction(
        self,
        connection: client.Connection,
        preamble: tuple[str, ...],
        recorder: recorder_module.Recorder,
        intended_at: float,
    ) -> None:
        number, statement = self._make_insert()
        try:
            await self._run_statements(connection, preamble, "BEGIN")
            await self._run_statements(connection, (), statement)
            await self._run_statements(connection, (), "COMMIT")
        except _StatementError as error:
            if error.reply.status != "I":
                await connection.run_statements("ROLLBACK")
            raise
        self._record_acknowledgement(number, recorder)

    def _make_insert(self) -> tuple[int, str]:
        self._write_count += 1
        return self._write_count, (
            "INSERT INTO marks (session, value)"
            f" VALUES ('{self.name}', {self._write_count})"
        )

    def _record_acknowledgement(
        self, number: int, recorder: recorder_module.Recorder
    ) -> None:
        self.acknowledged_writes.append(number)
        recorder.record_acknowledgement(self.group, time.monotonic())
