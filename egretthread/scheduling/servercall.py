"""Calls to a backend server and their results, as data classes."""

import dataclasses
import enum

from egretthread.scheduling.agentboard import TaskName


class Verdict(enum.StrEnum):
    """Outcome of a call to the backend server."""

    # The run has started, or its stop has begun.
    OK = "ok"
    # The free capacity is not sufficient.
    NO_ROOM = "no_room"
    # A run of the task with this number or a higher one was stopped or ended.
    STALE_NUMBER = "old"
    # The backend server has seen a higher fencing token.
    FENCED = "fenced"
    # The lease in the call had already ended.
    LEASE_EXPIRED = "late"
    # The backend server did nothing, since it is unhealthy or busy.
    UNHEALTHY = "unhealthy"
    # The call reached another incarnation.
    WRONG_INSTANCE = "wrong_instance"
    INVALID = "invalid"
    # The call may have been carried out, or may still be.
    NO_ANSWER = "lost"
    # The connection was refused.
    NOT_LISTENING = "gone"


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Result of a start or stop call.

    Attributes:
        verdict: Outcome of the call.
        clock_ms: The backend server's clock; 0 if not reported.
    """

    verdict: Verdict
    clock_ms: int = 0


class ServerEnd(enum.StrEnum):
    """How a run ended, as reported by the backend server."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # Its lease expired.
    LEASE_EXPIRED = "lapsed"
    # Another member of its gang ended.
    GANG_MEMBER_ENDED = "broken"
    # The other members of its gang did not start in time.
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True)
class RunningRun:
    """A run that the backend server lists as running.

    Attributes:
        name: Its task.
        number: Number of the run.
        percent: Share of its work done.
    """

    name: TaskName
    number: int
    percent: int


@dataclasses.dataclass(frozen=True)
class EndedRun:
    """A run that the backend server lists as ended.

    Attributes:
        sequence: Sequence number of the end within the incarnation.
        name: Its task.
        number: Number of the run.
        end: How it ended.
    """

    sequence: int
    name: TaskName
    number: int
    end: ServerEnd


@dataclasses.dataclass(frozen=True)
class PollCall:
    """Poll of the backend server, which may renew the lease of all its runs.

    Attributes:
        server: Id of the incarnation that the poll is for; empty for any.
        token: Fencing token.
        last_seen: Acknowledges the ends up to this sequence number, which are
            then discarded.
        until_ms: End of the lease on the backend server's clock; 0 does not
            renew it.
        wait_ms: How long the answer may wait for a run to end.
        sent_s: When it was sent.
        started_unix_ms: When that incarnation started.
    """

    server: str
    token: int
    last_seen: int
    until_ms: int
    wait_ms: int
    sent_s: float
    started_unix_ms: int = 0


@dataclasses.dataclass(frozen=True)
class PollResult:
    """Result of a poll.

    Attributes:
        verdict: Outcome of the poll; no runs are listed unless it is OK.
        clock_ms: The backend server's clock; 0 if not reported.
        started_unix_ms: When the incarnation started; 0 if not reported.
        running: The running runs.
        ended: The ended runs that have not been acknowledged.
    """

    verdict: Verdict
    clock_ms: int = 0
    started_unix_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
