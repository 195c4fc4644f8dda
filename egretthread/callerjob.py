"""Jobs, job states and answers as callers send and receive them."""

import dataclasses
import enum
import json

from egretthread.outcome import JobAnswer, Outcome, OutcomeKind


@dataclasses.dataclass(frozen=True)
class Task:
    """One task of a job.

    Attributes:
        payload: Any JSON value; passed to the backend server.
        memory_bytes: Declared memory need; 0 if unknown.
        run_s: Declared run time; 0 if unknown.
    """

    payload: object
    memory_bytes: int = 0
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Job:
    """A parallel batch of tasks.

    Attributes:
        key: Identifies the job; needed to resubmit it. See `new_key`.
        service: Name of the service that runs the tasks.
        tasks: The tasks.
        deadline_s: Time from submission after which no task starts.
    """

    key: str
    service: str
    tasks: tuple[Task, ...]
    deadline_s: float = 30.0


@dataclasses.dataclass(frozen=True)
class SingleRequest:
    """One task without a job key.

    Attributes:
        service: Name of the service that runs it.
        payload: Any JSON value; passed to the backend server.
        deadline_s: Time from the entry's receipt until the answer.
        idempotent: Whether the task can run more than once without harm.
            Only then is it retried when it may have run already.
        memory_bytes: Declared memory need; 0 if unknown.
        run_s: Declared run time; 0 if unknown.
    """

    service: str
    payload: object
    deadline_s: float = 30.0
    idempotent: bool = False
    memory_bytes: int = 0
    run_s: float = 0.0


class JobState(enum.StrEnum):
    """State of a job as an entry reports it."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    COMPLETE = "complete"
    FAILED = "failed"
    # The coordinator was lost; submitting the job again recovers it.
    STRANDED = "stranded"


@dataclasses.dataclass(frozen=True)
class JobStatus:
    """The state of a job and, once it has ended, its answer.

    Attributes:
        key: The job key.
        state: State of the job.
        answer: The answer if the state is complete or failed, else None.
    """

    key: str
    state: JobState
    answer: JobAnswer | None = None


def job_body(job: Job) -> dict:
    """Returns the JSON body that submits a job."""
    return {
        "key": job.key,
        "service": job.service,
        "deadline_s": job.deadline_s,
        "tasks": [dataclasses.asdict(task) for task in job.tasks],
    }


def request_body(single: SingleRequest) -> dict:
    """Returns the JSON body of a single request."""
    return dataclasses.asdict(single)


def parse_outcome(body: dict) -> Outcome:
    """Returns the outcome of one task; its result is kept as JSON text."""
    kind = OutcomeKind(body["outcome"])
    if kind is OutcomeKind.DONE:
        return Outcome(kind, result=json.dumps(body["result"]))
    return Outcome(kind, reason=str(body["reason"]))


def parse_status(body: dict) -> JobStatus:
    """Returns the job status in the body of a response."""
    state = JobState(body["state"])
    answer = None
    if state in (JobState.COMPLETE, JobState.FAILED):
        outcomes = tuple(parse_outcome(task) for task in body["tasks"])
        answer = JobAnswer(body["key"], outcomes)
    return JobStatus(body["key"], state, answer)
