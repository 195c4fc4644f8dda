"""Scenes in which the same key reaches two entries at the same moment."""

import asyncio
import dataclasses

from egretthread import client
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults.audit import Told
from egretthread_standins.faults.stage import BOTH, LOAD_RUN_S, Stage

ROUNDS = 20
TASKS = 12


async def submit_both(stage: Stage, *jobs: client.Job) -> list[Told]:
    """Submits a job through each entry at the same moment."""
    return await asyncio.gather(
        *(
            stage.submit_through(entry, job)
            for entry, job in zip(BOTH, jobs, strict=True)
        )
    )


async def race(stage: Stage) -> list[Check]:
    """Submits the same job through both entries, many times."""
    equal = started = complete = 0
    slowest_s = 0.0
    for _ in range(ROUNDS):
        job = stage.make_job(TASKS, LOAD_RUN_S)
        first, second = await submit_both(stage, job, job)
        slowest_s = max(slowest_s, first.response_s, second.response_s)
        equal += first.answer is not None and first.answer == second.answer
        complete += first.answer is not None and first.answer.complete
        started += len(await stage.starts_of(job.key))
    return [
        checks.equal("races with equal answers", ROUNDS, equal),
        checks.equal("races with a complete answer", ROUNDS, complete),
        checks.equal("tasks started", ROUNDS * TASKS, started),
        checks.figure("slowest answer", f"{slowest_s:.3f} s"),
    ]


async def conflict(stage: Stage) -> list[Check]:
    """Submits different tasks under one key through both entries."""
    one_conflict = one_answer = started = 0
    for _ in range(ROUNDS):
        job = stage.make_job(TASKS, LOAD_RUN_S)
        other = dataclasses.replace(
            stage.make_job(TASKS, LOAD_RUN_S), key=job.key
        )
        told = await submit_both(stage, job, other)
        kinds = [t.error.kind for t in told if t.error]
        one_conflict += kinds == ["key_conflict"]
        one_answer += sum(t.answer is not None for t in told) == 1
        started += len(await stage.starts_of(job.key))
    return [
        checks.equal("races with one conflict", ROUNDS, one_conflict),
        checks.equal("races with one answer", ROUNDS, one_answer),
        checks.equal("tasks started", ROUNDS * TASKS, started),
    ]
