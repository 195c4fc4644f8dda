"""State of jobs forwarded between entries, and of their reported load."""

import dataclasses
import math

from egretthread.scheduling.jobspec import JobSpec, Route
from egretthread.scheduling.runmessage import ServiceLoad


@dataclasses.dataclass(frozen=True)
class PeerLoad:
    """The load of another entry as of its last reply.

    Attributes:
        number: Number of the question that it answered.
        received_s: When it arrived.
        clock_ms: Clock of that entry when it replied.
        rows: Load by service.
    """

    number: int
    received_s: float
    clock_ms: int
    rows: dict[str, ServiceLoad]


@dataclasses.dataclass
class SentJob:
    """A job that this entry has forwarded and has to answer.

    Attributes:
        spec: The job.
        route: Its route, as configured when it was submitted.
        accepted_s: When it was submitted.
        deadline_s: When its caller stops waiting.
        objective_s: When it must be completed to meet its objective.
        critical_s: Expected run time of its critical path.
        wait_s: Expected wait here when it was decided to pass it on.
        refusal_reason: Reason of the answer if it isn't accepted; empty if it
            is then queued here.
        retry_after_s: Retry delay of that answer.
        number: Its number among the jobs forwarded by this process.
        receiver: Node id of the entry that it was last forwarded to.
        tries: How often it was forwarded.
        sent_s: When it was last forwarded.
        question: Number of the last question sent before.
        is_accepted: Whether the receiver has accepted it.
        is_cancelling: Whether it was cancelled because no reply came in time.
        heard_s: When the receiver last told that it runs the job.
        clock_ms: Clock of the receiver in its last reply about its load.
    """

    spec: JobSpec
    route: Route
    accepted_s: float
    deadline_s: float
    objective_s: float
    critical_s: float
    wait_s: float
    refusal_reason: str
    retry_after_s: float
    number: int = 0
    receiver: str = ""
    tries: int = 0
    sent_s: float = 0.0
    question: int = 0
    is_accepted: bool = False
    is_cancelling: bool = False
    heard_s: float = 0.0
    clock_ms: int = 0


@dataclasses.dataclass
class ReceivedJob:
    """A job that another entry has forwarded to this one.

    Attributes:
        number: Its number among the jobs forwarded by the sender's process.
        sender: Node id of the entry that answers its caller.
        accepted_s: When it was accepted.
        heard_s: When the sender last told that it wants the job.
        is_joined: Whether its caller has also submitted it here.
    """

    number: int
    sender: str
    accepted_s: float
    heard_s: float
    is_joined: bool = False


@dataclasses.dataclass
class ForwardBoard:
    """Everything an entry knows of other entries' load and of forwarded jobs.

    Attributes:
        peers: Node ids of the entries to which a link is open.
        accepting: Node ids of the entries that take jobs, as they have told.
        outbox: Messages to be sent, with the node id of the entry.
        peer_loads: Load of other entries by node id.
        last_question: Number of the last question.
        asked_s: When questions were last sent.
        short_until_s: Until when this entry counts as short of capacity.
        own_rows: Load of this entry.
        own_rows_s: When that load was determined.
        last_number: Number of the last job that was forwarded.
        sent: Jobs forwarded and not answered, by id.
        received: Open jobs received from other entries, by id.
        settled: Last message about jobs that are not open here (any more), and
            when it was sent, by sender and number.
    """

    peers: set[str] = dataclasses.field(default_factory=set)
    accepting: set[str] = dataclasses.field(default_factory=set)
    outbox: list[tuple[str, object]] = dataclasses.field(default_factory=list)
    peer_loads: dict[str, PeerLoad] = dataclasses.field(default_factory=dict)
    last_question: int = 0
    asked_s: float = -math.inf
    short_until_s: float = -math.inf
    own_rows: tuple[ServiceLoad, ...] = ()
    own_rows_s: float = -math.inf
    last_number: int = 0
    sent: dict[str, SentJob] = dataclasses.field(default_factory=dict)
    received: dict[str, ReceivedJob] = dataclasses.field(default_factory=dict)
    settled: dict[tuple[str, int], tuple[object, float]] = dataclasses.field(
        default_factory=dict
    )

    def send(self, node: str, message: object) -> None:
        """Queues a message to another entry."""
        self.outbox.append((node, message))
