"""A backend server that goes down and up by turns fails a sound kept job."""

import asyncio
import pathlib

import kit

from egretthread_standins.platformsite import site as sites

WORK_S = 5.0
AGE_S = 1.5
AGENTS = 7
FLAPPING = "agent-7"
PERIOD_S = 1.4
FLAP_S = 6.5
JOB = "00c0ffee00000001"


def make(folder: pathlib.Path) -> kit.Site:
    """Returns the site."""
    site = kit.Site(
        sites.SiteSettings(
            lambda task: WORK_S, folder, entries=2, agents=AGENTS
        )
    )
    site.kinds[FLAPPING] = "b"
    return site


async def flap(site: kit.Site) -> None:
    """Takes the backend server down and up by turns."""
    end_s = site.now_s() + FLAP_S
    while site.now_s() < end_s:
        site.log("operator", "backend server goes down", name=FLAPPING)
        await site.servers[FLAPPING].close()
        await asyncio.sleep(PERIOD_S / 2)
        site.log("operator", "backend server comes up", name=FLAPPING)
        await site.start_server(FLAPPING, f"i-{site.starts + 1:08x}")
        await asyncio.sleep(PERIOD_S / 2)


async def play(site: kit.Site) -> int:
    """Plays the case."""
    status, _ = await site.request(
        "entry-1",
        "POST",
        JOB,
        sites.job(1, int(WORK_S * 1000), required_label="b"),
    )
    if status != 200:
        raise sites.Unavailable(f"the job was answered {status}")
    await site.wait_for(lambda: site.seen("start", JOB), 10.0, "a start")
    await asyncio.sleep(AGE_S)
    flapping = asyncio.create_task(flap(site)) if kit.has_trouble() else None
    state = ""
    end_s = site.now_s() + FLAP_S + 20.0
    while state not in ("completed", "failed", "cancelled"):
        if site.now_s() > end_s:
            break
        await asyncio.sleep(0.3)
        state = await site.state("entry-2", JOB)
    if flapping:
        await flapping
    failed = [e for e in site.seen("end", JOB) if e.fields["how"] == "failed"]
    allowed = sites.QUEUE["max_attempts"]
    return site.verdict(
        state == "failed" and len(failed) < allowed,
        "LOST",
        f"the job is shown as {state!r}; {len(failed)} of its runs ended"
        f" failed, {allowed} may",
    )


kit.run(__file__, make, play)
