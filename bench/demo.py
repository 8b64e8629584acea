"""Demonstrate session consistency while a primary fails.

``python -m bench.demo`` starts a platform, two groups of three targets and
three entry hosts in three data centres, writes readings while a primary is
killed, and prints the results. It exits with 1 when a guarantee is violated.
"""

import sys
import time

import anyio

from bench import cluster
from bench import readings

WRITERS = 4
DURATION_S = 12.0
KILL_DELAY_S = 3.0
READS_PER_WRITE = 9
GROUP = "fog-1"


async def log_readings(session: readings.Session, ends_at: float) -> None:
    """Write readings and read them back until a monotonic time."""
    count = 0
    while time.monotonic() < ends_at:
        count += 1
        name = f"{session.name}-{count}"
        await session.write_reading(name, name)
        for _ in range(READS_PER_WRITE):
            await session.read_readings()
            await anyio.sleep(0.01)


async def write_twice(session: readings.Session) -> int:
    """Write a reading twice with one key; return the number of its rows."""
    await session.write_reading("first-key", "first")
    await session.write_reading("first-key", "first")
    rows = await session.read_readings()
    return rows.count("first")


async def run_scenario(system: cluster.Cluster) -> dict[str, str]:
    """Run the demo on a running system and return the results by title."""
    proxies = list(system.proxies.values())
    await readings.create_table(proxies[0], GROUP)
    technician = readings.Session("technician", GROUP, proxies)
    repeated_rows = await write_twice(technician)
    sessions = [
        readings.Session(f"writer-{n}", GROUP, proxies) for n in range(WRITERS)
    ]
    ends_at = time.monotonic() + DURATION_S
    async with anyio.create_task_group() as tasks:
        for session in sessions:
            tasks.start_soon(log_readings, session, ends_at)
        await anyio.sleep(KILL_DELAY_S)
        system.kill_process(f"{GROUP}-a")
    anomalies = await count_anomalies(technician, sessions)
    share = await fetch_replica_share(system)
    for session in [technician, *sessions]:
        await session.close()
    return {
        "writes acknowledged": str(sum(len(s.writes) for s in sessions)),
        "reads answered": str(sum(s.reads for s in sessions)),
        "replica share": f"{share:.1%}",
        "failover gap": f"{readings.compute_longest_gap(sessions):.2f} s",
        "doubled": str(anomalies["doubled"] + max(0, repeated_rows - 1)),
        "lost": str(anomalies["lost"]),
        "own writes not seen": str(sum(len(s.missed_values) for s in sessions)),
        "last write, to explain": sessions[0].decisions.get("write", ""),
        "last read, to explain": sessions[0].decisions.get("read", ""),
    }


async def count_anomalies(
    technician: readings.Session, sessions: list[readings.Session]
) -> dict[str, int]:
    """Return the numbers of lost and duplicate writes in the final data."""
    lost = 0
    doubled = 0
    for session in sessions:
        rows: list[str] = []
        while not rows:
            rows = await session.read_readings(max_age_ms=0)
        lost += sum(w.value not in rows for w in session.writes)
        doubled += len(rows) - len(set(rows))
    return {"lost": lost, "doubled": doubled}


async def fetch_replica_share(system: cluster.Cluster) -> float:
    """Return the share of eligible reads that replicas served."""
    counts = {"primary": 0, "replica": 0}
    for proxy in system.proxies.values():
        counters = await fetch_counters(system, proxy)
        for name in counts:
            counts[name] += counters.get(f"eligible reads by {name}", 0)
    return counts["replica"] / max(1, sum(counts.values()))


async def fetch_counters(
    system: cluster.Cluster, proxy: cluster.Member
) -> dict[str, int]:
    """Return the counters of one entry host."""
    status = await cluster.fetch_admin_json(system, proxy, "/v1/status")
    counters: dict[str, int] = status["counters"]
    return counters


def main() -> int:
    """Run the demo and return the exit code."""
    with cluster.Cluster(cluster.Layout()) as system:
        results = anyio.run(run_scenario, system)
    for name, value in results.items():
        print(f"{name:<24}{value}")
    violations = [
        name
        for name in ("doubled", "lost", "own writes not seen")
        if results[name] != "0"
    ]
    if violations:
        print(f"violated: {', '.join(violations)}", file=sys.stderr)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
