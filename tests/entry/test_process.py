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

import testtools

from knapweedtally.platform import settings
from standins.line_platform import platform as platform_module
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
