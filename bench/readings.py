"""Sessions that write and read readings through different entry hosts.

A session writes readings with idempotency keys and reads them back, using each
host in turn; it records every answer.
"""

import itertools
import time
from typing import Any
from typing import NamedTuple

import anyio
import psycopg

from bench import cluster

CONNECT_TIMEOUT_S = 3
RETRY_DELAY_S = 0.05
RETRY_TIMEOUT_S = 30.0


class Write(NamedTuple):
    """Acknowledged write.

    Attributes:
        value: value of the reading.
        started_at: monotonic time of the first attempt.
        acknowledged_at: monotonic time of the answer.
        attempts: number of attempts, all with the same key.
    """

    value: str
    started_at: float
    acknowledged_at: float
    attempts: int


class Session:
    """Session of one user and one group that uses several hosts.

    Attributes:
        name: user name, and value of the session column of its rows.
        writes: acknowledged writes.
        missed_values: acknowledged values that a later read didn't return.
        reads: number of answered reads.
        decisions: id of the last decision record, by kind of statement.
        errors: number of error answers by SQLSTATE.
    """

    def __init__(
        self, name: str, group: str, proxies: list[cluster.Member]
    ) -> None:
        self.name = name
        self.writes: list[Write] = []
        self.missed_values: list[str] = []
        self.reads = 0
        self.decisions: dict[str, str] = {}
        self.errors: dict[str, int] = {}
        self._group = group
        self._proxies = proxies
        self._token = "new"
        self._request_count = 0
        self._connections: dict[str, psycopg.AsyncConnection[Any]] = {}

    async def write_reading(self, key: str, value: str) -> Write:
        """Write a reading, retrying until it is acknowledged.

        Raises:
            TimeoutError: no attempt was acknowledged in time.
        """
        started_at = time.monotonic()
        attempts = 0
        while time.monotonic() - started_at < RETRY_TIMEOUT_S:
            attempts += 1
            if await self._try_write(key, value):
                write = Write(value, started_at, time.monotonic(), attempts)
                self.writes.append(write)
                return write
            await anyio.sleep(RETRY_DELAY_S)
        raise TimeoutError(
            f"write of {value} was not acknowledged in {RETRY_TIMEOUT_S} s"
        )

    async def read_readings(self, max_age_ms: int | None = None) -> list[str]:
        """Read this session's readings and check them against its writes.

        Returns:
            The values, or an empty list when the read was refused.
        """
        age = "" if max_age_ms is None else str(max_age_ms)
        connection = await self._get_connection()
        if connection is None:
            return []
        try:
            if age:
                await connection.execute(
                    f"SET knapweedtally.max_age_ms = '{age}'"
                )
            cursor = await connection.execute(
                "SELECT value FROM readings WHERE session = %s", (self.name,)
            )
            rows = [row[0] for row in await cursor.fetchall()]
        except psycopg.Error as error:
            await self._record_error(connection, error)
            return []
        self.reads += 1
        self._store_answer_parameters(connection, "read")
        self.missed_values += [
            w.value for w in self.writes if w.value not in rows
        ]
        return rows

    async def close(self) -> None:
        """Close the session's connections."""
        for connection in self._connections.values():
            await connection.close()

    async def _try_write(self, key: str, value: str) -> bool:
        connection = await self._get_connection()
        if connection is None:
            return False
        try:
            await connection.execute(
                f"SET knapweedtally.idempotency_key = '{key}'"
            )
            await connection.execute(
                "INSERT INTO readings (session, value) VALUES (%s, %s)",
                (self.name, value),
            )
        except psycopg.Error as error:
            await self._record_error(connection, error)
            return False
        self._store_answer_parameters(connection, "write")
        return True

    async def _get_connection(self) -> psycopg.AsyncConnection[Any] | None:
        """Return a connection to the next host and set the session's token.

        Returns:
            The connection, or None if the host can't be used.
        """
        self._request_count += 1
        proxy = self._proxies[self._request_count % len(self._proxies)]
        connection = self._connections.get(proxy.name)
        try:
            if connection is None or connection.closed:
                connection = await self._connect(proxy)
                self._connections[proxy.name] = connection
            if self._token:
                await connection.execute(
                    f"SET knapweedtally.token = '{self._token}'"
                )
        except (psycopg.Error, OSError) as error:
            await self._record_error(connection, error)
            return None
        return connection

    async def _connect(
        self, proxy: cluster.Member
    ) -> psycopg.AsyncConnection[Any]:
        return await psycopg.AsyncConnection.connect(
            host=proxy.host,
            port=proxy.port,
            user=self.name,
            dbname=self._group,
            autocommit=True,
            connect_timeout=CONNECT_TIMEOUT_S,
        )

    def _store_answer_parameters(
        self, connection: psycopg.AsyncConnection[Any], kind: str
    ) -> None:
        status = connection.info.parameter_status
        self._token = status("knapweedtally.token") or self._token
        self.decisions[kind] = status("knapweedtally.decision") or ""

    async def _record_error(
        self,
        connection: psycopg.AsyncConnection[Any] | None,
        error: Exception,
    ) -> None:
        sqlstate = getattr(error, "sqlstate", None) or "connection"
        self.errors[sqlstate] = self.errors.get(sqlstate, 0) + 1
        if connection is not None and connection.broken:
            await connection.close()


async def create_table(proxy: cluster.Member, group: str) -> None:
    """Create the table of readings, retrying until the group accepts writes.

    Raises:
        TimeoutError: the group doesn't accept writes in time.
    """
    with anyio.fail_after(RETRY_TIMEOUT_S):
        while True:
            try:
                async with await psycopg.AsyncConnection.connect(
                    host=proxy.host,
                    port=proxy.port,
                    user="setup",
                    dbname=group,
                    autocommit=True,
                    connect_timeout=CONNECT_TIMEOUT_S,
                ) as connection:
                    await connection.execute(
                        "CREATE TABLE IF NOT EXISTS readings"
                        " (session TEXT, value TEXT)"
                    )
                    return
            except psycopg.Error:
                await anyio.sleep(RETRY_DELAY_S)


def compute_longest_gap(sessions: list[Session]) -> float:
    """Return the longest time between two acknowledged writes in seconds."""
    times = sorted(
        write.acknowledged_at
        for session in sessions
        for write in session.writes
    )
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    return max(gaps, default=0.0)
