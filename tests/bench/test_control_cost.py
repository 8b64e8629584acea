"""Smoke tests of the measurements of the control path."""

import testtools

from bench import control_cost
from bench import control_memory
from bench import control_storms
from bench import least_squares


class ControlCostTest(testtools.TestCase):
    def test_fleet_cost_is_positive(self) -> None:
        point = control_cost.measure_fleet(6, 3)
        for name in ("cpu_ms_per_s", "sent_bytes_per_s", "bundle_bytes"):
            self.assertGreater(point[name], 0.0)

    def test_hosts_converge_after_storms(self) -> None:
        for name in control_storms.STORMS:
            point = control_storms.measure_storm(name, 6, 3)
            self.assertGreater(point["bytes"], 0.0)

    def test_state_grows_with_the_fleet(self) -> None:
        small = control_memory.measure_state(3, 3)
        self.assertGreater(control_memory.measure_state(60, 3), small)

    def test_fit_is_exact_without_noise(self) -> None:
        rows = [(1.0, x, y) for x, y in ((1, 2), (3, 1), (4, 4), (2, 7))]
        values = [5.0 + 2.0 * x - 3.0 * y for _, x, y in rows]
        slopes = least_squares.fit_slopes(rows, values)
        for expected, slope in zip((5.0, 2.0, -3.0), slopes, strict=True):
            self.assertAlmostEqual(expected, slope)
