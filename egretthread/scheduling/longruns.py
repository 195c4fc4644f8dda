"""Spread and tail of run times by route, and why a run is slow.

Estimates of run times are wrong by a factor that differs from job to job, and
some jobs take many times as long as estimated. All tasks of a job share that
factor. So a slow run is slow because of its task if its siblings take as long,
and because of its backend server if they do not.
"""

import collections
import dataclasses
import math
import statistics

# Initial standard deviation of the logarithm of actual over expected run time,
# and weight of one job in the learned variance.
INITIAL_SPREAD = 0.4
SPREAD_WEIGHT = 0.05
# A job is long if its deviation is above this many standard deviations.
TAIL_DEVIATIONS = 3.0
# Weight of one job in the share of long jobs.
SHARE_WEIGHT = 0.01
# Weight of one long job in their length.
LENGTH_WEIGHT = 0.2
# Share of long jobs below which a route is taken to have none.
MIN_TAIL_SHARE = 0.002
# A run that is longer than the long jobs of its route by this factor is slow
# for another reason.
TAIL_MARGIN = 1.5


@dataclasses.dataclass
class RouteSpread:
    """Spread of the run times of one route's jobs.

    Attributes:
        variance: Variance of the logarithm of actual over expected run time,
            without the long jobs.
        tail_share: Share of long jobs.
        tail_log_length: Mean of that logarithm over the long jobs.
        jobs: Number of jobs.
    """

    variance: float = INITIAL_SPREAD**2
    tail_share: float = 0.0
    tail_log_length: float = 0.0
    jobs: int = 0

    def record(self, expected_s: float, work_s: float) -> None:
        """Records one job.

        Args:
            expected_s: Expected run time of a task at speed 1.
            work_s: Actual run time of a task, times the speed of its server.
        """
        if expected_s <= 0 or work_s <= 0:
            return
        self.jobs += 1
        value = math.log(work_s / expected_s)
        is_long = value > TAIL_DEVIATIONS * self.spread
        self.tail_share += SHARE_WEIGHT * (is_long - self.tail_share)
        if is_long:
            weight = LENGTH_WEIGHT if self.tail_log_length else 1.0
            self.tail_log_length += weight * (value - self.tail_log_length)
        else:
            self.variance += SPREAD_WEIGHT * (value**2 - self.variance)

    @property
    def spread(self) -> float:
        """Standard deviation of the logarithm, without the long jobs."""
        return math.sqrt(self.variance)

    @property
    def longest(self) -> float:
        """Factor on the expected run time that no job is likely to exceed."""
        log_length = TAIL_DEVIATIONS * self.spread
        if self.tail_share > MIN_TAIL_SHARE:
            log_length = max(log_length, self.tail_log_length)
        return TAIL_MARGIN * math.exp(log_length)


def new_spreads() -> collections.defaultdict[str, RouteSpread]:
    """Returns the spreads by route of a new process."""
    return collections.defaultdict(RouteSpread)


def work_s(
    spread: RouteSpread,
    expected_s: float,
    projected_s: float,
    done_s: list[float],
    least_s: float,
) -> float:
    """Returns the likely run time, at speed 1, of a task that runs slowly.

    Args:
        spread: Spread of its route.
        expected_s: Its expected run time at speed 1.
        projected_s: Run time at speed 1 that follows from its progress and the
            believed speed of its backend server.
        done_s: Run times at speed 1 of its siblings that are done.
        least_s: What its running siblings have run already, at speed 1.
    """
    if done_s:
        return statistics.median(done_s)
    longest_s = spread.longest * expected_s
    return max(expected_s, least_s, min(projected_s, longest_s))


@dataclasses.dataclass(frozen=True)
class MoveCase:
    """What is known of a slow run that may be moved.

    Attributes:
        age_s: How long it has run.
        speed: Believed speed of its backend server.
        remaining_s: How much longer it takes where it is.
        restart_s: How long a new run takes, including its start.
        slack_s: Time left until its job misses its objective.
    """

    age_s: float
    speed: float
    remaining_s: float
    restart_s: float
    slack_s: float


def is_worth_moving(case: MoveCase) -> bool:
    """Whether a run should be stopped and started on another server.

    It should not if it is in time where it is, or if more work would be thrown
    away than time gained.
    """
    if case.remaining_s <= case.slack_s:
        return False
    thrown_away_s = case.age_s * min(1.0, case.speed)
    return case.remaining_s - case.restart_s > thrown_away_s
