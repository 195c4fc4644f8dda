"""Load patterns for simulated regions, and what their callers got."""

import dataclasses

from egretthread.scheduling.entryboard import Outcome
from tests.scheduling import region


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of one job as its caller saw it.

    Attributes:
        submitted_s: When it was submitted.
        outcome: Its outcome.
        took_s: Time from its submission to its answer.
    """

    submitted_s: float
    outcome: Outcome
    took_s: float


class Load:
    """Submits jobs of one kind at a constant rate, each to the next entry.

    Attributes:
        world: The simulated region.
        submitted_s: When each job was submitted, by its id.
    """

    def __init__(self, world):
        self.world = world
        self.submitted_s = {}

    def offer(self, rate, seconds, spec, max_wait_s=1.5, entries=None):
        """Schedules submissions for a number of seconds from now.

        Args:
            rate: Jobs per second.
            seconds: For how long.
            spec: Returns a job for an id.
            max_wait_s: How long each caller waits.
            entries: Names of the entries that get the jobs; None for all.
        """
        entries = entries or sorted(self.world.entries)
        for number in range(int(rate * seconds)):
            name = f"job-{len(self.submitted_s)}-{number}"
            after_s = number / rate
            entry = entries[number % len(entries)]
            self.world.at(after_s, self._submit, name, spec, entry, max_wait_s)

    def _submit(self, name, spec, entry, max_wait_s):
        self.submitted_s[name] = self.world.now_s
        self.world.submit(spec(name), entry, max_wait_s)

    def results(self):
        """Returns the results of the answered jobs."""
        return [
            Result(
                self.submitted_s[job],
                outcome,
                answered_s - self.submitted_s[job],
            )
            for job, outcome, answered_s in self.world.answers
            if job in self.submitted_s
        ]


def lookup(name):
    """Returns a short job of four tasks."""
    return region.job(name, count=4, cpu=1000, estimated_s=0.1)


def capacity_rate(world):
    """Returns how many such jobs per second all backend servers can run."""
    total_cpu = sum(server.capacity.cpu for server in world.servers.values())
    return total_cpu / 1000 / (4 * 0.1)
