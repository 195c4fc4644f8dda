"""Two runs of a task at once after a reassignment (see claim.txt)."""

import asyncio
import pathlib
import signal
import time

import joins3
import kit3

from egretthread_standins.platformsite import site as sites

ENTRIES, AGENTS = 3, 8
WORK_S = 8.0
# The old coordinator is killed so long after the reassignment, or earlier: so
# long after its last call to join. It would stop its runs by itself 2.3 s
# after that call.
KILL_S = 2.1
KILL_AFTER_JOIN_S = 2.18


def make_site(folder):
    """Returns the site."""
    return kit3.LabelledSite(
        sites.SiteSettings(lambda task: WORK_S, folder, ENTRIES, AGENTS)
    )


async def play(site):
    """Moves the partitions of a coordinator that is then killed."""
    joins = joins3.Joins(site, kit3.has_trouble())
    old, new = await joins.closest_pair()
    parts = [n for n in range(sites.PARTS) if site.member_of(old, n)]
    jobs = []
    for number in range(16):
        job = site.job_id(parts[number % len(parts)], 200 + number)
        status, _ = await site.request(
            site.names[number % ENTRIES],
            "POST",
            job,
            sites.job(2, int(1000 * WORK_S)),
        )
        if status != 200:
            raise sites.Unavailable("a job was not accepted")
        jobs.append(job)
    await asyncio.sleep(1.0)
    if not await joins.wait_for_move((old, new)):
        raise sites.Unavailable("no two entries join one after the other")
    if kit3.has_trouble():
        site.store.modes[old] = "busy"
    kill_s = min(
        joins.moved_s + KILL_S,
        joins.moved_s - joins.gap_s + KILL_AFTER_JOIN_S,
    )
    await asyncio.sleep(kill_s - time.monotonic())
    if kit3.has_trouble():
        site.signal(old, signal.SIGKILL)
        await asyncio.sleep(1.0)
        site.start_process(old)
    await asyncio.sleep(4.0)
    site.store.modes[old] = ""
    await asyncio.sleep(WORK_S + 4.0)
    return overlaps(site, joins.moved_s - site.begin_s)


def overlaps(site, moved_s: float) -> list[str]:
    """Returns the runs that began while another of the same task ran."""
    running, broken = {}, []
    for event in sorted(site.events, key=lambda each: each.at_s):
        task = event.fields.get("task")
        if event.what == "start":
            if task in running:
                since = running[task]
                broken.append([event, since, None])
            running[task] = event
        elif event.what in ("end", "run crashed"):
            since = running.get(task)
            if since is not None and since.who == event.who:
                del running[task]
            for row in broken:
                if (row[1].who, row[1].fields["task"]) == (event.who, task):
                    row[2] = row[2] or event
    return [
        f"TWICE: {event.fields['task']} started on {event.who} at"
        f" {event.at_s:.3f} s, {event.at_s - moved_s:.3f} s after the"
        f" reassignment; its run on {since.who} from {since.at_s:.3f} s went on"
        f" until {end.at_s if end else float('inf'):.3f} s"
        for event, since, end in broken
    ]


if __name__ == "__main__":
    kit3.main(make_site, play, pathlib.Path(__file__).resolve().parent)
