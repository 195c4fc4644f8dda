"""How a backend server is doing, from what becomes of its runs.

A backend server is sick while most of its recent runs failed or stand still.
It is tried again after a pause that doubles with each failed trial. Its speed
is the median of what recent runs did against the time expected of them; it
drifts back to 1 while nothing runs, so that a slow backend server is tried
again.
"""

import collections
import dataclasses
import statistics

# Runs that the judgement rests on.
WINDOW_RUNS = 8
# Bad runs among them, at least, before a backend server counts as sick.
MIN_BAD_RUNS = 3
MIN_BAD_SHARE = 0.5
# Runs older than this say nothing, in seconds.
WINDOW_S = 6.0
# Pause before a sick backend server is tried again, in seconds.
FIRST_PAUSE_S = 1.5
LONGEST_PAUSE_S = 6.0
# Samples that the speed is the median of, and time until they count no more.
SPEED_SAMPLES = 9
SPEED_WINDOW_S = 4.0
# Jobs among them, at least, before they say anything.
MIN_SPEED_JOBS = 3
MIN_SPEED = 0.05
MAX_SPEED = 4.0


@dataclasses.dataclass
class ServerHealth:
    """Recent runs of one backend server.

    Attributes:
        results: Time and whether it was good, of recent runs.
        speeds: Time, job and speed of recent runs; one for each job, since
            the tasks of a job are all expected wrongly in the same way.
        sick_until_s: End of the pause; 0 while it is well.
        pause_s: Length of the last pause.
    """

    results: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW_RUNS)
    )
    speeds: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=SPEED_SAMPLES)
    )
    sick_until_s: float = 0.0
    pause_s: float = 0.0

    def note(self, now_s: float, good: bool) -> None:
        """Notes how one run went."""
        if good:
            self.sick_until_s = 0.0
            self.pause_s = 0.0
        self.results.append((now_s, good))
        recent = [ok for at_s, ok in self.results if now_s - at_s < WINDOW_S]
        bad = recent.count(False)
        on_trial = self.pause_s and now_s >= self.sick_until_s
        if good or now_s < self.sick_until_s:
            return
        if on_trial or (
            bad >= MIN_BAD_RUNS and bad >= MIN_BAD_SHARE * len(recent)
        ):
            self.pause_s = min(
                LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self.pause_s)
            )
            self.sick_until_s = now_s + self.pause_s

    def note_speed(self, now_s: float, job: str, speed: float) -> None:
        """Notes how fast one run was against the time expected of it."""
        speed = min(MAX_SPEED, max(MIN_SPEED, speed))
        for row in self.speeds:
            if row[1] == job:
                self.speeds.remove(row)
                break
        self.speeds.append((now_s, job, speed))

    def is_sick(self, now_s: float) -> bool:
        """Whether it should get nothing now."""
        return now_s < self.sick_until_s

    def is_on_trial(self, now_s: float) -> bool:
        """Whether it should get one run, to see how that goes."""
        return bool(self.pause_s) and now_s >= self.sick_until_s

    def speed(self, now_s: float) -> float:
        """Speed against the times expected; 1 when nothing recent is known."""
        recent = [
            speed
            for at_s, _, speed in self.speeds
            if now_s - at_s < SPEED_WINDOW_S
        ]
        if len(recent) < MIN_SPEED_JOBS:
            return 1.0
        return statistics.median(recent)

    def clear(self) -> None:
        """Forgets everything, for a new incarnation."""
        self.results.clear()
        self.speeds.clear()
        self.sick_until_s = 0.0
        self.pause_s = 0.0
