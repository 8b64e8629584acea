"""Measure the time without acknowledged writes around a change of primary.

``python -m bench.failover_gap --runs 20 --kind kill`` starts a system for each
run, disturbs the primary of its group under writes, and prints the gap from
the last write acknowledged before to the first one after, with its parts as
the decision records of the entry hosts tell them.
"""

import argparse
import itertools
import json
import pathlib
import signal
import statistics
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio
import psycopg

from bench import cluster
from bench import readings
from knapweedtally.utils import http
from knapweedtally.utils import http_client

GROUP = "fog-1"
LAYOUT = cluster.Layout(groups=(GROUP,))
OUT = cluster.ROOT / "out"
WRITERS = 4
WARM_UP_S = 1.5
AFTERWARDS_S = 0.5
LIMIT_S = 30.0
MS = 1000.0
PERCENTILE = 0.99
MEDIAN_AIMS_MS = {"kill": 1500, "freeze": 1500, "cut": 1500, "switch": 300}
PART_NAMES = (
    "detection",
    "agreement",
    "status",
    "update",
    "fencing",
    "choice",
    "opening",
    "spread",
)


class Run(NamedTuple):
    """Hold what one run gave.

    Attributes:
        gap_ms: time without acknowledged writes.
        parts_ms: parts of the gap by name; those that are known.
        promotions: promotions that ended as done.
        errors: error answers by SQLSTATE.
    """

    gap_ms: float
    parts_ms: dict[str, float]
    promotions: int
    errors: dict[str, int]


class Record(NamedTuple):
    """Hold a decision record with the time of this process's clock."""

    at: float
    subject: str
    choice: str
    evidence: dict[str, Any]


async def kill_primary(system: cluster.Cluster) -> None:
    """Kill the primary's process."""
    system.kill(f"{GROUP}-a")


async def freeze_primary(system: cluster.Cluster) -> None:
    """Freeze the primary's process."""
    system.send_signal(f"{GROUP}-a", signal.SIGSTOP)


async def cut_primary(system: cluster.Cluster) -> None:
    """Cut the primary off from the other data centres."""
    member = system.targets[f"{GROUP}-a"]
    async with await psycopg.AsyncConnection.connect(
        host=member.host, port=member.port, user="bench", autocommit=True
    ) as connection:
        text = json.dumps({"cut": ["127.0.2.", "127.0.3."]})
        await connection.execute(f"SELECT kt_fault('{text}')")


async def switch_primary(system: cluster.Cluster) -> None:
    """Ask for a planned change."""
    member = next(iter(system.proxies.values()))
    client = http_client.Client(member.host, member.admin_port)
    headers = {"authorization": f"Bearer {system.admin_token}"}
    body = json.dumps({"target": f"{GROUP}-b"}).encode()
    path = f"/v1/groups/{GROUP}/switch"
    request = http.Request("POST", path, headers, body)
    response = await client.send(request, cluster.ADMIN_TIMEOUT_S)
    await client.close()
    if response.status not in (200, 202):
        raise RuntimeError(f"switch was refused: {response.body!r}")


Disturb = Callable[[cluster.Cluster], Awaitable[None]]
KINDS: dict[str, Disturb] = {
    "kill": kill_primary,
    "freeze": freeze_primary,
    "cut": cut_primary,
    "switch": switch_primary,
}


async def write_steadily(session: readings.Session, ends: list[float]) -> None:
    """Write until the end that another task sets."""
    for count in itertools.count(1):
        if ends and time.monotonic() > ends[0]:
            return
        value = f"{session.name}-{count}"
        await session.write_reading(value, value)


async def measure(system: cluster.Cluster, kind: str) -> Run:
    """Disturb a running system once and measure."""
    members = list(system.proxies.values())
    await readings.prepare(members[0], GROUP)
    sessions = [
        readings.Session(f"writer-{n}", GROUP, members) for n in range(WRITERS)
    ]
    ends: list[float] = []
    async with anyio.create_task_group() as tasks:
        for session in sessions:
            tasks.start_soon(write_steadily, session, ends)
        await anyio.sleep(WARM_UP_S)
        counts = await count_decisions(system)
        disturbed_at = time.monotonic()
        await KINDS[kind](system)
        records = await wait_done(system, counts)
        await wait_write(sessions, records)
        ends.append(time.monotonic() + AFTERWARDS_S)
    times = sorted(
        write.acknowledged_at
        for session in sessions
        for write in session.writes
        if write.acknowledged_at > disturbed_at - AFTERWARDS_S
    )
    gap = max(itertools.pairwise(times), key=lambda pair: pair[1] - pair[0])
    errors: dict[str, int] = {}
    for session in sessions:
        await session.close()
        for sqlstate, count in session.errors.items():
            errors[sqlstate] = errors.get(sqlstate, 0) + count
    return Run(
        (gap[1] - gap[0]) * MS,
        split_gap(gap, records),
        sum(record.choice == "done" for record in records),
        errors,
    )


def split_gap(
    gap: tuple[float, float], records: list[Record]
) -> dict[str, float]:
    """Return the parts of a gap in milliseconds."""
    done = next(record for record in records if record.choice == "done")
    entered = done.evidence["entered_ms"]
    started_at = min(
        record.at
        for record in records
        if record.choice.startswith("begin")
        and record.evidence["operation"] == done.evidence["operation"]
    )
    verdicts = [
        record.at
        for record in records
        if record.choice == "count as failed" and record.at <= done.at
    ]
    detected_at = min(verdicts, default=started_at)
    parts = {
        "detection": (detected_at - gap[0]) * MS,
        "agreement": (started_at - detected_at) * MS,
        "spread": (gap[1] - done.at) * MS,
        "opening": (done.at - started_at) * MS - entered["opening"],
    }
    marks = {
        "status": ("prevoting", "reserving"),
        "update": ("reserving", "fencing"),
        "fencing": ("fencing", "choosing"),
        "choice": ("choosing", "opening"),
    }
    for name, (begin, end) in marks.items():
        if begin in entered and end in entered:
            parts[name] = entered[end] - entered[begin]
    return parts


async def wait_done(
    system: cluster.Cluster, counts: dict[str, int]
) -> list[Record]:
    """Wait for the end of a promotion; return failover's records since."""
    records: list[Record] = []
    with anyio.fail_after(LIMIT_S):
        while not any(record.choice == "done" for record in records):
            await anyio.sleep(AFTERWARDS_S)
            records += await fetch_records(system, counts)
            for record in records:
                if record.choice == "give up":
                    raise RuntimeError(f"change was given up: {record}")
    return sorted(records)


async def wait_write(
    sessions: list[readings.Session], records: list[Record]
) -> None:
    """Wait for a write that is acknowledged after the promotion."""
    done_at = max(record.at for record in records if record.choice == "done")
    with anyio.fail_after(LIMIT_S):
        while not any(
            session.writes and session.writes[-1].acknowledged_at > done_at
            for session in sessions
        ):
            await anyio.sleep(0.05)


async def count_decisions(system: cluster.Cluster) -> dict[str, int]:
    """Return how many decisions each entry host has recorded."""
    counts = {}
    for name, member in system.proxies.items():
        status = await cluster.fetch_json(system, member, "/v1/status")
        counts[name] = status["decisions"]
    return counts


async def fetch_records(
    system: cluster.Cluster, counts: dict[str, int]
) -> list[Record]:
    """Return the failover part's records after the counts, and move these."""
    records: list[Record] = []
    for name, member in system.proxies.items():
        status = await cluster.fetch_json(system, member, "/v1/status")
        client = http_client.Client(member.host, member.admin_port)
        for count in range(counts[name] + 1, status["decisions"] + 1):
            identity = f"{name}-{status['incarnation']}-{count}"
            record = await fetch_record(system, client, identity)
            if record:
                records.append(record)
        counts[name] = status["decisions"]
        await client.close()
    return records


async def fetch_record(
    system: cluster.Cluster, client: http_client.Client, identity: str
) -> Record | None:
    """Return a record of the failover part, None for other parts' ones."""
    headers = {"authorization": f"Bearer {system.admin_token}"}
    request = http.Request("GET", f"/v1/decisions/{identity}", headers, b"")
    response = await client.send(request, cluster.ADMIN_TIMEOUT_S)
    if response.status != 200:
        return None
    value = json.loads(response.body)
    if value["part"] != "failover":
        return None
    at = time.monotonic() - value["ago_ms"] / MS
    return Record(at, value["subject"], value["choice"], value["evidence"])


def summarize(kind: str, runs: list[Run]) -> dict[str, Any]:
    """Return the figures of all runs."""
    gaps = sorted(run.gap_ms for run in runs)
    parts = {
        name: round(statistics.median(found))
        for name in PART_NAMES
        if (found := [r.parts_ms[name] for r in runs if name in r.parts_ms])
    }
    return {
        "kind": kind,
        "runs": len(runs),
        "median_ms": round(statistics.median(gaps)),
        "p99_ms": round(gaps[min(len(gaps) - 1, int(len(gaps) * PERCENTILE))]),
        "max_ms": round(gaps[-1]),
        "median_aim_ms": MEDIAN_AIMS_MS[kind],
        "median_parts_ms": parts,
        "promotions": [run.promotions for run in runs],
        "gaps_ms": [round(run.gap_ms) for run in runs],
        "runs_in_full": [run._asdict() for run in runs],
    }


def main() -> None:
    """Run as the command line asks."""
    parser = argparse.ArgumentParser(prog="bench.failover_gap")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--kind", choices=sorted(KINDS), default="kill")
    arguments = parser.parse_args()
    runs = []
    for number in range(arguments.runs):
        with cluster.Cluster(LAYOUT) as system:
            runs.append(anyio.run(measure, system, arguments.kind))
        print(f"run {number + 1}: {runs[-1].gap_ms:.0f} ms", flush=True)
    summary = summarize(arguments.kind, runs)
    OUT.mkdir(exist_ok=True)
    path = pathlib.Path(OUT, f"failover_gap_{arguments.kind}.json")
    path.write_text(json.dumps(summary, indent=2))
    for name in ("median_ms", "p99_ms", "max_ms", "median_parts_ms"):
        print(f"{name:<18}{summary[name]}")


if __name__ == "__main__":
    main()
