"""Tests of each expected failure, alone and combined with another one.

Each scenario runs with fixed seeds, and its history has to pass every check.
"""

import testtools

from tests.driver import faults as faults_module
from tests.driver import run

SEEDS = (1, 4)

Fault = faults_module.Fault
PRIMARY = faults_module.PRIMARY

PRIMARY_KILLED = Fault(3.5, "kill target", PRIMARY, 5.0)


class FailureTest(testtools.TestCase):
    def check(self, *faults: Fault) -> None:
        for result in run.run_seeds(SEEDS, faults):
            message = f"seed {result.seed}: {result.violations[:3]}"
            self.assertEqual((), result.violations, message)

    def test_primary_cut_off_with_its_data_centre(self) -> None:
        self.check(Fault(3.0, "cut data centre", "north", 6.0))

    def test_data_centre_cut_one_way(self) -> None:
        self.check(Fault(3.0, "cut outwards", "north", 6.0))

    def test_replicas_far_behind(self) -> None:
        self.check(
            Fault(2.0, "replicas behind", "", 8.0),
            Fault(2.0, "far behind", "records-south", 8.0),
        )

    def test_replicas_far_behind_and_primary_killed(self) -> None:
        self.check(
            Fault(2.0, "far behind", "records-south", 8.0), PRIMARY_KILLED
        )

    def test_proxies_die_in_transactions(self) -> None:
        self.check(
            *(
                Fault(at, "kill proxy", f"proxy-{place}", 0.5)
                for at, place in ((2, "north"), (4, "south"), (6, "archive"))
            )
        )

    def test_platform_down_for_long(self) -> None:
        self.check(Fault(2.0, "platform down", "", 9.0))

    def test_platform_down_and_primary_killed(self) -> None:
        self.check(Fault(2.0, "platform down", "", 5.0), PRIMARY_KILLED)

    def test_platform_slow_and_primary_killed(self) -> None:
        self.check(Fault(2.0, "platform slow", "", 9.0), PRIMARY_KILLED)

    def test_lost_answers_and_primary_killed(self) -> None:
        self.check(Fault(2.0, "lost answers", "", 0.1), PRIMARY_KILLED)

    def test_primary_paused_while_it_is_replaced(self) -> None:
        self.check(Fault(3.0, "freeze target", PRIMARY, 6.0))

    def test_primary_paused_twice(self) -> None:
        self.check(
            Fault(3.0, "freeze target", PRIMARY, 3.0),
            Fault(6.5, "freeze target", PRIMARY, 3.0),
        )

    def test_proxies_paused_during_a_promotion(self) -> None:
        self.check(
            PRIMARY_KILLED,
            Fault(3.9, "freeze proxy", "proxy-south", 5.0),
            Fault(4.1, "freeze proxy", "proxy-archive", 3.0),
        )

    def test_operators_ask_for_two_primaries(self) -> None:
        self.check(
            Fault(3.0, "operators race", "", 0.1),
            Fault(6.0, "operators race", "", 0.1),
        )

    def test_operators_roll_out_two_bundles(self) -> None:
        self.check(
            Fault(3.0, "bundles race", "records-south", 0.1),
            Fault(3.1, "lost answers", "", 0.1),
            Fault(5.0, "bundles race", "records-north", 0.1),
        )
