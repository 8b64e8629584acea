"""Callers that write and read through any host and record what they see."""

import asyncio
import random
from collections.abc import Callable

from knapweedtally.core import errors
from tests.history import model

# Codes after which nothing of the request is kept.
PROMISES = frozenset(
    ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN")
)

# Longest wait for an answer, in seconds: well over the routes' 4 s. What has
# none by then hangs.
HANG_S = 20.0

# Time for a connection to a host, in seconds.
CONNECT_S = 2.0

# Accepted age of reads by kind of route, in seconds.
MAX_AGE_S = {"primary": 0.0, "bounded_stale": 1.5, "read_your_writes": 2.5}

# Requests of one session at most, and the pause between them, in seconds.
SESSION_REQUESTS = 12
PAUSE_S = 0.03

Endpoint = tuple[str, str, int]


class Ended(Exception):  # noqa: N818 - named after the cause
    """Report that a connection ended."""


class Record:
    """Hold the events of a run.

    Attributes:
        events: requests and answers.
        sessions: group and name of each session that was opened.
        is_over: whether no more requests are to be sent.
    """

    def __init__(self) -> None:
        self.is_over = False
        self.events: list[model.Event] = []
        self.sessions: list[tuple[str, str]] = []
        self._requests = 0

    def make_id(self) -> int:
        """Return the next request's id."""
        self._requests += 1
        return self._requests


class Session:
    """Run the requests of one connection."""

    def __init__(
        self, record: Record, chance: random.Random, name: str, group: str
    ) -> None:
        self._record = record
        self._chance = chance
        self._name = name
        self._group = group
        self._kind = chance.choice(tuple(MAX_AGE_S))
        self._writes = 0
        self._host = ""
        self._is_ended = False

    async def run(self, endpoint: Endpoint) -> None:
        """Connect and run requests until the session or connection ends."""
        self._host, address, port = endpoint
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    address, port
                )
        except (OSError, TimeoutError):
            # The host is down, or a stopped process accepts nothing.
            return
        try:
            async with asyncio.timeout(HANG_S):
                self._send(f"START {self._group}-{self._kind} soak")
                if not (await self._read()).startswith("READY "):
                    return
            self._record.sessions.append((self._group, self._name))
            for _ in range(self._chance.randrange(1, SESSION_REQUESTS)):
                await self._run_one()
                if self._is_ended or self._record.is_over:
                    return
                await asyncio.sleep(self._chance.uniform(0.0, PAUSE_S))
        except (Ended, TimeoutError, OSError):
            # Before the first request nothing is at stake.
            pass
        finally:
            self._writer.transport.abort()

    def _send(self, line: str) -> None:
        self._writer.write(f"{line}\r\n".encode())

    async def _read(self) -> str:
        try:
            line = await self._reader.readuntil(b"\r\n")
        except (OSError, asyncio.IncompleteReadError) as error:
            raise Ended(str(error)) from error
        return line[:-2].decode()

    async def _run_one(self) -> None:
        draw = self._chance.random()
        is_bounded = self._kind == "bounded_stale"
        if draw < 0.5 or is_bounded:
            await self._run_read()
        elif draw < 0.8:
            await self._run_write(1)
        else:
            await self._run_write(2)

    async def _run_read(self) -> None:
        """Read what one session wrote, this one or a recent one."""
        groups = [s for s in self._record.sessions if s[0] == self._group]
        scope = self._chance.choice(groups[-8:])[1]
        # Its own writes are promised on the other two kinds of route.
        if self._kind != "bounded_stale" and self._chance.random() < 0.5:
            scope = self._name
        invoked = self._invoke(model.Kind.READ, (), scope)
        await self._ask(invoked, (f"READ {scope}/*",))

    async def _run_write(self, count: int) -> None:
        values = []
        for _ in range(count):
            self._writes += 1
            values.append(f"{self._name}.{self._writes}")
        kind = model.Kind.WRITE if count == 1 else model.Kind.TRANSACTION
        invoked = self._invoke(kind, tuple(values), "")
        writes = tuple(f"WRITE {self._name}/{v} {v}" for v in values)
        if count > 1:
            writes = ("BEGIN", *writes, "COMMIT")
        await self._ask(invoked, writes)

    def _invoke(
        self, kind: model.Kind, values: tuple[str, ...], scope: str
    ) -> model.Invoked:
        id_ = self._record.make_id()
        invoked = model.Invoked(
            at=asyncio.get_running_loop().time(),
            request=id_,
            caller=self._name,
            session=self._name,
            group=self._group,
            kind=kind,
            values=values,
            scope=scope,
            max_age_s=MAX_AGE_S[self._kind],
            marker=f"q{id_}",
        )
        self._record.events.append(invoked)
        return invoked

    async def _ask(
        self, invoked: model.Invoked, texts: tuple[str, ...]
    ) -> None:
        """Run a request's statements, and record its outcome."""
        try:
            async with asyncio.timeout(HANG_S):
                for number, text in enumerate(texts, 1):
                    is_last = number == len(texts)
                    id_ = invoked.marker if is_last else f"{number}q"
                    self._send(f"QUERY {id_} {text}")
                    lines, ready = await self._read_answer()
                    if is_last or lines[-1].startswith("ERROR"):
                        self._note(invoked, lines, ready)
                        break
        except Ended:
            self._answer(invoked, errors.Outcome.UNKNOWN)
            self._is_ended = True
        except TimeoutError:
            # No answer is recorded: the check finds the request.
            self._is_ended = True

    async def _read_answer(self) -> tuple[list[str], str]:
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY "):
            lines.append(await self._read())
        ready = lines.pop()
        return lines, ready

    def _note(
        self, invoked: model.Invoked, lines: list[str], ready: str
    ) -> None:
        _, state, position = ready.split(" ")
        self._is_ended = state != "I"
        last = lines[-1].split(" ")
        if last[0] == "ERROR":
            outcome = errors.Outcome.UNKNOWN
            if last[1] in PROMISES:
                outcome = errors.Outcome.NOT_RUN
            self._answer(invoked, outcome)
            return
        target, marker, *count = last[1].split(".")
        rows = tuple(line.removeprefix("ROW ") for line in lines[:-1])
        self._answer(
            invoked,
            errors.Outcome.DONE,
            target=target,
            term=int(position.split(".")[0]),
            rows=rows,
            row_count=int(count[0]) if count else 0,
            marker=marker,
        )

    def _answer(
        self,
        invoked: model.Invoked,
        outcome: errors.Outcome,
        target: str = "",
        term: int = 0,
        rows: tuple[str, ...] = (),
        row_count: int = 0,
        marker: str = "",
    ) -> None:
        self._record.events.append(
            model.Answered(
                asyncio.get_running_loop().time(),
                invoked.request,
                invoked.caller,
                outcome,
                self._host,
                target,
                term,
                rows,
                row_count,
                marker,
            )
        )


async def run_caller(
    name: str,
    record: Record,
    chance: random.Random,
    groups: list[str],
    choose_endpoint: Callable[[random.Random], Endpoint],
) -> None:
    """Open one session after the other until the run is over."""
    number = 0
    while not record.is_over:
        number += 1
        group = chance.choice(groups)
        session = Session(record, chance, f"{name}-{number}", group)
        await session.run(choose_endpoint(chance))
        await asyncio.sleep(chance.uniform(0.01, 0.1))
