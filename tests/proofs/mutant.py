"""Comparison of simulation runs with and without a rule."""

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
    """A rule that is disabled, and the check that has to fail then.

    Attributes:
        rule: dotted path of the rule's function.
        replacement: function that replaces the rule's function.
        check: name of the history check that has to fail.
        faults: faults that are injected, the same for each seed.
        lifted_limit: dotted path of a limit that only influences a choice
            and is set to infinity both with and without the rule, or empty.
    """

    rule: str
    replacement: Callable[..., Any]
    check: str
    faults: tuple[Fault, ...]
    lifted_limit: str = ""


def return_true(*arguments: object) -> bool:
    """Replace a rule by one that always returns True."""
    return True


class MutantTest(testtools.TestCase):
    """Base class that compares runs with and without a rule."""

    def check_mutant(self, mutant: Mutant) -> None:
        """Assert that a check fails without the rule and passes with it.

        Seeds are run without the rule, in batches, until the check fails on
        one of them. With the rule, all of these seeds have to pass every
        check.
        """
        if mutant.lifted_limit:
            patcher = mock.patch(mutant.lifted_limit, math.inf)
            patcher.start()
            self.addCleanup(patcher.stop)
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
    """Return whether a run violated a check."""
    return any(item.check == check for item in result.violations)
