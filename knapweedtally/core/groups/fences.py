"""How many fenced members prove that they have every acknowledged commit."""

from knapweedtally.core.groups import steps

# Without a known primary, at least this many members have to be fenced. A
# commit is on two members, and one of them may not be listed.
MIN_FENCES_WITHOUT_PRIMARY = 2


def count_fences_needed(attempt: steps.Attempt) -> int:
    """Return how many of the other members have to be fenced.

    Each acknowledged commit is on at least two members. All members but one
    together therefore have every acknowledged commit, and the remaining member
    can't get another commit acknowledged on its own.
    """
    if attempt.old_primary is not None:
        return len(attempt.others)
    return count_fences_without_primary(len(attempt.others))


def count_fences_without_primary(members: int) -> int:
    """Return how many members to fence if none is known to be the primary."""
    return max(MIN_FENCES_WITHOUT_PRIMARY, members - 1)


def has_fenced_enough(attempt: steps.Attempt) -> bool:
    """Return whether the fenced members have every acknowledged commit."""
    needed_fences = max(1, count_fences_needed(attempt))
    return attempt.is_settled and _count_proofs(attempt) >= needed_fences


def _count_proofs(attempt: steps.Attempt) -> int:
    """Return how many fenced members stand for all that had their place.

    A member that replaced one whose position isn't known may have started with
    an empty log, or with a part of the other's. It counts if it has a log, and
    neither a fenced member nor the last primary was known to be ahead of it.
    """
    received = {t: r.status.received for t, r in attempt.fenced.items()}
    floor = max((attempt.successor_floor, *received.values()))
    return sum(
        target not in attempt.successors
        or (position.number > 0 and position >= floor)
        for target, position in received.items()
    )
