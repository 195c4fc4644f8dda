"""Rules on what callers are told of jobs: LOST and MIXED."""

import collections

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite.site import Event
from egretthread_standins.soak import contact
from egretthread_standins.soak.breaks import Break, job_of
from egretthread_standins.soak.runrules import kept_jobs, steps_of

VISIBLE_S = 3.0
# `pending_jobs` may be so old.
PENDING_AGE_S = 2.0
# A job is lost if it is open and nothing of it has run for so long, while the
# backend servers have room.
STUCK_S = 3.0
# A task may be given up after so many crashes of backend servers under it.
CRASHES = 2
FINAL_STATES = ("completed", "failed", "cancelled")


def _accepted(events: list[Event]) -> dict[str, Event]:
    """Returns the first answer that accepted each kept job."""
    found: dict[str, Event] = {}
    for event in events:
        fields = event.fields
        if event.what == "POST" and fields["kept"] and fields["status"] == 200:
            found.setdefault(fields["job"], event)
    return found


def _cancelled(events: list[Event]) -> dict[str, float]:
    """Returns when the first DELETE of each job was sent."""
    found: dict[str, float] = {}
    for event in events:
        if event.what == "cancels":
            found.setdefault(event.fields["job"], event.at_s)
    return found


def disowned_jobs(events: list[Event]) -> list[Break]:
    """LOST: an accepted job is unknown, or ended without a cause."""
    found = contact.spans(events)
    accepted, cancelled = _accepted(events), _cancelled(events)
    crashes = collections.Counter()
    broken = []
    for event in events:
        job = job_of(event)
        if event.what == "run crashed":
            crashes[event.fields["task"]] += 1
        if event.what != "GET" or job not in accepted:
            continue
        if cancelled.get(job, float("inf")) < event.at_s:
            continue
        fields = event.fields
        reason = ""
        if fields["status"] == 410:
            if fields["sent"] > accepted[job].at_s + VISIBLE_S and (
                contact.is_in_touch(found, fields["entry"], fields["sent"])
            ):
                reason = "is not known"
        elif fields["state"] == "cancelled":
            reason = "is shown as cancelled, though nobody did"
        elif fields["state"] == "failed" and not any(
            count >= CRASHES
            for task, count in crashes.items()
            if task.startswith(job)
        ):
            reason = "is shown as failed without a cause"
        if reason:
            broken.append(
                Break(
                    "LOST",
                    event.at_s,
                    f"job {job}, accepted at {accepted[job].at_s:.3f}, {reason}"
                    f" at {fields['entry']}",
                    job,
                )
            )
    return broken


def unfinished_jobs(events: list[Event]) -> list[Break]:
    """LOST: an accepted job is open at the end and nothing of it runs."""
    ends = [event for event in events if event.what == "finish over"]
    if not ends:
        return []
    cancelled = _cancelled(events)
    last_run: dict[str, float] = {}
    answers: dict[str, Event] = {}
    running = collections.Counter()
    for event in events:
        job = job_of(event)
        if event.what in ("start", "end", "run crashed"):
            running[job] += 1 if event.what == "start" else -1
            last_run[job] = event.at_s
        elif event.what == "GET":
            answers[job] = event
    broken = []
    for job, event in _accepted(events).items():
        answer = answers.get(job)
        if job in cancelled or (
            answer is not None and answer.fields["state"] in FINAL_STATES
        ):
            continue
        idle_s = ends[0].at_s - last_run.get(job, event.at_s)
        if running[job] or idle_s < STUCK_S:
            continue
        told = (
            "was not asked for"
            if answer is None
            else f"is answered {answer.fields['status']}"
            f" {answer.fields['state']} by {answer.fields['entry']}"
        )
        broken.append(
            Break(
                "LOST",
                ends[0].at_s,
                f"job {job}, accepted at {event.at_s:.3f}, {told}; nothing of"
                f" it has run for {idle_s:.1f} s",
                job,
            )
        )
    return broken


def untrue_states(events: list[Event]) -> list[Break]:
    """MIXED: a job is shown that isn't there, or as completed too early."""
    steps = steps_of(events)
    kept = kept_jobs(events)
    done = set()
    broken = []
    for event in events:
        job = job_of(event)
        if event.what == "end" and event.fields["how"] == "done":
            done.add(event.fields["task"])
        if event.what not in ("GET", "POST") or event.fields["status"] != 200:
            continue
        state, reason = event.fields["state"], ""
        if job not in steps:
            reason = f"is shown as {state}, though nobody submitted it"
        elif state == "completed" and (event.what == "GET" or job not in kept):
            missing = [
                name
                for step, (count, _) in enumerate(steps[job])
                for index in range(count)
                if (name := f"{job}.0.{step}.{index}") not in done
            ]
            if missing:
                reason = f"is shown as completed before {missing[0]} ended done"
        if reason:
            broken.append(
                Break(
                    "MIXED",
                    event.at_s,
                    f"job {job} {reason}, by {event.fields['entry']}",
                    job,
                )
            )
    return broken


def hidden_jobs(events: list[Event]) -> list[Break]:
    """MIXED: `pending_jobs` is under half of the jobs that have not begun."""
    found = contact.spans(events)
    prefix = sites.PREFIX
    waiting: dict[str, float] = {}
    gone = set()
    broken = []
    for event in events:
        job = job_of(event)
        if event.what in ("start", "cancels"):
            gone.add(job)
            waiting.pop(job, None)
        elif event.what == "POST" and event.fields["kept"]:
            if event.fields["status"] == 200 and job not in gone:
                waiting.setdefault(job, event.at_s)
        elif event.what == "GET queue" and event.fields["prefix"] == prefix:
            fields = event.fields
            # Those that began since the request was sent may count.
            count = sum(
                at_s < fields["sent"] - VISIBLE_S - PENDING_AGE_S
                for at_s in waiting.values()
            )
            if (
                fields["status"] == 200
                and fields["pending"] < count / 2
                and contact.is_in_touch(found, fields["entry"], fields["sent"])
            ):
                broken.append(
                    Break(
                        "MIXED",
                        event.at_s,
                        f"{fields['entry']} tells of {fields['pending']}"
                        f" pending jobs, while {count} have not begun",
                    )
                )
    return broken


def ended_processes(events: list[Event]) -> list[Break]:
    """FAULT: a process ended by itself."""
    return [
        Break("FAULT", event.at_s, f"{event.fields['name']} ended by itself")
        for event in events
        if event.what == "ended by itself"
    ]
