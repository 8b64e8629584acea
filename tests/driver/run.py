"""Run one seed, check it, and shorten what fails."""

import multiprocessing
import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.driver import faults as faults_module
from tests.driver import outcome
from tests.driver import world as world_module
from tests.history import checker
from tests.history import model as history_model

HEAL_S = 11.0
LOAD_END_S = 18.0
END_S = 25.0
TRACE_LINES = 60
PROCESSES = 4


class Result(NamedTuple):
    """Hold the outcome of one seed.

    Attributes:
        seed: the seed.
        faults: faults of the run.
        violations: what the checks found.
        trace: what happened.
        history: events and final tables.
        counters: the proxies' own counts, by name.
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
    """Run a seed.

    Args:
        seed: decides everything that is random.
        faults: faults in place of those that the seed draws.
    """
    world = world_module.World(seed)
    if faults is None:
        rng = random.Random(f"faults {seed}")
        faults = tuple(faults_module.draw_faults(world, rng))
    faults_module.schedule_faults(world, faults)
    world.schedule.call_later(LOAD_END_S, world.stop_callers)
    world.schedule.call_later(HEAL_S, world.heal)
    watcher = outcome.Watcher(world)
    settled_s = HEAL_S + outcome.SETTLE_S
    world.schedule.call_later(settled_s, watcher.note_behind)
    world.schedule.run_until(END_S)
    history = outcome.read_history(world)
    violations = (
        *checker.check_history(history),
        *watcher.find_violations(),
        *outcome.find_unfinished(world),
        *outcome.find_work_on_leaving(world, HEAL_S),
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
    """Run seeds side by side, and return their results in order.

    The processes are forked, so that they have what a test has patched.
    """
    arguments = [(seed, faults) for seed in seeds]
    with multiprocessing.get_context("fork").Pool(PROCESSES) as pool:
        return pool.starmap(run_seed, arguments, 1)


def shorten(result: Result) -> Result:
    """Drop faults for as long as the first violation's check still fails."""
    check = result.violations[0].check
    shortest = result
    for fault in result.faults:
        fewer = tuple(item for item in shortest.faults if item != fault)
        found = run_seed(result.seed, fewer)
        if any(item.check == check for item in found.violations):
            shortest = found
    return shortest


def describe(result: Result) -> list[str]:
    """Return the lines that tell what is wrong with a seed."""
    lines = [f"seed {result.seed}: {len(result.violations)} violations"]
    lines += [f"  {fault}" for fault in result.faults]
    lines += [f"  {violation}" for violation in result.violations[:5]]
    lines += [f"    {line}" for line in format_trace(result)]
    return lines


def format_trace(result: Result) -> list[str]:
    """Return the lines about the request at fault, faults and terms."""
    words = ["fault", "healed", "TermOpened", "failover", "ControlTarget"]
    violation = result.violations[0]
    if violation.request:
        words.append(f"request={violation.request},")
    words += [word for word in violation.detail.split() if word[:1] == "v"]
    if "write " in violation.detail:
        number = violation.detail.partition("write ")[2].split()[0]
        words.append(f"request={number},")
    lines = [
        line for line in result.trace if any(word in line for word in words)
    ]
    return lines[-TRACE_LINES:]
