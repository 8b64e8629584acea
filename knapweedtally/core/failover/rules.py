"""Safety rules of a failover, one function each.

Code calls them through this module, so that a test can replace a rule and
check that the test of its guarantee fails.
"""

from collections.abc import Collection
from collections.abc import Mapping

from knapweedtally.core import model


def count_majority(size: int) -> int:
    """Return the smallest majority of a set of this size."""
    return size // 2 + 1


def is_failure_agreed(
    observers: Collection[str], failed: Collection[str]
) -> bool:
    """Return whether a majority of a target's observers reports a failure."""
    return len(failed) >= count_majority(max(len(observers), 1))


def is_majority_fenced(group: model.Group, fenced: Collection[str]) -> bool:
    """Return whether a majority of a group's instances installed the term.

    Instances that have left the group since don't count.
    """
    members = {target.id for target in group.targets}
    return len(members.intersection(fenced)) >= count_majority(len(members))


def choose_primary(
    group: model.Group,
    fenced: Mapping[str, model.Position],
    preferred: str,
    replaced: str,
) -> str:
    """Return the most advanced instance of a fenced majority.

    The replaced primary is excluded if the others form a majority without it.
    Every acknowledged write is also on one of them; a write that only the
    replaced primary holds was never acknowledged. Instances that have left
    the group since are always excluded.

    Args:
        group: the group.
        fenced: last log entry of each instance that installed the term.
        preferred: target to choose if none is more advanced, or empty.
        replaced: primary that failed, or empty.
    """
    centres = {target.id: target.data_centre for target in group.targets}
    members = {
        target: position
        for target, position in fenced.items()
        if target in centres
    }
    others = {
        target: position
        for target, position in members.items()
        if target != replaced
    }
    if not is_majority_fenced(group, others):
        others = members
    newest = max(others.values())
    return min(
        (target for target, position in others.items() if position == newest),
        key=lambda target: (
            target in group.leaving,
            target != preferred,
            target == replaced,
            centres.get(target) != centres.get(replaced),
            target,
        ),
    )


def is_own_operation(record: model.GroupRecord, operation: str) -> bool:
    """Return whether the operation with this id began the record's term."""
    return record.operation == operation


def get_expected_version(record: model.GroupRecord | None) -> int:
    """Return the version that a conditional update of the record expects."""
    return record.version if record else 0


def is_replaceable(
    cooldown_ends_at: float,
    at: float,
    reasons: Collection[str],
    was_opened: bool,
) -> bool:
    """Return whether a failed primary may be replaced now.

    During the cooldown after a promotion, a primary that was opened is replaced
    only if all reporting observers had their connections refused.

    Args:
        cooldown_ends_at: end of the cooldown after the last promotion, in
            seconds.
        at: time now, in seconds.
        reasons: why its observers report it as failed.
        was_opened: whether one of them saw it open for writes in its term.
    """
    if at >= cooldown_ends_at or not was_opened:
        return True
    return all(reason == "refused" for reason in reasons)
