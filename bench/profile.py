"""Sample one proxy process under load, by a timer of processor time."""

import collections
import os
import pathlib
import signal
import tempfile
import types
from typing import Any

from bench import cluster
from bench import experiments
from bench import load
from bench import runs
from bench import systems
from bench import workload

INTERVAL_S = 0.001
MAX_DEPTH = 60
TOP = 45
PATH_VARIABLE = "BENCH_PROFILE"


class ProfiledCluster(cluster.Cluster):
    """Run the first proxy under the sampler."""

    profile_path = ""

    def _spawn(self, name: str, module: str, *arguments: Any) -> None:
        if name == next(iter(self.proxies)):
            module = "bench.profile"
        super()._spawn(name, module, *arguments)


class Sampler:
    """Count the functions on the stack at each signal."""

    def __init__(self) -> None:
        self._own: collections.Counter[str] = collections.Counter()
        self._total: collections.Counter[str] = collections.Counter()
        self._samples = 0

    def start(self) -> None:
        """Begin sampling."""
        signal.signal(signal.SIGPROF, self._take)
        signal.setitimer(signal.ITIMER_PROF, INTERVAL_S, INTERVAL_S)

    def stop(self) -> None:
        """End sampling."""
        signal.setitimer(signal.ITIMER_PROF, 0)

    def format_top(self) -> str:
        """Return the functions with the largest shares, one a line."""
        lines = [f"{self._samples} samples; share with callees, own share"]
        for name, count in self._total.most_common(TOP):
            total = count / max(1, self._samples)
            own = self._own[name] / max(1, self._samples)
            lines.append(f"{total:7.1%} {own:7.1%}  {name}")
        lines.append("by own share:")
        for name, count in self._own.most_common(TOP):
            lines.append(f"{count / max(1, self._samples):7.1%}  {name}")
        return "\n".join(lines)

    def _take(self, number: int, frame: types.FrameType | None) -> None:
        self._samples += 1
        seen = set()
        depth = 0
        while frame is not None and depth < MAX_DEPTH:
            code = frame.f_code
            path = "/".join(code.co_filename.split("/")[-2:])
            name = f"{path}:{code.co_qualname}"
            if not depth:
                self._own[name] += 1
            seen.add(name)
            depth += 1
            frame = frame.f_back
        self._total.update(seen)


def profile_proxy(
    seconds: float, sessions: int, mix: workload.Mix
) -> list[str]:
    """Load one proxy process without pause and return its top costs."""
    configuration = systems.Configuration(
        "profiled", layout=experiments.THREE_GROUPS, entry_limit=1
    )
    plan = load.Plan(
        rate=0.0, duration_s=seconds, warm_up_s=1.0, sessions=sessions, mix=mix
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "profile.txt")
        os.environ[PATH_VARIABLE] = str(path)
        system = systems.System(configuration)
        system.cluster = ProfiledCluster(configuration.layout)
        run = runs.Run(configuration, {"load": plan})
        result = runs.measure_system(run, system)
        text = path.read_text("utf-8")
    return [
        f"{result['answered_per_s']} statements/s,"
        f" {result['proxy_us_per_statement']} us each",
        *text.splitlines(),
    ]


def run_sampled() -> None:
    """Run a proxy from its command line under the sampler."""
    from knapweedtally import __main__ as program

    sampler = Sampler()
    sampler.start()
    try:
        program.main()
    finally:
        sampler.stop()
        path = pathlib.Path(os.environ[PATH_VARIABLE])
        path.write_text(sampler.format_top(), "utf-8")


if __name__ == "__main__":
    run_sampled()
