"""Scenes in which a backend server fails what it starts, or is gone."""

import asyncio
import time

from egretthread_standins import checks, cluster
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Worker
from egretthread_standins.faults import audit
from egretthread_standins.faults.stage import BOTH, TASKS, Stage, wait_for

# A third of the starts is the share of each of three backend servers.
FAILING_SHARE = 0.1
WINDOW_S = 2.0
MIN_STARTS = 50


async def set_fault(worker: Worker, **faults: bool) -> None:
    """Changes the faults that a backend server shows."""
    await cluster.post_json(worker.backend, "/control", faults)


async def recent_share(stage: Stage, worker: Worker, since_s: float) -> float:
    """Returns a worker's share of the starts of late; 1 when too few."""
    from_s = max(since_s, time.time() - WINDOW_S)
    recent = [s for s in await stage.cluster.starts() if s.at_s >= from_s]
    if len(recent) < MIN_STARTS:
        return 1.0
    return sum(s.worker == worker.name for s in recent) / len(recent)


async def fail_all(stage: Stage) -> list[Check]:
    """Lets a backend server fail everything at once."""
    worker = stage.cluster.workers[0]
    await set_fault(worker, fail_all=True)
    began_s = time.time()
    share = 1.0
    async with stage.load(*BOTH) as told:

        async def is_avoided() -> bool:
            nonlocal share
            share = await recent_share(stage, worker, began_s + WINDOW_S)
            return share <= FAILING_SHARE

        await wait_for(is_avoided, "a failing backend server without work")
    avoided_s = time.time() - began_s
    starts = [
        start
        for start in await stage.cluster.starts()
        if start.worker == worker.name and start.at_s >= began_s
    ]
    failed = sum(audit.kinds(t).get("failed", 0) for t in told)
    await set_fault(worker, fail_all=False)
    return [
        checks.equal("failed tasks", len(starts), failed),
        checks.figure("share of the starts in the end", f"{share:.3f}"),
        checks.figure("avoided after", f"{avoided_s:.1f} s"),
    ]


async def hang(stage: Stage) -> list[Check]:
    """Lets a backend server start tasks that never end."""
    worker = stage.cluster.workers[1]
    await set_fault(worker, hang=True)
    job = stage.make_job()
    answer = await stage.submit_through("entry-1", job)
    await set_fault(worker, hang=False)
    starts = await stage.starts_of(job.key)
    hung = sum(start.worker == worker.name for start in starts)
    return [
        checks.equal(
            "tasks that hang are unknown",
            {"done": TASKS - hung, "unknown": hung},
            audit.kinds(answer),
        ),
        checks.figure("answer after", f"{answer.response_s:.3f} s"),
    ]


async def refuse(stage: Stage) -> list[Check]:
    """Lets a backend server refuse connections in the middle of a job."""
    worker = stage.cluster.workers[2]
    relay = stage.cluster.backend_relays[worker.name]
    job = stage.make_job()
    call = asyncio.create_task(stage.submit_through("entry-2", job))
    await stage.wait_starts(job.key, 1)
    relay.server.close()
    answer = await call
    again = await stage.submit_through("entry-1", stage.make_job())
    await relay.start()
    await stage.settle()
    return [
        checks.equal(
            "connections refused in mid-job",
            {"done": TASKS},
            audit.kinds(answer),
        ),
        checks.equal("the next job", {"done": TASKS}, audit.kinds(again)),
        checks.figure(
            "their answers after",
            f"{answer.response_s:.3f} s, {again.response_s:.3f} s",
        ),
    ]
