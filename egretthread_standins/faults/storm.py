"""A scene of many faults, one after the other, under load."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from egretthread import client
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit
from egretthread_standins.faults.audit import Told
from egretthread_standins.faults.outages import log_out, log_unreachable
from egretthread_standins.faults.stage import BOTH, Stage

SHORT_ROUNDS = 6
LONG_ROUNDS = 60
LASTING_S = (0.2, 4.0)
PAUSE_S = (0.1, 1.0)
CALLERS = 4
TASKS = 12
RUN_S = (0.02, 0.4)
RESUBMIT_AFTER_S = (0.0, 0.6)


async def kill_entry(stage: Stage, lasting_s: float) -> None:
    """Kills an entry and starts it again later."""
    name = stage.rng.choice(BOTH)
    await stage.kill(stage.cluster.entries[name])
    await asyncio.sleep(lasting_s)
    await stage.restart_entry(name)


async def kill_agent(stage: Stage, lasting_s: float) -> None:
    """Kills an agent and starts it again later."""
    worker = stage.rng.choice(stage.cluster.workers)
    await stage.kill(worker.agent)
    await asyncio.sleep(lasting_s)
    await stage.cluster.replace_agent(worker)


async def pause_entry(stage: Stage, lasting_s: float) -> None:
    """Pauses an entry for a while."""
    await pause(stage.cluster.entries[stage.rng.choice(BOTH)], lasting_s)


async def pause_agent(stage: Stage, lasting_s: float) -> None:
    """Pauses an agent for a while."""
    await pause(stage.rng.choice(stage.cluster.workers).agent, lasting_s)


async def pause(child, lasting_s: float) -> None:
    """Pauses a process for a while."""
    child.send(signal.SIGSTOP)
    try:
        await asyncio.sleep(lasting_s)
    finally:
        child.send(signal.SIGCONT)


async def silence_links(stage: Stage, lasting_s: float) -> None:
    """Silences the open links of an entry; they deliver late."""
    relay = stage.cluster.peer_relays[stage.rng.choice(BOTH)]
    relay.stall()
    await asyncio.sleep(lasting_s)
    relay.resume()


async def cut_links(stage: Stage, lasting_s: float) -> None:
    """Resets all links of an entry at once."""
    stage.cluster.peer_relays[stage.rng.choice(BOTH)].reset()


async def part_from_log(stage: Stage, lasting_s: float) -> None:
    """Cuts one entry off from the log for a while."""
    with log_unreachable(stage, [stage.rng.choice(BOTH)]):
        await asyncio.sleep(lasting_s)


async def take_log_out(stage: Stage, lasting_s: float) -> None:
    """Takes the log out for a while."""
    async with log_out(stage):
        await asyncio.sleep(lasting_s)


FAULTS: tuple[Callable[[Stage, float], Awaitable[None]], ...] = (
    kill_entry,
    kill_agent,
    pause_entry,
    pause_agent,
    silence_links,
    cut_links,
    part_from_log,
    take_log_out,
)


async def storm(stage: Stage, rounds: int = SHORT_ROUNDS) -> list[Check]:
    """Brings about faults at random while each job is submitted twice."""
    told: list[Told] = []
    stop = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for _ in range(CALLERS):
            group.create_task(submit_twice_each(stage, stop, told))
        try:
            for _ in range(rounds):
                fault = stage.rng.choice(FAULTS)
                await fault(stage, stage.rng.uniform(*LASTING_S))
                await asyncio.sleep(stage.rng.uniform(*PAUSE_S))
                # Two witnesses lost at once close a key to recovery.
                await stage.settle()
        finally:
            stop.set()
    return [
        checks.figure("faults", rounds),
        checks.figure("outcomes", count_outcomes(told)),
        checks.figure(
            "slowest answer", f"{max(t.response_s for t in told):.3f} s"
        ),
    ]


async def storm_long(stage: Stage) -> list[Check]:
    """Brings about many faults."""
    return await storm(stage, LONG_ROUNDS)


async def submit_twice_each(
    stage: Stage, stop: asyncio.Event, told: list[Told]
) -> None:
    """Submits jobs through one entry, and soon after through the other."""
    async with (
        stage.caller("entry-1") as first,
        stage.caller("entry-2") as second,
    ):
        while not stop.is_set():
            job = stage.make_job(TASKS, RUN_S)
            callers = stage.rng.sample((first, second), 2)
            told += await asyncio.gather(
                stage.audit.submit(callers[0], job),
                submit_later(stage, callers[1], job),
            )


async def submit_later(
    stage: Stage, caller: client.AsyncClient, job: client.Job
) -> Told:
    """Submits a job after a random while."""
    await asyncio.sleep(stage.rng.uniform(*RESUBMIT_AFTER_S))
    return await stage.audit.submit(caller, job)


def count_outcomes(told: list[Told]) -> dict[str, int]:
    """Returns how many tasks of all calls have which outcome."""
    counts: dict[str, int] = {}
    for one in told:
        for kind, count in audit.kinds(one).items():
            counts[kind] = counts.get(kind, 0) + count
    return counts
