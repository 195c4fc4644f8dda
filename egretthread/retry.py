"""A retry budget and a randomised exponential backoff."""

import random

# Backoff before the first retry, in seconds.
FIRST_BACKOFF_S = 0.02
# Longest backoff, in seconds.
MAX_BACKOFF_S = 1.0
# Retries earned per success, so that retries add at most a tenth of the load.
RETRY_SHARE = 0.1
# Retries earned per second, without any success.
MIN_RETRIES_PER_S = 2.0
# Most retries that the budget accumulates.
MAX_AVAILABLE_RETRIES = 100.0


class RetryBudget:
    """Limits retries to a share of the successes.

    Attributes:
        share: Retries earned by each success.
        min_per_s: Retries earned by each second.
        available: Retries that may be made now.
        filled_s: Time of the last update of `available`, or None.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        min_per_s: float = MIN_RETRIES_PER_S,
    ):
        self.share = share
        self.min_per_s = min_per_s
        self.available = min_per_s
        self.filled_s: float | None = None

    def record_success(self, count: int = 1) -> None:
        """Adds the retries earned by successes."""
        self.available = min(
            MAX_AVAILABLE_RETRIES, self.available + self.share * count
        )

    def take(self, now_s: float) -> bool:
        """Takes one retry from the budget; returns False if it is exhausted."""
        self._fill(now_s)
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True

    def _fill(self, now_s: float) -> None:
        if self.filled_s is not None:
            earned = self.min_per_s * max(0.0, now_s - self.filled_s)
            self.available = min(MAX_AVAILABLE_RETRIES, self.available + earned)
        self.filled_s = now_s


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the wait before a retry: exponential, with full jitter.

    Args:
        attempt: Number of the retry; 1 for the first one.
        rng: Source of the jitter.
    """
    doublings = min(max(0, attempt - 1), 30)
    limit_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**doublings)
    return rng.uniform(0.0, limit_s)
