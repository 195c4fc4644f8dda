"""Scenarios in which one key is submitted to two entries at the same time."""

import asyncio
import dataclasses

from egretthread import client
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults.audit import CallResult
from egretthread_standins.faults.testbed import BOTH, LOAD_RUN_S, Testbed

ROUNDS = 20
TASKS = 12


async def submit_both(testbed: Testbed, *jobs: client.Job) -> list[CallResult]:
    """Submits one job through each entry at the same time."""
    return await asyncio.gather(
        *(
            testbed.submit_through(entry, job)
            for entry, job in zip(BOTH, jobs, strict=True)
        )
    )


async def race(testbed: Testbed) -> list[Check]:
    """Submits the same job through both entries, in many rounds."""
    equal = started = complete = 0
    slowest_s = 0.0
    for _ in range(ROUNDS):
        job = testbed.make_job(TASKS, LOAD_RUN_S)
        first, second = await submit_both(testbed, job, job)
        slowest_s = max(slowest_s, first.response_s, second.response_s)
        equal += first.answer is not None and first.answer == second.answer
        complete += first.answer is not None and first.answer.complete
        started += len(await testbed.starts_of(job.key))
    return [
        checks.equal("races with equal answers", ROUNDS, equal),
        checks.equal("races with a complete answer", ROUNDS, complete),
        checks.equal("tasks started", ROUNDS * TASKS, started),
        checks.figure("slowest answer", f"{slowest_s:.3f} s"),
    ]


async def conflict(testbed: Testbed) -> list[Check]:
    """Submits different tasks under one key through both entries."""
    one_conflict = one_answer = started = 0
    for _ in range(ROUNDS):
        job = testbed.make_job(TASKS, LOAD_RUN_S)
        other = dataclasses.replace(
            testbed.make_job(TASKS, LOAD_RUN_S), key=job.key
        )
        calls = await submit_both(testbed, job, other)
        kinds = [call.error.kind for call in calls if call.error]
        one_conflict += kinds == ["key_conflict"]
        one_answer += sum(call.answer is not None for call in calls) == 1
        started += len(await testbed.starts_of(job.key))
    return [
        checks.equal("races with one conflict", ROUNDS, one_conflict),
        checks.equal("races with one answer", ROUNDS, one_answer),
        checks.equal("tasks started", ROUNDS * TASKS, started),
    ]
