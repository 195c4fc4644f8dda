"""Jobs that outlive the processes that run them.

Submissions and cancellations stand in the store's job log, which has
partitions. The store assigns each partition to one entry, its coordinator,
for a limited time. The coordinator reads the log, hands out the tasks, and
writes each job's progress before the backend server that ran a task may
forget how it ended. A new coordinator waits until all runs ordered by earlier
ones are over, and learns from agents how they ended.
"""

from collections.abc import Iterable

from egretthread import logs
from egretthread.scheduling import jobs, leaserule
from egretthread.scheduling.entryboard import (
    AgentView,
    Answer,
    EntryBoard,
    Job,
    Outcome,
    TaskState,
)
from egretthread.scheduling.jobrecord import (
    FINAL_STATES,
    JobState,
    Progress,
    Submission,
    partition_of,
)
from egretthread.scheduling.keptboard import KeptJob, Partition, ProgressBatch
from egretthread.scheduling.runmessage import (
    HeldEnd,
    HeldEnds,
    PendingJobs,
    RunEnd,
    RunReport,
    SettleEnds,
)

# Time for which callers may ask for a job that has ended; the operators'
# `status_s` is 120 s.
STATUS_S = 150.0
# Jobs in one batch of progress; a record is some hundred bytes, and the store
# takes 2 MB at once.
MAX_BATCH_JOBS = 1000
# Time between two looks for jobs that ended longer ago, in seconds.
SWEEP_S = 1.0

# Who coordinates.


def on_assigned(
    board: EntryBoard, generation: int, numbers: Iterable[int], until_s: float
) -> None:
    """Takes in which partitions this entry coordinates, and until when.

    Args:
        board: The blackboard.
        generation: The group's generation.
        numbers: The partitions.
        until_s: When the store may assign them to others.
    """
    kept = board.kept
    numbers = set(numbers)
    expire(board)
    kept.until_s = until_s
    kept.is_member = True
    for number in tuple(kept.partitions):
        if number not in numbers:
            release(board, number, "assigned elsewhere")
    for number in sorted(numbers - kept.partitions.keys()):
        ready_s = leaserule.fence_s(board.now_s, ordered=True)
        kept.partitions[number] = Partition(number, generation, ready_s)
        logs.info("part_assigned", part=number, generation=generation)


def expire(board: EntryBoard) -> None:
    """Gives up all partitions once the store may have assigned them anew."""
    if board.kept.partitions and board.now_s >= board.kept.until_s:
        for number in tuple(board.kept.partitions):
            release(board, number, "not renewed in time")


def release(board: EntryBoard, number: int, why: str) -> None:
    """Stops the jobs of a partition here; another entry goes on with them."""
    part = board.kept.partitions.pop(number, None)
    if part is None:
        return
    opened = [kept for kept in part.jobs.values() if kept.is_open]
    logs.info("part_released", part=number, why=why, jobs=len(opened))
    for kept in opened:
        jobs.drop(board, kept.job)


def on_loaded(
    board: EntryBoard,
    number: int,
    generation: int,
    submissions: Iterable[Submission],
    progress: dict[str, Progress],
) -> None:
    """Takes in the jobs of a partition newly assigned."""
    part = _part(board, number, generation)
    if part is None:
        return
    part.is_loaded = True
    for submission in submissions:
        if submission.spec.job in part.jobs:
            continue
        _add(board, part, submission, progress.get(submission.spec.job))
    logs.info(
        "part_loaded",
        part=number,
        generation=generation,
        jobs=len(part.jobs),
        open=sum(k.state not in FINAL_STATES for k in part.jobs.values()),
    )


def on_submitted(
    board: EntryBoard, number: int, generation: int, submission: Submission
) -> None:
    """Takes in a submission read from the log."""
    part = _part(board, number, generation)
    if part is not None and submission.spec.job not in part.jobs:
        _add(board, part, submission, None)


def on_cancelled(
    board: EntryBoard, number: int, generation: int, job: str
) -> None:
    """Takes in a cancellation read from the log."""
    part = _part(board, number, generation)
    kept = part.jobs.get(job) if part else None
    if kept is None or kept.state in FINAL_STATES:
        return
    answer = Answer(job, Outcome.CANCELLED, "cancelled by its caller")
    jobs.close(board, kept.job, answer)


def _part(board: EntryBoard, number: int, generation: int) -> Partition | None:
    """Returns a partition, unless it was assigned anew since then."""
    part = board.kept.partitions.get(number)
    if part is None or part.generation != generation:
        return None
    return part


def _add(
    board: EntryBoard,
    part: Partition,
    submission: Submission,
    progress: Progress | None,
) -> None:
    job = jobs.new_job(board, submission.spec, submission.route)
    kept = KeptJob(part.number, submission, job)
    part.jobs[kept.id] = kept
    if progress is not None:
        kept.state = kept.written = progress.state
        kept.ended_unix_s = progress.ended_unix_s
        _restore(job, progress)
    if part.is_open:
        _open(board, kept)


def _restore(job: Job, progress: Progress) -> None:
    for step, indices in progress.done.items():
        for index in indices:
            job.tasks[step][index].state = TaskState.DONE
    for (step, index), count in progress.failures.items():
        job.tasks[step][index].failures = count


def _open_if_ready(board: EntryBoard, part: Partition) -> None:
    """Lets a partition's tasks be handed out once earlier runs are over."""
    if board.now_s >= part.ready_s:
        part.is_open = True
        for kept in tuple(part.jobs.values()):
            _open(board, kept)


def _open(board: EntryBoard, kept: KeptJob) -> None:
    """Lets a job's tasks be handed out."""
    if kept.state not in FINAL_STATES:
        kept.is_open = True
        jobs.open_job(board, kept.job)


def on_tick(board: EntryBoard) -> None:
    """Does what is due by time."""
    expire(board)
    for part in board.kept.partitions.values():
        if part.is_loaded and not part.is_open:
            _open_if_ready(board, part)
    if board.now_s - board.kept.last_sweep_s >= SWEEP_S:
        board.kept.last_sweep_s = board.now_s
        _sweep(board)


def _sweep(board: EntryBoard) -> None:
    """Drops the records of jobs that ended long ago."""
    oldest_unix_s = board.unix_s - STATUS_S
    for part in board.kept.partitions.values():
        for kept in tuple(part.jobs.values()):
            ended = kept.written in FINAL_STATES and not kept.unsettled
            if ended and kept.ended_unix_s < oldest_unix_s:
                del part.jobs[kept.id]
                part.dropped.add(kept.id)
                board.kept.dirty.add(part.number)


# How tasks end.


def on_held_ends(board: EntryBoard, view: AgentView, item: HeldEnds) -> None:
    """Takes in ends that an agent holds, as far as they are known here."""
    taken = []
    void = []
    for row in item.rows:
        part = board.kept.partitions.get(
            partition_of(row.job, board.kept.partition_count)
        )
        if part is None or not part.is_loaded:
            # Another entry coordinates the job, or will do so soon.
            continue
        kept = part.jobs.get(row.job)
        if kept is None:
            # Not a kept job, or one that nobody asks for any more.
            taken.append(row.sequence)
            continue
        key = (item.server, row.sequence)
        if key in kept.taken:
            if key in kept.unsettled:
                kept.unsettled[key] = view.node
            else:
                taken.append(row.sequence)
        elif _take_end(board, view, kept, row):
            kept.taken.add(key)
            kept.unsettled[key] = view.node
            board.kept.mark(kept)
        else:
            void.append(row.sequence)
    if taken or void:
        item = SettleEnds(item.server, tuple(taken), tuple(void))
        board.outbox.append((view.node, item))


def _take_end(
    board: EntryBoard, view: AgentView, kept: KeptJob, row: HeldEnd
) -> bool:
    """Takes in one end; returns whether it counts.

    It does unless the task may have been started again since that run: then
    the later run decides.
    """
    task = kept.job.tasks[row.step][row.index]
    report = RunReport(row.job, row.attempt, row.end, row.run_ms, 0)
    if task.attempt:
        if (row.entry, row.attempt) != (board.node, task.attempt):
            return False
        if view.tasks.pop(row.attempt, None) is task:
            jobs.on_run_ended(board, view, task, report)
            return True
        # It was given up here, and waits to be started again.
        if kept.is_open and task.state is not TaskState.WAITING:
            return False
    if task.state is TaskState.DONE:
        return False
    if not kept.is_open and kept.state in FINAL_STATES:
        return True
    logs.info("end_recovered", job=kept.id, step=task.step, index=task.index)
    if row.end is RunEnd.FAILED:
        jobs.record_failure(board, view, task, report)
        return True
    board.waiting = [other for other in board.waiting if other is not task]
    jobs.record_done(board, task, report)
    return True


# What is written.


def take_batch(board: EntryBoard, number: int) -> ProgressBatch | None:
    """Returns what has to be written for a partition; None when nothing.

    One batch at a time: the next is taken once this one is written.
    """
    board.kept.dirty.discard(number)
    part = board.kept.partitions.get(number)
    if part is None:
        return None
    dirty = [part.dirty.pop(job) for job in tuple(part.dirty)[:MAX_BATCH_JOBS]]
    if part.dirty:
        board.kept.dirty.add(number)
    if not dirty and not part.dropped:
        return None
    progress: dict[str, Progress | None] = dict.fromkeys(part.dropped)
    part.dropped = set()
    settles: dict[tuple[str, str], list[int]] = {}
    for kept in dirty:
        progress[kept.id] = _progress(kept)
        for (server, sequence), node in kept.unsettled.items():
            settles.setdefault((node, server), []).append(sequence)
    return ProgressBatch(
        number,
        part.generation,
        progress,
        {key: tuple(rows) for key, rows in settles.items()},
    )


def _progress(kept: KeptJob) -> Progress:
    tasks = [task for step in kept.job.tasks for task in step]
    done: dict[int, set[int]] = {}
    for task in tasks:
        if task.state is TaskState.DONE:
            done.setdefault(task.step, set()).add(task.index)
    return Progress(
        kept.state,
        {step: frozenset(indices) for step, indices in done.items()},
        {(t.step, t.index): t.failures for t in tasks if t.failures},
        kept.ended_unix_s,
    )


def on_written(board: EntryBoard, batch: ProgressBatch) -> None:
    """Notes that a batch is on the store: agents may forget its ends."""
    part = _part(board, batch.partition, batch.generation)
    for job, progress in batch.progress.items():
        kept = part.jobs.get(job) if part else None
        if kept is not None and progress is not None:
            kept.written = progress.state
    for (node, server), numbers in batch.settles.items():
        board.outbox.append((node, SettleEnds(server, numbers, ())))
    if part is not None:
        _forget_settled(part, batch)


def _forget_settled(part: Partition, batch: ProgressBatch) -> None:
    settled = {
        (server, number)
        for (_, server), numbers in batch.settles.items()
        for number in numbers
    }
    for job in batch.progress:
        kept = part.jobs.get(job)
        if kept is not None:
            for key in kept.unsettled.keys() & settled:
                del kept.unsettled[key]


# What callers are told.


def state(board: EntryBoard, job: str) -> tuple[bool, str]:
    """Returns whether this entry coordinates a job, and its state.

    The state is empty when there is no such job.
    """
    part = board.kept.partitions.get(
        partition_of(job, board.kept.partition_count)
    )
    if part is None or not part.is_loaded:
        return False, ""
    kept = part.jobs.get(job)
    if kept is None:
        return True, ""
    if kept.written in FINAL_STATES:
        return True, kept.written.value
    started = kept.state in FINAL_STATES or _has_started(kept)
    return True, (JobState.RUNNING if started else JobState.QUEUED).value


def _has_started(kept: KeptJob) -> bool:
    return kept.job.may_have_started or any(
        task.state is TaskState.DONE
        for tasks in kept.job.tasks
        for task in tasks
    )


def pending(board: EntryBoard) -> tuple[PendingJobs, ...]:
    """Returns how many jobs wait here, by route."""
    counts: dict[str, int] = {}
    for part in board.kept.partitions.values():
        for kept in part.jobs.values():
            if kept.state in FINAL_STATES or _has_started(kept):
                continue
            name = kept.submission.route.name
            counts[name] = counts.get(name, 0) + 1
    return tuple(PendingJobs(*row) for row in sorted(counts.items()))
