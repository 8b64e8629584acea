"""Tests of the entry host as a process, with stand-ins for the platform."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from unittest import mock

import testtools

from knapweedtally.core.groups import promotion_lease
from knapweedtally.entry import host as host_module
from knapweedtally.entry import process as process_module
from knapweedtally.entry.common import logs
from knapweedtally.entry.fleet import store_watches
from knapweedtally.entry.members import lease_manager
from knapweedtally.platform import settings
from knapweedtally.platform import store_calls
from standins.line_platform import platform as platform_module
from standins.line_platform import store as store_standin
from tests.entry import harness


class Process:
    """A started entry host and its ports."""

    def __init__(
        self, process: asyncio.subprocess.Process, ports: list[int]
    ) -> None:
        self.process = process
        self.callers_port, self.ready_port = ports[:2]

    async def get_ready_status(self) -> int:
        """Return the status of a readiness check, 0 without a response."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ready_port
            )
        except OSError:
            return 0
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split(b" ")[1]) if line else 0

    async def wait_ready(self) -> None:
        async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
            while await self.get_ready_status() != 200:
                await asyncio.sleep(0.02)


async def start_process(path: pathlib.Path) -> asyncio.subprocess.Process:
    """Start ``knapweedtally entry`` with a settings file."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "knapweedtally",
        "entry",
        env={**os.environ, settings.SETTINGS_VARIABLE: str(path)},
        stdout=asyncio.subprocess.DEVNULL,
    )


@contextlib.asynccontextmanager
async def run_process(
    platform: platform_module.Platform,
) -> AsyncIterator[Process]:
    """Run ``knapweedtally entry`` until the block ends."""
    ports = harness.find_ports(4)
    content = platform.make_settings("host-0", ports)
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "settings.json")
        path.write_text(json.dumps(content), encoding="utf-8")
        process = await start_process(path)
        try:
            started = Process(process, ports)
            await started.wait_ready()
            yield started
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


Scenario = Callable[[platform_module.Platform, Process], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario with stand-ins and a started process."""

    async def run() -> None:
        platform = platform_module.Platform()
        await platform.start()
        try:
            async with run_process(platform) as started:
                await scenario(platform, started)
        finally:
            await platform.stop()

    asyncio.run(run())


class ShutdownTest(testtools.TestCase):
    """Graceful shutdown, and the reload of settings."""

    def test_open_transaction_commits_before_the_process_exits(self) -> None:
        async def scenario(
            platform: platform_module.Platform, started: Process
        ) -> None:
            caller = harness.Caller(started.callers_port)
            await caller.start("g-primary")
            await caller.run("BEGIN")
            await caller.run("WRITE item 1")
            started.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
                while await started.get_ready_status() == 200:
                    await asyncio.sleep(0.01)
            answer = await caller.run("COMMIT")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE g-"))
            self.assertTrue(await caller.wait_for_close())
            self.assertEqual(await started.process.wait(), 0)
            self.assertEqual(
                platform.groups["g"].get_primary().read("item"), "1"
            )

        run_scenario(scenario)

    def test_callers_that_connect_during_the_shutdown_are_served(self) -> None:
        async def scenario(
            platform: platform_module.Platform, started: Process
        ) -> None:
            started.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
                while await started.get_ready_status() == 200:
                    await asyncio.sleep(0.01)
            caller = harness.Caller(started.callers_port)
            await caller.start("g-primary")
            answer = await caller.run("WRITE item 1")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE g-"))

        run_scenario(scenario)

    def test_sighup_does_not_stop_the_process(self) -> None:
        async def scenario(
            platform: platform_module.Platform, started: Process
        ) -> None:
            started.process.send_signal(signal.SIGHUP)
            caller = harness.Caller(started.callers_port)
            await caller.start("g-primary")
            answer = await caller.run("READ item")
            self.assertEqual(answer[0], "ROW -")

        run_scenario(scenario)


class StartTest(testtools.TestCase):
    """Start after a kill, and signals during the start."""

    def test_killed_process_serves_again_after_a_restart(self) -> None:
        async def run() -> None:
            platform = platform_module.Platform()
            await platform.start()
            try:
                for number in range(2):
                    async with run_process(platform) as started:
                        caller = harness.Caller(started.callers_port)
                        await caller.start("g-primary")
                        if number:
                            answer = await caller.run("READ item")
                            self.assertEqual(answer[0], "ROW 1")
                        await caller.run("WRITE item 1")
                        started.process.kill()
            finally:
                await platform.stop()

        asyncio.run(run())

    def test_sighup_during_the_start_does_not_stop_the_process(self) -> None:
        async def scenario(
            platform: platform_module.Platform, path: pathlib.Path
        ) -> None:
            ports = harness.find_ports(4)
            os.mkfifo(path)
            process = await start_process(path)
            try:
                # The pipe opens once the process reads its settings.
                with await asyncio.to_thread(path.open, "w") as pipe:
                    process.send_signal(signal.SIGHUP)
                    content = platform.make_settings("host-0", ports)
                    json.dump(content, pipe)
                await Process(process, ports).wait_ready()
            finally:
                if process.returncode is None:
                    process.kill()
                await process.wait()

        async def run() -> None:
            platform = platform_module.Platform()
            await platform.start()
            try:
                with tempfile.TemporaryDirectory() as folder:
                    await scenario(platform, pathlib.Path(folder, "settings"))
            finally:
                await platform.stop()

        asyncio.run(run())


class _EndedTask:
    """Ends a background task of a process in the test's process."""

    def __init__(self, method: Any) -> None:
        self._method = method
        self._loops: list[asyncio.Task[None]] = []
        self.is_due = asyncio.Event()

    async def run(self, *args: Any) -> None:
        """Run the task until it is due to fail, and then unhindered."""
        if self.is_due.is_set():
            await self._method(*args)
            return
        background_loop = asyncio.create_task(self._method(*args))
        await self.is_due.wait()
        background_loop.cancel()
        raise KeyError("i-1")


class _Lines:
    """The log lines of a process in the test's process."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, **fields: Any) -> None:
        self.lines.append({"event": event, **fields})

    def find(self, *events: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] in events]


FaultScenario = Callable[
    [platform_module.Platform, _EndedTask, Process, _Lines], Awaitable[None]
]


def run_faulty_process(
    owner: Any, name: str, scenario: FaultScenario
) -> _Lines:
    """Run an entry process until a background task that fails has ended it."""
    lines = _Lines()

    async def run() -> None:
        platform = platform_module.Platform()
        await platform.start()
        ports = harness.find_ports(4)
        content = platform.make_settings("host-0", ports)
        content["bounds"]["graceS"] = 4
        ended = _EndedTask(getattr(owner, name))

        async def run_until_due(*args: Any) -> None:
            await ended.run(*args)

        with (
            mock.patch.object(owner, name, run_until_due),
            mock.patch.object(
                logs.Log,
                "write",
                lambda log, *args, **kw: lines.write(*args, **kw),
            ),
        ):
            task = asyncio.create_task(
                process_module.EntryProcess(
                    settings.parse_settings(content)
                ).run()
            )
            started = Process(mock.Mock(), ports)
            await started.wait_ready()
            try:
                await scenario(platform, ended, started, lines)
                with testtools.ExpectedException(
                    process_module.BackgroundTaskEnded
                ):
                    await task
            finally:
                task.cancel()
                await platform.stop()

    asyncio.run(run())
    return lines


class UnaskedExitTest(testtools.TestCase):
    """A background task ends without which the process must not go on."""

    def check_exit(self, owner: Any, name: str, task: str) -> None:
        async def scenario(
            platform: platform_module.Platform,
            ended: _EndedTask,
            started: Process,
            lines: _Lines,
        ) -> None:
            caller = harness.Caller(started.callers_port)
            await caller.start("g-primary")
            await caller.run("BEGIN")
            await caller.run("WRITE item 1")
            ended.is_due.set()
            async with asyncio.timeout(harness.WAIT_TIMEOUT_S):
                while await started.get_ready_status() == 200:
                    await asyncio.sleep(0.01)
            answer = await caller.run("COMMIT")
            self.assertThat(answer[0], testtools.matchers.StartsWith("DONE g-"))
            self.assertTrue(await caller.wait_for_close())

        lines = run_faulty_process(owner, name, scenario)
        (line,) = lines.find("exit_not_requested")
        self.assertEqual(task, line["task"])
        self.assertEqual("KeyError('i-1')", line["reason"])
        self.assertIn("in run_until_due", line["traceback"])
        self.assertEqual(
            ["exit_not_requested", "stopping", "stopped"],
            [
                line["event"]
                for line in lines.find(
                    "exit_not_requested", "stopping", "stopped"
                )
            ],
        )

    def test_process_without_checks_stops_gracefully(self) -> None:
        self.check_exit(host_module.Host, "run_ticks", "checks")

    def test_process_without_watchers_stops_gracefully(self) -> None:
        self.check_exit(store_watches.Watcher, "run", "configuration watcher")

    def test_lease_is_released(self) -> None:
        async def scenario(
            platform: platform_module.Platform,
            ended: _EndedTask,
            started: Process,
            lines: _Lines,
        ) -> None:
            await platform.groups["g"].get_primary().stop()
            await harness.wait_for(lambda: bool(lines.find("duty_claimed")))
            ended.is_due.set()
            stores.append(platform.store)

        stores: list[store_standin.Store] = []
        run_faulty_process(host_module.Host, "run_ticks", scenario)
        request = store_calls.make_read_request(
            lease_manager.LEASE_KIND, lease_manager.LEASE_NAME
        )
        response = asyncio.run(stores[0].answer(request))
        stored = store_calls.parse_object(
            store_calls.StoreAnswer(response.status, response.body)
        )
        lease = promotion_lease.parse_lease(stored.spec)
        assert lease is not None
        self.assertFalse(lease.is_held)

    def test_failed_start_is_logged(self) -> None:
        async def run() -> _Lines:
            lines = _Lines()
            platform = platform_module.Platform()
            await platform.start()
            ports = harness.find_ports(4)
            content = platform.make_settings("host-0", ports)
            taken = await asyncio.start_server(
                mock.Mock(), "127.0.0.1", ports[0]
            )
            with mock.patch.object(
                logs.Log,
                "write",
                lambda log, *args, **kw: lines.write(*args, **kw),
            ):
                process = process_module.EntryProcess(
                    settings.parse_settings(content)
                )
                with testtools.ExpectedException(OSError):
                    await process.run()
            taken.close()
            await platform.stop()
            return lines

        (line,) = asyncio.run(run()).find("exit_not_requested")
        self.assertEqual("start", line["task"])
        self.assertIn("address already in use", line["reason"])
