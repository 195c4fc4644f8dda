"""A job runs on although its cancelling was acknowledged (see claim.txt)."""

import asyncio
import pathlib

import kit3

from egretthread_standins.platformsite import site as sites

ENTRIES, AGENTS = 3, 4
WORK_S = 9.0
TURNED_AWAY_S = 1.0
LEAVES_S, CANCELS_S = 0.4, 0.5
DEADLINE_MS = 3000
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.05, 3.0
# Allowance for the stand-ins on a busy machine.
SLACK_S = 0.3


def make_site(folder):
    """Returns the site."""
    return kit3.LabelledSite(
        sites.SiteSettings(lambda task: WORK_S, folder, ENTRIES, AGENTS)
    )


async def leave(site, entry: str, job: str) -> int:
    """Submits a job and leaves before the deadline; returns the status."""
    try:
        async with asyncio.timeout(LEAVES_S):
            table = sites.job(1, int(1000 * WORK_S))
            status, _ = await site.request(
                entry, "POST", job, table, DEADLINE_MS
            )
            return status
    except TimeoutError:
        site.log("client", "left without an answer", job=job, entry=entry)
        return 0


async def play(site):
    """The store turns one entry away while a job is handed in there."""
    entry, other = "entry-1", "entry-2"
    part = next(n for n in range(12) if not site.member_of(entry, n))
    job = site.job_id(part, 9)
    begin_s = site.now_s()
    if kit3.has_trouble():
        site.log("platform", "the store is silent for", entry=entry)
        site.store.modes[entry] = "silent"
    submitting = asyncio.create_task(leave(site, entry, job))
    await asyncio.sleep(CANCELS_S)
    cancelled, _ = await site.request(other, "DELETE", job)
    acknowledged_s = site.now_s()
    await submitting
    await asyncio.sleep(begin_s + TURNED_AWAY_S - site.now_s())
    site.store.modes[entry] = ""
    site.log("platform", "the store serves all again")
    calm_s = site.now_s() + CONTACT_S
    if cancelled not in (200, 204, 410):
        raise sites.Unavailable("the cancelling was not acknowledged")
    await asyncio.sleep(WORK_S + 4.0)
    state = await kit3.state_of(site, other, job)
    limit_s = max(acknowledged_s + CANCEL_S, calm_s) + STOP_S + SLACK_S
    ends = {
        event.fields["task"]: event.at_s
        for event in site.events
        if event.what == "end" and event.fields["task"].startswith(job)
    }
    return [
        f"UNASKED: {event.fields['task']} started at {event.at_s:.2f} s and ran"
        f" until {ends[event.fields['task']]:.2f} s; the DELETE was answered"
        f" {cancelled} at {acknowledged_s:.2f} s, and the store has served all"
        f" since {calm_s - CONTACT_S:.2f} s; the job is shown as {state}"
        for event in kit3.starts(site, job)
        if ends.get(event.fields["task"], float("inf")) > limit_s
    ]


if __name__ == "__main__":
    kit3.main(make_site, play, pathlib.Path(__file__).resolve().parent)
