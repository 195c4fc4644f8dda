"""Measures the processor time, memory and traffic of an entry and an agent."""

import asyncio
import dataclasses
import pathlib
import tempfile
import time

from egretthread import apierror, client, console
from egretthread_bench import procfs
from egretthread_bench.deployment import Deployment, Site, Usage, read_usage

MB = 2**20
REGION = "eire-east"
SERVICE = "ledger-match"
ZONES = ("eire-east-a", "eire-east-b", "eire-east-c")
JOB_SIZES = (1, 10, 30, 100, 190)
MEASURE_S = 4.0
WARM_UP_S = 1.0
SINKS = 3
SINK_AGENTS = 24
SINK_SLOTS = 64
# Tasks and jobs that are open at a time while the entry is measured.
OPEN_TASKS = 1500
MAX_OPEN_JOBS = 150
# Load while the agent is measured.
AGENT_STARTS_PER_S = 30.0
AGENT_JOB_TASKS = 3
AGENT_RUN_S = 0.1
AGENT_MEASURE_S = 15.0


@dataclasses.dataclass(frozen=True)
class EntryCost:
    """Cost of an entry under jobs of one size.

    Attributes:
        tasks_per_job: Tasks of each job.
        tasks: Tasks that finished during the measurement.
        starts_per_s: Task starts per second.
        cpu_us_per_task: Processor time per task.
        cpu_share: Share of a core that the entry used.
        starts_per_core_s: Starts per second of processor time.
        messages_per_task: Messages sent by the entry, per task.
        resident_bytes: Resident memory at the end.
        errors: Jobs without an answer.
    """

    tasks_per_job: int
    tasks: int
    starts_per_s: float
    cpu_us_per_task: float
    cpu_share: float
    starts_per_core_s: float
    messages_per_task: float
    resident_bytes: float
    errors: int


@dataclasses.dataclass(frozen=True)
class AgentCost:
    """Cost of an agent at one load.

    Attributes:
        starts_per_s: Task starts per second.
        cpu_share: Share of a core that the agent used.
        cpu_us_per_task: Processor time per task beyond that of an idle
            agent; 0 without tasks.
        resident_bytes: Resident memory.
        anonymous_bytes: Resident memory that is not shared.
        sent_bytes_per_s: Bytes written to sockets per second.
        read_bytes_per_s: Bytes read from sockets per second.
    """

    starts_per_s: float
    cpu_share: float
    cpu_us_per_task: float
    resident_bytes: float
    anonymous_bytes: float
    sent_bytes_per_s: float
    read_bytes_per_s: float


@dataclasses.dataclass
class Load:
    """Progress of the jobs that load the measured process.

    Attributes:
        tasks: Number of tasks answered so far.
        errors: Number of jobs without an answer.
        stop: Whether to stop submitting jobs.
    """

    tasks: int = 0
    errors: int = 0
    stop: bool = False


async def keep_submitting(
    caller: client.AsyncClient, tasks_per_job: int, load: Load
) -> None:
    """Submits jobs one after the other until `load.stop` is set."""
    tasks = tuple(client.Task({"run_s": 0.0}) for _ in range(tasks_per_job))
    while not load.stop:
        job = client.Job(client.new_key(), SERVICE, tasks)
        try:
            answer = await caller.submit(job, rekey=True)
        except apierror.ApiError:
            load.errors += 1
        else:
            load.tasks += len(answer.outcomes)


async def measure_entry(
    deployment: Deployment, tasks_per_job: int, duration_s: float
) -> EntryCost:
    """Measures one entry under jobs of one size whose tasks do nothing."""
    caller = deployment.client("office", "entry-1")
    load = Load()
    open_jobs = min(MAX_OPEN_JOBS, max(8, OPEN_TASKS // tasks_per_job))
    submitting = [
        asyncio.create_task(keep_submitting(caller, tasks_per_job, load))
        for _ in range(open_jobs)
    ]
    await asyncio.sleep(WARM_UP_S)
    entry = deployment.entries["entry-1"]
    before, tasks_before = await read_usage(entry), load.tasks
    await asyncio.sleep(duration_s)
    after, tasks = await read_usage(entry), load.tasks - tasks_before
    load.stop = True
    await asyncio.gather(*submitting)
    caller.close()
    return _entry_cost(tasks_per_job, before, after, tasks, load.errors)


def _entry_cost(
    tasks_per_job: int, before: Usage, after: Usage, tasks: int, errors: int
) -> EntryCost:
    elapsed_s = after.at_s - before.at_s
    cpu_s = after.cpu_s - before.cpu_s
    messages = sum(after.sent.values()) - sum(before.sent.values())
    return EntryCost(
        tasks_per_job,
        tasks,
        starts_per_s=tasks / elapsed_s,
        cpu_us_per_task=1e6 * cpu_s / max(1, tasks),
        cpu_share=cpu_s / elapsed_s,
        starts_per_core_s=tasks / cpu_s,
        messages_per_task=messages / max(1, tasks),
        resident_bytes=after.resident_bytes,
        errors=errors,
    )


async def entry_costs(
    sizes: tuple[int, ...] = JOB_SIZES, duration_s: float = MEASURE_S
) -> list[EntryCost]:
    """Measures an entry with jobs of several sizes."""
    site = Site(
        REGION,
        SERVICE,
        ZONES,
        agents=SINK_AGENTS,
        slots=SINK_SLOTS,
        entries=1,
        sinks=SINKS,
        retention_s=240.0,
    )
    with tempfile.TemporaryDirectory(prefix="egretthread-bench-") as name:
        deployment = Deployment(site, pathlib.Path(name))
        try:
            await deployment.start()
            return [
                await measure_entry(deployment, size, duration_s)
                for size in sizes
            ]
        finally:
            await deployment.close()


async def agent_costs(duration_s: float = AGENT_MEASURE_S) -> list[AgentCost]:
    """Measures one agent with its backend server, idle and under load."""
    site = Site(
        REGION,
        SERVICE,
        ZONES,
        agents=1,
        entries=3,
    )
    with tempfile.TemporaryDirectory(prefix="egretthread-bench-") as name:
        deployment = Deployment(site, pathlib.Path(name))
        try:
            await deployment.start()
            idle = await _measure_agent(deployment, duration_s, 0.0)
            load = Load()
            submitting = asyncio.create_task(_open_loop(deployment, load))
            await asyncio.sleep(WARM_UP_S)
            loaded = await _measure_agent(
                deployment, duration_s, idle.cpu_share
            )
            load.stop = True
            await submitting
            return [idle, loaded]
        finally:
            await deployment.close()


async def _open_loop(deployment: Deployment, load: Load) -> None:
    """Submits small jobs at a constant rate until `load.stop` is set."""
    caller = deployment.client("office")
    interval_s = AGENT_JOB_TASKS / AGENT_STARTS_PER_S
    tasks = tuple(
        client.Task({"run_s": AGENT_RUN_S}) for _ in range(AGENT_JOB_TASKS)
    )
    pending: set[asyncio.Task] = set()
    due_s = time.monotonic()
    while not load.stop:
        job = client.Job(client.new_key(), SERVICE, tasks)
        task = asyncio.create_task(caller.submit(job, rekey=True))
        pending.add(task)
        task.add_done_callback(pending.discard)
        due_s += interval_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
    await asyncio.gather(*pending)
    caller.close()


async def _measure_agent(
    deployment: Deployment, duration_s: float, idle_share: float
) -> AgentCost:
    agent = deployment.workers[0].agent
    before = await read_usage(agent)
    await asyncio.sleep(duration_s)
    after = await read_usage(agent)
    elapsed_s = after.at_s - before.at_s
    share = (after.cpu_s - before.cpu_s) / elapsed_s
    starts = after.events.get("starts", 0) - before.events.get("starts", 0)
    sent_bytes = _increase(before, after, "link_bytes_sent_total")
    read_bytes = _increase(before, after, "link_bytes_received_total")
    return AgentCost(
        starts_per_s=starts / elapsed_s,
        cpu_share=share,
        cpu_us_per_task=(
            1e6 * (share - idle_share) * elapsed_s / starts if starts else 0.0
        ),
        resident_bytes=after.resident_bytes,
        anonymous_bytes=procfs.anonymous_bytes(agent.process.pid),
        sent_bytes_per_s=sent_bytes / elapsed_s,
        read_bytes_per_s=read_bytes / elapsed_s,
    )


def _increase(before: Usage, after: Usage, name: str) -> float:
    return after.values[name] - before.values[name]


def print_costs(entries: list[EntryCost], agents: list[AgentCost]) -> None:
    """Prints the figures as tables."""
    print(
        console.table(
            (
                "TASKS/JOB",
                "STARTS/S",
                "CPU US/TASK",
                "CORE",
                "STARTS/CORE S",
                "MSG/TASK",
                "RSS MB",
                "ERRORS",
            ),
            [
                (
                    str(c.tasks_per_job),
                    f"{c.starts_per_s:.0f}",
                    f"{c.cpu_us_per_task:.0f}",
                    f"{c.cpu_share:.2f}",
                    f"{c.starts_per_core_s:.0f}",
                    f"{c.messages_per_task:.2f}",
                    f"{c.resident_bytes / MB:.0f}",
                    str(c.errors),
                )
                for c in entries
            ],
        )
    )
    print(
        console.table(
            (
                "AGENT STARTS/S",
                "CORE %",
                "CPU US/TASK",
                "RSS MB",
                "OWN MB",
                "SENT B/S",
                "READ B/S",
            ),
            [
                (
                    f"{c.starts_per_s:.1f}",
                    f"{100 * c.cpu_share:.2f}",
                    f"{c.cpu_us_per_task:.0f}",
                    f"{c.resident_bytes / MB:.1f}",
                    f"{c.anonymous_bytes / MB:.1f}",
                    f"{c.sent_bytes_per_s:.0f}",
                    f"{c.read_bytes_per_s:.0f}",
                )
                for c in agents
            ],
        )
    )


async def measure() -> tuple[list[EntryCost], list[AgentCost]]:
    """Measures an entry and an agent, one after the other."""
    return await entry_costs(), await agent_costs()


if __name__ == "__main__":
    print_costs(*asyncio.run(measure()))
