"""Load shedding for an overloaded primary.

A primary is overloaded when callers send it more requests than it can run, for
example when all its replicas lag and it serves every read. Its queue is then
full: each request, urgent or not, waits for the whole queue, and most are
answered too late. Hosts therefore refuse a share of the new requests at once,
which keeps the queue short for the requests that they admit. Requests in open
transactions are always admitted, since slots were already spent on them.

The share is computed from the queueing delay by a proportional-integral
controller, as in RFC 8033 (PIE). The hosts that poll a group's targets measure
the delay and send the share to the other hosts, each of which receives too few
answers of its own to measure it.
"""

import dataclasses

# Queueing delay at the primary that the controller aims at: the run time of a
# few statements, which leaves most of a caller's timeout for the statement.
TARGET_QUEUEING_DELAY_S = 0.045

# Gains of the controller, for a delay that is measured every 0.36 s. The
# integral gain applies to the difference between the delay and
# TARGET_QUEUEING_DELAY_S, per elapsed second; the proportional gain applies to
# the change of the delay in excess of TARGET_QUEUEING_DELAY_S. ``python -m
# bench placing`` evaluates the gains.
INTEGRAL_GAIN = 2.8
PROPORTIONAL_GAIN = 4.0

# Upper limit for the time between two measurements that the controller takes
# into account, since the delay between them is not known.
MAX_INTERVAL_S = 0.5

# Lowest queueing delay that is assumed for a target whose queue is full.
FULL_QUEUE_DELAY_S = 0.15

# Some requests are always admitted, so that the end of the overload is noticed.
MAX_REFUSED_SHARE = 0.9

# A share that was not updated for this long is no longer applied.
MAX_SHARE_AGE_S = 1.5

# The share is multiplied by this for requests that are more urgent than the
# group's average request.
URGENT_SHARE_FACTOR = 0.3

# Weight of the newest request in the moving average of priorities, and how far
# below this average the priority of an urgent request is.
PRIORITY_WEIGHT = 0.05
URGENT_PRIORITY_MARGIN = 0.25


@dataclasses.dataclass(slots=True)
class LoadShedding:
    """The state of load shedding for a group's primary.

    Attributes:
        refused_share: share of new requests to refuse, from 0 to
            ``MAX_REFUSED_SHARE``.
        excess_s: by how much the last measured delay exceeded
            ``TARGET_QUEUEING_DELAY_S``.
        updated_s: when the share was last updated, or None.
        average_priority: moving average of the requests' priorities, or None.
    """

    refused_share: float = 0.0
    excess_s: float = 0.0
    updated_s: float | None = None
    average_priority: float | None = None


def record_queueing_delay(
    state: LoadShedding, wait_s: float, now_s: float
) -> None:
    """Update the share from a measured queueing delay."""
    elapsed_s = MAX_INTERVAL_S
    if state.updated_s is not None:
        elapsed_s = min(MAX_INTERVAL_S, max(0.0, now_s - state.updated_s))
    excess_s = max(0.0, wait_s - TARGET_QUEUEING_DELAY_S)
    share_change = (
        INTEGRAL_GAIN * (wait_s - TARGET_QUEUEING_DELAY_S) * elapsed_s
    )
    share_change += PROPORTIONAL_GAIN * (excess_s - state.excess_s)
    state.refused_share = min(
        MAX_REFUSED_SHARE, max(0.0, state.refused_share + share_change)
    )
    state.excess_s = excess_s
    state.updated_s = now_s


def set_refused_share(state: LoadShedding, share: float, now_s: float) -> None:
    """Set the share to the value that another host computed."""
    state.refused_share = min(MAX_REFUSED_SHARE, max(0.0, share))
    state.updated_s = now_s


def reset_refused_share(state: LoadShedding) -> None:
    """Reset the share, which was measured at the previous primary."""
    state.refused_share = state.excess_s = 0.0
    state.updated_s = None


def record_priority(state: LoadShedding, priority: int) -> None:
    """Add a new request's priority to the moving average; 0 is the highest."""
    average = state.average_priority
    if average is None:
        state.average_priority = float(priority)
    else:
        state.average_priority = average + PRIORITY_WEIGHT * (
            priority - average
        )


def get_refused_share(state: LoadShedding, now_s: float) -> float:
    """Return the share of new requests to refuse; 0 if it is out of date."""
    updated_s = state.updated_s
    if updated_s is None or now_s - updated_s > MAX_SHARE_AGE_S:
        return 0.0
    return state.refused_share


def should_refuse(
    state: LoadShedding, priority: int, chance: float, now_s: float
) -> bool:
    """Return whether to refuse a new request for the primary.

    Args:
        state: the state of load shedding for the primary.
        priority: priority of the request; 0 is the highest.
        chance: a random number from 0 to 1.
        now_s: the current time.
    """
    share = get_refused_share(state, now_s)
    average = state.average_priority
    if average is not None and priority < average - URGENT_PRIORITY_MARGIN:
        share *= URGENT_SHARE_FACTOR
    return chance < share
