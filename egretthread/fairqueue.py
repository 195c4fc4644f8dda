"""A queue of one service's tasks that is fair between organisations.

It implements start-time fair queueing. Each organisation with queued tasks is
a flow whose virtual start tag grows by 1 / weight per task served, and the
flow with the lowest tag is served next. An idle organisation rejoins at the
current virtual time, so it neither accumulates service credit nor waits
behind the backlog of another one.

Within a flow, jobs are served by due time: their arrival time plus a wait
allowance per task. A small job, whose ideal response time is short, may
overtake a large one that arrived earlier by at most the difference of their
allowances, so no job is overtaken by later jobs without end.
"""

import collections
import dataclasses
import heapq
import itertools
from collections.abc import Iterable

from egretthread.jobkey import JobRef

# Wait allowance of a job per task, in seconds. It grows with the number of
# tasks because so does a job's ideal response time, which is the run time of
# its longest task.
WAIT_ALLOWANCE_S = 0.06


@dataclasses.dataclass
class WaitingJob:
    """The queued tasks of one job.

    Attributes:
        since_s: When the job was queued.
        due_s: When its wait allowance is used up.
        indices: Its queued task indices, next first.
    """

    since_s: float
    due_s: float
    indices: collections.deque[int]


@dataclasses.dataclass
class Flow:
    """The queued tasks of one organisation.

    Attributes:
        weight: Its share of service relative to other organisations.
        start_tag: Virtual start tag of its next task.
        version: Number of times it was scheduled, which identifies outdated
            items of the queue's heap.
        waiting: Number of its queued tasks.
        jobs: Its jobs with queued tasks.
        order: Heap of (due_s, number, job), which may hold outdated items.
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
        """Adds a job in the order of its due time."""
        self.jobs[job] = waiting
        heapq.heappush(self.order, (waiting.due_s, number, job))

    def first_job(self) -> tuple[JobRef, WaitingJob]:
        """Returns the job to serve next; the flow must not be empty."""
        while True:
            due_s, _, job = self.order[0]
            waiting = self.jobs.get(job)
            if waiting is not None and waiting.due_s == due_s:
                return job, waiting
            heapq.heappop(self.order)


class FairQueue:
    """Queued tasks of one service, by organisation and job.

    Attributes:
        flows: Flows with queued tasks, now or recently, by organisation.
        virtual_time: Highest start tag of a task served so far.
        wait_allowance_s: Wait allowance of a job per task.
    """

    def __init__(self, wait_allowance_s: float = WAIT_ALLOWANCE_S):
        self.wait_allowance_s = wait_allowance_s
        self.flows: dict[str, Flow] = {}
        self.virtual_time = 0.0
        self._flow_heap: list[tuple[float, int, str]] = []
        self._count = 0
        self._job_numbers = itertools.count()

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
        """Enqueues tasks of a job in the flow of its organisation.

        Args:
            organisation: The organisation whose share of service they use.
            weight: The organisation's weight from now on, above 0.
            job: The job; if it has queued tasks, the new ones follow them.
            indices: Indices of the tasks.
            now_s: The current time, from which the job's wait counts.
        """
        flow = self._flow(organisation, weight)
        was_waiting = flow.waiting > 0
        added = collections.deque(indices)
        if job in flow.jobs:
            flow.jobs[job].indices.extend(added)
        elif added:
            due_s = now_s + self.wait_allowance_s * len(added)
            waiting = WaitingJob(now_s, due_s, added.copy())
            flow.add(job, waiting, next(self._job_numbers))
        self._count_added(flow, len(added))
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
        """Puts popped tasks back and refunds the organisation's share.

        They go before the other queued tasks of their job. If it has none,
        the job is queued again without a wait allowance.

        Args:
            organisation: The organisation whose share of service they use.
            weight: The organisation's weight from now on, above 0.
            job: The job they belong to.
            indices: Indices of the tasks, next first.
            since_s: When the job was first queued.
        """
        requeued = collections.deque(indices)
        if not requeued:
            return
        flow = self._flow(organisation, weight)
        if job in flow.jobs:
            flow.jobs[job].indices.extendleft(reversed(requeued))
        else:
            waiting = WaitingJob(since_s, since_s, requeued.copy())
            flow.add(job, waiting, next(self._job_numbers))
        flow.start_tag -= len(requeued) / flow.weight
        self._count_added(flow, len(requeued))
        self._schedule(organisation, flow)

    def pop(self) -> tuple[JobRef, int] | None:
        """Removes and returns the next task, or None if the queue is empty."""
        flow = self._next_flow()
        if flow is None:
            return None
        tag, _, organisation = heapq.heappop(self._flow_heap)
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
        """Removes a job and returns the indices of its queued tasks."""
        flow = self.flows.get(job.organisation)
        if flow is None or job not in flow.jobs:
            return []
        indices = list(flow.jobs.pop(job).indices)
        self._count_removed(flow, len(indices))
        return indices

    def waiting(self, job: JobRef) -> int:
        """Returns the number of queued tasks of a job."""
        flow = self.flows.get(job.organisation)
        if flow is None or job not in flow.jobs:
            return 0
        return len(flow.jobs[job].indices)

    def counts(self) -> dict[str, int]:
        """Returns the number of queued tasks by organisation."""
        return {
            name: flow.waiting
            for name, flow in self.flows.items()
            if flow.waiting
        }

    def waiting_weight(self) -> float:
        """Returns the total weight of the organisations with queued tasks."""
        return sum(flow.weight for flow in self.flows.values() if flow.waiting)

    def waiting_of(self, organisation: str) -> int:
        """Returns the number of queued tasks of an organisation."""
        flow = self.flows.get(organisation)
        return flow.waiting if flow else 0

    def oldest_wait_s(self, now_s: float) -> float:
        """Returns the longest wait among each flow's next job; 0 if empty."""
        since_s = [w.since_s for w in self._first_jobs()]
        return now_s - min(since_s, default=now_s)

    def urgency_s(self, now_s: float) -> float:
        """Returns by how much the most urgent job exceeds its wait allowance.

        Agents grant freed slots to entries by this value. It is negative
        while every queued job is within its allowance, and 0 if the queue is
        empty.
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
            self._flow_heap.clear()
            self.virtual_time = 0.0

    def _schedule(self, organisation: str, flow: Flow) -> None:
        flow.version += 1
        if flow.waiting:
            scheduled = (flow.start_tag, flow.version, organisation)
            heapq.heappush(self._flow_heap, scheduled)

    def _next_flow(self) -> Flow | None:
        while self._flow_heap:
            _, version, organisation = self._flow_heap[0]
            flow = self.flows.get(organisation)
            if flow and flow.waiting and flow.version == version:
                return flow
            heapq.heappop(self._flow_heap)
        return None
