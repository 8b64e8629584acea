"""Measure what the control path costs a host, and fit slopes to it.

Run as ``python -m bench.control_cost``. Four parts are measured:

* many reducers in one process, in virtual time: processor time and bytes of
  the steady state and of each kind of change, without sockets;
* one host at target size against scripted peers, with the codec;
* the state of one host in memory, with registers decoded from bytes;
* real processes with the reducer and the peers edge over loopback, without
  groups.

The result goes to ``out/control_cost.json``.
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

from bench import control_lone
from bench import control_memory
from bench import control_model
from bench import control_processes
from bench import fits

OUTPUT = pathlib.Path("out/control_cost.json")
STEADY_S = 20.0
CHANGE_S = 10.0
REPEATS = 3
LONE_SECONDS = 20
OBSERVERS_PER_GROUP = 9
DAY_S = 86_400


class Plan(NamedTuple):
    """Say what to measure.

    Attributes:
        fleets: hosts and groups of the fleets in one process.
        states: hosts and groups of the states in memory.
        lone: hosts and groups that a lone host knows.
        processes: numbers of real processes.
        seconds: length of each measurement of processes.
    """

    fleets: list[tuple[int, int]]
    states: list[tuple[int, int]]
    lone: list[tuple[int, int]]
    processes: list[int]
    seconds: float


FULL = Plan(
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
QUICK = Plan(
    [(8, 3), (8, 30), (16, 3), (16, 30)], [(8, 3), (16, 30)], [(9, 3)], [3], 2.0
)

# Changes per day of the whole system at target size.
CHANGES_PER_DAY = {"bundle": 410, "host": 176, "primary": 2}


def split_hosts(count: int) -> list[int]:
    """Return the sizes of three data centres that share some hosts."""
    return [len(range(place, count, 3)) for place in range(3)]


def measure_fleet(hosts: int, groups: int) -> dict[str, Any]:
    """Return the cost per host of the steady state and of each change."""
    fleet = control_model.Fleet(split_hosts(hosts), groups)
    if not fleet.is_settled():
        raise RuntimeError(f"{hosts} hosts did not settle; raise SETTLE_S")
    windows = [fleet.measure(STEADY_S) for _ in range(REPEATS)]
    cpu = [window.cpu_ms / window.seconds for window in windows]
    sent = statistics.mean(w.sent_bytes / w.seconds for w in windows)
    sends = statistics.mean(
        sum(w.messages.values()) / w.seconds for w in windows
    )
    point: dict[str, Any] = {
        "hosts": hosts,
        "groups": groups,
        "cpu_ms_per_s": statistics.median(cpu),
        "cpu_ms_per_s_range": [min(cpu), max(cpu)],
        "sent_bytes_per_s": sent,
        "messages_per_s": sends,
    }
    changes: dict[str, Callable[[], None]] = {
        "bundle": fleet.roll_out,
        "primary": lambda: fleet.change_primary(2),
        "host": lambda: fleet.replace_host(2),
    }
    for name, change in changes.items():
        change()
        window = fleet.measure(CHANGE_S)
        point[f"{name}_cpu_ms"] = window.cpu_ms - point["cpu_ms_per_s"] * (
            window.seconds
        )
        point[f"{name}_bytes"] = window.sent_bytes - sent * window.seconds
    return point


def measure_state(hosts: int, groups: int) -> dict[str, Any]:
    """Return the memory of one host's state."""
    size = control_memory.measure_state(hosts, groups)
    return {"hosts": hosts, "groups": groups, "state_bytes": size}


def measure_processes(count: int, seconds: float) -> dict[str, Any]:
    """Return the mean and range of what real processes measured."""
    results = control_processes.measure_processes(count, seconds)
    point: dict[str, Any] = {"hosts": count}
    for name in results[0]:
        values = [result[name] for result in results]
        point[name] = statistics.mean(values)
        point[f"{name}_range"] = [min(values), max(values)]
    return point


def fit_points(points: list[dict[str, Any]], name: str) -> dict[str, float]:
    """Fit a cost to the hosts, groups and observed targets per host."""
    rows = [
        (
            1.0,
            point["hosts"],
            point["groups"],
            OBSERVERS_PER_GROUP * point["groups"] / point["hosts"],
        )
        for point in points
    ]
    slopes = fits.fit_slopes(rows, [point[name] for point in points])
    names = ("base", "per_host", "per_group", "per_observed_target")
    return dict(zip(names, slopes, strict=True))


def fit_plain(
    points: list[dict[str, Any]], name: str, variables: tuple[str, ...]
) -> dict[str, float]:
    """Fit a cost to some variables of the points."""
    rows = [(1.0, *(point[item] for item in variables)) for point in points]
    slopes = fits.fit_slopes(rows, [point[name] for point in points])
    names = ("base", *(f"per_{item[:-1]}" for item in variables))
    return dict(zip(names, slopes, strict=True))


def fit_all(result: dict[str, Any]) -> dict[str, Any]:
    """Return the slopes of every measured cost."""
    fleets = result["fleets"]
    slopes: dict[str, Any] = {
        "steady_cpu_ms_per_s": fit_points(fleets, "cpu_ms_per_s"),
        "steady_sent_bytes_per_s": fit_plain(
            fleets, "sent_bytes_per_s", ("hosts",)
        ),
    }
    for change in CHANGES_PER_DAY:
        for cost in ("cpu_ms", "bytes"):
            name = f"{change}_{cost}"
            slopes[name] = fit_plain(fleets, name, ("hosts", "groups"))
    states = result["states"]
    if len(states) > 2:
        slopes["state_bytes"] = fit_plain(
            states, "state_bytes", ("hosts", "groups")
        )
    processes = result["processes"]
    if len(processes) > 1:
        for name in ("cpu_ms_per_s", "sent_bytes_per_s", "rss_bytes"):
            slopes[f"process_{name}"] = fit_plain(processes, name, ("links",))
    return slopes


def run(plan: Plan) -> dict[str, Any]:
    """Measure everything of a plan, with a line on each step."""
    result: dict[str, Any] = {
        "command": "python -m bench.control_cost",
        "commit": get_commit(),
        "at": datetime.datetime.now(datetime.UTC).isoformat(),
        "steady_s": STEADY_S,
        "changes_per_day": CHANGES_PER_DAY,
        "fleets": [],
        "states": [],
        "lone": [],
        "processes": [],
    }
    for hosts, groups in plan.fleets:
        result["fleets"].append(show(measure_fleet(hosts, groups)))
    for hosts, groups in plan.states:
        result["states"].append(show(measure_state(hosts, groups)))
    for hosts, groups in plan.lone:
        result["lone"].append(
            show(
                control_lone.measure_lone_host(
                    hosts, groups, LONE_SECONDS, REPEATS
                )
            )
        )
    for count in plan.processes:
        result["processes"].append(show(measure_processes(count, plan.seconds)))
    result["slopes"] = fit_all(result)
    return result


def show(point: dict[str, Any]) -> dict[str, Any]:
    """Print a measured point and return it."""
    print(json.dumps(point), flush=True)
    return point


def get_commit() -> str:
    """Return the commit that is measured, marked if the tree differs."""
    command = ["git", "describe", "--always", "--dirty"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip()


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--quick", action="store_true", help="a short run of every part"
    )
    options = parser.parse_args()
    result = run(QUICK if options.quick else FULL)
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result["slopes"], indent=2))
    print(f"written to {OUTPUT}")


if __name__ == "__main__":
    main()
