"""Where callers' statements were lost, from the log lines of a played day.

A played day prints each log line after its time and the host's name.
"""

import collections
import json
import re
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

_LINE = re.compile(r"\s*(-?\d+\.\d+) (\S+) (\{.*\})$")
_NUMBERS = re.compile(r"\d+(\.\d+)?")
_ENDED = "statement_ended"
_SERVED = "DONE"

# Longest text of a reason in a table.
REASON_LENGTH = 48


class Ending(NamedTuple):
    """How one statement ended at the host.

    Attributes:
        at_s: time since the start of traffic.
        host: name of the host.
        group: name of the group.
        kind: kind of the statement.
        outcome: outcome that the caller was told.
        reason: the reason without its numbers.
        target: id of the target, or empty if none was asked.
        total_ms: time from the statement's arrival to its end.
    """

    at_s: float
    host: str
    group: str
    kind: str
    outcome: str
    reason: str
    target: str
    total_ms: float

    @property
    def is_served(self) -> bool:
        """Return whether the statement succeeded."""
        return self.outcome == _SERVED


class Row(NamedTuple):
    """Statements that ended alike.

    Attributes:
        key: the fields by which statements were grouped.
        statements: how many they are.
        share: their share of all statements.
        median_ms: median time until they ended.
    """

    key: tuple[str, ...]
    statements: int
    share: float
    median_ms: float


def parse_lines(lines: Iterable[str]) -> list[Ending]:
    """Return the endings in the lines of a played day.

    Lines that are cut off or belong to something else are passed over.
    """
    found = []
    for line in lines:
        match = _LINE.match(line)
        if match is None or _ENDED not in line:
            continue
        try:
            found.append(_parse_ending(float(match[1]), json.loads(match[3])))
        except (KeyError, ValueError):
            continue
    return found


def _parse_ending(at_s: float, fields: dict[str, Any]) -> Ending:
    reason = _NUMBERS.sub("#", fields["reason"])[:REASON_LENGTH]
    return Ending(
        at_s,
        fields["host"],
        fields["group"],
        fields["kind"],
        fields["outcome"],
        reason,
        fields["target"],
        float(fields["total_ms"]),
    )


def tabulate(
    endings: Iterable[Ending], columns: Iterable[str], window_s: float
) -> list[Row]:
    """Return the statements that weren't served, most frequent first.

    Args:
        endings: all endings.
        columns: fields of an ending to group by, or ``window`` for the start
            of the time window in which it ended.
        window_s: length of a window.
    """
    by_key: dict[tuple[str, ...], list[float]] = collections.defaultdict(list)
    total = 0
    chosen = tuple(columns)
    for ending in endings:
        total += 1
        if ending.is_served:
            continue
        start_s = ending.at_s // window_s * window_s
        fields = {**ending._asdict(), "window": f"{start_s:g} s"}
        key = tuple(str(fields[column]) for column in chosen)
        by_key[key].append(ending.total_ms)
    rows = [
        Row(key, len(times), len(times) / total, sorted(times)[len(times) // 2])
        for key, times in by_key.items()
    ]
    return sorted(rows, key=lambda row: -row.statements)
