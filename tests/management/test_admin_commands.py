"""Tests of the commands that talk to a host, as processes of their own."""

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
from tests.admin import bed as bed_module


async def run_command(
    bed: bed_module.Bed, *arguments: str, token: str = bed_module.TOKEN
) -> tuple[int, str]:
    """Run a command; return its exit code and what it printed."""
    environment = {
        **os.environ,
        admin_client.URL_VARIABLE: f"http://127.0.0.1:{bed.edge.port}",
        admin_client.TOKEN_VARIABLE: token,
    }
    done = await anyio.run_process(
        [sys.executable, "-m", "knapweedtally", *arguments],
        check=False,
        env=environment,
    )
    return done.returncode, (done.stdout + done.stderr).decode()


class AdminCommandsTest(testtools.TestCase):
    def test_what_a_host_knows_is_printed(self) -> None:
        async def body(bed: bed_module.Bed) -> None:
            decision = bed_module.record_decision(bed.state)
            for arguments, expected in (
                (["groups"], "fog   2     open   fog-1    -          -"),
                (["targets", "--group", "fog"], "fog-2"),
                (["targets", "--group", "none", "--json"], "[]"),
                (["explain", decision], "no replica is fresh enough"),
                (["bundle", "status"], "version"),
                (["drain"], "drain_phase  serving"),
            ):
                if arguments[0] == "bundle":
                    url = f"http://127.0.0.1:{bed.edge.port}"
                    arguments += ["--admin-url", url]
                code, printed = await run_command(bed, *arguments)
                self.assertEqual(exit_codes.OK, code, printed)
                self.assertIn(expected, printed)
            self.assertEqual(1, len(bed.events))

        bed_module.run_with_bed(body)

    def test_refusals_and_silence_have_exit_codes(self) -> None:
        async def body(bed: bed_module.Bed) -> None:
            code, printed = await run_command(bed, "groups", token="wrong")
            self.assertEqual(exit_codes.FAILED, code)
            self.assertNotIn("wrong", printed)
            code, _ = await run_command(bed, "explain", "a1-7-999")
            self.assertEqual(exit_codes.FAILED, code)
            code, _ = await run_command(
                bed, "drain", "--admin-url", "http://127.0.0.1:1"
            )
            self.assertEqual(exit_codes.UNREACHABLE, code)
            code, _ = await run_command(bed, "groups", "--admin-url", "host")
            self.assertEqual(exit_codes.INVALID, code)

        bed_module.run_with_bed(body)


class WaitTest(testtools.TestCase):
    def test_waiting_ends_when_every_live_host_has_the_version(self) -> None:
        class Client:
            def __init__(self, *answers: dict[str, Any]) -> None:
                self.answers = list(answers)

            async def call(self, method: str, path: str) -> dict[str, Any]:
                answer = self.answers[0]
                if len(self.answers) > 1:
                    self.answers.pop(0)
                return json.loads(json.dumps(answer))

            async def close(self) -> None:
                pass

        def answer(*hosts: tuple[str, str, int]) -> dict[str, Any]:
            keys = ("name", "status", "version")
            rows = [dict(zip(keys, host, strict=True)) for host in hosts]
            return {"hosts": rows}

        behind = answer(("a", "live", 2), ("b", "live", 3), ("c", "dead", 1))
        there = answer(("a", "live", 4), ("b", "live", 3), ("c", "dead", 1))
        wait = bundle_roll_out.wait_until_in_force
        anyio.run(wait, Client(behind, there), 3, 20.0)
        with self.assertRaises(base.CommandError) as caught:
            anyio.run(wait, Client(behind), 3, 0.5)
        self.assertIn("in force on a;", str(caught.exception))
