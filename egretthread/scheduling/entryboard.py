"""The blackboard of an entry: agents, jobs and the tasks that wait."""

import collections
import dataclasses
import enum
import random

from egretthread.scheduling import estimates, keptboard, workmeter
from egretthread.scheduling.jobspec import (
    JobSpec,
    OperatorState,
    Route,
    StepSpec,
)
from egretthread.scheduling.room import ZERO_ROOM, Room
from egretthread.scheduling.runmessage import ServerFacts, ServerState

# Durations kept until the metrics take them.
MAX_SAMPLES = 2000


class TaskState(enum.StrEnum):
    """Where a task is."""

    # Its step waits for earlier ones.
    BLOCKED = "blocked"
    WAITING = "waiting"
    # Handed to an agent; it may run.
    ORDERED = "ordered"
    # The agent was told to stop it; it may still run.
    STOPPING = "stopping"
    DONE = "done"


@dataclasses.dataclass
class Task:
    """One task of a job.

    Attributes:
        job: Its job.
        step: Number of its step.
        index: Its index in the step.
        state: Where it is.
        attempt: Number of the present or last attempt.
        agent: Node id of the agent that has it.
        waits_s: Since when it waits.
        failures: Runs that ended as failed.
        moves: Times it was stopped for being slow.
        stretch: How many times as long the present run takes, since its data
            is on another rack.
        avoided: Agents on which it failed or stood still.
    """

    job: "Job"
    step: int
    index: int
    state: TaskState = TaskState.BLOCKED
    attempt: int = 0
    agent: str = ""
    waits_s: float = 0.0
    failures: int = 0
    moves: int = 0
    stretch: float = 1.0
    avoided: set[str] = dataclasses.field(default_factory=set)

    @property
    def spec(self) -> StepSpec:
        """The step that it belongs to."""
        return self.job.spec.steps[self.step]


class Outcome(enum.StrEnum):
    """How a job was answered."""

    COMPLETED = "completed"
    # A task failed as often as its route allows.
    FAILED = "failed"
    # Not taken: nothing of it has run or ever will.
    REFUSED = "refused"
    # Given up after it may have started; nothing of it runs any more.
    GIVEN_UP = "given_up"
    # The caller has left.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True)
class Answer:
    """The answer to a submission.

    Attributes:
        job: Id of the job.
        outcome: How it went.
        reason: Why, for a job that was not completed.
        retry_after_s: When the caller had better try again; 0 is unknown.
    """

    job: str
    outcome: Outcome
    reason: str = ""
    retry_after_s: float = 0.0


@dataclasses.dataclass
class Job:
    """One open job.

    Attributes:
        spec: As submitted.
        route: Its queue, as configured when it came.
        accepted_s: When it came.
        deadline_s: When its caller stops waiting.
        objective_s: When its latency objective ends.
        expected_s: Expected run time of a task, by step.
        tasks: Its tasks, by step.
        may_have_started: Whether a run may have started.
        handed_s: When a task was last handed to an agent.
        runs: Runs handed to agents.
    """

    spec: JobSpec
    route: Route
    accepted_s: float
    deadline_s: float
    objective_s: float
    expected_s: tuple[float, ...]
    tasks: tuple[list[Task], ...] = ()
    may_have_started: bool = False
    handed_s: float = 0.0
    runs: int = 0

    @property
    def id(self) -> str:
        """Its id."""
        return self.spec.job


@dataclasses.dataclass
class AgentView:
    """What an entry knows of an agent.

    Attributes:
        node: Its node id.
        facts: Its backend server; None before it said so.
        state: State of the backend server.
        free: Room it last told.
        speed: Speed it last told.
        heard_s: When its last heartbeat came.
        clock_ms: The clock in that heartbeat.
        busy_s: Since when it has tasks.
        replied_s: When a heartbeat was last replied to.
        is_connected: Whether a link is open.
        closed_s: When the last link closed; 0 while one is open.
        ordered: Runs ordered over the present link.
        in_flight: Orders that the agent had not received when it last told
            its room: count of runs ordered up to then, and their room.
        tasks: Tasks that it has, by attempt.
        unconfirmed: Attempts ordered before the present link, until the
            agent has said which of them it holds.
        fence_s: When these are surely over unless it is heard of again.
        told_entries: Addresses of entries that it was last told.
        told_record: Offset of the operators' records that it was last sent.
    """

    node: str
    facts: ServerFacts | None = None
    state: ServerState = ServerState.ABSENT
    free: Room = ZERO_ROOM
    speed: float = 1.0
    heard_s: float = 0.0
    clock_ms: int = 0
    busy_s: float = 0.0
    replied_s: float = 0.0
    is_connected: bool = True
    closed_s: float = 0.0
    ordered: int = 0
    in_flight: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    tasks: dict[int, Task] = dataclasses.field(default_factory=dict)
    unconfirmed: frozenset[int] = frozenset()
    fence_s: float = 0.0
    told_entries: tuple[str, ...] = ()
    told_record: int = 0

    @property
    def room(self) -> Room:
        """Room left, as far as is known here."""
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
        unix_s: The same on the wall clock.
        started_s: When the process started.
        operator_state: What operators have in force.
        is_closing: Whether the entry shuts down.
        closing_s: When it must have answered everything.
        agents: Agents by node id.
        jobs: Open jobs by id.
        waiting: Tasks that wait for room.
        leftovers: Attempts of jobs already answered that may still run: when
            each is surely over, by job id and attempt.
        attempts: Attempts numbered so far.
        rng: Source of the choices between agents that are alike.
        entries: Addresses of the entries known, this one included.
        remote_factor: How many times as long a task takes on a rack that is
            not its data's.
        run_times: What was learned of run times.
        drained: Work that got room lately.
        arrived: Work that came lately, refused work included.
        handed_s: When waiting tasks were last handed out.
        reviewed_s: When the waiting jobs were last reviewed.
        outbox: Messages to be sent, by agent.
        answers: Answers to be given.
        kept: Kept jobs that this entry coordinates.
        counters: Events counted by name.
        samples: Durations measured: name, seconds and values of labels.
        thawed_s: Until when nothing is handed out after a pause.
        ticked_s: Time of the last tick.
    """

    node: str
    zone: str
    now_s: float
    unix_s: float = 0.0
    started_s: float = 0.0
    operator_state: OperatorState = OperatorState()
    is_closing: bool = False
    closing_s: float = 0.0
    agents: dict[str, AgentView] = dataclasses.field(default_factory=dict)
    jobs: dict[str, Job] = dataclasses.field(default_factory=dict)
    waiting: list[Task] = dataclasses.field(default_factory=list)
    leftovers: dict[str, dict[int, float]] = dataclasses.field(
        default_factory=dict
    )
    attempts: int = 0
    rng: random.Random = dataclasses.field(default_factory=random.Random)
    entries: tuple[str, ...] = ()
    remote_factor: float = 1.0
    run_times: estimates.RunTimes = dataclasses.field(
        default_factory=estimates.RunTimes
    )
    drained: workmeter.WorkMeter = dataclasses.field(
        default_factory=workmeter.WorkMeter
    )
    arrived: workmeter.WorkMeter = dataclasses.field(
        default_factory=workmeter.WorkMeter
    )
    handed_s: float = 0.0
    reviewed_s: float = 0.0
    outbox: list[tuple[str, object]] = dataclasses.field(default_factory=list)
    answers: list[Answer] = dataclasses.field(default_factory=list)
    kept: keptboard.KeptBoard = dataclasses.field(
        default_factory=keptboard.KeptBoard
    )
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: collections.deque[tuple] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    thawed_s: float = 0.0
    ticked_s: float = 0.0
