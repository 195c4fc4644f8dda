"""The view that an entry has of its agents, based on their heartbeats."""

from egretthread import logs
from egretthread.scheduling import leaserule, serverneeds
from egretthread.scheduling.entryboard import AgentView, EntryBoard
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    AgentBeat,
    EntryBeat,
    ServerState,
)

# Time without a heartbeat after which an agent gets no further runs, while it
# has runs of this entry. It then sends a heartbeat every 0.2 s.
SUSPECT_BUSY_S = 0.5
# Time without a heartbeat after which an agent without runs of this entry gets
# none. It then sends a heartbeat every second.
SUSPECT_IDLE_S = 1.4
# Time for which an agent that was lost is expected back. A restarted process
# learns of its backend server by the next heartbeat, 1.5 s later at most.
RETURN_S = 2.5


def is_usable(board: EntryBoard, view: AgentView) -> bool:
    """Whether runs may be dispatched to an agent."""
    if not view.is_connected or view.facts is None:
        return False
    if view.state is not ServerState.READY:
        return False
    if view.facts.zone in board.operator_state.withdrawn:
        return False
    return not is_silent(board, view)


def may_return(board: EntryBoard, view: AgentView, service: str) -> bool:
    """Whether an agent of a service was lost just now, and may be back soon."""
    return (
        view.facts is not None
        and view.facts.service == service
        and view.state is ServerState.READY
        and view.facts.zone not in board.operator_state.withdrawn
        and board.now_s - view.last_received_s <= RETURN_S
    )


def is_silent(board: EntryBoard, view: AgentView) -> bool:
    """Whether a heartbeat of the agent is overdue."""
    if board.now_s - view.last_received_s > SUSPECT_IDLE_S:
        return True
    # An idle agent sends frequent heartbeats only once it receives an order.
    since_s = max(view.last_received_s, view.busy_since_s)
    return bool(view.tasks) and board.now_s - since_s > SUSPECT_BUSY_S


def record_heartbeat(
    board: EntryBoard, view: AgentView, heartbeat: AgentBeat
) -> None:
    """Updates the view of an agent from its heartbeat."""
    if heartbeat.state is not view.state:
        logs.info(
            "agent_state",
            agent=view.node,
            state=heartbeat.state,
            before=view.state,
            runs=len(view.tasks),
        )
        if heartbeat.state is ServerState.READY and not view.is_discovered:
            view.is_discovered = True
            board.discovered_s = board.now_s
    view.state = heartbeat.state
    view.free = Room(
        heartbeat.free_cpu, heartbeat.free_memory_mb, heartbeat.free_gpu
    )
    view.speed = heartbeat.speed
    view.last_received_s = board.now_s
    view.clock_ms = heartbeat.clock_ms
    while view.in_flight and view.in_flight[0][0] <= heartbeat.received:
        view.in_flight.popleft()


def send_heartbeat_reply(board: EntryBoard, view: AgentView) -> None:
    """Answers a heartbeat, which renews the entry's lease at the agent.

    The reply returns the clock reading of the agent's last heartbeat.
    """
    entries = ()
    if view.sent_entries != board.entries:
        entries = view.sent_entries = board.entries
    services = ()
    if view.sent_services != board.operator_state.services:
        services = view.sent_services = board.operator_state.services
    zone = view.facts.zone if view.facts else ""
    reply = EntryBeat(
        view.clock_ms,
        board.operator_state.offset,
        zone in board.operator_state.withdrawn,
        zone == board.zone,
        entries,
        board.kept.may_exist(board.now_s),
        services,
        serverneeds.coordinators(board, view),
    )
    view.last_reply_s = board.now_s
    board.outbox.append((view.node, reply))
    extend_fence(view, ordered=False)


def extend_fence(view: AgentView, ordered: bool) -> None:
    """Extends the time by which all runs of an agent have certainly ended.

    Args:
        view: The agent.
        ordered: Whether its last clock reading was returned in an order.
    """
    fence_s = leaserule.fence_s(view.last_received_s, ordered)
    view.fence_s = max(view.fence_s, fence_s)
