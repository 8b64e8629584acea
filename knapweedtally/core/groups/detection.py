"""Tell from what a host sees whether a group's primary has to be replaced."""

from typing import NamedTuple

from knapweedtally.core.groups import steps

# A primary whose machine refuses connections is given up after this, in
# seconds: two attempts, so that a restart in between is seen.
REFUSED_S = 0.2

# The same for one that is silent: longer than any of the answers takes that a
# target with a full queue gives.
SILENT_S = 0.5

# No host may have seen the primary lead for this long, in seconds: more than
# the interval at which hosts ask and tell one another.
UNSEEN_S = 0.5

# A commit without an answer for this long, in seconds, while the primary
# answers questions, shows that no replica receives.
STALLED_S = 0.8

# Members that answer and don't receive for this long, in seconds, were left
# stopped by a promoter that ended.
STOPPED_S = 2.5

# Without a known primary for this long, in seconds: a change under way has
# ended by then.
ABSENT_S = 1.6

# A new primary is left alone for this long, in seconds, so that two hosts
# with different views don't move a group back and forth.
SETTLE_S = 2.0


class View(NamedTuple):
    """Hold what a host sees of a group's primary.

    Attributes:
        has_primary: whether one is known.
        known_since_s: when it became known.
        unled_since_s: since when none is known, or None.
        failing_since_s: first failure since its last answer, or None.
        failures: failures since then.
        is_refusing: whether they were refusals.
        is_leaving: whether it is draining or its entry is gone.
        oldest_commit_s: when the oldest commit under way was sent, or None.
        last_commit_s: when the newest acknowledged commit was sent.
        primary_seen_s: when the primary was last known to lead, by any host.
        member_seen_s: when another member was last seen receiving.
        answering_members: number of other members that answer this host.
        other_members: number of other members.
    """

    has_primary: bool
    known_since_s: float
    unled_since_s: float | None
    failing_since_s: float | None
    failures: int
    is_refusing: bool
    is_leaving: bool
    oldest_commit_s: float | None
    last_commit_s: float
    primary_seen_s: float
    member_seen_s: float
    answering_members: int
    other_members: int


def find_cause(view: View, now_s: float) -> steps.Cause | None:
    """Return why the primary has to be replaced, or None."""
    if not view.other_members:
        return None
    if not view.has_primary:
        since_s = view.unled_since_s
        is_late = since_s is not None and now_s - since_s > ABSENT_S
        can_fence = view.answering_members >= view.other_members - 1
        return steps.Cause.ABSENT if is_late and can_fence else None
    if _is_unreachable(view, now_s):
        # A host that doesn't reach the others leaves the change to one that
        # does.
        can_fence = view.answering_members >= view.other_members
        return steps.Cause.UNREACHABLE if can_fence else None
    if view.is_leaving:
        return steps.Cause.LEAVING
    if now_s - view.known_since_s < SETTLE_S:
        return None
    return steps.Cause.STALLED if _is_stalled(view, now_s) else None


def _is_unreachable(view: View, now_s: float) -> bool:
    if view.failing_since_s is None or view.failures < 2:
        return False
    limit_s = REFUSED_S if view.is_refusing else SILENT_S
    # Where other hosts see the primary lead, only this host is cut off.
    is_unseen = now_s - view.primary_seen_s > UNSEEN_S
    return is_unseen and now_s - view.failing_since_s > limit_s


def _is_stalled(view: View, now_s: float) -> bool:
    if not view.answering_members or view.failing_since_s is not None:
        return False
    oldest_s = view.oldest_commit_s
    if oldest_s is not None and now_s - oldest_s > STALLED_S:
        return view.last_commit_s < oldest_s
    return now_s - max(view.member_seen_s, view.known_since_s) > STOPPED_S
