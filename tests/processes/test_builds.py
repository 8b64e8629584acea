"""Tests that hosts of the last landing and of this build serve together."""

import pathlib
import tempfile

import testtools

from tests.soak import builds
from tests.soak import run

# The last landing before the build under test, and a seed whose faults come
# while its hosts are replaced.
PRODUCTION = "1f340c6"
SEED = 946001
DURATION_S = 8.0


class UpgradeTest(testtools.TestCase):
    def test_hosts_of_two_builds_keep_every_promise(self) -> None:
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        logs = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        production = builds.extract(PRODUCTION, folder)
        result = run.run_seed(
            SEED, DURATION_S, run.HOST_COUNT, logs, None, production
        )
        self.assertEqual([], result.problems)
        # Only the build under test names the versions of its messages.
        starts = [
            "message_versions" in line
            for line in (logs / "host-0.log").read_text().splitlines()
            if '"event":"started"' in line
        ]
        self.assertEqual([False, True], [starts[0], starts[-1]])

    def test_each_host_ends_with_the_build_under_test(self) -> None:
        for seed in range(20):
            last = {
                replacement.host: replacement.is_new
                for replacement in builds.draw_replacements(seed, 3)
            }
            self.assertEqual({0: True, 1: True, 2: True}, last)
