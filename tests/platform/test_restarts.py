"""Tests of restarts of the real programs while the store is silent."""

import asyncio
import pathlib
import signal
import tempfile

import testtools

from egretthread_standins.platformsite import site as sites
from egretthread_standins.soak import runrules

CALLERS = 12
# Callers leave while the entries have no configuration, and submit their jobs
# again at the other entry before the store answers.
PATIENCE_S = 0.6
RESEND_S = 0.3
SUBMISSION_S = 0.6
OUTAGE_S = 1.85
ROUNDS = 2
SETTLE_S = 2.0
ROUND_S = 30.0


async def restart_all(site):
    """Kills all programs and starts them while the store is silent."""
    for machine in site.hosts:
        site.store.modes[machine] = "silent"
    everyone = [*site.names, *site.agent_names]
    for name in everyone:
        site.signal(name, signal.SIGKILL)
    for name in everyone:
        await site.wait_for_end(name, 2.0)
    for name in everyone:
        site.start_process(name)


async def submit(site, entry, job):
    """Submits a job; returns 0 if there is no response."""
    status, _ = await site.request(
        entry, "POST", job, sites.job(2, 300, kept=False)
    )
    return status


async def call_impatiently(site, number):
    """Submits a job, leaves, and submits it at the other entry until it runs.

    Args:
        site: The site.
        number: Number of the job; it decides which entry comes first.
    """
    job = f"{number:016x}"
    first, second = site.names[:: 1 if number % 2 else -1]
    try:
        async with asyncio.timeout(PATIENCE_S):
            status = await submit(site, first, job)
    except TimeoutError:
        status = 0
    while status != 200:
        await asyncio.sleep(RESEND_S)
        status = await submit(site, second, job)


async def run_round(site, number):
    await restart_all(site)
    await asyncio.sleep(SUBMISSION_S)
    async with asyncio.timeout(ROUND_S), asyncio.TaskGroup() as group:
        for caller in range(CALLERS):
            group.create_task(call_impatiently(site, number * CALLERS + caller))
        await asyncio.sleep(OUTAGE_S - SUBMISSION_S)
        site.store.modes.clear()
    await asyncio.sleep(SETTLE_S)


async def play(folder):
    """Returns the ids of the jobs that ran, and the breaks of TWICE."""
    settings = sites.SiteSettings(
        lambda task: 0.3, pathlib.Path(folder), entries=2, agents=4
    )
    site = sites.Site(settings)
    try:
        await site.start()
        for number in range(ROUNDS):
            await run_round(site, number)
    finally:
        await site.close()
    jobs = {
        event.fields["task"].partition(".")[0]
        for event in site.events
        if event.what == "start"
    }
    return jobs, runrules.overlaps(site.events)


class TestRestarts(testtools.TestCase):
    # Guards against TWICE: entries without a configuration ran the jobs of
    # callers that had left and submitted them again at another entry.
    def test_jobs_of_callers_that_left_during_an_outage_run_once(self):
        with tempfile.TemporaryDirectory() as folder:
            jobs, broken = asyncio.run(play(folder))
        self.assertEqual([], broken)
        self.assertEqual(ROUNDS * CALLERS, len(jobs))
