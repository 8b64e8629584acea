"""How many sessions of callers a host may have open.

The rest of its descriptors is set aside for the connections without which the
open sessions couldn't be served: to targets, to the store and to other hosts,
and for readiness checks.
"""

# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200

# Descriptors that are set aside, at least, and the fraction of all but those
# for files: a host of a large fleet has connections to many others.
MIN_SET_ASIDE = 256
SET_ASIDE_FRACTION = 0.05


def compute_max_sessions(max_descriptors: int) -> int | None:
    """Return the largest number of sessions, or None for no limit.

    Args:
        max_descriptors: number of descriptors that the process may have, or 0
            if it isn't known.
    """
    if not max_descriptors:
        return None
    sockets = max(0, max_descriptors - FILE_DESCRIPTORS)
    set_aside = max(MIN_SET_ASIDE, int(sockets * SET_ASIDE_FRACTION))
    return max(1, sockets - set_aside)
