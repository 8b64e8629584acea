"""Tests of the burn report and its service-level objectives."""

import json
import pathlib
import re
import tempfile
from typing import Any
from xml.etree import ElementTree

import anyio
import hypothesis
import testtools
from hypothesis import strategies

from knapweedtally.core import errors
from knapweedtally.core.admission import state as admission_state
from knapweedtally.core.membership import state as membership_state
from knapweedtally.management import exit_codes
from knapweedtally.metrics import requests
from knapweedtally.report import hosts
from knapweedtally.report import objectives
from knapweedtally.report import page
from tests.admin import harness as harness_module
from tests.management import test_admin_commands

Sums = objectives.Sums
WRITES, REPLICAS, ERRORS = objectives.OBJECTIVES
COUNTS = strategies.integers(0, 1000)


def make_sums(**values: Any) -> Sums:
    return Sums(seconds=300.0, group_s=600.0)._replace(**values)


def make_status(name: str, *values: Sums, steps: int = 0) -> dict[str, Any]:
    """Return a host's status with one window for each of the sums."""
    return {
        "host": name,
        "hosts": [],
        "windows": [
            {
                "name": window,
                "step_s": 60.0,
                **sums._asdict(),
                "steps": [
                    {"ago_s": 60.0 * n + 0.5, **sums._asdict()}
                    for n in range(steps)
                ],
            }
            for window, sums in zip(
                ("5m", "1h", "6h", "3d"), values, strict=False
            )
        ],
    }


def record_requests(
    harness: harness_module.AdminApiHarness, answered: int, refused: int
) -> None:
    """Record some answered and some refused reads on a host."""
    read = admission_state.RequestKind.READ
    outcomes = [None] * answered + [errors.ErrorKind.OVERLOADED] * refused
    for outcome in outcomes:
        harness.metrics.requests.record_request(
            requests.CompletedRequest("fog", read, False, outcome, 1.0, 1.1)
        )


class ObjectivesTest(testtools.TestCase):
    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.lists(COUNTS, min_size=6, max_size=6), min_size=1
        )
    )
    def test_burn_rate_equals_that_of_single_events(
        self, counts: list[list[int]]
    ) -> None:
        parts = [Sums(300.0, *map(float, c[:1]), *c[1:]) for c in counts]
        sums = hosts.make_report(
            [make_status(str(n), part) for n, part in enumerate(parts)], []
        ).sums["5m"]
        reads = [
            good
            for part in parts
            for good in [True] * part.replica_reads
            + [False] * part.primary_reads
        ]
        burn_rate = objectives.compute_burn_rate(REPLICAS, sums)
        if not reads:
            self.assertIsNone(burn_rate)
            return
        bad = sum(not good for good in reads)
        self.assertAlmostEqual(bad / len(reads) / 0.1, burn_rate, 9)

    def test_alerts_require_both_windows(self) -> None:
        low_burn = make_sums(requests=100_000, failed=10)
        fast_burn = make_sums(requests=100_000, failed=1_441)
        slow_burn = make_sums(requests=100_000, failed=601)
        for by_window, action in (
            ((fast_burn, fast_burn, low_burn, low_burn), "page"),
            ((low_burn, fast_burn, low_burn, low_burn), "none"),
            ((fast_burn, low_burn, low_burn, low_burn), "none"),
            ((low_burn, slow_burn, slow_burn, low_burn), "page"),
            ((low_burn, low_burn, slow_burn, slow_burn), "ticket"),
            ((low_burn, low_burn, low_burn, slow_burn), "none"),
            ((make_sums(),) * 4, "none"),
        ):
            names = ("5m", "1h", "6h", "3d")
            spans = (300.0, 3600.0, 21_600.0, 259_200.0)
            windows = {
                name: sums._replace(seconds=span)
                for name, sums, span in zip(
                    names, by_window, spans, strict=True
                )
            }
            self.assertEqual(action, objectives.find_action(ERRORS, windows))

    def test_recently_started_hosts_alert_once_the_budget_is_used(self) -> None:
        for seconds, action in ((60.0, "none"), (900.0, "page")):
            sums = make_sums(requests=1000, failed=60, seconds=seconds)
            windows = dict.fromkeys(("5m", "1h", "6h", "3d"), sums)
            self.assertEqual(action, objectives.find_action(ERRORS, windows))

    def test_blocked_time_uses_up_its_share_of_the_budget(self) -> None:
        sums = make_sums(blocked_s=0.3)
        self.assertAlmostEqual(
            1.0, objectives.compute_burn_rate(WRITES, sums) or 0.0, 6
        )
        used_budget = objectives.compute_used_budget(WRITES, sums) or 0.0
        self.assertAlmostEqual(300 / objectives.MONTH_S, used_budget, 9)


class PageTest(testtools.TestCase):
    def test_page_is_complete_and_self_contained(self) -> None:
        sums = make_sums(requests=1000, failed=3, primary_reads=1)
        status = make_status("<a1>", *[sums] * 4, steps=3)
        report = hosts.make_report([status], ["b&1"])
        page_html = page.render_page(report, objectives.OBJECTIVES)
        self.assertNotIn("<a1>", page_html)
        self.assertNotIn("b&1", page_html)
        self.assertEqual(
            [], re.findall(r"https?:|src=|href=|<script", page_html)
        )
        plots = re.findall(r"<svg.*?</svg>", page_html)
        self.assertEqual(2 * len(objectives.OBJECTIVES), len(plots))
        for plot in plots:
            lines = ElementTree.fromstring(plot).findall("polyline")
            (points,) = (line.attrib["points"].split() for line in lines)
            self.assertEqual(2 * 3, len(points))


class CommandTest(testtools.TestCase):
    def test_all_live_hosts_are_summed(self) -> None:
        remote = harness_module.AdminApiHarness(
            harness_module.make_state("far-1"), 1
        )
        record_requests(remote, 90, 10)

        async def body(harness: harness_module.AdminApiHarness) -> None:
            record_requests(harness, 100, 0)
            async with anyio.create_task_group() as tasks:
                await tasks.start(remote.adapter.serve)
                harness_module.add_host(harness.state, remote.adapter.port)
                await self.check_report(harness)
                tasks.cancel_scope.cancel()

        harness_module.run_with_harness(body)

    async def check_report(
        self, harness: harness_module.AdminApiHarness
    ) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "burn.html")
            code, printed = await test_admin_commands.run_command(
                harness, "report", "burn", "--json", "--html", str(path)
            )
            self.assertIn("far-1", path.read_text())
        self.assertEqual(exit_codes.OK, code, printed)
        rows = {
            (row["objective"], row["window"]): row
            for row in json.loads(printed)
        }
        self.assertEqual(12, len(rows))
        for window in ("5m", "1h", "6h", "3d"):
            row = rows["errors", window]
            self.assertEqual((10, 200), (row["bad"], row["total"]))
            self.assertEqual((50.0, "none"), (row["burn"], row["action"]))
            self.assertEqual("no events", rows["replica-share", window]["burn"])

    def test_unreachable_hosts_are_named(self) -> None:
        async def body(harness: harness_module.AdminApiHarness) -> None:
            harness.state.membership.hosts["far-1"] = membership_state.Host(
                "far-1",
                "127.0.0.1",
                0,
                1,
                "dc2",
                membership_state.Status.LIVE,
                3,
                7,
                0,
            )
            code, printed = await test_admin_commands.run_command(
                harness, "report", "burn"
            )
            self.assertEqual(exit_codes.OK, code, printed)
            self.assertIn("no answer from far-1", printed)
            self.assertIn("replica-share  90%", printed)

        harness_module.run_with_harness(body)

    def test_errors_for_invalid_options_name_a_remedy(self) -> None:
        async def body(harness: harness_module.AdminApiHarness) -> None:
            for options, expected in (
                (["--errors-objective", "100"], "use a number from 0"),
                (["--errors-objective", "nan"], "use a number from 0"),
                (["--html", "/none/burn.html"], "use a path"),
            ):
                code, printed = await test_admin_commands.run_command(
                    harness, "report", "burn", *options
                )
                self.assertEqual(exit_codes.INVALID, code, printed)
                self.assertIn(expected, printed)

        harness_module.run_with_harness(body)
