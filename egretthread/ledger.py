"""An agent's memory of the tasks handed to it, which never start twice."""

import dataclasses

from egretthread.jobkey import JobRef
from egretthread.message import (
    NO_BALLOT,
    Ballot,
    Refusal,
    TaskAssignment,
    TaskReport,
    TaskState,
)
from egretthread.outcome import Outcome


@dataclasses.dataclass
class JobEntry:
    """What an agent holds of one job.

    Attributes:
        ballot: The highest ballot seen; lower ones are refused.
        tasks: The last report of each task, by index.
        unreported: Indices finished but not yet reported.
        running: How many of its tasks run now.
    """

    ballot: Ballot = NO_BALLOT
    tasks: dict[int, TaskReport] = dataclasses.field(default_factory=dict)
    unreported: set[int] = dataclasses.field(default_factory=set)
    running: int = 0


@dataclasses.dataclass
class Ledger:
    """All hand-outs an agent remembers; lost with its process.

    Attributes:
        jobs: Entries by job, kept until the job's key is past retention.
    """

    jobs: dict[JobRef, JobEntry] = dataclasses.field(default_factory=dict)


def job_entry(ledger: Ledger, job: JobRef) -> JobEntry:
    """Returns the entry of a job, a fresh one when there was none."""
    return ledger.jobs.setdefault(job, JobEntry())


def raise_ballot(entry: JobEntry, ballot: Ballot) -> None:
    """Moves a job to a higher ballot, under which attempts count afresh.

    Refusals need not be remembered any longer: what was refused under a
    lower ballot cannot come back, since lower ballots are refused whole.
    """
    if ballot <= entry.ballot:
        return
    entry.ballot = ballot
    refused = [
        index
        for index, report in entry.tasks.items()
        if report.state is TaskState.REFUSED
    ]
    for index in refused:
        del entry.tasks[index]


def known_report(entry: JobEntry, task: TaskAssignment) -> TaskReport | None:
    """Returns what is already settled about a hand-out.

    A task that started is settled whatever the attempt; a refused one is
    settled for the refused attempt and the earlier ones.
    """
    report = entry.tasks.get(task.index)
    if report is None:
        return None
    if report.state is TaskState.REFUSED and report.attempt < task.attempt:
        return None
    return report


def refused(index: int, attempt: int, refusal: Refusal) -> TaskReport:
    """Returns the report of a hand-out that did not start."""
    return TaskReport(index, attempt, TaskState.REFUSED, refusal=refusal)


def refuse(
    entry: JobEntry, index: int, attempt: int, refusal: Refusal
) -> TaskReport:
    """Records that a hand-out did not start and never will."""
    report = refused(index, attempt, refusal)
    entry.tasks[index] = report
    return report


def start(entry: JobEntry, task: TaskAssignment) -> None:
    """Records that a task is about to start."""
    entry.tasks[task.index] = TaskReport(
        task.index, task.attempt, TaskState.STARTED
    )
    entry.running += 1


def finish(entry: JobEntry, index: int, outcome: Outcome, run_s: float) -> None:
    """Records the outcome of a started task."""
    attempt = entry.tasks[index].attempt
    entry.tasks[index] = TaskReport(
        index, attempt, TaskState.FINISHED, outcome=outcome, run_s=run_s
    )
    entry.running -= 1
    entry.unreported.add(index)


def withdraw_start(entry: JobEntry, index: int, refusal: Refusal) -> TaskReport:
    """Turns a recorded start into a refusal: it provably did not start."""
    entry.running -= 1
    return refuse(entry, index, entry.tasks[index].attempt, refusal)


def take_unreported(entry: JobEntry) -> tuple[TaskReport, ...]:
    """Returns the reports not yet sent and marks them as sent."""
    reports = tuple(entry.tasks[index] for index in sorted(entry.unreported))
    entry.unreported.clear()
    return reports


def settled_reports(entry: JobEntry) -> tuple[TaskReport, ...]:
    """Returns the reports of all tasks that started here."""
    return tuple(
        report
        for report in entry.tasks.values()
        if report.state is not TaskState.REFUSED
    )


def forget_expired(ledger: Ledger, horizon_s: float) -> None:
    """Drops jobs issued before a time none of whose tasks still runs."""
    expired = [
        job
        for job, entry in ledger.jobs.items()
        if job.issued_s < horizon_s and not entry.running
    ]
    for job in expired:
        del ledger.jobs[job]
