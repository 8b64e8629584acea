"""Run callers on a system of processes while faults are injected."""

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
CALLER_COUNT = 4
POLL_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 60.0
REQUIRED_WRITES = 3
MAX_LOG_LINES = 60
LAYOUT = cluster.Layout(groups=(GROUP,))


class Scenario:
    """A run of the system and its callers, with helpers for injecting faults.

    Attributes:
        system: the running processes.
        recorder: record of the callers.
        hosts: names of the entry hosts.
        targets: ids of the targets; the first one is the initial primary.
        history: history of the run; empty until the run has ended.
    """

    def __init__(self, system: cluster.Cluster) -> None:
        self.system = system
        key_id, _, key = system.token_keys.partition(":")
        self._keys = (token_module.SigningKey(key_id, bytes.fromhex(key)),)
        self.recorder = recorder_module.Recorder(self._keys)
        self.hosts = list(system.proxies)
        self.targets = list(system.targets)
        self.history = model.History((), {})
        self._recorded_terms: set[int] = set()

    async def run(self, inject_faults: "FaultInjection") -> None:
        """Run the callers, inject faults and collect the history."""
        members = list(self.system.proxies.values())
        await readings.create_table(members[0], GROUP)
        callers = [
            self.make_caller(f"caller-{n}", n) for n in range(CALLER_COUNT)
        ]
        async with anyio.create_task_group() as watchers:
            for target in self.targets:
                watchers.start_soon(self._record_terms, target)
            async with anyio.create_task_group() as tasks:
                for caller in callers:
                    tasks.start_soon(caller.send_requests)
                await self.wait_for_progress()
                await inject_faults(self)
                await self.wait_for_progress()
                self.recorder.is_stopping = True
            await self._collect_history()
            watchers.cancel_scope.cancel()

    def make_caller(
        self, name: str, number: int = 0, host: str = ""
    ) -> "Caller":
        """Return a caller.

        Args:
            name: name of its session.
            number: number that selects its client library.
            host: the only host that it uses; empty for all hosts.
        """
        members = self.system.proxies
        return recorder_module.Caller(
            name,
            GROUP,
            [members[host]] if host else list(members.values()),
            self.recorder,
            clients.CLIENT_FACTORIES[number % len(clients.CLIENT_FACTORIES)],
        )

    async def wait_for_progress(self, count: int = REQUIRED_WRITES) -> None:
        """Wait until further writes of every caller are acknowledged."""
        before = dict(self.recorder.acknowledged_writes)

        async def has_progressed() -> bool:
            now = self.recorder.acknowledged_writes
            names = [f"caller-{n}" for n in range(CALLER_COUNT)]
            return all(now[n] >= before.get(n, 0) + count for n in names)

        await wait_until(has_progressed, "further writes of every caller")

    async def wait_for_write(self, caller: "Caller") -> None:
        """Wait until a write of a caller is acknowledged."""

        async def is_served() -> bool:
            return await caller.write() is errors.Outcome.DONE

        await wait_until(is_served, f"a write of {caller.name}")

    async def wait_for_primary(
        self, excluded: str = "", min_term: int = 0
    ) -> str:
        """Wait until a target is primary; return its id.

        Args:
            excluded: target that is ignored.
            min_term: lowest term that is accepted.
        """
        found: list[str] = []

        async def has_primary() -> bool:
            statuses = [
                status
                for target in self.targets
                if target != excluded
                and (status := await self.fetch_status(target))
                and status["is_primary"]
                and status["term"] >= min_term
            ]
            statuses.sort(key=lambda status: status["term"])
            found[:] = [status["target"] for status in statuses]
            return bool(found)

        await wait_until(has_primary, f"a primary other than {excluded!r}")
        return found[-1]

    async def wait_for_replica(self, target: str) -> None:
        """Wait until a target is an up-to-date replica of another one."""

        async def is_replica() -> bool:
            status = await self.fetch_status(target)
            if not status:
                return False
            is_following = status["primary"] not in ("", target)
            return is_following and status["age_ms"] < 1000

        await wait_until(is_replica, f"{target} as a replica")

    async def fetch_status(self, target: str) -> dict[str, Any] | None:
        """Return a target's status, or None if it can't be fetched."""
        try:
            return await self.run_command(target, "SELECT kt_status()")
        except (psycopg.Error, OSError, TimeoutError):
            return None

    async def run_command(self, target: str, text: str) -> Any:
        """Run a command of the target stand-in; return its decoded answer."""
        member = self.system.targets[target]
        with anyio.fail_after(2):
            async with await psycopg.AsyncConnection.connect(
                host=member.host,
                port=member.port,
                user="test",
                dbname=GROUP,
                autocommit=True,
                # Connections of this name don't count against the limit.
                application_name=sessions.CONTROL_APPLICATION,
            ) as connection:
                cursor = await connection.execute(text)
                row = await cursor.fetchone()
        return json.loads(row[0]) if row else None

    async def set_target_faults(self, target: str, **faults: Any) -> None:
        """Set the faults of a target."""
        text = json.dumps(faults).replace("'", "''")
        await self.run_command(target, f"SELECT kt_fault('{text}')")

    async def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the platform."""
        await self.call_platform("POST", "/faults", faults)

    async def call_platform(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Any:
        """Call the platform's API; return its decoded answer."""
        client = http_client.Client(
            cluster.PLATFORM_HOST, self.system.platform_port
        )
        data = b"" if body is None else json.dumps(body).encode()
        request = http.Request(method, path, {}, data)
        response = await client.send(request, 5.0)
        await client.close()
        assert response.status == 200, response.body
        return json.loads(response.body)

    async def request_switch(self, host: str, target: str) -> http.Response:
        """Ask a host for a planned switch of the primary."""
        member = self.system.proxies[host]
        client = http_client.Client(member.host, member.admin_port)
        headers = {"authorization": f"Bearer {self.system.admin_token}"}
        body = json.dumps({"target": target}).encode()
        path = f"/v1/groups/{GROUP}/switch"
        request = http.Request("POST", path, headers, body)
        response = await client.send(request, 10.0)
        await client.close()
        return response

    async def wait_for_hosts(
        self, path: str, is_met: Callable[[Any], bool], what: str
    ) -> None:
        """Wait until the answers of all running hosts meet a condition."""

        async def is_met_by_all() -> bool:
            names = [n for n in self.hosts if n in self.system.processes]
            answers = [await self.fetch_from_host(name, path) for name in names]
            return all(answer and is_met(answer) for answer in answers)

        await wait_until(is_met_by_all, f"{what} on every host")

    async def wait_for_promoting_host(self) -> str:
        """Wait until a host is running a promotion; return its name."""
        found: list[str] = []

        async def is_running() -> bool:
            for name in self.hosts:
                if (await self.fetch_group(name)).get("promotion"):
                    found.append(name)
            return bool(found)

        await wait_until(is_running, "a promotion")
        return found[0]

    async def fetch_from_host(self, name: str, path: str) -> Any:
        """Return an answer of a host's administration API, or None on error."""
        member = self.system.proxies[name]
        try:
            return await cluster.fetch_admin_json(self.system, member, path)
        except (OSError, RuntimeError, http.HttpError):
            return None

    async def fetch_group(self, name: str) -> dict[str, Any]:
        """Return the group's entry on a host; empty if it can't be fetched."""
        answer = await self.fetch_from_host(name, "/v1/groups")
        return find_group(answer) if answer else {}

    def list_failures(self, since: float = 0.0) -> list[clients.Failure]:
        """Return the error answers since a time."""
        return [f for at, f in self.recorder.failures if at >= since]

    async def _record_terms(self, target: str) -> None:
        """Record when the primary of each new term is first seen."""
        while True:
            status = await self.fetch_status(target)
            term = status["term"] if status and status["is_primary"] else 0
            if term and term not in self._recorded_terms:
                self._recorded_terms.add(term)
                opened = model.TermOpened(time.monotonic(), GROUP, term, target)
                self.recorder.events.append(opened)
            await anyio.sleep(POLL_INTERVAL_S)

    async def _collect_history(self) -> None:
        """Collect the final data, the primary's log and the history.

        The values of the final data must be a prefix of those in the log.
        """
        values = await self._read_final_data()
        primary = await self.wait_for_primary(
            min_term=max(self._recorded_terms)
        )
        entries = await self.run_command(primary, "SELECT kt_log()")
        rows = tuple(
            model.Row(offset, term, *parameters)
            for term, offset, statements in entries
            for text, parameters in statements
            if text.startswith("INSERT INTO readings")
        )
        logged = [row.value for row in rows]
        assert values == logged[: len(values)], (
            "final data differs from the log"
        )
        self.history = model.History(tuple(self.recorder.events), {GROUP: rows})

    async def _read_final_data(self) -> list[str]:
        """Read the current data through any host."""
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
FaultInjection = Callable[[Scenario], Awaitable[None]]


def find_group(answer: dict[str, Any]) -> dict[str, Any]:
    """Return the group's entry in a host's list of groups."""
    groups: list[dict[str, Any]] = answer["groups"]
    return next((g for g in groups if g["name"] == GROUP), {})


async def wait_until(is_met: Callable[[], Awaitable[bool]], what: str) -> None:
    """Poll until a condition is met.

    Raises:
        TimeoutError: it isn't met within ``WAIT_TIMEOUT_S``.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not await is_met():
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"timed out after {WAIT_TIMEOUT_S} s waiting for {what}"
            )
        await anyio.sleep(POLL_INTERVAL_S)


class ScenarioTestCase(testtools.TestCase):
    """Run one scenario per test and check its history."""

    def run_scenario(
        self, inject_faults: FaultInjection, layout: cluster.Layout = LAYOUT
    ) -> Scenario:
        """Run a scenario; fail if the history violates a guarantee."""
        logs = tempfile.mkdtemp(prefix="knapweedtally-")
        self.addCleanup(shutil.rmtree, logs)
        with cluster.Cluster(layout, logs) as system:
            scenario = Scenario(system)
            try:
                anyio.run(scenario.run, inject_faults)
            except BaseException:
                self._attach_logs(logs)
                raise
            # The processes are killed to save time; planned stops have a test
            # of their own.
            for name in list(system.processes):
                system.kill_process(name)
        self._print_summary(scenario)
        violations = checker.check_history(scenario.history)
        if violations:
            self._attach_logs(logs)
        self.assertEqual([], violations)
        return scenario

    def _attach_logs(self, directory: str) -> None:
        for path in sorted(pathlib.Path(directory).iterdir()):
            lines = path.read_text(errors="replace").splitlines()
            text = "\n".join(lines[-MAX_LOG_LINES:])
            self.addDetail(path.name, content.text_content(text))

    def _print_summary(self, scenario: Scenario) -> None:
        """Print writes and errors; pytest shows them with -s or on failure."""
        counts = collections.Counter(
            f"{failure.sqlstate} {failure.outcome.value}"
            for failure in scenario.list_failures()
        )
        writes = sum(scenario.recorder.acknowledged_writes.values())
        print(f"{self.id()}: {writes} writes, errors {dict(counts)}")
