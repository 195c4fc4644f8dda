"""The mutable state of an agent, in one object."""

import collections
import dataclasses

from egretthread import (
    credit,
    message,
)
from egretthread.jobkey import JobRef
from egretthread.lease import NO_LEASE, AgentLease
from egretthread.ledger import Ledger
from egretthread.message import Message
from egretthread.settings import AgentSettings
from egretthread.witness import WitnessRegister


@dataclasses.dataclass(frozen=True)
class StartCall:
    """Call that runs a task at the backend server.

    Attributes:
        job: The task's job.
        service: The service.
        index: The task's index.
        attempt: The attempt number of its assignment.
        payload: JSON text for the backend server.
        timeout_s: Longest run time.
        accepted_s: Monotonic time when the task got its slot.
    """

    job: JobRef
    service: str
    index: int
    attempt: int
    payload: str
    timeout_s: float
    accepted_s: float = 0.0


@dataclasses.dataclass
class AgentBoard:
    """All state of one agent; controllers read and write it.

    Attributes:
        settings: The process's settings.
        node: Its node id.
        now_s: Monotonic time of the event being handled.
        unix_s: Wall clock of the event being handled.
        horizon_s: Retention horizon: keys issued before this Unix time are
            refused. It never moves back, even if the retention is extended.
        lease: Permission to start tasks.
        config_reply: The heartbeat reply with the configuration in force.
        entries: Addresses of all entries, as last received.
        ledger: Tasks assigned to this agent.
        witness: Records of the job keys that this agent is a witness for.
        slots: Number of slots in force.
        running: Number of tasks running now.
        waiting: Calls for accepted tasks that wait for a slot, next first.
        reservations: Slots reserved for entries: (until_s, entry node id,
            count).
        slot_requests: Requests for free slots, by entry node id.
        last_grant_s: Monotonic time of the last grant, by entry node id.
        healthy: Whether the backend server answers.
        draining: Whether the process is shutting down.
        dial_all_until_s: Monotonic time until which the agent keeps links to
            all entries, because an entry without a link has taken over a job.
        recent_failures: Whether each of the recent tasks failed, newest last.
        received_by_entry: Tasks received over the current link, by entry
            node id.
        outbox: (node id, message) pairs to be sent.
        to_start: Calls to be made by the server process.
        counters: Event counts for the metrics.
        samples: (histogram name, seconds) pairs for the metrics.
    """

    settings: AgentSettings
    node: str
    now_s: float = 0.0
    unix_s: float = 0.0
    horizon_s: float = 0.0
    lease: AgentLease = NO_LEASE
    config_reply: message.HeartbeatReply | None = None
    entries: tuple[str, ...] = ()
    ledger: Ledger = dataclasses.field(default_factory=Ledger)
    witness: WitnessRegister | None = None
    slots: int = 0
    running: int = 0
    waiting: collections.deque[StartCall] = dataclasses.field(
        default_factory=collections.deque
    )
    reservations: list[tuple[float, str, int]] = dataclasses.field(
        default_factory=list
    )
    last_grant_s: dict[str, float] = dataclasses.field(default_factory=dict)
    slot_requests: dict[str, credit.SlotRequest] = dataclasses.field(
        default_factory=dict
    )
    healthy: bool = True
    draining: bool = False
    dial_all_until_s: float = float("-inf")
    recent_failures: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=50)
    )
    received_by_entry: dict[str, int] = dataclasses.field(default_factory=dict)
    outbox: list[tuple[str, Message]] = dataclasses.field(default_factory=list)
    to_start: list[StartCall] = dataclasses.field(default_factory=list)
    counters: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    samples: list[tuple[str, float]] = dataclasses.field(default_factory=list)

    def send(self, node: str, outgoing: Message) -> None:
        """Adds a message for a node to the outbox."""
        self.outbox.append((node, outgoing))
