"""Commits that a target acknowledged, until evidence covers them."""

from collections.abc import Callable
from typing import NamedTuple

from knapweedtally.core.groups import evidence

# What the caller and the log are told of a commit that stays uncertain.
UNPROVEN = "acknowledged, but the primary may have been replaced before"


class Pending(NamedTuple):
    """Hold an acknowledged commit that no evidence covers yet.

    Attributes:
        term: its term.
        answered_s: when the target's answer arrived.
        deadline_s: until when evidence is awaited.
        on_settled: told whether the commit is certain to be kept.
    """

    term: int
    answered_s: float
    deadline_s: float
    on_settled: Callable[[bool], None]


class Acknowledgements:
    """Hold back what a replaced primary may have acknowledged.

    Nearly always evidence covers a commit when its answer arrives, and nothing
    waits.
    """

    def __init__(self, leadership: evidence.Leadership) -> None:
        """Make an empty list for one group."""
        self._leadership = leadership
        self._pending: list[Pending] = []

    def add(self, pending: Pending, now_s: float) -> None:
        """Settle a commit now, or as soon as evidence allows it."""
        self._pending.append(pending)
        self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Tell what has become certain or overdue."""
        if not self._pending:
            return
        waiting, self._pending = self._pending, []
        for pending in waiting:
            is_kept = evidence.judge_commit(
                self._leadership, pending.term, pending.answered_s
            )
            if is_kept is None and now_s < pending.deadline_s:
                self._pending.append(pending)
            else:
                pending.on_settled(bool(is_kept))
