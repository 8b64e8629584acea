"""Detection of primaries that have to be replaced, from one host's view."""

from typing import NamedTuple

from knapweedtally.core.groups import fences
from knapweedtally.core.groups import steps

# A primary whose machine refuses connections counts as failed after this time,
# which allows two attempts, so that a restart in between is noticed.
REFUSED_TIMEOUT_S = 0.2

# A primary that doesn't answer counts as failed after this time, which is
# longer than any answer of a target with a full queue takes.
NO_ANSWER_TIMEOUT_S = 0.5

# A primary counts as failed only if no host has seen it act as the primary for
# this long, which is more than the interval at which hosts poll targets and
# share the results.
PRIMARY_UNSEEN_TIMEOUT_S = 0.5

# A commit that gets no answer for this long while the primary answers status
# requests shows that no replica receives its log.
COMMIT_STALL_TIMEOUT_S = 0.8

# Members that answer but haven't received the log for this long were left
# paused by a promoter that ended.
MEMBERS_PAUSED_TIMEOUT_S = 2.5

# A group gets a new primary after this long without a known one. A change of
# primary that was already running has ended by then.
NO_PRIMARY_TIMEOUT_S = 1.6

# A primary isn't replaced until this long after a member has answered this host
# again, in seconds: two intervals of the pollers. A host that was cut off
# reaches some targets before others, and hears of the primary a little later.
RECOVERY_SETTLING_S = 0.7

# A new primary isn't replaced because of stalled commits for this long, so that
# two hosts with different views don't switch a group back and forth.
NEW_PRIMARY_GRACE_S = 2.0


class PrimaryView(NamedTuple):
    """One host's view of a group's primary.

    Attributes:
        has_primary: whether a primary is known.
        known_since_s: when the primary became known.
        no_primary_since_s: since when no primary is known, or None.
        failing_since_s: first failure since the primary's last answer, or
            None.
        failures: number of failures since then.
        is_refusing: whether these failures were refused connections.
        is_leaving: whether the primary is draining or its entry is missing.
        oldest_commit_s: when the oldest unanswered commit was sent, or None.
        last_commit_s: when the newest acknowledged commit was sent.
        primary_seen_s: when any host last knew that the primary was still the
            primary.
        member_seen_s: when another member was last seen receiving the log.
        answering_members: number of other members that answer this host.
        other_members: number of other members.
        is_settled: whether all other members are known.
        has_last_primary: whether no primary is known, and the last one
            answers and has every acknowledged commit.
        recovered_s: when a member last answered after it had been unresponsive.
        is_relief_due: whether a change would end the lag of the replicas.
    """

    has_primary: bool
    known_since_s: float
    no_primary_since_s: float | None
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
    is_settled: bool
    has_last_primary: bool = False
    recovered_s: float = float("-inf")
    is_relief_due: bool = False


def find_cause(view: PrimaryView, now_s: float) -> steps.Cause | None:
    """Return the cause for replacing the primary, or None without a cause."""
    if not view.other_members:
        return None
    # If other hosts still see the primary, only this host is disconnected.
    is_unseen = now_s - view.primary_seen_s > PRIMARY_UNSEEN_TIMEOUT_S
    if not view.has_primary:
        is_due = not explain_absence(view, now_s)
        return steps.Cause.ABSENT if is_due else None
    if now_s - view.recovered_s < RECOVERY_SETTLING_S:
        return steps.Cause.LEAVING if view.is_leaving else None
    if is_unseen and _is_unreachable(view, now_s):
        # A host that doesn't reach all other members leaves the change to a
        # host that does.
        can_fence = view.answering_members >= view.other_members
        can_change = can_fence and view.is_settled
        return steps.Cause.UNREACHABLE if can_change else None
    if view.is_leaving:
        return steps.Cause.LEAVING
    if now_s - view.known_since_s < NEW_PRIMARY_GRACE_S:
        return None
    if _is_stalled(view, now_s):
        return steps.Cause.STALLED
    return steps.Cause.LAGGING if view.is_relief_due else None


def explain_absence(view: PrimaryView, now_s: float) -> str:
    """Return why a group without a primary gets none yet.

    Returns:
        An empty text if a change is due.
    """
    since_s = view.no_primary_since_s
    needed = fences.count_fences_without_primary(view.other_members)
    has_log_proof = view.has_last_primary and view.answering_members > 1
    conditions = (
        (
            since_s is not None and now_s - since_s > NO_PRIMARY_TIMEOUT_S,
            "a change that is under way may still end",
        ),
        (
            now_s - view.primary_seen_s > PRIMARY_UNSEEN_TIMEOUT_S,
            "another host sees a primary",
        ),
        (view.is_settled, "targets that run may not be listed yet"),
        (
            view.answering_members >= needed or has_log_proof,
            f"{view.answering_members} members answer; {needed} have to, or"
            " the last primary and another one",
        ),
    )
    return next((text for is_met, text in conditions if not is_met), "")


def _is_unreachable(view: PrimaryView, now_s: float) -> bool:
    if view.failing_since_s is None or view.failures < 2:
        return False
    limit_s = REFUSED_TIMEOUT_S if view.is_refusing else NO_ANSWER_TIMEOUT_S
    return now_s - view.failing_since_s > limit_s


def _is_stalled(view: PrimaryView, now_s: float) -> bool:
    if not view.answering_members or view.failing_since_s is not None:
        return False
    oldest_s = view.oldest_commit_s
    if oldest_s is not None and now_s - oldest_s > COMMIT_STALL_TIMEOUT_S:
        return view.last_commit_s < oldest_s
    # A host that was cut off has old evidence until others share theirs.
    since_s = max(view.member_seen_s, view.known_since_s, view.recovered_s)
    return now_s - since_s > MEMBERS_PAUSED_TIMEOUT_S
