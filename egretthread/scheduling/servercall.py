"""What a backend server answers to orders, as data."""

import dataclasses
import enum

from egretthread.scheduling.agentboard import TaskName


class Verdict(enum.StrEnum):
    """How a call of the backend server went."""

    # A start is there, or a stop is under way.
    OK = "ok"
    NO_ROOM = "no_room"
    # A run with this number or a higher one was stopped or ended there.
    STALE_NUMBER = "old"
    # It has seen a higher fencing token.
    FENCED = "fenced"
    # The lease in the call was over already.
    LEASE_EXPIRED = "late"
    # It did nothing, since it is unhealthy or busy.
    UNHEALTHY = "unhealthy"
    # Another incarnation answers there.
    WRONG_INSTANCE = "wrong_instance"
    INVALID = "invalid"
    # No answer: it may have been carried out, or may still be.
    NO_ANSWER = "lost"
    # Nothing listens there any more.
    NOT_LISTENING = "gone"


@dataclasses.dataclass(frozen=True)
class CallResult:
    """Answer to an order.

    Attributes:
        verdict: How it went.
        clock_ms: The backend server's clock; 0 when not told.
    """

    verdict: Verdict
    clock_ms: int = 0


class ServerEnd(enum.StrEnum):
    """How a backend server says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    # Its lease ran out.
    LAPSED = "lapsed"
    # Another member of its gang ended.
    GANG_MEMBER_ENDED = "broken"
    # It waited in vain for the others of its gang.
    GANG_INCOMPLETE = "alone"


@dataclasses.dataclass(frozen=True)
class RunningRun:
    """A run that is at the backend server.

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
    """A run that ended at the backend server.

    Attributes:
        sequence: Number of the end within the incarnation.
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
    """Question to the backend server; may renew the lease of all its runs.

    Attributes:
        server: Id of the incarnation meant; empty for any.
        token: Fencing token.
        last_seen: Ends up to this number need not be told again.
        until_ms: End of the lease on the backend server's clock; 0 renews
            nothing.
        wait_ms: How long the answer may wait for an end.
        sent_s: When it was sent.
    """

    server: str
    token: int
    last_seen: int
    until_ms: int
    wait_ms: int
    sent_s: float


@dataclasses.dataclass(frozen=True)
class PollResult:
    """Answer to a look.

    Attributes:
        verdict: How the call went; the rest is empty unless it is OK.
        clock_ms: The backend server's clock.
        started_unix_ms: When the incarnation started; 0 if not reported.
        running: Runs that are there.
        ended: Ends not known yet.
    """

    verdict: Verdict
    clock_ms: int = 0
    started_unix_ms: int = 0
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
