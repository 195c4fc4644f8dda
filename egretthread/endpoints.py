"""Entry addresses in turn, passing over those that just failed."""

import random


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
