"""Rate limit on the lines that a process logs for each event."""

import dataclasses
import logging
import time
from collections.abc import Callable

# Sustained rate and burst size of one event. At the planned size an entry
# answers a hundred jobs per second (docs/CAPACITY.md), so that only abnormal
# floods of lines reach the limit.
LINES_PER_S = 200.0
BURST_LINES = 1000.0
# Lines with this value of the field `outcome` have a limit of their own, so
# that lines of successful requests never displace those of failures.
SUCCESS_OUTCOME = "completed"


@dataclasses.dataclass
class Bucket:
    """Token bucket of one event.

    Attributes:
        lines: Number of lines that may be logged now.
        filled_s: Time of the last update of `lines`.
        left_out: Lines suppressed since the last logged one.
    """

    lines: float
    filled_s: float
    left_out: int = 0


class LineLimit(logging.Filter):
    """Suppresses the lines of an event beyond its limit.

    The next logged line of the event has their number in the field `left_out`.

    Attributes:
        clock: Returns a monotonic time in seconds.
        buckets: Token bucket of each event, separate for successes.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic):
        super().__init__()
        self.clock = clock
        self.buckets: dict[tuple[str, bool], Bucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line is logged."""
        now_s = self.clock()
        is_success = str(getattr(record, "outcome", "")) == SUCCESS_OUTCOME
        key = (str(record.msg), is_success)
        bucket = self.buckets.setdefault(key, Bucket(BURST_LINES, now_s))
        refill = (now_s - bucket.filled_s) * LINES_PER_S
        bucket.lines = min(BURST_LINES, bucket.lines + refill)
        bucket.filled_s = now_s
        if bucket.lines < 1:
            bucket.left_out += 1
            return False
        bucket.lines -= 1
        if bucket.left_out:
            record.left_out = bucket.left_out
            bucket.left_out = 0
        return True
