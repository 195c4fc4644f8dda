"""A task of a kept job starts again after its run has ended `done`.

The coordinator loses power. The end is held by an agent without a link to its
successor, which starts the task again. When the first entry is back and gets
the partition again, it accepts the end of the first run.
"""

import asyncio
import os
import pathlib
import signal
import time

import kit

from egretthread.scheduling import linkchoice
from egretthread_standins.platformsite import site as sites

# Whether the disruption is played.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ENTRIES = 7
AGENTS = 4
HOLDER = "agent-1"
WORK_S = 5.0
FILLER_S = 30.0
LEAD_S = 0.15
DARK_S = 5.0
PHASE_S = 0.48
FILLER = "00c0ffee000000f1"


def make(folder: pathlib.Path) -> kit.Site:
    """Returns the site."""
    site = kit.Site(
        sites.SiteSettings(
            lambda task: FILLER_S if task.startswith(FILLER) else WORK_S,
            folder,
            entries=ENTRIES,
            agents=AGENTS,
            racks=("r1-1", "r1-2", "r1-2", "r1-2"),
        )
    )
    site.kinds[HOLDER] = "b"
    hosts = list(site.hosts.values())
    ports = {
        site.front_port,
        site.ready_port,
        site.control_port,
        site.metrics_port,
        site.app_port,
        site.store_port,
    }
    while not all_are_linked(site):
        site.link_port = sites.free_port(hosts, ports)
    site.use_store(kit.Store(sites.PARTS, site.log))
    return site


def all_are_linked(site: kit.Site) -> bool:
    """Whether each entry will have a link, without which it is not ready."""
    addresses = [f"{site.hosts[n]}:{site.link_port}" for n in site.names]
    linked = set()
    for agent in site.agent_names:
        linked.update(linkchoice.choose(agent, addresses, ()))
    return linked == set(addresses)


async def lose_power(site: kit.Site, name: str) -> None:
    """Takes an entry away for a time."""
    site.signal(name, signal.SIGKILL)
    await site.wait_for_end(name, 5.0)
    await asyncio.sleep(DARK_S)
    site.start_process(name)


async def wait_for_phase(site: kit.Site, name: str) -> None:
    """Waits so that the run ends shortly before an entry's next renewal.

    Its membership then expires about 2 s after it has lost power.
    """
    joins = site.store.joins[name]
    period_s = (joins[-1] - joins[-6]) / 5
    end_s = time.monotonic() + WORK_S - LEAD_S
    phase_s = (end_s - joins[-1]) % period_s
    await asyncio.sleep((PHASE_S - phase_s) % period_s)


async def play(site: kit.Site) -> int:
    """Plays the case."""
    addresses = {
        name: f"{site.hosts[name]}:{site.link_port}" for name in site.names
    }
    names = {address: name for name, address in addresses.items()}
    linked = [
        names[a] for a in linkchoice.choose(HOLDER, addresses.values(), ())
    ]
    ranked = linked + [
        names[a]
        for a in linkchoice.choose(
            HOLDER, addresses.values(), [addresses[n] for n in linked]
        )
        if names[a] not in linked
    ]
    second = next(n for n in site.names if n not in linked and n != ranked[5])
    first = next(
        n
        for n in linked
        if any(site.member_of(n, p) for p in range(sites.PARTS))
    )
    caller_entry, filler_entry = [n for n in linked if n != first][:2]
    part = next(p for p in range(sites.PARTS) if site.member_of(first, p))
    job = site.job_id(part, 0xC0FFEE)
    site.log("check", "coordinators", part=part, names=[first, second])
    filling = asyncio.create_task(
        site.request(
            filler_entry,
            "POST",
            FILLER,
            sites.job(1, int(FILLER_S * 1000), kept=False, required_label="b"),
            deadline_ms=60000,
        )
    )
    await site.wait_for(lambda: site.seen("start", FILLER), 10.0, "the filler")
    await wait_for_phase(site, first)
    status, _ = await site.request(
        caller_entry,
        "POST",
        job,
        sites.job(1, int(WORK_S * 1000), data_rack="r1-1"),
    )
    if status != 200:
        raise sites.Unavailable(f"the job was answered {status}")
    await site.wait_for(lambda: site.seen("start", job), 10.0, "a start")
    start = site.seen("start", job)[0]
    if start.fields["agent"] != HOLDER:
        raise sites.Unavailable("the task was not placed near its data")
    await asyncio.sleep(start.at_s + WORK_S - LEAD_S - site.now_s())
    if HAS_TROUBLE:
        site.store.wanted[part] = second
        power = asyncio.create_task(lose_power(site, first))
        await asyncio.sleep(DARK_S - 1.0)
        site.store.wanted[part] = first
        await power
    end_s = site.now_s() + 12.0
    state = ""
    while state != "completed" and site.now_s() < end_s:
        await asyncio.sleep(0.3)
        state = await site.state(caller_entry, job)
    await asyncio.sleep(1.0)
    filling.cancel()
    noted = {
        (e.who, e.fields["run"])
        for e in site.seen("end noted", job)
        if e.fields["how"] == "done" and not e.fields["lapsed"]
    }
    done_s = min(
        (
            e.at_s
            for e in site.seen("end", job)
            if e.fields["how"] == "done" and (e.who, e.fields["run"]) in noted
        ),
        default=float("inf"),
    )
    later = [e for e in site.seen("start", job) if e.at_s > done_s]
    return site.verdict(
        bool(later),
        "TWICE",
        f"a run ended done at {done_s:.3f} s, which was taken note of;"
        f" starts after it: {[f'{e.at_s:.3f}' for e in later]}; the job is"
        f" shown as {state!r}",
    )


kit.run(__file__, make, play)
