"""Run the driver with and without a rule."""

import math
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from unittest import mock

import testtools

from tests.driver import faults as faults_module
from tests.driver import run

SEEDS = range(16)
BATCH = 4

Fault = faults_module.Fault
PRIMARY = faults_module.PRIMARY


class Mutant(NamedTuple):
    """Describe a rule that is switched off, and what has to fail then.

    Attributes:
        rule: dotted path of the rule's function.
        replacement: function in its place.
        check: check of the history that has to fail.
        faults: faults of the run, the same for each seed.
        guide: dotted path of a limit that only guides a choice, and is
            lifted with the rule on and off, or empty.
    """

    rule: str
    replacement: Callable[..., Any]
    check: str
    faults: tuple[Fault, ...]
    guide: str = ""


def return_true(*arguments: object) -> bool:
    """Take the place of a rule that then never objects."""
    return True


class MutantTest(testtools.TestCase):
    """Provide the comparison of runs with a rule on and off."""

    def prove(self, mutant: Mutant) -> None:
        """Fail unless the rule makes the difference on some seed.

        Seeds are tried in batches until one fails with the rule off; with the
        rule on all seeds tried have to pass every check.
        """
        if mutant.guide:
            lifted = mock.patch(mutant.guide, math.inf)
            lifted.start()
            self.addCleanup(lifted.stop)
        for start in range(0, len(SEEDS), BATCH):
            batch = SEEDS[start : start + BATCH]
            with mock.patch(mutant.rule, mutant.replacement):
                broken = run.run_seeds(batch, mutant.faults)
            if any(has_failed(result, mutant.check) for result in broken):
                break
        else:
            self.fail(f"no seed fails without {mutant.rule}")
        for result in run.run_seeds(SEEDS[: start + BATCH], mutant.faults):
            self.assertEqual((), result.violations, f"seed {result.seed}")


def has_failed(result: run.Result, check: str) -> bool:
    """Tell whether a check found something."""
    return any(item.check == check for item in result.violations)
