"""Recent rates at which work arrives and is dispatched."""

import collections
import dataclasses
import math

# Time constant of the moving average: a few run times of short tasks, so that a
# burst is detected while it lasts.
TIME_CONSTANT_S = 1.0
# A route or priority without work for this long has no rate.
IDLE_S = 5.0
# Lower bound of the age of a meter whose sums are corrected.
MIN_AGE_S = 0.2


@dataclasses.dataclass
class WorkMeter:
    """Exponentially decaying sum of work by priority or by route.

    Attributes:
        sums: Decaying sum of work by key, in thousandths of a core x seconds.
        time_constant_s: Time constant of the moving average.
        at_s: When each sum was last updated, by key.
        began_s: When work was first added; infinite before.
    """

    sums: dict[int | str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    time_constant_s: float = TIME_CONSTANT_S
    at_s: dict[int | str, float] = dataclasses.field(default_factory=dict)

    began_s: float = math.inf

    def add(self, now_s: float, key: int | str, cpu_s: float) -> None:
        """Adds work of a priority or route."""
        self.began_s = min(self.began_s, now_s)
        self.sums[key] = self._decayed(now_s, key) + cpu_s
        self.at_s[key] = now_s

    def rate(self, now_s: float, priority: int) -> float:
        """Returns the work per second of a priority and less urgent ones."""
        return sum(
            self._decayed(now_s, counted) / self.time_constant_s
            for counted in self.sums
            if counted >= priority
        )

    def rates(self, now_s: float) -> dict[int | str, float]:
        """Returns the work per second of each key that has any.

        A sum that has just begun is corrected for the time that it lacks.
        """
        weight = self.measured_share(max(now_s, self.began_s + MIN_AGE_S))
        return {
            key: self._decayed(now_s, key) / self.time_constant_s / weight
            for key in self.sums
            if now_s - self.at_s[key] < IDLE_S
        }

    def measured_share(self, now_s: float) -> float:
        """Returns the share of the moving average that has been measured."""
        age_s = max(0.0, now_s - self.began_s)
        return 1 - math.exp(-age_s / self.time_constant_s)

    def _decayed(self, now_s: float, key: int | str) -> float:
        """Returns the sum of a key, decayed up to now."""
        age_s = now_s - self.at_s.get(key, now_s)
        return self.sums.get(key, 0.0) * math.exp(-age_s / self.time_constant_s)
