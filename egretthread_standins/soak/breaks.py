"""A broken rule, and how it is told."""

import dataclasses
import json
import zlib

from egretthread_standins.platformsite import site as sites
from egretthread_standins.platformsite.site import Event

# A break is shown with what was done to the site in this time before it.
NEAR_S = 6.0
DOERS = ("disturbance", "operator", "platform", "writer")


@dataclasses.dataclass(frozen=True)
class Break:
    """One broken rule.

    Attributes:
        rule: Name of the rule.
        at_s: When it was broken.
        text: What was seen.
        job: Id of the job, if one is concerned.
    """

    rule: str
    at_s: float
    text: str
    job: str = ""


def job_of(event: Event) -> str:
    """Returns the id of the job that an event is about."""
    task = event.fields.get("task") or ""
    return event.fields.get("job") or task.partition(".")[0]


def place(event: Event) -> str:
    """Returns where a run was started or ended."""
    fields = event.fields
    late = ", an order carried out late" if fields.get("late") else ""
    return f"{event.who} ({fields['agent']}, run {fields['run']}{late})"


def explain(broken: Break, events: list[Event]) -> list[str]:
    """Returns the events that led to a break, as lines.

    These are those of its job, appends to the job's partition that the store
    did not accept as new, and what was done to the site shortly before.
    """
    begin_s, end_s = broken.at_s - NEAR_S, broken.at_s + 0.1
    part = zlib.crc32(broken.job.encode()) % sites.PARTS if broken.job else None
    lines = [f"{broken.rule} at {broken.at_s:.3f}: {broken.text}"]
    for event in sorted(events, key=lambda event: event.at_s):
        is_near = event.who in DOERS and begin_s <= event.at_s <= end_s
        is_log = event.who == "store" and event.fields.get("part") == part
        is_job = broken.job and broken.job == job_of(event)
        if is_near or is_log or is_job:
            lines.append(f"  {render(event)}")
    return lines


def render(event: Event) -> str:
    """Returns an event as one line."""
    fields = " ".join(
        f"{key}={json.dumps(value, default=str)}"
        for key, value in event.fields.items()
    )
    return f"{event.at_s:8.3f} {event.who} {event.what} {fields}"
