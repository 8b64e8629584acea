"""Measure the memory and processor time of a proxy with idle connections."""

import resource
from typing import Any

import anyio
import psutil

from bench import client
from bench import experiments
from bench import load
from bench import systems

SETTLE_S = 2.0
MEASURE_S = 4.0
BYTES_PER_KIB = 1024
# Number of connections that are opened concurrently.
CONNECTION_BATCH_SIZE = 50
SPARE_FILE_DESCRIPTORS = 200


def measure_idle(counts: list[int]) -> dict[str, Any]:
    """Measure resident memory and processor time by number of connections.

    Args:
        counts: numbers of connections to measure.

    Returns:
        Results of the experiment, as the results file has them.
    """
    raise_file_limit(max(counts) + SPARE_FILE_DESCRIPTORS)
    configuration = systems.Configuration(
        "proxy", layout=experiments.ONE_GROUP, entry_host_limit=1
    )
    system = systems.System(configuration)
    with system.cluster:
        points = anyio.run(_measure_points, system, sorted({0, *counts}))
    lowest, highest = points[0], points[-1]
    growth_kib = highest["resident_kib"] - lowest["resident_kib"]
    return {
        "title": "idle connections of callers to one proxy process",
        "points": points,
        "kib_per_connection": round(
            growth_kib / (highest["connections"] - lowest["connections"]), 2
        ),
    }


async def _measure_points(
    system: systems.System, counts: list[int]
) -> list[dict[str, Any]]:
    addresses_by_group = system.list_addresses()
    await load.create_tables(addresses_by_group)
    ((group, (address,)),) = addresses_by_group.items()
    name = next(iter(system.cluster.proxies))
    process = psutil.Process(system.cluster.processes[name].pid)
    opened: list[client.Connection] = []
    points = []
    for count in counts:
        while len(opened) < count:
            await _open_connections(
                opened,
                min(CONNECTION_BATCH_SIZE, count - len(opened)),
                address,
                group,
            )
        await anyio.sleep(SETTLE_S)
        points.append(await _measure_point(process, len(opened)))
    for connection in opened:
        await connection.close()
    return points


async def _open_connections(
    opened: list[client.Connection],
    count: int,
    address: client.Address,
    group: str,
) -> None:
    """Open connections and run a write on each, as an active session does."""

    async def open_connection(number: int) -> None:
        connection = await client.Connection.connect(
            address, f"caller-{number}", group
        )
        await connection.run_statements(
            "INSERT INTO marks (session, value) VALUES ('idle', 1)"
        )
        opened.append(connection)

    first = len(opened)
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(open_connection, first + number)


async def _measure_point(
    process: psutil.Process, connections: int
) -> dict[str, Any]:
    before = process.cpu_times()
    await anyio.sleep(MEASURE_S)
    after = process.cpu_times()
    used_s = after.user + after.system - before.user - before.system
    return {
        "connections": connections,
        "resident_kib": process.memory_info().rss // BYTES_PER_KIB,
        "cores": round(used_s / MEASURE_S, 4),
    }


def raise_file_limit(needed: int) -> None:
    """Raise the soft limit of open files, at most to the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(needed, hard), hard))
