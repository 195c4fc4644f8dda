"""Tests of stops that do not reach backend servers, on the real programs."""

import asyncio
import pathlib
import signal
import tempfile

import testtools

from egretthread_standins.platformsite import site as sites
from egretthread_standins.soak import runrules

JOBS = 6
TASKS = 3
TASK_S = 10.0
START_S = 1.5
# How long stops are lost, and within that how long the entry is paused. The
# next coordinator of kept jobs starts their tasks again within it.
LOSS_S = 8.0
PAUSE_S = 2.2
# Callers submit a job again this long after their connection broke.
RESEND_S = 1.3
REQUEST_MS = 15_000
STOP_PATH = "/run-stop"


async def submit(site, number, is_kept):
    """Submits a job at the first entry, then at the other until it ends."""
    table = sites.job(TASKS, int(TASK_S * 1000), kept=is_kept)
    entry = site.names[0]
    status = 0
    while status != 200:
        status, _ = await site.request(
            entry, "POST", f"{number:016x}", table, REQUEST_MS
        )
        if status != 200:
            await asyncio.sleep(RESEND_S)
        entry = site.names[1]


async def pause(site):
    """Pauses the entry that coordinates the jobs."""
    site.signal(site.names[0], signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    site.signal(site.names[0], signal.SIGCONT)
    await asyncio.sleep(LOSS_S - PAUSE_S)


async def kill(site):
    """Kills the entry that coordinates the jobs."""
    site.signal(site.names[0], signal.SIGKILL)
    await asyncio.sleep(LOSS_S)


async def play(folder, disturb, is_kept):
    """Returns the number of starts, and the breaks of TWICE.

    Args:
        folder: Folder for the record.
        disturb: Disturbs the site while stops are lost.
        is_kept: Whether the jobs are kept.
    """
    settings = sites.SiteSettings(
        lambda task: TASK_S, pathlib.Path(folder), entries=2, agents=4
    )
    site = sites.Site(settings)
    try:
        await site.start()
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(submit(site, number + 1, is_kept))
                for number in range(JOBS)
            ]
            await asyncio.sleep(START_S)
            for server in site.servers.values():
                server.lost_paths.add(STOP_PATH)
            await disturb(site)
            for server in site.servers.values():
                server.lost_paths.clear()
            for caller in callers:
                caller.cancel()
        await asyncio.sleep(RESEND_S)
    finally:
        await site.close()
    starts = sum(event.what == "start" for event in site.events)
    return starts, runrules.overlaps(site.events)


class TestUnansweredStops(testtools.TestCase):
    def check(self, disturb, is_kept):
        with tempfile.TemporaryDirectory() as folder:
            starts, broken = asyncio.run(play(folder, disturb, is_kept))
        self.assertEqual([], broken)
        self.assertGreater(starts, JOBS * TASKS)

    # Guards against TWICE: runs whose stop was not answered kept their lease,
    # while a coordinator that had been paused started their tasks again.
    def test_runs_of_a_paused_entry_end_without_a_stop(self):
        self.check(pause, is_kept=False)

    # Guards against TWICE: runs whose stop was not answered kept their lease,
    # while the job of a lost coordinator was submitted again.
    def test_runs_of_a_killed_entry_end_without_a_stop(self):
        self.check(kill, is_kept=False)

    # Guards against TWICE: runs whose stop was not answered kept their lease,
    # while the next coordinator of a kept job started its tasks again.
    def test_runs_of_a_kept_job_end_without_a_stop(self):
        self.check(kill, is_kept=True)
