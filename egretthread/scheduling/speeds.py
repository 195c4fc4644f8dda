"""Speed of a backend server, estimated with its uncertainty.

The logarithm of the speed is estimated by a Kalman filter from the ratios of
expected to actual run time. Estimates of run times are rough, and a few runs
take many times as long as estimated, so each ratio counts as far as it is
unlikely to be such an outlier. Without runs the estimate returns to the prior,
so that a slow backend server is tried again. Cumulative sums of the deviations
detect a real change; the estimate then starts anew from the jobs since.
"""

import collections
import dataclasses
import math
import statistics

# Standard deviation of the logarithm of the speed of an unknown backend server.
PRIOR_SPREAD = 0.4
# Time constant with which the estimate returns to the prior.
PRIOR_RETURN_S = 20.0
# Initial standard deviation of the logarithm of actual over expected run time
# on one backend server, and bounds of the learned one.
INITIAL_NOISE = 0.4
MIN_NOISE = 0.1
MAX_NOISE = 0.8
# Weight of one job in the learned variance.
NOISE_WEIGHT = 0.02
# Assumed share of runs whose time says nothing about the speed, and the range
# of the logarithm over which their ratios are spread.
OUTLIER_SHARE = 0.05
OUTLIER_RANGE = 4.0
# Deviations, in standard deviations, are bounded and reduced by a slack before
# they are summed up. A sum above the limit is a change. It takes four jobs at
# least, since a few long jobs in a row are no change.
MAX_DEVIATION = 2.0
DEVIATION_SLACK = 0.7
CHANGE_LIMIT = 5.0
# A sum above this makes a change likely: two jobs in a row.
SUSPICION_LIMIT = 2.5
# Maximum number of last jobs from which the estimate starts anew.
CHANGE_JOBS = 8
# Variance of the median over that of the mean, for normal errors.
MEDIAN_VARIANCE_RATIO = math.pi / 2
# A job's tasks share the error of its estimate, so only its first run counts.
# This many jobs are remembered.
REMEMBERED_JOBS = 32
MIN_SPEED = 0.05
MAX_SPEED = 4.0


@dataclasses.dataclass
class SpeedEstimate:
    """Estimated speed of one backend server, and what it was learned from.

    Attributes:
        log_speed: Mean of the logarithm of the speed.
        variance: Variance of that logarithm.
        noise: Variance of the logarithm of a single ratio at a known speed.
        at_s: When it was last updated.
        jobs: Number of jobs that it was learned from.
        changes: Number of changes detected.
        recent: Logarithms of the last ratios.
        sums: Cumulative sums of the deviations upwards and downwards.
        sum_jobs: Number of jobs in each of these sums.
        seen: Ids of the last jobs.
    """

    log_speed: float = 0.0
    variance: float = PRIOR_SPREAD**2
    noise: float = INITIAL_NOISE**2
    at_s: float = 0.0
    jobs: int = 0
    changes: int = 0
    recent: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=CHANGE_JOBS)
    )
    sums: list[float] = dataclasses.field(default_factory=lambda: [0.0, 0.0])
    sum_jobs: list[int] = dataclasses.field(default_factory=lambda: [0, 0])
    seen: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=REMEMBERED_JOBS)
    )

    def record(self, now_s: float, job: str, ratio: float) -> bool:
        """Records the ratio of expected to actual run time of one run.

        Args:
            now_s: The time.
            job: Id of the run's job.
            ratio: Expected run time at speed 1 over the actual one.

        Returns:
            Whether it counted as the first run of its job.
        """
        if job in self.seen:
            return False
        self.seen.append(job)
        self.jobs += 1
        value = math.log(min(MAX_SPEED, max(MIN_SPEED, ratio)))
        self.log_speed, self.variance = self._forecast(now_s)
        self.at_s = now_s
        self.recent.append(value)
        changed_jobs = self._changed_jobs(value)
        if changed_jobs:
            self._restart(changed_jobs)
        else:
            self._adopt(value)
        return True

    def speed(self, now_s: float) -> float:
        """Returns the most likely speed."""
        return math.exp(self._forecast(now_s)[0])

    def uncertainty(self, now_s: float) -> float:
        """Returns the standard deviation of the logarithm of the speed."""
        return math.sqrt(self._forecast(now_s)[1])

    @property
    def may_have_dropped(self) -> bool:
        """Whether the last jobs suggest a drop that is not yet certain."""
        return self.sums[1] > SUSPICION_LIMIT

    def loosen(self, now_s: float) -> None:
        """Makes the estimate as uncertain as the prior.

        This is called when the capacity of the backend server has changed.
        """
        self.log_speed, _ = self._forecast(now_s)
        self.variance = PRIOR_SPREAD**2
        self.at_s = now_s
        self._forget_sums()

    def clear(self) -> None:
        """Returns to the prior, for a new incarnation."""
        self.log_speed = 0.0
        self.variance = PRIOR_SPREAD**2
        self.recent.clear()
        self.seen.clear()
        self._forget_sums()

    def _forecast(self, now_s: float) -> tuple[float, float]:
        """Returns mean and variance now, without any further runs."""
        kept = math.exp(-max(0.0, now_s - self.at_s) / PRIOR_RETURN_S)
        prior = PRIOR_SPREAD**2
        variance = prior + kept**2 * (self.variance - prior)
        return kept * self.log_speed, variance

    def _adopt(self, value: float) -> None:
        """Updates the estimate, and the noise, by one value."""
        error = value - self.log_speed
        total = self.variance + self.noise
        density = math.exp(-(error**2) / (2 * total)) / math.sqrt(
            2 * math.pi * total
        )
        likely = (1 - OUTLIER_SHARE) * density
        weight = likely / (likely + OUTLIER_SHARE / OUTLIER_RANGE)
        gain = weight * self.variance / total
        self.log_speed += gain * error
        self.variance *= 1 - gain
        noise = self.noise + NOISE_WEIGHT * weight * (error**2 - total)
        self.noise = min(MAX_NOISE**2, max(MIN_NOISE**2, noise))

    def _changed_jobs(self, value: float) -> int:
        """Returns the number of jobs since a change; 0 without a change."""
        total = math.sqrt(self.variance + self.noise)
        deviation = (value - self.log_speed) / total
        deviation = min(MAX_DEVIATION, max(-MAX_DEVIATION, deviation))
        for number, step in enumerate((deviation, -deviation)):
            self.sums[number] += step - DEVIATION_SLACK
            self.sum_jobs[number] += 1
            if self.sums[number] <= 0:
                self.sums[number] = 0.0
                self.sum_jobs[number] = 0
            elif self.sums[number] > CHANGE_LIMIT:
                return self.sum_jobs[number]
        return 0

    def _restart(self, count: int) -> None:
        """Estimates the speed anew from the jobs since a change."""
        values = tuple(self.recent)[-count:]
        self.log_speed = statistics.median(values)
        self.variance = MEDIAN_VARIANCE_RATIO * self.noise / len(values)
        self.changes += 1
        self._forget_sums()

    def _forget_sums(self) -> None:
        self.sums = [0.0, 0.0]
        self.sum_jobs = [0, 0]
