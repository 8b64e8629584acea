"""Profile one proxy process under load by sampling its stack.

A timer that counts processor time triggers the samples.
"""

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
TOP_COUNT = 45
OUTPUT_PATH_VARIABLE = "BENCH_PROFILE"


class ProfiledCluster(cluster.Cluster):
    """Cluster whose first proxy runs under the sampler."""

    profile_path = ""

    def _spawn(self, name: str, module: str, *arguments: Any) -> None:
        if name == next(iter(self.proxies)):
            module = "bench.profile"
        super()._spawn(name, module, *arguments)


class Sampler:
    """Sampling profiler that counts the functions on the stack."""

    def __init__(self) -> None:
        self._self_counts: collections.Counter[str] = collections.Counter()
        self._cumulative_counts: collections.Counter[str] = (
            collections.Counter()
        )
        self._sample_count = 0

    def start(self) -> None:
        """Start sampling."""
        signal.signal(signal.SIGPROF, self._record_sample)
        signal.setitimer(signal.ITIMER_PROF, INTERVAL_S, INTERVAL_S)

    def stop(self) -> None:
        """Stop sampling."""
        signal.setitimer(signal.ITIMER_PROF, 0)

    def format_report(self) -> str:
        """Return the functions with the largest shares, one per line."""
        lines = [f"{self._sample_count} samples; share with callees, own share"]
        for name, count in self._cumulative_counts.most_common(TOP_COUNT):
            total = count / max(1, self._sample_count)
            own = self._self_counts[name] / max(1, self._sample_count)
            lines.append(f"{total:7.1%} {own:7.1%}  {name}")
        lines.append("by own share:")
        for name, count in self._self_counts.most_common(TOP_COUNT):
            lines.append(f"{count / max(1, self._sample_count):7.1%}  {name}")
        return "\n".join(lines)

    def _record_sample(
        self, number: int, frame: types.FrameType | None
    ) -> None:
        self._sample_count += 1
        names = set()
        depth = 0
        while frame is not None and depth < MAX_DEPTH:
            code = frame.f_code
            path = "/".join(code.co_filename.split("/")[-2:])
            name = f"{path}:{code.co_qualname}"
            if not depth:
                self._self_counts[name] += 1
            names.add(name)
            depth += 1
            frame = frame.f_back
        self._cumulative_counts.update(names)


def profile_proxy(
    seconds: float, sessions: int, mix: workload.Mix
) -> list[str]:
    """Profile one proxy process under a closed-loop load.

    Args:
        seconds: length of the profiled time.
        sessions: number of sessions of each group.
        mix: mix of statements.

    Returns:
        Lines of the report.
    """
    configuration = systems.Configuration(
        "profiled", layout=experiments.THREE_GROUPS, entry_host_limit=1
    )
    plan = load.Plan(
        rate=0.0, duration_s=seconds, warm_up_s=1.0, sessions=sessions, mix=mix
    )
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "profile.txt")
        os.environ[OUTPUT_PATH_VARIABLE] = str(path)
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


def run_profiled_proxy() -> None:
    """Run a proxy with the arguments of this command line, and profile it."""
    from knapweedtally import __main__ as program

    sampler = Sampler()
    sampler.start()
    try:
        program.main()
    finally:
        sampler.stop()
        path = pathlib.Path(os.environ[OUTPUT_PATH_VARIABLE])
        path.write_text(sampler.format_report(), "utf-8")


if __name__ == "__main__":
    run_profiled_proxy()
