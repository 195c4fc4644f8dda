"""An entry's dispatch, made of the real decision modules, for the bench."""

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
from egretthread_bench.postbox import Postbox
from egretthread_bench.workload import Arrival

# Finished tasks that an agent's failure share rests on.
HEALTH_TASKS = 50


@dataclasses.dataclass
class Belief:
    """What an entry believes of one agent.

    Attributes:
        agent: The agent.
        free: Slots believed free.
        sent: Tasks sent to it so far.
        wanted: Slots still wished for there.
        wanted_s: When it was last told so.
        failures: Weighted share of its recent tasks that failed.
        tasks: Tasks that the share rests on.
    """

    agent: FakeAgent
    free: int
    sent: int = 0
    wanted: int = 0
    wanted_s: float = 0.0
    failures: float = 0.0
    tasks: int = 0


@dataclasses.dataclass
class OpenJob:
    """A job that is not over.

    Attributes:
        arrival: The job as it arrived.
        remaining: Tasks that have not ended.
        failed: Tasks that failed.
    """

    arrival: Arrival
    remaining: int
    failed: int = 0


class BenchEntry:
    """One entry under a rule.

    Attributes:
        node: Its node id.
        queue: Its waiting tasks.
        beliefs: What it believes of each agent, by node id.
        jobs: Its open jobs.
        quotas: The organisations' quotas.
        probation: The ejected backend servers.
        handed_back: Tasks that agents refused.
        refused_jobs: Jobs that the quotas refused, by organisation.
    """

    def __init__(
        self,
        number: int,
        agents: list[FakeAgent],
        experiment: Experiment,
        rule: Rule,
        postbox: Postbox,
        on_over: Callable[[OpenJob], None],
    ):
        self.node = f"entry{number}#1"
        self.experiment = experiment
        self.rule = rule
        self.postbox = postbox
        self.on_over = on_over
        self.rng = random.Random(experiment.seed * 1000 + number)
        self.queue = fairqueue.FairQueue(rule.patience_s)
        self.jobs: dict[JobRef, OpenJob] = {}
        self.weights = {t.name: t.weight for t in experiment.tenants}
        self.quotas = quota.QuotaTable()
        self.probation = ejection.Probation()
        self.handed_back = 0
        self.beliefs = {a.node: Belief(a, a.slots) for a in agents}
        self.order = list(self.beliefs.values())
        self.rng.shuffle(self.order)
        self.policy = placements.find_policy(rule.placement)
        if rule.placement == "random":
            self.policy = functools.partial(self.policy, rng=self.rng)

    def submit(self, arrival: Arrival) -> None:
        """Takes a job in and hands out what finds a slot."""
        job = arrival.job
        self.jobs[job] = OpenJob(arrival, len(arrival.run_s))
        self._enqueue(job, range(len(arrival.run_s)))
        self.dispatch()

    def on_report(self, report: FakeReport) -> None:
        """Takes in what an agent says."""
        belief = self.beliefs[report.node]
        received = report.received if self.rule.exact_free else belief.sent
        held = report.held if self.rule.exact_free else report.credit
        under_way = belief.sent - received
        belief.free = (
            credit.offered_slots(report.free, held, self.rule.credit)
            - under_way
        )
        belief.wanted = max(0, belief.wanted - report.credit)
        for task in report.finished:
            self._finish(belief, task, report.failed)
        if report.refused:
            self.handed_back += len(report.refused)
            self._put_back(report.refused)
        self.dispatch(belief)

    def update_health(self) -> None:
        """Ejects the backend servers that fail."""
        views = [
            ejection.HealthView(node, belief.failures, belief.tasks)
            for node, belief in self.beliefs.items()
        ]
        self.probation.update(views, 0.3, self.postbox.loop.now_s)

    def dispatch(self, heard: Belief | None = None) -> None:
        """Hands out waiting tasks and asks for slots for the rest.

        Args:
            heard: The agent that has just been heard of, if any.
        """
        pushed: dict[str, list[Start]] = {}
        while len(self.queue) and self._place_some(pushed, 0, heard):
            pass
        waiting = len(self.queue)
        agents = len(self.order)
        may_queue = credit.is_deep(waiting, agents, self.rule.credit)
        if may_queue and self.rule.credit.unasked:
            self._place_some(pushed, self.rule.credit.unasked, heard)
        wants = self._choose_wants(pushed)
        waiting = len(self.queue)
        for node, tasks in pushed.items():
            belief = self.beliefs[node]
            if self.rule.want_in_assign and not self.rule.agents_queue:
                wants.pop(node, 0)
                want = min(waiting, belief.agent.slots)
                self._assign(belief, tasks, want, may_queue)
            else:
                self._assign(belief, tasks, wants.pop(node, 0), may_queue)
        for node, count in wants.items():
            self._want(self.beliefs[node], count, may_queue)

    def _place_some(
        self,
        pushed: dict[str, list[Start]],
        beyond: int,
        heard: Belief | None,
    ) -> bool:
        """Places tasks on one set of candidates; whether any were."""
        beliefs = self._candidates(heard)
        views = [self._view(belief, beyond) for belief in beliefs]
        room = sum(placement.usable_slots(view) for view in views)
        if self.rule.agents_queue:
            room = len(self.queue)
        placed = False
        for job, indices in self._take(room):
            rest = iter(indices)
            for node, count in self.policy(views, len(indices)):
                tasks = list(itertools.islice(rest, count))
                self._push(node, job, tasks, pushed)
                placed = True
            left = list(rest)
            if left:
                self._put_back([self._start(job, index) for index in left])
            views = [self._view(belief, beyond) for belief in beliefs]
        return placed and not self.rule.agents_queue

    def _candidates(self, heard: Belief | None) -> list[Belief]:
        if len(self.order) <= self.rule.candidates:
            return self.order
        if heard is not None:
            return [heard]
        return self.rng.sample(self.order, self.rule.candidates)

    def _view(self, belief: Belief, beyond: int) -> placement.AgentView:
        agent = belief.agent
        weight = 1.0
        if self.experiment.eject and self.probation.trials:
            now_s = self.postbox.loop.now_s
            weight = self.probation.weight(agent.node, agent.slots, now_s)
        return placement.AgentView(
            agent.node,
            agent.zone,
            agent.slots + beyond,
            max(0, belief.free + beyond),
            load_share=1.0 - belief.free / agent.slots,
            weight=weight,
        )

    def _take(self, count: int) -> list[tuple[JobRef, list[int]]]:
        groups: dict[JobRef, list[int]] = {}
        for _ in range(count):
            item = self.queue.pop()
            if item is None:
                break
            groups.setdefault(item[0], []).append(item[1])
        return list(groups.items())

    def _push(
        self,
        node: str,
        job: JobRef,
        indices: list[int],
        pushed: dict[str, list[Start]],
    ) -> None:
        self.beliefs[node].free -= len(indices)
        self.probation.record_dispatch(node, self.postbox.loop.now_s)
        tasks = [self._start(job, index) for index in indices]
        pushed.setdefault(node, []).extend(tasks)

    def _assign(
        self, belief: Belief, tasks: list[Start], want: int, may_queue: bool
    ) -> None:
        belief.sent += len(tasks)
        since_s = self._since_s()
        if want and not self.rule.want_in_assign:
            self._want(belief, want, may_queue)
            want = 0
        if self.rule.want_in_assign:
            belief.wanted = want
            belief.wanted_s = self.postbox.loop.now_s
        self.postbox.send(
            "assign",
            self.node,
            belief.agent.node,
            belief.agent.on_assign,
            self,
            tasks,
            want,
            since_s,
            may_queue,
            count=len({task.job for task in tasks}),
        )

    def _choose_wants(self, pushed: dict[str, list[Start]]) -> dict[str, int]:
        """Returns the agents to tell of waiting tasks, and the counts."""
        waiting = len(self.queue)
        if self.rule.agents_queue:
            return {}
        if not waiting:
            return {
                belief.agent.node: 0
                for belief in self.order
                if belief.wanted > 0
            }
        now_s = self.postbox.loop.now_s
        wants: dict[str, int] = {}
        for belief in self._want_candidates(waiting):
            fresh = now_s - belief.wanted_s < self.rule.credit.again_s
            if not belief.wanted or not fresh:
                wants[belief.agent.node] = min(waiting, belief.agent.slots)
        return wants

    def _want_candidates(self, waiting: int) -> list[Belief]:
        agents = len(self.order)
        count = credit.agents_to_ask(waiting, agents, self.rule.credit)
        wanted = [belief for belief in self.order if belief.wanted]
        if count >= agents:
            return self.order
        if len(wanted) >= count:
            return wanted
        return wanted + self.rng.sample(self.order, count - len(wanted))

    def _want(self, belief: Belief, count: int, may_queue: bool) -> None:
        belief.wanted = count
        belief.wanted_s = self.postbox.loop.now_s
        self.postbox.send(
            "want" if count else "unwant",
            self.node,
            belief.agent.node,
            belief.agent.on_want,
            self,
            count,
            self._since_s(),
            may_queue,
        )

    def _since_s(self) -> float:
        now_s = self.postbox.loop.now_s
        return now_s - self.queue.urgency_s(now_s)

    def _finish(self, belief: Belief, task: Start, failed: bool) -> None:
        now_s = self.postbox.loop.now_s
        gain = max(1.0 / HEALTH_TASKS, 1.0 / (belief.tasks + 1))
        belief.failures += gain * (failed - belief.failures)
        belief.tasks = min(HEALTH_TASKS, belief.tasks + 1)
        self.probation.record_finish(belief.agent.node, not failed, now_s)
        state = self.jobs[task.job]
        state.remaining -= 1
        state.failed += failed
        if not state.remaining:
            del self.jobs[task.job]
            self.on_over(state)

    def _put_back(self, tasks) -> None:
        """Returns tasks to the front of the queue, in their order."""
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
        now_s = self.postbox.loop.now_s
        self.queue.push(job.organisation, weight, job, indices, now_s)

    def _start(self, job: JobRef, index: int) -> Start:
        return Start(job, index, self.jobs[job].arrival.run_s[index])
