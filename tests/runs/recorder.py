"""Sessions of an unmodified client that record what they ask and are told."""

import itertools
import json
import random
import time
from collections.abc import Sequence
from typing import Any

import anyio
import psycopg

from bench import cluster
from knapweedtally.core import errors
from tests.history import model

CONNECT_TIMEOUT_S = 3
REQUEST_TIMEOUT_S = 12.0
THINK_S = 0.02
RETRY_S = 0.1
TRIES = 200
ROAM_SHARE = 0.3
AGES_MS = (0, 1000, 5000, 10_000)
TABLE = "entries"

OUTCOMES = {
    answer.sqlstate: answer.outcome for answer in errors.ANSWERS.values()
}

Kind = model.Kind
Outcome = errors.Outcome
Event = model.Event


class Session:
    """Run one session, one request at a time, through changing hosts.

    Attributes:
        name: name of the session, which its rows carry.
        events: history that it adds to.
    """

    def __init__(
        self,
        name: str,
        group: str,
        proxies: Sequence[cluster.Member],
        events: list[Event],
        numbers: "itertools.count[int]",
    ) -> None:
        """Start without a connection.

        Args:
            name: name of the session.
            group: group to use.
            proxies: entry hosts to choose from.
            events: history to add to.
            numbers: gives numbers that are unique in the run.
        """
        self.name = name
        self.events = events
        self._group = group
        self._proxies = proxies
        self._numbers = numbers
        self._random = random.Random(name)
        self._token = ""
        self._host = ""
        self._connection: psycopg.AsyncConnection[Any] | None = None

    async def run(self, ends_at: float) -> None:
        """Make requests until a time, then one write that has to succeed."""
        actions = (self.read, self.write, self.write_keyed, self.transact)
        while time.monotonic() < ends_at:
            if self._random.random() < ROAM_SHARE:
                await self.close()
            await self._random.choices(actions, (5, 1, 2, 2))[0]()
            await anyio.sleep(THINK_S)
        await self.write_keyed()
        await self.close()

    async def read(self) -> None:
        """Read the session's own rows."""
        age_ms = self._random.choice(AGES_MS)
        invoked = self._invoke(
            Kind.READ,
            scope=self.name,
            max_age_s=age_ms / 1000.0,
        )
        settings = {"max_age_ms": str(age_ms)}
        query = (
            f"SELECT value, '{invoked.marker}', count(*) OVER ()"
            f" FROM {TABLE} WHERE session = '{self.name}'"
        )
        await self._ask(invoked, settings, [query])

    async def write(self) -> Outcome:
        """Append a row, once."""
        return await self._append("", self._make_value())

    async def write_keyed(self) -> None:
        """Append a row, with tries under one key until it is done."""
        key, value = f"key-{next(self._numbers)}", self._make_value()
        for _ in range(TRIES):
            if await self._append(key, value) is Outcome.DONE:
                return
            await self.close()
            await anyio.sleep(RETRY_S)
        raise TimeoutError(f"{value} was not acknowledged in {TRIES} tries")

    async def transact(self) -> None:
        """Append two rows in one transaction."""
        values = (self._make_value(), self._make_value())
        invoked = self._invoke(Kind.TRANSACTION, values=values)
        statements = [self._make_insert(value) for value in values]
        await self._ask(invoked, {}, ["BEGIN", *statements, "COMMIT"])

    async def close(self) -> None:
        """Close the connection; the next request chooses another host."""
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()

    async def _append(self, key: str, value: str) -> Outcome:
        invoked = self._invoke(Kind.WRITE, key=key, values=(value,))
        settings = {"idempotency_key": key} if key else {}
        return await self._ask(invoked, settings, [self._make_insert(value)])

    async def _ask(
        self,
        invoked: model.Invoked,
        settings: dict[str, str],
        queries: list[str],
    ) -> Outcome:
        """Run the queries of a request and record its outcome."""
        outcome = Outcome.UNKNOWN
        rows: list[tuple[Any, ...]] = []
        is_sent = False
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_S):
                connection = await self._prepare(settings)
                for query in queries:
                    # What has no COMMIT on its way can't have run.
                    is_sent = query == queries[-1]
                    cursor = await connection.execute(query)
                    rows = await cursor.fetchall() if cursor.description else []
            outcome = Outcome.DONE
            self._note_token(connection)
        except psycopg.Error as error:
            outcome = OUTCOMES.get(error.sqlstate or "", _judge(error))
        except (OSError, TimeoutError):
            pass
        if outcome is not Outcome.DONE:
            outcome = outcome if is_sent else Outcome.NOT_RUN
            await self.close()
        self._answer(invoked, outcome, rows)
        return outcome

    async def _prepare(
        self, settings: dict[str, str]
    ) -> psycopg.AsyncConnection[Any]:
        """Return a connection with the session's token and settings."""
        if self._connection is None or self._connection.closed:
            proxy = self._random.choice(self._proxies)
            self._host = proxy.name
            self._connection = await psycopg.AsyncConnection.connect(
                host=proxy.host,
                port=proxy.port,
                user=self.name,
                dbname=self._group,
                autocommit=True,
                connect_timeout=CONNECT_TIMEOUT_S,
            )
        if self._token:
            settings = {"token": self._token, **settings}
        for name, value in settings.items():
            await self._connection.execute(
                f"SET knapweedtally.{name} = '{value}'"
            )
        return self._connection

    def _note_token(self, connection: psycopg.AsyncConnection[Any]) -> None:
        status = connection.info.parameter_status("knapweedtally.token")
        self._token = status or self._token

    def _make_value(self) -> str:
        return f"v{next(self._numbers)}"

    def _make_insert(self, value: str) -> str:
        return (
            f"INSERT INTO {TABLE} (session, value)"
            f" VALUES ('{self.name}', '{value}')"
        )

    def _invoke(self, kind: Kind, **fields: Any) -> model.Invoked:
        request = next(self._numbers)
        invoked = model.Invoked(
            time.monotonic(),
            request,
            self.name,
            self.name,
            self._group,
            kind,
            marker=f"m{request}",
            **fields,
        )
        self.events.append(invoked)
        return invoked

    def _answer(
        self,
        invoked: model.Invoked,
        outcome: Outcome,
        rows: list[tuple[Any, ...]],
    ) -> None:
        # An answer without rows has no room for the marker.
        marker, count = invoked.marker, 0
        if rows:
            _, marker, count = rows[0]
        self.events.append(
            model.Answered(
                time.monotonic(),
                invoked.request,
                self.name,
                outcome,
                host=self._host,
                rows=tuple(row[0] for row in rows),
                row_count=int(count),
                marker=marker,
            )
        )


def _judge(error: psycopg.Error) -> Outcome:
    """Return the outcome for an error that the proxy's table doesn't name.

    An error with an SQLSTATE is the target's own and proves a rollback.
    """
    return Outcome.NOT_RUN if error.sqlstate else Outcome.UNKNOWN


async def read_table(
    members: Sequence[cluster.Member], group: str
) -> tuple[model.Row, ...]:
    """Return the table of the primary with the highest term.

    Raises:
        LookupError: no target says that it is a primary.
    """
    found: list[tuple[int, cluster.Member]] = []
    for member in members:
        try:
            async with await _connect(member, group) as connection:
                cursor = await connection.execute("SELECT kt_status()")
                row = await cursor.fetchone()
        except (psycopg.Error, OSError):
            continue
        status = parse_status(row)
        if status["is_primary"]:
            found.append((status["term"], member))
    if not found:
        raise LookupError(f"group {group} has no primary at the end of the run")
    async with await _connect(max(found)[1], group) as connection:
        cursor = await connection.execute(
            f"SELECT session, value FROM {TABLE} ORDER BY rowid"
        )
        rows = await cursor.fetchall()
    return tuple(model.Row(0, 0, session, value) for session, value in rows)


def parse_status(row: Any) -> dict[str, Any]:
    """Return the values of a ``kt_status()`` answer."""
    status: dict[str, Any] = json.loads(row[0])
    return status


async def _connect(
    member: cluster.Member, group: str
) -> psycopg.AsyncConnection[Any]:
    return await psycopg.AsyncConnection.connect(
        host=member.host,
        port=member.port,
        user="history",
        dbname=group,
        autocommit=True,
        connect_timeout=CONNECT_TIMEOUT_S,
    )
