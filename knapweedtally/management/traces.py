"""Tell one request's story from the logs of several hosts."""

import json
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

# What happened this long before a request arrived, or after it ended, may
# have decided its outcome, in seconds.
BEFORE_S = 5.0
AFTER_S = 1.0

# Events about a group that bear on its requests.
_GROUP_EVENTS = (
    "primary_",
    "change_",
    "promotion_",
    "target_",
    "replica_",
)

# Events about a host that bear on its requests.
_HOST_EVENTS = (
    "configuration_",
    "dependency_",
    "groups_",
    "ready_",
    "standstill",
    "started",
    "stopping",
)


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Return the log lines among texts; anything before the JSON is ignored."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A line that was cut, or one of another program.
            continue
        if isinstance(line, dict) and "event" in line and "time" in line:
            yield line


def find_story(
    lines: Iterable[dict[str, Any]], request: str
) -> list[dict[str, Any]]:
    """Return a request's lines and what bore on them, in order of time.

    Args:
        lines: log lines of any hosts.
        request: id of the request.
    """
    known = list(lines)
    own = [line for line in known if line.get("id") == request]
    if not own:
        return []
    hosts = {line.get("host") for line in own}
    groups = {line["group"] for line in own if line.get("group")}
    targets = {
        line["target"]
        for line in known
        if line.get("group") in groups and line.get("target")
    }
    waited_s = max(line.get("total_ms", 0) / 1000 for line in own)
    first_s = min(line["time"] for line in own) - waited_s - BEFORE_S
    last_s = max(line["time"] for line in own) + AFTER_S

    def bears_on(line: dict[str, Any]) -> bool:
        if not first_s <= line["time"] <= last_s:
            return False
        event = line["event"]
        if event.startswith(_HOST_EVENTS):
            return line.get("host") in hosts
        is_about = line.get("group") in groups or line.get("target") in targets
        return is_about and event.startswith(_GROUP_EVENTS)

    story = [line for line in known if line in own or bears_on(line)]
    return sorted(story, key=lambda line: line["time"])


def format_line(line: dict[str, Any]) -> str:
    """Return a line for people: time, host, event and its other fields."""
    rest = " ".join(
        f"{key}={value}"
        for key, value in line.items()
        if key not in ("time", "host", "event") and value not in ("", None)
    )
    return f"{line['time']:.3f} {line.get('host', '-')} {line['event']} {rest}"
