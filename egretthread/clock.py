"""The two clocks that a process reads."""

import time


def monotonic_s() -> float:
    """Returns seconds that also pass while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Returns the wall clock in Unix seconds."""
    return time.time()


def new_incarnation() -> int:
    """Returns the incarnation of a process that starts now, in Unix ms."""
    return int(unix_s() * 1000)
