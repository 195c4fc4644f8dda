"""Kept jobs, which survive a restart of every process that works on them.

Submissions and cancellations are stored in the job log, a partitioned topic of
the store. The store assigns each partition to one entry, its coordinator, for a
limited time. The coordinator reads the log, dispatches the tasks, and writes
the progress of each job before the backend server that ran a task may discard
the end of that run. A new coordinator waits until all runs ordered by earlier
coordinators have ended, and learns from the agents how they ended. Which of
these ends still count follows from the numbers of the runs (see `runnumbers`).
"""

from collections.abc import Collection, Iterable

from egretthread import logs
from egretthread.scheduling import (
    crashbook,
    jobrecord,
    jobs,
    leaserule,
    pendingcounts,
    runnumbers,
    shares,
)
from egretthread.scheduling.entryboard import (
    IDLE_STATES,
    AgentView,
    Answer,
    EntryBoard,
    Job,
    Outcome,
    Task,
    TaskState,
)
from egretthread.scheduling.jobrecord import (
    FINAL_STATES,
    Cancellation,
    JobState,
    Progress,
    Submission,
    partition_of,
)
from egretthread.scheduling.keptboard import (
    UNKNOWN_EPOCH,
    Handover,
    KeptJob,
    Partition,
    ProgressBatch,
)
from egretthread.scheduling.runmessage import (
    EntryHello,
    HeldEnd,
    HeldEnds,
    PendingJobs,
    RunEnd,
    RunReport,
    ServerCrash,
    SettleEnds,
)
from egretthread.scheduling.storecall import POLL_WAIT_S

# Time for which callers may ask for the state of a job that has ended. It
# exceeds the operators' `status_s`, which is 120 s.
STATUS_S = 150.0
# Maximum number of jobs in a batch of progress. A record has some hundred
# bytes, and the store accepts 2 MB at once.
MAX_BATCH_JOBS = 1000
# Maximum number of ends in the progress of a job, and in a batch. An end of a
# task that is done, and that is not among them, is void if the acknowledgement
# was lost together with the coordinator.
MAX_ENDS = 100
MAX_BATCH_ENDS = 10_000
# Time after which an end for an unknown job is forgotten unless it was settled.
# Agents offer it again every 0.3 s, and partitions are read every 1.5 s.
UNKNOWN_END_S = 10.0
# Maximum number of cancellations of unknown jobs that are kept in a partition.
MAX_CANCELLATIONS = 2000
# Time after which the next coordinator of a partition does without a handover.
HANDOVER_S = 5.0
# Time in which agents offer the ends that they hold to a partition's next
# coordinator, and link with it first if they have to.
OFFER_S = 1.0
# Time between two removals of jobs that ended more than STATUS_S ago.
SWEEP_INTERVAL_S = 1.0


def on_assigned(
    board: EntryBoard, generation: int, numbers: Iterable[int], until_s: float
) -> None:
    """Updates the partitions that this entry coordinates.

    Args:
        board: The blackboard.
        generation: The group's generation.
        numbers: Numbers of the partitions.
        until_s: When the store may assign them to other entries.
    """
    kept_board = board.kept
    numbers = set(numbers)
    expire(board)
    kept_board.until_s = until_s
    if not kept_board.is_member:
        kept_board.is_member = True
        kept_board.known_s = board.now_s
    for number in tuple(kept_board.partitions):
        if number not in numbers:
            release(board, number, "assigned elsewhere")
    for number in sorted(numbers - kept_board.partitions.keys()):
        tenure_end_s = leaserule.tenure_end_s(board.now_s)
        epoch = kept_board.new_epoch(number, generation)
        kept_board.partitions[number] = Partition(
            number,
            generation,
            epoch,
            tenure_end_s,
            leaserule.takeover_s(tenure_end_s),
        )
        logs.info("partition_assigned", part=number, generation=generation)


def expire(board: EntryBoard) -> None:
    """Releases all partitions once the store may have reassigned them."""
    if board.kept.partitions and board.now_s >= board.kept.until_s:
        for number in tuple(board.kept.partitions):
            release(board, number, "not renewed in time")


def release(board: EntryBoard, number: int, reason: str) -> None:
    """Stops the jobs of a partition here; its next coordinator resumes them."""
    partition = board.kept.partitions.pop(number, None)
    if partition is None:
        return
    pendingcounts.on_released(board, partition)
    if partition.jobs or not partition.is_loaded:
        board.kept.known_s = board.now_s
    open_jobs = [
        kept_job for kept_job in partition.jobs.values() if kept_job.is_open
    ]
    logs.info(
        "partition_released",
        part=number,
        reason=reason,
        jobs=len(open_jobs),
    )
    for kept_job in open_jobs:
        jobs.drop(board, kept_job.job)
    if partition.first_epoch != UNKNOWN_EPOCH:
        handover = Handover(
            number,
            partition.first_epoch,
            board.now_s,
            board.now_s if partition.is_open else partition.ready_s,
            frozenset(partition.jobs.keys() & board.orphaned_runs.keys()),
        )
        board.kept.handovers.append(handover)


def take_handovers(board: EntryBoard) -> list[Handover]:
    """Returns the handovers of partitions of which no run goes on.

    Handovers that are no longer of use are dropped.
    """
    ready = []
    for handover in tuple(board.kept.handovers):
        has_runs = any(job in board.orphaned_runs for job in handover.jobs)
        if board.now_s - handover.released_s > HANDOVER_S:
            board.kept.handovers.remove(handover)
        elif board.now_s >= handover.ready_s and not has_runs:
            board.kept.handovers.remove(handover)
            ready.append(handover)
    return ready


def on_handover(
    board: EntryBoard, number: int, epoch: int, former_epoch: int
) -> None:
    """Shortens the wait for the former coordinator of a partition.

    It read no submissions any longer when it wrote the record of the handover,
    and all submissions before that record have been read here. Ends that it has
    not written may still be offered: after a new start they would be void.

    Args:
        board: The blackboard.
        number: Number of the partition.
        epoch: Epoch of the partition when the record was read.
        former_epoch: Epoch of the coordinator that has written it.
    """
    partition = _find_partition(board, number, epoch)
    if (
        partition is None
        or partition.is_open
        or former_epoch == UNKNOWN_EPOCH
        or former_epoch != partition.former_epoch
    ):
        return
    logs.info(
        "partition_handed_over",
        part=number,
        before_s=partition.ready_s - board.now_s,
    )
    partition.tenure_end_s = min(partition.tenure_end_s, partition.read_s)
    partition.ready_s = min(partition.ready_s, board.now_s + OFFER_S)


def begin_epoch(board: EntryBoard, partition: Partition) -> None:
    """Begins a new epoch of a partition; earlier appends are not applied."""
    partition.epoch = board.kept.new_epoch(
        partition.number, partition.generation
    )


def on_loaded(
    board: EntryBoard,
    number: int,
    epoch: int,
    submissions: Iterable[Submission],
    progress: dict[str, Progress],
) -> None:
    """Adds the jobs read from a newly assigned partition."""
    partition = _find_partition(board, number, epoch)
    if partition is None:
        return
    partition.is_loaded = True
    for submission in submissions:
        if submission.spec.job in partition.jobs:
            continue
        _add(board, partition, submission, progress.get(submission.spec.job))
    logs.info(
        "partition_loaded",
        part=number,
        generation=partition.generation,
        jobs=len(partition.jobs),
        open=sum(k.state not in FINAL_STATES for k in partition.jobs.values()),
    )


def on_submitted(
    board: EntryBoard, number: int, epoch: int, submission: Submission
) -> None:
    """Adds the job of a submission read from the log."""
    partition = _find_partition(board, number, epoch)
    if partition is None or submission.spec.job in partition.jobs:
        return
    _add(board, partition, submission, None)
    cancellation = partition.cancelled.pop(submission.spec.job, None)
    if cancellation is not None:
        _cancel(board, partition, submission.spec.job, cancellation)


def on_read(board: EntryBoard, number: int, epoch: int, read_s: float) -> None:
    """Records that all submissions stored before a time have been read."""
    partition = _find_partition(board, number, epoch)
    if partition is not None:
        partition.read_s = max(partition.read_s, read_s)


def read_wait_s(partition: Partition, now_s: float) -> float:
    """Returns how long a read of a partition may wait for a record.

    A read that begins at the end of the earlier coordinators' tenure is needed
    before the partition is opened.
    """
    if partition.has_read_former:
        return POLL_WAIT_S
    return max(0.0, min(POLL_WAIT_S, partition.tenure_end_s - now_s))


def on_cancelled(
    board: EntryBoard,
    number: int,
    epoch: int,
    job: str,
    cancellation: Cancellation,
) -> None:
    """Cancels a job whose cancellation was read from the log.

    Its caller may have been told that there is no such job. If the job is not
    known, its submission may be stored later, and must not be started then.

    Args:
        board: The blackboard.
        number: Number of the partition.
        epoch: Epoch of the partition when it was read.
        job: Id of the job.
        cancellation: The cancellation.
    """
    partition = _find_partition(board, number, epoch)
    if partition is None:
        return
    if job in partition.jobs:
        _cancel(board, partition, job, cancellation)
    elif cancellation.unix_s != jobrecord.UNKNOWN_TIME:
        partition.cancelled.pop(job, None)
        partition.cancelled[job] = cancellation


def _cancel(
    board: EntryBoard,
    partition: Partition,
    job: str,
    cancellation: Cancellation,
) -> None:
    """Cancels a known job, unless it has ended or is another one."""
    kept_job = partition.jobs[job]
    if kept_job.state in FINAL_STATES:
        return
    if not cancellation.applies_to(kept_job.submission):
        logs.info(
            "cancellation_ignored",
            job=job,
            cancelled_unix_s=cancellation.unix_s,
            route=cancellation.route,
        )
        return
    answer = Answer(job, Outcome.CANCELLED, "cancelled by its caller")
    jobs.close(board, kept_job.job, answer)


def outdated_cancellations(
    board: EntryBoard, partition: Partition
) -> tuple[str, ...]:
    """Returns ids of unknown jobs whose cancellations need not be kept."""
    cutoff_unix_s = board.unix_s - jobrecord.CANCEL_MEMORY_S
    excess = len(partition.cancelled) - MAX_CANCELLATIONS
    return tuple(
        job
        for number, (job, each) in enumerate(partition.cancelled.items())
        if number < excess or each.unix_s < cutoff_unix_s
    )


def _find_partition(
    board: EntryBoard, number: int, epoch: int
) -> Partition | None:
    """Returns a partition if it has not been lost since that epoch began."""
    partition = board.kept.partitions.get(number)
    if partition is None or partition.epoch != epoch:
        return None
    return partition


def _add(
    board: EntryBoard,
    partition: Partition,
    submission: Submission,
    progress: Progress | None,
) -> None:
    """Adds a job, with the progress that an earlier coordinator wrote."""
    job = jobs.new_job(board, submission.spec, submission.route)
    kept_job = KeptJob(partition.number, submission, job)
    partition.jobs[kept_job.id] = kept_job
    if progress is not None:
        kept_job.loaded = progress
        kept_job.ends = dict.fromkeys(progress.ends)
        kept_job.has_begun = progress.has_begun
        kept_job.state = kept_job.stored_state = progress.state
        kept_job.ended_unix_s = progress.ended_unix_s
        _restore(board, job, progress)
    if partition.is_open:
        # It was stored after the last read of any earlier coordinator.
        _open(board, kept_job)


def _restore(board: EntryBoard, job: Job, progress: Progress) -> None:
    """Applies stored progress to the tasks of a job."""
    for step, indices in progress.done.items():
        for index in indices:
            job.tasks[step][index].state = TaskState.DONE
    for (step, index), count in progress.failures.items():
        job.tasks[step][index].failures = count
    runnumbers.restore(job, progress)
    for (step, index), keys in progress.crashes.items():
        task = crashbook.TaskId(job.id, step, index)
        crashbook.restore(
            board.crashes, board.now_s, task, keys, job.route.name
        )


def _open_if_ready(board: EntryBoard, partition: Partition) -> None:
    """Takes a partition's jobs over once earlier runs of them have ended.

    All jobs that an earlier coordinator may have started have to be known by
    then. They are opened when the store has the numbers of their runs to come.
    """
    if board.now_s >= partition.ready_s and partition.has_read_former:
        partition.is_open = True
        for kept_job in partition.jobs.values():
            if kept_job.state not in FINAL_STATES:
                runnumbers.begin(kept_job.job, kept_job.loaded)
                board.kept.mark_dirty(kept_job)


def _open(board: EntryBoard, kept_job: KeptJob) -> None:
    """Opens a job for dispatch unless it has ended."""
    if kept_job.state not in FINAL_STATES:
        kept_job.is_open = True
        jobs.open_job(board, kept_job.job)
        if kept_job.id in board.crashes.blamed_jobs:
            jobs.fail_blamed(board, kept_job.id)


def on_tick(board: EntryBoard) -> None:
    """Opens the partitions that are ready, and drops old jobs."""
    for partition in board.kept.partitions.values():
        if partition.is_loaded and not partition.is_open:
            _open_if_ready(board, partition)
    if board.kept.has_jobs or board.kept.others_have_jobs:
        board.kept.known_s = board.now_s
    if board.now_s - board.kept.last_sweep_s >= SWEEP_INTERVAL_S:
        board.kept.last_sweep_s = board.now_s
        _sweep(board)


def _sweep(board: EntryBoard) -> None:
    """Drops settled jobs that ended over STATUS_S ago, and their records."""
    cutoff_unix_s = board.unix_s - STATUS_S
    for partition in board.kept.partitions.values():
        _forget_unknown_ends(partition, board.now_s - UNKNOWN_END_S)
        for kept_job in tuple(partition.jobs.values()):
            is_settled = (
                kept_job.stored_state in FINAL_STATES and not kept_job.unsettled
            )
            if is_settled and kept_job.ended_unix_s < cutoff_unix_s:
                del partition.jobs[kept_job.id]
                partition.dropped.add(kept_job.id)
                board.kept.dirty.add(partition.number)


def _forget_unknown_ends(partition: Partition, before_s: float) -> None:
    """Forgets ends for unknown jobs that were first offered before a time."""
    for key, offered_s in tuple(partition.unknown_ends.items()):
        if offered_s < before_s:
            del partition.unknown_ends[key]


def on_hellos(board: EntryBoard, hellos: Collection[EntryHello]) -> None:
    """Updates which partitions other entries coordinate, and their needs.

    Args:
        board: The blackboard.
        hellos: Recent hellos of the other entries, the latest last.
    """
    board.kept.coordinators = {
        number: hello.address for hello in hellos for number in hello.parts
    }
    board.kept.needs = {
        hello.address: hello.needs for hello in hellos if hello.needs
    }


def on_held_ends(board: EntryBoard, view: AgentView, held: HeldEnds) -> None:
    """Records the ends that an agent holds for the jobs coordinated here.

    Ends that need not be held any longer are acknowledged at once, and the
    others after the progress of their jobs has been written. The agent is told
    of other entries that coordinate jobs of its ends.
    """
    settled = []
    void = []
    elsewhere = set()
    for end in held.rows:
        number = partition_of(end.job, board.kept.partition_count)
        partition = board.kept.partitions.get(number)
        if partition is None or not partition.is_loaded:
            # Another entry coordinates the job or will soon do so.
            if number in board.kept.coordinators:
                elsewhere.add(board.kept.coordinators[number])
            continue
        kept_job = partition.jobs.get(end.job)
        key = (held.server, end.sequence)
        if kept_job is None:
            if _is_not_kept(board, partition, key):
                settled.append(end.sequence)
            continue
        partition.unknown_ends.pop(key, None)
        if key in kept_job.recorded_ends:
            if key in kept_job.unsettled:
                kept_job.unsettled[key] = view.node
            else:
                settled.append(end.sequence)
        elif (end.step, end.index, end.run) in kept_job.loaded.ends:
            # A former coordinator has written it.
            settled.append(end.sequence)
        elif _record_run_end(board, view, kept_job, end):
            kept_job.recorded_ends.add(key)
            kept_job.unsettled[key] = view.node
            _list_end(kept_job, end)
            board.kept.mark_dirty(kept_job)
        else:
            logs.info(
                "end_superseded",
                job=end.job,
                step=end.step,
                index=end.index,
                run=end.run,
                end=end.end,
                agent=view.node,
            )
            void.append(end.sequence)
    if settled or void or elsewhere:
        settle = SettleEnds(
            held.server, tuple(settled), tuple(void), tuple(sorted(elsewhere))
        )
        board.outbox.append((view.node, settle))


def _list_end(kept_job: KeptJob, end: HeldEnd) -> None:
    """Adds an end to those that the progress of its job lists."""
    if end.run:
        kept_job.ends[end.step, end.index, end.run] = None
    if len(kept_job.ends) > MAX_ENDS:
        del kept_job.ends[next(iter(kept_job.ends))]


def _is_not_kept(
    board: EntryBoard, partition: Partition, key: tuple[str, int]
) -> bool:
    """Whether the unknown job of an end is not kept, or has been dropped.

    The submission of a kept job is stored before its runs start. The former
    coordinator may have read it, and started the job, before this one does.
    """
    offered_s = partition.unknown_ends.setdefault(key, board.now_s)
    if partition.read_s <= offered_s:
        return False
    del partition.unknown_ends[key]
    return True


def _record_run_end(
    board: EntryBoard, view: AgentView, kept_job: KeptJob, end: HeldEnd
) -> bool:
    """Records the end of a run; returns whether it counts.

    It counts unless the task may have been restarted after that run, in which
    case the later run decides.
    """
    task = kept_job.job.tasks[end.step][end.index]
    if _is_superseded(board, kept_job, task, end):
        return False
    attempt = task.attempt or end.attempt
    report = RunReport(end.job, attempt, end.end, end.run_ms, 0)
    holder = board.agents.get(task.agent)
    if holder and holder.tasks.get(task.attempt) is task:
        del holder.tasks[task.attempt]
        shares.on_ended(board, task)
        jobs.on_run_ended(board, view, task, report)
        return True
    # This entry considered the run lost. Its end counts only if the task has
    # not been restarted since.
    if task.attempt and kept_job.is_open and task.state not in IDLE_STATES:
        return False
    if task.state is TaskState.DONE:
        return False
    if not kept_job.is_open and kept_job.state in FINAL_STATES:
        return True
    logs.info(
        "end_recovered", job=kept_job.id, step=task.step, index=task.index
    )
    board.waiting = [queued for queued in board.waiting if queued is not task]
    if end.end is RunEnd.DONE:
        jobs.record_done(board, task, report)
        return True
    task.run = max(task.run, end.run)
    jobs.record_failure(board, view, task, report)
    if kept_job.is_open and task.state is TaskState.WAITING:
        task.state = TaskState.RECORDING
        board.kept.record_run(task)
    return True


def _is_superseded(
    board: EntryBoard, kept_job: KeptJob, task: Task, end: HeldEnd
) -> bool:
    """Whether a task has or may have been started again after a run."""
    if end.run:
        return runnumbers.is_superseded(task, kept_job.loaded, end.run)
    if not task.attempt:
        return False
    return (end.entry, end.attempt) != (board.node, task.attempt)


def on_crash(board: EntryBoard, crash: ServerCrash) -> None:
    """Has the progress written of the jobs whose runs a crash has ended."""
    for job in {row.job for row in crash.rows}:
        kept_job = board.kept.find(job)
        if kept_job is not None and kept_job.state not in FINAL_STATES:
            board.kept.mark_dirty(kept_job)


def take_batch(board: EntryBoard, number: int) -> ProgressBatch | None:
    """Returns the next batch to be written for a partition; None when empty.

    The caller must have written the previous batch of the partition.
    """
    board.kept.dirty.discard(number)
    partition = board.kept.partitions.get(number)
    if partition is None:
        return None
    batch_jobs = []
    ends = 0
    while (
        partition.dirty
        and len(batch_jobs) < MAX_BATCH_JOBS
        and ends < MAX_BATCH_ENDS
    ):
        kept_job = partition.dirty.pop(next(iter(partition.dirty)))
        batch_jobs.append(kept_job)
        ends += len(kept_job.ends)
    if partition.dirty:
        board.kept.dirty.add(number)
    if not batch_jobs and not partition.dropped:
        return None
    progress: dict[str, Progress | None] = dict.fromkeys(partition.dropped)
    partition.dropped = set()
    settles: dict[tuple[str, str], list[int]] = {}
    for kept_job in batch_jobs:
        progress[kept_job.id] = _progress(board, kept_job)
        for (server, sequence), node in kept_job.unsettled.items():
            settles.setdefault((node, server), []).append(sequence)
    return ProgressBatch(
        number,
        partition.epoch,
        progress,
        {key: tuple(sequences) for key, sequences in settles.items()},
    )


def _progress(board: EntryBoard, kept_job: KeptJob) -> Progress:
    """Returns the progress of a job."""
    tasks = [task for step in kept_job.job.tasks for task in step]
    done: dict[int, set[int]] = {}
    for task in tasks:
        if task.state is TaskState.DONE:
            done.setdefault(task.step, set()).add(task.index)
    superseded_all, superseded = runnumbers.record(kept_job.job)
    return Progress(
        state=kept_job.state,
        done={step: frozenset(indices) for step, indices in done.items()},
        failures={(t.step, t.index): t.failures for t in tasks if t.failures},
        ended_unix_s=kept_job.ended_unix_s,
        crashes=_crashes(board, kept_job.job),
        superseded_all=superseded_all,
        superseded=superseded,
        ends=tuple(kept_job.ends),
        has_begun=kept_job.has_begun,
    )


def _crashes(
    board: EntryBoard, job: Job
) -> dict[tuple[int, int], tuple[str, ...]]:
    """Returns the certain crashes under each task of a job."""
    crashes = {}
    if not board.crashes.by_task:
        return crashes
    for tasks in job.tasks:
        for task in tasks:
            task_id = crashbook.TaskId(job.id, task.step, task.index)
            keys = board.crashes.certain_keys(task_id)
            if keys:
                crashes[task.step, task.index] = keys
    return crashes


def on_written(board: EntryBoard, batch: ProgressBatch) -> None:
    """Records that a batch is stored; acknowledges its ends to the agents."""
    partition = _find_partition(board, batch.partition, batch.epoch)
    for job, progress in batch.progress.items():
        kept_job = partition.jobs.get(job) if partition else None
        if kept_job is not None and progress is not None:
            kept_job.stored_state = progress.state
            _on_progress_stored(board, partition, kept_job, progress)
    for (node, server), sequences in batch.settles.items():
        board.outbox.append((node, SettleEnds(server, sequences, ())))
    if partition is not None:
        _remove_settled(partition, batch)


def _on_progress_stored(
    board: EntryBoard,
    partition: Partition,
    kept_job: KeptJob,
    progress: Progress,
) -> None:
    """Opens a job, or enqueues its tasks, that have waited for the store."""
    if not kept_job.is_open:
        is_begun = progress.superseded_all == kept_job.job.first_run - 1
        if partition.is_open and is_begun:
            _open(board, kept_job)
        return
    recording, kept_job.recording = kept_job.recording, []
    for task in recording:
        if task.state is not TaskState.RECORDING:
            continue
        if runnumbers.is_stored(task, progress):
            jobs.enqueue(board, task)
        else:
            kept_job.recording.append(task)


def _remove_settled(partition: Partition, batch: ProgressBatch) -> None:
    """Removes the ends acknowledged with a batch from its jobs."""
    settled = {
        (server, sequence)
        for (_, server), sequences in batch.settles.items()
        for sequence in sequences
    }
    for job in batch.progress:
        kept_job = partition.jobs.get(job)
        if kept_job is not None:
            for key in kept_job.unsettled.keys() & settled:
                del kept_job.unsettled[key]


def state(board: EntryBoard, job: str) -> tuple[bool, str]:
    """Returns whether this entry coordinates a job, and the job's state.

    The state is empty when there is no such job.
    """
    partition = board.kept.partitions.get(
        partition_of(job, board.kept.partition_count)
    )
    if partition is None or not partition.is_loaded:
        return False, ""
    kept_job = partition.jobs.get(job)
    if kept_job is None:
        return True, ""
    if kept_job.stored_state in FINAL_STATES:
        return True, kept_job.stored_state.value
    is_running = kept_job.state in FINAL_STATES or pendingcounts.has_started(
        kept_job
    )
    return True, (JobState.RUNNING if is_running else JobState.QUEUED).value


def pending(board: EntryBoard) -> tuple[PendingJobs, ...]:
    """Returns the number of kept jobs that have not begun, by route."""
    return pendingcounts.count(board, board.kept.partitions.values())
