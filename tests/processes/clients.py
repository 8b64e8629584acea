"""A common interface to two unmodified PostgreSQL clients."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

import asyncpg
import psycopg

from bench import cluster
from knapweedtally.core import errors

CONNECT_TIMEOUT_S = 3
# SQLSTATEs of a target or of the proxy which prove that the request was not run
# or was rolled back.
NOT_RUN_SQLSTATES = frozenset(
    {"25006", "53300", "55P03", "57P01", "40001", "0A000", "25P02"}
)
CLIENT_ERRORS = (
    psycopg.Error,
    asyncpg.PostgresError,
    asyncpg.InterfaceError,
    asyncpg.InternalClientError,
)


class Failure(NamedTuple):
    """An error answer, or a lost connection.

    Attributes:
        outcome: whether the request was not run, or may have run.
        sqlstate: SQLSTATE of the answer; "connection" if there is none.
        message: text of the error and its detail.
    """

    outcome: errors.Outcome
    sqlstate: str
    message: str


class Client(Protocol):
    """One connection to an entry host."""

    async def open(
        self, member: cluster.Member, user: str, group: str
    ) -> None: ...

    async def fetch(self, text: str, *values: str) -> tuple[list[Any], int]:
        """Run a statement.

        Returns:
            The first column of its rows, and its row count.
        """

    def get_token(self) -> str: ...

    def is_closed(self) -> bool: ...

    async def close(self) -> None: ...


class PsycopgClient:
    """A client that uses psycopg."""

    async def open(self, member: cluster.Member, user: str, group: str) -> None:
        self._connection = await psycopg.AsyncConnection.connect(
            host=member.host,
            port=member.port,
            user=user,
            dbname=group,
            autocommit=True,
            connect_timeout=CONNECT_TIMEOUT_S,
            cursor_factory=psycopg.AsyncRawCursor,
        )

    async def fetch(self, text: str, *values: str) -> tuple[list[Any], int]:
        cursor = await self._connection.execute(text, values or None)
        rows = await cursor.fetchall() if cursor.description else []
        return [row[0] for row in rows], cursor.rowcount

    def get_token(self) -> str:
        info = self._connection.info
        return info.parameter_status("knapweedtally.token") or ""

    def is_closed(self) -> bool:
        return self._connection.closed

    async def close(self) -> None:
        await self._connection.close()


class AsyncpgClient:
    """A client that uses asyncpg."""

    async def open(self, member: cluster.Member, user: str, group: str) -> None:
        self._connection = await asyncpg.connect(
            host=member.host,
            port=member.port,
            user=user,
            database=group,
            timeout=CONNECT_TIMEOUT_S,
            ssl=False,
        )

    async def fetch(self, text: str, *values: str) -> tuple[list[Any], int]:
        if not values:
            await self._connection.execute(text)
            return [], 0
        rows = [row[0] for row in await self._connection.fetch(text, *values)]
        return rows, len(rows)

    def get_token(self) -> str:
        settings = self._connection.get_settings()
        return getattr(settings, "knapweedtally.token", "")

    def is_closed(self) -> bool:
        return self._connection.is_closed()

    async def close(self) -> None:
        self._connection.terminate()


CLIENT_FACTORIES: tuple[Callable[[], Client], ...] = (
    PsycopgClient,
    AsyncpgClient,
)


def describe_failure(error: Exception) -> Failure:
    """Return the failure that a client's exception reports."""
    if isinstance(error.__cause__, asyncpg.PostgresError):
        # asyncpg reports a lost connection, with the server's answer as cause.
        error = error.__cause__
    diagnostic = getattr(error, "diag", error)
    sqlstate = getattr(error, "sqlstate", None) or "connection"
    detail = getattr(diagnostic, "message_detail", None)
    detail = detail or getattr(error, "detail", None) or ""
    # asyncpg sends nothing on a connection that its server has closed.
    is_unsent = isinstance(error, asyncpg.InternalClientError)
    is_not_run = (
        is_unsent
        or sqlstate in NOT_RUN_SQLSTATES
        or "outcome: not run" in detail
    )
    outcome = errors.Outcome.NOT_RUN if is_not_run else errors.Outcome.UNKNOWN
    return Failure(outcome, sqlstate, f"{error} {detail}".strip())
