"""Scenes in which processes are paused and resumed, unaware of it."""

import asyncio
import dataclasses
import signal
import time

from egretthread import adminclient, operators
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Start, Worker
from egretthread_standins.faults import audit, kills
from egretthread_standins.faults import stage as stages
from egretthread_standins.faults.stage import TASKS, Stage

LEASE_S = 3.0
REFUSED_COUNTERS = (
    "refused_no_lease",
    "refused_withdrawn",
    "refused_backend_unreachable",
)
# One connection to the backend server: accepted tasks wait in the agent.
ONE_CONNECTION = dataclasses.replace(
    stages.SMALL, agent_settings={"connections": 1}
)
QUEUED_TASKS = 24
QUEUED_RUN_S = (0.3, 0.4)


async def pause_coordinator(stage: Stage) -> list[Check]:
    """Pauses a job's coordinator until another entry has taken over."""
    job, first = await kills.begin_job(stage, "entry-1")
    paused = stage.cluster.entries["entry-1"]
    paused.send(signal.SIGSTOP)
    try:
        again = await stage.submit_through("entry-2", job)
        before = await stage.starts_of(job.key)
    finally:
        paused.send(signal.SIGCONT)
    late = await first
    await stage.settle()
    after = await stage.starts_of(job.key)
    return [
        checks.equal("coordinator paused", {"done": TASKS}, audit.kinds(again)),
        checks.same(
            "late answer of the paused one is the same",
            again.answer,
            late.answer,
        ),
        checks.equal("starts after its return", len(before), len(after)),
        checks.figure("answer after", f"{again.response_s:.3f} s"),
    ]


async def pause_agent(stage: Stage) -> list[Check]:
    """Pauses an agent with accepted tasks, withdraws its zone meanwhile."""
    job = stage.make_job(QUEUED_TASKS, QUEUED_RUN_S)
    call = asyncio.create_task(stage.submit_through("entry-1", job))
    await stage.wait_starts(job.key, 3)
    worker = stage.cluster.workers[0]
    worker.agent.send(signal.SIGSTOP)
    paused_s = time.time()
    try:
        await stage.cluster.change(
            lambda c: operators.withdraw_zone(c, worker.zone)
        )
        await stages.wait_until(paused_s + LEASE_S + 1.0)
        before = [s for s in await stage.cluster.starts() if is_at(s, worker)]
    finally:
        worker.agent.send(signal.SIGCONT)
    answer = await call
    await stage.cluster.wait_ready()
    after = [s for s in await stage.cluster.starts() if is_at(s, worker)]
    refused = await count_refused(worker)
    await stage.cluster.change(lambda c: operators.restore_zone(c, worker.zone))
    await stage.settle()
    return [
        Check(
            "agent paused",
            set(audit.kinds(answer)) <= {"done", "unknown"},
            str(audit.kinds(answer)),
        ),
        Check(
            "accepted tasks refused after the pause", refused > 0, str(refused)
        ),
        checks.equal(
            "starts under a lapsed lease", 0, len(after) - len(before)
        ),
    ]


async def count_refused(worker: Worker) -> int:
    """Returns how many tasks an agent has refused to start."""
    state = await adminclient.fetch_state(worker.agent.addresses["admin"])
    counters = state["counters"]
    return sum(
        count for name, count in counters.items() if name in REFUSED_COUNTERS
    )


def is_at(start: Start, worker: Worker) -> bool:
    """Whether a start was at a worker."""
    return start.worker == worker.name
