"""Run a seed, check the run, and reduce the faults of a failed one."""

import multiprocessing
import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.driver import faults as faults_module
from tests.driver import outcome
from tests.driver import world as world_module
from tests.history import checker
from tests.history import model as history_model

HEAL_AT_S = 11.0
CALLERS_STOP_AT_S = 18.0
END_AT_S = 25.0
MAX_TRACE_LINES = 60
WORKER_PROCESSES = 4


class Result(NamedTuple):
    """Result of the run of one seed.

    Attributes:
        seed: the seed.
        faults: faults of the run.
        violations: violations that the checks found.
        trace: log lines of the run.
        history: events and final tables.
        counters: sums of the proxies' counters, by name.
    """

    seed: int
    faults: tuple[faults_module.Fault, ...]
    violations: tuple[history_model.Violation, ...]
    trace: tuple[str, ...]
    history: history_model.History
    counters: dict[str, int]


def run_seed(
    seed: int, faults: tuple[faults_module.Fault, ...] | None = None
) -> Result:
    """Run a seed and check the run.

    Args:
        seed: seed of all random choices.
        faults: faults to inject; None draws them from the seed.
    """
    world = world_module.World(seed)
    if faults is None:
        rng = random.Random(f"faults {seed}")
        faults = tuple(faults_module.draw_faults(world, rng))
    faults_module.schedule_faults(world, faults)
    world.schedule.call_later(CALLERS_STOP_AT_S, world.stop_callers)
    world.schedule.call_later(HEAL_AT_S, world.heal)
    monitor = outcome.BundleMonitor(world)
    settled_at_s = HEAL_AT_S + outcome.SETTLING_TIME_S
    world.schedule.call_later(settled_at_s, monitor.record_missing_bundles)
    world.schedule.run_until(END_AT_S)
    history = outcome.collect_history(world)
    violations = (
        *checker.check_history(history),
        *monitor.get_violations(),
        *outcome.find_final_violations(world),
        *outcome.find_requests_on_leaving_targets(world, HEAL_AT_S),
    )
    counters: dict[str, int] = {}
    for proxy in world.proxies.values():
        for name, count in proxy.state.admission.counters.items():
            counters[name] = counters.get(name, 0) + count
    trace = tuple(world.schedule.trace)
    return Result(seed, faults, violations, trace, history, counters)


def run_seeds(
    seeds: Iterable[int], faults: tuple[faults_module.Fault, ...] | None = None
) -> list[Result]:
    """Run seeds in parallel and return their results in order.

    The worker processes are forked, so that a test's patches apply to them.
    """
    arguments = [(seed, faults) for seed in seeds]
    with multiprocessing.get_context("fork").Pool(WORKER_PROCESSES) as pool:
        return pool.starmap(run_seed, arguments, 1)


def reduce_faults(result: Result) -> Result:
    """Remove faults as long as the first violation's check still fails."""
    check = result.violations[0].check
    reduced = result
    for fault in result.faults:
        fewer = tuple(item for item in reduced.faults if item != fault)
        found = run_seed(result.seed, fewer)
        if any(item.check == check for item in found.violations):
            reduced = found
    return reduced


def format_failure(result: Result) -> list[str]:
    """Return lines that describe the failure of a seed."""
    lines = [f"seed {result.seed}: {len(result.violations)} violations"]
    lines += [f"  {fault}" for fault in result.faults]
    lines += [f"  {violation}" for violation in result.violations[:5]]
    lines += [f"    {line}" for line in format_trace(result)]
    return lines


def format_trace(result: Result) -> list[str]:
    """Return the last trace lines about the violation, faults and terms."""
    patterns = ["fault", "healed", "TermOpened", "failover", "ControlTarget"]
    violation = result.violations[0]
    if violation.request:
        patterns.append(f"request={violation.request},")
    patterns += [
        pattern for pattern in violation.detail.split() if pattern[:1] == "v"
    ]
    if "write " in violation.detail:
        number = violation.detail.partition("write ")[2].split()[0]
        patterns.append(f"request={number},")
    lines = [
        line
        for line in result.trace
        if any(pattern in line for pattern in patterns)
    ]
    return lines[-MAX_TRACE_LINES:]
