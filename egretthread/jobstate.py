"""The state of one job, one request or one search at an entry."""

import collections
import dataclasses
import enum

from egretthread import (
    message,
)
from egretthread.jobkey import JobRef
from egretthread.message import Ballot, Registration
from egretthread.outcome import JobAnswer, Outcome
from egretthread.submission import Refusal, SingleRequest, Submission
from egretthread.witness import Request


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
class Assignment:
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
        assignments: Tasks held by agents, by index.
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
    assignments: dict[int, Assignment] = dataclasses.field(default_factory=dict)
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

    def unsettled(self) -> list[int]:
        """Returns the tasks that have no outcome and that no agent holds."""
        return [
            index
            for index in range(len(self.submission.tasks))
            if index not in self.outcomes and index not in self.assignments
        ]


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
