"""What a host may conclude about a group's primary, and until when.

A promotion first stops every other target of the group from receiving, or
makes the old primary step down, and then waits ``EVIDENCE_SPAN_S`` before the
new primary is named. So a host that asked the primary and another member at a
time t, and found both as they were, knows that no promotion took effect before
t + ``EVIDENCE_SPAN_S``. Times are those of ``CLOCK_BOOTTIME``, counted from the
moment when the question was sent: a suspended host then finds its evidence
expired, and a slow answer makes it older, never younger.
"""

import collections
import dataclasses

from knapweedtally.core.groups import model

# How long evidence holds, in seconds. A promotion waits as long, so it is part
# of each gap; the questions that renew it are paid for, two a group and span.
EVIDENCE_SPAN_S = 0.8

# Allowance for the drift of two hosts' clocks over a read's accepted age.
AGE_MARGIN_S = 0.02

# Positions that are kept; one every POSITION_STEP_S covers the largest age.
MAX_POSITIONS = 256
POSITION_STEP_S = 0.02

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Leadership:
    """Hold the evidence about one group's primary.

    Attributes:
        target: id of the primary, or None while none is known.
        term: its term.
        primary_seen_s: when the question was sent that the primary answered
            as the primary.
        member_seen_s: when the question was sent to which another member
            showed that it still receives under this term.
        needs_member: whether a promotion would need other members.
        positions: pairs of the time of a question and the position that the
            primary answered, oldest first. A position covers every commit
            that was acknowledged before its time.
    """

    target: str | None = None
    term: int = 0
    primary_seen_s: float = _NEVER
    member_seen_s: float = _NEVER
    needs_member: bool = True
    positions: collections.deque[tuple[float, model.Position]] = (
        dataclasses.field(
            default_factory=lambda: collections.deque(maxlen=MAX_POSITIONS)
        )
    )

    @property
    def valid_until_s(self) -> float:
        """Return until when no promotion can have taken effect."""
        seen_s = self.primary_seen_s
        if self.needs_member:
            seen_s = min(seen_s, self.member_seen_s)
        return seen_s + EVIDENCE_SPAN_S


def note_primary(
    leadership: Leadership, target: str, term: int, asked_s: float
) -> bool:
    """Record that a target answered as the primary of a term.

    Returns:
        Whether this is a new primary or a new term.
    """
    if term < leadership.term:
        return False
    is_new = term > leadership.term or leadership.target != target
    if is_new:
        leadership.target = target
        leadership.term = term
        leadership.primary_seen_s = asked_s
        leadership.member_seen_s = _NEVER
        leadership.positions.clear()
    leadership.primary_seen_s = max(leadership.primary_seen_s, asked_s)
    return is_new


def note_no_primary(leadership: Leadership, target: str, term: int) -> bool:
    """Record that a target no longer leads, or has seen a higher term.

    Returns:
        Whether the known primary is given up.
    """
    if leadership.target is None or term < leadership.term:
        return False
    is_given_up = target == leadership.target or term > leadership.term
    if is_given_up:
        leadership.target = None
        leadership.primary_seen_s = _NEVER
    return is_given_up


def note_member(
    leadership: Leadership, term: int, paused_for: int, asked_s: float
) -> None:
    """Record that another member answered that it receives, or stopped."""
    if term > leadership.term or paused_for > leadership.term:
        return
    leadership.member_seen_s = max(leadership.member_seen_s, asked_s)


def note_commit(
    leadership: Leadership, target: str, asked_s: float, is_replicated: bool
) -> None:
    """Record a commit that the primary acknowledged.

    A commit that a replica had to receive first shows both that the primary
    led and that a member received after the commit was sent.
    """
    if leadership.target != target:
        return
    leadership.primary_seen_s = max(leadership.primary_seen_s, asked_s)
    if is_replicated:
        leadership.member_seen_s = max(leadership.member_seen_s, asked_s)


def note_position(
    leadership: Leadership,
    target: str,
    position: model.Position,
    asked_s: float,
) -> None:
    """Record the position that the primary's answer carried.

    Counted only while the evidence covers the time of the question: a primary
    that has been replaced reports positions too.
    """
    if leadership.target != target or asked_s > leadership.valid_until_s:
        return
    positions = leadership.positions
    if positions and asked_s < positions[-1][0] + POSITION_STEP_S:
        return
    if positions and position < positions[-1][1]:
        return
    positions.append((asked_s, position))


def note_fenced_position(
    leadership: Leadership,
    term: int,
    position: model.Position,
    known_s: float,
) -> None:
    """Record what a promoter found once no commit could be acknowledged.

    From the fence until the promotion is asked for, this position covers every
    acknowledged commit of the term, so replicas can serve on meanwhile.
    """
    if leadership.term != term:
        return
    positions = leadership.positions
    if not positions or (known_s, position) > positions[-1]:
        positions.append((known_s, position))


def find_position(
    leadership: Leadership, since_s: float
) -> model.Position | None:
    """Return a position that covers all commits acknowledged before a time.

    The oldest such position is returned, since replicas that lag have it
    first.
    """
    for asked_s, position in leadership.positions:
        if asked_s >= since_s:
            return position
    return None


def find_time_of(
    leadership: Leadership, position: model.Position
) -> float | None:
    """Return when the primary was first known to have a position."""
    for asked_s, known in leadership.positions:
        if known >= position:
            return asked_s
    return None


def find_time_after(
    leadership: Leadership, position: model.Position
) -> float | None:
    """Return when the primary was first known to be past a position."""
    for asked_s, known in leadership.positions:
        if known > position:
            return asked_s
    return None
