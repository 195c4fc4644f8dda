"""Round-robin selection of entries, avoiding those that failed recently."""

import random


class Endpoints:
    """Selects entries in round-robin order, skipping those to be avoided.

    Attributes:
        urls: Base URLs of the entries.
        avoid_until_s: Monotonic time until which each URL is avoided.
        position: Index of the URL that is next in order.
    """

    def __init__(self, urls: tuple[str, ...], rng: random.Random):
        self.urls = tuple(url.rstrip("/") for url in urls)
        self.avoid_until_s: dict[str, float] = {}
        self.position = rng.randrange(len(self.urls))

    def next(self, now_s: float) -> str:
        """Returns the next URL that is not avoided.

        If all are avoided, it returns the next one in order.
        """
        count = len(self.urls)
        ordered = [self.urls[(self.position + i) % count] for i in range(count)]
        usable = [u for u in ordered if self.avoid_until_s.get(u, 0.0) <= now_s]
        chosen = (usable or ordered)[0]
        self.position = (self.urls.index(chosen) + 1) % count
        return chosen

    def avoid(self, url: str, until_s: float) -> None:
        """Marks a URL as to be avoided until a monotonic time."""
        self.avoid_until_s[url] = until_s
