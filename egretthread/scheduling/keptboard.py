"""What an entry knows of the kept jobs that it coordinates."""

import dataclasses
import typing

from egretthread.scheduling.jobrecord import JobState, Progress, Submission

if typing.TYPE_CHECKING:
    from egretthread.scheduling.entryboard import Job


@dataclasses.dataclass(eq=False)
class KeptJob:
    """One kept job.

    Attributes:
        partition: Its partition.
        submission: As submitted.
        state: RUNNING while it is open, else how it ended.
        job: The job with its tasks.
        is_open: Whether its tasks may be handed out.
        ended_unix_s: When it ended; 0 while it is open.
        written: The state on the store.
        taken: Ends that were taken in, as (server, number).
        unsettled: Ends that agents may forget once the progress is on the
            store: the agent's node id, by (server, number).
    """

    partition: int
    submission: Submission
    job: "Job"
    state: JobState = JobState.RUNNING
    is_open: bool = False
    ended_unix_s: float = 0.0
    written: JobState = JobState.RUNNING
    taken: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    unsettled: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )

    @property
    def id(self) -> str:
        """Its id."""
        return self.submission.spec.job


@dataclasses.dataclass(eq=False)
class Partition:
    """One partition that this entry coordinates.

    Attributes:
        number: Its number.
        generation: Generation of the group when it was assigned; orders its
            coordinators.
        ready_s: When all runs that an earlier coordinator ordered are over.
        is_loaded: Whether its jobs have been read from the store.
        is_open: Whether their tasks may be handed out.
        jobs: Its jobs by id.
        dirty: Those whose progress has to be written.
        dropped: Ids of jobs whose records are no longer needed.
    """

    number: int
    generation: int
    ready_s: float
    is_loaded: bool = False
    is_open: bool = False
    jobs: dict[str, KeptJob] = dataclasses.field(default_factory=dict)
    dirty: dict[str, KeptJob] = dataclasses.field(default_factory=dict)
    dropped: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True)
class ProgressBatch:
    """Progress of jobs of one partition, to be written at once.

    Attributes:
        partition: The partition.
        generation: Generation that it was assigned in.
        progress: The progress by job; None drops a job's records.
        settles: Ends that may be forgotten then, by agent and server.
    """

    partition: int
    generation: int
    progress: dict[str, Progress | None]
    settles: dict[tuple[str, str], tuple[int, ...]]


@dataclasses.dataclass
class KeptBoard:
    """Kept jobs of one entry.

    Attributes:
        partition_count: Number of partitions of the job log.
        partitions: Those that it coordinates, by number.
        is_member: Whether the store has assigned it any yet, or told it that
            there are none for it.
        elsewhere: Whether another entry coordinates a kept job.
        until_s: Until when it may coordinate them.
        dirty: Those with progress that has to be written.
        last_sweep_s: When records of expired jobs were last removed.
    """

    partition_count: int = 1
    partitions: dict[int, Partition] = dataclasses.field(default_factory=dict)
    is_member: bool = False
    elsewhere: bool = False
    until_s: float = 0.0
    dirty: set[int] = dataclasses.field(default_factory=set)
    last_sweep_s: float = 0.0

    @property
    def may_exist(self) -> bool:
        """Whether there may be kept jobs in the system."""
        return (
            not self.is_member
            or self.elsewhere
            or any(p.jobs or not p.is_loaded for p in self.partitions.values())
        )

    def find(self, job: str) -> KeptJob | None:
        """Returns a job that this entry coordinates, if it is known."""
        for part in self.partitions.values():
            if job in part.jobs:
                return part.jobs[job]
        return None

    def record_end(self, job: str, state: JobState, unix_s: float) -> None:
        """Notes that a job has ended; its progress has to be written."""
        kept = self.find(job)
        if kept is not None:
            kept.state = state
            kept.ended_unix_s = unix_s
            kept.is_open = False
            self.mark(kept)

    def mark(self, kept: KeptJob) -> None:
        """Notes that a job's progress has to be written."""
        part = self.partitions.get(kept.partition)
        if part is not None:
            part.dirty[kept.id] = kept
            self.dirty.add(kept.partition)
