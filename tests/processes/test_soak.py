"""Short plays of the fault soak, and the seeds that ever failed."""

import multiprocessing

import testtools
from testtools import content

from tests.soak import __main__ as command
from tests.soak import run

# Seeds of each run of the tests; the duration of the faults, in seconds.
SEEDS = ((1001, 6.0), (1002, 6.0))

# Seeds that failed once. A plan depends on the kinds of faults and their
# order, so a seed plays something else once these change.
REGRESSIONS = (
    # A replaced primary's late acknowledgement was passed on.
    (1, 12.0),
    (4, 12.0),
    (7, 12.0),
    # A reload signal during the start ended the process.
    (9, 15.0),
)

# Seeds that are played beside one another.
PROCESSES = 3


class SoakTest(testtools.TestCase):
    """Real processes under faults keep what is promised."""

    def test_seeds(self) -> None:
        work = [
            (seed, seconds, run.HOSTS)
            for seed, seconds in (*REGRESSIONS, *SEEDS)
        ]
        with multiprocessing.Pool(PROCESSES) as pool:
            results = pool.map(command.play, work, chunksize=1)
        problems = {}
        for seed, result, folder in results:
            if result.problems:
                problems[seed] = result.problems
                plan = "\n".join(map(str, result.plan))
                self.addDetail(f"seed-{seed}", content.text_content(plan))
                self.addDetail(f"logs-{seed}", content.text_content(folder))
            self.assertGreater(result.done, 0)
        self.assertEqual(problems, {})
