"""A kept job is never run after entries were added.

An agent keeps links with five entries. A coordinator without a link to an agent
whose backend server may run a job's task never starts the task.
"""

import asyncio
import pathlib

import kit

from egretthread.scheduling import linkchoice
from egretthread_standins.platformsite import site as sites

ENTRIES = 4
ADDED = 3
AGENTS = 11
WORK_S = 4.0
FINISH_S = 14.0
IDLE_S = 3.0


class Site(kit.Site):
    """A site with one backend server of kind b.

    Attributes:
        special: The agent of that backend server.
        without: Added entries that this agent won't have a link with.
    """

    special = ""
    without: tuple[str, ...] = ()


def make(folder: pathlib.Path) -> Site:
    """Returns the site."""
    site = Site(
        sites.SiteSettings(
            lambda task: WORK_S,
            folder,
            entries=ENTRIES,
            agents=AGENTS,
            spares=ADDED,
        )
    )
    site.use_store(kit.Store(sites.PARTS, site.log))
    addresses = {
        name: f"{site.hosts[name]}:{site.link_port}"
        for name in site.names + site.spare_names
    }
    for agent in site.agent_names:
        linked = linkchoice.choose(agent, addresses.values(), ())
        site.without = tuple(
            name for name in site.spare_names if addresses[name] not in linked
        )
        if site.without:
            site.special = agent
            break
    else:
        raise sites.Unavailable("all agents link with all added entries")
    site.kinds[site.special] = "b"
    return site


async def play(site: Site) -> int:
    """Plays the case."""
    site.log("check", "only one of kind b", agent=site.special)
    job = site.job_id(0, 0xC0FFEE)
    entry = site.names[0]
    status, _ = await site.request(
        entry,
        "POST",
        job,
        sites.job(1, int(WORK_S * 1000), required_label="b"),
    )
    if status != 200:
        raise sites.Unavailable(f"the job was answered {status}")
    await site.wait_for(lambda: site.seen("start", job), 10.0, "a start")
    if kit.has_trouble():
        site.store.wanted[0] = site.without[0]
        for name in site.spare_names:
            site.start_process(name)
    server = site.servers[site.special]
    end_s = site.now_s() + WORK_S + FINISH_S + 2 * IDLE_S
    state, idle_since_s, idle_s = "", None, 0.0
    while state != "completed" and site.now_s() < end_s:
        state = await site.state(entry, job)
        if server.runs or state == "completed":
            idle_since_s = None
        elif idle_since_s is None:
            idle_since_s = site.now_s()
        else:
            idle_s = max(idle_s, site.now_s() - idle_since_s)
        await asyncio.sleep(0.3)
    return site.verdict(
        state != "completed" and idle_s > FINISH_S + IDLE_S,
        "LOST",
        f"the job is shown as {state!r}; nothing of it was running for"
        f" {idle_s:.1f} s, while its backend server was empty",
    )


kit.run(__file__, make, play)
