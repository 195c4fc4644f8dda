"""Recent rates at which work arrives and is dispatched."""

import collections
import dataclasses
import math

# Time constant of the moving average: a few run times of short tasks, so that a
# burst is detected while it lasts.
TIME_CONSTANT_S = 1.0


@dataclasses.dataclass
class WorkMeter:
    """Exponentially decaying sum of work by priority.

    Attributes:
        sums: Decaying sum of work by priority, in thousandths of a core x
            seconds.
        at_s: When each sum was last updated, by priority.
    """

    sums: dict[int, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    at_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def add(self, now_s: float, priority: int, cpu_s: float) -> None:
        """Adds work of a priority."""
        self.sums[priority] = self._decayed(now_s, priority) + cpu_s
        self.at_s[priority] = now_s

    def rate(self, now_s: float, priority: int) -> float:
        """Returns the work per second of a priority and less urgent ones."""
        return sum(
            self._decayed(now_s, counted) / TIME_CONSTANT_S
            for counted in self.sums
            if counted >= priority
        )

    def _decayed(self, now_s: float, priority: int) -> float:
        """Returns the sum of a priority, decayed up to now."""
        age_s = now_s - self.at_s.get(priority, now_s)
        return self.sums.get(priority, 0.0) * math.exp(-age_s / TIME_CONSTANT_S)
