"""Learned run times of a service's tasks, and admission by deadline.

Callers' declared run times are often far off, so the wait that a job faces
is estimated from the tasks that ran.
"""

import bisect
import dataclasses
import math

# Smallest and largest run time told apart, in seconds.
MIN_RUN_S = 0.001
MAX_RUN_S = 60.0
# Ratio of two neighbouring bounds of the histogram.
BOUND_RATIO = 1.25
# Weight of the newest run time in the mean.
MEAN_GAIN = 0.02
# Run time assumed before any task ran, in seconds.
INITIAL_RUN_S = 0.5
# Count at which the histogram is halved, so that old run times fade.
HALVE_AT_COUNT = 4096
# Chance that a job must have to end in time.
DEADLINE_PROBABILITY = 0.9
# Standard deviations that a wait stays within with that chance.
WAIT_DEVIATIONS = 1.3


def histogram_bounds() -> tuple[float, ...]:
    """Returns the upper bounds of the histogram's cells, in seconds."""
    bounds = [MIN_RUN_S]
    while bounds[-1] < MAX_RUN_S:
        bounds.append(bounds[-1] * BOUND_RATIO)
    return tuple(bounds)


BOUNDS_S = histogram_bounds()


class RunTimes:
    """Run times of one service, in bounded state.

    Attributes:
        mean_s: Exponentially weighted mean run time.
        variance_s2: Exponentially weighted variance of the run times.
        count: Run times seen.
        cells: Counts by cell of the histogram; the last is open-ended.
    """

    def __init__(self):
        self.mean_s = INITIAL_RUN_S
        self.variance_s2 = 0.0
        self.count = 0
        self.cells = [0] * (len(BOUNDS_S) + 1)

    def add(self, run_s: float) -> None:
        """Learns the run time of one task."""
        run_s = min(run_s, MAX_RUN_S)
        self.count += 1
        gain = max(MEAN_GAIN, 1.0 / self.count)
        excess_s = run_s - self.mean_s
        self.mean_s += gain * excess_s
        self.variance_s2 += gain * (excess_s**2 - self.variance_s2)
        self.cells[bisect.bisect_left(BOUNDS_S, run_s)] += 1
        if self.count % HALVE_AT_COUNT == 0:
            self.cells = [cell // 2 for cell in self.cells]

    def quantile_s(self, quantile: float) -> float:
        """Returns a quantile of the run times, as its cell's upper bound.

        Args:
            quantile: Which one, 0 to 1.
        """
        total = sum(self.cells)
        if not total:
            return INITIAL_RUN_S
        rank = quantile * total
        seen = 0
        for cell, bound_s in zip(self.cells, BOUNDS_S, strict=False):
            seen += cell
            if seen >= rank:
                return bound_s
        return BOUNDS_S[-1]


@dataclasses.dataclass(frozen=True)
class Backlog:
    """The work that a new job would queue behind.

    Attributes:
        queued: Tasks that wait here, weighted by this entry's part of the
            slots.
        slots: Slots that serve them.
        idle: Slots believed idle.
    """

    queued: int
    slots: int
    idle: int = 0


def expected_wait_s(queued: int, slots: int, mean_run_s: float) -> float:
    """Returns how long a task waits behind others when no slot is idle.

    Args:
        queued: Tasks ahead of it.
        slots: Slots that serve them.
        mean_run_s: Mean run time of a task.
    """
    if slots <= 0:
        return float("inf")
    return max(0, queued) * mean_run_s / slots


def likely_wait_s(queued: int, slots: int, run_times: RunTimes) -> float:
    """Returns what a task's wait behind others will hardly exceed.

    Args:
        queued: Tasks ahead of it.
        slots: Slots that serve them.
        run_times: The service's learned run times.
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
    """Tells whether a job has a fair chance to end before its deadline.

    A job that has none is refused at once, so that its caller hears a true
    "not run" early and its tasks take no slot from jobs that can still end.

    Args:
        tasks: Tasks of the job.
        time_left_s: Time until its deadline.
        backlog: What it would queue behind.
        run_times: The service's learned run times.
    """
    return expected_end_s(tasks, backlog, run_times) <= time_left_s


def expected_end_s(tasks: int, backlog: Backlog, run_times: RunTimes) -> float:
    """Returns in what time a job will most likely have ended.

    Its last task starts behind all the others; its longest one starts, on
    average, in the middle of them.

    Args:
        tasks: Tasks of the job.
        backlog: What it would queue behind.
        run_times: The service's learned run times.
    """
    ahead = backlog.queued - backlog.idle
    slots = backlog.slots
    last_s = likely_wait_s(ahead + tasks, slots, run_times) + run_times.mean_s
    # Of n tasks all end within this quantile with the stated chance.
    longest_s = run_times.quantile_s(DEADLINE_PROBABILITY ** (1.0 / tasks))
    middle_s = likely_wait_s(ahead + tasks // 2, slots, run_times)
    return max(last_s, middle_s + longest_s)
