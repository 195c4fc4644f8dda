"""Scenarios in which connections stall and entries are disconnected."""

import asyncio
import time

from egretthread import adminclient
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.cluster import Worker
from egretthread_standins.faults import audit, kills
from egretthread_standins.faults.testbed import TASKS, Testbed, wait_for

# Required bound on the time until a withdrawal or a lapsed lease stops all
# starts.
STOP_LIMIT_S = 4.0


async def stall_links(testbed: Testbed) -> list[Check]:
    """Stalls the coordinator's open links; new links still work."""
    job, first = await kills.begin_job(testbed, "entry-1")
    relay = testbed.cluster.peer_relays["entry-1"]
    before = relay.accepted
    relay.stall()
    answer = await first
    relay.resume()
    await testbed.settle()
    starts = await testbed.starts_of(job.key)
    return [
        checks.equal(
            "stalled links", {"done": TASKS}, audit.count_kinds(answer)
        ),
        checks.equal("its tasks started", TASKS, len(starts)),
        checks.figure("new links", relay.accepted - before),
        checks.figure("answer after", f"{answer.response_s:.3f} s"),
    ]


async def stall_backend(testbed: Testbed) -> list[Check]:
    """Stalls the open connections to a backend server during a job."""
    job, first = await kills.begin_job(testbed, "entry-1")
    worker = testbed.worker_of(await testbed.starts_of(job.key))
    relay = testbed.cluster.backend_relays[worker.name]
    relay.stall()
    answer = await first
    relay.resume()
    await testbed.settle()
    counts = audit.count_kinds(answer)
    return [
        Check(
            "stalled connections to a backend server",
            set(counts) == {"done", "unknown"},
            str(counts),
        ),
        checks.figure("answer after", f"{answer.response_s:.3f} s"),
    ]


async def disconnect_entry(testbed: Testbed) -> list[Check]:
    """Disconnects an entry from the log and kills its only peer."""
    running = testbed.cluster
    relay = running.log_relays["entry-1"]
    job = testbed.make_job()
    async with testbed.load("entry-1"):
        await testbed.kill(running.entries["entry-2"])
        relay.stall(include_new=True)
        disconnected_s = time.time()
        call = asyncio.create_task(testbed.submit_through("entry-1", job))
        refused_s = await testbed.wait_refusal("entry-1") - disconnected_s

        async def are_leases_lapsed() -> bool:
            lapsed = [await has_no_lease(worker) for worker in running.workers]
            return all(lapsed)

        await wait_for(are_leases_lapsed, "agents without a lease")
        last_s = await testbed.last_start(lambda start: True) - disconnected_s
        relay.resume()
        await testbed.restart_entry("entry-2")
        await running.wait_ready()
        answer = await call
    await testbed.settle()
    return [
        checks.at_most("first refusal", STOP_LIMIT_S, refused_s, "s"),
        checks.at_most("last start", STOP_LIMIT_S, last_s, "s"),
        checks.figure("outcomes of the open job", audit.count_kinds(answer)),
    ]


async def has_no_lease(worker: Worker) -> bool:
    """Whether an agent's lease does not allow it to start tasks."""
    address = worker.agent.addresses["admin"]
    health = await adminclient.fetch_json(address, "/health")
    return not health["lease_open"]
