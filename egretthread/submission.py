"""What callers submit, and why it may be refused."""

import dataclasses

from egretthread.jobkey import JobRef


@dataclasses.dataclass(frozen=True)
class TaskSpec:
    """One task as its caller submitted it.

    Attributes:
        payload: JSON text for the backend server.
        memory_bytes: Declared memory need; 0 for none.
        run_s: Declared run time; 0 for none.
    """

    payload: str
    memory_bytes: int = 0
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Submission:
    """A job as an entry takes it from a caller.

    Attributes:
        job: Organisation and job key.
        service: Name of the service.
        digest: Digest of service and tasks.
        tasks: The tasks, by index.
        deadline_s: Time allowed from now on.
    """

    job: JobRef
    service: str
    digest: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float


@dataclasses.dataclass(frozen=True)
class SingleRequest:
    """One task as a caller asks for it, without a job key.

    Attributes:
        organisation: Whose request it is.
        service: Name of the service.
        task: The task.
        deadline_s: Time allowed from now on.
        idempotent: Whether running it again does no harm.
    """

    organisation: str
    service: str
    task: TaskSpec
    deadline_s: float
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Why a submission gets no answer from this entry now.

    Attributes:
        kind: Machine-readable kind.
        message: What happened.
        remedy: What the caller can do.
        retry_after_s: When to come back; 0 when that would not help.
        started: Whether this entry may have started some of the job's tasks.
    """

    kind: str
    message: str
    remedy: str
    retry_after_s: float = 0.0
    started: bool = False
