"""Sharing of one target's limit between the hosts that connect to it."""

from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from knapweedtally.core.groups import pacing

# Older figures of other hosts are not used, in seconds.
MAX_FIGURE_AGE_S = 2.0

# Larger values in a message are refused as malformed.
MAX_STATEMENTS = 10_000
MAX_NAME_LENGTH = 200

_PHASES = tuple(pacing.Phase)


class MalformedFigure(ValueError):  # noqa: N818 - named after the cause
    """A payload that isn't a figure."""


class Figure(NamedTuple):
    """A host's estimate of the limit for a target.

    Attributes:
        life: start time of the target for which it was found.
        limit: limit of the statements of all hosts together.
        phase: phase of the limit.
        in_flight: number of the host's statements in flight.
        has_seen_healthy: whether the host has seen the target healthy.
        measured_s: when the event occurred on which it is based.
    """

    life: int
    limit: int
    phase: pacing.Phase
    in_flight: int
    has_seen_healthy: bool
    measured_s: float


class Allowance(NamedTuple):
    """What a host may send to a target.

    Attributes:
        limit: smallest limit that is known.
        share: this host's part, at least 1.
    """

    limit: int
    share: int


def encode_figure(
    target: str, pace: pacing.Pace, life: int, now_s: float
) -> list[Any]:
    """Return the payload that tells a target's figure to other hosts."""
    age_ms = min(max(0.0, now_s - pace.measured_s), 3600.0) * 1000
    return [
        target,
        life,
        pace.limit,
        _PHASES.index(pace.phase),
        pace.in_flight,
        pacing.has_seen_healthy(pace, now_s),
        round(age_ms),
    ]


def decode_figure(payload: Any, now_s: float) -> tuple[str, Figure]:
    """Return the target and the figure in a payload.

    Args:
        payload: content of a message.
        now_s: when it was received.

    Raises:
        MalformedFigure: a field is missing or out of its range.
    """
    if not isinstance(payload, list) or len(payload) != 7:
        raise MalformedFigure("payload: expected a list of 7 fields")
    target, life, limit, phase, in_flight, is_healthy, age_ms = payload
    if not isinstance(target, str) or len(target) > MAX_NAME_LENGTH:
        raise MalformedFigure("target: expected a short string")
    for name, value, low, high in (
        ("life", life, 0, 2**63),
        ("limit", limit, 1, MAX_STATEMENTS),
        ("phase", phase, 0, len(_PHASES) - 1),
        ("in_flight", in_flight, 0, MAX_STATEMENTS),
        ("age_ms", age_ms, 0, 3_600_000),
    ):
        # A boolean is an instance of int.
        if type(value) is not int or not low <= value <= high:
            raise MalformedFigure(f"{name}: expected {low} to {high}")
    if not isinstance(is_healthy, bool):
        raise MalformedFigure("has_seen_healthy: expected a boolean")
    measured_s = now_s - age_ms / 1000
    return target, Figure(
        life, limit, _PHASES[phase], in_flight, is_healthy, measured_s
    )


def is_usable(figure: Figure, life: int, now_s: float) -> bool:
    """Return whether a figure is recent and of the target's current life."""
    return figure.life == life and now_s - figure.measured_s < MAX_FIGURE_AGE_S


def merge_figure(
    pace: pacing.Pace, figure: Figure, life: int, now_s: float
) -> pacing.Change | None:
    """Take over another host's figure where it knows more than this host.

    A host that could not reach a target begins a slow start although the
    target may have been healthy, so it takes over the figure of a host that
    has seen it healthy. A host that has just begun to connect to the target
    takes over its slow start.

    Returns:
        Why the limit changed, or None.
    """
    if not is_usable(figure, life, now_s):
        return None
    if pace.phase is pacing.Phase.SLOW_START:
        if figure.has_seen_healthy:
            limit = min(figure.limit, pace.slots)
            return pacing.adopt(pace, limit, figure.phase, now_s)
        return None
    if (
        figure.phase is pacing.Phase.SLOW_START
        and pace.phase is pacing.Phase.STEADY
        and not pacing.has_seen_healthy(pace, now_s)
        and figure.limit < pace.limit
    ):
        return pacing.adopt(pace, figure.limit, figure.phase, now_s)
    return None


def is_contradicted(pace: pacing.Pace, figure: Figure, now_s: float) -> bool:
    """Return whether this host knows that a slow start isn't called for."""
    return figure.phase is pacing.Phase.SLOW_START and pacing.has_seen_healthy(
        pace, now_s
    )


def find_allowance(
    pace: pacing.Pace,
    host: str,
    life: int,
    figures: Mapping[str, Figure],
    now_s: float,
) -> Allowance:
    """Return this host's part of the smallest limit.

    Args:
        pace: this host's own estimate.
        host: name of this host.
        life: start time of the target.
        figures: figures of other hosts by name of the host.
        now_s: the current time.
    """
    limit = pace.limit
    names = [host]
    for name, figure in figures.items():
        if not is_usable(figure, life, now_s):
            continue
        if figure.in_flight:
            names.append(name)
            # The figure of a host without work doesn't grow.
            if not is_contradicted(pace, figure, now_s):
                limit = min(limit, figure.limit)
    limit = max(limit, pace.floor)
    if len(names) == 1:
        return Allowance(limit, limit)
    # The remainder goes to the first names, so that no slot stays idle.
    share, remainder = divmod(limit, len(names))
    share += sorted(names).index(host) < remainder
    return Allowance(limit, max(1, share))
