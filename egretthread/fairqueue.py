"""A queue of one service's tasks that is fair between organisations.

Start-time fair queueing: each organisation with waiting tasks has a virtual
start tag that grows by 1 / weight per task taken, and the lowest tag is
served next. An organisation that was idle joins at the current virtual
time, so it neither saves up service nor waits behind another's backlog.
Within one organisation jobs leave by the time they came plus a patience per
task: a small job, whose ideal time is short, may overtake a large one that
came at most so much earlier, and no job waits behind later ones for ever.
"""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterable

from egretthread.jobkey import JobRef

# Patience of a job per task, in seconds. The ideal time of a job grows with
# its tasks, because it is that of the longest of them.
PATIENCE_S = 0.06


@dataclasses.dataclass
class WaitingJob:
    """The waiting tasks of one job.

    Attributes:
        since_s: When the job was queued.
        order_s: When it would have been queued without patience.
        indices: Its waiting task indices, next first.
    """

    since_s: float
    order_s: float
    indices: collections.deque[int]


@dataclasses.dataclass
class Lane:
    """One organisation's part of the queue.

    Attributes:
        weight: Its share of service relative to other organisations.
        tag: Virtual start tag of its next task.
        version: Counts the changes of `tag`, to spot outdated heap entries.
        waiting: How many of its tasks wait.
        jobs: Its waiting jobs.
        order: Heap of (order_s, number, job), with outdated entries.
    """

    weight: float
    tag: float = 0.0
    version: int = 0
    waiting: int = 0
    jobs: dict[JobRef, WaitingJob] = dataclasses.field(default_factory=dict)
    order: list[tuple[float, int, JobRef]] = dataclasses.field(
        default_factory=list
    )

    def add(self, job: JobRef, waiting: WaitingJob, number: int) -> None:
        """Puts a job in its place."""
        self.jobs[job] = waiting
        heapq.heappush(self.order, (waiting.order_s, number, job))

    def first(self) -> tuple[JobRef, WaitingJob]:
        """Returns the job whose tasks leave next; there must be one."""
        while True:
            order_s, _, job = self.order[0]
            waiting = self.jobs.get(job)
            if waiting is not None and waiting.order_s == order_s:
                return job, waiting
            heapq.heappop(self.order)


class FairQueue:
    """Waiting tasks of one service, by organisation and job.

    Attributes:
        lanes: The organisations that have or recently had waiting tasks.
        virtual_time: Tag of the task that was taken last.
        patience_s: Patience of a job per task.
    """

    def __init__(self, patience_s: float = PATIENCE_S):
        self.patience_s = patience_s
        self.lanes: dict[str, Lane] = {}
        self.virtual_time = 0.0
        self._heap: list[tuple[float, int, str]] = []
        self._count = 0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return self._count

    def push(
        self,
        organisation: str,
        weight: float,
        job: JobRef,
        indices: Iterable[int],
        now_s: float,
    ) -> None:
        """Queues tasks of a job in its place among the organisation's.

        Args:
            organisation: Whose share of service the tasks use.
            weight: The organisation's weight from now on, above 0.
            job: The job; when it waits already, the tasks join it.
            indices: Indices of the tasks.
            now_s: The current time, from which the job's wait counts.
        """
        lane = self._lane(organisation, weight)
        was_waiting = lane.waiting > 0
        joining = collections.deque(indices)
        if job in lane.jobs:
            lane.jobs[job].indices.extend(joining)
        elif joining:
            order_s = now_s + self.patience_s * len(joining)
            waiting = WaitingJob(now_s, order_s, joining.copy())
            lane.add(job, waiting, next(self._numbers))
        self._added(lane, len(joining))
        if not was_waiting:
            self._schedule(organisation, lane)

    def requeue(
        self,
        organisation: str,
        weight: float,
        job: JobRef,
        indices: Iterable[int],
        since_s: float,
    ) -> None:
        """Returns tasks to the front and refunds the organisation's share.

        They go before the rest of their job if that waits, and else to the
        place of a job without patience.

        Args:
            organisation: Whose share of service the tasks use.
            weight: The organisation's weight from now on, above 0.
            job: The job they belong to.
            indices: Indices of the tasks, next first.
            since_s: When the job was first queued.
        """
        returned = collections.deque(indices)
        if not returned:
            return
        lane = self._lane(organisation, weight)
        if job in lane.jobs:
            lane.jobs[job].indices.extendleft(reversed(returned))
        else:
            waiting = WaitingJob(since_s, since_s, returned.copy())
            lane.add(job, waiting, next(self._numbers))
        lane.tag -= len(returned) / lane.weight
        self._added(lane, len(returned))
        self._schedule(organisation, lane)

    def pop(self) -> tuple[JobRef, int] | None:
        """Takes the next task; None when nothing waits."""
        lane = self._next_lane()
        if lane is None:
            return None
        tag, _, organisation = heapq.heappop(self._heap)
        job, waiting = lane.first()
        index = waiting.indices.popleft()
        self.virtual_time = max(self.virtual_time, tag)
        lane.tag += 1.0 / lane.weight
        if not waiting.indices:
            del lane.jobs[job]
        self._taken(lane, 1)
        self._schedule(organisation, lane)
        return job, index

    def remove(self, job: JobRef) -> list[int]:
        """Takes a whole job out and returns the indices that waited."""
        lane = self.lanes.get(job.organisation)
        if lane is None or job not in lane.jobs:
            return []
        indices = list(lane.jobs.pop(job).indices)
        self._taken(lane, len(indices))
        return indices

    def waiting(self, job: JobRef) -> int:
        """Returns how many tasks of a job wait."""
        lane = self.lanes.get(job.organisation)
        if lane is None or job not in lane.jobs:
            return 0
        return len(lane.jobs[job].indices)

    def counts(self) -> dict[str, int]:
        """Returns how many tasks wait by organisation."""
        return {
            name: lane.waiting
            for name, lane in self.lanes.items()
            if lane.waiting
        }

    def waiting_weight(self) -> float:
        """Returns the weights of all organisations with waiting tasks."""
        return sum(lane.weight for lane in self.lanes.values() if lane.waiting)

    def waiting_of(self, organisation: str) -> int:
        """Returns how many tasks of an organisation wait."""
        lane = self.lanes.get(organisation)
        return lane.waiting if lane else 0

    def oldest_wait_s(self, now_s: float) -> float:
        """Returns how long the next tasks have waited at most; 0 for none."""
        since_s = [w.since_s for w in self._first_jobs()]
        return now_s - min(since_s, default=now_s)

    def urgency_s(self, now_s: float) -> float:
        """Returns by how much the most urgent job is past its patience.

        Entries compete for freed slots by this; it is negative while every
        waiting job is within its patience, and 0 when nothing waits.
        """
        order_s = [w.order_s for w in self._first_jobs()]
        return now_s - min(order_s, default=now_s)

    def _first_jobs(self) -> list[WaitingJob]:
        lanes = [lane for lane in self.lanes.values() if lane.waiting]
        return [lane.first()[1] for lane in lanes]

    def _lane(self, organisation: str, weight: float) -> Lane:
        lane = self.lanes.setdefault(organisation, Lane(weight))
        lane.weight = weight
        if not lane.waiting:
            lane.tag = max(lane.tag, self.virtual_time)
        return lane

    def _added(self, lane: Lane, count: int) -> None:
        lane.waiting += count
        self._count += count

    def _taken(self, lane: Lane, count: int) -> None:
        lane.waiting -= count
        self._count -= count
        if not self._count:
            self.lanes.clear()
            self._heap.clear()
            self.virtual_time = 0.0

    def _schedule(self, organisation: str, lane: Lane) -> None:
        lane.version += 1
        if lane.waiting:
            entry = (lane.tag, lane.version, organisation)
            heapq.heappush(self._heap, entry)

    def _next_lane(self) -> Lane | None:
        while self._heap:
            _, version, organisation = self._heap[0]
            lane = self.lanes.get(organisation)
            if lane and lane.waiting and lane.version == version:
                return lane
            heapq.heappop(self._heap)
        return None
