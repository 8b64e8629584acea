"""Callers that use all hosts and record their requests and answers."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core import errors
from tests.history import model
from tests.soak import hosts
from tests.soak import team_judge
from tests.soak import teams as teams_module

# Error codes that mean that the request has no effect.
NOT_RUN_CODES = frozenset(
    (
        "BUSY",
        "ABORTED",
        "LAGGING",
        "READONLY",
        "WRONGNODE",
        "MAXCONN",
        "NOAUTH",
    )
)

# Timeout of an answer, in seconds: well over the 4 s that routes allow. A
# request without an answer by then counts as hanging.
ANSWER_TIMEOUT_S = 20.0

# Timeout for opening a connection to a host, in seconds.
CONNECT_TIMEOUT_S = 2.0

# Maximum data age of reads by kind of route, in seconds.
MAX_AGE_S = {"primary": 0.0, "bounded_stale": 1.5, "read_your_writes": 2.5}

Endpoint = tuple[str, str, int]


class Pace(NamedTuple):
    """How a caller uses its sessions.

    Attributes:
        requests_end: exclusive upper bound of the requests in a session.
        max_pause_s: longest pause between two requests, in seconds.
        max_transaction_pause_s: longest pause between two statements of a
            transaction, in seconds.
    """

    requests_end: int
    max_pause_s: float
    max_transaction_pause_s: float


USUAL_PACE = Pace(12, 0.03, 0.0)

# Sessions last until they fail, so that keys are revoked while sessions and
# transactions are open.
STEADY_PACE = Pace(1000, 0.3, 0.6)


class ConnectionClosed(Exception):  # noqa: N818 - named after the cause
    """The connection to the host was closed."""


class RunRecord:
    """Events of a run, shared by its callers.

    Attributes:
        events: requests and answers.
        sessions: group and name of each opened session.
        is_stopping: whether callers are to send no more requests.
        teams: the callers' teams, or None if callers aren't told apart.
        operation_hosts: host that an operation was sent to, by the id of the
            operation.
        refusals: the refusals with NOAUTH.
    """

    def __init__(self, teams: teams_module.Teams | None = None) -> None:
        self.is_stopping = False
        self.teams = teams
        self.operation_hosts: dict[str, str] = {}
        self.refusals: list[team_judge.Refusal] = []
        self.events: list[model.Event] = []
        self.sessions: list[tuple[str, str]] = []
        self._request_count = 0

    def make_request_id(self) -> int:
        """Return the id of the next request."""
        self._request_count += 1
        return self._request_count


class Session:
    """One connection and the requests sent on it."""

    def __init__(
        self,
        record: RunRecord,
        rng: random.Random,
        name: str,
        group: str,
        key: str = "soak",
        pace: Pace = USUAL_PACE,
    ) -> None:
        self._record = record
        self._rng = rng
        self._name = name
        self._group = group
        self._key = key
        self._pace = pace
        self._route_kind = rng.choice(tuple(MAX_AGE_S))
        self._write_count = 0
        self._host = ""
        self._is_ended = False

    async def run(self, endpoint: Endpoint) -> None:
        """Connect, and run requests until the session or connection ends."""
        self._host, address, port = endpoint
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    address, port
                )
        except (OSError, TimeoutError):
            # The host is down, or its process is suspended and accepts nothing.
            return
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                sent_s = asyncio.get_running_loop().time()
                self._send_line(
                    f"START {self._group}-{self._route_kind} {self._key}"
                )
                line = await self._read_line()
                if not line.startswith("READY "):
                    self._record_refusal(sent_s, line)
                    return
            self._record.sessions.append((self._group, self._name))
            for _ in range(self._rng.randrange(1, self._pace.requests_end)):
                await self._run_request()
                if self._is_ended or self._record.is_stopping:
                    return
                pause_s = self._rng.uniform(0.0, self._pace.max_pause_s)
                await asyncio.sleep(pause_s)
        except (ConnectionClosed, TimeoutError, OSError):
            # No request was sent yet, so there is no outcome to record.
            pass
        finally:
            self._writer.transport.abort()

    def _record_refusal(self, sent_s: float, line: str) -> None:
        """Record an error, if it is a refusal with NOAUTH."""
        if line.split(" ")[1:2] == ["NOAUTH"]:
            now_s = asyncio.get_running_loop().time()
            self._record.refusals.append(
                team_judge.Refusal(sent_s, now_s, self._host, self._key)
            )
            self._is_ended = True

    def _send_line(self, line: str) -> None:
        self._writer.write(f"{line}\r\n".encode())

    async def _read_line(self) -> str:
        try:
            line = await self._reader.readuntil(b"\r\n")
        except (OSError, asyncio.IncompleteReadError) as error:
            raise ConnectionClosed(str(error)) from error
        return line[:-2].decode()

    async def _run_request(self) -> None:
        random_value = self._rng.random()
        is_bounded_stale = self._route_kind == "bounded_stale"
        if random_value < 0.5 or is_bounded_stale:
            await self._run_read()
        elif random_value < 0.8:
            await self._run_write(1)
        else:
            await self._run_write(2)

    async def _run_read(self) -> None:
        """Read the values of this session or of a recent one."""
        sessions = [s for s in self._record.sessions if s[0] == self._group]
        scope = self._rng.choice(sessions[-8:])[1]
        # The other two kinds of route guarantee read-your-writes.
        if self._route_kind != "bounded_stale" and self._rng.random() < 0.5:
            scope = self._name
        invoked = self._record_request(model.Kind.READ, (), scope)
        await self._run_statements(invoked, (f"READ {scope}/*",))

    async def _run_write(self, count: int) -> None:
        values = []
        for _ in range(count):
            self._write_count += 1
            values.append(f"{self._name}.{self._write_count}")
        kind = model.Kind.WRITE if count == 1 else model.Kind.TRANSACTION
        invoked = self._record_request(kind, tuple(values), "")
        statements = tuple(f"WRITE {self._name}/{v} {v}" for v in values)
        if count > 1:
            statements = ("BEGIN", *statements, "COMMIT")
        await self._run_statements(invoked, statements)

    def _record_request(
        self, kind: model.Kind, values: tuple[str, ...], scope: str
    ) -> model.Invoked:
        request_id = self._record.make_request_id()
        invoked = model.Invoked(
            at=asyncio.get_running_loop().time(),
            request=request_id,
            caller=self._name,
            session=self._name,
            group=self._group,
            kind=kind,
            values=values,
            scope=scope,
            max_age_s=MAX_AGE_S[self._route_kind],
            marker=f"q{request_id}",
        )
        self._record.events.append(invoked)
        self._record.operation_hosts[invoked.marker] = self._host
        if self._record.teams is not None:
            monitor = self._record.teams.monitor
            monitor.operation_keys[invoked.marker] = self._key
        return invoked

    async def _run_statements(
        self, invoked: model.Invoked, statements: tuple[str, ...]
    ) -> None:
        """Run a request's statements and record its outcome."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                for number, statement in enumerate(statements, 1):
                    is_last = number == len(statements)
                    request_id = invoked.marker
                    if not is_last:
                        request_id += f"-{number}"
                    sent_s = asyncio.get_running_loop().time()
                    self._send_line(f"QUERY {request_id} {statement}")
                    lines, ready = await self._read_result()
                    if is_last or lines[-1].startswith("ERROR"):
                        self._record_result(invoked, lines, ready)
                        self._record_refusal(sent_s, lines[-1])
                        break
                    if self._pace.max_transaction_pause_s:
                        await asyncio.sleep(
                            self._rng.uniform(
                                0.0, self._pace.max_transaction_pause_s
                            )
                        )
        except ConnectionClosed:
            self._record_answer(invoked, errors.Outcome.UNKNOWN)
            self._is_ended = True
        except TimeoutError:
            # No answer is recorded, so the checker reports the request.
            self._is_ended = True

    async def _read_result(self) -> tuple[list[str], str]:
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY "):
            lines.append(await self._read_line())
        ready = lines.pop()
        return lines, ready

    def _record_result(
        self, invoked: model.Invoked, lines: list[str], ready: str
    ) -> None:
        _, state, position = ready.split(" ")
        self._is_ended = state != "I"
        last = lines[-1].split(" ")
        if last[0] == "ERROR":
            outcome = errors.Outcome.UNKNOWN
            if last[1] in NOT_RUN_CODES:
                outcome = errors.Outcome.NOT_RUN
            self._record_answer(invoked, outcome)
            return
        target, marker, *count = last[1].split(".")
        rows = tuple(line.removeprefix("ROW ") for line in lines[:-1])
        self._record_answer(
            invoked,
            errors.Outcome.DONE,
            target=target,
            term=int(position.split(".")[0]),
            rows=rows,
            row_count=int(count[0]) if count else 0,
            marker=marker,
        )

    def _record_answer(
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
    record: RunRecord,
    rng: random.Random,
    groups: list[str],
    choose_endpoint: Callable[[random.Random], Endpoint],
    team: str = "",
    end_s: float = math.inf,
    pace: Pace = USUAL_PACE,
) -> None:
    """Run one session after another until the run is stopping.

    Args:
        name: name of the caller.
        record: record of the run.
        rng: source of the caller's choices.
        groups: names of the groups.
        choose_endpoint: chooses the host for a session.
        team: the caller's team if the run has teams.
        end_s: time from which no session is started.
        pace: how the caller uses its sessions.
    """
    number = 0
    while not record.is_stopping and asyncio.get_running_loop().time() < end_s:
        number += 1
        group = rng.choice(groups)
        key = "soak"
        if record.teams is not None:
            key = record.teams.choose_key(rng, team)
        session = Session(record, rng, f"{name}-{number}", group, key, pace)
        await session.run(choose_endpoint(rng))
        await asyncio.sleep(rng.uniform(0.01, 0.1))


async def keep_connections(host: hosts.Host, group: str) -> None:
    """Keep an idle session open until the host's process is gone, forever.

    The caller's side stays open even if the host has closed its own.
    """
    while True:
        await asyncio.sleep(0.1)
        process = host.process
        if process is None:
            continue
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    host.address, host.callers_port
                )
        except (OSError, TimeoutError):
            continue
        try:
            key = teams_module.PROBE_KEY
            writer.write(f"START {group}-primary {key}\r\n".encode())
            await reader.read()
            await process.wait()
        except OSError:
            # The process is gone.
            pass
        finally:
            writer.transport.abort()
