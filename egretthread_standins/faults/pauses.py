"""Scenarios in which processes are suspended and resumed."""

import asyncio
import dataclasses
import signal
import time

from egretthread import adminclient, operators
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Start, Worker
from egretthread_standins.faults import audit, kills
from egretthread_standins.faults import testbed as testbeds
from egretthread_standins.faults.testbed import TASKS, Testbed

LEASE_S = 3.0
REFUSED_COUNTERS = (
    "refused_no_lease",
    "refused_withdrawn",
    "refused_backend_unreachable",
)
# With one connection to the backend server, accepted tasks wait in the agent.
ONE_CONNECTION = dataclasses.replace(
    testbeds.SMALL, agent_settings={"connections": 1}
)
QUEUED_TASKS = 24
QUEUED_RUN_S = (0.3, 0.4)


async def pause_coordinator(testbed: Testbed) -> list[Check]:
    """Pauses a job's coordinator until another entry has taken it over."""
    job, first = await kills.begin_job(testbed, "entry-1")
    paused = testbed.cluster.entries["entry-1"]
    paused.send(signal.SIGSTOP)
    try:
        again = await testbed.submit_through("entry-2", job)
        before = await testbed.starts_of(job.key)
    finally:
        paused.send(signal.SIGCONT)
    late = await first
    await testbed.settle()
    after = await testbed.starts_of(job.key)
    return [
        checks.equal(
            "coordinator paused", {"done": TASKS}, audit.count_kinds(again)
        ),
        checks.same(
            "late answer of the paused coordinator is the same",
            again.answer,
            late.answer,
        ),
        checks.equal("starts after it resumed", len(before), len(after)),
        checks.figure("answer after", f"{again.response_s:.3f} s"),
    ]


async def pause_agent(testbed: Testbed) -> list[Check]:
    """Pauses an agent with accepted tasks and withdraws its zone meanwhile."""
    job = testbed.make_job(QUEUED_TASKS, QUEUED_RUN_S)
    call = asyncio.create_task(testbed.submit_through("entry-1", job))
    await testbed.wait_starts(job.key, 3)
    worker = testbed.cluster.workers[0]
    worker.agent.send(signal.SIGSTOP)
    paused_s = time.time()
    try:
        await testbed.cluster.change(
            lambda c: operators.withdraw_zone(c, worker.zone)
        )
        await testbeds.wait_until(paused_s + LEASE_S + 1.0)
        before = [s for s in await testbed.cluster.starts() if is_at(s, worker)]
    finally:
        worker.agent.send(signal.SIGCONT)
    answer = await call
    await testbed.cluster.wait_ready()
    after = [s for s in await testbed.cluster.starts() if is_at(s, worker)]
    refused = await count_refused(worker)
    await testbed.cluster.change(
        lambda c: operators.restore_zone(c, worker.zone)
    )
    await testbed.settle()
    return [
        Check(
            "agent paused",
            set(audit.count_kinds(answer)) <= {"done", "unknown"},
            str(audit.count_kinds(answer)),
        ),
        Check(
            "accepted tasks refused after the pause", refused > 0, str(refused)
        ),
        checks.equal(
            "starts under a lapsed lease", 0, len(after) - len(before)
        ),
    ]


async def count_refused(worker: Worker) -> int:
    """Returns the number of tasks that an agent has refused to start."""
    state = await adminclient.fetch_state(worker.agent.addresses["admin"])
    counters = state["counters"]
    return sum(
        count for name, count in counters.items() if name in REFUSED_COUNTERS
    )


def is_at(start: Start, worker: Worker) -> bool:
    """Whether a worker made a start."""
    return start.worker == worker.name
