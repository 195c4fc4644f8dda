"""Messages between the system's processes, as frozen data classes.

A node is one process: `name#incarnation`. The name is the instance's, from
its settings; the incarnation is the Unix time of its start in milliseconds,
so a restarted process is another node. Durations are in seconds.
"""

import dataclasses
import enum

from egretthread.jobkey import JobRef
from egretthread.outcome import Outcome
from egretthread.scheduling import runmessage


def node_id(name: str, incarnation: int) -> str:
    """Returns the node id of one incarnation of a named process."""
    return f"{name}#{incarnation}"


def node_name(node: str) -> str:
    """Returns the name within a node id."""
    return node.rpartition("#")[0]


def node_incarnation(node: str) -> int:
    """Returns the incarnation within a node id."""
    return int(node.rpartition("#")[2])


@dataclasses.dataclass(frozen=True, order=True)
class Ballot:
    """Orders the coordinators of one job; a higher one supersedes.

    Attributes:
        generation: 1 for the first claim, counted up by each takeover.
        coordinator: Node id of the entry, so that no two ballots are equal.
    """

    generation: int
    coordinator: str


NO_BALLOT = Ballot(0, "")


@dataclasses.dataclass(frozen=True)
class Registration:
    """What the witnesses remember of a job.

    Attributes:
        digest: Digest of the job's content, hexadecimal.
        ballot: The ballot under which it was accepted.
        agents: Node ids of all agents that may ever hold a task of the job.
        closed: Whether the answer is final, so that nothing starts any more.
        not_run: Indices whose final outcome is NOT_RUN, once closed.
    """

    digest: str
    ballot: Ballot
    agents: tuple[str, ...]
    closed: bool = False
    not_run: tuple[int, ...] = ()


class Verdict(enum.StrEnum):
    """A witness's answer to a claim, a prepare or an accept."""

    GRANTED = "granted"
    # Another registration or a higher ballot stands.
    REFUSED = "refused"
    # The witness's memory may not reach back to the key's time.
    NOT_READY = "not_ready"
    # The request names another epoch of the witness table.
    STALE_EPOCH = "stale_epoch"
    # The key's time is past retention, or lies in the future.
    OUTSIDE_RETENTION = "outside_retention"


@dataclasses.dataclass(frozen=True)
class Claim:
    """Entry to witness: register a job of which nothing is known yet."""

    job: JobRef
    shard: int
    epoch: int
    registration: Registration


@dataclasses.dataclass(frozen=True)
class Prepare:
    """Entry to witness: promise to accept nothing below this ballot."""

    job: JobRef
    shard: int
    epoch: int
    ballot: Ballot


@dataclasses.dataclass(frozen=True)
class Accept:
    """Entry to witness: store this registration unless superseded."""

    job: JobRef
    shard: int
    epoch: int
    registration: Registration


@dataclasses.dataclass(frozen=True)
class Look:
    """Entry to witness: what is registered of this job?"""

    job: JobRef
    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True)
class WitnessReply:
    """Witness to entry: the answer to Claim, Prepare, Accept, Look.

    Attributes:
        job: The job asked about.
        ballot: The ballot of the request that is answered, if it has one.
        request: Name of the request's class, in lower case.
        witness: Name of the answering agent (without incarnation).
        verdict: Whether it was granted, or why not.
        promised: The highest ballot the witness has promised.
        registration: The registration it holds, if any.
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
    """One task handed to an agent.

    Attributes:
        index: The task's index within its job.
        attempt: Counts the hand-outs of this task; a refused hand-out never
            starts, so only a higher attempt may.
        payload: JSON text handed to the backend server.
        timeout_s: Longest time the task may run.
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
        ballot: The coordinator's ballot; a lower one than sealed is refused.
        agent: Node id of the agent incarnation this is meant for.
        tasks: The tasks handed out.
        want: How many more tasks wait for this agent; 0 for none.
        urgent_s: How long the most urgent of these is past its patience.
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
    """An agent's record of one hand-out."""

    STARTED = "started"
    FINISHED = "finished"
    # It did not start here and never will under this attempt.
    REFUSED = "refused"


class Refusal(enum.StrEnum):
    """Why an agent refused a hand-out."""

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
    """What an agent says of one task.

    Attributes:
        index: The task's index within its job.
        attempt: The hand-out it speaks of.
        state: Whether it started, finished or was refused.
        outcome: The outcome, once finished.
        refusal: The cause, when refused.
        run_s: How long it held its slot, once finished.
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
        received: Tasks that this entry has assigned over the present link,
            as far as the agent has received them.
    """

    job: JobRef
    ballot: Ballot
    agent: str
    tasks: tuple[TaskReport, ...]
    free: int
    received: int


@dataclasses.dataclass(frozen=True)
class Want:
    """Entry to agent: tasks wait here for a free slot.

    Attributes:
        entry: The entry's node id.
        service: The service the tasks are for.
        count: How many slots the entry would fill; 0 withdraws the wish.
        urgent_s: How long the most urgent of them is past its patience.
        may_queue: Whether the agent may queue tasks beyond its slots.
    """

    entry: str
    service: str
    count: int
    urgent_s: float
    may_queue: bool


@dataclasses.dataclass(frozen=True)
class Credit:
    """Agent to entry: slots are free and some are held for the entry briefly.

    Attributes:
        agent: The agent's node id.
        free: Slots that the entry may fill now.
        received: Tasks that this entry has assigned over the present link,
            as far as the agent has received them.
    """

    agent: str
    free: int
    received: int


@dataclasses.dataclass(frozen=True)
class Seal:
    """Entry to agent: refuse lower ballots for the job, say what you hold."""

    job: JobRef
    ballot: Ballot
    agent: str


@dataclasses.dataclass(frozen=True)
class SealReply:
    """Agent to entry: what it holds of the job.

    Attributes:
        job: The job asked about.
        ballot: The highest ballot the agent has seen; higher than the
            request's when the seal was refused.
        agent: The agent's node id; another incarnation than asked for means
            that the one asked for is gone.
        tasks: One report per task the agent started or finished.
    """

    job: JobRef
    ballot: Ballot
    agent: str
    tasks: tuple[TaskReport, ...]


@dataclasses.dataclass(frozen=True)
class ShardView:
    """One shard of the witness table as of an epoch.

    Attributes:
        shard: Number of the shard.
        epoch: Offset of the log record that last changed it.
        members: Names of its three agents.
        fenced: Whether no majority of an older epoch can form any more.
    """

    shard: int
    epoch: int
    members: tuple[str, ...]
    fenced: bool


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Agent to entry: the agent announces itself and asks for a lease.

    Attributes:
        agent: The agent's node id.
        zone: Its availability zone.
        service: The service that its backend server runs.
        processors: Processors of the worker.
        memory_bytes: Memory of the worker.
        slots: Tasks it runs at once.
        free: Slots that the entry may fill now.
        healthy: Whether its backend server answers.
        draining: Whether it takes no new tasks.
        failure_share: Share of recent tasks that failed, 0 to 1.
        sent_s: The agent's monotonic clock when it sent this.
        received: Tasks that this entry has assigned over the present link,
            as far as the agent has received them.
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
    """Entry to agent: the lease and the agent's part of the configuration.

    Attributes:
        entry: The entry's node id.
        echo_s: `sent_s` of the heartbeat answered.
        config_offset: Log offset of the configuration in force; -1 for none.
        lease_s: How long after `echo_s` tasks may start; 0 for no lease.
        withdrawn: Whether the agent's availability zone is withdrawn.
        draining: Whether the backend server is to be drained.
        slots: Slots the configuration allows the service per server.
        retention_s: How long job keys are remembered.
        clock_error_s: Bound on the error of any node's clock.
        entries: Addresses (`host:port`) of the entries to connect to; empty
            when they are as last told over this link.
        shards: The shards of the witness table that the agent is to learn
            something of.
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
        address: Its address for other processes, `host:port`.
        sent_s: The sender's monotonic clock.
        echo_s: The receiver's `sent_s` that was last received; 0 for none.
        config_offset: Offset of the configuration it has in force.
        log_age_s: Time since it last read the log's end.
        demand: (organisation, starts wanted per second) pairs.
        holds_lease: Whether it may still act on that configuration.
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
    """Entry to entry: what is the answer of this job of yours?

    Attributes:
        job: The job.
        entry: Node id of the entry that asks.
        digest: Digest of the content that its caller sent; empty when the
            caller only looks the job up.
    """

    job: JobRef
    entry: str
    digest: str = ""


class AskStatus(enum.StrEnum):
    """A coordinator's reply to Ask."""

    ANSWERED = "answered"
    RUNNING = "running"
    NOT_COORDINATOR = "not_coordinator"
    # The job's content is another than the asker's.
    CONFLICT = "conflict"


@dataclasses.dataclass(frozen=True)
class AskReply:
    """Entry to entry: the answer, or that there is none yet."""

    job: JobRef
    entry: str
    status: AskStatus
    outcomes: tuple[Outcome, ...] = ()


@dataclasses.dataclass(frozen=True)
class CancelJob:
    """Entry to entry: start no more tasks of this job of yours."""

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
    | runmessage.ServerFacts
    | runmessage.AgentBeat
    | runmessage.EntryBeat
    | runmessage.StartRuns
    | runmessage.StopRuns
    | runmessage.RunReports
    | runmessage.LiveRuns
    | runmessage.EntryHello
    | runmessage.HeldEnds
    | runmessage.SettleEnds
    | runmessage.JobQuestion
    | runmessage.JobReply
    | runmessage.OperatorRecord
)
