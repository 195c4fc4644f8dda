"""Scenarios in which processes are killed while they run a job."""

import asyncio

from egretthread import client
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit
from egretthread_standins.faults.audit import CallResult
from egretthread_standins.faults.testbed import BOTH, TASKS, Testbed

STARTS_BEFORE = 10


async def begin_job(
    testbed: Testbed, entry: str
) -> tuple[client.Job, asyncio.Task]:
    """Submits a job through an entry and waits for its first starts.

    Returns:
        The job, and the task that waits for its result.
    """
    job = testbed.make_job()
    first = asyncio.create_task(testbed.submit_through(entry, job))
    await testbed.wait_starts(job.key, STARTS_BEFORE)
    return job, first


async def abandon(call: asyncio.Task) -> None:
    """Cancels a call, like a caller that loses its connection."""
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)


async def kill_coordinator(testbed: Testbed) -> list[Check]:
    """Kills a job's coordinator and resubmits through the other entry."""
    job, first = await begin_job(testbed, "entry-1")
    await testbed.kill(testbed.cluster.entries["entry-1"])
    again = await testbed.submit_through("entry-2", job)
    await abandon(first)
    await testbed.restart_entry("entry-1")
    starts = await testbed.starts_of(job.key)
    await testbed.settle()
    return [
        checks.equal(
            "coordinator killed", {"done": TASKS}, audit.count_kinds(again)
        ),
        checks.equal("its tasks started", TASKS, len(starts)),
        checks.figure("its answer after", f"{again.response_s:.3f} s"),
    ]


async def kill_agent(testbed: Testbed) -> list[Check]:
    """Kills an agent that runs tasks and resubmits their job twice."""
    job, first = await begin_job(testbed, "entry-1")
    starts = await testbed.starts_of(job.key)
    worker = testbed.worker_of(starts)
    await testbed.kill(worker.agent)
    answer = await first
    before = await testbed.starts_of(job.key)
    again = [await testbed.submit_through(entry, job) for entry in BOTH]
    after = await testbed.starts_of(job.key)
    await testbed.cluster.replace_agent(worker)
    await testbed.settle()
    counts = audit.count_kinds(answer)
    return [
        Check(
            "agent killed: some tasks unknown, the others done",
            set(counts) == {"done", "unknown"},
            str(counts),
        ),
        checks.equal("its job is complete", False, is_complete(answer)),
        checks.same(
            "resubmission gets the same answer",
            answer.answer,
            *(call.answer for call in again),
        ),
        checks.equal("tasks started then", len(before), len(after)),
    ]


def is_complete(call: CallResult) -> bool:
    """Whether a call got a complete answer."""
    return call.answer is not None and call.answer.complete


async def kill_both(testbed: Testbed) -> list[Check]:
    """Kills the coordinator and an agent together and resubmits the job."""
    job, first = await begin_job(testbed, "entry-1")
    worker = testbed.worker_of(await testbed.starts_of(job.key))
    await asyncio.gather(
        testbed.kill(testbed.cluster.entries["entry-1"]),
        testbed.kill(worker.agent),
    )
    answer = await testbed.submit_through("entry-2", job)
    again = await testbed.submit_through("entry-2", job)
    await abandon(first)
    await testbed.restart_entry("entry-1")
    await testbed.cluster.replace_agent(worker)
    await testbed.settle()
    counts = audit.count_kinds(answer)
    return [
        Check(
            "coordinator and agent killed",
            set(counts) <= {"done", "unknown"} and "done" in counts,
            str(counts),
        ),
        checks.same(
            "resubmission gets the same answer", answer.answer, again.answer
        ),
    ]
