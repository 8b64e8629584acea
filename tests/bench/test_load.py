"""Tests of the load tool: a short run on real processes, and its parts."""

import pathlib
import tempfile

import testtools

from bench import client
from bench import cluster
from bench import experiments
from bench import faults
from bench import load
from bench import recorder
from bench import report
from bench import runs
from bench import systems

PLAN = load.Plan(rate=40.0, duration_s=2.0, warm_up_s=0.5, sessions=4)
OUTAGE = faults.Fault(0.5, "platform", value={"mode": "down"}, for_s=0.5)


class SmokeTest(testtools.TestCase):
    def test_pair_of_systems(self) -> None:
        layout = cluster.Layout(groups=("fog-1",))
        planned_runs = tuple(
            runs.Run(
                systems.Configuration(kind, kind, layout),
                {"load": PLAN},
                (OUTAGE,),
            )
            for kind in (systems.NAIVE, systems.PROXY)
        )
        experiment = experiments.Experiment("smoke", planned_runs)
        results = report.make_results([experiments.run_experiment(experiment)])
        naive, proxy = results["experiments"][0]["runs"]
        for run in (naive, proxy):
            self.assertGreater(sum(run["answered"].values()), 0)
            self.assertEqual([], list(run["refused"]))
            self.assertEqual(1, len(run["events"]))
            self.assertEqual(0, run["unanswered"])
        for name in ("stale_reads", "lost_writes", "doubled_writes"):
            self.assertEqual(0, proxy[name])
        page = report.render_page(results, "smoke")
        self.assertIn("<svg", page)
        self.assertNotIn("src=", page)


class RecorderTest(testtools.TestCase):
    def test_gap_around_the_event(self) -> None:
        run_recorder = recorder.Recorder(0.0)
        # The gaps of 8.9 s and 50 s start too long before or after the event.
        for at in (
            1.0,
            9.9,
            10.0,
            12.5,
            13.0,
            15.0,
            17.0,
            19.0,
            21.0,
            23.0,
            25.0,
            27.0,
            29.0,
            31.0,
            81.0,
        ):
            run_recorder.record_acknowledgement("fog-1", at)
        self.assertEqual(2.5, run_recorder.find_write_gap("fog-1", 10.1))

    def test_no_gap_without_a_later_write(self) -> None:
        run_recorder = recorder.Recorder(0.0)
        run_recorder.record_acknowledgement("fog-1", 1.0)
        self.assertIsNone(run_recorder.find_write_gap("fog-1", 2.0))

    def test_warm_up_is_not_counted(self) -> None:
        run_recorder = recorder.Recorder(10.0)
        run_recorder.record_answer("read", "a", 9.0, 9.1)
        run_recorder.record_answer("read", "a", 10.0, 10.5)
        result = run_recorder.summarize(1.0)
        self.assertEqual({"read": 1}, result["answered"])
        self.assertAlmostEqual(500, result["latency_ms"]["read"]["p50"], 0)


class FaultsFileTest(testtools.TestCase):
    def read_faults(self, text: str) -> list[faults.Fault]:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "faults.yaml")
            path.write_text(text, "utf-8")
            return faults.read_faults(str(path))

    def test_faults_are_sorted_by_time(self) -> None:
        sorted_faults = self.read_faults(
            "- {at_s: 5, do: kill, name: fog-1-a}\n"
            "- {at_s: 2, do: platform, value: {mode: down}, for_s: 3}\n"
        )
        self.assertEqual(["platform", "kill"], [f.do for f in sorted_faults])

    def test_errors_name_the_entry(self) -> None:
        for text in ("- {at_s: 1, do: explode}", "- {when: 1}", "kill: 1"):
            error = self.assertRaises(
                faults.FaultsError, self.read_faults, text
            )
            self.assertIn("fault", str(error))


class ClientTest(testtools.TestCase):
    def test_query_message(self) -> None:
        self.assertEqual(b"Q\0\0\0\nBEGIN\0", client.encode_query("BEGIN"))
