"""A monotonic clock that also advances while the machine is suspended."""

import time


def boottime_s() -> float:
    """Returns the time since boot in seconds, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
