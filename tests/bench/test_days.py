"""Tests of the comparison of builds on played days.

They guard against a conclusion from runs of different days or seeds, and from
a difference that is smaller than its uncertainty.
"""

import json
import math
import pathlib
from typing import Any

import testtools

from bench.days import comparison
from bench.days import figures
from bench.days import losses
from bench.days import plays


def make_report(worth: float, hints: list[str]) -> dict[str, Any]:
    return {
        "G": worth,
        "served": 0.95,
        "all": {
            "n": 110,
            "in_aim": 80,
            "late": 10,
            "refused": 5,
            "failed": 5,
            "not_owed": 10,
        },
        "parts": [["whole day", 0.6, 0.95], ["worst windows", 0.12, 0.5]],
        "prices": [["GB between zones", 0.01, 0.03], ["probes", 9.0, 0.01]],
        "services": [{"arrivals": 200, "not_run": 50, "again": 20}],
        "hints": hints,
        "breaks": {"LOST": ["one", "two"]},
    }


class FiguresTest(testtools.TestCase):
    """What is read from a report."""

    def test_report_is_translated(self) -> None:
        hint = "servers reset 57 connections that were over their cap"
        found = figures.parse_report(make_report(0.85, ["other", hint]))
        self.assertEqual(
            found,
            figures.Figures(
                worth=0.85,
                served=0.95,
                in_time=0.8,
                late=0.1,
                refused=0.05,
                failed=0.05,
                worst_windows=0.5,
                prices=0.04,
                bytes_price=0.03,
                turned_away=0.25,
                again=0.1,
                resets=57.0,
                broken_rules=2.0,
            ),
        )

    def test_day_without_resets(self) -> None:
        self.assertEqual(figures.parse_report(make_report(0.8, [])).resets, 0)


class ComparisonTest(testtools.TestCase):
    """When a difference counts."""

    def compare_worth(
        self, before: list[float], after: list[float]
    ) -> comparison.Difference:
        runs = [
            [figures.parse_report(make_report(worth, [])) for worth in build]
            for build in (before, after)
        ]
        return comparison.compare(runs[0], runs[1])[0]

    def test_days_that_differ_more_than_builds_do_not_hide_a_change(
        self,
    ) -> None:
        found = self.compare_worth([0.5, 0.7, 0.9], [0.52, 0.73, 0.92])
        self.assertAlmostEqual(found.mean, 0.0233, 3)
        self.assertTrue(found.is_clear)

    def test_change_below_its_uncertainty_is_not_clear(self) -> None:
        found = self.compare_worth([0.8, 0.8, 0.8], [0.85, 0.78, 0.8])
        self.assertFalse(found.is_clear)

    # Guards against intervals that are too narrow for few pairs.
    def test_interval_is_that_of_students_t(self) -> None:
        found = self.compare_worth([0.8, 0.8, 0.8], [0.81, 0.82, 0.84])
        self.assertAlmostEqual(found.margin, 0.0379, 4)
        self.assertFalse(found.is_clear)
        self.assertEqual(found.pairs_needed, 5)

    def test_single_pair_shows_nothing(self) -> None:
        found = self.compare_worth([0.5], [0.9])
        self.assertEqual(found.margin, math.inf)
        self.assertFalse(found.is_clear)


class PlanTest(testtools.TestCase):
    """In which order builds are played."""

    def test_builds_follow_each_other_on_the_same_day_and_seed(self) -> None:
        folder = pathlib.Path("checkout")
        planned = plays.list_plays(
            [("before", folder), ("after", folder)],
            [pathlib.Path("site.toml")],
            ["trouble-1"],
            [1, 2],
        )
        self.assertEqual(
            [(play.seed, play.build) for play in planned],
            [(1, "before"), (1, "after"), (2, "before"), (2, "after")],
        )


class LossesTest(testtools.TestCase):
    """Which statements are counted, and under which reason."""

    def make_line(self, at_s: float, outcome: str, reason: str) -> str:
        fields = {
            "host": "front-1",
            "event": "statement_ended",
            "group": "g",
            "kind": "READ",
            "outcome": outcome,
            "reason": reason,
            "target": "",
            "total_ms": 5.0,
        }
        return f"  {at_s:.4f} front-1 {json.dumps(fields)}\n"

    def test_reasons_that_differ_in_numbers_are_one(self) -> None:
        lines = [
            self.make_line(4.1, "BUSY", "retry after 400 ms; 85% refused"),
            self.make_line(5.9, "BUSY", "retry after 500 ms; 9% refused"),
            self.make_line(6.1, "DONE", ""),
            self.make_line(6.2, "BUSY", "no connection"),
            "  6.3000 front-1 {cut off",
            "built in 0.1 s",
        ]
        rows = losses.tabulate(
            losses.parse_lines(lines), ("window", "reason"), 2.0
        )
        self.assertEqual(
            [(row.key, row.statements, row.share) for row in rows],
            [
                (("4 s", "retry after # ms; #% refused"), 2, 0.5),
                (("6 s", "no connection"), 1, 0.25),
            ],
        )
