"""The job log and its group of coordinators, as the store keeps them."""

import dataclasses

from egretthread.scheduling import jobrecord

TTL_S = 2.5


@dataclasses.dataclass
class Member:
    """One member of the group."""

    joined_s: float
    seen: int
    parts: set[int] = dataclasses.field(default_factory=set)


class FakeLog:
    """Submissions, cancellations and progress, by partition.

    Attributes:
        count: Partitions.
        is_out: Whether no call is answered.
        cut_s: Until when an entry does not reach it, by name.
        lost_share: Share of the writes that are done and not answered.
        writes: Times that each job's progress was written.
    """

    def __init__(self, count, rng):
        self.count = count
        self.rng = rng
        self.is_out = False
        self.cut_s = {}
        self.lost_share = 0.0
        self.submissions = {}
        self.cancelled = set()
        self.progress = {}
        self.epochs = [0] * count
        self.members = {}
        self.owners = dict.fromkeys(range(count))
        self.wanted = {}
        self.generation = 0

    def reaches(self, name, now_s):
        return not self.is_out and now_s >= self.cut_s.get(name, 0.0)

    def loses_answer(self):
        return self.rng.random() < self.lost_share

    def join(self, name, generation, now_s):
        """Keeps a member in the group; returns its partitions."""
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member(now_s, generation)
            self.deal()
        member.joined_s = now_s
        member.seen = generation
        for other in tuple(self.members):
            if now_s - self.members[other].joined_s > TTL_S:
                self.leave(other)
        self._move()
        parts = [
            part
            for part, owner in self.owners.items()
            if owner == name and self.wanted.get(part) == name
        ]
        return self.generation, parts

    def leave(self, name):
        """Takes a member out of the group."""
        if self.members.pop(name, None) is not None:
            for part, owner in self.owners.items():
                if owner == name:
                    self.owners[part] = None
            self.deal()

    def deal(self):
        """Assigns all partitions anew."""
        self.generation += 1
        names = sorted(self.members)
        self.rng.shuffle(names)
        self.wanted = {
            part: names[part % len(names)]
            for part in range(self.count)
            if names
        }
        self._move()

    def _move(self):
        """Gives partitions to new owners once the former ones know."""
        for part, wanted in self.wanted.items():
            owner = self.owners[part]
            if owner == wanted:
                continue
            member = self.members.get(owner)
            if member is None or member.seen >= self.generation:
                self.owners[part] = wanted

    def part(self, job):
        return jobrecord.partition_of(job, self.count)

    def read(self, part):
        """Returns what a new coordinator reads."""
        submissions = [
            jobrecord.decode_submission(value)
            for job, value in self.submissions.items()
            if self.part(job) == part
        ]
        progress = {
            job: jobrecord.decode_progress(value)
            for job, value in self.progress.items()
            if self.part(job) == part
        }
        cancelled = [job for job in self.cancelled if self.part(job) == part]
        return submissions, progress, cancelled

    def write(self, batch):
        """Writes progress, unless a later coordinator has begun."""
        if batch.generation < self.epochs[batch.partition]:
            return False
        for job, progress in batch.progress.items():
            if progress is not None:
                self.progress[job] = jobrecord.encode_progress(progress)
            else:
                self.progress.pop(job, None)
                self.submissions.pop(job, None)
        return True

    def states(self):
        """Returns the state of each job on the store."""
        found = dict.fromkeys(self.submissions, "open")
        for job, value in self.progress.items():
            found[job] = jobrecord.decode_progress(value).state.value
        return found
