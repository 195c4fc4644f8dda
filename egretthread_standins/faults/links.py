"""Scenes in which connections fall silent and entries are cut off."""

import asyncio
import time

from egretthread import adminclient
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Worker
from egretthread_standins.faults import audit, kills
from egretthread_standins.faults.stage import TASKS, Stage, wait_for

# The users' bound on what a withdrawal or a lapsed lease may take.
STOP_LIMIT_S = 4.0


async def silent_links(stage: Stage) -> list[Check]:
    """Silences the coordinator's open links for good; new ones work."""
    job, first = await kills.begin_job(stage, "entry-1")
    relay = stage.cluster.peer_relays["entry-1"]
    before = relay.accepted
    relay.stall()
    answer = await first
    relay.resume()
    await stage.settle()
    starts = await stage.starts_of(job.key)
    return [
        checks.equal("silent links", {"done": TASKS}, audit.kinds(answer)),
        checks.equal("its tasks started", TASKS, len(starts)),
        checks.figure("fresh links", relay.accepted - before),
        checks.figure("answer after", f"{answer.response_s:.3f} s"),
    ]


async def silent_backend(stage: Stage) -> list[Check]:
    """Silences the open connections to a backend server in mid-job."""
    job, first = await kills.begin_job(stage, "entry-1")
    worker = stage.worker_of(await stage.starts_of(job.key))
    relay = stage.cluster.backend_relays[worker.name]
    relay.stall()
    answer = await first
    relay.resume()
    await stage.settle()
    counts = audit.kinds(answer)
    return [
        Check(
            "silent connections to a backend server",
            set(counts) == {"done", "unknown"},
            str(counts),
        ),
        checks.figure("answer after", f"{answer.response_s:.3f} s"),
    ]


async def cut_off_entry(stage: Stage) -> list[Check]:
    """Cuts an entry off from the log and from its only peer."""
    running = stage.cluster
    relay = running.log_relays["entry-1"]
    job = stage.make_job()
    async with stage.load("entry-1"):
        await stage.kill(running.entries["entry-2"])
        relay.stall(include_new=True)
        cut_s = time.time()
        call = asyncio.create_task(stage.submit_through("entry-1", job))
        refused_s = await stage.wait_refusal("entry-1") - cut_s

        async def is_quiet() -> bool:
            states = [await is_closed(worker) for worker in running.workers]
            return all(states)

        await wait_for(is_quiet, "agents without a lease")
        last_s = await stage.last_start(lambda start: True) - cut_s
        relay.resume()
        await stage.restart_entry("entry-2")
        await running.wait_ready()
        answer = await call
    await stage.settle()
    return [
        checks.at_most("first refusal", STOP_LIMIT_S, refused_s, "s"),
        checks.at_most("last start", STOP_LIMIT_S, last_s, "s"),
        checks.figure("the job under way", audit.kinds(answer)),
    ]


async def is_closed(worker: Worker) -> bool:
    """Whether an agent may start no task now."""
    address = worker.agent.addresses["admin"]
    health = await adminclient.fetch_json(address, "/health")
    return not health["lease_open"]
