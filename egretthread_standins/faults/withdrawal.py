"""Scenes in which operators take zones and backend servers out."""

import time

from egretthread import operators
from egretthread_standins import checks
from egretthread_standins.checks import Check
from egretthread_standins.faults.links import STOP_LIMIT_S
from egretthread_standins.faults.outages import work_figure
from egretthread_standins.faults.stage import BOTH, Stage, wait_until

AROUND_S = 2.0


async def take_out(stage: Stage, what: str, is_out, out, back) -> list[Check]:
    """Takes something out under load and brings it back.

    Args:
        stage: The stage.
        what: Names what is taken out.
        is_out: Whether a start was there.
        out: Edit that takes it out.
        back: Edit that brings it back.
    """
    running = stage.cluster
    async with stage.load(*BOTH) as told:
        await stage.wait_start(is_out, f"work in {what}")
        began_s = time.time()
        await wait_until(began_s + AROUND_S)
        out_s = time.time()
        await running.change(out)
        await stage.wait_start(
            lambda s: s.at_s > out_s + STOP_LIMIT_S + 1.0, "work elsewhere"
        )
        last_s = await stage.last_start(is_out) - out_s
        back_s = time.time()
        await running.change(back)
        first = await stage.wait_start(
            lambda s: is_out(s) and s.at_s > back_s, f"work back in {what}"
        )
        await wait_until(back_s + AROUND_S)
        ended_s = time.time()
    await stage.settle()
    return [
        checks.at_most(f"last start in {what}", STOP_LIMIT_S, last_s, "s"),
        checks.figure(
            f"first start in {what} after its return",
            f"{first.at_s - back_s:.3f} s",
        ),
        work_figure("before", told, began_s, out_s),
        work_figure("while out", told, out_s, back_s),
        work_figure("after", told, back_s, ended_s),
    ]


async def withdraw_zone(stage: Stage) -> list[Check]:
    """Withdraws a zone under load and restores it."""
    zone = stage.cluster.layout.zones[1]
    return await take_out(
        stage,
        "the withdrawn zone",
        lambda start: start.zone == zone,
        lambda c: operators.withdraw_zone(c, zone),
        lambda c: operators.restore_zone(c, zone),
    )


async def drain_server(stage: Stage) -> list[Check]:
    """Drains one backend server under load and takes it back."""
    worker = stage.cluster.workers[2]
    agent = worker.agent.name
    return await take_out(
        stage,
        "the drained backend server",
        lambda start: start.worker == worker.name,
        lambda c: operators.drain_server(c, agent),
        lambda c: operators.undrain_server(c, agent),
    )
