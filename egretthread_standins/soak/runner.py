"""Plays one soak run and judges it."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import shutil
import time

from egretthread_standins.platformsite import site as sites
from egretthread_standins.soak import (
    breaks,
    callers,
    disturbances,
    jobrules,
    oracle,
    scenario,
)
from egretthread_standins.soak.breaks import Break
from egretthread_standins.soak.disturbances import Play

SUBMITTERS = 24
# The stand-ins share one event loop. If it is late by this much, the store and
# the backend servers were slow.
LATE_S = 0.25
TICK_S = 0.05
CALM_S = 6.0
FINISH_S = 14.0
FINISH_PAUSE_S = 0.3
# Breaks of a rule with which the events that led to them are kept.
EXPLAINED = 10


@dataclasses.dataclass(frozen=True)
class SoakSettings:
    """Settings of one run.

    Attributes:
        seed: Seed of all draws.
        seconds: How long disturbances go on.
        entries: Number of entries.
        agents: Number of agents.
        without: Names of disturbances, or of what callers do, that are left
            out.
        folder: Folder that gets a folder for the seed if a rule is broken.
    """

    seed: int
    seconds: float
    entries: int
    agents: int
    without: frozenset[str]
    folder: pathlib.Path


async def run(settings: SoakSettings) -> list[Break]:
    """Plays a run; keeps its events and logs if a rule was broken."""
    folder = settings.folder / str(settings.seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    site = sites.Site(
        sites.SiteSettings(
            callers.work_s,
            folder.resolve(),
            settings.entries,
            settings.agents,
            keep_logs=True,
        )
    )
    begin_s = time.monotonic()
    failed = []
    try:
        await site.start()
        await _play(settings, site)
    except sites.Unavailable as error:
        failed = [Break("FAULT", site.now_s(), f"could not start: {error}")]
    finally:
        await site.close()
    broken = oracle.judge(site.events) + failed
    _report(settings, site, broken, time.monotonic() - begin_s)
    if not broken:
        shutil.rmtree(folder)
    return broken


def _report(
    settings: SoakSettings,
    site: sites.Site,
    broken: list[Break],
    took_s: float,
) -> None:
    """Prints the verdict and what led to the first break of each rule.

    All breaks, and what led to the first ones of each rule, are written to the
    run's folder.
    """
    folder = site.settings.folder
    counts = collections.Counter(event.what for event in site.events)
    rules = collections.Counter(each.rule for each in broken)
    lines = [
        f"seed {settings.seed}: {dict(rules) or 'no rule broken'}; disturbances"
        f" {counts['begin']}, configurations {counts['configuration']}, starts"
        f" {counts['start']}, submissions {counts['POST']}, queue answers"
        f" {counts['GET queue']}; {took_s:.0f} s"
    ]
    written = [breaks.headline(each) for each in broken]
    for rule in rules:
        found = [each for each in broken if each.rule == rule]
        lines += breaks.explain(found[0], site.events)
        for each in found[:EXPLAINED]:
            written += breaks.explain(each, site.events)
    if broken:
        without = ",".join(sorted(settings.without))
        lines.append(
            f"seed {settings.seed}: kept in {folder}; again: make soak"
            f" SEED={settings.seed} SECONDS={settings.seconds:g}"
            f" WITHOUT={without}"
        )
    print("\n".join(lines), flush=True)
    (folder / "broken.txt").write_text("\n".join(written))


async def _play(settings: SoakSettings, site: sites.Site) -> None:
    rng = random.Random(settings.seed)
    shares = callers.Shares().without(settings.without)
    submitters = [
        callers.Submitter(site, rng.getrandbits(32), shares)
        for _ in range(SUBMITTERS)
    ]
    watchers = [
        callers.Watcher(site, entry, rng.getrandbits(32), shares, is_new)
        for entry in site.names
        for is_new in (False, True)
    ]
    submitting = [asyncio.create_task(each.run()) for each in submitters]
    watching = [asyncio.create_task(each.run()) for each in watchers]
    watching.append(asyncio.create_task(_watch_loop(site)))
    play = Play(site)
    steps = scenario.draw(
        settings.seed,
        settings.seconds,
        [k for k in disturbances.KINDS if k.name not in settings.without],
        site.names,
        site.agent_names,
    )
    begin_s = site.now_s()
    acting = []
    for step in steps:
        await asyncio.sleep(begin_s + step.at_s - site.now_s())
        action = disturbances.ACTIONS[step.kind](play, step)
        acting.append(asyncio.create_task(action))
    await asyncio.sleep(begin_s + settings.seconds - site.now_s())
    await asyncio.gather(*acting)
    await asyncio.sleep(CALM_S)
    for each in submitters:
        each.stopped = True
    await asyncio.gather(*submitting)
    await _finish(site, submitters[0])
    for name, process in site.processes.items():
        if process.poll() is not None:
            site.log("operator", "ended by itself", name=name)
    for task in watching:
        task.cancel()
    await asyncio.wait(watching)
    for task in watching:
        if not task.cancelled():
            task.result()
    for each in (*submitters, *watchers):
        each.close()


async def _finish(site: sites.Site, caller: callers.Caller) -> None:
    """Asks for all kept jobs until they have ended, or for FINISH_S."""
    jobs = {
        event.fields["job"]
        for event in site.events
        if event.what == "POST"
        and event.fields["kept"]
        and event.fields["status"] == 200
    }
    end_s = site.now_s() + FINISH_S
    while jobs and site.now_s() < end_s:
        for job in sorted(jobs):
            entry = caller.rng.choice(site.names)
            if await caller.ask(job, entry) in jobrules.FINAL_STATES:
                jobs.discard(job)
        await asyncio.sleep(FINISH_PAUSE_S)
    site.log("caller", "finish over", open=sorted(jobs))


async def _watch_loop(site: sites.Site) -> None:
    """Reports when the stand-ins were late, as a disturbance of the store."""
    number = 0
    while True:
        before_s = site.now_s()
        await asyncio.sleep(TICK_S)
        late_s = site.now_s() - before_s - TICK_S
        if late_s > LATE_S:
            number += 1
            report = {
                "number": f"late-{number}",
                "kind": "stand-ins-late",
                "targets": (disturbances.STORE,),
            }
            begin_s = time.monotonic() - late_s
            site.log("disturbance", "begin", begin_s, **report)
            site.log("disturbance", "over", **report)
