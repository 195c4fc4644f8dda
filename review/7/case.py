"""One failed run of a kept job is counted twice.

The coordinator of the job is partitioned from the store while it writes that a
run has failed: the store has the record, but the coordinator does not learn it.
"""

import asyncio
import os
import pathlib
import zlib

import kit

from egretthread_standins.platformsite import site as sites

# Whether the disruption is played.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Longer than an entry holds a partition that it can no longer renew.
WORK_S = 4.0
CUT_S = 5.5
# How long requests over connections that were open before the cut still arrive.
OPEN_S = 0.7
LEAD_S = 0.15
JOB = "00c0ffee00000002"
QUEUE = {**sites.QUEUE, "max_attempts": 2}


def make(folder: pathlib.Path) -> kit.Site:
    """Returns the site."""
    site = kit.Site(
        sites.SiteSettings(lambda task: WORK_S, folder, entries=3, agents=3)
    )
    # The first run of the task fails, later ones do their work.
    site.fails = lambda task: (
        not [e for e in site.seen("end", JOB) if e.fields["how"] == "failed"]
    )
    return site


async def cut(site: kit.Site, entry: str) -> None:
    """Partitions an entry from the store, one way: no answers come back."""
    site.log("operator", "cut from the store, one way", name=entry)
    site.store.modes[entry] = "lost"
    await asyncio.sleep(OPEN_S)
    site.store.modes[entry] = "silent"
    await asyncio.sleep(CUT_S - OPEN_S)
    site.store.modes[entry] = ""
    site.log("operator", "cut healed", name=entry)


async def play(site: kit.Site) -> int:
    """Plays the case."""
    site.configure(2, [QUEUE])
    await asyncio.sleep(3.0)
    part = zlib.crc32(JOB.encode()) % sites.PARTS
    owner = site.store.owner(part).partition("#")[0]
    other = next(name for name in site.names if name != owner)
    status, _ = await site.request(
        other, "POST", JOB, sites.job(1, int(WORK_S * 1000))
    )
    if status != 200:
        raise sites.Unavailable(f"the job was answered {status}")
    await site.wait_for(lambda: site.seen("start", JOB), 10.0, "a start")
    start = site.seen("start", JOB)[0]
    cutting = None
    await asyncio.sleep(start.at_s + WORK_S - LEAD_S - site.now_s())
    if HAS_TROUBLE:
        cutting = asyncio.create_task(cut(site, owner))
    state = ""
    end_s = site.now_s() + 25.0
    while state not in ("completed", "failed", "cancelled"):
        if site.now_s() > end_s:
            break
        await asyncio.sleep(0.3)
        state = await site.state(other, JOB)
    failed = [e for e in site.seen("end", JOB) if e.fields["how"] == "failed"]
    if cutting:
        await cutting
    return site.verdict(
        state == "failed" and len(failed) < QUEUE["max_attempts"],
        "LOST",
        f"the job is shown as {state!r}; {len(failed)} of its runs ended"
        f" failed, {QUEUE['max_attempts']} may",
    )


kit.run(__file__, make, play)
