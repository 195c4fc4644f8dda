"""Messages between the system's processes, as frozen data classes.

A node is one process, identified by its node id (see `nodeid`). Durations are
in seconds.
"""

import dataclasses
import enum

from egretthread.jobkey import JobRef
from egretthread.outcome import Outcome


@dataclasses.dataclass(frozen=True, order=True)
class Ballot:
    """Orders the coordinators of a job; the higher ballot supersedes the lower.

    Attributes:
        generation: 1 for the first claim, incremented by each takeover.
        coordinator: Node id of the entry, so that no two ballots are equal.
    """

    generation: int
    coordinator: str


NO_BALLOT = Ballot(0, "")


@dataclasses.dataclass(frozen=True)
class Registration:
    """The state of a job that the witnesses replicate.

    Attributes:
        digest: Hexadecimal digest of the job's content.
        ballot: The ballot under which the registration was accepted.
        agents: Node ids of all agents that may ever hold a task of the job.
        closed: Whether the answer is final, so that no more tasks may start.
        not_run: Indices of the tasks whose final outcome is NOT_RUN, once
            closed.
    """

    digest: str
    ballot: Ballot
    agents: tuple[str, ...]
    closed: bool = False
    not_run: tuple[int, ...] = ()


class Verdict(enum.StrEnum):
    """A witness's decision on a Claim, Prepare, Accept or Look."""

    GRANTED = "granted"
    # The witness holds another registration or has seen a higher ballot.
    REFUSED = "refused"
    # The witness does not hold the shard, or may hold it only since after the
    # key was issued, so that it cannot know whether the job was registered.
    NOT_READY = "not_ready"
    # The request has another epoch of the shard than the witness.
    STALE_EPOCH = "stale_epoch"
    # The key was issued before the retention period or lies in the future.
    OUTSIDE_RETENTION = "outside_retention"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Entry to witness: register a job that is not registered yet."""

    job: JobRef
    shard: int
    epoch: int
    registration: Registration


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Entry to witness: promise not to accept any lower ballot."""

    job: JobRef
    shard: int
    epoch: int
    ballot: Ballot


@dataclasses.dataclass(frozen=True)
class Accept:
    """Entry to witness: store this registration unless it is superseded."""

    job: JobRef
    shard: int
    epoch: int
    registration: Registration


@dataclasses.dataclass(frozen=True)
class Look:
    """Entry to witness: return the registration of this job."""

    job: JobRef
    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class WitnessReply:
    """Witness to entry: reply to Claim, Prepare, Accept or Look.

    Attributes:
        job: The job of the request.
        ballot: The ballot of the request, if it has one.
        request: Name of the request's class, in lower case.
        witness: Name of the replying agent, without its incarnation.
        verdict: Whether the request was granted, or why not.
        promised: The highest ballot that the witness has promised.
        registration: The registration that the witness holds, if any.
    """

    job: JobRef
    ballot: Ballot
    request: str
    witness: str
    verdict: Verdict
    promised: Ballot = NO_BALLOT
    registration: Registration | None = None


@dataclasses.dataclass(frozen=True)
class TaskAssignment:
    """One task assigned to an agent.

    Attributes:
        index: The task's index within its job.
        attempt: Number of this assignment of the task. An attempt that was
            refused never starts; the task needs a higher attempt.
        payload: JSON text sent to the backend server.
        timeout_s: Maximum run time of the task.
    """

    index: int
    attempt: int
    payload: str
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class Assign:
    """Entry to agent: start these tasks.

    Attributes:
        job: The job the tasks belong to.
        service: Name of the service whose backend server runs them.
        ballot: The coordinator's ballot. The agent refuses the tasks if it has
            sealed the job under a higher one.
        agent: Node id of the addressed agent.
        tasks: The assigned tasks.
        want: Number of further tasks for which slots are requested.
        urgent_s: How long the most urgent of these is overdue, that is, past
            its wait allowance.
        may_queue: Whether the agent may queue tasks beyond its slots.
    """

    job: JobRef
    service: str
    ballot: Ballot
    agent: str
    tasks: tuple[TaskAssignment, ...]
    want: int = 0
    urgent_s: float = 0.0
    may_queue: bool = False


class TaskState(enum.StrEnum):
    """State of one assignment at an agent."""

    STARTED = "started"
    FINISHED = "finished"
    # The task has not started under this attempt and never will.
    REFUSED = "refused"


class Refusal(enum.StrEnum):
    """Why an agent refused an assignment."""

    NONE = ""
    BUSY = "busy"
    SEALED = "sealed"
    DRAINING = "draining"
    WITHDRAWN = "withdrawn"
    NO_LEASE = "no_lease"
    BACKEND_UNREACHABLE = "backend_unreachable"
    OUTSIDE_RETENTION = "outside_retention"
    WRONG_SERVICE = "wrong_service"


@dataclasses.dataclass(frozen=True)
class TaskReport:
    """An agent's report on one assignment of a task.

    Attributes:
        index: The task's index within its job.
        attempt: Number of the assignment.
        state: Whether the task started, finished or was refused.
        outcome: The outcome, once finished.
        refusal: The reason, if refused.
        run_s: How long the task occupied its slot, once finished.
    """

    index: int
    attempt: int
    state: TaskState
    outcome: Outcome | None = None
    refusal: Refusal = Refusal.NONE
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Report:
    """Agent to entry: finished and refused tasks of one job.

    Attributes:
        job: The job the tasks belong to.
        ballot: The highest ballot the agent has seen for the job.
        agent: The agent's node id.
        tasks: One report per task.
        free: Slots that the entry may fill now.
        received: Number of tasks that the agent has received from this entry
            over the current link.
    """

    job: JobRef
    ballot: Ballot
    agent: str
    tasks: tuple[TaskReport, ...]
    free: int
    received: int


@dataclasses.dataclass(frozen=True)
class Want:
    """Entry to agent: request slots for waiting tasks.

    Attributes:
        entry: The entry's node id.
        service: The service the tasks are for.
        count: Number of slots requested; 0 withdraws the request.
        urgent_s: How long the most urgent task is overdue, that is, past its
            wait allowance.
        may_queue: Whether the agent may queue tasks beyond its slots.
    """

    entry: str
    service: str
    count: int
    urgent_s: float
    may_queue: bool


@dataclasses.dataclass(frozen=True)
class Credit:
    """Agent to entry: grants slots, which are reserved for a short time.

    Attributes:
        agent: The agent's node id.
        free: Slots that the entry may fill now.
        received: Number of tasks that the agent has received from this entry
            over the current link.
    """

    agent: str
    free: int
    received: int


@dataclasses.dataclass(frozen=True)
class Seal:
    """Entry to agent: refuse lower ballots for the job and report its tasks."""

    job: JobRef
    ballot: Ballot
    agent: str


@dataclasses.dataclass(frozen=True)
class SealReply:
    """Agent to entry: the job's tasks at the agent, in reply to Seal.

    Attributes:
        job: The job of the request.
        ballot: The highest ballot the agent has seen; higher than that of the
            request if the seal was refused.
        agent: The agent's node id. Another incarnation than the addressed one
            means that the addressed process is lost.
        tasks: One report per task that the agent started or finished.
    """

    job: JobRef
    ballot: Ballot
    agent: str
    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True)
class ShardView:
    """The state of one shard of the witness table at an epoch.

    Attributes:
        shard: Number of the shard.
        epoch: Offset of the log record that last changed the shard.
        members: Names of its three agents.
        fenced: Whether an older epoch can no longer form a majority.
    """

    shard: int
    epoch: int
    members: tuple[str, ...]
    fenced: bool


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Agent to entry: the agent's state and a request for a lease.

    Attributes:
        agent: The agent's node id.
        zone: The agent's availability zone.
        service: The service that the agent's backend server runs.
        processors: Number of processors of the worker.
        memory_bytes: Memory of the worker.
        slots: Maximum number of concurrent tasks.
        free: Slots that the entry may fill now.
        healthy: Whether the backend server answers health checks.
        draining: Whether the agent refuses new tasks.
        failure_share: Share of recent tasks that failed, 0 to 1.
        sent_s: The agent's monotonic clock at the time of sending.
        received: Number of tasks that the agent has received from this entry
            over the current link.
        shard_epochs: (shard, epoch) pairs that the agent has adopted.
    """

    agent: str
    zone: str
    service: str
    processors: int
    memory_bytes: int
    slots: int
    free: int
    healthy: bool
    draining: bool
    failure_share: float
    sent_s: float
    received: int
    shard_epochs: tuple[tuple[int, int], ...] = ()


@dataclasses.dataclass(frozen=True)
class HeartbeatReply:
    """Entry to agent: the lease and the configuration for the agent.

    Attributes:
        entry: The entry's node id.
        echo_s: `sent_s` of the heartbeat that is answered.
        config_offset: Log offset of the configuration in force; -1 for none.
        lease_s: How long after `echo_s` tasks may start; 0 for no lease.
        withdrawn: Whether the agent's availability zone is withdrawn.
        draining: Whether the backend server is to be drained.
        slots: Slots per server that the configuration allows the service.
        retention_s: How long job keys are retained.
        clock_error_s: Upper bound on the error of any node's clock.
        entries: Addresses (`host:port`) of the entries to connect to; empty
            if they are unchanged since they were last sent over this link.
        shards: Shards of the witness table about which the agent is to be
            updated.
    """

    entry: str
    echo_s: float
    config_offset: int
    lease_s: float
    withdrawn: bool
    draining: bool
    slots: int
    retention_s: float
    clock_error_s: float
    entries: tuple[str, ...] = ()
    shards: tuple[ShardView, ...] = ()


@dataclasses.dataclass(frozen=True)
class EntryState:
    """Entry to entry: liveness, log health and demand.

    Attributes:
        entry: The sender's node id.
        address: The sender's address for other processes, `host:port`.
        sent_s: The sender's monotonic clock at the time of sending.
        echo_s: The receiver's `sent_s` that was last received; 0 for none.
        config_offset: Offset of the configuration in force at the sender.
        log_age_s: Time since the sender last read the log up to its end.
        demand: (organisation, requested task starts per second) pairs.
        holds_lease: Whether the sender may still act on that configuration.
    """

    entry: str
    address: str
    sent_s: float
    echo_s: float
    config_offset: int
    log_age_s: float
    demand: tuple[tuple[str, float], ...] = ()
    holds_lease: bool = False


@dataclasses.dataclass(frozen=True)
class Ask:
    """Entry to coordinator: return the answer of this job.

    Attributes:
        job: The job.
        entry: Node id of the requesting entry.
        digest: Digest of the content that the caller sent; empty if the
            caller only looks the job up.
    """

    job: JobRef
    entry: str
    digest: str = ""


class AskStatus(enum.StrEnum):
    """Status of a job in the reply to Ask."""

    ANSWERED = "answered"
    RUNNING = "running"
    NOT_COORDINATOR = "not_coordinator"
    # The digest in the request differs from that of the job.
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True)
class AskReply:
    """Coordinator to entry: the status of the job, and its answer if any."""

    job: JobRef
    entry: str
    status: AskStatus
    outcomes: tuple[Outcome, ...] = ()


@dataclasses.dataclass(frozen=True)
class CancelJob:
    """Entry to coordinator: start no more tasks of this job."""

    job: JobRef
    entry: str


Message = (
    Claim
    | Prepare
    | Accept
    | Look
    | WitnessReply
    | Assign
    | Report
    | Want
    | Credit
    | Seal
    | SealReply
    | Heartbeat
    | HeartbeatReply
    | EntryState
    | Ask
    | AskReply
    | CancelJob
)
