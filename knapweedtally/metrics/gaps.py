"""Write gaps of a group: periods without an acknowledged write.

A write that was refused, or acknowledged late, blocked its caller from its
arrival to its end. The part of that time in which no other write of the group
was acknowledged is a gap. Gaps are detected from the writes that pass through
this host; a period in which the host receives no writes adds no gap.
"""

import dataclasses

# A write that is acknowledged within this time indicates no gap. In the demo,
# promotions took 0.2 s and writes 8 ms on average; the limit lies between them.
MIN_GAP_S = 0.1


@dataclasses.dataclass(slots=True)
class GroupGaps:
    """Write gaps of one group; times are monotonic seconds.

    Attributes:
        blocked_s: sum of all gaps.
        covered_until: time up to which every period has been either counted
            as a gap or ruled out.
        open_gap_s: length of the current gap, which no acknowledged write has
            ended yet; 0 without one.
    """

    blocked_s: float = 0.0
    covered_until: float = 0.0
    open_gap_s: float = 0.0

    def record_write(
        self, arrived_at: float, ended_at: float, is_acknowledged: bool
    ) -> float:
        """Record the end of a write.

        Args:
            arrived_at: time at which the write arrived.
            ended_at: time at which its final answer was given.
            is_acknowledged: whether it was acknowledged.

        Returns:
            The length in seconds of the gap that this write ended, or 0.
        """
        uncovered_s = ended_at - max(arrived_at, self.covered_until)
        is_gap = (
            not is_acknowledged
            or self.open_gap_s > 0
            or uncovered_s > MIN_GAP_S
        )
        self.covered_until = max(self.covered_until, ended_at)
        if is_gap and uncovered_s > 0:
            self.blocked_s += uncovered_s
            self.open_gap_s += uncovered_s
        if not is_acknowledged:
            return 0.0
        gap_s, self.open_gap_s = self.open_gap_s, 0.0
        return gap_s
