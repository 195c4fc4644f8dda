"""Runs a scenario on the real programs and measures the results."""

import asyncio
import collections
import dataclasses
import pathlib
import statistics
import tempfile
import time

from hdrh.histogram import HdrHistogram
from tornado import httpclient

from egretthread import adminclient
from egretthread.outcome import OutcomeKind
from egretthread_bench import bound, driver, events
from egretthread_bench.deployment import Deployment, Usage, url
from egretthread_bench.driver import Driver, Submitted
from egretthread_bench.scenario import Scenario

# Ratios are recorded in thousandths.
RATIO_UNIT = 1000
MAX_RATIO = 1_000_000
ROUND_TRIPS = 50
HEARTBEATS = ("Heartbeat", "HeartbeatReply", "EntryState")
# Events of agents and entries that each stand for a wasted message.
WASTED_EVENTS = (
    "refused_busy",
    "credits_lapsed",
    "wants_withdrawn",
    "hand_outs_resent",
)
# Changes of zones and workers take effect within this time.
SETTLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Period:
    """Throughput in one period of a run.

    Attributes:
        name: Name of the period.
        from_s: Start, in seconds from the start of the load.
        until_s: End, in seconds from the start of the load.
        busy_slots: Average number of slots that ran tasks.
        offered_slots: Slots that the arrivals of the period would keep busy.
        starts_per_s: Task starts per second.
    """

    name: str
    from_s: float
    until_s: float
    busy_slots: float
    offered_slots: float
    starts_per_s: float


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Measurements of one scenario.

    Attributes:
        scenario: Name of the scenario.
        seed: Seed of the scenario.
        slots: Number of slots of all agents.
        jobs: Number of submitted jobs.
        tasks: Number of tasks of these jobs.
        complete: Jobs with a complete answer.
        failed: Jobs with an incomplete answer.
        errors: Jobs without an answer, by kind of error.
        tasks_by_outcome: Tasks of answered jobs, by outcome.
        reasons: Tasks that are not done, by reason.
        started: Number of starts.
        doubled: Number of starts beyond the first of each task.
        round_trip_s: Time of an empty HTTP request without load.
        p50: Median of response / ideal of complete jobs.
        p99: 99th percentile of response / ideal of complete jobs.
        bound_p50: Median of response / ideal with the central queue.
        bound_p99: 99th percentile of response / ideal with the central
            queue.
        tenant_p99: 99th percentile of response / ideal, by organisation.
        messages: Messages per task, by class.
        messages_per_task: Sum of `messages` without heartbeats.
        frames_per_task: Batches written to links, per task.
        wasted: Wasted messages per task, by event.
        wasted_share: Wasted messages as a share of all messages except
            heartbeats.
        entry_cpu_us_per_task: Processor time of all entries, per task.
        agent_cpu_us_per_task: Processor time of all agents, per task.
        periods: Throughput before, during and after the disturbance.
        busy_slots: Average number of slots that ran tasks, by second.
        log: Actions on the deployment, with their times.
    """

    scenario: str
    seed: int
    slots: int
    jobs: int
    tasks: int
    complete: int
    failed: int
    errors: dict[str, int]
    tasks_by_outcome: dict[str, int]
    reasons: dict[str, int]
    started: int
    doubled: int
    round_trip_s: float
    p50: float
    p99: float
    bound_p50: float
    bound_p99: float
    tenant_p99: dict[str, float]
    messages: dict[str, float]
    messages_per_task: float
    frames_per_task: float
    wasted: dict[str, float]
    wasted_share: float
    entry_cpu_us_per_task: float
    agent_cpu_us_per_task: float
    periods: tuple[Period, ...]
    busy_slots: tuple[float, ...]
    log: tuple[str, ...]


@dataclasses.dataclass
class Totals:
    """Sums of the readings of several processes.

    Attributes:
        cpu_s: Processor time.
        frames: Batches written to links.
        sent: Messages by class.
        events: Events by name.
    """

    cpu_s: float = 0.0
    frames: float = 0.0
    sent: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    events: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, usage: Usage, sign: int) -> None:
        """Adds a reading, or subtracts it if `sign` is -1."""
        self.cpu_s += sign * usage.cpu_s
        self.frames += sign * usage.values["link_frames_sent_total"]
        for name, value in usage.sent.items():
            self.sent[name] += sign * value
        for name, value in usage.events.items():
            self.events[name] += sign * value


@dataclasses.dataclass(frozen=True)
class TaskStart:
    """One start of a task, as its backend server recorded it.

    Attributes:
        at_s: Time of the start, in seconds from the start of the load.
        key: Key of the job.
        index: Index of the task within the job.
    """

    at_s: float
    key: str
    index: int


async def run(scenario: Scenario) -> Outcome:
    """Starts a scenario's deployment, runs its load and stops all processes."""
    with tempfile.TemporaryDirectory(prefix="egretthread-bench-") as name:
        deployment = Deployment(scenario.site, pathlib.Path(name))
        try:
            await deployment.start()
            return await _run(scenario, deployment)
        finally:
            await deployment.close()


async def _run(scenario: Scenario, deployment: Deployment) -> Outcome:
    round_trip_s = await measure_round_trip_s(deployment)
    entries = list(deployment.entries.values())
    agents = [worker.agent for worker in deployment.workers]
    before = await _read_all([*entries, *agents], deployment)
    load = Driver(scenario, deployment)
    running_events = asyncio.create_task(events.run_events(load))
    await load.run()
    log = await running_events
    entries = list(deployment.entries.values())
    after = await _read_all([*entries, *agents], deployment)
    entry_names = {entry.name for entry in entries}
    starts = await read_starts(deployment, load.began_unix_s)
    return _make_outcome(
        scenario,
        load.submitted,
        starts,
        _difference(before, after, entry_names),
        _difference(before, after, {agent.name for agent in agents}),
        round_trip_s,
        log,
    )


async def measure_round_trip_s(deployment: Deployment) -> float:
    """Returns the median time of an empty HTTP request to an entry."""
    entry = next(iter(deployment.entries.values()))
    http = httpclient.AsyncHTTPClient()
    times_s = []
    for _ in range(ROUND_TRIPS):
        begun_s = time.perf_counter()
        await http.fetch(f"{url(entry)}/", raise_error=False)
        times_s.append(time.perf_counter() - begun_s)
    return statistics.median(times_s)


async def _read_all(processes, deployment: Deployment) -> dict[str, Usage]:
    running = [child for child in processes if child.running]
    usages = await deployment.usages(running)
    names = [child.name for child in running]
    return dict(zip(names, usages, strict=True))


def _difference(
    before: dict[str, Usage], after: dict[str, Usage], names: set[str]
) -> Totals:
    """Returns the usage of the named processes between two readings.

    Processes that have exited before the second reading are left out.
    """
    totals = Totals()
    for name in names & after.keys():
        totals.add(after[name], 1)
        if name in before:
            totals.add(before[name], -1)
    return totals


async def read_starts(
    deployment: Deployment, began_unix_s: float
) -> list[TaskStart]:
    """Returns the starts that the backend servers recorded."""
    starts = []
    for worker in deployment.workers:
        body = await adminclient.fetch_json(
            worker.backend.addresses["http"], "/starts"
        )
        for task in body["times"]:
            for at_s in task["times_s"]:
                starts.append(
                    TaskStart(at_s - began_unix_s, task["key"], task["index"])
                )
    return starts


def _make_outcome(
    scenario: Scenario,
    jobs: list[Submitted],
    starts: list[TaskStart],
    entries: Totals,
    agents: Totals,
    round_trip_s: float,
    log: list[str],
) -> Outcome:
    arrivals = [job.arrival for job in jobs]
    started = max(1, len({(start.key, start.index) for start in starts}))
    tasks = max(1, sum(len(arrival.run_s) for arrival in arrivals))
    sent = entries.sent + agents.sent
    without_heartbeats = sum(
        count for name, count in sent.items() if name not in HEARTBEATS
    )
    event_counts = entries.events + agents.events
    wasted = {name: event_counts[name] / started for name in WASTED_EVENTS}
    run_s = _run_times(jobs)
    busy = busy_slots(starts, run_s, scenario.duration_s)
    ratios = _job_ratios(jobs, round_trip_s)
    bound_ratios = _bound_ratios(scenario, arrivals, round_trip_s)
    return Outcome(
        scenario=scenario.name,
        seed=scenario.seed,
        slots=scenario.site.total_slots,
        jobs=len(jobs),
        tasks=tasks,
        complete=sum(1 for j in jobs if j.answer and j.answer.complete),
        failed=sum(1 for j in jobs if j.answer and not j.answer.complete),
        errors=dict(collections.Counter(j.error for j in jobs if j.error)),
        tasks_by_outcome=_tasks_by_outcome(jobs),
        reasons=_reasons(jobs),
        started=len(starts),
        doubled=len(starts) - len({(s.key, s.index) for s in starts}),
        round_trip_s=round_trip_s,
        p50=_percentile(ratios[""], 50),
        p99=_percentile(ratios[""], 99),
        bound_p50=_percentile(bound_ratios, 50),
        bound_p99=_percentile(bound_ratios, 99),
        tenant_p99={
            name: _percentile(histogram, 99)
            for name, histogram in sorted(ratios.items())
            if name
        },
        messages={
            name: count / started for name, count in sorted(sent.items())
        },
        messages_per_task=without_heartbeats / started,
        frames_per_task=(entries.frames + agents.frames) / started,
        wasted=wasted,
        wasted_share=sum(wasted.values())
        * started
        / max(1, without_heartbeats),
        entry_cpu_us_per_task=1e6 * entries.cpu_s / started,
        agent_cpu_us_per_task=1e6 * agents.cpu_s / started,
        periods=_periods(scenario, arrivals, starts, busy),
        busy_slots=tuple(round(value, 2) for value in busy),
        log=tuple(log),
    )


def _run_times(jobs: list[Submitted]) -> dict[str, tuple[float, ...]]:
    return {job.key: job.arrival.run_s for job in jobs}


def _tasks_by_outcome(jobs: list[Submitted]) -> dict[str, int]:
    counts = collections.Counter(
        outcome.kind
        for job in jobs
        if job.answer
        for outcome in job.answer.outcomes
    )
    return {kind.value: counts[kind] for kind in OutcomeKind}


def _reasons(jobs: list[Submitted]) -> dict[str, int]:
    """Returns the number of tasks that are not done, by reason."""
    return dict(
        collections.Counter(
            outcome.reason
            for job in jobs
            if job.answer
            for outcome in job.answer.outcomes
            if outcome.reason
        )
    )


def ideal_s(run_s: tuple[float, ...], round_trip_s: float) -> float:
    """Returns the ideal response time of a job.

    It is the run time of its longest task plus two network round trips, from
    caller to entry and from entry to agent.
    """
    return max(run_s) + 2 * round_trip_s


def _job_ratios(
    jobs: list[Submitted], round_trip_s: float
) -> dict[str, HdrHistogram]:
    """Returns histograms of response / ideal of complete jobs.

    They are by organisation; the key "" stands for all jobs.
    """
    ratios: dict[str, HdrHistogram] = collections.defaultdict(_histogram)
    ratios[""] = _histogram()
    for job in jobs:
        if job.answer is None or not job.answer.complete:
            continue
        ratio = job.response_s / ideal_s(job.arrival.run_s, round_trip_s)
        _record(ratios[""], ratio)
        _record(ratios[job.arrival.organisation], ratio)
    return ratios


def _bound_ratios(
    scenario: Scenario, arrivals: list[driver.Arrival], round_trip_s: float
) -> HdrHistogram:
    histogram = _histogram()
    responses_s = bound.responses_s(arrivals, scenario.site.total_slots)
    for arrival, response_s in zip(arrivals, responses_s, strict=True):
        ideal = ideal_s(arrival.run_s, round_trip_s)
        _record(histogram, (response_s + 2 * round_trip_s) / ideal)
    return histogram


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_RATIO, 3)


def _record(histogram: HdrHistogram, ratio: float) -> None:
    value = min(MAX_RATIO, max(1, round(ratio * RATIO_UNIT)))
    histogram.record_value(value)


def _percentile(histogram: HdrHistogram, percentile: float) -> float:
    return histogram.get_value_at_percentile(percentile) / RATIO_UNIT


def busy_slots(
    starts: list[TaskStart],
    run_s: dict[str, tuple[float, ...]],
    duration_s: float,
) -> list[float]:
    """Returns the average number of slots that ran tasks in each second."""
    seconds = [0.0] * int(duration_s)
    for start in starts:
        runs_s = run_s.get(start.key)
        if runs_s is None:
            continue
        end_s = start.at_s + runs_s[start.index]
        for second in range(max(0, int(start.at_s)), len(seconds)):
            if second >= end_s:
                break
            overlap_s = min(end_s, second + 1) - max(start.at_s, second)
            seconds[second] += max(0.0, overlap_s)
    return seconds


def _periods(
    scenario: Scenario,
    arrivals: list[driver.Arrival],
    starts: list[TaskStart],
    busy: list[float],
) -> tuple[Period, ...]:
    begin_s, end_s = scenario.window
    periods = {"whole": (SETTLE_S, scenario.duration_s)}
    if end_s:
        periods = {
            "before": (SETTLE_S, begin_s),
            "during": (begin_s + SETTLE_S, end_s),
            "first 10 s after": (end_s, end_s + 10.0),
            "after": (end_s + 10.0, scenario.duration_s),
        }
    return tuple(
        _period(name, period_bounds, arrivals, starts, busy)
        for name, period_bounds in periods.items()
        if period_bounds[1] - period_bounds[0] >= 1.0
    )


def _period(
    name: str,
    period_bounds: tuple[float, float],
    arrivals: list[driver.Arrival],
    starts: list[TaskStart],
    busy: list[float],
) -> Period:
    from_s, until_s = period_bounds
    length_s = until_s - from_s
    work_s = sum(
        sum(arrival.run_s)
        for arrival in arrivals
        if from_s <= arrival.at_s < until_s
    )
    count = sum(1 for start in starts if from_s <= start.at_s < until_s)
    return Period(
        name,
        from_s,
        until_s,
        busy_slots=statistics.fmean(busy[int(from_s) : int(until_s)]),
        offered_slots=work_s / length_s,
        starts_per_s=count / length_s,
    )
