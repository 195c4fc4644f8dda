"""A task starts again after its run ended done (see claim.txt)."""

import asyncio
import pathlib
import time

import joins3
import kit3

from egretthread_standins.platformsite import site as sites

ENTRIES, AGENTS = 3, 6
TASK_S, LONG_S = 0.05, 25.0
LONG_JOBS = 24
# Tasks of each job that is looked at.
TASKS = 6
# Seconds after the reassignment: a job that the new coordinator reads, begin
# and end of the store's silence towards it, and the jobs that are looked at.
READ_S, SILENT_S, JOBS_S, SERVES_S = 0.40, 0.46, 0.48, 1.30


def work_s(task: str) -> float:
    """Returns how long a task works; those of jobs 0x100 and up are long."""
    return LONG_S if task.startswith("0001") else TASK_S


def make_site(folder):
    """Returns the site."""
    return kit3.LabelledSite(
        sites.SiteSettings(work_s, folder, ENTRIES, AGENTS, server_cpu=(16000,))
    )


async def submit(site, entry: str, job: str, tasks: int) -> str:
    """Submits a kept job; returns its id if it was accepted."""
    status, _ = await site.request(entry, "POST", job, sites.job(tasks, 50))
    return job if status == 200 else ""


async def until(joins, after_s: float) -> None:
    """Waits until some time after the reassignment."""
    await asyncio.sleep(max(0.0, joins.moved_s + after_s - time.monotonic()))


async def play(site):
    """Moves partitions to an entry that the store is silent for meanwhile."""
    joins = joins3.Joins(site, kit3.has_trouble())
    old, new = await joins.closest_pair()
    (third,) = set(site.names) - {old, new}
    parts = [n for n in range(sites.PARTS) if site.member_of(old, n)]
    # Other work, which keeps the leases of all servers alive.
    others = [
        asyncio.create_task(
            site.request(
                site.names[number % ENTRIES],
                "POST",
                f"{256 + number:06x}0000000000",
                sites.job(1, int(1000 * LONG_S), kept=False),
                60_000,
            )
        )
        for number in range(LONG_JOBS)
    ]
    await asyncio.sleep(2.0)
    if not await joins.wait_for_move((old, new)):
        raise sites.Unavailable("no two entries join one after the other")
    await until(joins, READ_S)
    await asyncio.gather(
        *(submit(site, third, site.job_id(p, 384 + p), 1) for p in parts)
    )
    await until(joins, SILENT_S)
    if kit3.has_trouble():
        site.store.modes[new] = "silent"
        site.log("platform", "the store is silent for", entry=new)
    await until(joins, JOBS_S)
    jobs = await asyncio.gather(
        *(submit(site, third, site.job_id(p, 768 + p), TASKS) for p in parts)
    )
    await until(joins, SERVES_S)
    site.store.modes[new] = ""
    site.log("platform", "the store serves all")
    if not all(jobs):
        raise sites.Unavailable("a job was not accepted")
    await asyncio.sleep(10.0)
    broken = started_again(site, jobs)
    for each in others:
        each.cancel()
    await asyncio.wait(others)
    return broken


def started_again(site, jobs) -> list[str]:
    """Returns the starts after an end `done` that is taken note of."""
    ends, noted = {}, set()
    for event in site.events:
        fields = event.fields
        key = (event.who, fields.get("task"), fields.get("run"))
        if event.what == "end" and fields["how"] == "done":
            ends[key] = event.at_s
        elif event.what == "end noted" and not fields["lapsed"]:
            noted.add(key)
    return [
        f"TWICE: {event.fields['task']} started on {event.who} at"
        f" {event.at_s:.3f} s, though its run on {server} ended done at"
        f" {at_s:.3f} s; that end is taken note of, and no lease has lapsed"
        for event in site.events
        if event.what == "start"
        for (server, task, run), at_s in ends.items()
        if task == event.fields["task"]
        and at_s < event.at_s
        and (server, task, run) in noted
        and task.partition(".")[0] in jobs
    ]


if __name__ == "__main__":
    kit3.main(make_site, play, pathlib.Path(__file__).resolve().parent)
