"""Short soak runs of fixed seeds, among them seeds that failed before."""

import asyncio
import multiprocessing
import pathlib
import signal
import tempfile
import zlib

import testtools
from testtools import content

from standins.line_platform import platform as platform_module
from tests.soak import __main__ as command
from tests.soak import faults
from tests.soak import hosts
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


class HostTest(testtools.TestCase):
    """A host of the soak notices how its process ended."""

    async def _stop_after(
        self, ends_unasked: bool, signal_number: signal.Signals
    ) -> list[str]:
        platform = platform_module.Platform()
        await platform.start()
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        host = hosts.Host("host", "127.0.0.1", platform, folder)
        try:
            await host.start_links()
            await host.start()
            while not await host.is_ready():
                await asyncio.sleep(0.05)
            if ends_unasked:
                assert host.process is not None
                host.process.send_signal(signal.SIGUSR1)
                await host.process.wait()
            await host.stop(signal_number)
        finally:
            await host.close()
            await platform.stop()
        return host.unasked_ends

    def test_end_without_being_asked_is_noticed(self) -> None:
        ends = asyncio.run(self._stop_after(True, signal.SIGTERM))
        self.assertEqual(["start 1 ended with -10"], ends)

    def test_asked_ends_are_none_of_these(self) -> None:
        for signal_number in (signal.SIGTERM, signal.SIGKILL):
            ends = asyncio.run(self._stop_after(False, signal_number))
            self.assertEqual([], ends)


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
            (seed, seconds, run.HOST_COUNT, kind_count, None)
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
