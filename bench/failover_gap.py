"""Measure the time without acknowledged writes around a change of primary.

``python -m bench.failover_gap --runs 20 --kind kill`` starts a system for each
run, injects a fault of the primary under a write load, and prints the time from
the last acknowledged write before the change to the first one after it. The
phases of this gap come from the decision records of the entry hosts.
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
OUTPUT_DIRECTORY = cluster.ROOT / "out"
WRITERS = 4
WARM_UP_S = 1.5
MARGIN_S = 0.5
PROMOTION_TIMEOUT_S = 30.0
MILLISECONDS_PER_S = 1000.0
PERCENTILE = 0.99
MEDIAN_OBJECTIVES_MS = {
    "kill": 1500,
    "freeze": 1500,
    "cut": 1500,
    "switch": 300,
}
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
    """Results of one run.

    Attributes:
        gap_ms: time without acknowledged writes.
        parts_ms: lengths of the known phases of the gap, by name.
        promotions: number of promotions that ended as ``done``.
        errors: number of error answers, by SQLSTATE.
    """

    gap_ms: float
    parts_ms: dict[str, float]
    promotions: int
    errors: dict[str, int]


class DecisionRecord(NamedTuple):
    """Decision record with its time on the monotonic clock of this process."""

    at: float
    subject: str
    choice: str
    evidence: dict[str, Any]


async def kill_primary(system: cluster.Cluster) -> None:
    """Kill the primary's process."""
    system.kill_process(f"{GROUP}-a")


async def suspend_primary(system: cluster.Cluster) -> None:
    """Suspend the primary's process."""
    system.send_signal(f"{GROUP}-a", signal.SIGSTOP)


async def isolate_primary(system: cluster.Cluster) -> None:
    """Isolate the primary from the other data centres."""
    member = system.targets[f"{GROUP}-a"]
    async with await psycopg.AsyncConnection.connect(
        host=member.host, port=member.port, user="bench", autocommit=True
    ) as connection:
        text = json.dumps({"cut": ["127.0.2.", "127.0.3."]})
        await connection.execute(f"SELECT kt_fault('{text}')")


async def request_switch(system: cluster.Cluster) -> None:
    """Request a planned change of primary."""
    member = next(iter(system.proxies.values()))
    client = http_client.Client(member.host, member.admin_port)
    headers = {"authorization": f"Bearer {system.admin_token}"}
    body = json.dumps({"target": f"{GROUP}-b"}).encode()
    path = f"/v1/groups/{GROUP}/switch"
    request = http.Request("POST", path, headers, body)
    response = await client.send(request, cluster.ADMIN_TIMEOUT_S)
    await client.close()
    if response.status not in (200, 202):
        raise RuntimeError(
            f"planned change was not accepted: {response.body!r}"
        )


FaultInjector = Callable[[cluster.Cluster], Awaitable[None]]
FAULT_INJECTORS: dict[str, FaultInjector] = {
    "kill": kill_primary,
    "freeze": suspend_primary,
    "cut": isolate_primary,
    "switch": request_switch,
}


async def write_until_end(
    session: readings.Session, end_times: list[float]
) -> None:
    """Write readings until the end time.

    Args:
        session: session that writes.
        end_times: list to which another task adds the monotonic end time.
    """
    for count in itertools.count(1):
        if end_times and time.monotonic() > end_times[0]:
            return
        value = f"{session.name}-{count}"
        await session.write_reading(value, value)


async def measure(system: cluster.Cluster, kind: str) -> Run:
    """Inject one fault into a running system and measure the write gap."""
    members = list(system.proxies.values())
    await readings.create_table(members[0], GROUP)
    sessions = [
        readings.Session(f"writer-{n}", GROUP, members) for n in range(WRITERS)
    ]
    end_times: list[float] = []
    async with anyio.create_task_group() as tasks:
        for session in sessions:
            tasks.start_soon(write_until_end, session, end_times)
        await anyio.sleep(WARM_UP_S)
        counts = await count_decisions(system)
        injected_at = time.monotonic()
        await FAULT_INJECTORS[kind](system)
        records = await wait_for_promotion(system, counts)
        await wait_for_write(sessions, records)
        end_times.append(time.monotonic() + MARGIN_S)
    times = sorted(
        write.acknowledged_at
        for session in sessions
        for write in session.writes
        if write.acknowledged_at > injected_at - MARGIN_S
    )
    gap = max(itertools.pairwise(times), key=lambda pair: pair[1] - pair[0])
    errors: dict[str, int] = {}
    for session in sessions:
        await session.close()
        for sqlstate, count in session.errors.items():
            errors[sqlstate] = errors.get(sqlstate, 0) + count
    return Run(
        (gap[1] - gap[0]) * MILLISECONDS_PER_S,
        split_gap(gap, records),
        sum(record.choice == "done" for record in records),
        errors,
    )


def split_gap(
    gap: tuple[float, float], records: list[DecisionRecord]
) -> dict[str, float]:
    """Return the lengths of the phases of a gap in milliseconds.

    Args:
        gap: monotonic times of the last write before the gap and the first one
            after it.
        records: decision records of the failover, in the order of time.
    """
    done = next(record for record in records if record.choice == "done")
    entered = done.evidence["entered_ms"]
    started_at = min(
        record.at
        for record in records
        if record.choice.startswith("begin")
        and record.evidence["operation"] == done.evidence["operation"]
    )
    failure_times = [
        record.at
        for record in records
        if record.choice == "count as failed" and record.at <= done.at
    ]
    detected_at = min(failure_times, default=started_at)
    parts = {
        "detection": (detected_at - gap[0]) * MILLISECONDS_PER_S,
        "agreement": (started_at - detected_at) * MILLISECONDS_PER_S,
        "spread": (gap[1] - done.at) * MILLISECONDS_PER_S,
        "opening": (done.at - started_at) * MILLISECONDS_PER_S
        - entered["opening"],
    }
    phase_bounds = {
        "status": ("prevoting", "reserving"),
        "update": ("reserving", "fencing"),
        "fencing": ("fencing", "choosing"),
        "choice": ("choosing", "opening"),
    }
    for name, (begin, end) in phase_bounds.items():
        if begin in entered and end in entered:
            parts[name] = entered[end] - entered[begin]
    return parts


async def wait_for_promotion(
    system: cluster.Cluster, counts: dict[str, int]
) -> list[DecisionRecord]:
    """Wait until a promotion is done and return the failover records.

    Args:
        system: system to observe.
        counts: number of decisions before the fault, by host; updated.

    Raises:
        RuntimeError: the change of primary was given up.
        TimeoutError: no promotion is done in time.
    """
    records: list[DecisionRecord] = []
    with anyio.fail_after(PROMOTION_TIMEOUT_S):
        while not any(record.choice == "done" for record in records):
            await anyio.sleep(MARGIN_S)
            records += await fetch_records(system, counts)
            for record in records:
                if record.choice == "give up":
                    raise RuntimeError(
                        f"change of primary was given up: {record}"
                    )
    return sorted(records)


async def wait_for_write(
    sessions: list[readings.Session], records: list[DecisionRecord]
) -> None:
    """Wait for a write that is acknowledged after the promotion.

    Raises:
        TimeoutError: no write is acknowledged in time.
    """
    done_at = max(record.at for record in records if record.choice == "done")
    with anyio.fail_after(PROMOTION_TIMEOUT_S):
        while not any(
            session.writes and session.writes[-1].acknowledged_at > done_at
            for session in sessions
        ):
            await anyio.sleep(0.05)


async def count_decisions(system: cluster.Cluster) -> dict[str, int]:
    """Return the number of recorded decisions of each entry host."""
    counts = {}
    for name, member in system.proxies.items():
        status = await cluster.fetch_admin_json(system, member, "/v1/status")
        counts[name] = status["decisions"]
    return counts


async def fetch_records(
    system: cluster.Cluster, counts: dict[str, int]
) -> list[DecisionRecord]:
    """Return the failover records since the counts, and update the counts."""
    records: list[DecisionRecord] = []
    for name, member in system.proxies.items():
        status = await cluster.fetch_admin_json(system, member, "/v1/status")
        client = http_client.Client(member.host, member.admin_port)
        for count in range(counts[name] + 1, status["decisions"] + 1):
            record_id = f"{name}-{status['incarnation']}-{count}"
            record = await fetch_record(system, client, record_id)
            if record:
                records.append(record)
        counts[name] = status["decisions"]
        await client.close()
    return records


async def fetch_record(
    system: cluster.Cluster, client: http_client.Client, record_id: str
) -> DecisionRecord | None:
    """Return a decision record, or None if it isn't a failover record."""
    headers = {"authorization": f"Bearer {system.admin_token}"}
    request = http.Request("GET", f"/v1/decisions/{record_id}", headers, b"")
    response = await client.send(request, cluster.ADMIN_TIMEOUT_S)
    if response.status != 200:
        return None
    value = json.loads(response.body)
    if value["part"] != "failover":
        return None
    at = time.monotonic() - value["ago_ms"] / MILLISECONDS_PER_S
    return DecisionRecord(
        at, value["subject"], value["choice"], value["evidence"]
    )


def summarize(kind: str, runs: list[Run]) -> dict[str, Any]:
    """Return the statistics of all runs."""
    gaps = sorted(run.gap_ms for run in runs)
    parts = {
        name: round(statistics.median(known_ms))
        for name in PART_NAMES
        if (known_ms := [r.parts_ms[name] for r in runs if name in r.parts_ms])
    }
    return {
        "kind": kind,
        "runs": len(runs),
        "median_ms": round(statistics.median(gaps)),
        "p99_ms": round(gaps[min(len(gaps) - 1, int(len(gaps) * PERCENTILE))]),
        "max_ms": round(gaps[-1]),
        "median_aim_ms": MEDIAN_OBJECTIVES_MS[kind],
        "median_parts_ms": parts,
        "promotions": [run.promotions for run in runs],
        "gaps_ms": [round(run.gap_ms) for run in runs],
        "runs_in_full": [run._asdict() for run in runs],
    }


def main() -> None:
    """Run the measurement from the command line."""
    parser = argparse.ArgumentParser(prog="bench.failover_gap")
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument(
        "--kind", choices=sorted(FAULT_INJECTORS), default="kill"
    )
    arguments = parser.parse_args()
    runs = []
    for number in range(arguments.runs):
        with cluster.Cluster(LAYOUT) as system:
            runs.append(anyio.run(measure, system, arguments.kind))
        print(f"run {number + 1}: {runs[-1].gap_ms:.0f} ms", flush=True)
    summary = summarize(arguments.kind, runs)
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    path = pathlib.Path(OUTPUT_DIRECTORY, f"failover_gap_{arguments.kind}.json")
    path.write_text(json.dumps(summary, indent=2))
    for name in ("median_ms", "p99_ms", "max_ms", "median_parts_ms"):
        print(f"{name:<18}{summary[name]}")


if __name__ == "__main__":
    main()
