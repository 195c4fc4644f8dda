"""What a scenario can do to the deployment while the load runs."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from egretthread import operators
from egretthread_bench import deployment as deploying
from egretthread_bench.driver import Driver
from egretthread_bench.scenario import Event
from egretthread_standins import children


async def withdraw_zone(driver: Driver, event: Event) -> str:
    """Takes a zone out of service."""
    zone = driver.scenario.site.zones[event.target]
    published = await driver.deployment.change(
        lambda c: operators.withdraw_zone(c, zone)
    )
    return f"{zone} withdrawn at offset {published.offset}"


async def restore_zone(driver: Driver, event: Event) -> str:
    """Takes a zone into service again."""
    zone = driver.scenario.site.zones[event.target]
    published = await driver.deployment.change(
        lambda c: operators.restore_zone(c, zone)
    )
    return f"{zone} restored at offset {published.offset}"


async def log_outage(driver: Driver, event: Event) -> str:
    """Brings the log service down."""
    await deploying.control(driver.deployment.log, outage=True)
    return "the log is down"


async def log_return(driver: Driver, event: Event) -> str:
    """Brings the log service back."""
    await deploying.control(driver.deployment.log, outage=False)
    return "the log is back"


async def fail_worker(driver: Driver, event: Event) -> str:
    """Lets a backend server fail everything that it starts."""
    worker = driver.deployment.workers[event.target]
    await deploying.control(worker.backend, fail_all=True)
    return f"{worker.backend.name} fails all tasks"


async def mend_worker(driver: Driver, event: Event) -> str:
    """Lets a backend server work again."""
    worker = driver.deployment.workers[event.target]
    await deploying.control(worker.backend, fail_all=False)
    return f"{worker.backend.name} works again"


async def cancel(driver: Driver, event: Event) -> str:
    """Cancels a share of the open jobs at once."""
    count = await driver.cancel(event.share)
    return f"{count} jobs cancelled"


async def kill_entry(driver: Driver, event: Event) -> str:
    """Kills an entry."""
    entry = _entry(driver, event)
    entry.send(signal.SIGKILL)
    return f"{entry.name} killed"


async def stop_entry(driver: Driver, event: Event) -> str:
    """Ends an entry gracefully; its open jobs are answered first."""
    entry = _entry(driver, event)
    asyncio.get_running_loop().create_task(children.end(entry, signal.SIGTERM))
    return f"{entry.name} told to end"


async def start_entry(driver: Driver, event: Event) -> str:
    """Starts one entry more, as the replacement of one that is gone."""
    name = f"entry-{len(driver.deployment.entries) + 1}"
    await driver.deployment.start_entry(name)
    entry = driver.deployment.entries[name]
    # The balancer learns of the new instance.
    for caller in driver.callers.values():
        caller.endpoints.urls = (
            *caller.endpoints.urls,
            deploying.url(entry),
        )
    return f"{name} started"


def _entry(driver: Driver, event: Event) -> children.Child:
    return list(driver.deployment.entries.values())[event.target]


Action = Callable[[Driver, Event], Awaitable[str]]

ACTIONS: dict[str, Action] = {
    "withdraw_zone": withdraw_zone,
    "restore_zone": restore_zone,
    "log_outage": log_outage,
    "log_return": log_return,
    "fail_worker": fail_worker,
    "mend_worker": mend_worker,
    "cancel": cancel,
    "kill_entry": kill_entry,
    "stop_entry": stop_entry,
    "start_entry": start_entry,
}


async def play(driver: Driver) -> list[str]:
    """Does what the scenario says, each at its time.

    Returns:
        What was done, with the time it was done at.
    """
    while not driver.began_s:
        await asyncio.sleep(0.01)
    done = []
    for event in sorted(driver.scenario.events, key=lambda e: e.at_s):
        due_s = driver.began_s + event.at_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        text = await ACTIONS[event.action](driver, event)
        at_s = time.monotonic() - driver.began_s
        done.append(f"{at_s:.1f} s: {text}")
    return done
