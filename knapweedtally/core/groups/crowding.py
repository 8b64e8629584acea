"""Refuse early what a crowded primary can't run in time.

Answers the load in which a group's callers want more of its primary than it can
run, as when all its replicas lag and it serves every read. Its queue is then
full: whatever gets in waits for the whole of it, the urgent like the rest, and
most of it is answered too late. So hosts refuse a share of the new requests at
once and keep the queue short for those that they let through. Open
transactions are let through, since slots have been spent on them already.

The share follows from the queue's waiting time as in RFC 8033 (PIE): a
proportional integral controller. The hosts that ask for a group measure the
wait and tell the share to the others, each of which sees too few answers of
its own to know it.
"""

import dataclasses

# Waiting time at the primary that is aimed at, in seconds: a few runs of a
# statement, which leaves the rest of a caller's time for running it.
WAIT_TARGET_S = 0.045

# Gains of the controller: by how much the share rises for each second of wait
# beyond the target and second passed, and for each second that it grew there.
# From ``python -m bench placing``, for a wait measured every 0.36 s.
INTEGRAL_GAIN = 2.8
PROPORTIONAL_GAIN = 4.0

# A longer pause between two measurements counts as this, in seconds: the wait
# in between is not known.
MAX_STEP_S = 0.5

# Wait that is taken for that of a target whose queue is full, in seconds.
FULL_WAIT_S = 0.15

# Some requests always pass, so that the end of the crowd is noticed.
MAX_SHARE = 0.9

# A share that was not renewed for this long, in seconds, is out of date.
MAX_AGE_S = 1.5

# What is more urgent than a group's usual request is refused this much less.
URGENT_FACTOR = 0.3

# Weight of the newest request in the moving average of priorities, and the
# distance from it that makes a request urgent.
PRIORITY_WEIGHT = 0.05
URGENT_DISTANCE = 0.25


@dataclasses.dataclass(slots=True)
class Crowding:
    """Hold how crowded a group's primary is.

    Attributes:
        share: share of new requests to refuse, from 0 to ``MAX_SHARE``.
        beyond_s: by how much the last measured wait exceeded the target.
        noted_s: when the share was last found, or None.
        usual_priority: moving average of the requests' priorities, or None.
    """

    share: float = 0.0
    beyond_s: float = 0.0
    noted_s: float | None = None
    usual_priority: float | None = None


def note_wait(crowding: Crowding, wait_s: float, now_s: float) -> None:
    """Adjust the share to a measured waiting time."""
    passed_s = MAX_STEP_S
    if crowding.noted_s is not None:
        passed_s = min(MAX_STEP_S, max(0.0, now_s - crowding.noted_s))
    beyond_s = max(0.0, wait_s - WAIT_TARGET_S)
    change = INTEGRAL_GAIN * (wait_s - WAIT_TARGET_S) * passed_s
    change += PROPORTIONAL_GAIN * (beyond_s - crowding.beyond_s)
    crowding.share = min(MAX_SHARE, max(0.0, crowding.share + change))
    crowding.beyond_s = beyond_s
    crowding.noted_s = now_s


def note_share(crowding: Crowding, share: float, now_s: float) -> None:
    """Take the share that another host found."""
    crowding.share = min(MAX_SHARE, max(0.0, share))
    crowding.noted_s = now_s


def note_new_primary(crowding: Crowding) -> None:
    """Forget what was measured at another primary."""
    crowding.share = crowding.beyond_s = 0.0
    crowding.noted_s = None


def note_request(crowding: Crowding, priority: int) -> None:
    """Record the priority of a new request; 0 is the highest."""
    usual = crowding.usual_priority
    if usual is None:
        crowding.usual_priority = float(priority)
    else:
        crowding.usual_priority = usual + PRIORITY_WEIGHT * (priority - usual)


def get_share(crowding: Crowding, now_s: float) -> float:
    """Return the share to refuse, 0 when it is out of date."""
    noted_s = crowding.noted_s
    if noted_s is None or now_s - noted_s > MAX_AGE_S:
        return 0.0
    return crowding.share


def should_refuse(
    crowding: Crowding, priority: int, chance: float, now_s: float
) -> bool:
    """Tell whether a new request for the primary is refused.

    Args:
        crowding: what is known of the primary.
        priority: the request's; 0 is the highest.
        chance: a random number from 0 to 1.
        now_s: the time.
    """
    share = get_share(crowding, now_s)
    usual = crowding.usual_priority
    if usual is not None and priority < usual - URGENT_DISTANCE:
        share *= URGENT_FACTOR
    return chance < share
