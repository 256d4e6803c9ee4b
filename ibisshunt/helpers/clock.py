"""Read the clock that everything in this process is timed by."""

import time
from collections.abc import Callable


def read_clock() -> float:
    """Return seconds that never go back and go on while the machine is suspended.

    The ordinary monotonic clock stands still in a suspended virtual machine, whose
    leader would wake up and think that no time had passed. The time of day jumps.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_shared_clock(
    read_wall: Callable[[], float] = time.time,
    read_steady: Callable[[], float] = read_clock,
) -> Callable[[], float]:
    """Return a clock whose seconds other hosts understand and that never jumps.

    Deadlines that travel between hosts need a common origin, the time of day. It may be
    set while a process runs: a step of seconds would end leases and warm-ups early or
    keep them for ever. So it is read once, and the steady clock goes on from there.
    """
    offset = read_wall() - read_steady()
    return lambda: offset + read_steady()


read_shared_clock = make_shared_clock()
