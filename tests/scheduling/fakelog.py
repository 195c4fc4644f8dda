"""A fake of the store's job log and of its group of coordinators."""

import dataclasses

from egretthread.scheduling import jobrecord

TTL_S = 2.5


@dataclasses.dataclass
class Member:
    """One member of the group.

    Attributes:
        joined_s: When it last joined or renewed its membership.
        generation: Generation that it last received.
        partitions: Numbers of its partitions.
    """

    joined_s: float
    generation: int
    partitions: set[int] = dataclasses.field(default_factory=set)


def entry_of(member):
    """Returns the name of the entry whose process is a member."""
    return member.partition("#")[0]


class FakeLog:
    """A fake of the job log and of its group of coordinators.

    Attributes:
        count: Number of partitions.
        is_out: Whether the store is out, so that no call is answered.
        cut_s: Until when an entry is disconnected from the store, by name.
        lost_share: Share of the calls that are applied but not answered.
        deaf_s: Until when an entry gets no answers, by name.
        submissions: Encoded submissions by job.
        cancelled: Cancellations by job.
        progress: Encoded progress by job.
        epochs: Epoch of the last writer of each partition.
        handovers: Epoch of the last coordinator that has handed each partition
            over.
        members: Members of the group by name, the node ids of entries.
        owners: Name of the member that owns each partition; None for none.
        wanted: Name of the member that each partition is to be assigned to.
        preferred: Name of the entry that a partition is assigned to if it is a
            member.
        generation: Generation of the group.
    """

    def __init__(self, count, rng):
        self.count = count
        self.rng = rng
        self.is_out = False
        self.cut_s = {}
        self.lost_share = 0.0
        self.deaf_s = {}
        self.submissions = {}
        self.cancelled = {}
        self.progress = {}
        self.epochs = [0] * count
        self.handovers = {}
        self.members = {}
        self.owners = dict.fromkeys(range(count))
        self.wanted = {}
        self.preferred = {}
        self.generation = 0

    def reaches(self, name, now_s):
        return not self.is_out and now_s >= self.cut_s.get(name, 0.0)

    def loses_answer(self, name, now_s):
        if now_s < self.deaf_s.get(name, 0.0):
            return True
        return self.rng.random() < self.lost_share

    def join(self, name, generation, now_s):
        """Adds a member or renews its membership; returns its partitions."""
        member = self.members.get(name)
        if member is None:
            member = self.members[name] = Member(now_s, generation)
            self.reassign()
        member.joined_s = now_s
        member.generation = generation
        for known in tuple(self.members):
            if now_s - self.members[known].joined_s > TTL_S:
                self.leave(known)
        self._transfer()
        partitions = [
            number
            for number, owner in self.owners.items()
            if owner == name and self.wanted.get(number) == name
        ]
        return self.generation, partitions

    def leave(self, name):
        """Removes a member from the group."""
        if self.members.pop(name, None) is not None:
            for number, owner in self.owners.items():
                if owner == name:
                    self.owners[number] = None
            self.reassign()

    def reassign(self):
        """Starts a new generation in which all partitions are reassigned."""
        self.generation += 1
        names = sorted(self.members)
        self.rng.shuffle(names)
        self.wanted = {
            number: names[number % len(names)]
            for number in range(self.count)
            if names
        }
        for number, entry in self.preferred.items():
            for name in names:
                if entry_of(name) == entry:
                    self.wanted[number] = name
        self._transfer()

    def reassign_at_once(self):
        """Reassigns all partitions without waiting for their owners."""
        self.reassign()
        self.owners.update(self.wanted)

    def _transfer(self):
        """Transfers partitions whose former owners know the new generation."""
        for number, wanted in self.wanted.items():
            owner = self.owners[number]
            if owner == wanted:
                continue
            member = self.members.get(owner)
            if member is None or member.generation >= self.generation:
                self.owners[number] = wanted

    def partition_of(self, job):
        return jobrecord.partition_of(job, self.count)

    def read(self, number):
        """Returns submissions, progress and cancellations of a partition."""
        submissions = [
            jobrecord.decode_submission(value)
            for job, value in self.submissions.items()
            if self.partition_of(job) == number
        ]
        progress = {
            job: jobrecord.decode_progress(value)
            for job, value in self.progress.items()
            if self.partition_of(job) == number
        }
        cancelled = [
            (job, cancellation)
            for job, cancellation in self.cancelled.items()
            if self.partition_of(job) == number
        ]
        return submissions, progress, cancelled

    def write(self, batch):
        """Writes progress; returns whether the writer is still coordinator."""
        if batch.epoch < self.epochs[batch.partition]:
            return False
        for job, progress in batch.progress.items():
            if progress is not None:
                self.progress[job] = jobrecord.encode_progress(progress)
            else:
                self.progress.pop(job, None)
                self.submissions.pop(job, None)
        return True

    def states(self):
        """Returns the stored state of each job."""
        states = dict.fromkeys(self.submissions, "open")
        for job, value in self.progress.items():
            states[job] = jobrecord.decode_progress(value).state.value
        return states
