"""How fast work comes and gets room, as measured lately."""

import collections
import dataclasses
import math

# Time over which the rate is averaged, in seconds: some run times of the
# short tasks, so that a burst is seen while it lasts.
AVERAGED_S = 1.0


@dataclasses.dataclass
class WorkMeter:
    """Work counted lately, by priority.

    Attributes:
        sums: Work counted, in thousandths of a core x seconds, fading.
        at_s: Time that the sums are of, by priority.
    """

    sums: dict[int, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    at_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def note(self, now_s: float, priority: int, cpu_s: float) -> None:
        """Counts some work."""
        self.sums[priority] = self._faded(now_s, priority) + cpu_s
        self.at_s[priority] = now_s

    def rate(self, now_s: float, priority: int) -> float:
        """Returns the work counted a second, of a priority or less urgent."""
        return sum(
            self._faded(now_s, other) / AVERAGED_S
            for other in self.sums
            if other >= priority
        )

    def _faded(self, now_s: float, priority: int) -> float:
        age_s = now_s - self.at_s.get(priority, now_s)
        return self.sums.get(priority, 0.0) * math.exp(-age_s / AVERAGED_S)
