"""Notices about a change of a group's primary, between hosts.

A fence ends if the member restarts, and a member that only the old primary
knows is never fenced. The old primary can then acknowledge commits that the
promoted target lacks. The host that changes the primary therefore tells the
others which position its proof covers. Until the change has ended, they tell no
caller of a later commit of an earlier term.

A host that told a caller of such a commit before the notice arrived objects:
there is a member that the promoter doesn't know, which is listed soon.
"""

import dataclasses
import enum
from typing import NamedTuple

from knapweedtally.core.groups import model

# Longest time from a notice to the effect of a promotion, in seconds. A
# promoter awaits the effect for 3 s and the response for 0.7 s, and repeats its
# notice meanwhile.
HOLD_S = 5.0

# Longest time that a promotion is delayed by an objection, in seconds, counted
# from the fences. A member that joins has an entry in the store within about a
# second. The position in an objection can be that of a commit that no member
# received, so the promotion doesn't wait for it any longer.
OBJECTION_WAIT_S = 1.5

_NEVER = float("-inf")


class Stage(enum.IntEnum):
    """What a notice says."""

    NONE = 0
    FENCED = 1
    REQUESTED = 2
    GIVEN_UP = 3
    OBJECTION = 4


class Notice(NamedTuple):
    """What a host says about a change of primary.

    Attributes:
        stage: what the notice says.
        term: term of the new primary.
        position: position that covers every commit which was acknowledged
            before the members were fenced. In an objection, the position of a
            later commit.
    """

    stage: Stage
    term: int
    position: model.Position


@dataclasses.dataclass(slots=True)
class ChangeState:
    """What is known about the latest change of a group's primary.

    Attributes:
        notice: the newest notice of its promoter, or None.
        known_s: when the promoter sent it, at the latest.
        told_position: latest position of a commit of which this host told a
            caller.
        objected_position: latest position in an objection.
    """

    notice: Notice | None = None
    known_s: float = _NEVER
    told_position: model.Position = model.Position(0, 0)
    objected_position: model.Position = model.Position(0, 0)


def record_notice(
    state: ChangeState, notice: Notice, known_s: float
) -> Notice | None:
    """Record a notice unless it is older than the known one.

    Args:
        state: what is known about the latest change.
        notice: the notice.
        known_s: when it was first sent, at the latest.

    Returns:
        An objection, if this host told a caller of a commit that the proof
        doesn't cover.
    """
    if notice.stage is Stage.OBJECTION:
        state.objected_position = max(state.objected_position, notice.position)
        return None
    known = state.notice
    if known is not None and notice.term <= known.term:
        if notice.term < known.term or known_s <= state.known_s:
            return None
        if _is_requested(state, known_s):
            # Another promoter may have taken over. The first promotion can
            # still take effect, whatever the second one does.
            if notice.stage is not Stage.REQUESTED:
                return None
            position = min(notice.position, known.position)
            notice = notice._replace(position=position)
    state.notice = notice
    state.known_s = known_s
    is_uncovered = notice.position < state.told_position
    if not is_uncovered or state.told_position.term >= notice.term:
        return None
    if notice.stage is not Stage.FENCED:
        return None
    objection = Notice(Stage.OBJECTION, notice.term, state.told_position)
    state.objected_position = max(state.objected_position, objection.position)
    return objection


def get_active_notice(state: ChangeState, now_s: float) -> Notice | None:
    """Return the notice of a promotion that may still take effect."""
    notice = state.notice
    if notice is None or notice.stage is Stage.GIVEN_UP:
        return None
    return notice if now_s < state.known_s + HOLD_S else None


def _is_requested(state: ChangeState, now_s: float) -> bool:
    notice = get_active_notice(state, now_s)
    return notice is not None and notice.stage is Stage.REQUESTED


def is_commit_held(
    state: ChangeState, position: model.Position, answered_s: float
) -> bool:
    """Return whether a promotion may drop a commit.

    Args:
        state: what is known about the latest change.
        position: position of the acknowledged commit.
        answered_s: when its acknowledgement arrived.
    """
    notice = get_active_notice(state, answered_s)
    if notice is None or position.term >= notice.term:
        return False
    # A commit of an earlier term than the covered log may have been dropped
    # when that term began.
    return position.term < notice.position.term or position > notice.position


def record_told(state: ChangeState, position: model.Position) -> None:
    """Record that a caller is told that a commit is kept."""
    state.told_position = max(state.told_position, position)


def has_objection(
    state: ChangeState,
    term: int,
    position: model.Position,
    fenced_s: float,
    now_s: float,
) -> bool:
    """Return whether a promotion has to wait for a member that isn't known.

    Args:
        state: what is known about the latest change.
        term: term of the new primary.
        position: position that the fenced members cover.
        fenced_s: when the last of them was fenced.
        now_s: the current time.
    """
    if now_s > fenced_s + OBJECTION_WAIT_S:
        return False
    is_earlier_term = state.objected_position.term < term
    return is_earlier_term and state.objected_position > position
