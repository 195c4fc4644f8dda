"""The caller that waits for the response to a request."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller.

    Attributes:
        wait_limit_s: How long it waits for the response.
        has_left: Returns whether it has closed its end of the connection, also
            when that has not been read yet.
    """

    wait_limit_s: float
    has_left: Callable[[], bool]
