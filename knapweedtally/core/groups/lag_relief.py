"""Change of a primary whose replicas lag, to restore a group's read capacity.

A replica that has fallen behind applies its log in order, so that reads can't
use it for as long as its oldest entries wait, often long after the cause is
over. The primary then serves every read, and most requests are refused. A
replica that is promoted leads with all that it has received, and the former
primary follows with its whole log applied: a change of primary gives the group
a replica that serves reads.

The change itself costs callers the time without a primary. It is made once the
requests refused so far would have paid for it. How long the lag goes on isn't
known, and by this rule callers never lose more than twice what the best choice
in hindsight would have cost them.
"""

import dataclasses
from collections.abc import Sequence
from typing import NamedTuple

# What a change costs the callers of a group, in seconds of its whole demand:
# the members' evidence expires in 0.8 s and the promotion takes about as long.
CHANGE_COST_S = 1.6

# A primary isn't replaced because of lag until it has led for this long, in
# seconds, so that a lag which a change doesn't cure costs at most a sixth of
# the group's service.
MIN_LEAD_S = 10.0

# A longer time between two updates, in seconds, isn't counted in full: what
# happened in between isn't known.
MAX_INTERVAL_S = 0.2


class Replica(NamedTuple):
    """One host's view of a replica.

    Attributes:
        is_lagging: whether reads there lag by more than callers accept.
        has_recent_log: whether it has received what the primary had reached a
            moment ago, so that it can be promoted at once.
    """

    is_lagging: bool
    has_recent_log: bool


@dataclasses.dataclass(slots=True)
class LagRelief:
    """What the lag of a group's replicas has cost its callers.

    Attributes:
        lost_s: refused service since all replicas lag, in seconds of the whole
            demand.
        updated_s: when this was last updated, or None.
        can_change: whether a replica can be promoted at once.
    """

    lost_s: float = 0.0
    updated_s: float | None = None
    can_change: bool = False


def update(
    state: LagRelief,
    replicas: Sequence[Replica],
    refused_share: float,
    now_s: float,
) -> None:
    """Count what is refused while all replicas lag.

    Args:
        state: the state to update.
        replicas: the replicas that answer.
        refused_share: share of the requests for the primary that is refused.
        now_s: the current time.
    """
    elapsed_s = 0.0
    if state.updated_s is not None:
        elapsed_s = min(MAX_INTERVAL_S, max(0.0, now_s - state.updated_s))
    state.updated_s = now_s
    state.can_change = any(replica.has_recent_log for replica in replicas)
    if replicas and all(replica.is_lagging for replica in replicas):
        state.lost_s += refused_share * elapsed_s
    else:
        state.lost_s = 0.0


def is_change_due(state: LagRelief, known_since_s: float, now_s: float) -> bool:
    """Return whether a change of primary is worth what it costs.

    Args:
        state: what the lag has cost so far.
        known_since_s: when the primary became known.
        now_s: the current time.
    """
    has_led = now_s - known_since_s >= MIN_LEAD_S
    return has_led and state.can_change and state.lost_s >= CHANGE_COST_S
