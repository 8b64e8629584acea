"""Run the driver's fixed seeds, and test the parts of its simulation."""

import os
import subprocess
import sys

import testtools

from tests.driver import network as network_module
from tests.driver import platform as platform_module
from tests.driver import run
from tests.driver import schedule as schedule_module

SEEDS = range(60)


class SeedsTest(testtools.TestCase):
    def test_seeds_pass_every_check(self) -> None:
        failed = []
        for result in run.run_seeds(SEEDS):
            if result.violations:
                failed += run.format_failure(run.reduce_faults(result))
        self.assertEqual([], failed, "\n".join(failed))

    def test_same_seed_gives_same_run(self) -> None:
        first, second = run.run_seed(7), run.run_seed(7)
        self.assertEqual(first.trace, second.trace)
        self.assertEqual(first.history, second.history)

    def test_run_does_not_depend_on_hash_seed(self) -> None:
        traces = {self.run_in_subprocess(hash_seed) for hash_seed in ("1", "2")}
        self.assertEqual(1, len(traces))

    def run_in_subprocess(self, hash_seed: str) -> str:
        """Return the traces of some seeds, run in a subprocess."""
        program = (
            "from tests.driver import run\n"
            "for seed in (0, 5, 8):\n"
            "    print(*run.run_seed(seed).trace, sep='\\n')\n"
        )
        finished = subprocess.run(
            [sys.executable, "-c", program],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        )
        return finished.stdout


class SimulationTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.schedule = schedule_module.Schedule(1)
        self.network = network_module.Network(self.schedule)
        self.seen: list[str] = []

    def make_process(self, name: str) -> schedule_module.Process:
        return schedule_module.Process(self.schedule, name, f"at {name}")

    def test_paused_process_runs_timers_after_resume(self) -> None:
        process = self.make_process("one")
        process.call_later(1.0, lambda: self.seen.append("timer"))
        process.pause()
        self.schedule.run_until(2.0)
        self.assertEqual([], self.seen)
        process.resume()
        self.schedule.run_until(3.0)
        self.assertEqual(["timer"], self.seen)

    def test_restart_drops_timers_of_killed_process(self) -> None:
        process = self.make_process("one")
        process.call_later(1.0, lambda: self.seen.append("timer"))
        process.kill()
        process.start()
        self.schedule.run_until(2.0)
        self.assertEqual([], self.seen)

    def test_block_is_one_way_and_retransmits(self) -> None:
        one, two = self.make_process("one"), self.make_process("two")
        self.network.block("at one", "two")
        self.network.send(one, two, lambda: self.seen.append("there"))
        self.network.send(two, one, lambda: self.seen.append("back"))
        self.schedule.run_until(1.0)
        self.assertEqual(["back"], self.seen)
        self.network.heal()
        self.schedule.run_until(2.0)
        self.assertEqual(["back", "there"], self.seen)

    def test_platform_loses_answer_after_update(self) -> None:
        platform = platform_module.Platform(self.schedule, self.network)
        platform.lost_answers = 1
        client = self.make_process("one")
        update = platform_module.StoredObject("group", "g", 0, {"term": 1})
        failures: list[bool] = []
        replies: list[platform_module.Reply] = []
        for _ in range(2):
            platform.call(
                client,
                lambda: platform.update_object(update),
                replies.append,
                failures.append,
            )
            self.schedule.run_until(self.schedule.now + 2.0)
        self.assertEqual([True], failures)
        self.assertEqual([True], [reply.is_conflict for reply in replies])
        self.assertEqual(1, platform.get_object("group", "g").version)
