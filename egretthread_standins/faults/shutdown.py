"""Scenes in which processes end gracefully in the middle of work."""

import signal

from egretthread_standins import checks, children
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit, kills
from egretthread_standins.faults.stage import BOTH, TASKS, Stage


async def end_entry(stage: Stage) -> list[Check]:
    """Ends a job's coordinator gracefully while its caller waits."""
    _, call = await kills.begin_job(stage, "entry-1")
    entry = stage.cluster.entries["entry-1"]
    code = await children.end(entry, signal.SIGTERM)
    answer = await call
    await stage.restart_entry("entry-1")
    await stage.settle()
    return [
        checks.equal("entry ended", {"done": TASKS}, audit.kinds(answer)),
        checks.equal("its exit code", 0, code),
    ]


async def end_agent(stage: Stage) -> list[Check]:
    """Ends an agent gracefully while it runs tasks of a job."""
    job, call = await kills.begin_job(stage, "entry-1")
    worker = stage.worker_of(await stage.starts_of(job.key))
    code = await children.end(worker.agent, signal.SIGTERM)
    answer = await call
    await stage.cluster.replace_agent(worker)
    await stage.settle()
    return [
        checks.equal("agent ended", {"done": TASKS}, audit.kinds(answer)),
        checks.equal("its exit code", 0, code),
    ]


async def restart_entries(stage: Stage) -> list[Check]:
    """Restarts both entries, one after the other, under load."""
    job = stage.make_job()
    answer = await stage.submit_through("entry-1", job)
    async with stage.load(*BOTH) as told:
        for name in BOTH:
            entry = stage.cluster.entries[name]
            await children.end(entry, signal.SIGTERM)
            await stage.restart_entry(name)
            await stage.cluster.wait_ready()
    again = [await stage.submit_through(name, job) for name in BOTH]
    complete = sum(kills.is_complete(t) for t in told)
    return [
        checks.equal("jobs complete meanwhile", len(told), complete),
        checks.same(
            "resubmission after both restarts gets the same answer",
            answer.answer,
            *(t.answer for t in again),
        ),
    ]
