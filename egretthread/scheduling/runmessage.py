"""Messages between entries and agents about runs, as frozen data classes.

Clock readings are in milliseconds on the agent's clock, which also advances
while its machine is suspended. A run is one attempt to execute a task; the
coordinating entry numbers the attempts of a job from 1.
"""

import dataclasses
import enum

from egretthread.scheduling.jobspec import JobSpec
from egretthread.scheduling.room import Room

# Run time in the report of a run whose agent has not told of its end.
UNKNOWN_RUN_MS = -1


class ServerState(enum.StrEnum):
    """State of a backend server, as reported by its agent."""

    # It has not sent a heartbeat, or does not answer.
    ABSENT = "absent"
    READY = "ready"
    # It is about to leave, or the agent is shutting down.
    DRAINING = "draining"
    # The runs that it starts fail or stall.
    SICK = "sick"


class RunEnd(enum.StrEnum):
    """How a run ended, or that it is slow, as reported by the agent."""

    DONE = "done"
    # It failed by its own fault or that of the backend server.
    FAILED = "failed"
    # It was stopped or its lease expired; no part of it is still running.
    STOPPED = "stopped"
    # It has not started and will not start.
    REFUSED = "refused"
    # It is still running, but far slower than expected.
    SLOW = "slow"
    # It is still running, but makes no progress.
    STALLED = "stalled"


@dataclasses.dataclass(frozen=True)
class ServerFacts:
    """Agent to entry: facts of its backend server, sent when they changed.

    Attributes:
        agent: Node id of the agent.
        server: Id of the backend server; empty when there is none.
        service: Service it runs.
        zone: Availability zone.
        labels: Its labels, including its kind and its rack.
        capacity: Its total resources.
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
        free_cpu: Free CPU after all accepted runs, including queued ones; may
            be negative.
        free_memory_mb: Free memory after all accepted runs; may be negative.
        free_gpu: Free GPUs after all accepted runs; may be negative.
        speed: Ratio of expected to actual run times at the backend server.
        received: Number of runs that the entry ordered over this link.
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
        echo_ms: The agent's clock in the heartbeat that is answered.
        operator_offset: Offset of the operator state in force.
        withdrawn: Whether the agent's zone is withdrawn as of that offset.
        is_near: Whether the entry is in the agent's zone.
        entries: Addresses of the known entries; empty when unchanged.
        kept_jobs: Whether there may be kept jobs in the system.
        services: Services that the configuration at that offset names; empty
            when unchanged or not known.
        coordinators: Addresses of entries that have tasks of kept jobs for this
            agent, and may have no link with it.
    """

    echo_ms: int
    operator_offset: int
    withdrawn: bool
    is_near: bool
    entries: tuple[str, ...] = ()
    kept_jobs: bool = True
    services: tuple[str, ...] = ()
    coordinators: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class RunOrder:
    """One run to start.

    Attributes:
        step: Number of the task's step.
        index: Index of the task in its step.
        attempt: Number of the attempt within the job.
        run: Number of the run of a kept job's task, see `runnumbers`; 0 if the
            agent numbers it.
    """

    step: int
    index: int
    attempt: int
    run: int = 0


@dataclasses.dataclass(frozen=True)
class StartRuns:
    """Entry to agent: start these runs of one job.

    Attributes:
        job: Id of the job.
        payload: Input of the tasks.
        cpu: CPU that each run takes, in thousandths of a core.
        memory_mb: Memory that each run takes.
        gpu: GPUs that each run takes.
        expected_ms: Expected run time on a backend server of speed 1.
        priority: Priority; 0 is the highest.
        echo_ms: Last received reading of the agent's clock, which limits the
            age of the order.
        wait_ms: How long the runs may be queued at the agent.
        orders: The runs.
        kept: Whether the job is kept: the ends must be on the store before the
            backend server discards them.
        route: Name of the job's route.
        exclusive: Whether the runs must not share the backend server with runs
            of other jobs, since a task of this job may crash it.
        echo_age_ms: How long ago that reading was received.
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
    route: str = ""
    exclusive: bool = False
    echo_age_ms: int = 0


@dataclasses.dataclass(frozen=True)
class LostRun:
    """A run that was at a backend server when it crashed.

    Attributes:
        job: Id of the job.
        step: Number of the task's step.
        index: Index of the task in its step.
        route: Name of the job's route.
        entry: Node id of the entry that ordered the run.
        age_ms: How long the agent had held it.
    """

    job: str
    step: int
    index: int
    route: str
    entry: str
    age_ms: int


@dataclasses.dataclass(frozen=True)
class ServerCrash:
    """A crash of a backend server, and the runs that it may be due to.

    An agent sends it to all its entries, and again over each new link. The
    entry of a lost run passes it on to the other entries.

    Attributes:
        agent: Node id of the agent.
        server: Id of the incarnation that crashed.
        started_unix_ms: When that incarnation started.
        age_ms: How long ago it crashed.
        certain: Whether the incarnation has ended. It may otherwise only have
            stopped answering.
        rows: The runs that were there; empty when the incarnation has answered
            again, so that it had not crashed.
    """

    agent: str
    server: str
    started_unix_ms: int
    age_ms: int
    certain: bool
    rows: tuple[LostRun, ...]


@dataclasses.dataclass(frozen=True)
class ConfinedRoute:
    """A route that is confined, and for how much longer."""

    route: str
    for_ms: int


@dataclasses.dataclass(frozen=True)
class CrashedAgent:
    """An agent, by its name, and how long ago its backend server crashed."""

    agent: str
    age_ms: int


@dataclasses.dataclass(frozen=True)
class CrashSummary:
    """Entry to entry: what follows from recent crashes, for a new process.

    Attributes:
        confined: The confined routes.
        blamed_jobs: Ids of jobs with tasks that crash backend servers.
        agents: Agents whose backend servers have crashed.
        utilisation: Used share of the CPU of all backend servers while no route
            was confined; 0 if the sender does not know it.
    """

    confined: tuple[ConfinedRoute, ...]
    blamed_jobs: tuple[str, ...]
    agents: tuple[CrashedAgent, ...]
    utilisation: float = 0.0


@dataclasses.dataclass(frozen=True)
class StopRuns:
    """Entry to agent: stop these runs of one job.

    Attributes:
        job: Id of the job.
        attempts: Numbers of the attempts.
    """

    job: str
    attempts: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class RunReport:
    """The end of one run, or that it is slow.

    Attributes:
        job: Id of the job.
        attempt: Number of the attempt within the job.
        end: How it ended, or SLOW or STALLED while it is running.
        run_ms: How long it has run; 0 if it is not known to have started.
        percent: Share of its work done, for SLOW.
    """

    job: str
    attempt: int
    end: RunEnd
    run_ms: int
    percent: int


@dataclasses.dataclass(frozen=True)
class RunReports:
    """Agent to entry: reports on runs that ended or are slow.

    Attributes:
        rows: The reports.
    """

    rows: tuple[RunReport, ...]


@dataclasses.dataclass(frozen=True)
class LiveRun:
    """A run that an agent holds, queued or running."""

    job: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class LiveRuns:
    """Agent to entry: all runs of the entry that it holds, on a new link."""

    rows: tuple[LiveRun, ...]


@dataclasses.dataclass(frozen=True)
class HeldEnd:
    """The end of a run of a kept job that the backend server still lists.

    Attributes:
        job: Id of the job.
        step: Number of the task's step.
        index: Index of the task in its step.
        sequence: Sequence number of the end within the backend server's
            incarnation.
        entry: Node id of the entry that ordered the run; empty if an earlier
            process of the agent started it.
        attempt: Number of the attempt, assigned by that entry.
        end: DONE or FAILED.
        run_ms: How long it ran.
        run: Number of the run at the backend server; 0 if it differs from the
            number that the entry gave it.
    """

    job: str
    step: int
    index: int
    sequence: int
    entry: str
    attempt: int
    end: RunEnd
    run_ms: int
    run: int = 0


@dataclasses.dataclass(frozen=True)
class HeldEnds:
    """Agent to entry: ends that the coordinators of their jobs must settle.

    Attributes:
        server: Name of the backend server's incarnation: its id and start.
        rows: The ends.
    """

    server: str
    rows: tuple[HeldEnd, ...]


@dataclasses.dataclass(frozen=True)
class SettleEnds:
    """Entry to agent: ends that the backend server may discard.

    Attributes:
        server: Name of the backend server's incarnation: its id and start.
        taken: Sequence numbers of ends that are on the store, or not needed.
        void: Sequence numbers of ends whose tasks were started again since; the
            lease must expire before the backend server discards them.
        coordinators: Addresses of entries that coordinate the jobs of other
            ends, and with which the agent may have no link.
    """

    server: str
    taken: tuple[int, ...]
    void: tuple[int, ...]
    coordinators: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class PendingJobs:
    """Number of kept jobs of one route of which no task has started."""

    route: str
    jobs: int


@dataclasses.dataclass(frozen=True)
class ServerNeed:
    """What a waiting task of a kept job needs of a backend server.

    Attributes:
        service: The service of its route.
        label: Label that the backend server must have; empty for none.
        cpu: CPU that it takes, in thousandths of a core.
        memory_mb: Memory that it takes.
        gpu: GPUs that it takes.
    """

    service: str
    label: str
    cpu: int
    memory_mb: int
    gpu: int


@dataclasses.dataclass(frozen=True)
class EntryHello:
    """Entry to entry: announces itself and its state.

    Attributes:
        address: `host:port` at which agents and other entries reach it.
        operator_offset: Offset of the operator state in force.
        parts: Partitions of the job log whose jobs it has loaded.
        pending: Kept jobs that it has not started, by route.
        kept_jobs: Whether it coordinates any kept job, or may do so.
        accepts_jobs: Whether it takes jobs that other entries forward.
        needs: Needs of waiting tasks that no agent meets which it is linked
            with.
    """

    address: str
    operator_offset: int
    parts: tuple[int, ...] = ()
    pending: tuple[PendingJobs, ...] = ()
    kept_jobs: bool = False
    accepts_jobs: bool = False
    needs: tuple[ServerNeed, ...] = ()


@dataclasses.dataclass(frozen=True)
class JobQuestion:
    """Entry to entry: asks for the state of a kept job, or cancels another job.

    Attributes:
        number: Identifies the question to its sender.
        job: Id of the job.
        cancels: Whether the job, which is not kept, is to be cancelled.
    """

    number: int
    job: str
    cancels: bool = False


@dataclasses.dataclass(frozen=True)
class JobReply:
    """Entry to entry: the state of a job.

    Attributes:
        number: Number of the question.
        state: The state; empty if there is no such job.
        is_known: Whether the entry coordinates the job's partition, or has
            cancelled the job.
    """

    number: int
    state: str
    is_known: bool


@dataclasses.dataclass(frozen=True)
class OperatorRecord:
    """Operator state in force, for entries that can't read the store.

    Entries send it to one another and to agents, which hold it for entries that
    have only an older one.

    Attributes:
        offset: Offset after the last record that is included.
        text: The records, as encoded by the entry that read them.
    """

    offset: int
    text: str


@dataclasses.dataclass(frozen=True)
class ServiceLoad:
    """What an entry could start of one service at once.

    Attributes:
        service: The service.
        usable_cpu: CPU of the usable backend servers, in thousandths of a core.
        free_cpu: CPU that waiting work leaves to tasks of at most each size of
            `peerload.SIZES_CPU`, in thousandths of a core.
    """

    service: str
    usable_cpu: int
    free_cpu: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class EntryLoad:
    """Entry to entry: asks for its load, or replies with it.

    A question renews the leases of the jobs that its sender has forwarded; the
    reply tells which of them the receiver still runs.

    Attributes:
        number: Number of the question, which a reply repeats.
        is_question: Whether it is a question.
        forwarded: Numbers of the jobs forwarded by the entry that asks, which
            are not answered (question) or are open (reply).
        rows: Load by service; empty in a question.
        clock_ms: Clock of the entry that replies. A question repeats the last
            one known of it, which limits its age; 0 if it names no job.
    """

    number: int
    is_question: bool
    forwarded: tuple[int, ...] = ()
    rows: tuple[ServiceLoad, ...] = ()
    clock_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ForwardJob:
    """Entry to entry: run this job, of which no task has started.

    Attributes:
        number: Identifies it to its sender's process.
        spec: The job.
        route: Name of its route.
        left_ms: How long its caller still waits.
        objective_left_ms: Time until it must be completed to meet its
            objective.
        echo_ms: Clock of the receiver in its last reply, which limits the age
            of the message.
    """

    number: int
    spec: JobSpec
    route: str
    left_ms: int
    objective_left_ms: int
    echo_ms: int


@dataclasses.dataclass(frozen=True)
class ForwardReply:
    """Entry to entry: whether a job that was forwarded is accepted.

    Attributes:
        number: Its number.
        accepted: Whether it is. If not, none of its tasks has run or will.
        reason: Why it is not.
    """

    number: int
    accepted: bool
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class ForwardEnd:
    """Entry to entry: the outcome of a job that was forwarded.

    Attributes:
        number: Its number.
        outcome: Value of the outcome.
        reason: Why it was not completed.
        retry_after_ms: Recommended delay before a retry; 0 when unknown.
    """

    number: int
    outcome: str
    reason: str = ""
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ForwardCancel:
    """Entry to entry: stop a forwarded job; answered by a ForwardEnd."""

    number: int
