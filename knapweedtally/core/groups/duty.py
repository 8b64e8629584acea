"""Who may promote: a duty that one host at a time holds.

The duty stands in one object of the store, replaced under a condition. Each
turn has a fence number above all earlier ones. A holder counts its turn from
before it sent the claim; the others count it from when they first saw it, so
the turns don't overlap whatever the clocks of the hosts show.
"""

import dataclasses
from typing import NamedTuple

# How long a turn lasts unless it is renewed, in seconds. The next holder of
# an abandoned turn waits as long, so a change of primary whose promoter was
# killed is delayed by it.
TURN_S = 2.0

# A holder stops this long before its turn ends, in seconds: the time of one
# call to the platform on its way.
STOP_BEFORE_S = 0.8


class Turn(NamedTuple):
    """Hold what the store's object says.

    Attributes:
        holder: name of the host.
        incarnation: which start of the host's process.
        fence: number of the turn.
        is_held: False once the holder gave the duty back.
        renewals: counts the renewals of the turn. The store gives an object
            that stays the same no new revision, and others would take the
            turn for abandoned.
    """

    holder: str
    incarnation: str
    fence: int
    is_held: bool
    renewals: int


@dataclasses.dataclass(slots=True)
class Sighting:
    """Hold when a revision of the object was first seen.

    Attributes:
        revision: the revision.
        seen_s: when this host first saw it.
    """

    revision: int = -1
    seen_s: float = 0.0


def note_seen(sighting: Sighting, revision: int, now_s: float) -> None:
    """Record a revision of the object."""
    if revision != sighting.revision:
        sighting.revision = revision
        sighting.seen_s = now_s


def get_free_at_s(turn: Turn, sighting: Sighting, host: str) -> float:
    """Return when the duty may be claimed.

    A process that finds its own host's name takes over at once: the process
    that held it has ended, and its connections with it.
    """
    if not turn.is_held or turn.holder == host:
        return sighting.seen_s
    return sighting.seen_s + TURN_S


def make_next_turn(turn: Turn | None, host: str, incarnation: str) -> Turn:
    """Return the turn that a claim writes."""
    fence = turn.fence + 1 if turn is not None else 1
    return Turn(host, incarnation, fence, True, 0)


def renew_turn(turn: Turn) -> Turn:
    """Return the turn that a renewal writes."""
    return turn._replace(renewals=turn.renewals + 1)


def may_act(claimed_s: float, now_s: float) -> bool:
    """Tell whether a holder may still act under its turn.

    Args:
        claimed_s: when the claim, or its last renewal, was sent.
        now_s: the time just before acting.
    """
    return now_s < claimed_s + TURN_S - STOP_BEFORE_S


def parse_turn(spec: object) -> Turn | None:
    """Return the turn in an object of the store, or None if it holds none."""
    if not isinstance(spec, dict):
        return None
    holder, incarnation = spec.get("holder"), spec.get("incarnation")
    fence, is_held = spec.get("fence"), spec.get("is_held")
    renewals = spec.get("renewals")
    if not isinstance(holder, str) or not isinstance(incarnation, str):
        return None
    if type(fence) is not int or type(renewals) is not int:
        return None
    if not isinstance(is_held, bool):
        return None
    return Turn(holder, incarnation, fence, is_held, renewals)
