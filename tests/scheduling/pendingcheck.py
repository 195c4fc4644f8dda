"""Compares reported counts of waiting kept jobs with the true ones."""

from egretthread.scheduling import jobrecord
from tests.scheduling import region

SAMPLE_S = 0.1
# Time after which a waiting job has to be counted.
VISIBLE_S = 5.0
# Time without a disturbance after which an entry has to count.
CONTACT_S = 3.0


class PendingCheck:
    """Samples the counts of all entries of a region.

    Attributes:
        world: The region.
        low: Counts under half of the true ones: time, entry, route, the
            reported count, and the jobs that have waited for so long.
        accepted_s: When each kept job was accepted.
        disturbed_s: When the log was last disturbed.
        seen: Each entry's process, and when that was last disturbed, by name.
    """

    def __init__(self, world):
        self.world = world
        self.low = []
        self.accepted_s = {}
        self.disturbed_s = world.now_s
        self.seen = {}
        world.at(SAMPLE_S, self._sample)

    def _sample(self):
        world, log, now_s = self.world, self.world.log, self.world.now_s
        world.at(SAMPLE_S, self._sample)
        for job in log.submissions:
            self.accepted_s.setdefault(job, now_s)
        if log.is_out or log.lost_share:
            self.disturbed_s = now_s
        waiting = self._waiting()
        for process in world.entries.values():
            known, since_s = self.seen.get(process.name, (None, now_s))
            if (
                known is not process
                or not process.alive
                or now_s < process.frozen_until_s
                or not log.reaches(process.name, now_s)
            ):
                since_s = now_s
            self.seen[process.name] = process, since_s
            if now_s - max(since_s, self.disturbed_s) < CONTACT_S:
                continue
            for route, jobs in waiting.items():
                reported = world.pending_jobs(process, route)
                if reported < jobs / 2:
                    self.low.append(
                        (now_s, process.name, route, reported, jobs)
                    )

    def _waiting(self):
        """Returns the number of jobs that have to be counted, by route."""
        begun = {name.job for name in self.world.runs()}
        counts = {}
        for job, value in self.world.log.submissions.items():
            age_s = self.world.now_s - self.accepted_s[job]
            if (
                age_s > VISIBLE_S
                and job not in begun
                and job not in self.world.log.cancelled
            ):
                route = jobrecord.decode_submission(value).route.name
                counts[route] = counts.get(route, 0) + 1
        return counts


def checked_region(checks):
    """Returns a class of regions that adds a check of each to a list."""

    class CheckedRegion(region.Region):
        def __init__(self, *args, **fields):
            super().__init__(*args, **fields)
            checks.append(PendingCheck(self))

    return CheckedRegion
