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
WAIT_ALLOWANCE_S = 0.06


@dataclasses.dataclass
class WaitingJob:
    """The waiting tasks of one job.

    Attributes:
        since_s: When the job was queued.
        due_s: When it would have been queued without patience.
        indices: Its waiting task indices, next first.
    """

    since_s: float
    due_s: float
    indices: collections.deque[int]


@dataclasses.dataclass
class Flow:
    """One organisation's part of the queue.

    Attributes:
        weight: Its share of service relative to other organisations.
        start_tag: Virtual start tag of its next task.
        version: Counts the changes of `tag`, to spot outdated heap entries.
        waiting: How many of its tasks wait.
        jobs: Its waiting jobs.
        order: Heap of (due_s, number, job), with outdated entries.
    """

    weight: float
    start_tag: float = 0.0
    version: int = 0
    waiting: int = 0
    jobs: dict[JobRef, WaitingJob] = dataclasses.field(default_factory=dict)
    order: list[tuple[float, int, JobRef]] = dataclasses.field(
        default_factory=list
    )

    def add(self, job: JobRef, waiting: WaitingJob, number: int) -> None:
        """Puts a job in its place."""
        self.jobs[job] = waiting
        heapq.heappush(self.order, (waiting.due_s, number, job))

    def first_job(self) -> tuple[JobRef, WaitingJob]:
        """Returns the job whose tasks leave next; there must be one."""
        while True:
            due_s, _, job = self.order[0]
            waiting = self.jobs.get(job)
            if waiting is not None and waiting.due_s == due_s:
                return job, waiting
            heapq.heappop(self.order)


class FairQueue:
    """Waiting tasks of one service, by organisation and job.

    Attributes:
        flows: The organisations that have or recently had waiting tasks.
        virtual_time: Tag of the task that was taken last.
        wait_allowance_s: Patience of a job per task.
    """

    def __init__(self, wait_allowance_s: float = WAIT_ALLOWANCE_S):
        self.wait_allowance_s = wait_allowance_s
        self.flows: dict[str, Flow] = {}
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
        flow = self._flow(organisation, weight)
        was_waiting = flow.waiting > 0
        joining = collections.deque(indices)
        if job in flow.jobs:
            flow.jobs[job].indices.extend(joining)
        elif joining:
            due_s = now_s + self.wait_allowance_s * len(joining)
            waiting = WaitingJob(now_s, due_s, joining.copy())
            flow.add(job, waiting, next(self._numbers))
        self._count_added(flow, len(joining))
        if not was_waiting:
            self._schedule(organisation, flow)

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
        flow = self._flow(organisation, weight)
        if job in flow.jobs:
            flow.jobs[job].indices.extendleft(reversed(returned))
        else:
            waiting = WaitingJob(since_s, since_s, returned.copy())
            flow.add(job, waiting, next(self._numbers))
        flow.start_tag -= len(returned) / flow.weight
        self._count_added(flow, len(returned))
        self._schedule(organisation, flow)

    def pop(self) -> tuple[JobRef, int] | None:
        """Takes the next task; None when nothing waits."""
        flow = self._next_flow()
        if flow is None:
            return None
        tag, _, organisation = heapq.heappop(self._heap)
        job, waiting = flow.first_job()
        index = waiting.indices.popleft()
        self.virtual_time = max(self.virtual_time, tag)
        flow.start_tag += 1.0 / flow.weight
        if not waiting.indices:
            del flow.jobs[job]
        self._count_removed(flow, 1)
        self._schedule(organisation, flow)
        return job, index

    def remove(self, job: JobRef) -> list[int]:
        """Takes a whole job out and returns the indices that waited."""
        flow = self.flows.get(job.organisation)
        if flow is None or job not in flow.jobs:
            return []
        indices = list(flow.jobs.pop(job).indices)
        self._count_removed(flow, len(indices))
        return indices

    def waiting(self, job: JobRef) -> int:
        """Returns how many tasks of a job wait."""
        flow = self.flows.get(job.organisation)
        if flow is None or job not in flow.jobs:
            return 0
        return len(flow.jobs[job].indices)

    def counts(self) -> dict[str, int]:
        """Returns how many tasks wait by organisation."""
        return {
            name: flow.waiting
            for name, flow in self.flows.items()
            if flow.waiting
        }

    def waiting_weight(self) -> float:
        """Returns the weights of all organisations with waiting tasks."""
        return sum(flow.weight for flow in self.flows.values() if flow.waiting)

    def waiting_of(self, organisation: str) -> int:
        """Returns how many tasks of an organisation wait."""
        flow = self.flows.get(organisation)
        return flow.waiting if flow else 0

    def oldest_wait_s(self, now_s: float) -> float:
        """Returns how long the next tasks have waited at most; 0 for none."""
        since_s = [w.since_s for w in self._first_jobs()]
        return now_s - min(since_s, default=now_s)

    def urgency_s(self, now_s: float) -> float:
        """Returns by how much the most urgent job is past its patience.

        Entries compete for freed slots by this; it is negative while every
        waiting job is within its patience, and 0 when nothing waits.
        """
        due_s = [w.due_s for w in self._first_jobs()]
        return now_s - min(due_s, default=now_s)

    def _first_jobs(self) -> list[WaitingJob]:
        flows = [flow for flow in self.flows.values() if flow.waiting]
        return [flow.first_job()[1] for flow in flows]

    def _flow(self, organisation: str, weight: float) -> Flow:
        flow = self.flows.setdefault(organisation, Flow(weight))
        flow.weight = weight
        if not flow.waiting:
            flow.start_tag = max(flow.start_tag, self.virtual_time)
        return flow

    def _count_added(self, flow: Flow, count: int) -> None:
        flow.waiting += count
        self._count += count

    def _count_removed(self, flow: Flow, count: int) -> None:
        flow.waiting -= count
        self._count -= count
        if not self._count:
            self.flows.clear()
            self._heap.clear()
            self.virtual_time = 0.0

    def _schedule(self, organisation: str, flow: Flow) -> None:
        flow.version += 1
        if flow.waiting:
            entry = (flow.start_tag, flow.version, organisation)
            heapq.heappush(self._heap, entry)

    def _next_flow(self) -> Flow | None:
        while self._heap:
            _, version, organisation = self._heap[0]
            flow = self.flows.get(organisation)
            if flow and flow.waiting and flow.version == version:
                return flow
            heapq.heappop(self._heap)
        return None
