"""The clock by which beliefs grow old, also while the machine is asleep."""

import time


def boot_s() -> float:
    """Returns seconds since the boot, time spent suspended included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
