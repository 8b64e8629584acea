"""Measure the cost of the control path per host, and fit slopes to it.

Run as ``python -m bench.control_cost``. Four parts are measured:

* many reducers in one process, in virtual time: processor time and bytes of
  the steady state and of each kind of change, without sockets;
* one host at target size against simulated peers, with the codec;
* the memory of one host's state, with registers decoded from bytes;
* real processes with the reducer and the peers adapter on loopback addresses,
  without groups.

The result is written to ``out/control_cost.json``.
"""

import argparse
import datetime
import json
import pathlib
import statistics
import subprocess
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from bench import control_memory
from bench import control_model
from bench import control_processes
from bench import control_single_host
from bench import least_squares

OUTPUT_PATH = pathlib.Path("out/control_cost.json")
STEADY_WINDOW_S = 20.0
CHANGE_WINDOW_S = 10.0
REPEATS = 3
SINGLE_HOST_S = 20
OBSERVERS_PER_GROUP = 9
DAY_S = 86_400


class Plan(NamedTuple):
    """Sizes to measure.

    Attributes:
        fleets: hosts and groups of the fleets in one process.
        states: hosts and groups of the states whose memory is measured.
        single_hosts: hosts and groups that a single host knows.
        processes: numbers of real processes to start.
        seconds: length of each measurement of processes.
    """

    fleets: list[tuple[int, int]]
    states: list[tuple[int, int]]
    single_hosts: list[tuple[int, int]]
    processes: list[int]
    seconds: float


FULL_PLAN = Plan(
    [
        *((hosts, 3) for hosts in (8, 16, 32, 64, 128, 256)),
        *((32, groups) for groups in (30, 90, 300, 890)),
        *((128, groups) for groups in (30, 90, 300)),
    ],
    [
        *((hosts, 3) for hosts in (8, 32, 128, 400, 800)),
        *((32, groups) for groups in (30, 90, 300, 890)),
        (800, 890),
    ],
    [(9, 3), (128, 300), (803, 300), (803, 890)],
    [3, 8, 16, 32],
    20.0,
)
QUICK_PLAN = Plan(
    [(8, 3), (8, 30), (16, 3), (16, 30)], [(8, 3), (16, 30)], [(9, 3)], [3], 2.0
)

# Number of changes per day in the whole system at target size.
CHANGES_PER_DAY = {"bundle": 410, "host": 176, "primary": 2}


def split_hosts(count: int) -> list[int]:
    """Return the sizes of three data centres with hosts spread evenly."""
    return [len(range(centre_number, count, 3)) for centre_number in range(3)]


def measure_fleet(hosts: int, groups: int) -> dict[str, Any]:
    """Return the cost per host of the steady state and of each kind of change.

    Raises:
        RuntimeError: the hosts don't agree in time.
    """
    fleet = control_model.Fleet(split_hosts(hosts), groups)
    if not fleet.has_converged():
        raise RuntimeError(
            f"{hosts} hosts did not converge in time; raise SETTLE_S"
        )
    windows = [fleet.measure(STEADY_WINDOW_S) for _ in range(REPEATS)]
    cpu_ms_per_s = [window.cpu_ms / window.seconds for window in windows]
    sent_bytes_per_s = statistics.mean(
        w.sent_bytes / w.seconds for w in windows
    )
    messages_per_s = statistics.mean(
        sum(w.messages.values()) / w.seconds for w in windows
    )
    point: dict[str, Any] = {
        "hosts": hosts,
        "groups": groups,
        "cpu_ms_per_s": statistics.median(cpu_ms_per_s),
        "cpu_ms_per_s_range": [min(cpu_ms_per_s), max(cpu_ms_per_s)],
        "sent_bytes_per_s": sent_bytes_per_s,
        "messages_per_s": messages_per_s,
    }
    changes: dict[str, Callable[[], None]] = {
        "bundle": fleet.roll_out,
        "primary": lambda: fleet.change_primary(2),
        "host": lambda: fleet.replace_host(2),
    }
    for name, change in changes.items():
        change()
        window = fleet.measure(CHANGE_WINDOW_S)
        point[f"{name}_cpu_ms"] = window.cpu_ms - point["cpu_ms_per_s"] * (
            window.seconds
        )
        point[f"{name}_bytes"] = (
            window.sent_bytes - sent_bytes_per_s * window.seconds
        )
    return point


def measure_state(hosts: int, groups: int) -> dict[str, Any]:
    """Return the size of one host's state in memory."""
    size = control_memory.measure_state(hosts, groups)
    return {"hosts": hosts, "groups": groups, "state_bytes": size}


def measure_processes(count: int, seconds: float) -> dict[str, Any]:
    """Return the mean and the range of each measure of real processes."""
    results = control_processes.measure_processes(count, seconds)
    point: dict[str, Any] = {"hosts": count}
    for name in results[0]:
        values = [result[name] for result in results]
        point[name] = statistics.mean(values)
        point[f"{name}_range"] = [min(values), max(values)]
    return point


def fit_fleet_cost(points: list[dict[str, Any]], name: str) -> dict[str, float]:
    """Fit a cost linearly to hosts, groups and observed targets per host."""
    rows = [
        (
            1.0,
            point["hosts"],
            point["groups"],
            OBSERVERS_PER_GROUP * point["groups"] / point["hosts"],
        )
        for point in points
    ]
    slopes = least_squares.fit_slopes(rows, [point[name] for point in points])
    names = ("base", "per_host", "per_group", "per_observed_target")
    return dict(zip(names, slopes, strict=True))


def fit_linear(
    points: list[dict[str, Any]], name: str, variables: tuple[str, ...]
) -> dict[str, float]:
    """Fit a cost linearly to some variables of the points."""
    rows = [(1.0, *(point[item] for item in variables)) for point in points]
    slopes = least_squares.fit_slopes(rows, [point[name] for point in points])
    names = ("base", *(f"per_{item[:-1]}" for item in variables))
    return dict(zip(names, slopes, strict=True))


def fit_all_costs(result: dict[str, Any]) -> dict[str, Any]:
    """Return the slopes of every measured cost."""
    fleets = result["fleets"]
    slopes: dict[str, Any] = {
        "steady_cpu_ms_per_s": fit_fleet_cost(fleets, "cpu_ms_per_s"),
        "steady_sent_bytes_per_s": fit_linear(
            fleets, "sent_bytes_per_s", ("hosts",)
        ),
    }
    for change in CHANGES_PER_DAY:
        for cost in ("cpu_ms", "bytes"):
            name = f"{change}_{cost}"
            slopes[name] = fit_linear(fleets, name, ("hosts", "groups"))
    states = result["states"]
    if len(states) > 2:
        slopes["state_bytes"] = fit_linear(
            states, "state_bytes", ("hosts", "groups")
        )
    processes = result["processes"]
    if len(processes) > 1:
        for name in ("cpu_ms_per_s", "sent_bytes_per_s", "rss_bytes"):
            slopes[f"process_{name}"] = fit_linear(processes, name, ("links",))
    return slopes


def run_plan(plan: Plan) -> dict[str, Any]:
    """Measure all sizes of a plan and print each point."""
    result: dict[str, Any] = {
        "command": "python -m bench.control_cost",
        "commit": read_commit(),
        "at": datetime.datetime.now(datetime.UTC).isoformat(),
        "steady_s": STEADY_WINDOW_S,
        "changes_per_day": CHANGES_PER_DAY,
        "fleets": [],
        "states": [],
        "lone": [],
        "processes": [],
    }
    for hosts, groups in plan.fleets:
        result["fleets"].append(print_point(measure_fleet(hosts, groups)))
    for hosts, groups in plan.states:
        result["states"].append(print_point(measure_state(hosts, groups)))
    for hosts, groups in plan.single_hosts:
        result["lone"].append(
            print_point(
                control_single_host.measure_single_host(
                    hosts, groups, SINGLE_HOST_S, REPEATS
                )
            )
        )
    for count in plan.processes:
        result["processes"].append(
            print_point(measure_processes(count, plan.seconds))
        )
    result["slopes"] = fit_all_costs(result)
    return result


def print_point(point: dict[str, Any]) -> dict[str, Any]:
    """Print a measured point and return it."""
    print(json.dumps(point), flush=True)
    return point


def read_commit() -> str:
    """Return the commit of the working tree, marked if it has changes."""
    command = ["git", "describe", "--always", "--dirty"]
    completed = subprocess.run(
        command, capture_output=True, text=True, check=False
    )
    return completed.stdout.strip()


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="measure a few small sizes only"
    )
    options = parser.parse_args()
    result = run_plan(QUICK_PLAN if options.quick else FULL_PLAN)
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result["slopes"], indent=2))
    print(f"written to {OUTPUT_PATH}")


if __name__ == "__main__":
    main()
