"""Trace one request through the logs of several hosts."""

import json
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

# Time in seconds before a request arrived and after it ended in which other
# events may have affected its outcome.
CONTEXT_BEFORE_S = 5.0
CONTEXT_AFTER_S = 1.0

# Prefixes of events about a group or target that may affect its requests.
_GROUP_EVENT_PREFIXES = (
    "primary_",
    "change_",
    "promotion_",
    "target_",
    "replica_",
    "pace_",
)

# Prefixes of events about a host that may affect its requests.
_HOST_EVENT_PREFIXES = (
    "configuration_",
    "dependency_",
    "exit_",
    "groups_",
    "handler_",
    "ready_",
    "standstill",
    "started",
    "stopping",
)


def parse_log_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the log lines among text lines, ignoring text before the JSON."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The line is truncated or was written by another program.
            continue
        if isinstance(line, dict) and "event" in line and "time" in line:
            yield line


def find_related_lines(
    lines: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Return the log lines related to a request, ordered by time.

    Args:
        lines: log lines of any number of hosts.
        request: id of the request.
    """
    all_lines = list(lines)
    own_lines = [line for line in all_lines if line.get("id") == request]
    if not own_lines:
        return []
    hosts = {line.get("host") for line in own_lines}
    groups = {line["group"] for line in own_lines if line.get("group")}
    targets = {
        line["target"]
        for line in all_lines
        if line.get("group") in groups and line.get("target")
    }
    duration_s = max(line.get("total_ms", 0) / 1000 for line in own_lines)
    first_s = (
        min(line["time"] for line in own_lines) - duration_s - CONTEXT_BEFORE_S
    )
    last_s = max(line["time"] for line in own_lines) + CONTEXT_AFTER_S

    def is_related(line: dict[str, Any]) -> bool:
        if not first_s <= line["time"] <= last_s:
            return False
        event = line["event"]
        if event.startswith(_HOST_EVENT_PREFIXES):
            return line.get("host") in hosts
        is_group_related = (
            line.get("group") in groups or line.get("target") in targets
        )
        return is_group_related and event.startswith(_GROUP_EVENT_PREFIXES)

    related = [
        line for line in all_lines if line in own_lines or is_related(line)
    ]
    return sorted(related, key=lambda line: line["time"])


def format_log_line(line: dict[str, Any]) -> str:
    """Return a log line as readable text: time, host, event, other fields."""
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in ("time", "host", "event") and value not in ("", None)
    )
    return f"{line['time']:.3f} {line.get('host', '-')} {line['event']} {rest}"
