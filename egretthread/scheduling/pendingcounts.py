"""Counts of waiting kept jobs while partitions change their coordinators.

A coordinator knows the jobs of a partition only once it has loaded them. Until
then the last count of its former coordinator stands.
"""

from collections.abc import Collection, Iterable

from egretthread.scheduling.entryboard import EntryBoard, Task, TaskState
from egretthread.scheduling.jobrecord import FINAL_STATES
from egretthread.scheduling.keptboard import (
    FormerCounts,
    KeptJob,
    Partition,
)
from egretthread.scheduling.runmessage import EntryHello, PendingJobs

# Maximum number of former counts that are kept.
MAX_FORMER = 500
# An agent that is heard of so long after an order has received the order.
ORDER_DELIVERY_S = 0.05


def has_started(kept_job: KeptJob) -> bool:
    """Whether a task of a job has or may have started."""
    return kept_job.job.may_have_started or any(
        task.state is TaskState.DONE
        for tasks in kept_job.job.tasks
        for task in tasks
    )


def _has_begun(board: EntryBoard, kept_job: KeptJob) -> bool:
    """Whether a run of a job is known to have started.

    An order to an agent that is stopped or lost may never be carried out.
    """
    if not kept_job.has_begun:
        kept_job.has_begun = any(
            task.state is TaskState.DONE
            or task.failures > 0
            or _is_received(board, task)
            for tasks in kept_job.job.tasks
            for task in tasks
        )
    return kept_job.has_begun


def _is_received(board: EntryBoard, task: Task) -> bool:
    """Whether a task is ordered at an agent that was heard of since."""
    view = board.agents.get(task.agent)
    received_s = task.job.last_dispatch_s + ORDER_DELIVERY_S
    return (
        task.state is TaskState.ORDERED
        and view is not None
        and view.last_received_s > received_s
    )


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
