"""Measure the cost of systems without callers.

``python -m bench.rest_cost`` starts systems of several sizes one after the
other. For each system, it writes the mean processor time and resident memory of
a proxy and the rate of calls to the platform to ``out/rest_cost.json``.
"""

import json
import pathlib
import time
from typing import Any
from typing import NamedTuple

import anyio
import psutil

from bench import cluster
from knapweedtally.utils import http
from knapweedtally.utils import http_client

SETTLE_S = 8.0
MEASURE_S = 20.0
OUTPUT_PATH = cluster.ROOT / "out" / "rest_cost.json"


class Size(NamedTuple):
    """Size of a system of three data centres."""

    hosts_per_centre: int
    groups: int


SIZES = (Size(1, 1), Size(3, 1), Size(1, 8))


def measure(size: Size) -> dict[str, Any]:
    """Start a system and return its cost while idle."""
    groups = tuple(f"fog-{number}" for number in range(size.groups))
    layout = cluster.Layout(
        groups=groups, hosts_per_centre=size.hosts_per_centre
    )
    with cluster.Cluster(layout) as system:
        time.sleep(SETTLE_S)
        hosts = [
            psutil.Process(system.processes[name].pid)
            for name in system.proxies
        ]
        calls_before = anyio.run(fetch_counters, system)
        processor_before_s = sum(read_processor_time_s(host) for host in hosts)
        time.sleep(MEASURE_S)
        processor_s = (
            sum(read_processor_time_s(host) for host in hosts)
            - processor_before_s
        )
        calls = anyio.run(fetch_counters, system)
        resident = sum(host.memory_info().rss for host in hosts)
    return {
        **size._asdict(),
        "processor_ms_per_s": processor_s / len(hosts) / MEASURE_S * 1000,
        "resident_mb": resident / len(hosts) / 1e6,
        "platform_calls_per_s": {
            kind: (count - calls_before.get(kind, 0)) / MEASURE_S
            for kind, count in calls.items()
        },
    }


def read_processor_time_s(process: psutil.Process) -> float:
    """Return the processor time of a process in seconds."""
    times = process.cpu_times()
    return float(times.user + times.system)


async def fetch_counters(system: cluster.Cluster) -> dict[str, int]:
    """Return the platform's numbers of calls by kind."""
    client = http_client.Client(cluster.PLATFORM_HOST, system.platform_port)
    response = await client.send(http.Request("GET", "/counters"), 5.0)
    await client.close()
    counters: dict[str, Any] = json.loads(response.body)
    return {k: v for k, v in counters.items() if isinstance(v, int)}


def main() -> None:
    """Measure each size and write the results."""
    results = []
    for size in SIZES:
        results.append(measure(size))
        print(json.dumps(results[-1]), flush=True)
    pathlib.Path(OUTPUT_PATH).parent.mkdir(exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
