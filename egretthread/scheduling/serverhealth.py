"""Health and speed of a backend server, judged by its recent runs.

A backend server is unhealthy while most of its recent runs failed or stalled.
It is tried again after a backoff that doubles with each failed trial. Its speed
is the median ratio of expected to actual run time of recent runs. The speed
returns to 1 while nothing runs, so that a slow backend server is tried again.
"""

import collections
import dataclasses
import statistics

# Number of recent runs that are considered.
WINDOW_RUNS = 8
# Minimum number and share of failed or stalled runs among them for a backend
# server to count as unhealthy.
MIN_FAILED_RUNS = 3
MIN_FAILED_SHARE = 0.5
# Results that were recorded longer ago are not considered.
WINDOW_S = 6.0
# Bounds of the backoff before an unhealthy backend server is tried again.
MIN_BACKOFF_S = 1.5
MAX_BACKOFF_S = 6.0
# Number and maximum age of the samples whose median is the speed.
SPEED_SAMPLES = 9
SPEED_WINDOW_S = 4.0
# Minimum number of samples, each of another job, for a speed other than 1.
MIN_SPEED_JOBS = 3
MIN_SPEED = 0.05
MAX_SPEED = 4.0


@dataclasses.dataclass
class ServerHealth:
    """Recent runs of one backend server.

    Attributes:
        results: Time and success of recent runs.
        speeds: Time, job and speed of recent runs. There is one sample per
            job, since a wrong estimate affects all tasks of a job alike.
        unhealthy_until_s: End of the backoff; 0 while the server is healthy.
        backoff_s: Length of the last backoff; 0 while the server is healthy.
    """

    results: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW_RUNS)
    )
    speeds: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SPEED_SAMPLES)
    )
    unhealthy_until_s: float = 0.0
    backoff_s: float = 0.0

    def record_result(self, now_s: float, good: bool) -> None:
        """Records whether one run went well, and adapts the backoff."""
        if good:
            self.unhealthy_until_s = 0.0
            self.backoff_s = 0.0
        self.results.append((now_s, good))
        recent = [ok for at_s, ok in self.results if now_s - at_s < WINDOW_S]
        failed = recent.count(False)
        on_trial = self.backoff_s and now_s >= self.unhealthy_until_s
        if good or now_s < self.unhealthy_until_s:
            return
        if on_trial or (
            failed >= MIN_FAILED_RUNS
            and failed >= MIN_FAILED_SHARE * len(recent)
        ):
            self.backoff_s = min(
                MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2 * self.backoff_s)
            )
            self.unhealthy_until_s = now_s + self.backoff_s

    def record_speed(self, now_s: float, job: str, speed: float) -> None:
        """Records the ratio of expected to actual run time of one run."""
        speed = min(MAX_SPEED, max(MIN_SPEED, speed))
        for sample in self.speeds:
            if sample[1] == job:
                self.speeds.remove(sample)
                break
        self.speeds.append((now_s, job, speed))

    def is_unhealthy(self, now_s: float) -> bool:
        """Whether the backend server should get no runs now."""
        return now_s < self.unhealthy_until_s

    def is_on_trial(self, now_s: float) -> bool:
        """Whether the backend server should get a single run, as a trial."""
        return bool(self.backoff_s) and now_s >= self.unhealthy_until_s

    def speed(self, now_s: float) -> float:
        """Returns the speed, or 1 if there are too few recent samples."""
        recent = [
            speed
            for at_s, _, speed in self.speeds
            if now_s - at_s < SPEED_WINDOW_S
        ]
        if len(recent) < MIN_SPEED_JOBS:
            return 1.0
        return statistics.median(recent)

    def clear(self) -> None:
        """Removes all samples, for a new incarnation."""
        self.results.clear()
        self.speeds.clear()
        self.unhealthy_until_s = 0.0
        self.backoff_s = 0.0
