"""Blackboard of an agent: its backend server, runs and coordinators."""

import collections
import dataclasses
import enum

from egretthread.scheduling import serverhealth, speeds
from egretthread.scheduling.loadsettings import LoadSettings
from egretthread.scheduling.room import ZERO_ROOM, Room
from egretthread.scheduling.runmessage import (
    HeldEnd,
    LostRun,
    OperatorRecord,
    RunEnd,
    RunReport,
    ServerState,
)

# Maximum number of durations that wait to be collected as metrics.
MAX_SAMPLES = 2000


@dataclasses.dataclass(frozen=True)
class TaskName:
    """Identifies one task.

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
    """Phase of a run that an agent holds."""

    QUEUED = "queued"
    # The start call was sent; the backend server has not confirmed it.
    STARTING = "starting"
    RUNNING = "running"
    # The stop call was sent; the run is not known to have ended.
    STOPPING = "stopping"


@dataclasses.dataclass
class Run:
    """One run that this agent holds.

    Attributes:
        entry: Node id of the coordinating entry.
        name: The task that it executes.
        attempt: Number of the attempt, assigned by the coordinator.
        payload: Input of the task.
        room: Resources that it takes.
        expected_s: Expected run time on a backend server of speed 1.
        priority: Priority; 0 is the highest.
        accepted_s: When the agent accepted it.
        queue_wait_s: How long it may be queued for free capacity.
        phase: Its phase.
        ordered_number: Number that its order gives it; 0 if the agent numbers
            it.
        number: Number of the run at the backend server.
        tries: Calls made in the current phase.
        started_s: When its start was confirmed.
        percent: Share of its work done, as last reported.
        last_change_s: When that share last changed; while the run is being
            stopped, when the last stop call was sent.
        listed_s: When the backend server last listed it as running.
        slow_reported_s: When it was last reported as slow.
        has_stalled: Whether it made no progress for a while.
        end: The end to report once it has been stopped.
        stop_confirmed_s: When the backend server confirmed a stop; 0 before.
        stop_deadline_s: When it must have ended; only while it is stopped.
        kept: Whether its job is kept, so that its end is held until its
            coordinator has settled it.
        route: Name of its job's route.
        exclusive: Whether it must not share the backend server with runs of
            other jobs.
    """

    entry: str
    name: TaskName
    attempt: int
    payload: str
    room: Room
    expected_s: float
    priority: int
    accepted_s: float
    queue_wait_s: float = 0.0
    phase: RunPhase = RunPhase.QUEUED
    ordered_number: int = 0
    number: int = 0
    tries: int = 0
    started_s: float = 0.0
    percent: int = 0
    last_change_s: float = 0.0
    listed_s: float = 0.0
    slow_reported_s: float = 0.0
    has_stalled: bool = False
    end: RunEnd = RunEnd.STOPPED
    stop_confirmed_s: float = 0.0
    stop_deadline_s: float = 0.0
    kept: bool = False
    route: str = ""
    exclusive: bool = False


@dataclasses.dataclass(frozen=True)
class ServerRecord:
    """Content of a backend server's heartbeat.

    Attributes:
        server: Id of the incarnation.
        started_unix_ms: When this incarnation started; 0 if not reported.
        service: Service it runs.
        zone: Availability zone.
        labels: Its labels, including its kind and its rack.
        capacity: Its total resources.
        is_draining: Whether it is about to leave.
        drain_s: Minimum time until it leaves.
        sequence: Sequence number of the heartbeat within the incarnation.
        reported: Names of the optional fields that the heartbeat has.
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
    reported: frozenset[str] = frozenset()

    @property
    def incarnation(self) -> str:
        """Name of the incarnation, which may have the id of an earlier one."""
        return f"{self.server}@{self.started_unix_ms}"


@dataclasses.dataclass(frozen=True)
class ServerLeave:
    """Notice that a backend server leaves.

    Attributes:
        server: Id of the incarnation.
        started_unix_ms: When this incarnation started; 0 if not reported.
        service: Service it runs; empty if not reported.
    """

    server: str
    started_unix_ms: int = 0
    service: str = ""


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A heartbeat of another incarnation than the one that is known.

    Attributes:
        record: The heartbeat.
        clock_offset_ms: Clock of its sender minus the agent's clock.
        received_s: When it arrived.
    """

    record: ServerRecord
    clock_offset_ms: int
    received_s: float


@dataclasses.dataclass
class Crash:
    """A crash of the backend server.

    Attributes:
        server: Id of the incarnation that crashed.
        started_unix_ms: When that incarnation started.
        at_s: When the agent noticed it.
        rows: The runs that were at it.
        is_certain: Whether the incarnation has ended; it may otherwise only
            have stopped answering.
    """

    server: str
    started_unix_ms: int
    at_s: float
    rows: tuple[LostRun, ...]
    is_certain: bool


@dataclasses.dataclass
class Coordinator:
    """State that an agent keeps of one entry.

    Attributes:
        node: Its node id.
        is_connected: Whether a link to it is open.
        lease_end_s: When its runs are stopped unless it renews its lease.
        last_received_s: When its last message was received.
        heartbeat_sent_s: When it was last sent a heartbeat.
        received_runs: Number of runs it ordered over the current link.
        has_facts: Whether it was sent the facts of the current backend server.
        is_near: Whether it is in the same zone.
        kept_jobs_may_exist: Whether it reports that there may be kept jobs.
        sent_free_cpu: Free CPU in the last heartbeat to it.
        record_sent_s: When it was last sent the operator records.
    """

    node: str
    is_connected: bool = False
    lease_end_s: float = 0.0
    last_received_s: float = 0.0
    heartbeat_sent_s: float = 0.0
    received_runs: int = 0
    has_facts: bool = False
    is_near: bool = False
    kept_jobs_may_exist: bool = True
    sent_free_cpu: int = 0
    record_sent_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class StartCall:
    """Call that starts a run at the backend server.

    Attributes:
        run: The run.
        number: Number of the run.
        server: Id of the incarnation that the call is for.
        until_ms: End of the lease, on the backend server's clock.
        token: Fencing token.
        timeout_s: How long to wait for the answer.
        started_unix_ms: When that incarnation started.
    """

    run: Run
    number: int
    server: str
    until_ms: int
    token: int
    timeout_s: float
    started_unix_ms: int = 0


@dataclasses.dataclass(frozen=True)
class StopCall:
    """Call that stops a run at the backend server.

    A run that has not arrived there is blocked: it will not start any more.

    Attributes:
        name: The task.
        number: Number of the run.
        server: Id of the incarnation that the call is for.
        token: Fencing token.
        timeout_s: How long to wait for the answer.
        started_unix_ms: When that incarnation started.
    """

    name: TaskName
    number: int
    server: str
    token: int
    timeout_s: float = 0.06
    started_unix_ms: int = 0


@dataclasses.dataclass
class AgentBoard:
    """State of an agent.

    Attributes:
        node: Its node id.
        now_s: Time of the event being handled, on the monotonic clock.
        zone: Availability zone of the agent; empty if it is not known.
        token: Fencing token of the calls to the backend server.
        server: Its backend server; None before the first heartbeat.
        is_confirmed: Whether the backend server has answered a poll as the
            incarnation in its heartbeat, and was not found to have ended since.
        candidate: Heartbeat of an incarnation that replaces a confirmed one if
            that is found to have ended; None if there is none.
        left_server: The last backend server that announced its leave.
        state: State of the backend server.
        is_shutting_down: Whether the agent is shutting down.
        clock_offset_ms: Backend server's clock minus the agent's clock, as of
            its last reading.
        clock_read_s: When the backend server's clock was last read.
        listed_s: When the backend server last listed its runs, or got the first
            run after a time without any.
        server_lease_end_s: When the backend server has dropped all runs unless
            their lease is renewed.
        room_limit: Resources that the runs at the backend server may take until
            its next heartbeat, after it has rejected a start; None otherwise.
        knows_runs: Whether all runs at the backend server are known. Those of
            an earlier process of the agent take an unknown part of its
            capacity.
        last_processed: Sequence number of the last processed end of this
            incarnation.
        acked_last_seen: Sequence number up to which ends were acknowledged to
            the backend server, which then discards them.
        answered_s: When a poll was last answered by this incarnation.
        held_ends: Processed ends that must not be acknowledged yet, by sequence
            number.
        void_ends: Sequence numbers of held ends that may be acknowledged once
            the lease has expired.
        held_ends_sent_s: When the held ends were last sent to entries.
        wanted_links: Until when a link with an entry outside the selection is
            wanted, by address.
        runs: Runs held, by coordinator and attempt.
        runs_by_task: The live run of each task.
        run_numbers: Highest run number used for a task, and when it was used.
        kept_tasks: Those of these tasks whose jobs are kept.
        blocked_runs: Runs that may still arrive at the backend server. Their
            stop has to be confirmed before the lease may be renewed.
        blocked_sent_s: When these stop calls were last sent.
        coordinators: Entries by node id.
        operator_offset: Highest known offset of operator records.
        is_withdrawn: Whether the zone was withdrawn as of that offset.
        services: Services that the configuration names, as last told by an
            entry; empty before.
        services_offset: Offset of operator records at which it names them.
        operator_record: Newest operator records received from an entry, for
            entries that start while the store is unavailable; None if there
            are none.
        load: Which decisions under load it makes.
        health: Health of the backend server.
        speed: Estimated speed of the backend server.
        logged_speed: Speed that was last logged.
        stalled_s: When a run was last reported as stalled; 0 without one since
            the speed was dropped. Only while speeds are estimated.
        crashes: Recent crashes of the backend server.
        calls: Calls to be sent to the backend server.
        outbox: Messages to be sent, by entry.
        reports: Ends to be reported, by entry.
        counters: Event counts by name.
        samples: Measured durations: name, seconds and values of labels.
    """

    node: str
    token: int
    now_s: float
    zone: str = ""
    server: ServerRecord | None = None
    is_confirmed: bool = False
    candidate: Candidate | None = None
    left_server: ServerRecord | None = None
    state: ServerState = ServerState.ABSENT
    is_shutting_down: bool = False
    clock_offset_ms: int = 0
    clock_read_s: float = 0.0
    listed_s: float = 0.0
    server_lease_end_s: float = 0.0
    room_limit: Room | None = None
    knows_runs: bool = False
    last_processed: int = 0
    acked_last_seen: int = 0
    answered_s: float = 0.0
    held_ends: dict[int, HeldEnd] = dataclasses.field(default_factory=dict)
    void_ends: set[int] = dataclasses.field(default_factory=set)
    held_ends_sent_s: float = 0.0
    wanted_links: dict[str, float] = dataclasses.field(default_factory=dict)
    runs: dict[tuple[str, int], Run] = dataclasses.field(default_factory=dict)
    runs_by_task: dict[TaskName, Run] = dataclasses.field(default_factory=dict)
    run_numbers: dict[TaskName, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    kept_tasks: set[TaskName] = dataclasses.field(default_factory=set)
    blocked_runs: list[StopCall] = dataclasses.field(default_factory=list)
    blocked_sent_s: float = 0.0
    coordinators: dict[str, Coordinator] = dataclasses.field(
        default_factory=dict
    )
    operator_offset: int = -1
    is_withdrawn: bool = False
    services: frozenset[str] = frozenset()
    services_offset: int = -1
    operator_record: OperatorRecord | None = None
    load: LoadSettings = LoadSettings()
    health: serverhealth.ServerHealth = dataclasses.field(
        default_factory=serverhealth.ServerHealth
    )
    speed: speeds.SpeedEstimate = dataclasses.field(
        default_factory=speeds.SpeedEstimate
    )
    logged_speed: float = 1.0
    stalled_s: float = 0.0
    crashes: list[Crash] = dataclasses.field(default_factory=list)
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

    def is_current(self, call) -> bool:
        """Whether a call was made to the present incarnation of the server.

        Args:
            call: A start, stop or poll.
        """
        server = self.server
        return server is None or (
            (call.server, call.started_unix_ms)
            == (server.server, server.started_unix_ms)
        )

    @property
    def clock_ms(self) -> int:
        """The agent's clock, in milliseconds."""
        return int(self.now_s * 1000)

    @property
    def last_seen(self) -> int:
        """Sequence number up to which ends may be acknowledged."""
        return (
            min(self.held_ends) - 1 if self.held_ends else self.last_processed
        )

    @property
    def is_renewal_blocked(self) -> bool:
        """Whether the lease of the backend server must not be renewed."""
        return bool(self.blocked_runs or self.void_ends)

    @property
    def used(self) -> Room:
        """Resources of the runs that are, or may be, at the backend server."""
        return _total(
            run
            for run in self.runs.values()
            if run.phase is not RunPhase.QUEUED
        )

    @property
    def free(self) -> Room:
        """Free capacity after all runs, including queued ones."""
        return self.capacity - _total(self.runs.values())

    @property
    def capacity(self) -> Room:
        """Resources that the runs at the backend server may take."""
        if self.server is None:
            return ZERO_ROOM
        return self.room_limit or self.server.capacity


def _total(runs) -> Room:
    cpu = memory_mb = gpu = 0
    for run in runs:
        cpu += run.room.cpu
        memory_mb += run.room.memory_mb
        gpu += run.room.gpu
    return Room(cpu, memory_mb, gpu)
