"""Run loads on systems: one system, or two in turns."""

import sys
import time
from typing import Any
from typing import NamedTuple

import anyio

from bench import faults as faults_module
from bench import load as load_module
from bench import recorder as recorder_module
from bench import systems

MICROSECONDS = 1_000_000
IDLE_S = 2.0


class Run(NamedTuple):
    """State one measurement.

    Attributes:
        configuration: what runs.
        plans: the loads that run on it at the same time, by name.
        faults: what happens meanwhile.
        adjust: faults of the target stand-ins, set before the load.
    """

    configuration: systems.Configuration
    plans: dict[str, load_module.Plan]
    faults: tuple[faults_module.Fault, ...] = ()
    adjust: dict[str, Any] = {}


class Bed:
    """Hold a running system with its loads.

    Attributes:
        run: what is measured.
        recorder: what all loads saw.
    """

    def __init__(self, run: Run, system: systems.System) -> None:
        self.run = run
        self.recorder = recorder_module.Recorder(0.0)
        self._system = system
        self._events: list[faults_module.Event] = []
        self._usage = systems.Usage(0.0, 0.0, 0, 0)
        self._idle_cores = 0.0
        self._seconds = 0.0
        entries = system.list_entries()
        self._loads = {
            name: load_module.Load(name, entries, plan, self.recorder)
            for name, plan in run.plans.items()
        }

    async def prepare(self) -> None:
        """Create tables, adjust the targets and warm up."""
        await load_module.create_tables(self._system.list_entries())
        for target_id in self._system.cluster.targets:
            if self.run.adjust:
                await faults_module.set_target(
                    self._system.cluster, target_id, self.run.adjust
                )
        self._idle_cores = await self._measure_idle()
        self.recorder.recording_starts_at = float("inf")
        await self._run_loads(max(p.warm_up_s for p in self._plans), [])

    async def measure(self, seconds: float) -> None:
        """Run the loads for some seconds, with the faults, and count."""
        before = await self._system.measure_usage()
        if not self._seconds:
            self.recorder.recording_starts_at = time.monotonic()
        self.recorder.arrivals_end_at = time.monotonic() + seconds
        self.recorder.is_recording = True
        await self._run_loads(seconds, list(self.run.faults))
        self.recorder.is_recording = False
        after = await self._system.measure_usage()
        used = systems.subtract_usage(after, before)
        self._usage = systems.add_usage(self._usage, used)
        self._seconds += seconds

    async def finish(self) -> dict[str, Any]:
        """Check the final data and return the results."""
        for load in self._loads.values():
            await load.check_final_data()
            await load.close()
        result = self.recorder.summarize(self._seconds)
        answered = max(1, sum(self.recorder.answered.values()))
        usage = self._usage
        primary = usage.primary + self.recorder.reads_by_role["primary"]
        replica = usage.replica + self.recorder.reads_by_role["replica"]
        return {
            "name": self.run.configuration.name,
            "kind": self.run.configuration.kind,
            "settings": describe_run(self.run),
            "replica_share": round(replica / max(1, primary + replica), 4),
            "proxy_us_per_statement": round(
                (usage.proxy_s - self._idle_cores * self._seconds)
                * MICROSECONDS
                / answered,
                1,
            ),
            "proxy_idle_cores": round(self._idle_cores, 4),
            "target_us_per_statement": round(
                usage.target_s * MICROSECONDS / answered, 1
            ),
            "events": [self._describe_event(e) for e in self._events],
            **result,
        }

    @property
    def _plans(self) -> list[load_module.Plan]:
        return list(self.run.plans.values())

    async def _measure_idle(self) -> float:
        """Return the cores that the entry hosts use without any caller."""
        before = await self._system.measure_usage()
        await anyio.sleep(IDLE_S)
        after = await self._system.measure_usage()
        return (after.proxy_s - before.proxy_s) / IDLE_S

    async def _run_loads(
        self, seconds: float, faults: list[faults_module.Fault]
    ) -> None:
        async with anyio.create_task_group() as helpers:
            ends_at = time.monotonic() + seconds
            if sys.stderr.isatty():
                helpers.start_soon(
                    load_module.show_progress,
                    self.run.configuration.name,
                    self.recorder,
                    ends_at,
                )
            helpers.start_soon(
                faults_module.run_faults,
                self._system.cluster,
                faults,
                self._events,
            )
            async with anyio.create_task_group() as tasks:
                for load in self._loads.values():
                    tasks.start_soon(load.run, seconds)
            helpers.cancel_scope.cancel()

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
    """Measure a system that isn't started yet, and stop it."""
    with system.cluster:
        beds = [Bed(run, system)]
        (result,) = anyio.run(
            _measure_in_turns, beds, 1, backend_options=_OPTIONS
        )
    return result


def measure_pair(runs: tuple[Run, ...], rounds: int) -> list[dict[str, Any]]:
    """Measure systems in turns, so that the machine's noise hits all alike.

    Args:
        runs: one for each system; all of them stay up.
        rounds: slices that each system's time is cut into.
    """
    made = [systems.System(run.configuration) for run in runs]
    try:
        for system in made:
            system.cluster.start()
        beds = [
            Bed(run, system) for run, system in zip(runs, made, strict=True)
        ]
        return anyio.run(
            _measure_in_turns, beds, rounds, backend_options=_OPTIONS
        )
    finally:
        for system in made:
            system.cluster.stop()


async def _measure_in_turns(
    beds: list[Bed], rounds: int
) -> list[dict[str, Any]]:
    for bed in beds:
        await bed.prepare()
    for _ in range(rounds):
        for bed in beds:
            duration_s = max(p.duration_s for p in bed.run.plans.values())
            await bed.measure(duration_s / rounds)
    return [await bed.finish() for bed in beds]


def describe_run(run: Run) -> dict[str, Any]:
    """Return what a run was made with, for the results."""
    layout = run.configuration.layout
    return {
        "plans": {
            name: {**plan._asdict(), "mix": plan.mix._asdict()}
            for name, plan in run.plans.items()
        },
        "layout": layout._asdict(),
        "adjust": run.adjust,
    }


_OPTIONS = {"use_uvloop": True}
