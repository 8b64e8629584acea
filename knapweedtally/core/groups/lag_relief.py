"""Change of a primary whose replicas lag, to restore a group's read capacity.

A replica that has fallen behind applies its log in order, so that reads can't
use it until its oldest entries are due, often long after the cause is over. The
primary then serves every read, and most requests are refused. A replica that is
promoted leads with all that it has received, and the former primary follows
with its whole log applied: a change of primary gives the group a replica that
serves reads.

The change itself costs callers the time without a primary. It is made once what
the lag has cost so far, and what it is expected to cost from now on, exceed
that twice. The replicas report how much longer they lag. Where a report turns
out to be too low, the cost so far decides alone.
"""

import dataclasses
from collections.abc import Sequence
from typing import NamedTuple

# What a change costs the callers of a group, in seconds of its whole demand:
# the members' evidence expires in 0.8 s and the promotion takes about as long.
CHANGE_COST_S = 1.7

# By how much the cost of the lag has to exceed that of a change. What the
# replicas report and how long the demand lasts are estimates.
COST_FACTOR = 2.0

# Service that was refused before a change, in seconds of the whole demand. It
# shows that the overload isn't just a burst.
MIN_LOST_S = 0.25

# Longest time for which the present overload is assumed to go on, in seconds.
MAX_EXPECTED_LAG_S = 30.0

# A replica that reports a longer lag than this, in seconds, can't serve the
# reads of the shortest accepted age.
LAGGING_THRESHOLD_S = 1.0

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
        remaining_lag_s: how much longer it lags by its last report, in
            seconds; 0 if there is no recent report.
        has_recent_log: whether it has received what the primary had reached a
            moment ago, so that it can be promoted at once.
    """

    is_lagging: bool
    remaining_lag_s: float
    has_recent_log: bool


@dataclasses.dataclass(slots=True)
class LagRelief:
    """What the lag of a group's replicas costs its callers.

    Attributes:
        lost_s: refused service since all replicas lag, in seconds of the whole
            demand.
        expected_s: the same, expected until the first replica is fresh.
        updated_s: when this was last updated, or None.
        can_change: whether a replica can be promoted at once.
    """

    lost_s: float = 0.0
    expected_s: float = 0.0
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
    if not replicas or not all(map(_is_lagging, replicas)):
        state.lost_s = state.expected_s = 0.0
        return
    remaining_s = min(replica.remaining_lag_s for replica in replicas)
    state.lost_s += refused_share * elapsed_s
    state.expected_s = refused_share * min(MAX_EXPECTED_LAG_S, remaining_s)


def _is_lagging(replica: Replica) -> bool:
    return replica.is_lagging or replica.remaining_lag_s > LAGGING_THRESHOLD_S


def needs_reports(state: LagRelief) -> bool:
    """Return whether a host has to request the replicas' reports itself.

    Pollers have the reports and act before that, unless they can't reach the
    store.
    """
    return state.lost_s >= CHANGE_COST_S


def is_change_due(state: LagRelief, known_since_s: float, now_s: float) -> bool:
    """Return whether a change of primary is worth what it costs.

    Args:
        state: what the lag costs.
        known_since_s: when the primary became known.
        now_s: the current time.
    """
    if now_s - known_since_s < MIN_LEAD_S or not state.can_change:
        return False
    cost_s = state.lost_s + state.expected_s
    return state.lost_s >= MIN_LOST_S and cost_s >= COST_FACTOR * CHANGE_COST_S
