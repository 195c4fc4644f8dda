"""What an entry believes of its agents, and for how long."""

from egretthread import logs
from egretthread.scheduling import leaserule
from egretthread.scheduling.entryboard import AgentView, EntryBoard
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    AgentBeat,
    EntryBeat,
    ServerState,
)

# An agent that has runs of this entry and is silent for longer gets no more.
# It sends a heartbeat every 0.2 s while it has some, else every second.
SUSPECT_BUSY_S = 0.5
SUSPECT_IDLE_S = 1.4


def is_usable(board: EntryBoard, view: AgentView) -> bool:
    """Whether an agent may be given runs."""
    if not view.is_connected or view.facts is None:
        return False
    if view.state is not ServerState.READY:
        return False
    if view.facts.zone in board.operator_state.withdrawn:
        return False
    return not is_silent(board, view)


def is_silent(board: EntryBoard, view: AgentView) -> bool:
    """Whether a heartbeat of the agent is overdue."""
    if board.now_s - view.heard_s > SUSPECT_IDLE_S:
        return True
    # It learns only from the first order that its heartbeats are wanted.
    since_s = max(view.heard_s, view.busy_since_s)
    return bool(view.tasks) and board.now_s - since_s > SUSPECT_BUSY_S


def take_beat(board: EntryBoard, view: AgentView, beat: AgentBeat) -> None:
    """Takes in a heartbeat."""
    if beat.state is not view.state:
        logs.info(
            "agent_state",
            agent=view.node,
            state=beat.state,
            before=view.state,
            runs=len(view.tasks),
        )
    view.state = beat.state
    view.free = Room(beat.free_cpu, beat.free_memory_mb, beat.free_gpu)
    view.speed = beat.speed
    view.heard_s = board.now_s
    view.clock_ms = beat.clock_ms
    while view.in_flight and view.in_flight[0][0] <= beat.received:
        view.in_flight.popleft()


def send_beat(board: EntryBoard, view: AgentView) -> None:
    """Returns the agent's clock reading, which renews the entry's lease."""
    entries = ()
    if view.sent_entries != board.entries:
        entries = view.sent_entries = board.entries
    zone = view.facts.zone if view.facts else ""
    beat = EntryBeat(
        view.clock_ms,
        board.operator_state.offset,
        zone in board.operator_state.withdrawn,
        zone == board.zone,
        entries,
        board.kept.may_exist,
    )
    view.last_reply_s = board.now_s
    board.outbox.append((view.node, beat))
    extend_fence(view, ordered=False)


def extend_fence(view: AgentView, ordered: bool) -> None:
    """Notes that the agent was trusted anew with its last reading."""
    fence_s = leaserule.fence_s(view.heard_s, ordered)
    view.fence_s = max(view.fence_s, fence_s)
