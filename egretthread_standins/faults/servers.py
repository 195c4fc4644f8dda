"""Scenarios in which a backend server fails, hangs or is unreachable."""

import asyncio
import time

from egretthread_standins import checks, cluster
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Worker
from egretthread_standins.faults import audit
from egretthread_standins.faults.testbed import BOTH, TASKS, Testbed, wait_for

# Without faults each of three backend servers gets a third of the starts.
FAILING_SHARE = 0.1
WINDOW_S = 2.0
MIN_STARTS = 50


async def set_fault(worker: Worker, **faults: bool) -> None:
    """Changes the faults that a backend server injects."""
    await cluster.post_json(worker.backend, "/control", faults)


async def recent_share(
    testbed: Testbed, worker: Worker, since_s: float
) -> float:
    """Returns a worker's share of recent starts, or 1 if there are too few."""
    from_s = max(since_s, time.time() - WINDOW_S)
    recent = [s for s in await testbed.cluster.starts() if s.at_s >= from_s]
    if len(recent) < MIN_STARTS:
        return 1.0
    return sum(s.worker == worker.name for s in recent) / len(recent)


async def fail_all(testbed: Testbed) -> list[Check]:
    """Makes a backend server fail every task immediately."""
    worker = testbed.cluster.workers[0]
    await set_fault(worker, fail_all=True)
    began_s = time.time()
    share = 1.0
    async with testbed.load(*BOTH) as calls:

        async def is_avoided() -> bool:
            nonlocal share
            share = await recent_share(testbed, worker, began_s + WINDOW_S)
            return share <= FAILING_SHARE

        await wait_for(is_avoided, "a lower share for the failing server")
    avoided_s = time.time() - began_s
    starts = [
        start
        for start in await testbed.cluster.starts()
        if start.worker == worker.name and start.at_s >= began_s
    ]
    failed = sum(audit.count_kinds(call).get("failed", 0) for call in calls)
    await set_fault(worker, fail_all=False)
    return [
        checks.equal("failed tasks", len(starts), failed),
        checks.figure("share of the starts at the end", f"{share:.3f}"),
        checks.figure("avoided after", f"{avoided_s:.1f} s"),
    ]


async def hang(testbed: Testbed) -> list[Check]:
    """Makes a backend server start tasks that never end."""
    worker = testbed.cluster.workers[1]
    await set_fault(worker, hang=True)
    job = testbed.make_job()
    answer = await testbed.submit_through("entry-1", job)
    await set_fault(worker, hang=False)
    starts = await testbed.starts_of(job.key)
    hung = sum(start.worker == worker.name for start in starts)
    return [
        checks.equal(
            "tasks that hang are unknown",
            {"done": TASKS - hung, "unknown": hung},
            audit.count_kinds(answer),
        ),
        checks.figure("answer after", f"{answer.response_s:.3f} s"),
    ]


async def refuse(testbed: Testbed) -> list[Check]:
    """Makes a backend server refuse connections during a job."""
    worker = testbed.cluster.workers[2]
    relay = testbed.cluster.backend_relays[worker.name]
    job = testbed.make_job()
    call = asyncio.create_task(testbed.submit_through("entry-2", job))
    await testbed.wait_starts(job.key, 1)
    relay.server.close()
    answer = await call
    again = await testbed.submit_through("entry-1", testbed.make_job())
    await relay.start()
    await testbed.settle()
    return [
        checks.equal(
            "connections refused during a job",
            {"done": TASKS},
            audit.count_kinds(answer),
        ),
        checks.equal("the next job", {"done": TASKS}, audit.count_kinds(again)),
        checks.figure(
            "their answers after",
            f"{answer.response_s:.3f} s, {again.response_s:.3f} s",
        ),
    ]
