"""An agent's record of the tasks assigned to it, so that none starts twice."""

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
class JobRecord:
    """State of one job at an agent.

    Attributes:
        ballot: Highest ballot seen; lower ones are refused.
        tasks: Last report of each task, by task index.
        unreported: Indices of the tasks that finished since the last report.
        running: Number of the job's tasks that run on this agent.
    """

    ballot: Ballot = NO_BALLOT
    tasks: dict[int, TaskReport] = dataclasses.field(default_factory=dict)
    unreported: set[int] = dataclasses.field(default_factory=set)
    running: int = 0


@dataclasses.dataclass
class Ledger:
    """All assignments that an agent remembers; lost when its process ends.

    Attributes:
        jobs: Records by job, kept until the job key is past retention.
    """

    jobs: dict[JobRef, JobRecord] = dataclasses.field(default_factory=dict)


def job_record(ledger: Ledger, job: JobRef) -> JobRecord:
    """Returns the record of a job; creates it if there is none."""
    return ledger.jobs.setdefault(job, JobRecord())


def raise_ballot(record: JobRecord, ballot: Ballot) -> None:
    """Raises a job's ballot; attempts are counted anew under each ballot.

    The refusals recorded so far are dropped. An assignment that was refused
    under a lower ballot cannot arrive again, since everything that carries a
    lower ballot is refused.
    """
    if ballot <= record.ballot:
        return
    record.ballot = ballot
    refused_indices = [
        index
        for index, report in record.tasks.items()
        if report.state is TaskState.REFUSED
    ]
    for index in refused_indices:
        del record.tasks[index]


def known_report(record: JobRecord, task: TaskAssignment) -> TaskReport | None:
    """Returns the report that already settles an assignment, or None.

    The report of a started task settles all of its attempts. A refusal
    settles the refused attempt and the earlier ones.
    """
    report = record.tasks.get(task.index)
    if report is None:
        return None
    if report.state is TaskState.REFUSED and report.attempt < task.attempt:
        return None
    return report


def refused(index: int, attempt: int, refusal: Refusal) -> TaskReport:
    """Returns the report of an assignment that was not started."""
    return TaskReport(index, attempt, TaskState.REFUSED, refusal=refusal)


def refuse(
    record: JobRecord, index: int, attempt: int, refusal: Refusal
) -> TaskReport:
    """Records that an assignment was not started and never will be."""
    report = refused(index, attempt, refusal)
    record.tasks[index] = report
    return report


def start(record: JobRecord, task: TaskAssignment) -> None:
    """Records that a task is about to start."""
    record.tasks[task.index] = TaskReport(
        task.index, task.attempt, TaskState.STARTED
    )
    record.running += 1


def finish(
    record: JobRecord, index: int, outcome: Outcome, run_s: float
) -> None:
    """Records the outcome of a started task."""
    attempt = record.tasks[index].attempt
    record.tasks[index] = TaskReport(
        index, attempt, TaskState.FINISHED, outcome=outcome, run_s=run_s
    )
    record.running -= 1
    record.unreported.add(index)


def withdraw_start(
    record: JobRecord, index: int, refusal: Refusal
) -> TaskReport:
    """Replaces a recorded start by a refusal: it provably did not happen."""
    record.running -= 1
    return refuse(record, index, record.tasks[index].attempt, refusal)


def take_unreported(record: JobRecord) -> tuple[TaskReport, ...]:
    """Returns the reports not yet sent and marks them as sent."""
    reports = tuple(record.tasks[index] for index in sorted(record.unreported))
    record.unreported.clear()
    return reports


def settled_reports(record: JobRecord) -> tuple[TaskReport, ...]:
    """Returns the reports of all tasks that were started on this agent."""
    return tuple(
        report
        for report in record.tasks.values()
        if report.state is not TaskState.REFUSED
    )


def remove_expired(ledger: Ledger, horizon_s: float) -> None:
    """Drops jobs that were issued before a time and have no running task."""
    expired = [
        job
        for job, record in ledger.jobs.items()
        if job.issued_s < horizon_s and not record.running
    ]
    for job in expired:
        del ledger.jobs[job]
