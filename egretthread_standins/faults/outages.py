"""Scenes in which the log is out, or out of reach of some entries."""

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
from egretthread_standins.faults.audit import Told
from egretthread_standins.faults.links import STOP_LIMIT_S
from egretthread_standins.faults.stage import (
    BOTH,
    TASKS,
    Stage,
    wait_for,
    wait_until,
)

# Longer than a lease and the time after which an outage is believed.
SHORT_S = 5.0
LONG_S = 60.0
AROUND_S = 2.0
LONG_AROUND_S = 15.0
PERCENTILES = (50, 99)


@contextlib.asynccontextmanager
async def log_out(stage: Stage) -> AsyncIterator[None]:
    """Takes the log out and brings it back."""
    log = stage.cluster.log
    await cluster.post_json(log, "/control", {"outage": True})
    try:
        yield
    finally:
        await cluster.post_json(log, "/control", {"outage": False})


@contextlib.contextmanager
def log_unreachable(stage: Stage, names: Iterable[str]):
    """Silences the paths of some entries to the log, then resumes them."""
    relays = [stage.cluster.log_relays[name] for name in names]
    for relay in relays:
        relay.stall(include_new=True)
    try:
        yield
    finally:
        for relay in relays:
            relay.resume()


def work_figure(name: str, told: list[Told], from_s: float, to_s: float):
    """Returns what was answered of the calls that began within a time."""
    within = [t for t in told if from_s <= t.began_s < to_s]
    done = [t for t in within if t.answer and t.answer.complete]
    if not done:
        return Check(f"{name}: jobs", False, "none")
    times_ms = [1000.0 * t.response_s for t in done]
    p50, p99 = numpy.percentile(times_ms, PERCENTILES)
    rate = len(done) / (to_s - from_s)
    return Check(
        f"{name}: jobs",
        len(done) == len(within),
        f"{len(done)} of {len(within)} complete, {rate:.1f}/s,"
        f" response p50 {p50:.0f} ms p99 {p99:.0f} ms",
    )


async def outage(
    stage: Stage, length_s: float = SHORT_S, around_s: float = AROUND_S
) -> list[Check]:
    """Takes the log out for a while under load and amid a job."""
    job = stage.make_job()
    zone = stage.cluster.layout.zones[0]
    async with stage.load(*BOTH) as told:
        began_s = time.time()
        await wait_until(began_s + around_s)
        async with log_out(stage):
            out_s = time.time()
            answer = await stage.submit_through("entry-1", job)
            withdrawal = await try_to_withdraw(stage, zone)
            await wait_until(out_s + length_s)
        back_s = time.time()
        await wait_until(back_s + around_s)
        ended_s = time.time()
    await stage.settle()
    return [
        work_figure("before", told, began_s, out_s),
        work_figure("during", told, out_s, back_s),
        work_figure("after", told, back_s, ended_s),
        checks.equal(
            "job begun in the outage", {"done": TASKS}, audit.kinds(answer)
        ),
        checks.equal("withdrawal in the outage", "log_unavailable", withdrawal),
        checks.figure("outage", f"{back_s - out_s:.1f} s"),
    ]


async def outage_60s(stage: Stage) -> list[Check]:
    """Takes the log out for 60 s under load."""
    return await outage(stage, LONG_S, LONG_AROUND_S)


async def try_to_withdraw(stage: Stage, zone: str) -> str:
    """Returns the kind of the error with which a withdrawal fails."""
    try:
        await stage.cluster.change(lambda c: operators.withdraw_zone(c, zone))
    except operators.LogUnavailableError as error:
        return error.kind
    return "published"


async def one_cut_off(stage: Stage) -> list[Check]:
    """Cuts one entry off from the log; then a zone is withdrawn."""
    running = stage.cluster
    zone = running.layout.zones[0]
    cut_s = time.time()
    with log_unreachable(stage, ["entry-1"]):
        async with stage.load("entry-1") as told:
            await wait_until(cut_s + SHORT_S)
        still_s = time.time()
        async with stage.load("entry-2"):
            withdrawn_s = time.time()
            await running.change(lambda c: operators.withdraw_zone(c, zone))
            refused_s = await stage.wait_refusal("entry-1") - withdrawn_s
            await stage.wait_start(
                lambda s: s.at_s > withdrawn_s + STOP_LIMIT_S,
                "work past the limit",
            )
        last_s = await stage.last_start(lambda s: s.zone == zone) - withdrawn_s
    await running.change(lambda c: operators.restore_zone(c, zone))
    await stage.settle()
    return [
        work_figure("one entry cut off", told, cut_s, still_s),
        checks.at_most(
            "its refusal after a change it can't read",
            STOP_LIMIT_S,
            refused_s,
            "s",
        ),
        checks.at_most(
            "last start in the withdrawn zone", STOP_LIMIT_S, last_s, "s"
        ),
    ]


async def all_cut_off(stage: Stage) -> list[Check]:
    """Cuts all entries off from a log that lives; a zone is withdrawn.

    To the entries this is an outage, so work goes on, also in the zone: the
    withdrawal is in force only when an entry reaches the log again.
    """
    running = stage.cluster
    zone = running.layout.zones[0]
    async with stage.load(*BOTH) as told:
        with log_unreachable(stage, BOTH):
            cut_s = time.time()
            await running.change(lambda c: operators.withdraw_zone(c, zone))
            await wait_until(cut_s + SHORT_S)
            late_s = await stage.last_start(lambda s: s.zone == zone) - cut_s
        healed_s = time.time()
        await stage.wait_start(
            lambda s: s.at_s > healed_s + STOP_LIMIT_S, "work past the limit"
        )
        last_s = await stage.last_start(lambda s: s.zone == zone) - healed_s
        await running.change(lambda c: operators.restore_zone(c, zone))
    await stage.settle()
    return [
        work_figure("all entries cut off", told, cut_s, healed_s),
        checks.figure(
            "last start in the zone while cut off (withdrawal gives way)",
            f"{late_s:.3f} s after publication",
        ),
        checks.at_most(
            "last start in the zone after the path is back",
            STOP_LIMIT_S,
            last_s,
            "s",
        ),
    ]


async def stop_in_outage(stage: Stage) -> list[Check]:
    """Cuts all entries off while the organisation asks to stop then."""
    running = stage.cluster
    zone = running.layout.zones[0]
    await running.change(set_during_outage("stop"))
    async with stage.load(*BOTH):
        await asyncio.gather(*(wait_stop(stage, name) for name in BOTH))
        with log_unreachable(stage, BOTH):
            cut_s = time.time()
            await running.change(lambda c: operators.withdraw_zone(c, zone))
            for name in BOTH:
                await stage.wait_refusal(name)
            refused_s = time.time() - cut_s
            await wait_until(cut_s + SHORT_S)
            last_s = await stage.last_start(lambda s: True) - cut_s
        await running.change(lambda c: operators.restore_zone(c, zone))
        await running.change(set_during_outage("continue"))
        await running.wait_ready()
    await stage.settle()
    return [
        checks.at_most("both refuse", STOP_LIMIT_S, refused_s, "s"),
        checks.at_most("last start", STOP_LIMIT_S, last_s, "s"),
    ]


async def wait_stop(stage: Stage, name: str) -> None:
    """Waits until an entry has the newest configuration in force."""
    published = await operators.fetch(stage.cluster.log_client)
    address = stage.cluster.entries[name].addresses["admin"]

    async def is_in_force() -> bool:
        return await adminclient.is_in_force(address, published.offset)

    await wait_for(is_in_force, f"the configuration in force at {name}")


def set_during_outage(choice: str) -> operators.Edit:
    """Returns the edit that sets what the organisation does in an outage."""

    def edit(configuration: operators.Configuration):
        row = configuration.organisation(cluster.ORGANISATION)
        changed = dataclasses.replace(row, during_log_outage=choice)
        return operators.put_organisation(configuration, changed)

    return edit
