"""Write and read readings through changing entry hosts.

One session logs readings with idempotency keys and reads them back, roaming
between hosts; it keeps a record of all that it was told.
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
GIVE_UP_S = 30.0


class Write(NamedTuple):
    """Record one acknowledged write.

    Attributes:
        value: value of the reading.
        begun_at: monotonic time of the first try.
        acknowledged_at: monotonic time of the answer.
        tries: number of tries with the same key.
    """

    value: str
    begun_at: float
    acknowledged_at: float
    tries: int


class Session:
    """Work on one group as one user through many hosts.

    Attributes:
        writes: acknowledged writes.
        unseen: values that a later read of the session missed.
        reads: number of reads answered.
        decisions: id of the last decision, by what it was for.
        errors: number of error answers by SQLSTATE.
    """

    def __init__(
        self, name: str, group: str, proxies: list[cluster.Member]
    ) -> None:
        self.name = name
        self.writes: list[Write] = []
        self.unseen: list[str] = []
        self.reads = 0
        self.decisions: dict[str, str] = {}
        self.errors: dict[str, int] = {}
        self._group = group
        self._proxies = proxies
        self._token = "new"
        self._turn = 0
        self._connections: dict[str, psycopg.AsyncConnection[Any]] = {}

    async def write_reading(self, key: str, value: str) -> Write:
        """Log a reading, with as many tries as it takes.

        Raises:
            TimeoutError: no try was acknowledged in time.
        """
        begun_at = time.monotonic()
        tries = 0
        while time.monotonic() - begun_at < GIVE_UP_S:
            tries += 1
            if await self._try_write(key, value):
                write = Write(value, begun_at, time.monotonic(), tries)
                self.writes.append(write)
                return write
            await anyio.sleep(RETRY_DELAY_S)
        raise TimeoutError(f"{value} was not acknowledged in {GIVE_UP_S} s")

    async def read_readings(self, max_age_ms: int | None = None) -> list[str]:
        """Read this session's readings and check them against its writes.

        Returns:
            The values, or an empty list when the read was refused.
        """
        age = "" if max_age_ms is None else str(max_age_ms)
        connection = await self._take_connection()
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
            await self._note_error(connection, error)
            return []
        self.reads += 1
        self._note_answer(connection, "read")
        self.unseen += [w.value for w in self.writes if w.value not in rows]
        return rows

    async def close(self) -> None:
        """Close the session's connections."""
        for connection in self._connections.values():
            await connection.close()

    async def _try_write(self, key: str, value: str) -> bool:
        connection = await self._take_connection()
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
            await self._note_error(connection, error)
            return False
        self._note_answer(connection, "write")
        return True

    async def _take_connection(self) -> psycopg.AsyncConnection[Any] | None:
        """Return a connection to the next host, with the session's token."""
        self._turn += 1
        proxy = self._proxies[self._turn % len(self._proxies)]
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
            await self._note_error(connection, error)
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

    def _note_answer(
        self, connection: psycopg.AsyncConnection[Any], kind: str
    ) -> None:
        status = connection.info.parameter_status
        self._token = status("knapweedtally.token") or self._token
        self.decisions[kind] = status("knapweedtally.decision") or ""

    async def _note_error(
        self,
        connection: psycopg.AsyncConnection[Any] | None,
        error: Exception,
    ) -> None:
        sqlstate = getattr(error, "sqlstate", None) or "connection"
        self.errors[sqlstate] = self.errors.get(sqlstate, 0) + 1
        if connection is not None and connection.broken:
            await connection.close()


async def prepare(proxy: cluster.Member, group: str) -> None:
    """Create the table of readings, once the group serves writes.

    Raises:
        TimeoutError: the group doesn't serve writes in time.
    """
    with anyio.fail_after(GIVE_UP_S):
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
    """Return the longest time between acknowledged writes, in seconds."""
    times = sorted(
        write.acknowledged_at
        for session in sessions
        for write in session.writes
    )
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    return max(gaps, default=0.0)
