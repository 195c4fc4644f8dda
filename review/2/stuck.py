"""Partitions are never coordinated again after an outage of the store."""

import asyncio

from standins import site as sites

OUTAGE_S = 4.5
ROUNDS = 8
# `finish_s` of the deployments: jobs are asked for so long after the traffic.
FINISH_S = 14.0


async def scenario(site: sites.Site) -> list[str]:
    """Runs jobs before and after an outage of the store."""
    entry = site.names[0]
    for number in range(1, ROUNDS + 1):
        jobs = [site.job_id(part, number) for part in range(sites.PARTS)]
        await _submit(site, entry, jobs)
        await site.until(
            lambda jobs=jobs: _are_completed(site, entry, jobs),
            15.0,
            "jobs before the outage completed",
        )
    if site.trouble:
        site.log("store", "down for all machines")
        site.store.is_down = True
        await asyncio.sleep(OUTAGE_S)
        site.store.is_down = False
        site.log("store", "up again")
    await asyncio.sleep(8.0)
    jobs = [site.job_id(part, ROUNDS + 1) for part in range(sites.PARTS)]
    await _submit(site, entry, jobs)
    accepted_s = site.now_s()
    await asyncio.sleep(FINISH_S)
    broken = []
    for job in jobs:
        _, body = await site.request(entry, "GET", job)
        started = [
            event
            for event in site.events
            if event.what == "start" and event.fields["task"].startswith(job)
        ]
        if not started:
            broken.append(
                f"job {job}, accepted by {accepted_s:.2f}, has nothing"
                f" running for {FINISH_S:.0f} s while the workers are idle,"
                f" and is shown as {body}"
            )
    return broken


async def _submit(site: sites.Site, entry: str, jobs: list[str]) -> None:
    for job in jobs:
        status, _ = await site.request(entry, "POST", job, sites.job(1, 100))
        if status != 200:
            raise sites.Unavailable(f"job {job} was not accepted")


async def _are_completed(site: sites.Site, entry: str, jobs: list[str]) -> bool:
    answers = [await site.request(entry, "GET", job) for job in jobs]
    return all(body.get("state") == "completed" for _, body in answers)


if __name__ == "__main__":
    sites.main(scenario, work_s=lambda task: 0.1, entries=3, agents=3)
