"""A monotonic clock that also advances while the machine is suspended."""

import time


def boottime_s() -> float:
    """Returns the time since boot in seconds, including suspended time.

    Ages of confirmations and of copied documents are measured on this clock,
    so that they also grow while the machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
