"""Entry controller: admission control of jobs under load.

A job is refused early if it would likely miss its deadline, or if the queue
is full and its organisation exceeds its share of it. Only an entry whose
queue is not empty refuses jobs, so that a wrong estimate cannot make it
refuse all work.
"""

import dataclasses

from egretthread import runtimes
from egretthread.blackboard import Capacity, EntryBoard
from egretthread.config import Service
from egretthread.controllers import dispatch, pool
from egretthread.fairqueue import FairQueue
from egretthread.jobstate import JobState
from egretthread.submission import Refusal, Submission

# With fewer run times than this, the end of a job cannot be estimated, and no
# job is refused because of its deadline.
MIN_RUN_TIMES = 20
# The slots of a service are counted again after this time.
RECOUNT_S = 0.5
# Bounds of the retry time that a refused caller gets.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
# A key older than this may have been submitted before.
NEW_KEY_S = 0.5


@dataclasses.dataclass(frozen=True)
class QueueShare:
    """An organisation's share of a queue.

    Attributes:
        waiting: Number of its queued tasks.
        slot_share: Share of the slots that it gets while all organisations
            in the queue wait, 0 to 1.
    """

    waiting: int
    slot_share: float


def record_run_time(board: EntryBoard, service: str, run_s: float) -> None:
    """Records how long a task held its slot."""
    times = board.run_times.setdefault(service, runtimes.RunTimes())
    times.add(run_s)


def check(board: EntryBoard, submission: Submission) -> Refusal | None:
    """Returns why a job is refused under the current load, or None."""
    queue = dispatch.queue_for(board, submission.service)
    if not len(queue):
        return None
    limits = board.configuration.service(submission.service)
    share = _share(board, queue, submission.job.organisation)
    return _check_queue_limit(
        board, submission, limits, queue, share
    ) or _check_deadline(board, submission, queue, share)


def is_new_key(board: EntryBoard, submission: Submission) -> bool:
    """Whether a job key is too new to have been submitted before."""
    age_s = board.unix_s - submission.job.issued_s
    return age_s <= NEW_KEY_S + board.configuration.clock_error_s


def recheck(board: EntryBoard, state: JobState) -> Refusal | None:
    """Checks a job again after the witnesses turned out not to know it."""
    refusal = check(board, state.submission)
    if refusal is not None:
        board.quotas.refund(state.job.organisation, len(state.submission.tasks))
    return refusal


def _share(
    board: EntryBoard, queue: FairQueue, organisation: str
) -> QueueShare:
    """Returns an organisation's share of a queue in which it waits."""
    waiting = queue.waiting_of(organisation)
    own = dispatch.weight(board, organisation)
    total = queue.waiting_weight()
    if not waiting:
        total += own
    return QueueShare(waiting, min(1.0, own / total))


def _check_queue_limit(
    board: EntryBoard,
    submission: Submission,
    limits: Service,
    queue: FairQueue,
    share: QueueShare,
) -> Refusal | None:
    """Refuses an organisation that exceeds its share of a full queue."""
    tasks = len(submission.tasks)
    bound = limits.max_queued_tasks
    if len(queue) + tasks <= bound:
        return None
    excess = share.waiting + tasks - bound * share.slot_share
    if not share.waiting or excess <= 0:
        return None
    wait_s = _drain_time_s(board, submission.service, excess, share)
    return _overloaded("too many tasks of your organisation are queued", wait_s)


def _check_deadline(
    board: EntryBoard,
    submission: Submission,
    queue: FairQueue,
    share: QueueShare,
) -> Refusal | None:
    times = board.run_times.get(submission.service)
    slots = _usable_slots(board, submission.service)
    if times is None or times.count < MIN_RUN_TIMES or slots <= 0:
        return None
    tasks = len(submission.tasks)
    # Tasks of the other organisations are served in between, so the job
    # waits for this many tasks of all organisations.
    turns = (share.waiting + tasks) / share.slot_share - tasks
    ahead = min(len(queue), round(turns))
    backlog = runtimes.Backlog(ahead, slots)
    deadline_s = submission.deadline_s
    if runtimes.may_meet_deadline(tasks, deadline_s, backlog, times):
        return None
    late_s = runtimes.expected_end_s(tasks, backlog, times) - deadline_s
    drained_s = runtimes.expected_wait_s(ahead, slots, times.mean_s)
    return _overloaded(
        "it would likely miss its deadline", min(late_s, drained_s)
    )


def _usable_slots(board: EntryBoard, service: str) -> int:
    """Returns this entry's share of the slots of a service."""
    capacity = board.capacities.get(service)
    if capacity is None or board.now_s - capacity.counted_s >= RECOUNT_S:
        slots = sum(a.heartbeat.slots for a in pool.eligible(board, service))
        capacity = Capacity(slots, board.now_s)
        board.capacities[service] = capacity
    if not capacity.slots:
        return 0
    return max(1, round(capacity.slots * board.slot_share))


def _drain_time_s(
    board: EntryBoard, service: str, tasks: float, share: QueueShare
) -> float:
    """Returns how long the queue takes to serve an organisation's tasks."""
    times = board.run_times.get(service) or runtimes.RunTimes()
    slots = _usable_slots(board, service)
    return runtimes.expected_wait_s(
        round(tasks / share.slot_share), slots, times.mean_s
    )


def _overloaded(cause: str, wait_s: float) -> Refusal:
    return Refusal(
        "overloaded",
        f"the entry is overloaded and refused the job: {cause}",
        "submit again with the same key after the stated time",
        retry_after_s=min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)),
    )
