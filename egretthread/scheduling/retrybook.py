"""State of the booked retries of refused callers at an entry."""

import dataclasses


@dataclasses.dataclass
class RetryBook:
    """Booked retries of refused callers; times are on the monotonic clock.

    Attributes:
        booked_until_s: When the booked work should have been served, by
            service, share and priority.
        due_s: When each refused job should be retried, by its id, in the order
            of the refusals.
    """

    booked_until_s: dict[tuple[str, str, int], float] = dataclasses.field(
        default_factory=dict
    )
    due_s: dict[str, float] = dataclasses.field(default_factory=dict)
