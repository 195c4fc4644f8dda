"""Memory of cancelled jobs that are not kept, at an entry."""

import dataclasses

# How long a cancellation is remembered. A submission may be repeated some
# seconds later, and other entries may be unreachable for a time.
MEMORY_S = 10.0
# Maximum number of jobs that are remembered.
MAX_JOBS = 5000


@dataclasses.dataclass
class CancelBook:
    """Jobs that were cancelled recently.

    Attributes:
        cancelled_s: When each job was cancelled, by id, the oldest first.
    """

    cancelled_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, job: str, now_s: float) -> None:
        """Remembers a job; forgets the oldest one if it is time."""
        self.cancelled_s.pop(job, None)
        self.cancelled_s[job] = now_s
        oldest = next(iter(self.cancelled_s))
        if len(self.cancelled_s) > MAX_JOBS or not self.holds(oldest, now_s):
            del self.cancelled_s[oldest]

    def holds(self, job: str, now_s: float) -> bool:
        """Whether a job was cancelled recently."""
        return (
            job in self.cancelled_s and now_s - self.cancelled_s[job] < MEMORY_S
        )

    def jobs(self, now_s: float) -> list[str]:
        """Returns the ids of the jobs that were cancelled recently."""
        return [job for job in self.cancelled_s if self.holds(job, now_s)]
