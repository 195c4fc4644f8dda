"""Counts of waiting kept jobs while partitions change their coordinators.

A coordinator knows the jobs of a partition only once it has loaded them. Until
then the last count of its former coordinator stands.
"""

from collections.abc import Collection, Iterable

from egretthread.scheduling.entryboard import (
    IDLE_STATES,
    EntryBoard,
    Task,
    TaskState,
)
from egretthread.scheduling.jobrecord import FINAL_STATES
from egretthread.scheduling.keptboard import (
    FormerCounts,
    KeptJob,
    Partition,
)
from egretthread.scheduling.runmessage import (
    UNKNOWN_RUN_MS,
    EntryHello,
    PendingJobs,
)

# Maximum number of former counts that are kept.
MAX_FORMER = 500
# Time in which an agent receives an order, or reports that a run is refused
# because it could not start in time.
DELIVERY_S = 0.1


def has_started(kept_job: KeptJob) -> bool:
    """Whether a task of a job has or may have started."""
    return kept_job.job.may_have_started or any(
        task.state is TaskState.DONE
        for tasks in kept_job.job.tasks
        for task in tasks
    )


def _has_begun(board: EntryBoard, kept_job: KeptJob) -> bool:
    """Whether a run of a job is known to have started.

    An order to an agent that is stopped or lost may never be carried out, and
    one to an agent whose backend server is full may be refused.
    """
    if not kept_job.has_begun:
        kept_job.has_begun = any(
            task.state is TaskState.DONE or task.failures > 0
            for tasks in kept_job.job.tasks
            for task in tasks
        )
    return kept_job.has_begun or any(
        task.state not in IDLE_STATES and _has_started(board, task)
        for tasks in kept_job.job.tasks
        for task in tasks
    )


def _has_started(board: EntryBoard, task: Task) -> bool:
    """Whether an agent would have refused the last run of a task by now."""
    view = board.agents.get(task.agent)
    return (
        view is not None and view.last_received_s > task.start_by_s + DELIVERY_S
    )


def on_run_lost(board: EntryBoard, task: Task, run_ms: int) -> None:
    """Records that the job of a stopped or lost run has begun, if it has.

    Args:
        board: The blackboard.
        task: The task.
        run_ms: How long it has run by the report of its agent, 0 if it is not
            known to have started, or UNKNOWN_RUN_MS without a report.
    """
    kept_job = board.kept.find(task.job.id)
    is_unknown = run_ms == UNKNOWN_RUN_MS
    has_begun = run_ms > 0 or (is_unknown and _has_started(board, task))
    if kept_job is not None and has_begun:
        kept_job.has_begun = True


def count(
    board: EntryBoard, partitions: Iterable[Partition]
) -> tuple[PendingJobs, ...]:
    """Returns the number of jobs that have not begun, by route."""
    counts: dict[str, int] = {}
    for partition in partitions:
        for kept_job in partition.jobs.values():
            if kept_job.state in FINAL_STATES or _has_begun(board, kept_job):
                continue
            name = kept_job.submission.route.name
            counts[name] = counts.get(name, 0) + 1
    return tuple(PendingJobs(*count) for count in sorted(counts.items()))


def loaded_parts(board: EntryBoard) -> tuple[int, ...]:
    """Returns the partitions whose jobs this entry knows."""
    return tuple(
        number
        for number, partition in board.kept.partitions.items()
        if partition.is_loaded
    )


def on_released(board: EntryBoard, partition: Partition) -> None:
    """Keeps the counts of a partition that this entry releases."""
    if partition.is_loaded:
        pending = count(board, (partition,))
        _keep(board, frozenset({partition.number}), pending)


def on_hello(board: EntryBoard, before: EntryHello, after: EntryHello) -> None:
    """Keeps the counts of partitions that another entry has released.

    Args:
        board: The blackboard.
        before: The previous hello from the same address.
        after: The new one.
    """
    lost = frozenset(before.parts) - frozenset(after.parts)
    left = {each.route: each.jobs for each in after.pending}
    if set(after.parts) - set(before.parts):
        # It counts jobs of other partitions as well now.
        left = {}
    pending = tuple(
        PendingJobs(each.route, each.jobs - left.get(each.route, 0))
        for each in before.pending
        if each.jobs > left.get(each.route, 0)
    )
    _keep(board, lost, pending)


def _keep(
    board: EntryBoard,
    parts: frozenset[int],
    pending: tuple[PendingJobs, ...],
) -> None:
    if parts and pending:
        board.kept.former_counts.append(FormerCounts(parts, pending))
        del board.kept.former_counts[:-MAX_FORMER]


def drop_outdated(board: EntryBoard, hellos: Collection[EntryHello]) -> None:
    """Drops the former counts of partitions that are loaded again.

    Args:
        board: The blackboard.
        hellos: Recent hellos of the other entries.
    """
    loaded = set(loaded_parts(board))
    loaded.update(*(hello.parts for hello in hellos))
    board.kept.former_counts = [
        former
        for former in board.kept.former_counts
        if not former.parts <= loaded
    ]


def total(board: EntryBoard, route: str, hellos: Collection[EntryHello]) -> int:
    """Returns the number of jobs of a route that wait at any entry.

    It may be too high for a short time, as the former count of several
    partitions stands until all of them are loaded again.

    Args:
        board: The blackboard.
        route: The route.
        hellos: Recent hellos of the other entries.
    """
    drop_outdated(board, hellos)
    counts = [count(board, board.kept.partitions.values())]
    counts += (hello.pending for hello in hellos)
    counts += (former.pending for former in board.kept.former_counts)
    return sum(
        each.jobs
        for pending in counts
        for each in pending
        if each.route == route
    )
