"""What a host may conclude about a group's primary, and until when.

A promotion first pauses replication at every other target of the group, or
makes the old primary step down, and then waits ``EVIDENCE_VALIDITY_S`` before
the new primary is named. The other targets then receive the log again, and they
may learn of the new primary late. A target that receives the log therefore
shows that no promotion is in progress, but not that none has taken effect. Two
observations show the latter:

- Every other target answered that it receives the log and isn't the primary of
  a later term. A target that had been promoted would have reported it.
- Some target receives the log while earlier evidence is still valid. If a
  promotion had begun since then, all targets would have been paused for the
  whole span.

Both are valid until ``EVIDENCE_VALIDITY_S`` after the status request was sent.
Times are those of ``CLOCK_BOOTTIME``, so evidence also expires while a host is
suspended. A slow answer makes evidence older, never younger.
"""

import collections
import dataclasses
from collections.abc import Collection
from collections.abc import Iterable

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import model

# How long evidence is valid. A promotion waits this long, so the span adds to
# the time without a primary; a shorter span costs more status requests, since
# two per group and span are needed to renew the evidence.
EVIDENCE_VALIDITY_S = 0.8

# Allowance for the drift between two hosts' clocks within the accepted age of a
# read.
AGE_DRIFT_MARGIN_S = 0.02

# Number of positions to keep. One per POSITION_INTERVAL_S is enough for the
# largest accepted age.
MAX_POSITIONS = 256
POSITION_INTERVAL_S = 0.02

_NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class Leadership:
    """The evidence about one group's primary.

    Attributes:
        target: id of the primary, or None while none is known.
        term: term of the primary.
        primary_seen_s: when the newest request was sent to which the target
            answered as the primary.
        member_seen_s: newest time at which no promotion to a later term had
            taken effect; none can take effect within the span that starts
            then.
        needs_member: whether a promotion needs other members.
        positions: pairs of the time when a request was sent and the position
            in the primary's answer, oldest first. A position covers every
            commit that was acknowledged before that time.
        receiving_seen_s: by member other than the primary, when the newest
            request was sent to which it answered that it receives the log and
            knows no later term.
        receiving_since_s: by member in ``receiving_seen_s``, when the first
            of these answers in a row arrived.
        receiving_answered_s: by the same members, when the last one arrived.
        confirmed_members: members that together have shown that no promotion
            had taken effect. Only these extend evidence: a promoter may not
            know a member that has joined since.
        confirmed_primary: the primary at that time, or None.
        seen_terms: by member, the term in its last answer and when the request
            was sent.
        change: what is known about the latest change of primary.
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
    receiving_seen_s: dict[str, float] = dataclasses.field(default_factory=dict)
    receiving_since_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    receiving_answered_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    confirmed_members: frozenset[str] = frozenset()
    confirmed_primary: str | None = None
    seen_terms: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    change: change_notices.ChangeState = dataclasses.field(
        default_factory=change_notices.ChangeState
    )

    @property
    def valid_until_s(self) -> float:
        """Return the time until which no promotion can have taken effect."""
        seen_s = self.primary_seen_s
        if self.needs_member:
            seen_s = min(seen_s, self.member_seen_s)
        return seen_s + EVIDENCE_VALIDITY_S


def record_primary(
    leadership: Leadership, target: str, term: int, sent_s: float
) -> bool:
    """Record that a target answered as the primary of a term.

    Returns:
        Whether this is a new primary or a new term.
    """
    if term < leadership.term:
        return False
    is_new = term > leadership.term or leadership.target != target
    if is_new:
        change_notices.record_leader(leadership.change, target, term)
        leadership.target = target
        leadership.term = term
        leadership.primary_seen_s = sent_s
        leadership.member_seen_s = _get_earlier_term_seen_s(
            leadership, target, term
        )
        leadership.receiving_seen_s.clear()
        leadership.receiving_since_s.clear()
        leadership.receiving_answered_s.clear()
        leadership.confirmed_members = _carry_confirmed_members(
            leadership, target
        )
        leadership.positions.clear()
    leadership.primary_seen_s = max(leadership.primary_seen_s, sent_s)
    return is_new


def _carry_confirmed_members(
    leadership: Leadership, target: str
) -> frozenset[str]:
    """Return the members that can extend evidence about a new primary.

    Each of them took part in a round of the former primary, so every promoter
    knows it and has to pause it. Without them, one member that is down would
    keep the new primary without evidence until it counts as gone.
    """
    former = {*leadership.confirmed_members, leadership.confirmed_primary}
    return frozenset(member for member in former if member and member != target)


def record_primary_loss(leadership: Leadership, target: str, term: int) -> bool:
    """Record that a target isn't the primary or knows a higher term.

    Returns:
        Whether the known primary was dropped.
    """
    if leadership.target is None or term < leadership.term:
        return False
    is_dropped = target == leadership.target or term > leadership.term
    if is_dropped:
        leadership.target = None
        leadership.primary_seen_s = _NEVER
    return is_dropped


def _get_earlier_term_seen_s(
    leadership: Leadership, target: str, term: int
) -> float:
    """Return when a new primary was last seen in an earlier term.

    Its promotion took effect later than that, and the next promotion has to
    pause the other members for a whole span first.
    """
    seen_term, sent_s = leadership.seen_terms.get(target, (term, _NEVER))
    return sent_s if seen_term < term else _NEVER


def record_term(
    leadership: Leadership, target: str, term: int, sent_s: float
) -> None:
    """Record the term in a member's answer, after the rest of the answer."""
    leadership.seen_terms[target] = (term, sent_s)


def remove_member(leadership: Leadership, target: str) -> None:
    """Remove the answers of a target that is no longer a member."""
    leadership.receiving_seen_s.pop(target, None)
    leadership.seen_terms.pop(target, None)
    # A promoter that released it doesn't pause it if it returns.
    leadership.confirmed_members -= {target}


def record_member(
    leadership: Leadership,
    target: str,
    members: Collection[str],
    paused_for: int,
    sent_s: float,
    answered_s: float,
) -> None:
    """Record whether another member, in no later term, receives the log.

    Args:
        leadership: the evidence about the group's primary.
        target: id of the member.
        members: ids of all members, including the primary.
        paused_for: term for which replication is paused there, or 0.
        sent_s: when the status request was sent.
        answered_s: when its answer arrived.
    """
    receiving_seen_s = leadership.receiving_seen_s
    if paused_for > leadership.term:
        receiving_seen_s.pop(target, None)
        return
    _record_receiving(leadership, target, sent_s, answered_s)
    if target in leadership.confirmed_members and _extend_member_evidence(
        leadership, sent_s, answered_s
    ):
        return
    others = [member for member in members if member != leadership.target]
    if all(member in receiving_seen_s for member in others) and all(
        receiving_seen_s[member] >= leadership.receiving_since_s[other]
        for member in others
        for other in others
        if other != member
    ):
        seen_s = min(receiving_seen_s[member] for member in others)
        leadership.member_seen_s = max(leadership.member_seen_s, seen_s)
        leadership.confirmed_members = frozenset(others)
        leadership.confirmed_primary = leadership.target


def _record_receiving(
    leadership: Leadership, target: str, sent_s: float, answered_s: float
) -> None:
    """Record that a member receives the log.

    A promotion resumes the other members when it takes effect, and from then on
    its candidate answers as the primary. If every member still answers as a
    replica after each other one was seen to receive, none was resumed by a
    promotion. Members can be paused unseen for the wait before a promotion only
    between answers that are a whole span apart.
    """
    last_s = leadership.receiving_answered_s.get(target, _NEVER)
    is_in_a_row = (
        target in leadership.receiving_seen_s
        and sent_s - last_s < EVIDENCE_VALIDITY_S
    )
    if not is_in_a_row:
        leadership.receiving_since_s[target] = answered_s
        leadership.receiving_seen_s[target] = sent_s
    leadership.receiving_answered_s[target] = max(answered_s, last_s)
    leadership.receiving_seen_s[target] = max(
        sent_s, leadership.receiving_seen_s[target]
    )


def _extend_member_evidence(
    leadership: Leadership, sent_s: float, answered_s: float
) -> bool:
    """Extend evidence that is still valid, since a member receives the log."""
    if answered_s > leadership.member_seen_s + EVIDENCE_VALIDITY_S:
        return False
    leadership.member_seen_s = max(leadership.member_seen_s, sent_s)
    return True


def record_commit(
    leadership: Leadership, target: str, sent_s: float, is_replicated: bool
) -> None:
    """Record a commit that the primary acknowledged.

    It shows that the primary was the primary. If a replica had to receive it
    first, a promotion needs that replica, whether or not it is known here; but
    the commit doesn't show that any member which a promoter knows still
    receives the log.
    """
    if leadership.target != target:
        return
    leadership.primary_seen_s = max(leadership.primary_seen_s, sent_s)
    if is_replicated:
        leadership.needs_member = True


def check_commit(
    leadership: Leadership,
    target: str,
    position: model.Position,
    answered_s: float,
) -> bool | None:
    """Return whether a commit was acknowledged before any later promotion.

    A replaced primary that hasn't learned of the promotion keeps committing,
    and members that were resumed by the promotion may receive its log until
    they learn of the new primary. A commit that a promotion may be about to
    drop isn't known to be kept either.

    Args:
        leadership: the evidence about the group's primary.
        target: id of the target that acknowledged the commit.
        position: position of the commit.
        answered_s: when its acknowledgement arrived.

    Returns:
        True or False, or None while this isn't known.
    """
    if leadership.term > position.term:
        return False
    if leadership.term < position.term:
        return None
    if change_notices.is_commit_held(
        leadership.change, target, position, answered_s
    ):
        return None
    covered_until_s = leadership.member_seen_s + EVIDENCE_VALIDITY_S
    if not leadership.needs_member or answered_s <= covered_until_s:
        return True
    return None


def record_position(
    leadership: Leadership,
    target: str,
    position: model.Position,
    sent_s: float,
) -> None:
    """Record the log position in an answer of the primary.

    The position is ignored unless the evidence is valid at the time when the
    request was sent, since a replaced primary reports positions too.
    """
    if leadership.target != target or sent_s > leadership.valid_until_s:
        return
    positions = leadership.positions
    if positions and sent_s < positions[-1][0] + POSITION_INTERVAL_S:
        return
    if positions and position < positions[-1][1]:
        return
    positions.append((sent_s, position))


def record_fenced_position(
    leadership: Leadership,
    term: int,
    position: model.Position,
    known_s: float,
) -> None:
    """Record the position that a promoter found after fencing a group.

    From the fencing until the promotion is requested, no commit can be
    acknowledged. The position then covers every acknowledged commit of the
    term, so replicas can keep serving reads.
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

    The oldest such position is returned, since lagging replicas reach it first.
    """
    for sent_s, position in leadership.positions:
        if sent_s >= since_s:
            return position
    return None


def is_log_kept(
    leadership: Leadership,
    received: Iterable[model.Position],
    since_s: float,
) -> bool:
    """Return whether a member has every commit acknowledged before a time.

    Args:
        leadership: the evidence about the group's primary.
        received: last positions that members other than the primary received.
        since_s: the time.
    """
    position = find_position(leadership, since_s)
    return position is not None and any(known >= position for known in received)


def find_time_reached(
    leadership: Leadership, position: model.Position
) -> float | None:
    """Return when the primary was first known to have reached a position."""
    for sent_s, known in leadership.positions:
        if known >= position:
            return sent_s
    return None


def find_time_passed(
    leadership: Leadership, position: model.Position
) -> float | None:
    """Return when the primary was first known to be past a position."""
    for sent_s, known in leadership.positions:
        if known > position:
            return sent_s
    return None
