"""Measure the control path while many hosts restart or reconnect at once.

Run as ``python -m bench.control_storms``. The reducers of all hosts run in one
process in virtual time, without sockets. The result is written to
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

OUTPUT_PATH = pathlib.Path("out/control_storms.json")
DATA_CENTRES = 3
PARTITION_S = 60.0
CONVERGENCE_TIMEOUT_S = 120

# Share of the hosts that restart at once: 170 of 803.
RESTARTED_SHARE = 170 / 803


def restart_share_of_hosts(fleet: control_model.Fleet) -> None:
    """Restart ``RESTARTED_SHARE`` of the hosts at once."""
    names = sorted(fleet.net.nodes)
    step = round(1 / RESTARTED_SHARE)
    for name in names[1::step]:
        fleet.restart_host(name, incarnation=2)


def reconnect_data_centre(fleet: control_model.Fleet) -> None:
    """Isolate a data centre and reconnect it.

    It is reconnected once each side considers the hosts of the other dead.

    Raises:
        RuntimeError: a host still considers a host of the other side live.
    """
    isolated = {name for name in fleet.net.nodes if name.startswith("dc3")}
    fleet.net.drop_messages(isolated, fleet.net.nodes.keys() - isolated)
    fleet.net.run(PARTITION_S)
    for name, node in fleet.net.nodes.items():
        live = hosts.get_live_hosts(node.state).keys()
        if any((other in isolated) != (name in isolated) for other in live):
            raise RuntimeError(
                f"{name} still considers a host of the other side live;"
                " raise PARTITION_S"
            )
    fleet.net.faults = network.Faults()


STORMS: dict[str, Callable[[control_model.Fleet], None]] = {
    "restarts": restart_share_of_hosts,
    "data centre returns": reconnect_data_centre,
}


def measure_storm(name: str, host_count: int, groups: int) -> dict[str, Any]:
    """Return the duration of a storm and its mean cost per host.

    Raises:
        RuntimeError: the hosts don't converge in time.
    """
    sizes = [host_count // DATA_CENTRES] * DATA_CENTRES
    fleet = control_model.Fleet(sizes, groups)
    STORMS[name](fleet)
    windows = []
    for elapsed in range(1, CONVERGENCE_TIMEOUT_S + 1):
        windows.append(fleet.measure(1.0))
        if fleet.has_converged():
            return {
                "storm": name,
                "hosts": sum(sizes),
                "groups": groups,
                "settled_after_s": elapsed,
                "bytes": sum(window.sent_bytes for window in windows),
                "peak_bytes_per_s": max(w.sent_bytes for w in windows),
                "cpu_ms": sum(window.cpu_ms for window in windows),
                "peak_cpu_ms_per_s": max(w.cpu_ms for w in windows),
            }
    raise RuntimeError(
        f"{name}: hosts did not converge in {CONVERGENCE_TIMEOUT_S} s"
    )


def main() -> None:
    """Measure all storms from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[30, 60, 120])
    parser.add_argument("--groups", type=int, default=90)
    options = parser.parse_args()
    points = [
        control_cost.print_point(
            measure_storm(name, host_count, options.groups)
        )
        for host_count in options.hosts
        for name in STORMS
    ]
    result = {"commit": control_cost.read_commit(), "points": points}
    OUTPUT_PATH.parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(result, indent=2) + "\n")
    print(f"written to {OUTPUT_PATH}")


if __name__ == "__main__":
    main()
