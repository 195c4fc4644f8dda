"""Rules on runs: TWICE, ORDER, UNASKED, REFUSED and DRAIN."""

import collections

from egretthread_standins.platformsite.site import Event
from egretthread_standins.soak import contact
from egretthread_standins.soak.breaks import Break, job_of, place

CANCEL_S = 3.0
DRAIN_S = 2.0
SHOWN_S = 1.0
# Answers that say that a job was not accepted and never runs.
REJECTED = (400, 404, 413, 429, 431, 503)


def overlaps(events: list[Event]) -> list[Break]:
    """TWICE: two runs of a task at the same time."""
    running = collections.defaultdict(dict)
    broken = []
    for event in events:
        task = event.fields.get("task")
        key = (event.who, event.fields.get("born"))
        if event.what == "start":
            broken += [
                Break(
                    "TWICE",
                    event.at_s,
                    f"task {task} started on {place(event)} while it ran on"
                    f" {place(since)} since {since.at_s:.3f}",
                    job_of(event),
                )
                for since in running[task].values()
            ]
            running[task][key] = event
        elif event.what in ("end", "run crashed"):
            running[task].pop(key, None)
    return broken


def starts_after_end(events: list[Event]) -> list[Break]:
    """TWICE: a start of a kept job's task after an end that was noted.

    An end `done` counts once `last_seen` has reached it, then or later, unless
    the lease of its backend server lapsed between the two.
    """
    kept = kept_jobs(events)
    ends, noted = {}, {}
    for event in events:
        key = _run_key(event)
        if event.what == "end" and event.fields["how"] == "done":
            ends[key] = event
        elif event.what == "end noted" and not event.fields["lapsed"]:
            noted.setdefault(key, event)
    first = {}
    for key in sorted(noted.keys() & ends.keys(), key=lambda k: ends[k].at_s):
        first.setdefault(key[2], key)
    broken = []
    for event in events:
        key = first.get(event.fields.get("task"))
        if event.what != "start" or key is None or job_of(event) not in kept:
            continue
        end = ends[key]
        if event.at_s > end.at_s:
            broken.append(
                Break(
                    "TWICE",
                    event.at_s,
                    f"task {key[2]} started on {place(event)}, though its run"
                    f" on {place(end)} ended done at {end.at_s:.3f}, noted at"
                    f" {noted[key].at_s:.3f}",
                    job_of(event),
                )
            )
    return broken


def starts_after_completion(events: list[Event]) -> list[Break]:
    """TWICE: a start of a kept job that was shown as `completed`."""
    found = contact.spans(events)
    shown: dict[str, Event] = {}
    broken = []
    for event in events:
        if event.what == "GET" and event.fields["state"] == "completed":
            shown.setdefault(job_of(event), event)
        elif event.what == "start" and job_of(event) in shown:
            answer = shown[job_of(event)]
            if event.at_s > answer.at_s + SHOWN_S and _is_timely(found, event):
                broken.append(
                    Break(
                        "TWICE",
                        event.at_s,
                        f"task {event.fields['task']} started on"
                        f" {place(event)}, though {answer.fields['entry']}"
                        f" showed its job as completed at {answer.at_s:.3f}",
                        job_of(event),
                    )
                )
    return broken


def _is_timely(found: list[contact.Span], event: Event) -> bool:
    """Whether rules with a time bound hold for a start."""
    return not event.fields["late"] and contact.is_in_touch(
        found, event.fields["agent"], event.at_s
    )


def _run_key(event: Event) -> tuple:
    fields = event.fields
    return event.who, fields.get("born"), fields.get("task"), fields.get("run")


def kept_jobs(events: list[Event]) -> set[str]:
    """Returns the ids of jobs that were submitted as kept."""
    return {
        event.fields["job"]
        for event in events
        if event.what in ("submits", "POST") and event.fields["kept"]
    }


def steps_of(events: list[Event]) -> dict[str, list]:
    """Returns count and `after` of each step, by job."""
    return {
        event.fields["job"]: event.fields["steps"]
        for event in events
        if event.what in ("submits", "POST")
    }


def early_starts(events: list[Event]) -> list[Break]:
    """ORDER: a start before the steps in `after` have ended `done`."""
    steps = steps_of(events)
    done = set()
    broken = []
    for event in events:
        if event.what == "end" and event.fields["how"] == "done":
            done.add(event.fields["task"])
        elif event.what == "start" and job_of(event) in steps:
            job = job_of(event)
            _, occurrence, step, _ = event.fields["task"].split(".")
            missing = [
                name
                for earlier in steps[job][int(step)][1]
                for index in range(steps[job][earlier][0])
                if (name := f"{job}.{occurrence}.{earlier}.{index}") not in done
            ]
            if missing:
                broken.append(
                    Break(
                        "ORDER",
                        event.at_s,
                        f"task {event.fields['task']} started on"
                        f" {place(event)} before {missing[0]} had ended done",
                        job,
                    )
                )
    return broken


def unasked_starts(events: list[Event]) -> list[Break]:
    """UNASKED: starts that no caller asked for, or that were cancelled."""
    found = contact.spans(events)
    submitted = steps_of(events)
    cancelled: dict[str, Event] = {}
    broken = []
    for event in events:
        job = job_of(event)
        if event.what == "DELETE" and event.fields["status"] in (200, 410):
            cancelled.setdefault(job, event)
        if event.what != "start":
            continue
        reason = ""
        if job not in submitted:
            reason = "which nobody submitted"
        elif event.fields["spec"] != f"match {job}":
            reason = f"with the task_spec {event.fields['spec']!r}"
        elif job in cancelled and _is_timely(found, event):
            answer = cancelled[job]
            late_s = event.at_s - answer.at_s
            if late_s > CANCEL_S:
                reason = (
                    f"{late_s:.2f} s after {answer.fields['entry']} answered"
                    f" its DELETE with {answer.fields['status']}"
                )
        if reason:
            broken.append(
                Break(
                    "UNASKED",
                    event.at_s,
                    f"task {event.fields['task']} started on {place(event)},"
                    f" {reason}",
                    job,
                )
            )
    return broken


def starts_while_draining(events: list[Event]) -> list[Break]:
    """DRAIN: a start long after it was acknowledged that a server drains."""
    found = contact.spans(events)
    draining: dict[tuple, Event] = {}
    broken = []
    for event in events:
        life = (event.who, event.fields.get("born"))
        if event.what == "draining":
            draining.setdefault(life, event)
        elif event.what == "start" and life in draining:
            told = draining[life]
            if event.at_s - told.at_s > DRAIN_S and _is_timely(found, event):
                broken.append(
                    Break(
                        "DRAIN",
                        event.at_s,
                        f"task {event.fields['task']} started on"
                        f" {place(event)}, whose draining was acknowledged at"
                        f" {told.at_s:.3f}",
                        job_of(event),
                    )
                )
    return broken


def rejected_starts(events: list[Event]) -> list[Break]:
    """REFUSED: a start of a job of which all submissions were rejected."""
    statuses = collections.defaultdict(list)
    for event in events:
        if event.what == "POST":
            statuses[job_of(event)].append(event.fields["status"])
    return [
        Break(
            "REFUSED",
            event.at_s,
            f"task {event.fields['task']} started on {place(event)}, though"
            f" its submissions were answered {statuses[job_of(event)]}",
            job_of(event),
        )
        for event in events
        if event.what == "start"
        and job_of(event) in statuses
        and all(status in REJECTED for status in statuses[job_of(event)])
    ]
