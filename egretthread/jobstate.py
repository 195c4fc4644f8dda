"""The state of one job, single request or lookup at an entry."""

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
    """The phase of a job at an entry."""

    # Registering a new job at its witnesses.
    CLAIMING = "claiming"
    # Asking the witnesses whether another entry runs the job, because this
    # entry is overloaded and would not start it.
    LOOKING = "looking"
    # Waiting for the answer of the job's coordinator.
    ASKING = "asking"
    # Taking over the job: the witnesses are to promise a higher ballot.
    PREPARING = "preparing"
    # Taking over the job: its agents are to refuse lower ballots.
    SEALING = "sealing"
    # Taking over the job: the witnesses are to accept its registration.
    ACCEPTING = "accepting"
    RUNNING = "running"
    # Recording at the witnesses that the answer is final.
    CLOSING = "closing"
    ANSWERED = "over"


@dataclasses.dataclass
class Round:
    """One voting round: a request to a job's witnesses and their replies.

    Attributes:
        request: The request, as sent.
        replies: Replies by witness name.
        sent_s: Monotonic time when the request was last sent.
        started_s: Monotonic time when the round began.
    """

    request: Request
    replies: dict[str, message.WitnessReply]
    sent_s: float
    started_s: float


class JobStatus(enum.StrEnum):
    """What a caller learns about a job that has no answer yet."""

    RUNNING = "running"
    CANCELLING = "cancelling"
    # The coordinator was lost; submitting the job again recovers it.
    STRANDED = "stranded"


@dataclasses.dataclass
class Lookup:
    """A lookup of a job that this entry does not know.

    Attributes:
        round: The voting round with the job's witnesses.
        cancel: Whether its coordinator is to cancel the job.
        coordinator: Node id of the job's coordinator, once it is found.
        started_s: Monotonic time when the lookup began.
    """

    round: Round
    cancel: bool
    started_s: float
    coordinator: str = ""


@dataclasses.dataclass(frozen=True)
class Assignment:
    """A task that this entry has assigned to an agent.

    Attributes:
        agent: The agent's node id.
        attempt: The attempt number, counted per task.
        sent_s: Monotonic time when the assignment was last sent.
    """

    agent: str
    attempt: int
    sent_s: float


@dataclasses.dataclass
class JobState:
    """One job at an entry.

    Attributes:
        submission: The job as submitted.
        phase: Its phase at this entry.
        ballot: The ballot under which this entry coordinates it.
        deadline_s: Monotonic time of its deadline.
        created_s: Monotonic time of the submission.
        agents: Node ids of the agents registered to hold its tasks.
        proposed_agents: The longer list of agents last sent to the witnesses
            for registration, if any.
        round: The current voting round, if any.
        extension: The voting round that registers more agents, if any.
        seal_replies: Seal replies by agent node id.
        seals_sent_s: Monotonic time when seals were last sent.
        lost_agents: Agents that were replaced by a new incarnation or did
            not answer a seal in time.
        registration: The registration in force, if any.
        outcomes: Outcomes by task index.
        assignments: Tasks held by agents, by task index.
        attempts: Number of assignments so far, by task index.
        cancel_reason: Why no more tasks may start; empty if they may.
        coordinator: Node id of the entry that was asked for the answer.
        wake_s: Monotonic time of the next step that a timer starts.
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
    seal_replies: dict[str, message.SealReply] = dataclasses.field(
        default_factory=dict
    )
    seals_sent_s: float = 0.0
    lost_agents: set[str] = dataclasses.field(default_factory=set)
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

    def unassigned(self) -> list[int]:
        """Returns the indices of tasks without an outcome or an assignment."""
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
        result: The combined result of all attempts so far.
        wake_s: Monotonic time of the next attempt.
    """

    request: SingleRequest
    job: JobRef
    deadline_s: float
    attempts: int = 0
    result: Outcome | Refusal | None = None
    wake_s: float = 0.0
