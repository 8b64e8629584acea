"""Run loads on one system, or on several systems in turns."""

import sys
import time
from typing import Any
from typing import NamedTuple

import anyio

from bench import faults as faults_module
from bench import load as load_module
from bench import recorder as recorder_module
from bench import systems

MICROSECONDS_PER_S = 1_000_000
IDLE_MEASUREMENT_S = 2.0


class Run(NamedTuple):
    """Parameters of one measurement.

    Attributes:
        configuration: configuration of the system.
        plans: concurrent loads on the system, by name.
        faults: faults that are injected during the load.
        target_faults: fault settings of all target stand-ins, set before the
            load.
    """

    configuration: systems.Configuration
    plans: dict[str, load_module.Plan]
    faults: tuple[faults_module.Fault, ...] = ()
    target_faults: dict[str, Any] = {}


class LoadRun:
    """Execution of one measurement on a running system.

    Attributes:
        run: parameters of the measurement.
        recorder: recorder of the outcomes of all loads.
    """

    def __init__(self, run: Run, system: systems.System) -> None:
        self.run = run
        self.recorder = recorder_module.Recorder(0.0)
        self._system = system
        self._events: list[faults_module.Event] = []
        self._usage = systems.Usage(0.0, 0.0, 0, 0)
        self._idle_cores = 0.0
        self._seconds = 0.0
        addresses_by_group = system.list_addresses()
        self._loads = {
            name: load_module.Load(
                name, addresses_by_group, plan, self.recorder
            )
            for name, plan in run.plans.items()
        }

    async def prepare(self) -> None:
        """Create tables, set the faults of the targets and warm up."""
        await load_module.create_tables(self._system.list_addresses())
        for target_id in self._system.cluster.targets:
            if self.run.target_faults:
                await faults_module.set_target_faults(
                    self._system.cluster, target_id, self.run.target_faults
                )
        self._idle_cores = await self._measure_idle_cores()
        self.recorder.recording_starts_at = float("inf")
        await self._run_loads(max(p.warm_up_s for p in self._plans), [])

    async def measure(self, seconds: float) -> None:
        """Run the loads and inject the faults for one slice of the run.

        Args:
            seconds: length of the slice.
        """
        before = await self._system.read_usage()
        if not self._seconds:
            self.recorder.recording_starts_at = time.monotonic()
        self.recorder.arrivals_end_at = time.monotonic() + seconds
        self.recorder.is_recording = True
        await self._run_loads(seconds, list(self.run.faults))
        self.recorder.is_recording = False
        after = await self._system.read_usage()
        slice_usage = systems.subtract_usage(after, before)
        self._usage = systems.add_usage(self._usage, slice_usage)
        self._seconds += seconds

    async def finish(self) -> dict[str, Any]:
        """Check the final data, close the loads and return the results."""
        for load in self._loads.values():
            await load.check_final_data()
            await load.close()
        result = self.recorder.summarize(self._seconds)
        answered = max(1, sum(self.recorder.answered.values()))
        usage = self._usage
        primary_reads = (
            usage.primary_reads + self.recorder.reads_by_role["primary"]
        )
        replica_reads = (
            usage.replica_reads + self.recorder.reads_by_role["replica"]
        )
        return {
            "name": self.run.configuration.name,
            "kind": self.run.configuration.kind,
            "settings": describe_run(self.run),
            "replica_share": round(
                replica_reads / max(1, primary_reads + replica_reads), 4
            ),
            "proxy_us_per_statement": round(
                (usage.proxy_s - self._idle_cores * self._seconds)
                * MICROSECONDS_PER_S
                / answered,
                1,
            ),
            "proxy_idle_cores": round(self._idle_cores, 4),
            "target_us_per_statement": round(
                usage.target_s * MICROSECONDS_PER_S / answered, 1
            ),
            "events": [self._describe_event(e) for e in self._events],
            **result,
        }

    @property
    def _plans(self) -> list[load_module.Plan]:
        return list(self.run.plans.values())

    async def _measure_idle_cores(self) -> float:
        """Return the mean number of cores that idle entry hosts use."""
        before = await self._system.read_usage()
        await anyio.sleep(IDLE_MEASUREMENT_S)
        after = await self._system.read_usage()
        return (after.proxy_s - before.proxy_s) / IDLE_MEASUREMENT_S

    async def _run_loads(
        self, seconds: float, faults: list[faults_module.Fault]
    ) -> None:
        async with anyio.create_task_group() as background_tasks:
            ends_at = time.monotonic() + seconds
            if sys.stderr.isatty():
                background_tasks.start_soon(
                    load_module.show_progress,
                    self.run.configuration.name,
                    self.recorder,
                    ends_at,
                )
            background_tasks.start_soon(
                faults_module.inject_faults,
                self._system.cluster,
                faults,
                self._events,
            )
            async with anyio.create_task_group() as tasks:
                for load in self._loads.values():
                    tasks.start_soon(load.run, seconds)
            background_tasks.cancel_scope.cancel()

    def _describe_event(self, event: faults_module.Event) -> dict[str, Any]:
        groups = self._system.cluster.groups
        gaps = {g: self.recorder.find_write_gap(g, event.at) for g in groups}
        return {
            "do": event.fault.do,
            "name": event.fault.name,
            "second": round(event.at - self.recorder.recording_starts_at, 2),
            "for_s": event.fault.for_s,
            "gap_s": {g: gap and round(gap, 3) for g, gap in gaps.items()},
        }


def measure_system(run: Run, system: systems.System) -> dict[str, Any]:
    """Start a system, measure it and stop it."""
    with system.cluster:
        load_runs = [LoadRun(run, system)]
        (result,) = anyio.run(
            _run_rounds, load_runs, 1, backend_options=_BACKEND_OPTIONS
        )
    return result


def measure_in_turns(
    runs: tuple[Run, ...], rounds: int
) -> list[dict[str, Any]]:
    """Measure systems in turns, so that noise of the machine affects all alike.

    Args:
        runs: one run for each system; all systems run throughout.
        rounds: number of slices into which the time of each run is divided.
    """
    all_systems = [systems.System(run.configuration) for run in runs]
    try:
        for system in all_systems:
            system.cluster.start()
        load_runs = [
            LoadRun(run, system)
            for run, system in zip(runs, all_systems, strict=True)
        ]
        return anyio.run(
            _run_rounds, load_runs, rounds, backend_options=_BACKEND_OPTIONS
        )
    finally:
        for system in all_systems:
            system.cluster.stop()


async def _run_rounds(
    load_runs: list[LoadRun], rounds: int
) -> list[dict[str, Any]]:
    for load_run in load_runs:
        await load_run.prepare()
    for _ in range(rounds):
        for load_run in load_runs:
            duration_s = max(p.duration_s for p in load_run.run.plans.values())
            await load_run.measure(duration_s / rounds)
    return [await load_run.finish() for load_run in load_runs]


def describe_run(run: Run) -> dict[str, Any]:
    """Return the parameters of a run, for the results."""
    layout = run.configuration.layout
    return {
        "plans": {
            name: {**plan._asdict(), "mix": plan.mix._asdict()}
            for name, plan in run.plans.items()
        },
        "layout": layout._asdict(),
        "adjust": run.target_faults,
    }


_BACKEND_OPTIONS = {"use_uvloop": True}
