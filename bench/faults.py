"""Read a faults file and inject its faults.

The file is a YAML list; each entry states a fault and the second at which it
starts, counted from the end of the warm-up::

    - {at_s: 5, do: kill, name: fog-1-a}
    - {at_s: 8, do: freeze, name: sala-norte-1, for_s: 3}
    - {at_s: 12, do: cut, prefix: "127.0.2.", for_s: 4}
    - {at_s: 15, do: platform, value: {mode: down}, for_s: 10}
    - {at_s: 18, do: target, name: fog-1-b, value: {apply_lag_ms: 500}}
    - {at_s: 20, do: switch, group: fog-1, name: fog-1-b}
"""

import json
import pathlib
import signal
import time
from typing import Any
from typing import NamedTuple

import anyio
import yaml

from bench import client
from bench import cluster
from knapweedtally.utils import http
from knapweedtally.utils import http_client

API_TIMEOUT_S = 10.0


class FaultsError(Exception):
    """The faults file is unreadable or invalid."""


class Fault(NamedTuple):
    """Entry of a faults file.

    Attributes:
        at_s: second of the run at which the fault starts.
        do: kind of fault; a key of ``ACTIONS``.
        name: process that the fault affects; the new primary for ``switch``.
        group: group for ``switch``.
        prefix: prefix of the addresses that ``cut`` isolates from the other
            targets and the platform.
        value: fault settings of the platform or of a target stand-in.
        for_s: duration of the fault; 0 if it doesn't end.
    """

    at_s: float
    do: str
    name: str = ""
    group: str = ""
    prefix: str = ""
    value: dict[str, Any] = {}
    for_s: float = 0.0


class Event(NamedTuple):
    """Fault that was injected, and the monotonic time of its start."""

    fault: Fault
    at: float


def read_faults(path: str) -> list[Fault]:
    """Return the faults of a file in the order of their times.

    Raises:
        FaultsError: the file is unreadable, or an entry is invalid; the
            message names the entry.
    """
    try:
        entries = yaml.safe_load(pathlib.Path(path).read_text("utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise FaultsError(f"{path}: {error}") from error
    if not isinstance(entries, list):
        raise FaultsError(f"{path}: expected a YAML list of faults")
    return sorted(map(_read_fault, entries), key=lambda fault: fault.at_s)


def _read_fault(entry: Any) -> Fault:
    try:
        fault = Fault(**entry)
    except TypeError as error:
        raise FaultsError(f"fault {entry!r}: {error}") from error
    if fault.do not in ACTIONS:
        raise FaultsError(
            f"fault {entry!r}: do must be one of {sorted(ACTIONS)}"
        )
    return fault


async def inject_faults(
    system: cluster.Cluster, faults: list[Fault], events: list[Event]
) -> None:
    """Inject faults at their times from now on and record each one.

    Args:
        system: system that the faults affect.
        faults: faults, earliest first.
        events: list to which each injected fault is appended.
    """
    started_at = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for fault in faults:
            delay = started_at + fault.at_s - time.monotonic()
            await anyio.sleep(max(0.0, delay))
            events.append(Event(fault, time.monotonic()))
            tasks.start_soon(_inject_fault, system, fault)


async def _inject_fault(system: cluster.Cluster, fault: Fault) -> None:
    begin, end = ACTIONS[fault.do]
    await begin(system, fault)
    if fault.for_s and end is not None:
        await anyio.sleep(fault.for_s)
        await end(system, fault)


async def _kill_process(system: cluster.Cluster, fault: Fault) -> None:
    system.kill_process(fault.name)


async def _suspend_process(system: cluster.Cluster, fault: Fault) -> None:
    system.send_signal(fault.name, signal.SIGSTOP)


async def _resume_process(system: cluster.Cluster, fault: Fault) -> None:
    system.send_signal(fault.name, signal.SIGCONT)


async def _partition_data_centre(system: cluster.Cluster, fault: Fault) -> None:
    """Isolate a data centre from the other targets and the platform.

    Links between entry hosts stay up: no stand-in handles their traffic.
    """
    prefixes = {
        member.host.rpartition(".")[0] + "."
        for member in system.targets.values()
    }
    other_prefixes = sorted(prefixes - {fault.prefix})
    await _set_platform_faults(system, {"cut": [fault.prefix]})
    for target_id, member in system.targets.items():
        is_isolated = member.host.startswith(fault.prefix)
        cut_prefixes = other_prefixes if is_isolated else [fault.prefix]
        await set_target_faults(system, target_id, {"cut": cut_prefixes})


async def _heal_partition(system: cluster.Cluster, fault: Fault) -> None:
    await _set_platform_faults(system, {"cut": []})
    for target_id in system.targets:
        await set_target_faults(system, target_id, {"cut": []})


async def _begin_platform_faults(system: cluster.Cluster, fault: Fault) -> None:
    await _set_platform_faults(system, fault.value)


async def _end_platform_faults(system: cluster.Cluster, fault: Fault) -> None:
    await _set_platform_faults(system, {"mode": "up", "cut": []})


async def _set_platform_faults(
    system: cluster.Cluster, value: dict[str, Any]
) -> None:
    member = cluster.Member(
        "platform", cluster.PLATFORM_HOST, system.platform_port, ""
    )
    await _post_json(member.host, member.port, "/faults", value, {})


async def _begin_target_faults(system: cluster.Cluster, fault: Fault) -> None:
    await set_target_faults(system, fault.name, fault.value)


async def set_target_faults(
    system: cluster.Cluster, target_id: str, value: dict[str, Any]
) -> None:
    """Set the faults of a target stand-in, if its process is running.

    Args:
        system: system that the target belongs to.
        target_id: id of the target.
        value: fault settings, as ``kt_fault`` takes them.
    """
    if target_id not in system.processes:
        return
    member = system.targets[target_id]
    address = client.Address(member.host, member.port)
    connection = await client.Connection.connect(address, "bench", "control")
    await connection.run_statements(f"SELECT kt_fault('{json.dumps(value)}')")
    await connection.close()


async def _request_switch(system: cluster.Cluster, fault: Fault) -> None:
    """Request a planned change of primary through the first host's API."""
    member = next(iter(system.proxies.values()))
    await _post_json(
        member.host,
        member.admin_port,
        f"/v1/groups/{fault.group}/switch",
        {"target": fault.name},
        {"authorization": f"Bearer {system.admin_token}"},
    )


async def _post_json(
    host: str,
    port: int,
    path: str,
    value: dict[str, Any],
    headers: dict[str, str],
) -> None:
    api_client = http_client.Client(host, port)
    body = json.dumps(value).encode()
    request = http.Request("POST", path, headers, body)
    try:
        response = await api_client.send(request, API_TIMEOUT_S)
    finally:
        await api_client.close()
    if response.status >= 300:
        raise RuntimeError(
            f"POST {path}: status {response.status}, body {response.body!r}"
        )


# Functions that start and end a fault, by the kind in a faults file; None where
# a fault has no end.
ACTIONS: dict[str, tuple[Any, Any]] = {
    "cut": (_partition_data_centre, _heal_partition),
    "freeze": (_suspend_process, _resume_process),
    "kill": (_kill_process, None),
    "platform": (_begin_platform_faults, _end_platform_faults),
    "switch": (_request_switch, None),
    "target": (_begin_target_faults, None),
}
