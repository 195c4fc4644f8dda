"""Run time statistics of a service, and deadline estimates for admission.

The run times that callers declare are often far off, so the response time of
a job is estimated from the tasks that ran.
"""

import bisect
import dataclasses
import math

# Range of run times that the histogram resolves, in seconds.
MIN_RUN_S = 0.001
MAX_RUN_S = 60.0
# Ratio of two neighbouring bounds of the histogram.
BOUND_RATIO = 1.25
# Weight of the newest run time in the mean.
MEAN_GAIN = 0.02
# Run time assumed before any task has run, in seconds.
INITIAL_RUN_S = 0.5
# Number of run times after which the counts are halved, so that old run times
# lose weight.
HALVE_AT_COUNT = 4096
# Probability of ending in time that a job needs to be admitted.
DEADLINE_PROBABILITY = 0.9
# Standard deviations above the mean within which a wait stays with that
# probability.
WAIT_DEVIATIONS = 1.3


def histogram_bounds() -> tuple[float, ...]:
    """Returns the upper bounds of the histogram's buckets, in seconds."""
    bounds = [MIN_RUN_S]
    while bounds[-1] < MAX_RUN_S:
        bounds.append(bounds[-1] * BOUND_RATIO)
    return tuple(bounds)


BOUNDS_S = histogram_bounds()


class RunTimes:
    """Run time statistics of one service, in bounded memory.

    Attributes:
        mean_s: Exponentially weighted mean run time.
        variance_s2: Exponentially weighted variance of the run times.
        count: Number of run times added.
        buckets: Counts by histogram bucket; the last one is open-ended.
    """

    def __init__(self):
        self.mean_s = INITIAL_RUN_S
        self.variance_s2 = 0.0
        self.count = 0
        self.buckets = [0] * (len(BOUNDS_S) + 1)

    def add(self, run_s: float) -> None:
        """Adds the run time of one task."""
        run_s = min(run_s, MAX_RUN_S)
        self.count += 1
        gain = max(MEAN_GAIN, 1.0 / self.count)
        excess_s = run_s - self.mean_s
        self.mean_s += gain * excess_s
        self.variance_s2 += gain * (excess_s**2 - self.variance_s2)
        self.buckets[bisect.bisect_left(BOUNDS_S, run_s)] += 1
        if self.count % HALVE_AT_COUNT == 0:
            self.buckets = [bucket // 2 for bucket in self.buckets]

    def quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the run times, as its bucket's upper bound.

        Args:
            quantile: The quantile, 0 to 1.
        """
        total = sum(self.buckets)
        if not total:
            return INITIAL_RUN_S
        rank = quantile * total
        seen = 0
        for bucket, bound_s in zip(self.buckets, BOUNDS_S, strict=False):
            seen += bucket
            if seen >= rank:
                return bound_s
        return BOUNDS_S[-1]


@dataclasses.dataclass(frozen=True)
class Backlog:
    """The work that a new job would queue behind.

    Attributes:
        queued: Tasks queued at this entry that are served before the job's.
        slots: This entry's share of the slots that serve them.
        idle: Number of slots assumed to be idle.
    """

    queued: int
    slots: int
    idle: int = 0


def expected_wait_s(queued: int, slots: int, mean_run_s: float) -> float:
    """Returns the mean wait of a task if no slot is idle.

    Args:
        queued: Number of tasks ahead of it.
        slots: Number of slots that serve them.
        mean_run_s: Mean run time of a task.
    """
    if slots <= 0:
        return float("inf")
    return max(0, queued) * mean_run_s / slots


def likely_wait_s(queued: int, slots: int, run_times: RunTimes) -> float:
    """Returns a wait that a task exceeds only with a low probability.

    Args:
        queued: Number of tasks ahead of it.
        slots: Number of slots that serve them.
        run_times: Run time statistics of the service.
    """
    if queued <= 0 or slots <= 0:
        return expected_wait_s(queued, slots, run_times.mean_s)
    deviation_s = math.sqrt(queued * run_times.variance_s2) / slots
    wait_s = expected_wait_s(queued, slots, run_times.mean_s)
    return wait_s + WAIT_DEVIATIONS * deviation_s


def may_meet_deadline(
    tasks: int,
    time_left_s: float,
    backlog: Backlog,
    run_times: RunTimes,
) -> bool:
    """Whether a job will probably end before its deadline.

    A job that will not is refused at once. Its caller then knows early that
    no task ran, and its tasks use no slots that other jobs need in order to
    end in time.

    Args:
        tasks: Number of tasks of the job.
        time_left_s: Time until its deadline.
        backlog: The work that it would queue behind.
        run_times: Run time statistics of the service.
    """
    return expected_end_s(tasks, backlog, run_times) <= time_left_s


def expected_end_s(tasks: int, backlog: Backlog, run_times: RunTimes) -> float:
    """Returns the time until a job will probably have ended.

    The job's last task starts behind all its others. Its longest task starts
    in the middle of them, on average.

    Args:
        tasks: Number of tasks of the job.
        backlog: The work that it would queue behind.
        run_times: Run time statistics of the service.
    """
    ahead = backlog.queued - backlog.idle
    slots = backlog.slots
    last_s = likely_wait_s(ahead + tasks, slots, run_times) + run_times.mean_s
    # All n tasks run no longer than this quantile with the given probability.
    longest_s = run_times.quantile_s(DEADLINE_PROBABILITY ** (1.0 / tasks))
    middle_s = likely_wait_s(ahead + tasks // 2, slots, run_times)
    return max(last_s, middle_s + longest_s)
