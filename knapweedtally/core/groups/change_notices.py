"""Notices about a change of a group's primary, between hosts.

A fence ends if the member restarts, and a member that only the old primary
knows is never fenced. The old primary can then acknowledge commits that the
promoted target lacks. The host that changes the primary therefore tells the
others which position its proof covers. Until the change has ended, they tell no
caller of a later commit of an earlier term.

A host that told a caller of such a commit before the notice arrived objects:
there is a member that the promoter doesn't know, which is listed soon.

Promotions of two targets can be requested within seconds, if the first promoter
gets no answer. Both may take effect, in either order, and each drops what was
committed at the other one. So while a requested promotion may still take
effect, no commit of another target is told, whatever its term. A promotion that
was requested more than once can take effect again after another one.
"""

import dataclasses
import enum
from typing import NamedTuple

from knapweedtally.core.groups import model

# Longest time from a notice to the effect of a promotion, in seconds. A
# promoter awaits the effect for 3 s and the response for 0.7 s, and repeats its
# notice meanwhile.
HOLD_S = 5.0

# Longest time from a request to the effect of a promotion whose promoter gave
# up, in seconds: the call may arrive 3 s late, and the effect take 4 s.
REQUEST_VALIDITY_S = 8.0

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
    REQUESTED_AGAIN = 5


_REQUEST_STAGES = frozenset({Stage.REQUESTED, Stage.REQUESTED_AGAIN})


class Notice(NamedTuple):
    """What a host says about a change of primary.

    Attributes:
        stage: what the notice says.
        term: term of the new primary.
        position: position that covers every commit which was acknowledged
            before the members were fenced. In an objection, the position of a
            later commit.
        target: id of the target whose promotion was requested, or empty.
    """

    stage: Stage
    term: int
    position: model.Position
    target: str = ""


class Request(NamedTuple):
    """A requested promotion that may still take effect.

    Attributes:
        notice: the notice about it.
        known_s: when its promoter last sent that, at the latest.
    """

    notice: Notice
    known_s: float


@dataclasses.dataclass(slots=True)
class ChangeState:
    """What is known about the latest change of a group's primary.

    Attributes:
        notice: the newest notice of its promoter, or None.
        known_s: when the promoter sent it, at the latest.
        told_position: latest position of a commit of which this host told a
            caller.
        objected_position: latest position in an objection.
        requests: the last requested promotion of each target.
        led_terms: the latest term that each target is known to have led.
    """

    notice: Notice | None = None
    known_s: float = _NEVER
    told_position: model.Position = model.Position(0, 0)
    objected_position: model.Position = model.Position(0, 0)
    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    led_terms: dict[str, int] = dataclasses.field(default_factory=dict)


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
    if notice.stage in _REQUEST_STAGES and notice.target:
        _record_request(state, notice, known_s)
    known = state.notice
    if known is not None and notice.term <= known.term:
        if notice.term < known.term or known_s <= state.known_s:
            return None
        if _is_requested(state, known_s):
            # Another promoter may have taken over. The first promotion can
            # still take effect, whatever the second one does.
            if notice.stage not in _REQUEST_STAGES:
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


def _record_request(state: ChangeState, notice: Notice, known_s: float) -> None:
    known = state.requests.get(notice.target)
    if known is not None:
        if known_s <= known.known_s:
            return
        if known.notice.stage is Stage.REQUESTED_AGAIN:
            notice = notice._replace(stage=Stage.REQUESTED_AGAIN)
    has_led = state.led_terms.get(notice.target, 0) >= notice.term
    if not has_led or notice.stage is Stage.REQUESTED_AGAIN:
        state.requests[notice.target] = Request(notice, known_s)


def record_leader(state: ChangeState, target: str, term: int) -> None:
    """Record that a target leads a term, so that its promotion took effect."""
    state.led_terms[target] = max(term, state.led_terms.get(target, 0))
    request = state.requests.get(target)
    if request is None or request.notice.stage is Stage.REQUESTED_AGAIN:
        return
    if request.notice.term <= term:
        del state.requests[target]


def list_requests(state: ChangeState, now_s: float) -> list[Request]:
    """Return the requested promotions that may still take effect."""
    return [
        request
        for request in state.requests.values()
        if now_s < request.known_s + REQUEST_VALIDITY_S
    ]


def get_active_notice(state: ChangeState, now_s: float) -> Notice | None:
    """Return the notice of a promotion that may still take effect."""
    notice = state.notice
    if notice is None or notice.stage is Stage.GIVEN_UP:
        return None
    return notice if now_s < state.known_s + HOLD_S else None


def _is_requested(state: ChangeState, now_s: float) -> bool:
    notice = get_active_notice(state, now_s)
    return notice is not None and notice.stage in _REQUEST_STAGES


def is_commit_held(
    state: ChangeState,
    target: str,
    position: model.Position,
    answered_s: float,
) -> bool:
    """Return whether a promotion may drop a commit.

    Args:
        state: what is known about the latest change.
        target: id of the target that acknowledged the commit.
        position: position of the commit.
        answered_s: when its acknowledgement arrived.
    """
    if is_other_promotion_pending(state, target, position, answered_s):
        return True
    notice = get_active_notice(state, answered_s)
    if notice is None or position.term >= notice.term:
        return False
    # A commit of an earlier term than the covered log may have been dropped
    # when that term began.
    return position.term < notice.position.term or position > notice.position


def is_other_promotion_pending(
    state: ChangeState,
    target: str,
    position: model.Position,
    now_s: float,
) -> bool:
    """Return whether another target may be promoted in this term or later.

    Args:
        state: what is known about the latest change.
        target: id of the target that acknowledged a commit.
        position: position of the commit.
        now_s: the current time.
    """
    return any(
        request.notice.target != target and request.notice.term <= position.term
        for request in list_requests(state, now_s)
    )


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
