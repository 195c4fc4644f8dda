"""Bounds how many lines a second a process logs of each event."""

import dataclasses
import logging
import time
from collections.abc import Callable

# Lines a second of one event in the long run, and at once after a lull. An
# entry answers a hundred jobs a second at the size that is planned for
# (docs/CAPACITY.md), so only a storm meets the limit.
LINES_PER_S = 200.0
BURST_LINES = 1000.0
# Events of which the outcome tells whether a line is worth more: lines of
# requests that went well have a limit of their own, so that they never take
# the place of those of failures.
WENT_WELL = "completed"


@dataclasses.dataclass
class Bucket:
    """What one event may still log.

    Attributes:
        lines: Lines that it may log now.
        at_s: When that was worked out.
        left_out: Lines left out since the last one.
    """

    lines: float
    at_s: float
    left_out: int = 0


class LineLimit(logging.Filter):
    """Leaves out the lines of an event beyond its limit.

    The next line of the event says in `left_out` how many there were.

    Attributes:
        clock: Returns a time in seconds.
        buckets: What each event may still log.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        self.clock = clock
        self.buckets: dict[tuple[str, bool], Bucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line is logged."""
        now_s = self.clock()
        went_well = str(getattr(record, "outcome", "")) == WENT_WELL
        key = (str(record.msg), went_well)
        bucket = self.buckets.setdefault(key, Bucket(BURST_LINES, now_s))
        earned = (now_s - bucket.at_s) * LINES_PER_S
        bucket.lines = min(BURST_LINES, bucket.lines + earned)
        bucket.at_s = now_s
        if bucket.lines < 1:
            bucket.left_out += 1
            return False
        bucket.lines -= 1
        if bucket.left_out:
            record.left_out = bucket.left_out
            bucket.left_out = 0
        return True
