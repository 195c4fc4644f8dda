"""Learned run times: corrects estimates by the run times measured."""

import collections
import dataclasses
import math

# Weight of one finished run in the moving average.
RUN_WEIGHT = 0.05
# Number of finished runs of a route after which its correction applies in full.
FULL_TRUST_RUNS = 20
# Bound on the logarithm of a single ratio, so that outliers count less.
MAX_LOG_RATIO = math.log(20)


@dataclasses.dataclass
class RunTimes:
    """Correction of callers' estimates by route.

    Attributes:
        log_ratios: Moving average of the logarithm of run time over estimate,
            by route.
        counts: Number of finished runs by route.
    """

    log_ratios: dict[str, float] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(float)
    )
    counts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def update(self, route: str, estimated_s: float, run_s: float) -> None:
        """Updates the correction of a route with one finished run."""
        if estimated_s <= 0 or run_s <= 0:
            return
        log_ratio = math.log(run_s / estimated_s)
        log_ratio = max(-MAX_LOG_RATIO, min(MAX_LOG_RATIO, log_ratio))
        self.counts[route] += 1
        weight = max(RUN_WEIGHT, 1 / self.counts[route])
        self.log_ratios[route] += weight * (log_ratio - self.log_ratios[route])

    def expected_s(self, route: str, estimated_s: float) -> float:
        """Returns the expected run time on a backend server of speed 1.

        Speed 1 is the average speed of all backend servers.
        """
        trust = min(1.0, self.counts[route] / FULL_TRUST_RUNS)
        return estimated_s * math.exp(trust * self.log_ratios[route])
