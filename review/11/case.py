"""Two runs of a task at once after a reassignment (see claim.txt)."""

import asyncio
import pathlib
import random
import signal
import time

import kit3

from egretthread_standins.platformsite import site as sites

ENTRIES, AGENTS = 3, 8
WORK_S = 8.0
# The old coordinator is killed so long after the reassignment, or earlier: so
# long after its last call to join. It would stop its runs by itself 2.3 s
# after that call.
KILL_S = 2.1
KILL_AFTER_JOIN_S = 2.18
# Longest time between that call and the first call of the new coordinator.
MAX_GAP_S = 0.25
WAIT_S = 20.0
# Time between two joins of an entry, the gap that is sought, and how often.
JOIN_PERIOD_S = 0.606
ALIGNED_S = 0.09
ALIGN_TRIES = 4


class Joins:
    """Sees the joins at the store, and moves all partitions at one of them."""

    def __init__(self, site):
        self.site = site
        self.last_s: dict[str, float] = {}
        self.pair: tuple[str, str] | None = None
        self.moved_s = 0.0
        self.kill_s = 0.0
        self.on_join = site.store._on_join
        site.store._on_join = self.join

    async def join(self, machine, request):
        """Answers a join; before it, moves the partitions if it is time."""
        now_s = time.monotonic()
        if self.pair and not self.moved_s and machine == self.pair[1]:
            gap_s = now_s - self.last_s.get(self.pair[0], 0.0)
            if gap_s < MAX_GAP_S:
                self.moved_s = now_s
                self.kill_s = min(
                    now_s + KILL_S, now_s - gap_s + KILL_AFTER_JOIN_S
                )
                if kit3.has_trouble():
                    self.move(gap_s)
        self.last_s[machine] = now_s
        return await self.on_join(machine, request)

    def move(self, gap_s):
        """Reassigns all partitions, and turns the old coordinator away."""
        old, new = self.pair
        (group,) = self.site.store.groups.values()
        members = {name.partition("#")[0]: name for name in group.members}
        (third,) = members.keys() - {old, new}
        after = {old: new, new: third, third: old}
        group.generation += 1
        for part, name in group.target.items():
            target = members[after[name.partition("#")[0]]]
            group.target[part] = group.owner[part] = target
        self.site.store.modes[old] = "busy"
        self.site.log(
            "platform",
            "all partitions reassigned",
            old=old,
            new=new,
            last_join_before_s=f"{gap_s:.3f}",
        )


def make_site(folder):
    """Returns the site."""
    return kit3.LabelledSite(
        sites.SiteSettings(lambda task: WORK_S, folder, ENTRIES, AGENTS)
    )


async def closest_pair(site, joins) -> tuple[str, str]:
    """Returns two entries of which one joins shortly after the other.

    If there are none, an entry is restarted before any job is submitted.
    """
    for _ in range(ALIGN_TRIES):
        await asyncio.sleep(1.5)
        at_s = joins.last_s
        gaps = {
            (at_s[b] - at_s[a]) % JOIN_PERIOD_S: (a, b)
            for a in site.names
            for b in site.names
            if a != b
        }
        if min(gaps) < ALIGNED_S:
            break
        name = site.names[-1]
        site.signal(name, signal.SIGTERM)
        await site.wait_for_end(name, 8.0)
        await asyncio.sleep(random.uniform(0.0, JOIN_PERIOD_S))
        site.start_process(name)
        await asyncio.sleep(6.0)
    return gaps[min(gaps)]


async def play(site):
    """Moves the partitions of a coordinator that is then killed."""
    joins = Joins(site)
    old, new = await closest_pair(site, joins)
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
    joins.pair = (old, new)
    end_s = time.monotonic() + WAIT_S
    while not joins.moved_s:
        if time.monotonic() > end_s:
            raise sites.Unavailable("no two entries join one after the other")
        await asyncio.sleep(0.01)
    await asyncio.sleep(joins.kill_s - time.monotonic())
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
