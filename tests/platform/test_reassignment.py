"""Tests of a reassignment of all partitions at once, on the real programs."""

import asyncio
import pathlib
import tempfile

import testtools

from egretthread.platform.store import PRODUCER
from egretthread.scheduling import joblog
from egretthread_standins.platformsite import site as sites

LOAD_S = 0.03
SILENCE_S = 2.0
LIMIT_S = 20.0


def joined_s(site, entry):
    """Returns when an entry last called the group, by the store's clock."""
    (group,) = site.store.groups.values()
    return max(
        at_s
        for member, (at_s, _) in group.members.items()
        if member.startswith(entry)
    )


async def wait_for_join(site, entry):
    """Waits until an entry has called the group; returns when it did."""
    before_s = joined_s(site, entry)
    async with asyncio.timeout(LIMIT_S):
        while joined_s(site, entry) == before_s:
            await asyncio.sleep(0.002)
    return joined_s(site, entry)


async def in_order_of_joins(site):
    """Returns the entries so that the second joins soon after the first."""
    first, second = site.names
    first_s = await wait_for_join(site, first)
    second_s = await wait_for_join(site, second)
    if second_s - first_s > joblog.JOIN_INTERVAL_S / 2:
        return second, first
    return first, second


def epoch(site, part):
    """Returns the epoch of the last append of progress to a partition."""
    partition = site.store.topics["keyed.progress", part]
    return partition.producers.get(PRODUCER, (0,))[0]


async def wait_for_load(site, epochs):
    """Waits until partitions have been loaded by their next coordinator.

    Args:
        site: The site.
        epochs: Their epochs before, by partition.
    """
    async with asyncio.timeout(LIMIT_S):
        while any(epoch(site, part) == epochs[part] for part in epochs):
            await asyncio.sleep(0.002)
    await asyncio.sleep(LOAD_S)


async def submit(site, entry, part):
    """Submits a job of one partition; returns its id."""
    job = site.job_id(part, 1)
    status, _ = await site.request(entry, "POST", job, sites.job(1, 100))
    if status != 200:
        raise sites.Unavailable(f"job {job} was not accepted: {status}")
    return job


async def scenario(site):
    """Submits jobs that their new coordinator can't read for a while.

    The former coordinator reads them as it has not called the group since.
    """
    former, new = await in_order_of_joins(site)
    epochs = {
        part: epoch(site, part)
        for part in range(sites.PARTS)
        if site.member_of(former, part)
    }
    await wait_for_join(site, former)
    site.store.reassign()
    await wait_for_load(site, epochs)
    site.store.modes[new] = "silent"
    jobs = [await submit(site, former, part) for part in epochs]
    await asyncio.sleep(SILENCE_S)
    site.store.modes[new] = ""

    async def are_completed():
        answers = [await site.request(former, "GET", job) for job in jobs]
        return all(body.get("state") == "completed" for _, body in answers)

    await site.until(are_completed, LIMIT_S, "jobs completed")


def started_again(events):
    """Returns the tasks that were started after a run of them was done."""
    done, found = set(), []
    for event in events:
        task = event.fields.get("task")
        if event.what == "end" and event.fields["how"] == "done":
            done.add(task)
        elif event.what == "start" and task in done:
            found.append(task)
    return found


async def play(folder):
    """Returns the tasks that were started after a run of them was done."""
    settings = sites.SiteSettings(
        lambda task: 0.1, pathlib.Path(folder), entries=2, agents=2
    )
    site = sites.Site(settings)
    try:
        await site.start()
        await scenario(site)
    finally:
        await site.close()
    return started_again(site.events)


class TestReassignment(testtools.TestCase):
    # Guards against TWICE: the new coordinator had the ends of jobs forgotten
    # that it could not read yet, and later ran these jobs from the beginning.
    def test_the_ends_of_jobs_that_were_not_read_are_kept(self):
        with tempfile.TemporaryDirectory() as folder:
            tasks = asyncio.run(play(folder))
        self.assertEqual([], tasks)
