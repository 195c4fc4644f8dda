"""Progress of jobs is lost after an outage of the store."""

import asyncio
import signal

from standins import site as sites

OUTAGE_S = 4.5


async def scenario(site: sites.Site) -> list[str]:
    """Runs jobs before and after an outage, then restarts the entries."""
    entry = site.names[0]
    before = [site.job_id(part, 1) for part in range(sites.PARTS)]
    after = [site.job_id(part, 2) for part in range(sites.PARTS)]
    await _run_jobs(site, entry, before)
    if site.trouble:
        site.log("store", "down for all machines")
        site.store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        site.store.is_down = False
        site.log("store", "up again")
    await asyncio.sleep(8.0)
    await _run_jobs(site, entry, after)
    await asyncio.sleep(2.0)
    for name in site.names:
        site.signal(name, signal.SIGTERM)
        await site.wait_for_end(name, 8.0)
        site.start_process(name)
        await asyncio.sleep(5.0)
    broken = sites.double_starts(site)
    for job in before + after:
        status, body = await site.request(entry, "GET", job)
        if (status, body.get("state")) != (200, "completed"):
            broken.append(f"job {job} was completed and is now {body}")
    return broken


async def _run_jobs(site: sites.Site, entry: str, jobs: list[str]) -> None:
    """Submits jobs and waits until all are shown as completed."""
    for job in jobs:
        status, _ = await site.request(entry, "POST", job, sites.job(2, 300))
        if status != 200:
            raise sites.Unavailable(f"job {job} was not accepted")

    async def are_completed() -> bool:
        answers = [await site.request(entry, "GET", job) for job in jobs]
        return all(body.get("state") == "completed" for _, body in answers)

    await site.until(are_completed, 15.0, "jobs completed")


if __name__ == "__main__":
    sites.main(scenario, work_s=lambda task: 0.3, entries=3, agents=3)
