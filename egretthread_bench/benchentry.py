"""An entry's dispatch, built from the real decision modules, for benchmarks."""

import dataclasses
import functools
import itertools
import random
from collections.abc import Callable

from egretthread import (
    credit,
    ejection,
    fairqueue,
    placement,
    placements,
    quota,
)
from egretthread.jobkey import JobRef
from egretthread_bench.experiment import Experiment, Rule
from egretthread_bench.fakeagent import FakeAgent, FakeReport, Start
from egretthread_bench.network import Network
from egretthread_bench.workload import Arrival

# Number of recent finished tasks over which failures are averaged.
HEALTH_TASKS = 50


@dataclasses.dataclass
class AgentEstimate:
    """An entry's estimate of the state of one agent.

    Attributes:
        agent: The agent.
        free: Estimated number of free slots.
        sent: Number of tasks sent to it so far.
        requested_slots: Slots requested from it and not granted yet.
        requested_s: Time of the last slot request.
        failures: Weighted share of its recent tasks that failed.
        tasks: Number of tasks that the share is based on.
    """

    agent: FakeAgent
    free: int
    sent: int = 0
    requested_slots: int = 0
    requested_s: float = 0.0
    failures: float = 0.0
    tasks: int = 0


@dataclasses.dataclass
class OpenJob:
    """A job whose tasks have not all finished.

    Attributes:
        arrival: The job as it arrived.
        remaining: Number of tasks that have not finished.
        failed: Number of tasks that failed.
    """

    arrival: Arrival
    remaining: int
    failed: int = 0


class BenchEntry:
    """One entry that follows a rule.

    Attributes:
        node: Node id.
        queue: Waiting tasks.
        estimates: Estimated state of each agent, by node id.
        jobs: Open jobs.
        quotas: Quotas of the organisations.
        probation: Ejected backend servers.
        refused_tasks: Number of tasks that agents refused.
    """

    def __init__(
        self,
        number: int,
        agents: list[FakeAgent],
        experiment: Experiment,
        rule: Rule,
        network: Network,
        on_job_done: Callable[[OpenJob], None],
    ):
        self.node = f"entry{number}#1"
        self.experiment = experiment
        self.rule = rule
        self.network = network
        self.on_job_done = on_job_done
        self.rng = random.Random(experiment.seed * 1000 + number)
        self.queue = fairqueue.FairQueue(rule.patience_s)
        self.jobs: dict[JobRef, OpenJob] = {}
        self.weights = {t.name: t.weight for t in experiment.tenants}
        self.quotas = quota.QuotaTable()
        self.probation = ejection.Probation()
        self.refused_tasks = 0
        self.estimates = {a.node: AgentEstimate(a, a.slots) for a in agents}
        self.order = list(self.estimates.values())
        self.rng.shuffle(self.order)
        self.policy = placements.find_policy(rule.placement)
        if rule.placement == "random":
            self.policy = functools.partial(self.policy, rng=self.rng)

    def submit(self, arrival: Arrival) -> None:
        """Enqueues a job's tasks and dispatches those that find a slot."""
        job = arrival.job
        self.jobs[job] = OpenJob(arrival, len(arrival.run_s))
        self._enqueue(job, range(len(arrival.run_s)))
        self.dispatch()

    def on_report(self, report: FakeReport) -> None:
        """Applies a report of an agent and dispatches waiting tasks."""
        estimate = self.estimates[report.node]
        received = report.received if self.rule.exact_free else estimate.sent
        held = report.held if self.rule.exact_free else report.credit
        in_flight = estimate.sent - received
        estimate.free = (
            credit.offered_slots(report.free, held, self.rule.credit)
            - in_flight
        )
        estimate.requested_slots = max(
            0, estimate.requested_slots - report.credit
        )
        for task in report.finished:
            self._finish(estimate, task, report.failed)
        if report.refused:
            self.refused_tasks += len(report.refused)
            self._requeue(report.refused)
        self.dispatch(estimate)

    def update_health(self) -> None:
        """Ejects the backend servers that fail."""
        views = [
            ejection.HealthView(node, estimate.failures, estimate.tasks)
            for node, estimate in self.estimates.items()
        ]
        self.probation.update(views, 0.3, self.network.loop.now_s)

    def dispatch(self, reporter: AgentEstimate | None = None) -> None:
        """Dispatches waiting tasks and requests slots for the others.

        Args:
            reporter: Agent whose report has just arrived, if any.
        """
        assignments: dict[str, list[Start]] = {}
        while len(self.queue) and self._place_tasks(assignments, 0, reporter):
            pass
        waiting = len(self.queue)
        agents = len(self.order)
        may_queue = credit.is_deep(waiting, agents, self.rule.credit)
        if may_queue and self.rule.credit.unasked:
            self._place_tasks(assignments, self.rule.credit.unasked, reporter)
        slot_requests = self._choose_slot_requests(assignments)
        waiting = len(self.queue)
        for node, tasks in assignments.items():
            estimate = self.estimates[node]
            if self.rule.want_in_assign and not self.rule.agents_queue:
                slot_requests.pop(node, 0)
                want = min(waiting, estimate.agent.slots)
                self._assign(estimate, tasks, want, may_queue)
            else:
                self._assign(
                    estimate, tasks, slot_requests.pop(node, 0), may_queue
                )
        for node, count in slot_requests.items():
            self._request_slots(self.estimates[node], count, may_queue)

    def _place_tasks(
        self,
        assignments: dict[str, list[Start]],
        extra_slots: int,
        reporter: AgentEstimate | None,
    ) -> bool:
        """Assigns waiting tasks to one set of candidates.

        Args:
            assignments: Tasks assigned so far by node; extended in place.
            extra_slots: Slots of each agent's queue that may be used too.
            reporter: Agent whose report has just arrived, if any.

        Returns:
            Whether to try another set of candidates.
        """
        estimates = self._candidates(reporter)
        views = [self._view(estimate, extra_slots) for estimate in estimates]
        capacity = sum(placement.usable_slots(view) for view in views)
        if self.rule.agents_queue:
            capacity = len(self.queue)
        placed = False
        for job, indices in self._pop_tasks(capacity):
            unplaced = iter(indices)
            for node, count in self.policy(views, len(indices)):
                tasks = list(itertools.islice(unplaced, count))
                self._add_assignment(node, job, tasks, assignments)
                placed = True
            remaining = list(unplaced)
            if remaining:
                self._requeue(
                    [self._make_start(job, index) for index in remaining]
                )
            views = [
                self._view(estimate, extra_slots) for estimate in estimates
            ]
        return placed and not self.rule.agents_queue

    def _candidates(
        self, reporter: AgentEstimate | None
    ) -> list[AgentEstimate]:
        if len(self.order) <= self.rule.candidates:
            return self.order
        if reporter is not None:
            return [reporter]
        return self.rng.sample(self.order, self.rule.candidates)

    def _view(
        self, estimate: AgentEstimate, extra_slots: int
    ) -> placement.AgentView:
        agent = estimate.agent
        weight = 1.0
        if self.experiment.eject and self.probation.trials:
            now_s = self.network.loop.now_s
            weight = self.probation.weight(agent.node, agent.slots, now_s)
        return placement.AgentView(
            agent.node,
            agent.zone,
            agent.slots + extra_slots,
            max(0, estimate.free + extra_slots),
            load_share=1.0 - estimate.free / agent.slots,
            weight=weight,
        )

    def _pop_tasks(self, count: int) -> list[tuple[JobRef, list[int]]]:
        groups: dict[JobRef, list[int]] = {}
        for _ in range(count):
            task = self.queue.pop()
            if task is None:
                break
            groups.setdefault(task[0], []).append(task[1])
        return list(groups.items())

    def _add_assignment(
        self,
        node: str,
        job: JobRef,
        indices: list[int],
        assignments: dict[str, list[Start]],
    ) -> None:
        self.estimates[node].free -= len(indices)
        self.probation.record_dispatch(node, self.network.loop.now_s)
        tasks = [self._make_start(job, index) for index in indices]
        assignments.setdefault(node, []).extend(tasks)

    def _assign(
        self,
        estimate: AgentEstimate,
        tasks: list[Start],
        want: int,
        may_queue: bool,
    ) -> None:
        estimate.sent += len(tasks)
        since_s = self._waiting_since_s()
        if want and not self.rule.want_in_assign:
            self._request_slots(estimate, want, may_queue)
            want = 0
        if self.rule.want_in_assign:
            estimate.requested_slots = want
            estimate.requested_s = self.network.loop.now_s
        self.network.send(
            "assign",
            self.node,
            estimate.agent.node,
            estimate.agent.on_assign,
            self,
            tasks,
            want,
            since_s,
            may_queue,
            count=len({task.job for task in tasks}),
        )

    def _choose_slot_requests(
        self, assignments: dict[str, list[Start]]
    ) -> dict[str, int]:
        """Returns the slots to request from agents, by node id.

        A count of 0 withdraws an earlier request.
        """
        waiting = len(self.queue)
        if self.rule.agents_queue:
            return {}
        if not waiting:
            return {
                estimate.agent.node: 0
                for estimate in self.order
                if estimate.requested_slots > 0
            }
        now_s = self.network.loop.now_s
        slot_requests: dict[str, int] = {}
        for estimate in self._agents_to_ask(waiting):
            fresh = now_s - estimate.requested_s < self.rule.credit.again_s
            if not estimate.requested_slots or not fresh:
                slot_requests[estimate.agent.node] = min(
                    waiting, estimate.agent.slots
                )
        return slot_requests

    def _agents_to_ask(self, waiting: int) -> list[AgentEstimate]:
        agents = len(self.order)
        count = credit.agents_to_ask(waiting, agents, self.rule.credit)
        asked = [
            estimate for estimate in self.order if estimate.requested_slots
        ]
        if count >= agents:
            return self.order
        if len(asked) >= count:
            return asked
        return asked + self.rng.sample(self.order, count - len(asked))

    def _request_slots(
        self, estimate: AgentEstimate, count: int, may_queue: bool
    ) -> None:
        estimate.requested_slots = count
        estimate.requested_s = self.network.loop.now_s
        self.network.send(
            "want" if count else "unwant",
            self.node,
            estimate.agent.node,
            estimate.agent.on_want,
            self,
            count,
            self._waiting_since_s(),
            may_queue,
        )

    def _waiting_since_s(self) -> float:
        now_s = self.network.loop.now_s
        return now_s - self.queue.urgency_s(now_s)

    def _finish(
        self, estimate: AgentEstimate, task: Start, failed: bool
    ) -> None:
        now_s = self.network.loop.now_s
        gain = max(1.0 / HEALTH_TASKS, 1.0 / (estimate.tasks + 1))
        estimate.failures += gain * (failed - estimate.failures)
        estimate.tasks = min(HEALTH_TASKS, estimate.tasks + 1)
        self.probation.record_finish(estimate.agent.node, not failed, now_s)
        state = self.jobs[task.job]
        state.remaining -= 1
        state.failed += failed
        if not state.remaining:
            del self.jobs[task.job]
            self.on_job_done(state)

    def _requeue(self, tasks) -> None:
        """Returns tasks to the front of the queue in their order."""
        for job, group in itertools.groupby(tasks, key=lambda task: task.job):
            arrival = self.jobs[job].arrival
            self.queue.requeue(
                job.organisation,
                self.weights[job.organisation],
                job,
                [task.index for task in group],
                arrival.at_s,
            )

    def _enqueue(self, job: JobRef, indices) -> None:
        weight = self.weights[job.organisation]
        now_s = self.network.loop.now_s
        self.queue.push(job.organisation, weight, job, indices, now_s)

    def _make_start(self, job: JobRef, index: int) -> Start:
        return Start(job, index, self.jobs[job].arrival.run_s[index])
