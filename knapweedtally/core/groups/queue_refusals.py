"""Refusals of a holder's queue, as they are sent to the requesting host.

A refusal travels in the detail of a ``BUSY`` error. Callers read the hint in
it; only the requesting host reads the rest, to expect a longer time until an
answer of this target for as long as the queue needs.
"""

import re
from typing import NamedTuple

# Longest time by which a refusal raises a target's expected answer time, in
# seconds. A refusal that was sent in error doesn't keep a target unused.
MAX_COST_S = 2.0

_DETAIL = re.compile(
    rb"holder queue: [^;]+; (\d{1,6}) waiting, expected wait (\d{1,9}) ms; "
    rb"retry after (\d{1,9}) ms"
)


class QueueRefusal(NamedTuple):
    """What a refusal says about the holder's queue.

    Attributes:
        length: number of waiting statements.
        wait_s: expected wait of the refused statement, in seconds.
        retry_after_s: time after which to retry, in seconds.
    """

    length: int
    wait_s: float
    retry_after_s: float


class QueueCost(NamedTuple):
    """Addition to a target's expected answer time after a refusal.

    Attributes:
        cost_s: the addition at the time of the refusal, in seconds.
        noted_s: when the refusal arrived.
    """

    cost_s: float = 0.0
    noted_s: float = 0.0


NO_COST = QueueCost()


def format_detail(reason: str, refusal: QueueRefusal) -> bytes:
    """Return the detail of the error for a refusal."""
    return (
        f"holder queue: {reason}; {refusal.length} waiting, expected wait "
        f"{refusal.wait_s * 1000:.0f} ms; "
        f"retry after {refusal.retry_after_s * 1000:.0f} ms"
    ).encode()


def parse_detail(detail: bytes) -> QueueRefusal | None:
    """Return the refusal in the detail of an error, or None."""
    match = _DETAIL.fullmatch(detail)
    if match is None:
        return None
    length, wait_ms, retry_after_ms = map(int, match.groups())
    return QueueRefusal(length, wait_ms / 1000, retry_after_ms / 1000)


def get_cost(refusal: QueueRefusal, now_s: float) -> QueueCost:
    """Return the addition that a refusal causes."""
    cost_s = max(refusal.wait_s, refusal.retry_after_s)
    return QueueCost(min(MAX_COST_S, cost_s), now_s)


def get_remaining_s(cost: QueueCost, now_s: float) -> float:
    """Return what is left of an addition, in seconds."""
    return max(0.0, cost.cost_s - max(0.0, now_s - cost.noted_s))
