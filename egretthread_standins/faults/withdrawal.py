"""Scenarios in which operators withdraw zones and drain backend servers."""

import time

from egretthread import operators
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults.links import STOP_LIMIT_S
from egretthread_standins.faults.outages import summarize_load
from egretthread_standins.faults.testbed import BOTH, Testbed, wait_until

AROUND_S = 2.0


async def take_out(
    testbed: Testbed, target: str, is_at_target, remove, restore
) -> list[Check]:
    """Takes a zone or server out of service under load and restores it.

    Args:
        testbed: The testbed.
        target: Name of the zone or server in the checks.
        is_at_target: Whether a start was at the target.
        remove: Edit that takes the target out of service.
        restore: Edit that restores it.
    """
    running = testbed.cluster
    async with testbed.load(*BOTH) as calls:
        await testbed.wait_start(is_at_target, f"starts in {target}")
        began_s = time.time()
        await wait_until(began_s + AROUND_S)
        removed_s = time.time()
        await running.change(remove)
        await testbed.wait_start(
            lambda s: s.at_s > removed_s + STOP_LIMIT_S + 1.0,
            "starts elsewhere",
        )
        last_s = await testbed.last_start(is_at_target) - removed_s
        restored_s = time.time()
        await running.change(restore)
        first = await testbed.wait_start(
            lambda s: is_at_target(s) and s.at_s > restored_s,
            f"starts in {target} after its restoration",
        )
        await wait_until(restored_s + AROUND_S)
        ended_s = time.time()
    await testbed.settle()
    return [
        checks.at_most(f"last start in {target}", STOP_LIMIT_S, last_s, "s"),
        checks.figure(
            f"first start in {target} after its restoration",
            f"{first.at_s - restored_s:.3f} s",
        ),
        summarize_load("before", calls, began_s, removed_s),
        summarize_load("out of service", calls, removed_s, restored_s),
        summarize_load("after", calls, restored_s, ended_s),
    ]


async def withdraw_zone(testbed: Testbed) -> list[Check]:
    """Withdraws a zone under load and restores it."""
    zone = testbed.cluster.layout.zones[1]
    return await take_out(
        testbed,
        "the withdrawn zone",
        lambda start: start.zone == zone,
        lambda c: operators.withdraw_zone(c, zone),
        lambda c: operators.restore_zone(c, zone),
    )


async def drain_server(testbed: Testbed) -> list[Check]:
    """Drains one backend server under load and undrains it."""
    worker = testbed.cluster.workers[2]
    agent = worker.agent.name
    return await take_out(
        testbed,
        "the drained backend server",
        lambda start: start.worker == worker.name,
        lambda c: operators.drain_server(c, agent),
        lambda c: operators.undrain_server(c, agent),
    )
