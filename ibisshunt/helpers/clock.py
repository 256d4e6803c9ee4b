"""Read the clock that everything in this process is timed by."""

import time


def read_clock() -> float:
    """Return seconds that never go back and go on while the machine is suspended.

    The ordinary monotonic clock stands still in a suspended virtual machine, whose
    leader would wake up and think that no time had passed. The time of day jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
