"""Measure the control path of real processes on loopback addresses."""

import contextlib
import json
import subprocess
import sys
from collections.abc import Iterator
from typing import Any

from standins import ports

DATA_CENTRES = 3
EXIT_TIMEOUT_S = 20.0


def measure_processes(count: int, seconds: float) -> list[dict[str, Any]]:
    """Start processes and return the measurements of each.

    Args:
        count: number of processes.
        seconds: length of the measurement.
    """
    with start_processes(count, seconds) as processes:
        results = []
        for process in processes:
            assert process.stdout is not None
            process.stdout.readline()
            results.append(json.loads(process.stdout.readline()))
        return results


@contextlib.contextmanager
def start_processes(
    count: int, seconds: float
) -> Iterator[list[subprocess.Popen[str]]]:
    """Start processes that connect to each other; stop them on exit."""
    addresses = [
        f"127.0.{number % DATA_CENTRES + 1}.{100 + number // DATA_CENTRES}"
        for number in range(count)
    ]
    free_ports = [ports.find_free_port(address) for address in addresses]
    processes: list[subprocess.Popen[str]] = []
    try:
        for number, address in enumerate(addresses):
            options = {
                "name": f"h{number}",
                "data-centre": f"dc{number % DATA_CENTRES + 1}",
                "address": address,
                "port": free_ports[number],
                "seed": f"{addresses[0]}:{free_ports[0]}",
                "hosts": count,
                "seconds": seconds,
            }
            processes.append(start_process(options))
        yield processes
    finally:
        for process in processes:
            stop_process(process)


def start_process(options: dict[str, Any]) -> subprocess.Popen[str]:
    """Start a host, which exits when its standard input is closed."""
    arguments = [f"--{name}={value}" for name, value in options.items()]
    return subprocess.Popen(
        [sys.executable, "-m", "bench.control_host", *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def stop_process(process: subprocess.Popen[str]) -> None:
    """Close a process's standard input and wait; kill it after a timeout."""
    assert process.stdin is not None
    process.stdin.close()
    try:
        process.wait(EXIT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
