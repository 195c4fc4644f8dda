"""Actions of a scenario on the deployment while the load runs."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from egretthread import operators
from egretthread_bench import deployment as deployments
from egretthread_bench.driver import Driver
from egretthread_bench.scenario import Event
from egretthread_standins import children


async def withdraw_zone(driver: Driver, event: Event) -> str:
    """Withdraws a zone."""
    zone = driver.scenario.site.zones[event.target]
    published = await driver.deployment.change(
        lambda c: operators.withdraw_zone(c, zone)
    )
    return f"{zone} withdrawn at offset {published.offset}"


async def restore_zone(driver: Driver, event: Event) -> str:
    """Restores a withdrawn zone."""
    zone = driver.scenario.site.zones[event.target]
    published = await driver.deployment.change(
        lambda c: operators.restore_zone(c, zone)
    )
    return f"{zone} restored at offset {published.offset}"


async def log_outage(driver: Driver, event: Event) -> str:
    """Makes the log service unavailable."""
    await deployments.control(driver.deployment.log, outage=True)
    return "log unavailable"


async def log_return(driver: Driver, event: Event) -> str:
    """Makes the log service available again."""
    await deployments.control(driver.deployment.log, outage=False)
    return "log available again"


async def fail_worker(driver: Driver, event: Event) -> str:
    """Makes a backend server fail every task that it starts."""
    worker = driver.deployment.workers[event.target]
    await deployments.control(worker.backend, fail_all=True)
    return f"{worker.backend.name} fails all tasks"


async def mend_worker(driver: Driver, event: Event) -> str:
    """Ends the fault of `fail_worker`."""
    worker = driver.deployment.workers[event.target]
    await deployments.control(worker.backend, fail_all=False)
    return f"{worker.backend.name} works again"


async def cancel(driver: Driver, event: Event) -> str:
    """Cancels a share of the open jobs."""
    count = await driver.cancel(event.share)
    return f"{count} jobs cancelled"


async def kill_entry(driver: Driver, event: Event) -> str:
    """Kills an entry."""
    entry = _entry(driver, event)
    entry.send(signal.SIGKILL)
    return f"{entry.name} killed"


async def stop_entry(driver: Driver, event: Event) -> str:
    """Shuts an entry down gracefully, so that it answers its open jobs."""
    entry = _entry(driver, event)
    asyncio.get_running_loop().create_task(children.end(entry, signal.SIGTERM))
    return f"{entry.name} shutting down"


async def start_entry(driver: Driver, event: Event) -> str:
    """Starts another entry, as the replacement of one that has exited."""
    name = f"entry-{len(driver.deployment.entries) + 1}"
    await driver.deployment.start_entry(name)
    entry = driver.deployment.entries[name]
    # A load balancer would add the new instance to its targets.
    for caller in driver.callers.values():
        caller.endpoints.urls = (
            *caller.endpoints.urls,
            deployments.url(entry),
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


async def run_events(driver: Driver) -> list[str]:
    """Runs the actions of the scenario's events at their times.

    Returns:
        A line on each action, with its time.
    """
    while not driver.began_s:
        await asyncio.sleep(0.01)
    lines = []
    for event in sorted(driver.scenario.events, key=lambda e: e.at_s):
        due_s = driver.began_s + event.at_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        text = await ACTIONS[event.action](driver, event)
        at_s = time.monotonic() - driver.began_s
        lines.append(f"{at_s:.1f} s: {text}")
    return lines
