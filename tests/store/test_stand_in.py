"""Tests of the platform stand-in, run as a separate process."""

import anyio
import testtools

from knapweedtally.utils import http
from tests.store import stand_in


class StandInTest(testtools.TestCase):
    def test_conditional_updates_have_one_winner(self) -> None:
        async def run_updates(port: int) -> list[int]:
            callers = [stand_in.Caller(port) for _ in range(8)]
            statuses: list[int] = []

            async def update(caller: stand_in.Caller, number: int) -> None:
                answer = await caller.call(
                    "PUT", "/objects/group/a", {"n": number}, if_match="0"
                )
                statuses.append(answer.status)

            async with anyio.create_task_group() as group:
                for number, caller in enumerate(callers):
                    group.start_soon(update, caller, number)
            for caller in callers:
                await caller.client.close()
            return statuses

        with stand_in.run_platform() as port:
            statuses = anyio.run(run_updates, port)
        self.assertEqual([200] + [412] * 7, sorted(statuses))

    def test_watch_wakes_on_change_and_counts_as_one_call(self) -> None:
        async def watch(port: int) -> tuple[dict, dict]:
            watcher = stand_in.Caller(port)
            writer = stand_in.Caller(port)
            seen: list[dict] = []

            async def wait() -> None:
                answer = await watcher.call(
                    "GET", "/objects/group?since=0&wait_ms=60000"
                )
                seen.append(answer.parse_json())

            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                await writer.call(
                    "PUT", "/objects/group/a", {"n": 1}, if_match="0"
                )
            counters = await writer.call("GET", "/counters")
            await watcher.client.close()
            await writer.client.close()
            return seen[0], counters.parse_json()

        with stand_in.run_platform() as port:
            seen, counters = anyio.run(watch, port)
        self.assertEqual(
            [{"kind": "group", "name": "a", "version": 1, "value": {"n": 1}}],
            seen["objects"],
        )
        self.assertEqual(1, counters["watch"])

    def test_faults(self) -> None:
        async def run(port: int) -> None:
            near = stand_in.Caller(port)
            cut = stand_in.Caller(port, "127.0.2.9")
            path = "/objects/group/a"
            await near.call("POST", "/faults", {"lose_answers": 1})
            with self.assertRaises(http.ResponseLost):
                await near.call("PUT", path, {"n": 1}, if_match="0")
            read = await near.call("GET", path)
            self.assertEqual({"n": 1}, read.parse_json()["value"])
            await near.call("POST", "/faults", {"cut": ["127.0.2."]})
            with self.assertRaises(http.ResponseLost):
                await cut.call(
                    "PUT", path, {"n": 2}, timeout_s=0.5, if_match="1"
                )
            read = await near.call("GET", path)
            self.assertEqual({"n": 1}, read.parse_json()["value"])
            await near.call("POST", "/faults", {"mode": "down"})
            self.assertEqual(503, (await near.call("GET", path)).status)
            wrong = await near.call("POST", "/faults", {"mode": "off"})
            self.assertEqual(400, wrong.status)
            await near.client.close()
            await cut.client.close()

        with stand_in.run_platform() as port:
            anyio.run(run, port)

    def test_rates_are_limited(self) -> None:
        async def run(port: int) -> list[int]:
            caller = stand_in.Caller(port)
            statuses = [
                (await caller.call("GET", "/objects/group")).status
                for _ in range(3)
            ]
            await caller.client.close()
            return statuses

        with stand_in.run_platform("--reads-per-s", "0.001") as port:
            statuses = anyio.run(run, port)
        self.assertEqual([200, 429, 429], statuses)

    def test_oversized_and_malformed_calls_are_refused(self) -> None:
        async def run(port: int) -> list[int]:
            caller = stand_in.Caller(port)
            path = "/objects/group/a"
            answers = [
                await caller.call("PUT", path, "x" * 2**20, if_match="0"),
                await caller.call("PUT", path, "x" * 2**21, if_match="0"),
                await caller.call("PUT", path, {}, if_match="one"),
                await caller.call("GET", "/objects/group?since=x"),
                await caller.call("DELETE", path),
            ]
            await caller.client.close()
            return [answer.status for answer in answers]

        with stand_in.run_platform() as port:
            statuses = anyio.run(run, port)
        self.assertEqual([413, 413, 400, 400, 404], statuses)
