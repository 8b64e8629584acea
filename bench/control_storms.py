"""Measure storms on the control path: many hosts restart or return at once.

Run as ``python -m bench.control_storms``. Reducers of all hosts run in one
process in virtual time, without sockets. The result goes to
``out/control_storms.json``.
"""

import argparse
import json
import pathlib
from collections.abc import Callable
from typing import Any

from bench import control_cost
from bench import control_model
from knapweedtally.core.membership import hosts
from tests.membership import network

OUTPUT = pathlib.Path("out/control_storms.json")
DATA_CENTRES = 3
CUT_S = 60.0
LIMIT_S = 120

# Share of the fleet that restarts at once: 170 of 803 hosts.
RESTARTED_SHARE = 170 / 803


def restart_many(fleet: control_model.Fleet) -> None:
    """Start a share of the hosts anew, all at one moment."""
    names = sorted(fleet.net.nodes)
    step = round(1 / RESTARTED_SHARE)
    for name in names[1::step]:
        fleet.restart_host(name, incarnation=2)


def return_data_centre(fleet: control_model.Fleet) -> None:
    """Cut a data centre off until both sides count as dead, and heal.

    Raises:
        RuntimeError: a host still counts one of the other side as live.
    """
    first = {name for name in fleet.net.nodes if name.startswith("dc3")}
    fleet.net.cut(first, fleet.net.nodes.keys() - first)
    fleet.net.run(CUT_S)
    for name, node in fleet.net.nodes.items():
        live = hosts.live_hosts(node.state).keys()
        if any((other in first) != (name in first) for other in live):
            raise RuntimeError(
                f"{name} is not done with the other side; raise CUT_S"
            )
    fleet.net.faults = network.Faults()


STORMS: dict[str, Callable[[control_model.Fleet], None]] = {
    "restarts": restart_many,
    "data centre returns": return_data_centre,
}


def measure_storm(name: str, host_count: int, groups: int) -> dict[str, Any]:
    """Return how long a storm lasts and what it costs the mean host.

    Raises:
        RuntimeError: the hosts do not agree again in time.
    """
    sizes = [host_count // DATA_CENTRES] * DATA_CENTRES
    fleet = control_model.Fleet(sizes, groups)
    STORMS[name](fleet)
    seconds = []
    for elapsed in range(1, LIMIT_S + 1):
        seconds.append(fleet.measure(1.0))
        if fleet.is_settled():
            return {
                "storm": name,
                "hosts": sum(sizes),
                "groups": groups,
                "settled_after_s": elapsed,
                "bytes": sum(window.sent_bytes for window in seconds),
                "peak_bytes_per_s": max(w.sent_bytes for w in seconds),
                "cpu_ms": sum(window.cpu_ms for window in seconds),
                "peak_cpu_ms_per_s": max(w.cpu_ms for w in seconds),
            }
    raise RuntimeError(f"{name}: hosts disagree after {LIMIT_S} s")


def main() -> None:
    """Measure all storms from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[30, 60, 120])
    parser.add_argument("--groups", type=int, default=90)
    options = parser.parse_args()
    points = [
        control_cost.show(measure_storm(name, host_count, options.groups))
        for host_count in options.hosts
        for name in STORMS
    ]
    result = {"commit": control_cost.get_commit(), "points": points}
    OUTPUT.parent.mkdir(exist_ok=True)
    OUTPUT.write_text(json.dumps(result, indent=2) + "\n")
    print(f"written to {OUTPUT}")


if __name__ == "__main__":
    main()
