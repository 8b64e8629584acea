"""Ask all live hosts for their sums and add them up."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio

from knapweedtally.report import objectives

PATH = "/v1/status?steps=1"
SERVING = frozenset({"live", "leaving"})
MAX_CALLS_AT_ONCE = 32

# Gets the URL of a host and returns its status, or None without an answer.
Fetch = Callable[[str], Awaitable[dict[str, Any] | None]]


class Report(NamedTuple):
    """Hold what the hosts answered.

    Attributes:
        hosts: names of the hosts that answered.
        silent: names of live hosts that didn't.
        sums: sums of all hosts by window.
        steps: sums of all hosts by window, then by the step's age: step 0
            is the newest.
        step_s: length of a step by window, in seconds.
    """

    hosts: list[str]
    silent: list[str]
    sums: dict[str, objectives.Sums]
    steps: dict[str, dict[int, objectives.Sums]]
    step_s: dict[str, float]


async def collect_statuses(
    own: dict[str, Any], fetch: Fetch
) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the statuses of all live hosts, and the silent ones' names.

    Args:
        own: status of the host that was asked first.
        fetch: asks one host.
    """
    statuses = [own]
    silent: list[str] = []
    limiter = anyio.CapacityLimiter(MAX_CALLS_AT_ONCE)

    async def ask(host: dict[str, Any]) -> None:
        address = host["address"]
        shown = f"[{address}]" if ":" in address else address
        async with limiter:
            status = await fetch(f"http://{shown}:{host['admin_port']}")
        if status is None:
            silent.append(host["name"])
        else:
            statuses.append(status)

    async with anyio.create_task_group() as tasks:
        for host in own["hosts"]:
            is_other = host["name"] != own["host"]
            if is_other and host["status"] in SERVING:
                tasks.start_soon(ask, host)
    return statuses, sorted(silent)


def make_report(statuses: list[dict[str, Any]], silent: list[str]) -> Report:
    """Return the sums over all hosts."""
    by_window: dict[str, list[dict[str, Any]]] = {}
    for status in statuses:
        for window in status["windows"]:
            by_window.setdefault(window["name"], []).append(window)
    step_s = {name: found[0]["step_s"] for name, found in by_window.items()}
    return Report(
        sorted(status["host"] for status in statuses),
        silent,
        {
            name: objectives.add_sums([read_sums(w) for w in found])
            for name, found in by_window.items()
        },
        {
            name: _add_steps(found, step_s[name])
            for name, found in by_window.items()
        },
        step_s,
    )


def read_sums(values: dict[str, Any]) -> objectives.Sums:
    """Return the sums that a host shows."""
    return objectives.Sums(*(values[name] for name in objectives.Sums._fields))


def _add_steps(
    found: list[dict[str, Any]], step_s: float
) -> dict[int, objectives.Sums]:
    parts: dict[int, list[objectives.Sums]] = {}
    for window in found:
        for step in window.get("steps", ()):
            age = int(step["ago_s"] // step_s)
            parts.setdefault(age, []).append(read_sums(step))
    return {age: objectives.add_sums(p) for age, p in sorted(parts.items())}
