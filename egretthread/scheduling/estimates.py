"""Learned run times: what callers estimate against what runs take."""

import collections
import dataclasses
import math

# Weight of one finished run.
WEIGHT = 0.05
# Finished runs of a route before its correction is used in full.
FULL_RUNS = 20
MAX_LOG_RATIO = math.log(20)


@dataclasses.dataclass
class RunTimes:
    """Correction of callers' estimates, for each route.

    Attributes:
        log_ratios: Logarithm of run time over estimate, averaged.
        counts: Finished runs seen.
    """

    log_ratios: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def note(self, route: str, estimated_s: float, run_s: float) -> None:
        """Notes one finished run."""
        if estimated_s <= 0 or run_s <= 0:
            return
        ratio = math.log(run_s / estimated_s)
        ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, ratio))
        self.counts[route] += 1
        weight = max(WEIGHT, 1 / self.counts[route])
        self.log_ratios[route] += weight * (ratio - self.log_ratios[route])

    def expected_s(self, route: str, estimated_s: float) -> float:
        """Returns the run time to expect on a backend server of speed 1.

        Speed 1 is that of the backend servers taken together.
        """
        trust = min(1.0, self.counts[route] / FULL_RUNS)
        return estimated_s * math.exp(trust * self.log_ratios[route])
