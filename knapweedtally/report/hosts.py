"""Collect the sums of all live hosts and add them up."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio

from knapweedtally.report import objectives

STATUS_PATH = "/v1/status?steps=1"
SERVING_STATUSES = frozenset({"live", "leaving"})
MAX_CONCURRENT_CALLS = 32

# Takes the URL of a host and returns its status, or None without an answer.
StatusFetcher = Callable[[str], Awaitable[dict[str, Any] | None]]


class Report(NamedTuple):
    """Sums that were collected from the hosts.

    Attributes:
        hosts: names of the hosts that answered.
        unreachable: names of the live hosts that did not answer.
        sums: sums over all hosts, by window.
        steps: sums over all hosts, by window and by the age of the step,
            counted in steps; age 0 is the newest step.
        step_s: length of a step by window, in seconds.
    """

    hosts: list[str]
    unreachable: list[str]
    sums: dict[str, objectives.Sums]
    steps: dict[str, dict[int, objectives.Sums]]
    step_s: dict[str, float]


async def collect_statuses(
    first_status: dict[str, Any], fetch: StatusFetcher
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the statuses of the live hosts and the unreachable ones' names.

    Args:
        first_status: status of the host that was contacted first; it lists
            the others.
        fetch: returns the status of one host.
    """
    statuses = [first_status]
    unreachable: list[str] = []
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def fetch_status(host: dict[str, Any]) -> None:
        address = host["address"]
        url_host = f"[{address}]" if ":" in address else address
        async with limiter:
            status = await fetch(f"http://{url_host}:{host['admin_port']}")
        if status is None:
            unreachable.append(host["name"])
        else:
            statuses.append(status)

    async with anyio.create_task_group() as tasks:
        for host in first_status["hosts"]:
            is_other = host["name"] != first_status["host"]
            if is_other and host["status"] in SERVING_STATUSES:
                tasks.start_soon(fetch_status, host)
    return statuses, sorted(unreachable)


def make_report(
    statuses: list[dict[str, Any]], unreachable: list[str]
) -> Report:
    """Return the report over all hosts.

    Args:
        statuses: statuses of the hosts that answered.
        unreachable: names of the live hosts that did not answer.
    """
    windows_by_name: dict[str, list[dict[str, Any]]] = {}
    for status in statuses:
        for window in status["windows"]:
            windows_by_name.setdefault(window["name"], []).append(window)
    step_s = {
        name: windows[0]["step_s"] for name, windows in windows_by_name.items()
    }
    return Report(
        sorted(status["host"] for status in statuses),
        unreachable,
        {
            name: objectives.add_sums([parse_sums(w) for w in windows])
            for name, windows in windows_by_name.items()
        },
        {
            name: _add_sums_by_age(windows, step_s[name])
            for name, windows in windows_by_name.items()
        },
        step_s,
    )


def parse_sums(values: dict[str, Any]) -> objectives.Sums:
    """Parse the sums of one window or step of a host's status."""
    return objectives.Sums(*(values[name] for name in objectives.Sums._fields))


def _add_sums_by_age(
    windows: list[dict[str, Any]], step_s: float
) -> dict[int, objectives.Sums]:
    parts: dict[int, list[objectives.Sums]] = {}
    for window in windows:
        for step in window.get("steps", ()):
            age = int(step["ago_s"] // step_s)
            parts.setdefault(age, []).append(parse_sums(step))
    return {age: objectives.add_sums(p) for age, p in sorted(parts.items())}
