"""The mutable state of an entry and of an agent, one object each."""

import collections
import dataclasses
import enum
import random

from egretthread import (
    config,
    credit,
    ejection,
    fairqueue,
    members,
    message,
    quota,
    retry,
    runtimes,
)
from egretthread.jobkey import JobRef
from egretthread.lease import NO_LEASE, AgentLease
from egretthread.ledger import Ledger
from egretthread.message import Ballot, Message, Registration
from egretthread.outcome import JobAnswer, Outcome
from egretthread.settings import AgentSettings, EntrySettings
from egretthread.witness import Request, WitnessRegister


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


class Phase(enum.StrEnum):
    """Where a job stands at an entry."""

    CLAIMING = "claiming"
    # Too much waits here to start it; another entry may be at it.
    LOOKING = "looking"
    ASKING = "asking"
    PREPARING = "preparing"
    SEALING = "sealing"
    ACCEPTING = "accepting"
    RUNNING = "running"
    CLOSING = "closing"
    OVER = "over"


@dataclasses.dataclass
class Round:
    """One request to the witnesses of a job and the replies so far.

    Attributes:
        request: The request, as sent.
        replies: Replies by witness name.
        sent_s: Monotonic time when it was last sent.
        started_s: Monotonic time when the round began.
    """

    request: Request
    replies: dict[str, message.WitnessReply]
    sent_s: float
    started_s: float


class JobStatus(enum.StrEnum):
    """What a caller is told of a job that has no answer yet."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    # Its coordinator is gone; submitting it again recovers it.
    STRANDED = "stranded"


@dataclasses.dataclass
class LookUp:
    """A search for a job that this entry does not know.

    Attributes:
        round: The request to the witnesses.
        cancel: Whether the job is to be cancelled where it is found.
        coordinator: Node id of the entry asked, once one is found.
        started_s: Monotonic time when the search began.
    """

    round: Round
    cancel: bool
    started_s: float
    coordinator: str = ""


@dataclasses.dataclass(frozen=True)
class HandOut:
    """A task that an agent holds for us.

    Attributes:
        agent: The agent's node id.
        attempt: Which hand-out of the task it is.
        sent_s: Monotonic time when it was last sent.
    """

    agent: str
    attempt: int
    sent_s: float


@dataclasses.dataclass
class JobState:
    """One job at an entry.

    Attributes:
        submission: The job as submitted.
        phase: Where it stands.
        ballot: The ballot under which this entry acts for it.
        deadline_s: Monotonic time of its deadline.
        created_s: Monotonic time of the submission.
        agents: Node ids registered as possible holders of its tasks.
        proposed_agents: Those last sent to the witnesses, if more.
        round: The round with the witnesses now under way, if any.
        extension: The round that registers more agents, if any.
        seals: Seal replies by agent node id.
        sealed_s: Monotonic time when seals were last sent.
        vanished: Agents that are gone with what they knew.
        registration: The registration taken over, if any.
        outcomes: Final outcomes by index.
        hand_outs: Tasks held by agents, by index.
        attempts: Hand-outs so far, by index.
        cancel_reason: Why no more tasks are to start; empty when they may.
        coordinator: Node id of the entry asked for the answer.
        wake_s: Monotonic time of the next step on its own.
        answer: The whole answer, once the job is over.
    """

    submission: Submission
    phase: Phase
    ballot: Ballot
    deadline_s: float
    created_s: float
    agents: tuple[str, ...] = ()
    proposed_agents: tuple[str, ...] = ()
    round: Round | None = None
    extension: Round | None = None
    seals: dict[str, message.SealReply] = dataclasses.field(
        default_factory=dict
    )
    sealed_s: float = 0.0
    vanished: set[str] = dataclasses.field(default_factory=set)
    registration: Registration | None = None
    outcomes: dict[int, Outcome] = dataclasses.field(default_factory=dict)
    hand_outs: dict[int, HandOut] = dataclasses.field(default_factory=dict)
    attempts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    cancel_reason: str = ""
    coordinator: str = ""
    wake_s: float = 0.0
    answer: JobAnswer | None = None

    @property
    def job(self) -> JobRef:
        """The job's organisation and key."""
        return self.submission.job


@dataclasses.dataclass
class RequestState:
    """A single request at an entry.

    Attributes:
        request: The request as its caller sent it.
        job: The job of the first attempt, which names the request.
        deadline_s: Monotonic time of its deadline.
        attempts: Attempts so far.
        result: How the last attempt ended.
        wake_s: Monotonic time of the next attempt.
    """

    request: SingleRequest
    job: JobRef
    deadline_s: float
    attempts: int = 0
    result: Outcome | Refusal | None = None
    wake_s: float = 0.0


@dataclasses.dataclass
class AgentState:
    """What an entry knows of one agent incarnation.

    Attributes:
        node: The agent's node id.
        heartbeat: Its last heartbeat.
        heard_s: Monotonic time when it was last heard.
        joined_s: Monotonic time when work may have begun to flow to it.
        free: Slots believed free.
        assigned: Tasks assigned to it over the present link.
        connected: Whether a link to it is open.
        wanted: Slots this entry last asked for.
        wanted_s: Monotonic time of that wish.
        refusals: Times in a row that it refused what it was handed.
        refused_s: Monotonic time when the last of them came.
        rest_until_s: Monotonic time until which it is handed nothing.
        told_entries: Addresses of the entries as last sent over this link.
        told_shards: Epoch of each shard as last sent over this link, and
            whether it was fenced.
    """

    node: str
    heartbeat: message.Heartbeat
    heard_s: float
    joined_s: float
    free: int
    assigned: int = 0
    connected: bool = True
    wanted: int = 0
    wanted_s: float = 0.0
    refusals: int = 0
    refused_s: float = float("-inf")
    rest_until_s: float = float("-inf")
    told_entries: tuple[str, ...] = ()
    told_shards: dict[int, tuple[int, bool]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class PeerState:
    """What an entry knows of another entry.

    Attributes:
        state: The last state it sent.
        heard_s: Monotonic time when that came.
    """

    state: message.EntryState
    heard_s: float


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Slots that serve a service, over all agents that take work.

    Attributes:
        slots: How many there are.
        counted_s: Monotonic time of the count.
    """

    slots: int
    counted_s: float


@dataclasses.dataclass
class EntryBoard:
    """All state of one entry; controllers read and write it.

    Attributes:
        settings: The process's settings.
        node: Its node id.
        rng: Source of jitter.
        now_s: Monotonic time of the event being handled.
        unix_s: Wall clock of the event being handled.
        configuration: The configuration in force, if any.
        config_offset: Its offset; -1 for none.
        heard_offset: The newest offset that another entry has told of.
        log_read_s: Monotonic time of the last read of the log's end.
        lease_until_s: Monotonic time until which the configuration may be
            acted on.
        horizon_s: Keys issued before this Unix time are refused.
        membership: Entries and witness table.
        started_s: Monotonic time of the process's start.
        address: Address for other processes, `host:port`, once bound.
        entry_links: Node ids of the entries linked to.
        absent_since_s: Monotonic time since when a member is absent, by name.
        witness_zones: Availability zone of each witness, by agent name.
        fenced: Shards known to be fenced, by epoch.
        proposal: A record to append to the members stream, if any.
        peers: Other entries, by node id.
        agents: Agents, by node id.
        agent_names: Node id of the newest incarnation, by agent name.
        jobs: Jobs, by reference, kept until past retention.
        open_jobs: The jobs among them that have no answer yet.
        generations: Highest generation used by this entry, by job.
        queues: Fair queue of waiting tasks, by service.
        eligible_counts: Agents that may get tasks, by service, as last
            counted.
        wanting: Node ids of agents asked for slots, by service.
        probations: Ejected backend servers, by service.
        quotas: Quotas by organisation.
        run_times: Run times learned, by service.
        capacities: Slots that serve each service.
        slot_share: This entry's part of the slots, by demand.
        askers: Entries to be told the answer, by job: the digest that each
            asked for, by node id.
        look_ups: Searches for jobs that this entry does not know.
        requests: Single requests under way, by the job of their attempt.
        waiting_requests: Single requests that wait for their next attempt.
        retry_budget: Bounds the further attempts of all requests together.
        answered: Results of single requests, by the job that names them.
        outbox: (node id, message) pairs to be sent.
        looked_up: What the searches found, for the callers.
        finished: Jobs with an answer, or refusals, for their callers.
        counters: Event counts for the metrics.
        samples: (histogram name, seconds) pairs for the metrics.
        shutting_down: Whether new submissions are refused.
    """

    settings: EntrySettings
    node: str
    rng: random.Random
    now_s: float = 0.0
    unix_s: float = 0.0
    configuration: config.Configuration | None = None
    config_offset: int = -1
    heard_offset: int = -1
    log_read_s: float = float("-inf")
    lease_until_s: float = float("-inf")
    horizon_s: float = 0.0
    membership: members.Membership = dataclasses.field(
        default_factory=members.Membership
    )
    started_s: float = 0.0
    address: str = ""
    entry_links: set[str] = dataclasses.field(default_factory=set)
    absent_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    witness_zones: dict[str, str] = dataclasses.field(default_factory=dict)
    fenced: dict[int, set[int]] = dataclasses.field(default_factory=dict)
    proposal: str = ""
    peers: dict[str, PeerState] = dataclasses.field(default_factory=dict)
    agents: dict[str, AgentState] = dataclasses.field(default_factory=dict)
    agent_names: dict[str, str] = dataclasses.field(default_factory=dict)
    jobs: dict[JobRef, JobState] = dataclasses.field(default_factory=dict)
    open_jobs: dict[JobRef, JobState] = dataclasses.field(default_factory=dict)
    generations: dict[JobRef, int] = dataclasses.field(default_factory=dict)
    queues: dict[str, fairqueue.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    eligible_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    wanting: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    probations: dict[str, ejection.Probation] = dataclasses.field(
        default_factory=dict
    )
    quotas: quota.QuotaTable = dataclasses.field(
        default_factory=quota.QuotaTable
    )
    run_times: dict[str, runtimes.RunTimes] = dataclasses.field(
        default_factory=dict
    )
    capacities: dict[str, Capacity] = dataclasses.field(default_factory=dict)
    slot_share: float = 1.0
    askers: dict[JobRef, dict[str, str]] = dataclasses.field(
        default_factory=dict
    )
    outbox: list[tuple[str, Message]] = dataclasses.field(default_factory=list)
    requests: dict[JobRef, RequestState] = dataclasses.field(
        default_factory=dict
    )
    waiting_requests: list[RequestState] = dataclasses.field(
        default_factory=list
    )
    retry_budget: retry.RetryBudget = dataclasses.field(
        default_factory=retry.RetryBudget
    )
    answered: list[tuple[JobRef, Outcome | Refusal]] = dataclasses.field(
        default_factory=list
    )
    look_ups: dict[JobRef, LookUp] = dataclasses.field(default_factory=dict)
    looked_up: list[tuple[JobRef, JobAnswer | Refusal | JobStatus]] = (
        dataclasses.field(default_factory=list)
    )
    finished: list[tuple[JobRef, JobAnswer | Refusal]] = dataclasses.field(
        default_factory=list
    )
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    shutting_down: bool = False

    @property
    def lease_open(self) -> bool:
        """Whether the configuration may be acted on now."""
        return self.now_s < self.lease_until_s

    @property
    def log_age_s(self) -> float:
        """Time since this entry read the log's end, in seconds."""
        return self.now_s - self.log_read_s

    def send(self, node: str, item: Message) -> None:
        """Puts a message for a node into the outbox."""
        self.outbox.append((node, item))


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A task the shell is to run on the backend server.

    Attributes:
        job: The task's job.
        service: The service.
        index: The task's index.
        attempt: Which hand-out it is.
        payload: JSON text for the backend server.
        timeout_s: Longest run time.
        accepted_s: Monotonic time since when it holds its slot.
    """

    job: JobRef
    service: str
    index: int
    attempt: int
    payload: str
    timeout_s: float
    accepted_s: float = 0.0


@dataclasses.dataclass
class AgentBoard:
    """All state of one agent; controllers read and write it.

    Attributes:
        settings: The process's settings.
        node: Its node id.
        now_s: Monotonic time of the event being handled.
        unix_s: Wall clock of the event being handled.
        horizon_s: Keys issued before this Unix time are refused; it never
            goes back, whatever becomes of the retention.
        lease: Permission to start tasks.
        view: The heartbeat reply that the lease's configuration came from.
        entries: Addresses of all entries, as last told.
        ledger: Tasks handed to this agent.
        witness: Job keys this agent is a witness of.
        slots: Slots in force.
        running: Tasks running now.
        waiting: Accepted tasks that wait for a slot, next first.
        held: Slots held for entries: (until_s, entry node id, count).
        wishes: Wishes for free slots, by entry node id.
        granted_s: Monotonic time of the last grant, by entry node id.
        healthy: Whether the backend server answers.
        draining: Whether the process is shutting down.
        dial_all_until_s: Monotonic time until which links with all entries
            are kept, since one without a link has taken over a job.
        recent: Whether recent tasks failed, newest last.
        links: Tasks received over the present link, by entry node id.
        outbox: (node id, message) pairs to be sent.
        to_start: Tasks for the shell to run.
        counters: Event counts for the metrics.
        samples: (histogram name, seconds) pairs for the metrics.
    """

    settings: AgentSettings
    node: str
    now_s: float = 0.0
    unix_s: float = 0.0
    horizon_s: float = 0.0
    lease: AgentLease = NO_LEASE
    view: message.HeartbeatReply | None = None
    entries: tuple[str, ...] = ()
    ledger: Ledger = dataclasses.field(default_factory=Ledger)
    witness: WitnessRegister | None = None
    slots: int = 0
    running: int = 0
    waiting: collections.deque[StartOrder] = dataclasses.field(
        default_factory=collections.deque
    )
    held: list[tuple[float, str, int]] = dataclasses.field(default_factory=list)
    granted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    wishes: dict[str, credit.Wish] = dataclasses.field(default_factory=dict)
    healthy: bool = True
    draining: bool = False
    dial_all_until_s: float = float("-inf")
    recent: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=50)
    )
    links: dict[str, int] = dataclasses.field(default_factory=dict)
    outbox: list[tuple[str, Message]] = dataclasses.field(default_factory=list)
    to_start: list[StartOrder] = dataclasses.field(default_factory=list)
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: list[tuple[str, float]] = dataclasses.field(default_factory=list)

    def send(self, node: str, item: Message) -> None:
        """Puts a message for a node into the outbox."""
        self.outbox.append((node, item))
