"""Short soak runs of fixed seeds, among them seeds that failed before."""

import multiprocessing
import zlib

import testtools
from testtools import content

from tests.soak import __main__ as command
from tests.soak import faults
from tests.soak import run

# Seeds, the duration of their faults in seconds, and the number of the first
# kinds of faults that they draw from; None for all.
SEEDS = ((1001, 6.0, None), (1002, 6.0, None))

# Seeds that failed once. A plan depends on the kinds of faults and their order,
# so each seed keeps the number of kinds that there were when it failed.
REGRESSION_SEEDS = (
    # A late acknowledgement of a replaced primary was passed to the caller.
    (1, 12.0, 17),
    (4, 12.0, 17),
    (7, 12.0, 17),
    # A reload signal ended the process while it was starting.
    (9, 15.0, 17),
    # Hosts that restarted took turns between naming a replaced primary and
    # none, and the group got no new one.
    (724803, 15.0, 17),
)

# Digests of their plans.
REGRESSION_PLANS = (
    224038842,
    2412169625,
    2458765669,
    1970922688,
    4058257139,
)

# Number of seeds that run in parallel.
WORKER_COUNT = 3


class SoakTest(testtools.TestCase):
    """Real processes keep their guarantees while faults are injected."""

    def test_seeds_that_failed_keep_their_plans(self) -> None:
        plans = tuple(
            zlib.crc32(
                repr([tuple(f) for f in faults.draw_plan(*seed)]).encode()
            )
            for seed in REGRESSION_SEEDS
        )
        self.assertEqual(REGRESSION_PLANS, plans)

    def test_seeds(self) -> None:
        arguments = [
            (seed, seconds, run.HOST_COUNT, kind_count)
            for seed, seconds, kind_count in (*REGRESSION_SEEDS, *SEEDS)
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
