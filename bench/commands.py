"""The commands of the load tool."""

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
from bench.placing import comparison
from bench.placing import scenarios

OUTPUT = "out"


def _option(name: str, default: object, text: str) -> Any:
    return option(name, None, text, flag=False, default=str(default))


class MeasuresCommand(command.Command):
    """Run the stated experiments."""

    name = "measures"
    description = "Run the stated experiments against their baselines."
    arguments = [
        argument(
            "names",
            f"which of {', '.join(experiments.EXPERIMENTS)}; all if none",
            optional=True,
            multiple=True,
        )
    ]
    options = [_option("repeats", 1, "runs of each experiment")]

    def handle(self) -> int:
        """Write out/measures.json and out/measures.html."""
        results = []
        for name in self.argument("names") or experiments.EXPERIMENTS:
            for experiment in experiments.EXPERIMENTS[name]():
                for number in range(int(self.option("repeats"))):
                    result = experiments.measure(experiment)
                    result["repeat"] = number + 1
                    results.append(result)
                    _show(self, result)
        _write(self, results, "measures")
        return 0


class LoadCommand(command.Command):
    """Bring a load onto one system, or onto two in turns."""

    name = "load"
    description = "Bring an open-loop load onto a running system."
    options = [
        _option("system", "proxy", f"one of {', '.join(systems.KINDS)}"),
        _option("against", "", "second system, measured in turns"),
        _option("rounds", 3, "slices of each run when there are two"),
        _option("rate", 100, "arrivals a second; 0 for a closed loop"),
        _option("duration-s", 10, "time that is recorded"),
        _option("warm-up-s", 2, "time before that"),
        _option("sessions", 8, "sessions of each group"),
        _option("groups", 1, "number of groups"),
        _option("hosts-per-centre", 1, "entry hosts in each data centre"),
        _option("entry-hosts", 0, "hosts that callers use; 0 for all"),
        _option("write-share", 0.1, "share of statements that write"),
        _option("keyed-share", 0.5, "share of writes with a key"),
        _option("transaction-share", 0.1, "share of writes in a transaction"),
        _option("roam-share", 0.2, "share of statements at another host"),
        _option("max-age-ms", "", "age of data that reads accept"),
        _option("visit-reads", 0, "reads after the write of an arrival"),
        _option("think-ms", 0, "pause between statements of an arrival"),
        _option("apply-lag-ms", 0, "apply lag of replicas"),
        _option("faults", "", "faults file (YAML)"),
        _option("seed", 1, "seed of the load"),
    ]

    def handle(self) -> int:
        """Write out/load.json and out/load.html."""
        path = self.option("faults")
        happens = tuple(faults.read_faults(path)) if path else ()
        kinds = filter(None, (self.option("system"), self.option("against")))
        adjust = {"apply_lag_ms": float(self.option("apply-lag-ms"))}
        made = tuple(
            runs.Run(
                systems.Configuration(
                    kind,
                    kind,
                    self._make_layout(),
                    int(self.option("entry-hosts")),
                ),
                {"load": self._make_plan(kind)},
                happens,
                adjust,
            )
            for kind in kinds
        )
        # A fault happens once in a run.
        is_sliced = len(made) > 1 and not happens
        rounds = int(self.option("rounds")) if is_sliced else 1
        title = "load on " + " and ".join(
            run.configuration.name for run in made
        )
        result = experiments.measure(
            experiments.Experiment(title, made, rounds)
        )
        _show(self, result)
        _write(self, [result], "load")
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
            # A bare target has no keys.
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
    """Measure what idle callers cost."""

    name = "idle"
    description = "Measure a proxy's memory and processor time by connections."
    options = [_option("connections", "500,1000,2000", "numbers to measure")]

    def handle(self) -> int:
        """Write out/idle.json."""
        counts = [int(n) for n in self.option("connections").split(",")]
        results = report.make_results([idle.measure_idle(counts)])
        path = report.write_json(results, OUTPUT, "idle")
        for point in results["experiments"][0]["points"]:
            self.line(str(point))
        self.line(path)
        return 0


class ProfileCommand(command.Command):
    """Find where a proxy's processor time goes."""

    name = "profile"
    description = "Sample one proxy process under load; print the top costs."
    options = [
        _option("seconds", 8, "time that is sampled"),
        _option("sessions", 12, "sessions without pause"),
        _option("max-age-ms", "", "age of data that reads accept"),
        _option("write-share", 0.1, "share of statements that write"),
    ]

    def handle(self) -> int:
        """Print the functions that take most."""
        age = self.option("max-age-ms")
        mix = experiments.PLAIN._replace(
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
    """Compare decisions about a crowded target in a model."""

    name = "placing"
    description = "Compare policies on a model of a crowded target."
    options = [
        _option("seeds", 5, "runs of each policy, with the same arrivals"),
        _option("duration-s", 12, "virtual time of arrivals"),
        _option("loads", ",".join(map(str, comparison.LOADS)), "on the rates"),
    ]

    def handle(self) -> int:
        """Print a table and write out/placing.html."""
        seeds = range(int(self.option("seeds")))
        rows = []
        for scenario in scenarios.SCENARIOS:
            mine = []
            for factor in map(float, self.option("loads").split(",")):
                duration_s = float(self.option("duration-s"))
                mine += comparison.compare(scenario, factor, seeds, duration_s)
            self.line(f"\n{scenario.name}")
            self.line(comparison.format_rows(mine))
            rows += mine
        self.line(comparison.write_plot(rows, OUTPUT))
        return 0


def make_application() -> application.Application:
    """Return the command line of the load tool."""
    made = application.Application("bench")
    for made_command in (
        MeasuresCommand(),
        LoadCommand(),
        IdleCommand(),
        ProfileCommand(),
        PlacingCommand(),
    ):
        made.add(made_command)
    return made


def _show(shown: command.Command, result: dict[str, Any]) -> None:
    shown.line("\n" + result["title"])
    shown.line(report.format_runs(result["runs"]))


def _write(
    shown: command.Command, results: list[dict[str, Any]], name: str
) -> None:
    made = report.make_results(results)
    shown.line(report.write_results(made, OUTPUT, name))
