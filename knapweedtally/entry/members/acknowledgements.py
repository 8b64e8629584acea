"""Commits that a target acknowledged and evidence doesn't confirm yet."""

from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import change_notices
from knapweedtally.core.groups import evidence
from knapweedtally.core.groups import model
from knapweedtally.entry.common import supervision

# Error detail of a commit that is not confirmed before its deadline, or whose
# primary was replaced.
UNCONFIRMED_DETAIL = (
    "acknowledged, but the primary may have been replaced before"
)


class PendingCommit(NamedTuple):
    """An acknowledged commit that no evidence confirms yet.

    Attributes:
        target: id of the target that acknowledged the commit.
        position: position of the commit.
        answered_s: time at which the target's answer arrived.
        deadline_s: time until which evidence is awaited.
        on_settled: called once with whether the commit is confirmed, so that
            no change of primary can lose it.
    """

    target: str
    position: model.Position
    answered_s: float
    deadline_s: float
    on_settled: Callable[[bool], None]


class Acknowledgements:
    """Delay the success of commits until evidence confirms them.

    A primary that was replaced without knowing it may still acknowledge
    commits, which are then lost. Nearly always the evidence already confirms a
    commit when its answer arrives, so that it is settled at once.
    """

    def __init__(self, leadership: evidence.Leadership) -> None:
        """Create an empty list for one group.

        Args:
            leadership: evidence about the group's primary.
        """
        self._leadership = leadership
        self._pending: list[PendingCommit] = []

    def add(self, pending: PendingCommit, now_s: float) -> None:
        """Add a commit and settle it as soon as evidence allows it."""
        self._pending.append(pending)
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Settle the commits that evidence decides or that are overdue."""
        if not self._pending:
            return
        settled = []
        waiting = []
        for pending in self._pending:
            is_confirmed = evidence.check_commit(
                self._leadership,
                pending.target,
                pending.position,
                pending.answered_s,
            )
            if is_confirmed is None and now_s < pending.deadline_s:
                waiting.append(pending)
            else:
                settled.append((pending, bool(is_confirmed)))
        self._pending = waiting
        for pending, is_confirmed in settled:
            if is_confirmed:
                change_notices.record_told(
                    self._leadership.change, pending.position
                )
            supervision.contain(
                "acknowledgement", pending.on_settled, is_confirmed
            )
