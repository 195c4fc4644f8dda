"""The caller that waits for the response to a request."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller.

    Attributes:
        received_s: When its request arrived, on the monotonic clock. It may
            have been read later.
        wait_limit_s: How long it waits for the response, from then on.
        has_left: Returns whether it has closed its end of the connection, also
            when that has not been read yet.
    """

    received_s: float
    wait_limit_s: float
    has_left: Callable[[], bool]

    def left_s(self, now_s: float) -> float:
        """Returns how long it still waits; negative if it no longer does."""
        return self.received_s + self.wait_limit_s - now_s
