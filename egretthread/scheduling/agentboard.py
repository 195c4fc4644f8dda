"""The blackboard of an agent: its backend server, runs and coordinators."""

import collections
import dataclasses
import enum

from egretthread.scheduling import serverhealth
from egretthread.scheduling.room import ZERO_ROOM, Room
from egretthread.scheduling.runmessage import (
    HeldEnd,
    OperatorRecord,
    RunEnd,
    RunReport,
    ServerState,
)

# Durations kept until the metrics take them.
MAX_SAMPLES = 2000


@dataclasses.dataclass(frozen=True)
class TaskName:
    """Names one task.

    Attributes:
        job: Id of the job.
        step: Number of the step.
        index: Index of the task in its step.
        occurrence: Number of the recurrence; 0 for a job that runs once.
    """

    job: str
    step: int
    index: int
    occurrence: int = 0


class RunPhase(enum.StrEnum):
    """Where a run is."""

    QUEUED = "queued"
    # Ordered; the backend server has not confirmed it.
    STARTING = "starting"
    RUNNING = "running"
    # Told to stop; the backend server has not confirmed it.
    STOPPING = "stopping"


@dataclasses.dataclass
class Run:
    """One run that this agent holds.

    Attributes:
        entry: Node id of the coordinating entry.
        name: Its task.
        attempt: The coordinator's number of the attempt.
        payload: What the task is told.
        room: What it takes.
        expected_s: Run time expected on a backend server of speed 1.
        priority: 0 goes first.
        accepted_s: When it was accepted.
        wait_s: How long it may wait here for room.
        phase: Where it is.
        number: Number of the run at the backend server.
        tries: Calls made in the present phase.
        started_s: When its start was confirmed.
        percent: Share of its work done, as last seen.
        moved_s: When that share last changed.
        slow_reported_s: When it was last reported as slow.
        end: What to report once it has been stopped.
        stopped_s: When the backend server confirmed a stop; 0 before.
        kept: Whether its end is held for its coordinator.
    """

    entry: str
    name: TaskName
    attempt: int
    payload: str
    room: Room
    expected_s: float
    priority: int
    accepted_s: float
    wait_s: float = 0.0
    phase: RunPhase = RunPhase.QUEUED
    number: int = 0
    tries: int = 0
    started_s: float = 0.0
    percent: int = 0
    moved_s: float = 0.0
    slow_reported_s: float = 0.0
    end: RunEnd = RunEnd.STOPPED
    stopped_s: float = 0.0
    kept: bool = False


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """What a backend server says of itself in a heartbeat.

    Attributes:
        server: Its id.
        started_unix_ms: When this incarnation started; 0 if not reported.
        service: Service it runs.
        zone: Availability zone.
        labels: Its labels, its kind and its rack among them.
        capacity: Its room when empty.
        is_draining: Whether it will leave.
        drain_s: Least time until then, in seconds.
        sequence: Rises with each heartbeat of an incarnation.
    """

    server: str
    started_unix_ms: int
    service: str
    zone: str
    labels: tuple[str, ...]
    capacity: Room
    is_draining: bool
    drain_s: float
    sequence: int


@dataclasses.dataclass
class Coordinator:
    """What an agent knows of one entry.

    Attributes:
        node: Its node id.
        is_connected: Whether a link to it is open.
        lease_s: When its runs are stopped unless it is heard of again.
        heard_s: When it was last heard.
        beat_s: When it was last sent a heartbeat.
        received: Runs it ordered over the present link.
        told_facts: Whether it knows the present backend server.
        is_near: Whether it is in the same zone.
        kept_jobs: Whether it says that there may be kept jobs.
        told_cpu: Free processor that it was last told.
        record_sent_s: When it was last sent the operators' records.
    """

    node: str
    is_connected: bool = False
    lease_s: float = 0.0
    heard_s: float = 0.0
    beat_s: float = 0.0
    received: int = 0
    told_facts: bool = False
    is_near: bool = False
    kept_jobs: bool = True
    told_cpu: int = 0
    record_sent_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class StartCall:
    """Order to the backend server: start a run.

    Attributes:
        run: The run.
        number: Number of the run.
        server: Id of the incarnation meant.
        until_ms: End of the lease, on the backend server's clock.
        token: Fencing token.
        timeout_s: How long to wait for the answer.
    """

    run: Run
    number: int
    server: str
    until_ms: int
    token: int
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class StopCall:
    """Order to the backend server: stop a run, or bar one not there yet.

    Attributes:
        name: The task.
        number: Number of the run.
        server: Id of the incarnation meant.
        token: Fencing token.
        timeout_s: How long to wait for the answer.
    """

    name: TaskName
    number: int
    server: str
    token: int
    timeout_s: float = 0.1


@dataclasses.dataclass
class AgentBoard:
    """State of an agent.

    Attributes:
        node: Its node id.
        now_s: Time of the event being handled, on the monotonic clock.
        token: Fencing token of its orders.
        server: Its backend server; None before the first heartbeat.
        state: What it says of the backend server.
        is_closing: Whether the agent shuts down.
        clock_offset_ms: Backend server's clock less the own one.
        lease_end_s: When the backend server drops runs unless told more.
        listed: Ends of this incarnation up to this number were taken in.
        told_seen: Ends up to this number the backend server was told to
            forget.
        held: Listed ends that the backend server must not forget yet, by
            number.
        void: Held ends that may be forgotten once the lease has lapsed.
        held_told_s: When entries were last told of the held ends.
        runs: Runs held, by attempt and coordinator.
        runs_by_task: The live run of each task.
        numbers: Highest run number used for a task, and when.
        kept_names: Those of these tasks whose jobs are kept.
        barred: Runs to bar before the lease may be renewed: they may still
            arrive at the backend server.
        barred_s: When these were last told to the backend server.
        coordinators: Entries by node id.
        operator_offset: Highest offset of operators' records heard of.
        is_withdrawn: Whether the zone was withdrawn as of that offset.
        record: Newest records of operators that an entry left here, for
            entries that start while the store is out; None when there are
            none.
        health: How the backend server has been doing.
        calls: Orders to be sent.
        outbox: Messages to be sent, by entry.
        reports: Ends to be reported, by entry.
        counters: Events counted by name.
        samples: Durations measured: name, seconds and values of labels.
    """

    node: str
    token: int
    now_s: float
    server: ServerRecord | None = None
    state: ServerState = ServerState.ABSENT
    is_closing: bool = False
    clock_offset_ms: int = 0
    lease_end_s: float = 0.0
    listed: int = 0
    told_seen: int = 0
    held: dict[int, HeldEnd] = dataclasses.field(default_factory=dict)
    void: set[int] = dataclasses.field(default_factory=set)
    held_told_s: float = 0.0
    runs: dict[tuple[str, int], Run] = dataclasses.field(default_factory=dict)
    runs_by_task: dict[TaskName, Run] = dataclasses.field(default_factory=dict)
    numbers: dict[TaskName, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    kept_names: set[TaskName] = dataclasses.field(default_factory=set)
    barred: list[StopCall] = dataclasses.field(default_factory=list)
    barred_s: float = 0.0
    coordinators: dict[str, Coordinator] = dataclasses.field(
        default_factory=dict
    )
    operator_offset: int = -1
    is_withdrawn: bool = False
    record: OperatorRecord | None = None
    health: serverhealth.ServerHealth = dataclasses.field(
        default_factory=serverhealth.ServerHealth
    )
    calls: list[StartCall | StopCall] = dataclasses.field(default_factory=list)
    outbox: list[tuple[str, object]] = dataclasses.field(default_factory=list)
    reports: dict[str, list[RunReport]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: collections.deque[tuple] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_SAMPLES)
    )

    @property
    def clock_ms(self) -> int:
        """The agent's clock, in milliseconds."""
        return int(self.now_s * 1000)

    @property
    def last_seen(self) -> int:
        """Ends up to this number may be forgotten by the backend server."""
        return min(self.held) - 1 if self.held else self.listed

    @property
    def is_lease_barred(self) -> bool:
        """Whether the lease of the backend server must not be renewed."""
        return bool(self.barred or self.void)

    @property
    def used(self) -> Room:
        """Room taken by runs that are or may be at the backend server."""
        return _total(
            run
            for run in self.runs.values()
            if run.phase is not RunPhase.QUEUED
        )

    @property
    def free(self) -> Room:
        """Room left once the queued runs have started."""
        if self.server is None:
            return ZERO_ROOM
        return self.server.capacity - _total(self.runs.values())


def _total(runs) -> Room:
    cpu = memory_mb = gpu = 0
    for run in runs:
        cpu += run.room.cpu
        memory_mb += run.room.memory_mb
        gpu += run.room.gpu
    return Room(cpu, memory_mb, gpu)
