"""Scenes in which processes are killed in the middle of a job."""

import asyncio

from egretthread import client
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit
from egretthread_standins.faults.audit import Told
from egretthread_standins.faults.stage import BOTH, TASKS, Stage

STARTS_BEFORE = 10


async def begin_job(
    stage: Stage, entry: str
) -> tuple[client.Job, asyncio.Task]:
    """Submits a job through an entry and waits for its first starts."""
    job = stage.make_job()
    first = asyncio.create_task(stage.submit_through(entry, job))
    await stage.wait_starts(job.key, STARTS_BEFORE)
    return job, first


async def give_up(call: asyncio.Task) -> None:
    """Gives up a call, as a caller does that was cut off itself."""
    call.cancel()
    await asyncio.gather(call, return_exceptions=True)


async def kill_coordinator(stage: Stage) -> list[Check]:
    """Kills the entry that runs a job; resubmits through the other."""
    job, first = await begin_job(stage, "entry-1")
    await stage.kill(stage.cluster.entries["entry-1"])
    again = await stage.submit_through("entry-2", job)
    await give_up(first)
    await stage.restart_entry("entry-1")
    starts = await stage.starts_of(job.key)
    await stage.settle()
    return [
        checks.equal("coordinator killed", {"done": TASKS}, audit.kinds(again)),
        checks.equal("its tasks started", TASKS, len(starts)),
        checks.figure("its answer after", f"{again.response_s:.3f} s"),
    ]


async def kill_agent(stage: Stage) -> list[Check]:
    """Kills an agent that holds tasks; resubmits the job twice."""
    job, first = await begin_job(stage, "entry-1")
    starts = await stage.starts_of(job.key)
    worker = stage.worker_of(starts)
    await stage.kill(worker.agent)
    answer = await first
    before = await stage.starts_of(job.key)
    again = [await stage.submit_through(entry, job) for entry in BOTH]
    after = await stage.starts_of(job.key)
    await stage.cluster.replace_agent(worker)
    await stage.settle()
    counts = audit.kinds(answer)
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
            *(told.answer for told in again),
        ),
        checks.equal("tasks started then", len(before), len(after)),
    ]


def is_complete(told: Told) -> bool:
    """Whether a call got an answer that is complete."""
    return told.answer is not None and told.answer.complete


async def kill_both(stage: Stage) -> list[Check]:
    """Kills the coordinator and an agent at once; resubmits the job."""
    job, first = await begin_job(stage, "entry-1")
    worker = stage.worker_of(await stage.starts_of(job.key))
    await asyncio.gather(
        stage.kill(stage.cluster.entries["entry-1"]), stage.kill(worker.agent)
    )
    answer = await stage.submit_through("entry-2", job)
    again = await stage.submit_through("entry-2", job)
    await give_up(first)
    await stage.restart_entry("entry-1")
    await stage.cluster.replace_agent(worker)
    await stage.settle()
    counts = audit.kinds(answer)
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
