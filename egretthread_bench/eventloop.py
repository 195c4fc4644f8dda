"""Event loop on a simulated clock, for benchmarks."""

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Runs functions at scheduled times of a simulated clock.

    Attributes:
        now_s: Simulated time.
    """

    def __init__(self):
        self.now_s = 0.0
        self._events: list = []
        self._numbers = itertools.count()

    def at(self, when_s: float, function: Callable, *args) -> None:
        """Schedules a function for a time."""
        event = (when_s, next(self._numbers), function, args)
        heapq.heappush(self._events, event)

    def after(self, delay_s: float, function: Callable, *args) -> None:
        """Schedules a function after a delay."""
        self.at(self.now_s + delay_s, function, *args)

    def run(self, until: Callable[[], bool]) -> None:
        """Runs events until a condition holds or no event is left."""
        while self._events and not until():
            self.now_s, _, function, args = heapq.heappop(self._events)
            function(*args)
