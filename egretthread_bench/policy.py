"""Runs one rule of an experiment at one load and measures it."""

import collections
import dataclasses
import time

from hdrh.histogram import HdrHistogram

from egretthread import config
from egretthread_bench import bound as bounds
from egretthread_bench import engines, workload
from egretthread_bench.benchentry import BenchEntry, OpenJob
from egretthread_bench.eventloop import EventLoop
from egretthread_bench.experiment import Experiment, Rule, Tenant
from egretthread_bench.fakeagent import FakeAgent
from egretthread_bench.network import Network
from egretthread_bench.workload import Arrival

# Ratios are recorded in thousandths, up to a maximum of 10,000.
RATIO_UNIT = 1000
MAX_RATIO = 10_000_000
HEARTBEAT_S = 1.0
# Limits of an organisation without a quota.
NO_LIMIT = 1_000_000_000
# Share of a run, at its start, whose jobs are not measured.
WARM_UP_SHARE = 0.05


@dataclasses.dataclass
class Ratios:
    """Histograms of response / ideal, for all jobs and by organisation.

    Attributes:
        all: All jobs.
        tenants: Jobs of each organisation.
    """

    all: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, MAX_RATIO, 3)
    )
    tenants: dict[str, HdrHistogram] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            lambda: HdrHistogram(1, MAX_RATIO, 3)
        )
    )

    def add(self, job, ratio: float) -> None:
        """Records one job."""
        value = min(MAX_RATIO, max(1, round(ratio * RATIO_UNIT)))
        self.all.record_value(value)
        self.tenants[job.organisation].record_value(value)


@dataclasses.dataclass(frozen=True)
class Result:
    """Measurements of one rule at one load.

    Attributes:
        experiment: Name of the experiment.
        rule: Name of the rule; `central` for the bound.
        load: Share of the slots that the arrivals keep busy.
        jobs: Number of measured jobs.
        tasks: Number of tasks of all admitted jobs.
        p50: Median of response / ideal.
        p99: 99th percentile of response / ideal.
        mean: Mean of response / ideal.
        tenant_p99: 99th percentile by organisation.
        failed_share: Share of the tasks that failed at a backend server.
        refused_jobs: Jobs that the quotas refused, by organisation.
        messages: Messages per task, by kind, without heartbeats.
        messages_per_task: Sum of `messages`.
        frames_per_task: Writes to connections per task, with heartbeats.
        wasted_share: Share of the messages that moved no task: refusals,
            credits that lapsed unused and withdrawn slot requests.
        handed_back_share: Share of the assignments that agents refused.
        run_s: Duration of the run in real time.
    """

    experiment: str
    rule: str
    load: float
    jobs: int
    tasks: int
    p50: float
    p99: float
    mean: float
    tenant_p99: dict[str, float]
    failed_share: float = 0.0
    refused_jobs: dict[str, int] = dataclasses.field(default_factory=dict)
    messages: dict[str, float] = dataclasses.field(default_factory=dict)
    messages_per_task: float = 0.0
    frames_per_task: float = 0.0
    wasted_share: float = 0.0
    handed_back_share: float = 0.0
    run_s: float = 0.0


class Run:
    """One run of a rule at a load.

    Attributes:
        loop: The event loop.
        network: Delivers and counts the messages.
        agents: The agents.
        entries: The entries.
        ratios: Response / ideal of the jobs so far.
        open_jobs: Number of jobs that are not done.
        admitted_tasks: Number of tasks of admitted jobs.
        failed_tasks: Number of failed tasks.
        refused_jobs: Jobs that the quotas refused, by organisation.
    """

    def __init__(
        self,
        experiment: Experiment,
        rule: Rule,
        load: float,
        jobs: list[Arrival],
    ):
        self.experiment = experiment
        self.load = load
        self.jobs = jobs
        self.loop = EventLoop()
        self.network = Network(self.loop, experiment.delay_s)
        if rule.engines:
            self._build_engines()
        else:
            self._build_fakes(rule)
        for agent in self.agents[: experiment.failing_agents]:
            agent.fails = True
        self.ratios = Ratios()
        self.open_jobs = len(jobs)
        self.admitted_tasks = 0
        self.failed_tasks = 0
        self.refused_jobs: collections.Counter = collections.Counter()
        self._warm_up_s = jobs[-1].at_s * WARM_UP_SHARE

    def _build_engines(self) -> None:
        experiment = self.experiment
        self.agents = [
            engines.EngineAgent(number, experiment, self.network)
            for number in range(experiment.agents)
        ]
        self.entries = [
            engines.EngineEntry(
                number, experiment, self.network, self._on_job_done
            )
            for number in range(experiment.entries)
        ]
        for agent in self.agents:
            agent.begin(self.entries)

    def _build_fakes(self, rule: Rule) -> None:
        experiment = self.experiment
        self.agents = [
            FakeAgent(
                f"agent{number}#1",
                f"zone{number % experiment.zones}",
                experiment.slots,
                rule,
                self.network,
            )
            for number in range(experiment.agents)
        ]
        self.entries = [
            BenchEntry(
                number,
                agents,
                experiment,
                rule,
                self.network,
                self._on_job_done,
            )
            for number, agents in enumerate(self._agents_by_entry(rule))
        ]

    def _agents_by_entry(self, rule: Rule) -> list[list[FakeAgent]]:
        """Returns the agents that each entry may assign tasks to."""
        count = self.experiment.entries
        if not rule.sharing or rule.sharing >= count:
            return [self.agents] * count
        shared: list[list[FakeAgent]] = [[] for _ in range(count)]
        for number, agent in enumerate(self.agents):
            for place in range(rule.sharing):
                step = 1 + number // count % (count - 1)
                shared[(number + place * step) % count].append(agent)
        return shared

    def run(self) -> None:
        """Runs until all jobs are done."""
        self._set_quotas()
        for arrival in self.jobs:
            self.loop.at(arrival.at_s, self._arrive, arrival)
        self._start_heartbeats()
        self.loop.run(lambda: not self.open_jobs)

    def _set_quotas(self) -> None:
        limits = [self._limits(t) for t in self.experiment.tenants]
        for entry in self.entries:
            entry.quotas.configure(limits)

    def _limits(self, tenant: Tenant) -> config.Organisation:
        load = workload.tenant_load(self.experiment, tenant, self.load)
        rate_per_s = workload.starts_per_s(self.experiment, load)
        return config.Organisation(
            tenant.name,
            starts_per_s=tenant.quota * rate_per_s or NO_LIMIT,
            max_running=NO_LIMIT,
        )

    def _arrive(self, arrival: Arrival) -> None:
        entry = self.entries[arrival.entry]
        name = arrival.job.organisation
        starts = len(arrival.run_s)
        if entry.quotas.admit(name, starts, self.loop.now_s).ok:
            self.admitted_tasks += starts
            entry.submit(arrival)
        else:
            self.refused_jobs[name] += 1
            self.open_jobs -= 1

    def _start_heartbeats(self) -> None:
        users = collections.defaultdict(list)
        for entry in self.entries:
            for node in entry.estimates:
                users[node].append(entry)
        for number, agent in enumerate(self.agents):
            phase_s = HEARTBEAT_S * number / len(self.agents)
            self.loop.at(
                phase_s, self._send_heartbeat, agent, users[agent.node]
            )
        self.loop.at(HEARTBEAT_S, self._slow_tick)

    def _send_heartbeat(
        self, agent: FakeAgent, entries: list[BenchEntry]
    ) -> None:
        agent.heartbeat(entries)
        self.loop.after(HEARTBEAT_S, self._send_heartbeat, agent, entries)

    def _slow_tick(self) -> None:
        demands = [dict(e.quotas.demand(self.loop.now_s)) for e in self.entries]
        for number, entry in enumerate(self.entries):
            others = demands[:number] + demands[number + 1 :]
            entry.quotas.set_shares(demands[number], others)
            if self.experiment.eject:
                entry.update_health()
        self.loop.after(1.0, self._slow_tick)

    def _on_job_done(self, state: OpenJob) -> None:
        arrival = state.arrival
        self.open_jobs -= 1
        self.failed_tasks += state.failed
        if arrival.at_s < self._warm_up_s:
            return
        response_s = self.loop.now_s - arrival.at_s
        self.ratios.add(
            arrival.job, ratio(self.experiment, arrival, response_s)
        )


def ratio(experiment: Experiment, arrival: Arrival, response_s: float) -> float:
    """Returns a job's response time divided by its ideal.

    The ideal is the job's longest task plus a round trip from caller to
    entry and one from entry to agent.
    """
    caller_s = 2 * experiment.caller_delay_s
    ideal_s = max(arrival.run_s) + 2 * experiment.delay_s + caller_s
    return (response_s + caller_s) / ideal_s


def measure(
    experiment: Experiment, name: str, rule: Rule, load: float
) -> Result:
    """Runs a rule and returns its measurements."""
    began_s = time.perf_counter()
    jobs = workload.arrivals(experiment, load)
    run = Run(experiment, rule, load, jobs)
    run.run()
    tasks = run.admitted_tasks
    return _result(
        experiment, name, load, run.ratios, jobs, run, tasks, began_s
    )


def bound(experiment: Experiment, load: float) -> Result:
    """Returns the result of the central queue on the same arrivals.

    One round trip between entry and agent is added to its response times.
    """
    began_s = time.perf_counter()
    jobs = workload.arrivals(experiment, load)
    slots = experiment.agents * experiment.slots
    ratios = Ratios()
    warm_up_s = jobs[-1].at_s * WARM_UP_SHARE
    responses = bounds.responses_s(jobs, slots)
    for arrival, response_s in zip(jobs, responses, strict=True):
        if arrival.at_s >= warm_up_s:
            total_s = response_s + 2 * experiment.delay_s
            ratios.add(arrival.job, ratio(experiment, arrival, total_s))
    tasks = sum(len(arrival.run_s) for arrival in jobs)
    return _result(
        experiment, "central", load, ratios, jobs, None, tasks, began_s
    )


def _result(
    experiment: Experiment,
    name: str,
    load: float,
    ratios: Ratios,
    jobs: list[Arrival],
    run: Run | None,
    tasks: int,
    began_s: float,
) -> Result:
    result = Result(
        experiment=experiment.name,
        rule=name,
        load=load,
        jobs=ratios.all.get_total_count(),
        tasks=tasks,
        p50=ratios.all.get_value_at_percentile(50) / RATIO_UNIT,
        p99=ratios.all.get_value_at_percentile(99) / RATIO_UNIT,
        mean=ratios.all.get_mean_value() / RATIO_UNIT,
        tenant_p99={
            tenant: histogram.get_value_at_percentile(99) / RATIO_UNIT
            for tenant, histogram in sorted(ratios.tenants.items())
        },
        run_s=time.perf_counter() - began_s,
    )
    if run is None:
        return result
    return dataclasses.replace(result, **_traffic(run, tasks))


def _traffic(run: Run, tasks: int) -> dict:
    messages = dict(run.network.messages)
    messages.pop("heartbeat", None)
    total = sum(messages.values())
    lapsed_credits = sum(agent.lapsed_credits for agent in run.agents)
    refused_tasks = sum(entry.refused_tasks for entry in run.entries)
    sent = sum(
        estimate.sent
        for entry in run.entries
        for estimate in entry.estimates.values()
    )
    wasted = (
        messages.get("refusal", 0) + messages.get("unwant", 0) + lapsed_credits
    )
    return {
        "failed_share": run.failed_tasks / tasks,
        "refused_jobs": dict(run.refused_jobs),
        "messages": {
            kind: count / tasks for kind, count in sorted(messages.items())
        },
        "messages_per_task": total / tasks,
        "frames_per_task": run.network.frames / tasks,
        "wasted_share": wasted / max(1, total),
        "handed_back_share": refused_tasks / max(1, sent),
    }
