"""Events in the order of their time, for benches without a real clock."""

import heapq
import itertools
from collections.abc import Callable


class EventLoop:
    """Runs functions at set times on a clock of its own.

    Attributes:
        now_s: Time of the event that runs.
    """

    def __init__(self):
        self.now_s = 0.0
        self._events: list = []
        self._numbers = itertools.count()

    def at(self, when_s: float, function: Callable, *args) -> None:
        """Runs a function at a time."""
        event = (when_s, next(self._numbers), function, args)
        heapq.heappush(self._events, event)

    def after(self, delay_s: float, function: Callable, *args) -> None:
        """Runs a function after a delay."""
        self.at(self.now_s + delay_s, function, *args)

    def run(self, until: Callable[[], bool]) -> None:
        """Runs events until a condition holds or none is left."""
        while self._events and not until():
            self.now_s, _, function, args = heapq.heappop(self._events)
            function(*args)
