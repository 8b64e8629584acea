"""Callers that change entry hosts and record requests and answers."""

import collections
import itertools
import time
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bench import cluster
from knapweedtally.core import errors
from knapweedtally.core.sessions import token as token_module
from tests.history import model
from tests.processes import clients

# A request without an answer by then counts as hanging.
REQUEST_TIMEOUT_S = 20.0
PAUSE_S = 0.01
READ_MAX_AGE_MS = 1000
UNLIMITED_AGE_MS = 3_600_000
MAX_KEYED_ATTEMPTS = 50

INSERT = "INSERT INTO readings (session, value) VALUES ($1, $2)"
READ_ALL = "SELECT value FROM readings UNION ALL SELECT $1"
READ_OWN = "SELECT value FROM readings WHERE session = $1 UNION ALL SELECT $2"


class Recorder:
    """Record the events of a run and number its requests.

    Attributes:
        events: the history so far.
        failures: times and error answers, in order.
        acknowledged_writes: number of acknowledged requests that write, by
            session.
        is_stopping: whether the callers are to send no more requests.
    """

    def __init__(self, keys: tuple[token_module.SigningKey, ...]) -> None:
        self.events: list[model.Event] = []
        self.failures: list[tuple[float, clients.Failure]] = []
        self.acknowledged_writes: collections.Counter[str] = (
            collections.Counter()
        )
        self.is_stopping = False
        self._request_ids = itertools.count(1)
        self._keys = keys

    def record_request(self, request: model.Invoked) -> model.Invoked:
        """Record that a request is sent now; return it with id and time."""
        recorded = request._replace(
            request=next(self._request_ids), at=time.monotonic()
        )
        self.events.append(recorded)
        return recorded

    def record_answer(
        self, request: model.Invoked, answer: model.Answered
    ) -> None:
        """Record that the answer to a request arrived now."""
        self.events.append(
            answer._replace(
                at=time.monotonic(),
                request=request.request,
                caller=request.caller,
            )
        )
        if answer.outcome is errors.Outcome.DONE and request.values:
            self.acknowledged_writes[request.session] += 1

    def record_failure(self, failure: clients.Failure) -> None:
        """Record an error answer."""
        self.failures.append((time.monotonic(), failure))

    def decode_term(self, caller: str, group: str, token: str) -> int:
        """Return the term of a group's position in a session token."""
        positions = token_module.decode_token(self._keys, caller, token)
        return positions[group].term


class Caller:
    """One session that sends its requests through changing entry hosts.

    Attributes:
        name: name of the session.
        last_failure: the most recent error answer, or None.
    """

    def __init__(
        self,
        name: str,
        group: str,
        members: list[cluster.Member],
        recorder: Recorder,
        make_client: Callable[[], clients.Client],
    ) -> None:
        self.name = name
        self.last_failure: clients.Failure | None = None
        self._group = group
        self._members = members
        self._recorder = recorder
        self._make_client = make_client
        self._token = ""
        self._host_numbers = itertools.count(sum(name.encode()))
        self._value_numbers = itertools.count(1)
        self._connection_numbers = itertools.count(1)
        self._connections: dict[str, tuple[str, clients.Client]] = {}
        self._operations: tuple[Callable[[], Awaitable[object]], ...] = (
            self.write,
            self.read_own_rows,
            self.write_with_key,
            self.read_all,
            self.run_transaction,
            self.read_own_rows,
            self.read_without_token,
            self.read_with_max_age,
        )

    async def send_requests(self) -> None:
        """Send requests of all kinds until the recorder stops the callers."""
        for operation in itertools.cycle(self._operations):
            if self._recorder.is_stopping:
                break
            await operation()
            await anyio.sleep(PAUSE_S)
        await self.close()

    async def close(self) -> None:
        """Close the open connections."""
        for _, client in self._connections.values():
            await client.close()

    async def open_transaction(
        self, host: str
    ) -> tuple[model.Invoked, clients.Client]:
        """Begin a transaction and write in it, without COMMIT or ROLLBACK."""
        member = next(m for m in self._members if m.name == host)
        connection = await self._open_connection(member)
        assert connection, f"no connection to {host}"
        caller, client = connection
        request = self._make_write(model.Kind.TRANSACTION, 1)
        request = self._recorder.record_request(request._replace(caller=caller))
        await client.fetch("BEGIN")
        await client.fetch(INSERT, self.name, request.values[0])
        return request, client

    async def write(self) -> errors.Outcome | None:
        """Write one value without an idempotency key."""
        request = self._make_write(model.Kind.WRITE, 1)
        return await self._send_request(request, self._insert)

    async def write_with_key(self) -> None:
        """Write one value with a key, with retries until acknowledged."""
        request = self._make_write(model.Kind.WRITE, 1)
        request = request._replace(key=request.values[0])
        for _ in range(MAX_KEYED_ATTEMPTS):
            outcome = await self._send_request(request, self._insert)
            if outcome is errors.Outcome.DONE or self._recorder.is_stopping:
                return
            await anyio.sleep(5 * PAUSE_S)

    async def run_transaction(self) -> None:
        """Write two values in one transaction."""
        request = self._make_write(model.Kind.TRANSACTION, 2)
        await self._send_request(request, self._insert_both)

    async def read_own_rows(
        self, max_age_s: float | None = None
    ) -> errors.Outcome | None:
        """Read the session's own rows."""
        request = self._make_read(self.name)
        return await self._send_request(
            request._replace(max_age_s=max_age_s), self._select
        )

    async def read_all(self) -> None:
        """Read all rows."""
        await self._send_request(self._make_read(""), self._select)

    async def read_with_max_age(self) -> None:
        """Read all rows with a maximum age."""
        request = self._make_read("")
        age_s = READ_MAX_AGE_MS / 1000
        await self._send_request(
            request._replace(max_age_s=age_s), self._select
        )

    async def read_without_token(self) -> errors.Outcome | None:
        """Read on a new connection without a token, for current data."""
        connection = await self._open_next_connection()
        if connection is None:
            return None
        request = self._make_read("")._replace(max_age_s=0.0)
        outcome = await self._send_on_connection(
            connection, request, self._select, ""
        )
        await connection[1].close()
        return outcome

    def _make_write(self, kind: model.Kind, count: int) -> model.Invoked:
        values = [
            f"{self.name}-{next(self._value_numbers)}" for _ in range(count)
        ]
        return model.Invoked(
            0, 0, "", self.name, self._group, kind, values=tuple(values)
        )

    def _make_read(self, scope: str) -> model.Invoked:
        return model.Invoked(
            0,
            0,
            "",
            self.name,
            self._group,
            model.Kind.READ,
            scope=scope,
            marker=f"answer to {self.name}-{next(self._value_numbers)}",
        )

    async def _send_request(
        self, request: model.Invoked, run: "RequestFunction"
    ) -> errors.Outcome | None:
        connection = await self._get_next_connection()
        if connection is None:
            return None
        return await self._send_on_connection(
            connection, request, run, self._token
        )

    async def _send_on_connection(
        self,
        connection: tuple[str, clients.Client],
        request: model.Invoked,
        run: "RequestFunction",
        token: str,
    ) -> errors.Outcome | None:
        """Send a request on a connection; record it and its answer."""
        caller, client = connection
        request = self._recorder.record_request(request._replace(caller=caller))
        with anyio.move_on_after(REQUEST_TIMEOUT_S):
            answer = await self._run_request(client, request, run, token)
            self._recorder.record_answer(request, answer)
            return answer.outcome
        await client.close()
        return None

    async def _run_request(
        self,
        client: clients.Client,
        request: model.Invoked,
        run: "RequestFunction",
        token: str,
    ) -> model.Answered:
        progress = Progress()
        try:
            await self._set_options(client, request, token)
            answer = await run(client, request, progress)
        except (*clients.CLIENT_ERRORS, OSError) as error:
            failure = clients.describe_failure(error)
            description = f"{request.caller} {request.kind.value}: "
            failure = failure._replace(message=description + failure.message)
            self.last_failure = failure
            self._recorder.record_failure(failure)
            outcome = failure.outcome
            if not progress.may_have_run:
                outcome = errors.Outcome.NOT_RUN
            if progress.is_open or failure.sqlstate in ("57P01", "connection"):
                # Closing the connection ends its transaction as well.
                await client.close()
            return model.Answered(0, 0, "", outcome)
        reported = client.get_token()
        if token or request.values:
            self._token = reported or self._token
        if not request.values:
            return answer
        term = self._recorder.decode_term(self.name, self._group, reported)
        return answer._replace(term=term)

    async def _set_options(
        self, client: clients.Client, request: model.Invoked, token: str
    ) -> None:
        if token:
            await client.fetch(f"SET knapweedtally.token = '{token}'")
        if request.values:
            # A refused request may have left a key in the session, which this
            # request must not use.
            await client.fetch(
                f"SET knapweedtally.idempotency_key = '{request.key}'"
            )
        age_ms = UNLIMITED_AGE_MS
        if request.max_age_s is not None:
            age_ms = round(request.max_age_s * 1000)
        if request.kind is model.Kind.READ and token:
            # This replaces an earlier setting, but can't exceed the bundle's
            # limit.
            await client.fetch(f"SET knapweedtally.max_age_ms = '{age_ms}'")

    async def _insert(
        self,
        client: clients.Client,
        request: model.Invoked,
        progress: "Progress",
    ) -> model.Answered:
        progress.may_have_run = True
        await client.fetch(INSERT, self.name, request.values[0])
        return model.Answered(0, 0, "", errors.Outcome.DONE)

    async def _insert_both(
        self,
        client: clients.Client,
        request: model.Invoked,
        progress: "Progress",
    ) -> model.Answered:
        progress.is_open = True
        await client.fetch("BEGIN")
        for value in request.values:
            await client.fetch(INSERT, self.name, value)
        # A connection that is lost before COMMIT is sent rolls back.
        progress.may_have_run = True
        await client.fetch("COMMIT")
        return model.Answered(0, 0, "", errors.Outcome.DONE)

    async def _select(
        self,
        client: clients.Client,
        request: model.Invoked,
        progress: "Progress",
    ) -> model.Answered:
        scope = (request.scope,) if request.scope else ()
        text = READ_OWN if request.scope else READ_ALL
        rows, count = await client.fetch(text, *scope, request.marker)
        return model.Answered(
            0,
            0,
            "",
            errors.Outcome.DONE,
            rows=tuple(rows[:-1]),
            row_count=count - 1,
            marker=rows[-1],
        )

    async def _get_next_connection(self) -> tuple[str, clients.Client] | None:
        """Return a connection to the next host that accepts one."""
        for _ in range(2 * len(self._members)):
            index = next(self._host_numbers) % len(self._members)
            existing = self._connections.get(self._members[index].name)
            if existing and not existing[1].is_closed():
                return existing
            connection = await self._open_connection(self._members[index])
            if connection:
                self._connections[self._members[index].name] = connection
                return connection
        return None

    async def _open_next_connection(self) -> tuple[str, clients.Client] | None:
        index = next(self._host_numbers) % len(self._members)
        return await self._open_connection(self._members[index])

    async def _open_connection(
        self, member: cluster.Member
    ) -> tuple[str, clients.Client] | None:
        client = self._make_client()
        try:
            await client.open(member, self.name, self._group)
        except (*clients.CLIENT_ERRORS, OSError, TimeoutError):
            await anyio.sleep(PAUSE_S)
            return None
        return (
            f"{self.name}#{next(self._connection_numbers)}@{member.name}",
            client,
        )


class Progress:
    """Progress of a request.

    Attributes:
        may_have_run: whether the statement that commits its writes was sent.
        is_open: whether its transaction may be open.
    """

    def __init__(self) -> None:
        self.may_have_run = False
        self.is_open = False


RequestFunction = Callable[
    [clients.Client, model.Invoked, Progress], Awaitable[model.Answered]
]
