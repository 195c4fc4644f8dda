"""The mutable state of an entry, in one object."""

import collections
import dataclasses
import random

from egretthread import (
    config,
    ejection,
    fairqueue,
    members,
    message,
    quota,
    retry,
    runtimes,
)
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobState, JobStatus, Lookup, RequestState
from egretthread.message import Message
from egretthread.outcome import JobAnswer, Outcome
from egretthread.settings import EntrySettings
from egretthread.submission import Refusal


@dataclasses.dataclass
class AgentState:
    """What an entry knows about one agent incarnation.

    Attributes:
        node: The agent's node id.
        heartbeat: Its last heartbeat.
        last_received_s: Monotonic time of its last heartbeat.
        joined_s: Monotonic time when it became able to take tasks, from
            which its ramp-up counts.
        free: Its free slots as last reported, less tasks in flight.
        assigned: Tasks assigned to it over the current link.
        is_connected: Whether a link to it is open.
        requested_slots: Slots that this entry last requested from it.
        requested_s: Monotonic time of that request.
        consecutive_refusals: Refused assignments since it last ran a task.
        last_refusal_s: Monotonic time of the last refusal.
        backoff_until_s: Monotonic time until which it gets no assignment.
        sent_entries: Addresses of the entries as last sent over this link.
        sent_shards: Epoch of each shard as last sent over this link, and
            whether it was fenced.
    """

    node: str
    heartbeat: message.Heartbeat
    last_received_s: float
    joined_s: float
    free: int
    assigned: int = 0
    is_connected: bool = True
    requested_slots: int = 0
    requested_s: float = 0.0
    consecutive_refusals: int = 0
    last_refusal_s: float = float("-inf")
    backoff_until_s: float = float("-inf")
    sent_entries: tuple[str, ...] = ()
    sent_shards: dict[int, tuple[int, bool]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class PeerState:
    """What an entry knows about another entry.

    Attributes:
        state: The last state that it sent.
        last_received_s: Monotonic time when that state arrived.
    """

    state: message.EntryState
    last_received_s: float


@dataclasses.dataclass(frozen=True)
class Capacity:
    """Number of slots that serve a service, over all eligible agents.

    Attributes:
        slots: The number of slots.
        counted_s: Monotonic time when they were counted.
    """

    slots: int
    counted_s: float


@dataclasses.dataclass
class EntryBoard:
    """All state of one entry; controllers read and write it.

    Attributes:
        settings: The process's settings.
        node: Its node id.
        rng: Source of randomness for jitter and sampling.
        now_s: Monotonic time of the event being handled.
        unix_s: Wall clock of the event being handled.
        configuration: The configuration in force, if any.
        config_offset: Its offset; -1 for none.
        newest_offset_seen: The newest configuration offset that another
            entry has stated.
        log_read_s: Monotonic time of the last read of the log's end.
        lease_until_s: Monotonic time until which the configuration may be
            acted on.
        horizon_s: Retention horizon: keys issued before this Unix time are
            refused.
        membership: The known entries and the witness table.
        started_s: Monotonic time of the process's start.
        address: Address for other processes, `host:port`, once bound.
        entry_links: Node ids of the entries with an open link.
        absent_since_s: Monotonic time since when an entry or witness is
            absent, by name.
        witness_zones: Availability zone of each witness, by agent name.
        fenced: Shards known to be fenced, by epoch.
        proposal: A record to append to the members stream, or empty.
        peers: Other entries, by node id.
        agents: Agents, by node id.
        agent_names: Node id of the newest incarnation, by agent name.
        jobs: Jobs, by reference, kept until their keys expire.
        open_jobs: The jobs among them that have no answer yet.
        generations: Highest ballot generation known here, by job.
        dispatched_jobs: Jobs of which this entry ever dispatched a task, kept
            until their keys expire.
        queues: Fair queue of waiting tasks, by service.
        eligible_counts: Number of eligible agents, by service, as last
            counted.
        requested_agents: Node ids of the agents that hold a slot request of
            this entry, by service.
        probations: Ejected backend servers, by service.
        quotas: Quotas by organisation.
        run_times: Run time statistics, by service.
        capacities: Number of slots, by service.
        slot_share: This entry's share of the slots, by its share of the
            demand.
        waiting_entries: Other entries that wait for a job's answer, by job:
            the content digest that each sent, by node id.
        lookups: Lookups under way, for jobs that this entry does not know.
        requests: Single requests under way, by the job of their attempt.
        waiting_requests: Single requests that wait for their next attempt.
        retry_budget: Bounds the retries of all single requests together.
        request_results: Results of single requests to deliver, by the job of
            their first attempt.
        outbox: (node id, message) pairs to be sent.
        lookup_results: Results of lookups to deliver to callers.
        job_results: Answers and refusals of jobs to deliver to callers.
        counters: Event counts for the metrics.
        samples: (histogram name, seconds) pairs for the metrics.
        is_shutting_down: Whether new submissions are refused.
    """

    settings: EntrySettings
    node: str
    rng: random.Random
    now_s: float = 0.0
    unix_s: float = 0.0
    configuration: config.Configuration | None = None
    config_offset: int = -1
    newest_offset_seen: int = -1
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
    dispatched_jobs: set[JobRef] = dataclasses.field(default_factory=set)
    queues: dict[str, fairqueue.FairQueue] = dataclasses.field(
        default_factory=dict
    )
    eligible_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    requested_agents: dict[str, set[str]] = dataclasses.field(
        default_factory=dict
    )
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
    waiting_entries: dict[JobRef, dict[str, str]] = dataclasses.field(
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
    request_results: list[tuple[JobRef, Outcome | Refusal]] = dataclasses.field(
        default_factory=list
    )
    lookups: dict[JobRef, Lookup] = dataclasses.field(default_factory=dict)
    lookup_results: list[tuple[JobRef, JobAnswer | Refusal | JobStatus]] = (
        dataclasses.field(default_factory=list)
    )
    job_results: list[tuple[JobRef, JobAnswer | Refusal]] = dataclasses.field(
        default_factory=list
    )
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: list[tuple[str, float]] = dataclasses.field(default_factory=list)
    is_shutting_down: bool = False

    @property
    def lease_open(self) -> bool:
        """Whether this entry holds a lease on its configuration."""
        return self.now_s < self.lease_until_s

    @property
    def log_age_s(self) -> float:
        """Seconds since this entry last read the log's end."""
        return self.now_s - self.log_read_s

    def send(self, node: str, outgoing: Message) -> None:
        """Adds a message for a node to the outbox."""
        self.outbox.append((node, outgoing))
