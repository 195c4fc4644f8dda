"""Scenarios in which the log is unavailable to some or all entries."""

import asyncio
import contextlib
import dataclasses
import time
from collections.abc import AsyncIterator, Iterable

import numpy

from egretthread import adminclient, operators
from egretthread_standins import checks, cluster
from egretthread_standins.checks import Check
from egretthread_standins.faults import audit
from egretthread_standins.faults.audit import CallResult
from egretthread_standins.faults.links import STOP_LIMIT_S
from egretthread_standins.faults.testbed import (
    BOTH,
    TASKS,
    Testbed,
    wait_for,
    wait_until,
)

# Longer than a lease, and than the time after which entries assume an outage.
SHORT_S = 5.0
LONG_S = 60.0
AROUND_S = 2.0
LONG_AROUND_S = 15.0
PERCENTILES = (50, 99)


@contextlib.asynccontextmanager
async def log_unavailable(testbed: Testbed) -> AsyncIterator[None]:
    """Makes the log service answer 503 in the context."""
    log = testbed.cluster.log
    await cluster.post_json(log, "/control", {"outage": True})
    try:
        yield
    finally:
        await cluster.post_json(log, "/control", {"outage": False})


@contextlib.contextmanager
def log_stalled(testbed: Testbed, names: Iterable[str]):
    """Stalls the connections of some entries to the log in the context."""
    relays = [testbed.cluster.log_relays[name] for name in names]
    for relay in relays:
        relay.stall(include_new=True)
    try:
        yield
    finally:
        for relay in relays:
            relay.resume()


def summarize_load(
    name: str, calls: list[CallResult], from_s: float, to_s: float
):
    """Returns the check that all calls begun in a period were complete."""
    begun = [call for call in calls if from_s <= call.began_s < to_s]
    complete = [call for call in begun if call.answer and call.answer.complete]
    if not complete:
        return Check(f"{name}: jobs", False, "none")
    responses_ms = [1000.0 * call.response_s for call in complete]
    p50, p99 = numpy.percentile(responses_ms, PERCENTILES)
    rate = len(complete) / (to_s - from_s)
    return Check(
        f"{name}: jobs",
        len(complete) == len(begun),
        f"{len(complete)} of {len(begun)} complete, {rate:.1f}/s,"
        f" response p50 {p50:.0f} ms p99 {p99:.0f} ms",
    )


async def outage(
    testbed: Testbed, length_s: float = SHORT_S, around_s: float = AROUND_S
) -> list[Check]:
    """Makes the log unavailable under load and submits a job meanwhile."""
    job = testbed.make_job()
    zone = testbed.cluster.layout.zones[0]
    async with testbed.load(*BOTH) as calls:
        began_s = time.time()
        await wait_until(began_s + around_s)
        async with log_unavailable(testbed):
            outage_began_s = time.time()
            answer = await testbed.submit_through("entry-1", job)
            withdrawal = await try_to_withdraw(testbed, zone)
            await wait_until(outage_began_s + length_s)
        outage_ended_s = time.time()
        await wait_until(outage_ended_s + around_s)
        ended_s = time.time()
    await testbed.settle()
    return [
        summarize_load("before", calls, began_s, outage_began_s),
        summarize_load("during", calls, outage_began_s, outage_ended_s),
        summarize_load("after", calls, outage_ended_s, ended_s),
        checks.equal(
            "job submitted during the outage",
            {"done": TASKS},
            audit.count_kinds(answer),
        ),
        checks.equal(
            "withdrawal during the outage", "log_unavailable", withdrawal
        ),
        checks.figure("outage", f"{outage_ended_s - outage_began_s:.1f} s"),
    ]


async def outage_60s(testbed: Testbed) -> list[Check]:
    """Makes the log unavailable for 60 s under load."""
    return await outage(testbed, LONG_S, LONG_AROUND_S)


async def try_to_withdraw(testbed: Testbed, zone: str) -> str:
    """Returns the kind of a withdrawal's error, or `published`."""
    try:
        await testbed.cluster.change(lambda c: operators.withdraw_zone(c, zone))
    except operators.LogUnavailableError as error:
        return error.kind
    return "published"


async def disconnect_one(testbed: Testbed) -> list[Check]:
    """Disconnects one entry from the log, then withdraws a zone."""
    running = testbed.cluster
    zone = running.layout.zones[0]
    disconnected_s = time.time()
    with log_stalled(testbed, ["entry-1"]):
        async with testbed.load("entry-1") as calls:
            await wait_until(disconnected_s + SHORT_S)
        still_s = time.time()
        async with testbed.load("entry-2"):
            withdrawn_s = time.time()
            await running.change(lambda c: operators.withdraw_zone(c, zone))
            refused_s = await testbed.wait_refusal("entry-1") - withdrawn_s
            await testbed.wait_start(
                lambda s: s.at_s > withdrawn_s + STOP_LIMIT_S,
                "starts after the limit",
            )
        last_s = (
            await testbed.last_start(lambda s: s.zone == zone) - withdrawn_s
        )
    await running.change(lambda c: operators.restore_zone(c, zone))
    await testbed.settle()
    return [
        summarize_load(
            "one entry disconnected", calls, disconnected_s, still_s
        ),
        checks.at_most(
            "its refusal after a change that it cannot read",
            STOP_LIMIT_S,
            refused_s,
            "s",
        ),
        checks.at_most(
            "last start in the withdrawn zone", STOP_LIMIT_S, last_s, "s"
        ),
    ]


async def disconnect_all(testbed: Testbed) -> list[Check]:
    """Disconnects all entries from a working log and withdraws a zone.

    To the entries this is an outage, so they continue to start tasks, also in
    the zone. The withdrawal takes effect only when an entry reaches the log
    again.
    """
    running = testbed.cluster
    zone = running.layout.zones[0]
    async with testbed.load(*BOTH) as calls:
        with log_stalled(testbed, BOTH):
            disconnected_s = time.time()
            await running.change(lambda c: operators.withdraw_zone(c, zone))
            await wait_until(disconnected_s + SHORT_S)
            late_s = (
                await testbed.last_start(lambda s: s.zone == zone)
                - disconnected_s
            )
        reconnected_s = time.time()
        await testbed.wait_start(
            lambda s: s.at_s > reconnected_s + STOP_LIMIT_S,
            "starts after the limit",
        )
        last_s = (
            await testbed.last_start(lambda s: s.zone == zone) - reconnected_s
        )
        await running.change(lambda c: operators.restore_zone(c, zone))
    await testbed.settle()
    return [
        summarize_load(
            "all entries disconnected", calls, disconnected_s, reconnected_s
        ),
        checks.figure(
            "last start in the zone while disconnected (not yet in force)",
            f"{late_s:.3f} s after publication",
        ),
        checks.at_most(
            "last start in the zone after the log is reachable again",
            STOP_LIMIT_S,
            last_s,
            "s",
        ),
    ]


async def stop_in_outage(testbed: Testbed) -> list[Check]:
    """Disconnects all entries with an organisation that stops in an outage."""
    running = testbed.cluster
    zone = running.layout.zones[0]
    await running.change(set_during_outage("stop"))
    async with testbed.load(*BOTH):
        await asyncio.gather(*(wait_config(testbed, name) for name in BOTH))
        with log_stalled(testbed, BOTH):
            disconnected_s = time.time()
            await running.change(lambda c: operators.withdraw_zone(c, zone))
            for name in BOTH:
                await testbed.wait_refusal(name)
            refused_s = time.time() - disconnected_s
            await wait_until(disconnected_s + SHORT_S)
            last_s = await testbed.last_start(lambda s: True) - disconnected_s
        await running.change(lambda c: operators.restore_zone(c, zone))
        await running.change(set_during_outage("continue"))
        await running.wait_ready()
    await testbed.settle()
    return [
        checks.at_most("both refuse", STOP_LIMIT_S, refused_s, "s"),
        checks.at_most("last start", STOP_LIMIT_S, last_s, "s"),
    ]


async def wait_config(testbed: Testbed, name: str) -> None:
    """Waits until the newest configuration is in force at an entry."""
    published = await operators.fetch(testbed.cluster.log_client)
    address = testbed.cluster.entries[name].addresses["admin"]

    async def is_in_force() -> bool:
        return await adminclient.is_in_force(address, published.offset)

    await wait_for(is_in_force, f"the configuration in force at {name}")


def set_during_outage(choice: str) -> operators.Edit:
    """Returns the edit that sets the organisation's `during_log_outage`."""

    def edit(configuration: operators.Configuration):
        organisation = configuration.organisation(cluster.ORGANISATION)
        changed = dataclasses.replace(organisation, during_log_outage=choice)
        return operators.put_organisation(configuration, changed)

    return edit
