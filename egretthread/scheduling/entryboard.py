"""The blackboard of an entry: its agents, open jobs and waiting tasks."""

import collections
import dataclasses
import enum
import math
import random

from egretthread.scheduling import (
    crashbook,
    estimates,
    forwardboard,
    keptboard,
    loadsettings,
    longruns,
    retrybook,
    shareboard,
    workmeter,
)
from egretthread.scheduling.jobspec import (
    JobSpec,
    OperatorState,
    Route,
    StepSpec,
)
from egretthread.scheduling.loadsettings import LoadSettings, ShareRule
from egretthread.scheduling.room import ZERO_ROOM, Room
from egretthread.scheduling.runmessage import (
    ServerCrash,
    ServerFacts,
    ServerState,
)

# Maximum number of durations that wait to be collected as metrics.
MAX_SAMPLES = 2000

# Time constant of the demand by route, which is slower than single bursts.
DEMAND_TIME_CONSTANT_S = 5.0


class TaskState(enum.StrEnum):
    """State of a task at its entry."""

    # Its step depends on steps that are not done.
    BLOCKED = "blocked"
    # Waits to be dispatched.
    WAITING = "waiting"
    # Task of a kept job: it waits until the store has the number of its last
    # run, and is started again only then.
    RECORDING = "recording"
    # Dispatched to an agent; it may run.
    ORDERED = "ordered"
    # The agent was asked to stop it; it may still run.
    STOPPING = "stopping"
    DONE = "done"


# States of a task without a run.
IDLE_STATES = frozenset(
    (TaskState.BLOCKED, TaskState.WAITING, TaskState.RECORDING)
)


@dataclasses.dataclass
class Task:
    """One task of a job.

    Attributes:
        job: Its job.
        step: Number of its step.
        index: Its index in the step.
        state: Its state.
        attempt: Number of the current or last attempt by this coordinator.
        run: Number of the last run, see `runnumbers`; only in kept jobs.
        agent: Node id of the agent that it was last dispatched to.
        start_by_s: When its run must have started if its agent has received the
            order and has not refused it.
        waiting_since_s: When it was last enqueued.
        failures: Number of runs that failed.
        move_count: How often a slow run was stopped to restart it elsewhere.
        work_s: Run time of its done run, times the believed speed of the
            backend server; 0 before, or while speeds are not estimated.
        run_time_factor: Factor on the expected run time of the current run;
            above 1 when its data is on another rack.
        avoided_agents: Node ids of agents on which it failed or was slow.
    """

    job: "Job"
    step: int
    index: int
    state: TaskState = TaskState.BLOCKED
    attempt: int = 0
    run: int = 0
    agent: str = ""
    start_by_s: float = 0.0
    waiting_since_s: float = 0.0
    failures: int = 0
    move_count: int = 0
    work_s: float = 0.0
    run_time_factor: float = 1.0
    avoided_agents: set[str] = dataclasses.field(default_factory=set)

    @property
    def spec(self) -> StepSpec:
        """The step that it belongs to."""
        return self.job.spec.steps[self.step]

    @property
    def work_cpu_s(self) -> float:
        """Its expected work, in thousandths of a core x seconds."""
        return self.spec.room.cpu * self.job.expected_s[self.step]


class Outcome(enum.StrEnum):
    """Outcome of a job, as sent to its caller."""

    COMPLETED = "completed"
    # A task failed as often as its route allows.
    FAILED = "failed"
    # Not accepted: none of its tasks has run or ever will.
    REFUSED = "refused"
    # Given up after a task may have started; its runs are being stopped.
    GIVEN_UP = "given_up"
    # The caller has left.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer to a submission.

    Attributes:
        job: Id of the job.
        outcome: Its outcome.
        reason: Why the job was not completed; empty when it was.
        retry_after_s: Recommended delay before a retry; 0 when unknown.
    """

    job: str
    outcome: Outcome
    reason: str = ""
    retry_after_s: float = 0.0


@dataclasses.dataclass
class Job:
    """One open job.

    Attributes:
        spec: The job as submitted.
        route: Its route, as configured when it was accepted.
        accepted_s: When it was accepted.
        deadline_s: When its caller stops waiting.
        objective_s: When it must be completed to meet its latency objective.
        expected_s: Expected run time of a task, by step.
        tasks: Its tasks, by step.
        may_have_started: Whether a run may have started.
        last_dispatch_s: When one of its tasks was last dispatched.
        runs: Number of runs dispatched.
        share: Share of the capacity that it belongs to.
        lead_s: How much earlier than its latest start it is ordered.
        first_run: Number of the first run of its tasks here, see `runnumbers`.
    """

    spec: JobSpec
    route: Route
    accepted_s: float
    deadline_s: float
    objective_s: float
    expected_s: tuple[float, ...]
    tasks: tuple[list[Task], ...] = ()
    may_have_started: bool = False
    last_dispatch_s: float = 0.0
    runs: int = 0
    share: ShareRule = loadsettings.UNSHARED
    lead_s: float = 0.0
    first_run: int = 1

    @property
    def id(self) -> str:
        """Id of the job."""
        return self.spec.job


@dataclasses.dataclass
class AgentView:
    """What an entry knows about an agent.

    Attributes:
        node: Its node id.
        facts: Its backend server; None until it has reported one.
        state: State of the backend server.
        is_discovered: Whether the backend server has been ready at some time.
        free: Free capacity in the last heartbeat.
        speed: Speed in the last heartbeat.
        last_received_s: When the last heartbeat arrived.
        clock_ms: Clock reading of the agent in that heartbeat.
        busy_since_s: When it last received a task while it had none.
        last_reply_s: When a heartbeat was last answered.
        is_connected: Whether a link is open.
        closed_at_s: When the last link closed; 0 while one is open.
        ordered_runs: Number of runs ordered over the current link.
        in_flight: Runs that the agent had not received when it last reported
            its free capacity, as pairs of a run's number on the link and the
            resources that it takes.
        tasks: Tasks dispatched to it, by attempt.
        unconfirmed: Attempts ordered before the current link was opened, until
            the agent has reported which of them it holds.
        fence_s: When all its runs have certainly ended unless it sends another
            heartbeat.
        sent_entries: Addresses of entries that it was last sent.
        sent_services: Services that it was last sent.
        sent_record_offset: Offset of the operator state that it was last sent.
    """

    node: str
    facts: ServerFacts | None = None
    state: ServerState = ServerState.ABSENT
    is_discovered: bool = False
    free: Room = ZERO_ROOM
    speed: float = 1.0
    last_received_s: float = 0.0
    clock_ms: int = 0
    busy_since_s: float = 0.0
    last_reply_s: float = 0.0
    is_connected: bool = True
    closed_at_s: float = 0.0
    ordered_runs: int = 0
    in_flight: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    tasks: dict[int, Task] = dataclasses.field(default_factory=dict)
    unconfirmed: frozenset[int] = frozenset()
    fence_s: float = 0.0
    sent_entries: tuple[str, ...] = ()
    sent_services: tuple[str, ...] = ()
    sent_record_offset: int = 0

    @property
    def expected_free(self) -> Room:
        """Free capacity once the runs in flight have arrived."""
        free = self.free
        for _, room in self.in_flight:
            free -= room
        return free


@dataclasses.dataclass
class EntryBoard:
    """State of an entry.

    Attributes:
        node: Its node id.
        zone: Its availability zone.
        now_s: Time of the event being handled, on the monotonic clock.
        unix_s: Time of that event on the wall clock.
        started_s: When the process started.
        discovered_s: When a backend server was last found ready by this
            process for the first time; infinite before the first one.
        is_started: Whether the start-up period is over.
        operator_state: Published operator state in force.
        is_shutting_down: Whether the entry is shutting down.
        shutdown_end_s: When it must have answered every job.
        agents: Agents by node id.
        jobs: Open jobs by id.
        waiting: Tasks that wait to be dispatched.
        orphaned_runs: Runs of jobs already answered that may still execute:
            when each has certainly ended, by job id and attempt.
        last_attempt: Number of the last attempt.
        rng: Source of the jitter in the choice of agents.
        entries: Addresses of the known entries, including this one.
        remote_factor: Factor on the run time of a task on another rack than
            that of its data.
        load: Which decisions under load it makes.
        shares: Use of the shares of the capacity.
        retries: Booked retries of refused callers.
        run_times: Learned corrections of estimated run times.
        spreads: Spread and tail of run times by route.
        dispatched_work: Work dispatched recently.
        arrived_work: Work that arrived recently, including refused work.
        usual_work: The same over a longer time.
        backlog_since_s: Since when tasks have waited after every pass;
            infinite while none does.
        demand: The same by route.
        utilisation: Moving average of the used share of the CPU of all backend
            servers, while no route is confined.
        utilisation_at_s: When it was last sampled.
        utilisation_samples: Number of samples.
        logged_isolated: Agents that were last logged as isolated.
        crashes: Recent crashes of backend servers.
        last_pass_s: When waiting tasks were last dispatched.
        last_review_s: When the waiting jobs were last reviewed.
        outbox: Messages to be sent, with the node id of the agent.
        answers: Answers to be sent to callers.
        relays: Crashes to be forwarded to the other entries.
        kept: Kept jobs that this entry coordinates.
        forwarding: Load of other entries, and jobs forwarded.
        counters: Events counted by name.
        samples: Durations measured: name, seconds and values of labels.
        resume_at_s: When dispatching resumes after a pause of the process.
        last_tick_s: Time of the last tick.
    """

    node: str
    zone: str
    now_s: float
    unix_s: float = 0.0
    started_s: float = 0.0
    discovered_s: float = math.inf
    is_started: bool = False
    operator_state: OperatorState = OperatorState()
    is_shutting_down: bool = False
    shutdown_end_s: float = 0.0
    agents: dict[str, AgentView] = dataclasses.field(default_factory=dict)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    waiting: list[Task] = dataclasses.field(default_factory=list)
    orphaned_runs: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    last_attempt: int = 0
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    entries: tuple[str, ...] = ()
    remote_factor: float = 1.0
    load: LoadSettings = LoadSettings()
    shares: shareboard.ShareBoard = dataclasses.field(
        default_factory=shareboard.ShareBoard
    )
    retries: retrybook.RetryBook = dataclasses.field(
        default_factory=retrybook.RetryBook
    )
    run_times: estimates.RunTimes = dataclasses.field(
        default_factory=estimates.RunTimes
    )
    spreads: dict[str, longruns.RouteSpread] = dataclasses.field(
        default_factory=longruns.new_spreads
    )
    dispatched_work: workmeter.WorkMeter = dataclasses.field(
        default_factory=workmeter.WorkMeter
    )
    arrived_work: workmeter.WorkMeter = dataclasses.field(
        default_factory=workmeter.WorkMeter
    )
    usual_work: workmeter.WorkMeter = dataclasses.field(
        default_factory=lambda: workmeter.WorkMeter(
            time_constant_s=DEMAND_TIME_CONSTANT_S
        )
    )
    backlog_since_s: float = math.inf
    demand: workmeter.WorkMeter = dataclasses.field(
        default_factory=lambda: workmeter.WorkMeter(
            time_constant_s=DEMAND_TIME_CONSTANT_S
        )
    )
    utilisation: float = 0.0
    utilisation_at_s: float = 0.0
    utilisation_samples: int = 0
    logged_isolated: frozenset[str] = frozenset()
    crashes: crashbook.CrashBook = dataclasses.field(
        default_factory=crashbook.CrashBook
    )
    last_pass_s: float = 0.0
    last_review_s: float = 0.0
    outbox: list[tuple[str, object]] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    relays: list[ServerCrash] = dataclasses.field(default_factory=list)
    kept: keptboard.KeptBoard = dataclasses.field(
        default_factory=keptboard.KeptBoard
    )
    forwarding: forwardboard.ForwardBoard = dataclasses.field(
        default_factory=forwardboard.ForwardBoard
    )
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: collections.deque[tuple] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    resume_at_s: float = 0.0
    last_tick_s: float = 0.0
