"""Urgent kept jobs that wait are missing in the count of pending jobs."""

import asyncio
import os
import pathlib

import kit

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite import web

# Whether the disruption is played.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

JOBS = 12
WORK_S = 1.8
LONG_S = 14.0
OLD_S = 5.5  # visible_ms + 2 s, and a margin.
URGENT = {**sites.QUEUE, "name": "urgent", "path_prefix": "/urgent/"}
BULK = {**sites.QUEUE, "priority": 2}
FILLER = "00c0ffee000000f2"


def make(folder: pathlib.Path) -> kit.Site:
    """Returns the site."""
    return kit.Site(
        sites.SiteSettings(
            lambda task: LONG_S if task.startswith(FILLER) else WORK_S,
            folder,
            entries=3,
            agents=3,
        )
    )


async def pending(site: kit.Site, entry: str) -> int:
    """Number of pending jobs of the urgent queue that an entry tells."""
    status, table = await web.call(
        site.entries[entry], "GET", "/urgent/", None, {"Host": sites.HOST}
    )
    return table["pending_jobs"] if status == 200 else -1


async def play(site: kit.Site) -> int:
    """Plays the case."""
    site.configure(2, [BULK, URGENT])
    await asyncio.sleep(3.0)
    status, _ = await site.request(
        "entry-1",
        "POST",
        FILLER,
        sites.job(24, int(LONG_S * 1000)),
        prefix="/urgent/",
    )
    await site.wait_for(
        lambda: len(site.seen("start", FILLER)) == 24, 10.0, "the filler"
    )
    accepted = {}
    if HAS_TROUBLE:
        for number in range(JOBS):
            job = f"{number:016x}"
            status, _ = await site.request(
                "entry-2",
                "POST",
                job,
                sites.job(1, int(WORK_S * 1000)),
                prefix="/urgent/",
            )
            if status == 200:
                accepted[job] = site.now_s()
    end_s = site.now_s() + OLD_S + 2.0
    worst = None
    while site.now_s() < end_s:
        for entry in site.names:
            sent_s = site.now_s()
            told = await pending(site, entry)
            waiting = [
                job
                for job, at_s in accepted.items()
                if sent_s - at_s > OLD_S and not site.seen("start", job)
            ]
            site.log(
                "client", "pending", entry=entry, told=told, old=len(waiting)
            )
            if told >= 0 and told < len(waiting) / 2:
                worst = worst or (entry, told, len(waiting))
        await asyncio.sleep(0.2)
    return site.verdict(
        worst is not None,
        "MIXED",
        f"entry, jobs that it tells, jobs that wait for {OLD_S} s: {worst}",
    )


kit.run(__file__, make, play)
