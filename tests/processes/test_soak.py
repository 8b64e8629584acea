"""Short soak runs of fixed seeds, among them seeds that failed before."""

import multiprocessing

import testtools
from testtools import content

from tests.soak import __main__ as command
from tests.soak import run

# Seeds and the duration of their faults, in seconds.
SEEDS = ((1001, 6.0), (1002, 6.0))

# Seeds that failed once. A plan depends on the kinds of faults and their order,
# so a seed gives other faults once these change.
REGRESSION_SEEDS = (
    # A late acknowledgement of a replaced primary was passed to the caller.
    (1, 12.0),
    (4, 12.0),
    (7, 12.0),
    # A reload signal ended the process while it was starting.
    (9, 15.0),
    # Hosts that restarted took turns between naming a replaced primary and
    # none, and the group got no new one.
    (724803, 15.0),
)

# Number of seeds that run in parallel.
WORKER_COUNT = 3


class SoakTest(testtools.TestCase):
    """Real processes keep their guarantees while faults are injected."""

    def test_seeds(self) -> None:
        arguments = [
            (seed, seconds, run.HOST_COUNT)
            for seed, seconds in (*REGRESSION_SEEDS, *SEEDS)
        ]
        with multiprocessing.Pool(WORKER_COUNT) as pool:
            results = pool.map(command.run_and_report, arguments, chunksize=1)
        problems = {}
        for seed, result, folder in results:
            if result.problems:
                problems[seed] = result.problems
                plan = "\n".join(map(str, result.plan))
                self.addDetail(f"seed-{seed}", content.text_content(plan))
                self.addDetail(f"logs-{seed}", content.text_content(folder))
            self.assertGreater(result.done, 0)
        self.assertEqual(problems, {})
