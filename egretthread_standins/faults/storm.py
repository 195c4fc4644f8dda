"""A scenario of random faults, one after the other, under load."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from egretthread import client
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit
from egretthread_standins.faults.audit import CallResult
from egretthread_standins.faults.outages import log_stalled, log_unavailable
from egretthread_standins.faults.testbed import BOTH, Testbed

SHORT_ROUNDS = 6
LONG_ROUNDS = 60
FAULT_DURATION_S = (0.2, 4.0)
FAULT_INTERVAL_S = (0.1, 1.0)
CALLERS = 4
TASKS = 12
RUN_S = (0.02, 0.4)
RESUBMIT_AFTER_S = (0.0, 0.6)


async def kill_entry(testbed: Testbed, duration_s: float) -> None:
    """Kills an entry and restarts it after a while."""
    name = testbed.rng.choice(BOTH)
    await testbed.kill(testbed.cluster.entries[name])
    await asyncio.sleep(duration_s)
    await testbed.restart_entry(name)


async def kill_agent(testbed: Testbed, duration_s: float) -> None:
    """Kills an agent and replaces it after a while."""
    worker = testbed.rng.choice(testbed.cluster.workers)
    await testbed.kill(worker.agent)
    await asyncio.sleep(duration_s)
    await testbed.cluster.replace_agent(worker)


async def pause_entry(testbed: Testbed, duration_s: float) -> None:
    """Pauses an entry for a while."""
    await pause(testbed.cluster.entries[testbed.rng.choice(BOTH)], duration_s)


async def pause_agent(testbed: Testbed, duration_s: float) -> None:
    """Pauses an agent for a while."""
    await pause(testbed.rng.choice(testbed.cluster.workers).agent, duration_s)


async def pause(child, duration_s: float) -> None:
    """Pauses a process for a while."""
    child.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(duration_s)
    finally:
        child.send(signal.SIGCONT)


async def stall_links(testbed: Testbed, duration_s: float) -> None:
    """Stalls the open links of an entry for a while."""
    relay = testbed.cluster.peer_relays[testbed.rng.choice(BOTH)]
    relay.stall()
    await asyncio.sleep(duration_s)
    relay.resume()


async def reset_links(testbed: Testbed, duration_s: float) -> None:
    """Resets all links of an entry."""
    testbed.cluster.peer_relays[testbed.rng.choice(BOTH)].reset()


async def stall_log(testbed: Testbed, duration_s: float) -> None:
    """Stalls the connections of an entry to the log for a while."""
    with log_stalled(testbed, [testbed.rng.choice(BOTH)]):
        await asyncio.sleep(duration_s)


async def make_log_unavailable(testbed: Testbed, duration_s: float) -> None:
    """Makes the log unavailable for a while."""
    async with log_unavailable(testbed):
        await asyncio.sleep(duration_s)


FAULTS: tuple[Callable[[Testbed, float], Awaitable[None]], ...] = (
    kill_entry,
    kill_agent,
    pause_entry,
    pause_agent,
    stall_links,
    reset_links,
    stall_log,
    make_log_unavailable,
)


async def storm(testbed: Testbed, rounds: int = SHORT_ROUNDS) -> list[Check]:
    """Injects random faults while each job is submitted twice."""
    calls: list[CallResult] = []
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for _ in range(CALLERS):
            group.create_task(submit_each_twice(testbed, stop, calls))
        try:
            for _ in range(rounds):
                fault = testbed.rng.choice(FAULTS)
                await fault(testbed, testbed.rng.uniform(*FAULT_DURATION_S))
                await asyncio.sleep(testbed.rng.uniform(*FAULT_INTERVAL_S))
                # A key cannot be recovered if two of its witnesses are lost
                # at the same time, so each fault is repaired before the next.
                await testbed.settle()
        finally:
            stop.set()
    return [
        checks.figure("faults", rounds),
        checks.figure("outcomes", count_outcomes(calls)),
        checks.figure(
            "slowest answer", f"{max(call.response_s for call in calls):.3f} s"
        ),
    ]


async def storm_long(testbed: Testbed) -> list[Check]:
    """Injects more random faults than `storm`."""
    return await storm(testbed, LONG_ROUNDS)


async def submit_each_twice(
    testbed: Testbed, stop: asyncio.Event, calls: list[CallResult]
) -> None:
    """Submits each job through one entry and then through the other."""
    async with (
        testbed.caller("entry-1") as first,
        testbed.caller("entry-2") as second,
    ):
        while not stop.is_set():
            job = testbed.make_job(TASKS, RUN_S)
            callers = testbed.rng.sample((first, second), 2)
            calls += await asyncio.gather(
                testbed.audit.submit(callers[0], job),
                submit_later(testbed, callers[1], job),
            )


async def submit_later(
    testbed: Testbed, caller: client.AsyncClient, job: client.Job
) -> CallResult:
    """Submits a job after a random delay."""
    await asyncio.sleep(testbed.rng.uniform(*RESUBMIT_AFTER_S))
    return await testbed.audit.submit(caller, job)


def count_outcomes(calls: list[CallResult]) -> dict[str, int]:
    """Returns the number of tasks of all calls with each outcome."""
    counts: dict[str, int] = {}
    for call in calls:
        for kind, count in audit.count_kinds(call).items():
            counts[kind] = counts.get(kind, 0) + count
    return counts
