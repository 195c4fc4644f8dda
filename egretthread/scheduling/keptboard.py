"""State of the kept jobs that an entry coordinates."""

import dataclasses
import typing

from egretthread.scheduling.jobrecord import (
    Cancellation,
    JobState,
    Progress,
    Submission,
)
from egretthread.scheduling.runmessage import PendingJobs, ServerNeed

if typing.TYPE_CHECKING:
    from egretthread.scheduling.entryboard import Job, Task

# How long kept jobs may exist after an entry has last known of any. When their
# coordinator is lost, the store assigns them to another entry within 2.5 s, and
# that learns of it within 0.6 s and loads them.
MEMORY_S = 3.5
# Epoch of a coordinator that is not known.
UNKNOWN_EPOCH = -1
# Upper bound of the epochs of a partition in one generation of the group.
EPOCHS_PER_GENERATION = 2**24


@dataclasses.dataclass(eq=False)
class KeptJob:
    """One kept job.

    Attributes:
        partition: Number of its partition.
        submission: Its submission as read from the log.
        state: RUNNING while it is open, else its final state.
        job: The job with its tasks.
        loaded: Its progress when it was loaded.
        is_open: Whether its tasks may be dispatched.
        has_begun: Whether a run of it is known to have started.
        ended_unix_s: When it ended; 0 while it is open.
        stored_state: The last state that was written to the store.
        recorded_ends: Ends of runs that have been recorded, as pairs of the
            backend server's incarnation and the sequence number of the end.
        unsettled: Ends that are acknowledged once the job's progress has been
            written: the node id of the agent that holds each, by such a pair.
        ends: The runs whose ends have been recorded and may be offered again,
            from the oldest to the latest, as in `Progress.ends`.
        recording: Tasks that are enqueued once the number of their last run
            has been written.
    """

    partition: int
    submission: Submission
    job: "Job"
    loaded: Progress = Progress()
    state: JobState = JobState.RUNNING
    is_open: bool = False
    has_begun: bool = False
    ended_unix_s: float = 0.0
    stored_state: JobState = JobState.RUNNING
    recorded_ends: set[tuple[str, int]] = dataclasses.field(default_factory=set)
    unsettled: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
    ends: dict[tuple[int, int, int], None] = dataclasses.field(
        default_factory=dict
    )
    recording: list["Task"] = dataclasses.field(default_factory=list)

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.submission.spec.job


@dataclasses.dataclass(eq=False)
class Partition:
    """One partition that this entry coordinates.

    Attributes:
        number: Its number.
        generation: Generation of the group when it was assigned.
        epoch: Epoch of its appends of progress. It orders the coordinators of
            the partition, and is new after each loss of the partition.
        tenure_end_s: When earlier coordinators have given it up: they read
            submissions and order runs no longer.
        ready_s: When all runs ordered by earlier coordinators have ended.
        first_epoch: Epoch under which the store names this entry as its
            coordinator; UNKNOWN_EPOCH before.
        former_epoch: The same of the coordinator before; UNKNOWN_EPOCH if there
            may have been another one since.
        last_append: Number of the last append of progress.
        progress_end: Offset after the newest progress that is known here. Only
            the coordinator appends, so its next append begins there or later.
        is_loaded: Whether its jobs have been read from the store.
        is_open: Whether the tasks of its jobs may be dispatched.
        read_s: All submissions that were stored before that time are known.
        unknown_ends: Ends that were offered for jobs that are not known, as
            pairs of the backend server's incarnation and the sequence number
            of the end, with the time of their first offer.
        jobs: Its jobs by id.
        dirty: Jobs whose progress has to be written, by id.
        dropped: Ids of jobs whose records have to be deleted.
        cancelled: Cancellations of jobs that are not known, by id: their
            submissions may still be on their way. The oldest is the first.
    """

    number: int
    generation: int
    epoch: int
    tenure_end_s: float
    ready_s: float
    first_epoch: int = UNKNOWN_EPOCH
    former_epoch: int = UNKNOWN_EPOCH
    last_append: int = 0
    progress_end: int = 0
    is_loaded: bool = False
    is_open: bool = False
    read_s: float = 0.0
    unknown_ends: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    jobs: dict[str, KeptJob] = dataclasses.field(default_factory=dict)
    dirty: dict[str, KeptJob] = dataclasses.field(default_factory=dict)
    dropped: set[str] = dataclasses.field(default_factory=set)
    cancelled: dict[str, Cancellation] = dataclasses.field(default_factory=dict)

    @property
    def has_read_former(self) -> bool:
        """Whether all submissions that an earlier coordinator read are known.

        Submissions that are read later have not been started by any.
        """
        return self.read_s >= self.tenure_end_s


@dataclasses.dataclass(frozen=True)
class ProgressBatch:
    """Progress of jobs of one partition, to be written together.

    Attributes:
        partition: Number of the partition.
        epoch: Epoch of the partition when the batch was taken.
        progress: Progress by job id; None deletes the records of a job.
        settles: Sequence numbers of the ends that are acknowledged once the
            batch has been written, by agent and incarnation of the backend
            server.
    """

    partition: int
    epoch: int
    progress: dict[str, Progress | None]
    settles: dict[tuple[str, str], tuple[int, ...]]


@dataclasses.dataclass(frozen=True)
class Handover:
    """A partition that this entry has released.

    Attributes:
        number: Number of the partition.
        epoch: Epoch under which the store names this entry as its coordinator.
        released_s: When it was released.
        ready_s: When all runs ordered by earlier coordinators have ended.
        jobs: Jobs with runs that this entry has ordered, which may not have
            ended at its release.
    """

    number: int
    epoch: int
    released_s: float
    ready_s: float
    jobs: frozenset[str]


@dataclasses.dataclass(frozen=True)
class FormerCounts:
    """Jobs that waited in partitions when their coordinator released them.

    Attributes:
        parts: Numbers of the partitions.
        pending: Their jobs of which no task had started, by route.
    """

    parts: frozenset[int]
    pending: tuple[PendingJobs, ...]


@dataclasses.dataclass
class KeptBoard:
    """Kept jobs and partitions that one entry coordinates.

    Attributes:
        partition_count: Number of partitions of the job log.
        partitions: Partitions that the entry coordinates, by number.
        epochs: The last epoch of each partition in this process, by number.
        is_member: Whether the store has answered a request to join the group,
            with or without partitions.
        others_have_jobs: Whether another entry may coordinate a kept job.
        coordinators: Addresses of the other entries that coordinate partitions,
            by partition.
        needs: Needs of tasks that other entries know no agent for, by address.
        known_s: When it last knew of a kept job that exists or may exist.
        until_s: When its assignment expires unless it is renewed.
        dirty: Numbers of partitions with progress that has to be written.
        last_sweep_s: When records of expired jobs were last removed.
        handovers: Released partitions whose next coordinator has not been told
            that all their runs have ended.
        former_counts: Last counts of partitions that have not been loaded by
            their next coordinator.
    """

    partition_count: int = 1
    partitions: dict[int, Partition] = dataclasses.field(default_factory=dict)
    epochs: dict[int, int] = dataclasses.field(default_factory=dict)
    is_member: bool = False
    others_have_jobs: bool = False
    coordinators: dict[int, str] = dataclasses.field(default_factory=dict)
    needs: dict[str, tuple[ServerNeed, ...]] = dataclasses.field(
        default_factory=dict
    )
    known_s: float = 0.0
    until_s: float = 0.0
    dirty: set[int] = dataclasses.field(default_factory=set)
    last_sweep_s: float = 0.0
    handovers: list[Handover] = dataclasses.field(default_factory=list)
    former_counts: list[FormerCounts] = dataclasses.field(default_factory=list)

    @property
    def has_jobs(self) -> bool:
        """Whether this entry coordinates a kept job, or may do so."""
        return any(p.jobs or not p.is_loaded for p in self.partitions.values())

    def may_exist(self, now_s: float) -> bool:
        """Whether there may be a kept job, with or without a coordinator."""
        return (
            not self.is_member
            or now_s >= self.until_s
            or now_s - self.known_s < MEMORY_S
            or self.others_have_jobs
            or self.has_jobs
        )

    def new_epoch(self, number: int, generation: int) -> int:
        """Returns an epoch above all earlier ones of a partition.

        A change of coordinators always brings a new generation, but one that
        loses a partition may be assigned it again in the same generation.
        """
        first = generation * EPOCHS_PER_GENERATION
        self.epochs[number] = max(first, self.epochs.get(number, -1) + 1)
        return self.epochs[number]

    def find(self, job: str) -> KeptJob | None:
        """Returns a job that this entry coordinates; None when unknown."""
        for partition in self.partitions.values():
            if job in partition.jobs:
                return partition.jobs[job]
        return None

    def record_end(self, job: str, state: JobState, unix_s: float) -> None:
        """Records the final state of a job."""
        kept_job = self.find(job)
        if kept_job is not None:
            kept_job.state = state
            kept_job.ended_unix_s = unix_s
            kept_job.is_open = False
            self.mark_dirty(kept_job)

    def record_run(self, task: "Task") -> None:
        """Has the number of a task's last run written to the store."""
        kept_job = self.find(task.job.id)
        if kept_job is not None:
            kept_job.recording.append(task)
            self.mark_dirty(kept_job)

    def mark_dirty(self, kept_job: KeptJob) -> None:
        """Records that the progress of a job has to be written."""
        partition = self.partitions.get(kept_job.partition)
        if partition is not None:
            partition.dirty[kept_job.id] = kept_job
            self.dirty.add(kept_job.partition)
