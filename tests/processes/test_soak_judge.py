"""The soak's judge of teams finds each kind of violation."""

import math

import testtools

from standins.line_platform import monitor as monitor_module
from tests.soak import reachability as reachability_module
from tests.soak import team_judge
from tests.soak import teams

KEY = "key-a"
KEYS = {KEY: teams.Lifetime(-math.inf, 10.0)}
LIMITS = (
    teams.Limit(0.0, 40, 20),
    teams.Limit(100.0, 2, 2),
    teams.Limit(120.0, 40, 20),
)


def make_reachability(
    *disturbances: tuple[float, float], starts_s: tuple[float, ...] = ()
) -> reachability_module.Reachability:
    reachability = reachability_module.Reachability()
    reachability.disturbances = [
        reachability_module.Disturbance(*times) for times in disturbances
    ]
    reachability.starts_s = list(starts_s)
    return reachability


def make_executions(
    start_s: float, count: int, first_id: int = 0
) -> list[monitor_module.Execution]:
    """Return operations that run within one second."""
    return [
        monitor_module.Execution(
            start_s + number / count, f"q{first_id + number}", KEY, True
        )
        for number in range(count)
    ]


class MonitorTest(testtools.TestCase):
    """A statement on another team's connection is not overlooked."""

    def _record(self, user: str, id_: str, text: str) -> monitor_module.Monitor:
        monitor = monitor_module.Monitor()
        monitor.key_teams[KEY] = "a"
        monitor.operation_keys["q1"] = KEY
        monitor.record(1.0, user, id_, text)
        return monitor

    def test_connection_of_another_team_is_a_violation(self) -> None:
        for user, id_ in (("b", "q1"), ("b", "q1-2"), ("a", "q2"), ("", "q2")):
            monitor = self._record(user, id_, "ROLLBACK")
            self.assertEqual(1, len(monitor.violations), (user, id_))
        self.assertEqual([], self._record("a", "q1", "READ x").violations)

    def test_operation_is_counted_by_its_first_statement(self) -> None:
        for id_, text, is_first in (
            ("q1", "READ x", True),
            ("q1-1", "BEGIN", True),
            ("q1-2", "WRITE x 1", False),
            ("q1", "COMMIT", False),
        ):
            (execution,) = self._record("a", id_, text).executions
            self.assertEqual(is_first, execution.is_first, text)
            self.assertEqual("q1", execution.operation)


class KeysTest(testtools.TestCase):
    """Late use of a revoked key and refusal of a valid one are found."""

    def _is_late(
        self, at_s: float, reachability: reachability_module.Reachability
    ) -> bool:
        execution = monitor_module.Execution(at_s, "q1", KEY, True)
        return bool(
            team_judge.check_revoked_keys(
                [execution], KEYS, {"q1": "host"}, {"host": reachability}
            )
        )

    def test_use_after_the_bound_is_found(self) -> None:
        self.assertFalse(self._is_late(14.9, make_reachability()))
        self.assertTrue(self._is_late(15.1, make_reachability()))

    def test_only_disturbances_before_the_bound_extend_it(self) -> None:
        before = make_reachability((5.0, 9.0))
        within = make_reachability((12.0, 13.0))
        after = make_reachability((16.0, 18.0))
        self.assertTrue(self._is_late(15.1, before))
        self.assertFalse(self._is_late(17.9, within))
        self.assertTrue(self._is_late(18.1, within))
        self.assertTrue(self._is_late(18.5, after))

    def test_restart_without_the_store_extends_the_bound(self) -> None:
        restarted = make_reachability((30.0, 33.0), starts_s=(31.0,))
        self.assertFalse(self._is_late(34.0, restarted))
        self.assertTrue(self._is_late(38.1, restarted))

    def _is_wrong(
        self, sent_s: float, answered_s: float, lifetime: teams.Lifetime
    ) -> bool:
        refusal = team_judge.Refusal(sent_s, answered_s, "host", KEY)
        return bool(
            team_judge.check_refusals(
                [refusal], {KEY: lifetime}, {"host": make_reachability()}
            )
        )

    def test_refusal_of_a_valid_key_is_found(self) -> None:
        first = teams.Lifetime(-math.inf)
        added = teams.Lifetime(10.0, 20.0)
        self.assertTrue(self._is_wrong(0.0, 0.1, first))
        self.assertFalse(self._is_wrong(14.9, 15.2, added))
        self.assertTrue(self._is_wrong(15.1, 15.2, added))
        self.assertFalse(self._is_wrong(19.9, 20.1, added))


class LimitTest(testtools.TestCase):
    """A team above its limit in any window is found."""

    def _count_problems(
        self, executions: list[monitor_module.Execution]
    ) -> int:
        return len(team_judge.check_limit("a", executions, LIMITS))

    def test_bound_is_that_of_the_largest_limit_in_force(self) -> None:
        usual, lowered = 220 * 1.1 + 20, 12 * 1.1 + 20
        for start_s, bound in (
            (50.0, usual),
            (104.9, usual),
            (105.1, lowered),
            (114.9, lowered),
            (115.1, usual),
        ):
            actual = team_judge.compute_bound(LIMITS, start_s)
            self.assertAlmostEqual(bound, actual, msg=str(start_s))

    def test_excess_in_a_window_is_found(self) -> None:
        self.assertEqual(0, self._count_problems(make_executions(50.0, 262)))
        self.assertEqual(1, self._count_problems(make_executions(50.0, 263)))

    def test_lowered_limit_is_judged_until_it_is_raised(self) -> None:
        self.assertEqual(0, self._count_problems(make_executions(103.0, 34)))
        self.assertEqual(1, self._count_problems(make_executions(106.0, 34)))
        self.assertEqual(1, self._count_problems(make_executions(118.9, 34)))

    def test_operation_that_is_sent_again_counts_once(self) -> None:
        executions = make_executions(106.0, 30) + make_executions(107.0, 30)
        self.assertEqual(0, self._count_problems(executions))
