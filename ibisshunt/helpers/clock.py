"""Read the clocks of this process."""

import time
from collections.abc import Callable


def read_monotonic_clock() -> float:
    """Return monotonic seconds that also advance while the machine is suspended.

    CLOCK_MONOTONIC stops while a virtual machine is suspended: a leader on it would
    resume as if no time had passed. The wall clock may be stepped.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_wall_clock(
    read_wall: Callable[[], float] = time.time,
    read_monotonic: Callable[[], float] = read_monotonic_clock,
) -> Callable[[], float]:
    """Return a clock of seconds since the Unix epoch that is never stepped.

    Deadlines sent between hosts need a common origin, the Unix epoch. The wall clock
    may be set while the process runs, and a step of seconds would end leases and
    warm-ups early or extend them without limit. Therefore it is read only once, and
    the elapsed monotonic time is added.
    """
    offset = read_wall() - read_monotonic()
    return lambda: offset + read_monotonic()


read_wall_clock = make_wall_clock()
