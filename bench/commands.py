"""Commands of the load tool."""

from typing import Any

from cleo import application
from cleo.commands import command
from cleo.helpers import argument
from cleo.helpers import option

from bench import cluster
from bench import experiments
from bench import faults
from bench import idle
from bench import load
from bench import profile
from bench import report
from bench import runs
from bench import systems
from bench import workload
from bench.days import commands as days_commands
from bench.placing import comparison
from bench.placing import queue_comparison
from bench.placing import scenarios

OUTPUT_DIRECTORY = "out"


def _option(name: str, default: object, text: str) -> Any:
    return option(name, None, text, flag=False, default=str(default))


class MeasuresCommand(command.Command):
    """Run the predefined experiments."""

    name = "measures"
    description = "Run the predefined experiments against their baselines."
    arguments = [
        argument(
            "names",
            f"any of {', '.join(experiments.EXPERIMENTS)}; default: all",
            optional=True,
            multiple=True,
        )
    ]
    options = [_option("repeats", 1, "number of runs of each experiment")]

    def handle(self) -> int:
        """Write out/measures.json and out/measures.html."""
        results = []
        for name in self.argument("names") or experiments.EXPERIMENTS:
            for experiment in experiments.EXPERIMENTS[name]():
                for number in range(int(self.option("repeats"))):
                    result = experiments.run_experiment(experiment)
                    result["repeat"] = number + 1
                    results.append(result)
                    _print_result(self, result)
        _write_results(self, results, "measures")
        return 0


class LoadCommand(command.Command):
    """Run a load on one system, or on two systems in turns."""

    name = "load"
    description = "Run an open-loop or closed-loop load on a system."
    options = [
        _option("system", "proxy", f"one of {', '.join(systems.KINDS)}"),
        _option(
            "against", "", "second system, measured in turns with the first"
        ),
        _option("rounds", 3, "slices of each run if there are two systems"),
        _option("rate", 100, "arrivals per second; 0 for a closed loop"),
        _option("duration-s", 10, "length of the recorded time"),
        _option("warm-up-s", 2, "length of the load before the recorded time"),
        _option("sessions", 8, "number of sessions of each group"),
        _option("groups", 1, "number of groups"),
        _option("hosts-per-centre", 1, "entry hosts in each data centre"),
        _option("entry-hosts", 0, "entry hosts that callers use; 0 for all"),
        _option("write-share", 0.1, "share of statements that write"),
        _option("keyed-share", 0.5, "share of writes with an idempotency key"),
        _option("transaction-share", 0.1, "share of writes in a transaction"),
        _option(
            "roam-share",
            0.2,
            "share of statements before which a host is picked at random",
        ),
        _option("max-age-ms", "", "age of data that reads accept"),
        _option(
            "visit-reads", 0, "number of reads after the write of an arrival"
        ),
        _option("think-ms", 0, "pause between statements of an arrival"),
        _option("apply-lag-ms", 0, "apply lag of replicas"),
        _option("faults", "", "path of the faults file (YAML)"),
        _option("seed", 1, "seed of the load"),
    ]

    def handle(self) -> int:
        """Write out/load.json and out/load.html."""
        path = self.option("faults")
        planned_faults = tuple(faults.read_faults(path)) if path else ()
        kinds = filter(None, (self.option("system"), self.option("against")))
        target_faults = {"apply_lag_ms": float(self.option("apply-lag-ms"))}
        planned_runs = tuple(
            runs.Run(
                systems.Configuration(
                    kind,
                    kind,
                    self._make_layout(),
                    int(self.option("entry-hosts")),
                ),
                {"load": self._make_plan(kind)},
                planned_faults,
                target_faults,
            )
            for kind in kinds
        )
        # A fault is injected once per run, so a run with faults is not sliced.
        is_sliced = len(planned_runs) > 1 and not planned_faults
        rounds = int(self.option("rounds")) if is_sliced else 1
        title = "load on " + " and ".join(
            run.configuration.name for run in planned_runs
        )
        result = experiments.run_experiment(
            experiments.Experiment(title, planned_runs, rounds)
        )
        _print_result(self, result)
        _write_results(self, [result], "load")
        return 0

    def _make_layout(self) -> cluster.Layout:
        count = int(self.option("groups"))
        return cluster.Layout(
            groups=tuple(f"fog-{number + 1}" for number in range(count)),
            hosts_per_centre=int(self.option("hosts-per-centre")),
        )

    def _make_plan(self, kind: str) -> load.Plan:
        age = self.option("max-age-ms")
        is_direct = kind == systems.DIRECT
        mix = workload.Mix(
            write_share=float(self.option("write-share")),
            # A target without a proxy does not support idempotency keys.
            keyed_share=0 if is_direct else float(self.option("keyed-share")),
            transaction_share=float(self.option("transaction-share")),
            max_age_ms=int(age) if age and not is_direct else None,
            roam_share=float(self.option("roam-share")),
            visit_reads=int(self.option("visit-reads")),
            think_ms=float(self.option("think-ms")),
        )
        return load.Plan(
            rate=float(self.option("rate")),
            duration_s=float(self.option("duration-s")),
            warm_up_s=float(self.option("warm-up-s")),
            sessions=int(self.option("sessions")),
            mix=mix,
            seed=int(self.option("seed")),
        )


class IdleCommand(command.Command):
    """Measure the cost of idle connections."""

    name = "idle"
    description = "Measure a proxy's memory and processor time when idle."
    options = [
        _option(
            "connections",
            "500,1000,2000",
            "numbers of connections, separated by commas",
        )
    ]

    def handle(self) -> int:
        """Write out/idle.json."""
        counts = [int(n) for n in self.option("connections").split(",")]
        results = report.make_results([idle.measure_idle(counts)])
        path = report.write_json(results, OUTPUT_DIRECTORY, "idle")
        for point in results["experiments"][0]["points"]:
            self.line(str(point))
        self.line(path)
        return 0


class ProfileCommand(command.Command):
    """Profile the processor time of a proxy."""

    name = "profile"
    description = "Profile one proxy process under load by sampling."
    options = [
        _option("seconds", 8, "length of the profiled time"),
        _option("sessions", 12, "number of closed-loop sessions of each group"),
        _option("max-age-ms", "", "age of data that reads accept"),
        _option("write-share", 0.1, "share of statements that write"),
    ]

    def handle(self) -> int:
        """Print the functions with the largest shares."""
        age = self.option("max-age-ms")
        mix = experiments.PLAIN_MIX._replace(
            roam_share=0.0,
            write_share=float(self.option("write-share")),
            max_age_ms=int(age) if age else None,
        )
        lines = profile.profile_proxy(
            float(self.option("seconds")), int(self.option("sessions")), mix
        )
        for line in lines:
            self.line(line)
        return 0


class PlacingCommand(command.Command):
    """Compare load shedding policies in a model of an overloaded target."""

    name = "placing"
    description = "Compare policies on a model of an overloaded target."
    options = [
        _option(
            "seeds", 5, "number of seeds; all policies get the same arrivals"
        ),
        _option("duration-s", 12, "virtual time with arrivals"),
        _option(
            "loads",
            ",".join(map(str, comparison.LOADS)),
            "factors on the arrival rates",
        ),
    ]

    def handle(self) -> int:
        """Print a table and write out/placing.html."""
        seeds = range(int(self.option("seeds")))
        rows = []
        for scenario in scenarios.SCENARIOS:
            scenario_rows = []
            for load_factor in map(float, self.option("loads").split(",")):
                duration_s = float(self.option("duration-s"))
                scenario_rows += comparison.compare_policies(
                    scenario, load_factor, seeds, duration_s
                )
            self.line(f"\n{scenario.name}")
            self.line(comparison.format_rows(scenario_rows))
            rows += scenario_rows
        self.line(comparison.write_plot(rows, OUTPUT_DIRECTORY))
        return 0


class QueuesCommand(command.Command):
    """Compare orders of holders' queues in a model of teams and one target."""

    name = "queues"
    description = "Compare orders of the queues at holders in a model."
    options = [
        _option("seeds", 5, "number of seeds; all orders get the same load"),
        _option("first-seed", 0, "the first seed"),
        _option("duration-s", 12, "virtual time with arrivals"),
    ]

    def handle(self) -> int:
        """Print a table for each load."""
        first_seed = int(self.option("first-seed"))
        seeds = range(first_seed, first_seed + int(self.option("seeds")))
        duration_s = float(self.option("duration-s"))
        for scenario in scenarios.TEAM_SCENARIOS:
            rows = queue_comparison.compare_orders(scenario, seeds, duration_s)
            self.line(f"\n{scenario.name}")
            self.line(queue_comparison.format_rows(rows))
        return 0


def make_application() -> application.Application:
    """Return the command-line application of the load tool."""
    app = application.Application("bench")
    for bench_command in (
        MeasuresCommand(),
        LoadCommand(),
        IdleCommand(),
        ProfileCommand(),
        PlacingCommand(),
        QueuesCommand(),
        days_commands.DaysCommand(),
        days_commands.LossesCommand(),
    ):
        app.add(bench_command)
    return app


def _print_result(cli_command: command.Command, result: dict[str, Any]) -> None:
    cli_command.line("\n" + result["title"])
    cli_command.line(report.format_runs(result["runs"]))


def _write_results(
    cli_command: command.Command, results: list[dict[str, Any]], name: str
) -> None:
    document = report.make_results(results)
    cli_command.line(report.write_results(document, OUTPUT_DIRECTORY, name))
