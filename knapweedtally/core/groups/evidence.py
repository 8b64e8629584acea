"""What a host may conclude about a group's primary, and until when.

A promotion first stops every other target of the group from receiving, or
makes the old primary step down, and then waits ``EVIDENCE_SPAN_S`` before the
new primary is named. It lets the others receive again, and they may learn of
the new primary late. So a target that receives is a sign against a promotion
under way, but not against one that has taken effect. Two things are:

- Every other target showed that it receives and leads no later term. One that
  had been promoted would have said so.
- Some target receives while earlier evidence still holds. A promotion since
  then would find all of them stopped for the whole span.

Both hold until ``EVIDENCE_SPAN_S`` after the question was sent. Times are those
of ``CLOCK_BOOTTIME``: a suspended host then finds its evidence expired, and a
slow answer makes it older, never younger.
"""

import collections
import dataclasses
from collections.abc import Collection

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
        member_seen_s: when no promotion beyond this term had taken effect,
            nor could before the end of a span that begins there.
        needs_member: whether a promotion would need other members.
        positions: pairs of the time of a question and the position that the
            primary answered, oldest first. A position covers every commit
            that was acknowledged before its time.
        receiving: when each other member was last asked that then showed
            that it receives and knows no later term.
        terms: the term that each member last showed, and when it was asked.
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
    receiving: dict[str, float] = dataclasses.field(default_factory=dict)
    terms: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
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
        leadership.member_seen_s = _get_start_s(leadership, target, term)
        leadership.receiving.clear()
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


def _get_start_s(leadership: Leadership, target: str, term: int) -> float:
    """Return when a new primary was last seen under an earlier term.

    Its promotion came later, and the next one has to stop the others for a
    whole span first.
    """
    shown_term, asked_s = leadership.terms.get(target, (term, _NEVER))
    return asked_s if shown_term < term else _NEVER


def note_term(
    leadership: Leadership, target: str, term: int, asked_s: float
) -> None:
    """Record the term that a member showed, after all else it showed."""
    leadership.terms[target] = (term, asked_s)


def forget_member(leadership: Leadership, target: str) -> None:
    """Forget what a target showed that is no member any more."""
    leadership.receiving.pop(target, None)
    leadership.terms.pop(target, None)


def note_member(
    leadership: Leadership,
    target: str,
    members: Collection[str],
    paused_for: int,
    asked_s: float,
    answered_s: float,
) -> None:
    """Record that another member of no later term receives, or stopped.

    Args:
        leadership: the evidence.
        target: id of the member.
        members: ids of all members, the primary among them.
        paused_for: term for which it has stopped receiving, or 0.
        asked_s: when it was asked.
        answered_s: when the answer came.
    """
    receiving = leadership.receiving
    if paused_for > leadership.term:
        receiving.pop(target, None)
        return
    receiving[target] = max(asked_s, receiving.get(target, _NEVER))
    if _renew(leadership, asked_s, answered_s):
        return
    others = [member for member in members if member != leadership.target]
    if all(member in receiving for member in others):
        seen_s = min(receiving[member] for member in others)
        leadership.member_seen_s = max(leadership.member_seen_s, seen_s)


def _renew(leadership: Leadership, asked_s: float, answered_s: float) -> bool:
    """Prolong evidence that still holds, by one member that receives."""
    if answered_s > leadership.member_seen_s + EVIDENCE_SPAN_S:
        return False
    leadership.member_seen_s = max(leadership.member_seen_s, asked_s)
    return True


def note_commit(
    leadership: Leadership,
    target: str,
    asked_s: float,
    answered_s: float,
    is_replicated: bool,
) -> None:
    """Record a commit that the primary acknowledged.

    A commit that a replica had to receive first shows both that the primary
    led and that a member received after the commit was sent.
    """
    if leadership.target != target:
        return
    leadership.primary_seen_s = max(leadership.primary_seen_s, asked_s)
    if is_replicated:
        _renew(leadership, asked_s, answered_s)


def judge_commit(
    leadership: Leadership, term: int, answered_s: float
) -> bool | None:
    """Tell whether a commit was acknowledged before any later promotion.

    A replaced primary that has heard of nothing goes on, and members that the
    promotion let go may receive from it until they learn of the new one.

    Args:
        leadership: the evidence.
        term: term of the commit.
        answered_s: when its acknowledgement arrived.

    Returns:
        None while neither is known.
    """
    if leadership.term > term:
        return False
    if leadership.term < term:
        return None
    covered_s = leadership.member_seen_s + EVIDENCE_SPAN_S
    if not leadership.needs_member or answered_s <= covered_s:
        return True
    return None


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
