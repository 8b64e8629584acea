"""The clock of all evidence."""

import time


def get_time_s() -> float:
    """Return the seconds since the machine's start, suspended time included.

    The steady clock stands still while a machine is suspended, and the time of
    day may jump; neither can bound the age of evidence.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
