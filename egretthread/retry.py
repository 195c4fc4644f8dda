"""Retries: a budget that bounds them and a backoff that spreads them."""

import random

# Backoff before the first retry, in seconds.
FIRST_BACKOFF_S = 0.02
# Longest backoff, in seconds.
MAX_BACKOFF_S = 1.0
# Retries per success, so that retries add at most a tenth of the load.
RETRY_SHARE = 0.1
# Retries per second that are allowed without any success.
MIN_RETRIES_PER_S = 2.0
# Retries that the budget saves up at most.
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """Allows retries as a share of successes.

    Attributes:
        share: Retries earned by each success.
        min_per_s: Retries earned by each second.
        saved: Retries that may be made now.
        filled_s: When `saved` was brought up to date.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        min_per_s: float = MIN_RETRIES_PER_S,
    ):
        self.share = share
        self.min_per_s = min_per_s
        self.saved = min_per_s
        self.filled_s: float | None = None

    def record_success(self, count: int = 1) -> None:
        """Earns retries for tasks that succeeded."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share * count)

    def take(self, now_s: float) -> bool:
        """Takes one retry from the budget; False when it is spent."""
        self._fill(now_s)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def _fill(self, now_s: float) -> None:
        if self.filled_s is not None:
            earned = self.min_per_s * max(0.0, now_s - self.filled_s)
            self.saved = min(MAX_SAVED_RETRIES, self.saved + earned)
        self.filled_s = now_s


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns how long to wait before a retry, with full jitter.

    Args:
        attempt: 1 for the first retry.
        rng: Source of the jitter.
    """
    doublings = min(max(0, attempt - 1), 30)
    limit_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**doublings)
    return rng.uniform(0.0, limit_s)
