"""Times during which a group's writes could not land, as seen by this host.

A write that was refused, or that landed late, blocked its caller from its
arrival to its end. The part of that time in which no other write of the
group landed is a gap. Nothing is seen of a time without writes.
"""

import dataclasses

# A write that lands within this time is no sign of a gap: promotions in the
# demo took 0.2 s, its writes 8 ms on average. Chosen between the two.
MIN_GAP_S = 0.1


@dataclasses.dataclass(slots=True)
class GroupGaps:
    """Hold the gaps of one group's writes; times are monotonic seconds.

    Attributes:
        blocked_s: sum of all gaps.
        covered_until: time up to which gaps are counted or excluded.
        open_s: length of the gap that no landed write has ended yet.
    """

    blocked_s: float = 0.0
    covered_until: float = 0.0
    open_s: float = 0.0

    def note_write(
        self, arrived_at: float, ended_at: float, has_landed: bool
    ) -> float:
        """Take in the end of a write.

        Args:
            arrived_at: when the write arrived.
            ended_at: when its final answer was given.
            has_landed: whether it was acknowledged.

        Returns:
            The length of the gap that this write ended, or 0.
        """
        length_s = ended_at - max(arrived_at, self.covered_until)
        is_gap = not has_landed or self.open_s > 0 or length_s > MIN_GAP_S
        self.covered_until = max(self.covered_until, ended_at)
        if is_gap and length_s > 0:
            self.blocked_s += length_s
            self.open_s += length_s
        if not has_landed:
            return 0.0
        ended_s, self.open_s = self.open_s, 0.0
        return ended_s
