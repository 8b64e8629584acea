"""Callers that roam between entry hosts and record what they are told."""

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

# A request without an answer after this time counts as hanging.
REQUEST_LIMIT_S = 20.0
PAUSE_S = 0.01
AGED_READ_MS = 1000
ANY_AGE_MS = 3_600_000
KEYED_TRIES = 50

INSERT = "INSERT INTO readings (session, value) VALUES ($1, $2)"
READ_ALL = "SELECT value FROM readings UNION ALL SELECT $1"
READ_OWN = "SELECT value FROM readings WHERE session = $1 UNION ALL SELECT $2"


class Recorder:
    """Keep the events of a run and number its requests.

    Attributes:
        events: the history so far.
        failures: error answers in order, with the time of each.
        acknowledged: number of acknowledged writes by session.
        is_ended: whether the callers are to stop.
    """

    def __init__(self, keys: tuple[token_module.SigningKey, ...]) -> None:
        self.events: list[model.Event] = []
        self.failures: list[tuple[float, clients.Failure]] = []
        self.acknowledged: collections.Counter[str] = collections.Counter()
        self.is_ended = False
        self._ids = itertools.count(1)
        self._keys = keys

    def invoke(self, request: model.Invoked) -> model.Invoked:
        """Record that a request is sent now."""
        numbered = request._replace(
            request=next(self._ids), at=time.monotonic()
        )
        self.events.append(numbered)
        return numbered

    def answer(self, request: model.Invoked, answer: model.Answered) -> None:
        """Record that the answer to a request arrived now."""
        self.events.append(
            answer._replace(
                at=time.monotonic(),
                request=request.request,
                caller=request.caller,
            )
        )
        if answer.outcome is errors.Outcome.DONE and request.values:
            self.acknowledged[request.session] += 1

    def note_failure(self, failure: clients.Failure) -> None:
        """Keep an error answer."""
        self.failures.append((time.monotonic(), failure))

    def find_term(self, caller: str, group: str, token: str) -> int:
        """Return the term in a session token."""
        positions = token_module.decode_token(self._keys, caller, token)
        return positions[group].term


class Caller:
    """Work as one session through changing entry hosts.

    Attributes:
        name: name of the session.
        last_failure: the newest error answer, or None.
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
        self._turns = itertools.count(sum(name.encode()))
        self._values = itertools.count(1)
        self._opened = itertools.count(1)
        self._clients: dict[str, tuple[str, clients.Client]] = {}
        self._operations: tuple[Callable[[], Awaitable[object]], ...] = (
            self.write,
            self.read_own,
            self.write_keyed,
            self.read_all,
            self.run_transaction,
            self.read_own,
            self.read_without_token,
            self.read_aged,
        )

    async def work(self) -> None:
        """Send requests of all kinds until the recorder ends the run."""
        for operation in itertools.cycle(self._operations):
            if self._recorder.is_ended:
                break
            await operation()
            await anyio.sleep(PAUSE_S)
        await self.close()

    async def close(self) -> None:
        """Close the kept connections."""
        for _, client in self._clients.values():
            await client.close()

    async def open_transaction(
        self, host: str
    ) -> tuple[model.Invoked, clients.Client]:
        """Begin a transaction and write in it; the end is not sent."""
        place = next(m for m in self._members if m.name == host)
        opened = await self._open(place)
        assert opened, f"no connection to {host}"
        caller, client = opened
        request = self._make_write(model.Kind.TRANSACTION, 1)
        request = self._recorder.invoke(request._replace(caller=caller))
        await client.fetch("BEGIN")
        await client.fetch(INSERT, self.name, request.values[0])
        return request, client

    async def write(self) -> errors.Outcome | None:
        """Write one value without a key."""
        request = self._make_write(model.Kind.WRITE, 1)
        return await self._send(request, self._insert)

    async def write_keyed(self) -> None:
        """Write one value with a key, with tries up to an acknowledgement."""
        request = self._make_write(model.Kind.WRITE, 1)
        request = request._replace(key=request.values[0])
        for _ in range(KEYED_TRIES):
            outcome = await self._send(request, self._insert)
            if outcome is errors.Outcome.DONE or self._recorder.is_ended:
                return
            await anyio.sleep(5 * PAUSE_S)

    async def run_transaction(self) -> None:
        """Write two values in one transaction."""
        request = self._make_write(model.Kind.TRANSACTION, 2)
        await self._send(request, self._insert_both)

    async def read_own(
        self, max_age_s: float | None = None
    ) -> errors.Outcome | None:
        """Read the session's own rows."""
        request = self._make_read(self.name)
        return await self._send(
            request._replace(max_age_s=max_age_s), self._select
        )

    async def read_all(self) -> None:
        """Read all rows."""
        await self._send(self._make_read(""), self._select)

    async def read_aged(self) -> None:
        """Read all rows with a stated age."""
        request = self._make_read("")
        age_s = AGED_READ_MS / 1000
        await self._send(request._replace(max_age_s=age_s), self._select)

    async def read_without_token(self) -> errors.Outcome | None:
        """Read on a new connection without a token: gives current data."""
        client = await self._open_next()
        if client is None:
            return None
        request = self._make_read("")._replace(max_age_s=0.0)
        outcome = await self._send_on(client, request, self._select, "")
        await client[1].close()
        return outcome

    def _make_write(self, kind: model.Kind, count: int) -> model.Invoked:
        values = [f"{self.name}-{next(self._values)}" for _ in range(count)]
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
            marker=f"answer to {self.name}-{next(self._values)}",
        )

    async def _send(
        self, request: model.Invoked, run: "Run"
    ) -> errors.Outcome | None:
        client = await self._take_next()
        if client is None:
            return None
        return await self._send_on(client, request, run, self._token)

    async def _send_on(
        self,
        numbered_client: tuple[str, clients.Client],
        request: model.Invoked,
        run: "Run",
        token: str,
    ) -> errors.Outcome | None:
        """Send a request, and record it and its answer."""
        caller, client = numbered_client
        request = self._recorder.invoke(request._replace(caller=caller))
        with anyio.move_on_after(REQUEST_LIMIT_S):
            answer = await self._run(client, request, run, token)
            self._recorder.answer(request, answer)
            return answer.outcome
        await client.close()
        return None

    async def _run(
        self,
        client: clients.Client,
        request: model.Invoked,
        run: "Run",
        token: str,
    ) -> model.Answered:
        progress = Progress()
        try:
            await self._set_options(client, request, token)
            answer = await run(client, request, progress)
        except (*clients.FAILURES, OSError) as error:
            failure = clients.describe_failure(error)
            what = f"{request.caller} {request.kind.value}: "
            failure = failure._replace(message=what + failure.message)
            self.last_failure = failure
            self._recorder.note_failure(failure)
            outcome = failure.outcome
            if not progress.may_have_run:
                outcome = errors.Outcome.NOT_RUN
            if progress.is_open or failure.sqlstate in ("57P01", "connection"):
                # The end of the connection ends its transaction too.
                await client.close()
            return model.Answered(0, 0, "", outcome)
        reported = client.get_token()
        if token or request.values:
            self._token = reported or self._token
        if not request.values:
            return answer
        term = self._recorder.find_term(self.name, self._group, reported)
        return answer._replace(term=term)

    async def _set_options(
        self, client: clients.Client, request: model.Invoked, token: str
    ) -> None:
        if token:
            await client.fetch(f"SET knapweedtally.token = '{token}'")
        if request.values:
            # A key that a refused request left behind must not be used.
            await client.fetch(
                f"SET knapweedtally.idempotency_key = '{request.key}'"
            )
        age_ms = ANY_AGE_MS
        if request.max_age_s is not None:
            age_ms = round(request.max_age_s * 1000)
        if request.kind is model.Kind.READ and token:
            # It can't loosen the bundle's, but undoes an earlier setting.
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
        # Before COMMIT is sent, a lost connection is a rollback.
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

    async def _take_next(self) -> tuple[str, clients.Client] | None:
        """Return a connection to the next host that takes one."""
        for _ in range(2 * len(self._members)):
            place = next(self._turns) % len(self._members)
            known = self._clients.get(self._members[place].name)
            if known and not known[1].is_closed():
                return known
            opened = await self._open(self._members[place])
            if opened:
                self._clients[self._members[place].name] = opened
                return opened
        return None

    async def _open_next(self) -> tuple[str, clients.Client] | None:
        place = next(self._turns) % len(self._members)
        return await self._open(self._members[place])

    async def _open(
        self, member: cluster.Member
    ) -> tuple[str, clients.Client] | None:
        client = self._make_client()
        try:
            await client.open(member, self.name, self._group)
        except (*clients.FAILURES, OSError, TimeoutError):
            await anyio.sleep(PAUSE_S)
            return None
        return f"{self.name}#{next(self._opened)}@{member.name}", client


class Progress:
    """Tell how far a request came.

    Attributes:
        may_have_run: whether what makes its effect last was sent.
        is_open: whether its transaction may still be open.
    """

    def __init__(self) -> None:
        self.may_have_run = False
        self.is_open = False


Run = Callable[
    [clients.Client, model.Invoked, Progress], Awaitable[model.Answered]
]
