"""The clock for all times and ages within an entry host."""

import time


def get_time_s() -> float:
    """Return the seconds since boot, including time spent suspended.

    The monotonic clock doesn't advance while a machine is suspended, and the
    wall clock may jump. Neither can bound the age of evidence.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
