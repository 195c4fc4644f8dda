"""The two clocks that a process reads."""

import time


def monotonic_s() -> float:
    """Returns a monotonic time that includes suspension of the machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_s() -> float:
    """Returns the wall-clock time in Unix seconds."""
    return time.time()


def new_incarnation() -> int:
    """Returns the incarnation of a starting process: Unix time in ms."""
    return int(unix_s() * 1000)
