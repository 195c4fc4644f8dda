"""Messages between entries and agents about runs, as frozen data classes.

Clock readings are in milliseconds on the clock of the agent, which also
passes while its machine is suspended. A run is one attempt at a task; the
coordinating entry numbers the attempts of a job from 1.
"""

import dataclasses
import enum

from egretthread.scheduling.room import Room


class ServerState(enum.StrEnum):
    """What an agent says of its backend server."""

    # Not heard of, or it does not answer.
    ABSENT = "absent"
    READY = "ready"
    # It says that it will leave, or the agent shuts down.
    DRAINING = "draining"
    # It fails or stalls what it starts.
    SICK = "sick"


class RunEnd(enum.StrEnum):
    """How a run ended, as far as the agent knows."""

    DONE = "done"
    # Ended by its own fault or the backend server's.
    FAILED = "failed"
    # Was stopped or lapsed; nothing of it runs any more.
    STOPPED = "stopped"
    # Never started and never will.
    REFUSED = "refused"
    # Still running, but far slower than expected.
    SLOW = "slow"
    # Still running, but its work does not move.
    STALLED = "stalled"


@dataclasses.dataclass(frozen=True)
class ServerFacts:
    """Agent to entry: its backend server, when it changed.

    Attributes:
        agent: Node id of the agent.
        server: Id of the backend server; empty when there is none.
        service: Service it runs.
        zone: Availability zone.
        labels: Its labels, its kind and its rack among them.
        capacity: Its room when empty.
    """

    agent: str
    server: str
    service: str
    zone: str
    labels: tuple[str, ...]
    capacity: Room


@dataclasses.dataclass(frozen=True)
class AgentBeat:
    """Agent to entry: heartbeat.

    Attributes:
        clock_ms: The agent's clock.
        state: State of its backend server.
        free_cpu: Room left, queued runs taken off; may be negative.
        free_memory_mb: Likewise.
        free_gpu: Likewise.
        speed: Speed of the backend server against the run times expected.
        received: Runs that this entry ordered over this link so far.
    """

    clock_ms: int
    state: ServerState
    free_cpu: int
    free_memory_mb: int
    free_gpu: int
    speed: float
    received: int


@dataclasses.dataclass(frozen=True)
class EntryBeat:
    """Entry to agent: reply to a heartbeat.

    Attributes:
        echo_ms: The clock in the heartbeat answered.
        operator_offset: Offset of what operators have in force.
        withdrawn: Whether the agent's zone is withdrawn as of that offset.
        is_near: Whether the entry is in the agent's zone.
        entries: Addresses of the entries known; empty when unchanged.
        kept_jobs: Whether there may be kept jobs in the system.
    """

    echo_ms: int
    operator_offset: int
    withdrawn: bool
    is_near: bool
    entries: tuple[str, ...] = ()
    kept_jobs: bool = True


@dataclasses.dataclass(frozen=True)
class RunOrder:
    """One run to start.

    Attributes:
        step: Number of the task's step.
        index: Index of the task in its step.
        attempt: Number of the attempt within the job.
    """

    step: int
    index: int
    attempt: int


@dataclasses.dataclass(frozen=True)
class StartRuns:
    """Entry to agent: start these runs of one job.

    Attributes:
        job: Id of the job.
        payload: What the tasks are told.
        cpu: Processor that each takes, in thousandths of a core.
        memory_mb: Memory that each takes.
        gpu: Accelerators that each takes.
        expected_ms: Run time expected on a backend server of speed 1.
        priority: 0 goes first.
        echo_ms: The agent's clock as last heard; bounds how old the order is.
        wait_ms: How long the runs may wait at the agent for room.
        orders: The runs.
        kept: Whether their ends must be on the store before the backend
            server forgets them.
    """

    job: str
    payload: str
    cpu: int
    memory_mb: int
    gpu: int
    expected_ms: int
    priority: int
    echo_ms: int
    wait_ms: int
    orders: tuple[RunOrder, ...]
    kept: bool = False


@dataclasses.dataclass(frozen=True)
class StopRuns:
    """Entry to agent: stop these runs of one job.

    Attributes:
        job: Id of the job.
        attempts: The runs.
    """

    job: str
    attempts: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class RunReport:
    """What became of one run.

    Attributes:
        job: Id of the job.
        attempt: Number of the attempt within the job.
        end: How it ended, or SLOW or STALLED while it runs.
        run_ms: How long it ran.
        percent: Share of its work done, for SLOW.
    """

    job: str
    attempt: int
    end: RunEnd
    run_ms: int
    percent: int


@dataclasses.dataclass(frozen=True)
class RunReports:
    """Agent to entry: runs that ended.

    Attributes:
        rows: The runs.
    """

    rows: tuple[RunReport, ...]


@dataclasses.dataclass(frozen=True)
class LiveRun:
    """A run that an agent holds, queued or running."""

    job: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class LiveRuns:
    """Agent to entry: all runs of that entry it holds, on a new link."""

    rows: tuple[LiveRun, ...]


@dataclasses.dataclass(frozen=True)
class HeldEnd:
    """The end of a run of a kept job that the backend server still lists.

    Attributes:
        job: Id of the job.
        step: Number of the task's step.
        index: Index of the task in its step.
        sequence: Number of the end within the backend server's incarnation.
        entry: Node id of the entry that ordered the run; empty when an
            earlier process of the agent started it.
        attempt: That entry's number of the attempt.
        end: DONE or FAILED.
        run_ms: How long it ran.
    """

    job: str
    step: int
    index: int
    sequence: int
    entry: str
    attempt: int
    end: RunEnd
    run_ms: int


@dataclasses.dataclass(frozen=True)
class HeldEnds:
    """Agent to entry: ends that wait for the job's coordinator.

    Attributes:
        server: Id of the backend server's incarnation.
        rows: The ends.
    """

    server: str
    rows: tuple[HeldEnd, ...]


@dataclasses.dataclass(frozen=True)
class SettleEnds:
    """Entry to agent: ends that the backend server may forget.

    Attributes:
        server: Id of the backend server's incarnation.
        taken: Numbers of ends that are on the store, or of no use.
        void: Numbers of ends whose tasks were started again meanwhile; the
            lease must lapse before the backend server forgets them.
    """

    server: str
    taken: tuple[int, ...]
    void: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class PendingJobs:
    """Kept jobs of one route of which no task has started."""

    route: str
    jobs: int


@dataclasses.dataclass(frozen=True)
class EntryHello:
    """Entry to entry: it is there.

    Attributes:
        address: `host:port` at which agents and other entries reach it.
        operator_offset: Offset of what operators have in force.
        parts: Partitions of the job log that it coordinates.
        pending: Kept jobs that wait there, by route.
        kept_jobs: Whether it coordinates any kept job.
    """

    address: str
    operator_offset: int
    parts: tuple[int, ...] = ()
    pending: tuple[PendingJobs, ...] = ()
    kept_jobs: bool = False


@dataclasses.dataclass(frozen=True)
class JobQuestion:
    """Entry to entry: in what state is this kept job?

    Attributes:
        number: Names the question to the asker.
        job: Id of the job.
    """

    number: int
    job: str


@dataclasses.dataclass(frozen=True)
class JobReply:
    """Entry to entry: the state of a kept job.

    Attributes:
        number: Number of the question.
        state: The state; empty when there is no such job.
        is_known: Whether the entry coordinates the job's partition.
    """

    number: int
    state: str
    is_known: bool


@dataclasses.dataclass(frozen=True)
class OperatorRecord:
    """Entry to entry: what operators have in force, for those cut off.

    Attributes:
        offset: Offset behind the last record taken in.
        text: The records, encoded by whoever read them.
    """

    offset: int
    text: str
