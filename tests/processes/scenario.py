"""Run callers on a system of processes while a fault is brought about."""

import collections
import json
import pathlib
import shutil
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import psycopg
import testtools
from testtools import content

from bench import cluster
from bench import readings
from knapweedtally.core import errors
from knapweedtally.core.sessions import token as token_module
from knapweedtally.utils import http
from knapweedtally.utils import http_client
from standins.target import session as sessions
from tests.history import checker
from tests.history import model
from tests.processes import clients
from tests.processes import recorder as recorder_module

GROUP = "fog-1"
CALLERS = 4
POLL_S = 0.05
LIMIT_S = 60.0
WRITES_AFTERWARDS = 3
LOG_LINES = 60
LAYOUT = cluster.Layout(groups=(GROUP,))


class Scenario:
    """Give a fault's functions the system and its callers.

    Attributes:
        system: the running processes.
        recorder: record of the callers.
        hosts: names of the entry hosts.
        targets: ids of the targets; the first is the first primary.
        result: history of the run, once it has ended.
    """

    def __init__(self, system: cluster.Cluster) -> None:
        self.system = system
        key_id, _, key = system.token_keys.partition(":")
        self._keys = (token_module.SigningKey(key_id, bytes.fromhex(key)),)
        self.recorder = recorder_module.Recorder(self._keys)
        self.hosts = list(system.proxies)
        self.targets = list(system.targets)
        self.result = model.History((), {})
        self._terms: set[int] = set()

    async def run(self, disturb: "Disturb") -> None:
        """Run the callers, disturb the system and collect the history."""
        members = list(self.system.proxies.values())
        await readings.prepare(members[0], GROUP)
        callers = [self.make_caller(f"caller-{n}", n) for n in range(CALLERS)]
        async with anyio.create_task_group() as watchers:
            for target in self.targets:
                watchers.start_soon(self._watch_terms, target)
            async with anyio.create_task_group() as tasks:
                for caller in callers:
                    tasks.start_soon(caller.send_requests)
                await self.wait_progress()
                await disturb(self)
                await self.wait_progress()
                self.recorder.is_stopping = True
            await self._collect()
            watchers.cancel_scope.cancel()

    def make_caller(
        self, name: str, number: int = 0, host: str = ""
    ) -> "Caller":
        """Return a caller.

        Args:
            name: name of its session.
            number: chooses its client.
            host: the one host that it uses; empty for all of them.
        """
        members = self.system.proxies
        return recorder_module.Caller(
            name,
            GROUP,
            [members[host]] if host else list(members.values()),
            self.recorder,
            clients.CLIENT_FACTORIES[number % len(clients.CLIENT_FACTORIES)],
        )

    async def wait_progress(self, count: int = WRITES_AFTERWARDS) -> None:
        """Wait until every caller had further writes acknowledged."""
        before = dict(self.recorder.acknowledged_writes)

        async def has_progressed() -> bool:
            now = self.recorder.acknowledged_writes
            names = [f"caller-{n}" for n in range(CALLERS)]
            return all(now[n] >= before.get(n, 0) + count for n in names)

        await wait_until(has_progressed, "further writes of every caller")

    async def wait_served(self, caller: "Caller") -> None:
        """Wait until a write of a caller is acknowledged."""

        async def is_served() -> bool:
            return await caller.write() is errors.Outcome.DONE

        await wait_until(is_served, f"a write of {caller.name}")

    async def wait_primary(self, unlike: str = "", term: int = 0) -> str:
        """Wait until a target serves as primary; return its id.

        Args:
            unlike: target that is not meant.
            term: lowest term that is meant.
        """
        found: list[str] = []

        async def is_there() -> bool:
            statuses = [
                status
                for target in self.targets
                if target != unlike
                and (status := await self.fetch_status(target))
                and status["is_primary"]
                and status["term"] >= term
            ]
            statuses.sort(key=lambda status: status["term"])
            found[:] = [status["target"] for status in statuses]
            return bool(found)

        await wait_until(is_there, f"a primary other than {unlike!r}")
        return found[-1]

    async def wait_replica(self, target: str) -> None:
        """Wait until a target follows another one as its replica."""

        async def is_replica() -> bool:
            status = await self.fetch_status(target)
            if not status:
                return False
            is_following = status["primary"] not in ("", target)
            return is_following and status["age_ms"] < 1000

        await wait_until(is_replica, f"{target} as a replica")

    async def fetch_status(self, target: str) -> dict[str, Any] | None:
        """Return a target's status, or None when it gives none."""
        try:
            return await self.command(target, "SELECT kt_status()")
        except (psycopg.Error, OSError, TimeoutError):
            return None

    async def command(self, target: str, text: str) -> Any:
        """Run a command of the stand-in; return its decoded answer."""
        member = self.system.targets[target]
        with anyio.fail_after(2):
            async with await psycopg.AsyncConnection.connect(
                host=member.host,
                port=member.port,
                user="test",
                dbname=GROUP,
                autocommit=True,
                # Only callers' connections count against the limit.
                application_name=sessions.CONTROL_APPLICATION,
            ) as connection:
                cursor = await connection.execute(text)
                row = await cursor.fetchone()
        return json.loads(row[0]) if row else None

    async def set_target_faults(self, target: str, **faults: Any) -> None:
        """Switch faults of a target."""
        text = json.dumps(faults).replace("'", "''")
        await self.command(target, f"SELECT kt_fault('{text}')")

    async def set_platform_faults(self, **faults: Any) -> None:
        """Switch faults of the platform."""
        await self.call_platform("POST", "/faults", faults)

    async def call_platform(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Any:
        """Call the platform; return its decoded answer."""
        client = http_client.Client(
            cluster.PLATFORM_HOST, self.system.platform_port
        )
        data = b"" if body is None else json.dumps(body).encode()
        request = http.Request(method, path, {}, data)
        response = await client.send(request, 5.0)
        await client.close()
        assert response.status == 200, response.body
        return json.loads(response.body)

    async def switch(self, host: str, target: str) -> http.Response:
        """Ask a host for a planned change of the primary."""
        member = self.system.proxies[host]
        client = http_client.Client(member.host, member.admin_port)
        headers = {"authorization": f"Bearer {self.system.admin_token}"}
        body = json.dumps({"target": target}).encode()
        path = f"/v1/groups/{GROUP}/switch"
        request = http.Request("POST", path, headers, body)
        response = await client.send(request, 10.0)
        await client.close()
        return response

    async def wait_hosts(
        self, path: str, is_met: Callable[[Any], bool], what: str
    ) -> None:
        """Wait until an answer of every running host meets a condition."""

        async def is_met_by_all() -> bool:
            names = [n for n in self.hosts if n in self.system.processes]
            answers = [await self.fetch_host(name, path) for name in names]
            return all(answer and is_met(answer) for answer in answers)

        await wait_until(is_met_by_all, f"{what} on every host")

    async def find_promoter(self) -> str:
        """Wait until a host runs a promotion; return its name."""
        found: list[str] = []

        async def is_running() -> bool:
            for name in self.hosts:
                if (await self.fetch_group(name)).get("promotion"):
                    found.append(name)
            return bool(found)

        await wait_until(is_running, "a promotion")
        return found[0]

    async def fetch_host(self, name: str, path: str) -> Any:
        """Return an answer of a host's administration API, None if it fails."""
        member = self.system.proxies[name]
        try:
            return await cluster.fetch_json(self.system, member, path)
        except (OSError, RuntimeError, http.HttpError):
            return None

    async def fetch_group(self, name: str) -> dict[str, Any]:
        """Return a host's view of the group; empty when it gives none."""
        answer = await self.fetch_host(name, "/v1/groups")
        return find_group(answer) if answer else {}

    def list_failures(self, since: float = 0.0) -> list[clients.Failure]:
        """Return the error answers after a time."""
        return [f for at, f in self.recorder.failures if at >= since]

    async def _watch_terms(self, target: str) -> None:
        """Record when a primary of a new term was seen open."""
        while True:
            status = await self.fetch_status(target)
            term = status["term"] if status and status["is_primary"] else 0
            if term and term not in self._terms:
                self._terms.add(term)
                opened = model.TermOpened(time.monotonic(), GROUP, term, target)
                self.recorder.events.append(opened)
            await anyio.sleep(POLL_S)

    async def _collect(self) -> None:
        """Read the final data, and the primary's log that explains it."""
        values = await self._read_final()
        primary = await self.wait_primary(term=max(self._terms))
        entries = await self.command(primary, "SELECT kt_log()")
        rows = tuple(
            model.Row(offset, term, *parameters)
            for term, offset, statements in entries
            for text, parameters in statements
            if text.startswith("INSERT INTO readings")
        )
        logged = [row.value for row in rows]
        assert values == logged[: len(values)], "log and data differ"
        self.result = model.History(tuple(self.recorder.events), {GROUP: rows})

    async def _read_final(self) -> list[str]:
        """Read current data through any host."""
        found: list[str] = []

        async def is_read() -> bool:
            for name in self.system.proxies:
                if name not in self.system.processes:
                    continue
                client = clients.PsycopgClient()
                try:
                    member = self.system.proxies[name]
                    await client.open(member, "final", GROUP)
                    rows, _ = await client.fetch("SELECT value FROM readings")
                    await client.close()
                except clients.CLIENT_ERRORS:
                    continue
                found[:] = rows
                return True
            return False

        await wait_until(is_read, "a read of the final data")
        return found


Caller = recorder_module.Caller
Disturb = Callable[[Scenario], Awaitable[None]]


def find_group(answer: dict[str, Any]) -> dict[str, Any]:
    """Return the group's entry in a host's list of groups."""
    groups: list[dict[str, Any]] = answer["groups"]
    return next((g for g in groups if g["name"] == GROUP), {})


async def wait_until(is_met: Callable[[], Awaitable[bool]], what: str) -> None:
    """Poll until a condition is met.

    Raises:
        TimeoutError: it isn't met within a generous limit.
    """
    deadline = time.monotonic() + LIMIT_S
    while not await is_met():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {LIMIT_S} s in vain for {what}")
        await anyio.sleep(POLL_S)


class ScenarioTestCase(testtools.TestCase):
    """Run one scenario per test and check its history."""

    def run_scenario(
        self, disturb: Disturb, layout: cluster.Layout = LAYOUT
    ) -> Scenario:
        """Run a scenario; fail on any violation of a promise."""
        logs = tempfile.mkdtemp(prefix="knapweedtally-")
        self.addCleanup(shutil.rmtree, logs)
        with cluster.Cluster(layout, logs) as system:
            scenario = Scenario(system)
            try:
                anyio.run(scenario.run, disturb)
            except BaseException:
                self._attach_logs(logs)
                raise
            # The planned stop has its own test; here it would only take time.
            for name in list(system.processes):
                system.kill(name)
        self._print_summary(scenario)
        violations = checker.check_history(scenario.result)
        if violations:
            self._attach_logs(logs)
        self.assertEqual([], violations)
        return scenario

    def _attach_logs(self, directory: str) -> None:
        for path in sorted(pathlib.Path(directory).iterdir()):
            lines = path.read_text(errors="replace").splitlines()
            text = "\n".join(lines[-LOG_LINES:])
            self.addDetail(path.name, content.text_content(text))

    def _print_summary(self, scenario: Scenario) -> None:
        """Print what was seen: shown with pytest -s, and on a failure."""
        counts = collections.Counter(
            f"{failure.sqlstate} {failure.outcome.value}"
            for failure in scenario.list_failures()
        )
        writes = sum(scenario.recorder.acknowledged_writes.values())
        print(f"{self.id()}: {writes} writes, errors {dict(counts)}")
