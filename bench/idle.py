"""Measure what idle callers' connections cost one proxy process."""

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
KIBIBYTE = 1024
# Connections are opened this many at a time.
BATCH = 50
SPARE_FILES = 200


def measure_idle(counts: list[int]) -> dict[str, Any]:
    """Return resident memory and processor time at numbers of connections."""
    raise_file_limit(max(counts) + SPARE_FILES)
    configuration = systems.Configuration(
        "proxy", layout=experiments.ONE_GROUP, entry_limit=1
    )
    system = systems.System(configuration)
    with system.cluster:
        points = anyio.run(_measure_points, system, sorted({0, *counts}))
    lowest, highest = points[0], points[-1]
    grown = highest["resident_kib"] - lowest["resident_kib"]
    return {
        "title": "idle connections of callers to one proxy process",
        "points": points,
        "kib_per_connection": round(
            grown / (highest["connections"] - lowest["connections"]), 2
        ),
    }


async def _measure_points(
    system: systems.System, counts: list[int]
) -> list[dict[str, Any]]:
    entries = system.list_entries()
    await load.create_tables(entries)
    ((group, (address,)),) = entries.items()
    name = next(iter(system.cluster.proxies))
    process = psutil.Process(system.cluster.processes[name].pid)
    held: list[client.Connection] = []
    points = []
    for count in counts:
        while len(held) < count:
            await _open_some(
                held, min(BATCH, count - len(held)), address, group
            )
        await anyio.sleep(SETTLE_S)
        points.append(await _measure_point(process, len(held)))
    for connection in held:
        await connection.close()
    return points


async def _open_some(
    held: list[client.Connection],
    count: int,
    address: client.Address,
    group: str,
) -> None:
    """Open connections and run a write on each, as a live session has."""

    async def open_one(number: int) -> None:
        connection = await client.Connection.connect(
            address, f"caller-{number}", group
        )
        await connection.run_statements(
            "INSERT INTO marks (session, value) VALUES ('idle', 1)"
        )
        held.append(connection)

    first = len(held)
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(open_one, first + number)


async def _measure_point(
    process: psutil.Process, connections: int
) -> dict[str, Any]:
    before = process.cpu_times()
    await anyio.sleep(MEASURE_S)
    after = process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return {
        "connections": connections,
        "resident_kib": process.memory_info().rss // KIBIBYTE,
        "cores": round(used / MEASURE_S, 4),
    }


def raise_file_limit(needed: int) -> None:
    """Raise the soft limit of open files within the hard one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < needed:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(needed, hard), hard))
