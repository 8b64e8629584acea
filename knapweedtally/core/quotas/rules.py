"""The rules that keep a team's operations below its limit.

Each is called through this module, so that a test can disable it and show that
a check fails without it.
"""

# Validity of a token, in seconds, from the sending of the question. It adds
# rate x lease to a window, which the tolerance has to cover.
LEASE_S = 0.25

# A longer time without a periodic check, in seconds, may have let another host
# take over the slice. That takes three missed heartbeats, so at least 2 s.
SUSPENSION_S = 1.0

# A host grants nothing for this long after its start or a suspension, in
# seconds: by then it has heard the other hosts and they have heard it. After a
# start it grants as soon as all hosts of its data centre have answered it.
SETTLING_TIME_S = 3.0

# Most tokens with which a slice starts whose allocator has just started, for
# how many such starts of a slice in a window the bound allows, and the part of
# the tolerance that they may use. Without a token, a small team waits for its
# first one for seconds after a restart of all hosts.
MAX_START_LEVEL = 1.0
MAX_STARTS = 3
START_PART = 0.8

# Hosts that were heard within this time count when an allocator determines
# which part of its data centre it sees, in seconds.
MEMORY_S = 60.0


# Hosts that were listed in the store, but not heard since the start, count as
# heard for this long, in seconds.
UNHEARD_MEMORY_S = 10.0

# Longest wait of an operation for its token, in seconds and as a part of its
# remaining time. Two silent allocators take 0.12 s, after which the third is
# still asked.
MAX_WAIT_S = 0.2
MAX_WAIT_PART = 1 / 3

# Longest wait while the host starts, in seconds. After a restart of all hosts,
# no allocator grants for some tenths of a second; callers that are refused at
# once have used their retries by then.
MAX_START_WAIT_S = 0.8


def was_suspended(last_s: float, now_s: float) -> bool:
    """Return whether a host has not run for a while."""
    return now_s - last_s > SUSPENSION_S


def is_settled(
    since_s: float, now_s: float, is_listed: bool, has_met: bool
) -> bool:
    """Return whether a host knows the other hosts well enough to grant.

    Another host may grant from the same slice until it has heard of this one.

    Args:
        since_s: time of the start or of the end of the last suspension.
        now_s: the current time.
        has_met: whether each host of the data centre has answered since then.
        is_listed: whether the known hosts were listed. Without the list a host
            may know one data centre only and take its slice for all of them.
    """
    return is_listed and (has_met or now_s - since_s >= SETTLING_TIME_S)


def compute_share(live: int, recent: int) -> float:
    """Return the part of a slice that one allocator may grant.

    The parts of a data centre that is divided see disjoint sets of live hosts,
    so their shares add up to one at most.

    Args:
        live: number of live hosts of the data centre.
        recent: number of its hosts that were heard lately.
    """
    return live / max(live, recent, 1)


def get_initial_level(capacity: float) -> float:
    """Return the tokens with which a bucket starts.

    None, because a predecessor may just have granted a burst.
    """
    return 0.0


def limit_level(level: float, capacity: float) -> float:
    """Return the tokens that a bucket may keep."""
    return min(level, capacity)


def is_newer(version: int, known: int) -> bool:
    """Return whether a limit replaces the known one."""
    return version > known


def is_valid(expires_s: float, now_s: float) -> bool:
    """Return whether a token may still be used."""
    return now_s < expires_s


def compute_expiry_s(asked_s: float, received_s: float) -> float:
    """Return until when a token may be used, on the asking host's clock."""
    return asked_s + LEASE_S


def is_repeated(ask: int, last: int | None) -> bool:
    """Return whether a question was answered already."""
    return ask == last


def compute_wait_s(left_s: float, is_starting: bool = False) -> float:
    """Return how long an operation with this time left waits for a token.

    Args:
        left_s: time that the operation has left.
        is_starting: whether its host has just started.
    """
    longest_s = MAX_START_WAIT_S if is_starting else MAX_WAIT_S
    return max(0.0, min(longest_s, left_s * MAX_WAIT_PART))
