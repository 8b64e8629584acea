"""Tests of the report of where a request would go."""

import copy
import json
import random

import testtools

from knapweedtally.core.groups import model
from knapweedtally.core.groups import placement
from knapweedtally.core.groups import placement_report
from tests.groups import test_placement

NOW_S = test_placement.NOW_S


def make_case(rng):
    """Return a request, loads and evidence, of which any may be bad."""
    is_write = rng.random() < 0.3
    need = placement.Requirements(
        is_write or rng.random() < 0.3,
        is_write,
        rng.choice(list(model.Consistency)),
        rng.choice((0.0, 0.5, 2.0)),
        NOW_S,
        rng.choice((None, model.Position(1, 15), model.Position(1, 99))),
    )
    loads = test_placement.make_loads()
    for load in loads:
        load.idle = rng.choice((0, 1))
        load.accepts_new_work = rng.random() < 0.8
        load.is_responsive = rng.random() < 0.8
        load.backoff_until_s = rng.choice((0.0, NOW_S + 1))
        load.position = model.Position(1, rng.choice((0, 10, 30, 100)))
        load.lag_sampled_s, load.lag_s = NOW_S, rng.choice((0.0, 3.0))
        load.running = rng.randrange(4)
    leadership = test_placement.make_leadership(
        NOW_S - rng.choice((0.1, 0.7, 5.0))
    )
    if rng.random() < 0.1:
        leadership.target = None
    return need, loads, leadership


class ReportTests(testtools.TestCase):
    def test_report_agrees_with_the_choice_and_changes_nothing(self):
        # A second set of rules would drift from the ones in force.
        rng = random.Random(3)
        chosen = 0
        for _ in range(3000):
            need, loads, leadership = make_case(rng)
            before = copy.deepcopy((loads, leadership))
            report = placement_report.describe_placement(
                need, loads, {}, leadership, "dc", NOW_S
            )
            self.assertEqual(before, (loads, leadership))
            choice = placement.choose_target(
                need, loads, leadership, "dc", NOW_S
            )
            self.assertEqual(choice.target, report["target"])
            self.assertEqual(choice.reason.value, report["reason"])
            possible = [
                item["target"]
                for item in report["targets"]
                if not item["ruled_out"]
            ]
            if choice.target is None:
                self.assertEqual([], possible)
            else:
                chosen += 1
                self.assertIn(choice.target, possible)
            json.dumps(report, allow_nan=False)
        self.assertGreater(chosen, 300)
