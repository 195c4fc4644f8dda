"""Scenarios in which processes shut down gracefully under load."""

import signal

from egretthread_standins import checks, children
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit, kills
from egretthread_standins.faults.testbed import BOTH, TASKS, Testbed


async def end_entry(testbed: Testbed) -> list[Check]:
    """Shuts a job's coordinator down gracefully while its caller waits."""
    _, call = await kills.begin_job(testbed, "entry-1")
    entry = testbed.cluster.entries["entry-1"]
    code = await children.end(entry, signal.SIGTERM)
    answer = await call
    await testbed.restart_entry("entry-1")
    await testbed.settle()
    return [
        checks.equal(
            "entry shut down", {"done": TASKS}, audit.count_kinds(answer)
        ),
        checks.equal("its exit code", 0, code),
    ]


async def end_agent(testbed: Testbed) -> list[Check]:
    """Shuts an agent down gracefully while it runs tasks of a job."""
    job, call = await kills.begin_job(testbed, "entry-1")
    worker = testbed.worker_of(await testbed.starts_of(job.key))
    code = await children.end(worker.agent, signal.SIGTERM)
    answer = await call
    await testbed.cluster.replace_agent(worker)
    await testbed.settle()
    return [
        checks.equal(
            "agent shut down", {"done": TASKS}, audit.count_kinds(answer)
        ),
        checks.equal("its exit code", 0, code),
    ]


async def restart_entries(testbed: Testbed) -> list[Check]:
    """Restarts both entries, one after the other, under load."""
    job = testbed.make_job()
    answer = await testbed.submit_through("entry-1", job)
    async with testbed.load(*BOTH) as calls:
        for name in BOTH:
            entry = testbed.cluster.entries[name]
            await children.end(entry, signal.SIGTERM)
            await testbed.restart_entry(name)
            await testbed.cluster.wait_ready()
    again = [await testbed.submit_through(name, job) for name in BOTH]
    complete = sum(kills.is_complete(call) for call in calls)
    return [
        checks.equal("jobs complete meanwhile", len(calls), complete),
        checks.same(
            "resubmission after both restarts gets the same answer",
            answer.answer,
            *(call.answer for call in again),
        ),
    ]
