"""Submissions of callers, and the refusals that they may get."""

import dataclasses

from egretthread.jobkey import JobRef


@dataclasses.dataclass(frozen=True)
class TaskSpec:
    """One task as its caller submitted it.

    Attributes:
        payload: JSON text for the backend server.
        memory_bytes: Declared memory need; 0 if not declared.
        run_s: Declared run time; 0 if not declared.
    """

    payload: str
    memory_bytes: int = 0
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job as an entry receives it from a caller.

    Attributes:
        job: Organisation and job key.
        service: Name of the service.
        digest: Digest of the service and the tasks.
        tasks: The tasks, by index.
        deadline_s: Time from its receipt until the deadline.
    """

    job: JobRef
    service: str
    digest: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class SingleRequest:
    """One task that a caller submitted without a job key.

    Attributes:
        organisation: Name of the organisation that submitted it.
        service: Name of the service.
        task: The task.
        deadline_s: Time from its receipt until the deadline.
        idempotent: Whether the task can run more than once without harm.
    """

    organisation: str
    service: str
    task: TaskSpec
    deadline_s: float
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The reason why this entry does not answer a submission now.

    Attributes:
        kind: Machine-readable kind.
        message: What happened.
        remedy: What the caller can do.
        retry_after_s: Time to wait before a retry; 0 if a retry does not help.
        started: Whether this entry may have started some of the job's tasks.
    """

    kind: str
    message: str
    remedy: str
    retry_after_s: float = 0.0
    started: bool = False
