"""When and where a client sends a request again: backoff, budget, rotation."""

import dataclasses
import random


@dataclasses.dataclass(frozen=True)
class RetryPolicy:
    """How a client sends requests again.

    Attributes:
        base_s: Longest pause before the first retry.
        max_s: Longest pause before any retry, unless the entry asks for more.
        attempt_s: Longest wait for one answer before the same request is
            sent again elsewhere, so that a silent connection costs no more.
        connect_s: Longest wait for a connection.
        budget_size: Retries that may be made in a burst.
        budget_share: Retries earned by each request.
        avoid_s: How long an endpoint is avoided after a lost connection.
    """

    base_s: float = 0.05
    max_s: float = 2.0
    attempt_s: float = 15.0
    connect_s: float = 1.0
    budget_size: float = 100.0
    budget_share: float = 0.2
    avoid_s: float = 2.0


class RetryBudget:
    """Bounds retries to a share of the requests, so that they can't pile up.

    Attributes:
        policy: The retry policy.
        tokens: Retries that may still be made.
    """

    def __init__(self, policy: RetryPolicy):
        self.policy = policy
        self.tokens = policy.budget_size

    def earn(self) -> None:
        """Adds the share of a retry that a request earns."""
        earned = self.tokens + self.policy.budget_share
        self.tokens = min(self.policy.budget_size, earned)

    def spend(self) -> bool:
        """Takes one retry from the budget; False when none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def pause_s(
    policy: RetryPolicy,
    failures: int,
    retry_after_s: float,
    rng: random.Random,
) -> float:
    """Returns how long to wait before the next attempt.

    Args:
        policy: The retry policy.
        failures: Attempts that failed so far, 1 or more.
        retry_after_s: What the entry asked for; 0 for no wish. It is kept
            as the least pause and stretched by up to half.
        rng: Source of the jitter.
    """
    if retry_after_s > 0.0:
        return retry_after_s * rng.uniform(1.0, 1.5)
    ceiling_s = min(policy.max_s, policy.base_s * 2.0 ** (failures - 1))
    return rng.uniform(0.0, ceiling_s)


class Endpoints:
    """Hands out entry addresses in turn, avoiding those that just failed.

    Attributes:
        urls: Base URLs of the entries.
        avoid_until_s: Monotonic time until which a URL is avoided.
        position: Index of the URL that is next in turn.
    """

    def __init__(self, urls: tuple[str, ...], rng: random.Random):
        self.urls = tuple(url.rstrip("/") for url in urls)
        self.avoid_until_s: dict[str, float] = {}
        self.position = rng.randrange(len(self.urls))

    def next(self, now_s: float) -> str:
        """Returns the next URL that is not avoided, or else the next one."""
        count = len(self.urls)
        turn = [self.urls[(self.position + i) % count] for i in range(count)]
        usable = [u for u in turn if self.avoid_until_s.get(u, 0.0) <= now_s]
        chosen = (usable or turn)[0]
        self.position = (self.urls.index(chosen) + 1) % count
        return chosen

    def avoid(self, url: str, until_s: float) -> None:
        """Passes the URL over until a monotonic time."""
        self.avoid_until_s[url] = until_s
