"""Tests of the commands that call a host, each run as a process."""

import json
import os
import sys
from typing import Any

import anyio
import testtools

from knapweedtally.management import admin_client
from knapweedtally.management import base
from knapweedtally.management import exit_codes
from knapweedtally.management.commands import bundle_roll_out
from tests.admin import harness as harness_module


async def run_command(
    harness: harness_module.AdminApiHarness,
    *arguments: str,
    token: str = harness_module.TOKEN,
) -> tuple[int, str]:
    """Run a command and return its exit code and output."""
    environment = {
        **os.environ,
        admin_client.URL_VARIABLE: f"http://127.0.0.1:{harness.adapter.port}",
        admin_client.TOKEN_VARIABLE: token,
    }
    process = await anyio.run_process(
        [sys.executable, "-m", "knapweedtally", *arguments],
        check=False,
        env=environment,
    )
    return process.returncode, (process.stdout + process.stderr).decode()


class AdminCommandsTest(testtools.TestCase):
    def test_state_of_a_host_is_printed(self) -> None:
        async def body(harness: harness_module.AdminApiHarness) -> None:
            decision = harness_module.record_decision(harness.state)
            for arguments, expected in (
                (["groups"], "fog   2     open   fog-1    -          -"),
                (["targets", "--group", "fog"], "fog-2"),
                (["targets", "--group", "none", "--json"], "[]"),
                (["explain", decision], "no replica is fresh enough"),
                (["bundle", "status"], "version"),
                (["drain"], "drain_phase  serving"),
            ):
                if arguments[0] == "bundle":
                    url = f"http://127.0.0.1:{harness.adapter.port}"
                    arguments += ["--admin-url", url]
                code, printed = await run_command(harness, *arguments)
                self.assertEqual(exit_codes.OK, code, printed)
                self.assertIn(expected, printed)
            self.assertEqual(1, len(harness.events))

        harness_module.run_with_harness(body)

    def test_errors_and_unreachable_hosts_have_exit_codes(self) -> None:
        async def body(harness: harness_module.AdminApiHarness) -> None:
            code, printed = await run_command(harness, "groups", token="wrong")
            self.assertEqual(exit_codes.FAILED, code)
            self.assertNotIn("wrong", printed)
            code, _ = await run_command(harness, "explain", "a1-7-999")
            self.assertEqual(exit_codes.FAILED, code)
            code, _ = await run_command(
                harness, "drain", "--admin-url", "http://127.0.0.1:1"
            )
            self.assertEqual(exit_codes.UNREACHABLE, code)
            code, _ = await run_command(
                harness, "groups", "--admin-url", "host"
            )
            self.assertEqual(exit_codes.INVALID, code)

        harness_module.run_with_harness(body)


class WaitTest(testtools.TestCase):
    def test_wait_ends_when_every_live_host_has_the_version(self) -> None:
        class Client:
            def __init__(self, *responses: dict[str, Any]) -> None:
                self.responses = list(responses)

            async def call(self, method: str, path: str) -> dict[str, Any]:
                response = self.responses[0]
                if len(self.responses) > 1:
                    self.responses.pop(0)
                return json.loads(json.dumps(response))

            async def close(self) -> None:
                pass

        def make_response(*hosts: tuple[str, str, int]) -> dict[str, Any]:
            keys = ("name", "status", "version")
            rows = [dict(zip(keys, host, strict=True)) for host in hosts]
            return {"hosts": rows}

        outdated = make_response(
            ("a", "live", 2), ("b", "live", 3), ("c", "dead", 1)
        )
        up_to_date = make_response(
            ("a", "live", 4), ("b", "live", 3), ("c", "dead", 1)
        )
        wait = bundle_roll_out.wait_until_in_force
        anyio.run(wait, Client(outdated, up_to_date), 3, 20.0)
        with self.assertRaises(base.CommandError) as caught:
            anyio.run(wait, Client(outdated), 3, 0.5)
        self.assertIn("in force on a;", str(caught.exception))
