"""Read a faults file and make its faults happen.

The file is a YAML list; each entry says at which second, warm-up
not included, what happens::

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

CALL_TIMEOUT_S = 10.0


class FaultsError(Exception):
    """Report a faults file that can't be used."""


class Fault(NamedTuple):
    """State one fault.

    Attributes:
        at_s: second of the run.
        do: what happens; a key of ``ACTIONS``.
        name: process that it happens to.
        group: group, for a switch.
        prefix: address prefix that a cut takes off targets and platform.
        value: faults of the platform or of a target stand-in.
        for_s: time after which it ends; 0 for no end.
    """

    at_s: float
    do: str
    name: str = ""
    group: str = ""
    prefix: str = ""
    value: dict[str, Any] = {}
    for_s: float = 0.0


class Event(NamedTuple):
    """Record a fault that happened, at a monotonic time."""

    fault: Fault
    at: float


def read_faults(path: str) -> list[Fault]:
    """Return the faults of a file, earliest first.

    Raises:
        FaultsError: the file can't be read; names the entry.
    """
    try:
        entries = yaml.safe_load(pathlib.Path(path).read_text("utf-8"))
    except (OSError, yaml.YAMLError) as error:
        raise FaultsError(f"{path}: {error}") from error
    if not isinstance(entries, list):
        raise FaultsError(f"{path}: expected a list of faults")
    return sorted(map(_read_fault, entries), key=lambda fault: fault.at_s)


def _read_fault(entry: Any) -> Fault:
    try:
        fault = Fault(**entry)
    except TypeError as error:
        raise FaultsError(f"fault {entry!r}: {error}") from error
    if fault.do not in ACTIONS:
        raise FaultsError(f"fault {entry!r}: do is one of {sorted(ACTIONS)}")
    return fault


async def run_faults(
    system: cluster.Cluster, faults: list[Fault], events: list[Event]
) -> None:
    """Make faults happen from now on, and note each one."""
    begun_at = time.monotonic()
    async with anyio.create_task_group() as tasks:
        for fault in faults:
            delay = begun_at + fault.at_s - time.monotonic()
            await anyio.sleep(max(0.0, delay))
            events.append(Event(fault, time.monotonic()))
            tasks.start_soon(_run_fault, system, fault)


async def _run_fault(system: cluster.Cluster, fault: Fault) -> None:
    begin, end = ACTIONS[fault.do]
    await begin(system, fault)
    if fault.for_s and end is not None:
        await anyio.sleep(fault.for_s)
        await end(system, fault)


async def _kill(system: cluster.Cluster, fault: Fault) -> None:
    system.kill(fault.name)


async def _freeze(system: cluster.Cluster, fault: Fault) -> None:
    system.send_signal(fault.name, signal.SIGSTOP)


async def _thaw(system: cluster.Cluster, fault: Fault) -> None:
    system.send_signal(fault.name, signal.SIGCONT)


async def _cut(system: cluster.Cluster, fault: Fault) -> None:
    """Cut a data centre's addresses off from targets and the platform.

    Links between entry hosts have no stand-in that could hold them back.
    """
    prefixes = {
        member.host.rpartition(".")[0] + "."
        for member in system.targets.values()
    }
    others = sorted(prefixes - {fault.prefix})
    await _set_platform(system, {"cut": [fault.prefix]})
    for target_id, member in system.targets.items():
        is_inside = member.host.startswith(fault.prefix)
        cut = others if is_inside else [fault.prefix]
        await set_target(system, target_id, {"cut": cut})


async def _mend(system: cluster.Cluster, fault: Fault) -> None:
    await _set_platform(system, {"cut": []})
    for target_id in system.targets:
        await set_target(system, target_id, {"cut": []})


async def _disturb_platform(system: cluster.Cluster, fault: Fault) -> None:
    await _set_platform(system, fault.value)


async def _restore_platform(system: cluster.Cluster, fault: Fault) -> None:
    await _set_platform(system, {"mode": "up", "cut": []})


async def _set_platform(system: cluster.Cluster, value: dict[str, Any]) -> None:
    member = cluster.Member(
        "platform", cluster.PLATFORM_HOST, system.platform_port, ""
    )
    await _post(member.host, member.port, "/faults", value, {})


async def _disturb_target(system: cluster.Cluster, fault: Fault) -> None:
    await set_target(system, fault.name, fault.value)


async def set_target(
    system: cluster.Cluster, target_id: str, value: dict[str, Any]
) -> None:
    """Set faults of a target stand-in; none if its process is gone."""
    if target_id not in system.processes:
        return
    member = system.targets[target_id]
    address = client.Address(member.host, member.port)
    connection = await client.Connection.connect(address, "bench", "control")
    await connection.run_statements(f"SELECT kt_fault('{json.dumps(value)}')")
    await connection.close()


async def _switch(system: cluster.Cluster, fault: Fault) -> None:
    """Ask for a planned change through the first host's API."""
    member = next(iter(system.proxies.values()))
    await _post(
        member.host,
        member.admin_port,
        f"/v1/groups/{fault.group}/switch",
        {"target": fault.name},
        {"authorization": f"Bearer {system.admin_token}"},
    )


async def _post(
    host: str,
    port: int,
    path: str,
    value: dict[str, Any],
    headers: dict[str, str],
) -> None:
    poster = http_client.Client(host, port)
    body = json.dumps(value).encode()
    request = http.Request("POST", path, headers, body)
    try:
        response = await poster.send(request, CALL_TIMEOUT_S)
    finally:
        await poster.close()
    if response.status >= 300:
        raise RuntimeError(f"{path}: {response.status} {response.body!r}")


# What begins a fault, and what ends it after its time.
ACTIONS: dict[str, tuple[Any, Any]] = {
    "cut": (_cut, _mend),
    "freeze": (_freeze, _thaw),
    "kill": (_kill, None),
    "platform": (_disturb_platform, _restore_platform),
    "switch": (_switch, None),
    "target": (_disturb_target, None),
}
