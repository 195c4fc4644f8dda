"""The agent's engine: dispatches each event to the controllers.

The engine does no network I/O. Its state is the blackboard, and it leaves
messages to send in the blackboard's outbox.
"""

from egretthread import message, nodeid, settings, witness
from egretthread.agentboard import AgentBoard, StartCall
from egretthread.controllers import agent_leases, agent_tasks, agent_witness
from egretthread.outcome import Outcome

HANDLERS = {
    message.Claim: agent_witness.on_request,
    message.Prepare: agent_witness.on_request,
    message.Accept: agent_witness.on_request,
    message.Look: agent_witness.on_request,
    message.Assign: agent_tasks.on_assign,
    message.Seal: agent_tasks.on_seal,
    message.Want: agent_tasks.on_want,
    message.HeartbeatReply: agent_leases.on_heartbeat_reply,
}


def new_board(
    agent_settings: settings.AgentSettings, incarnation: int
) -> AgentBoard:
    """Returns the blackboard of an agent that has just started."""
    name = agent_settings.name
    return AgentBoard(
        settings=agent_settings,
        node=nodeid.node_id(name, incarnation),
        witness=witness.WitnessRegister(name),
        slots=agent_settings.slots,
    )


def set_time(board: AgentBoard, now_s: float, unix_s: float) -> None:
    """Sets the time of the event that is about to be handled."""
    board.now_s = now_s
    board.unix_s = max(board.unix_s, unix_s)
    if board.config_reply is not None:
        horizon_s = board.unix_s - board.config_reply.retention_s
        board.horizon_s = max(board.horizon_s, horizon_s)


def on_message(board: AgentBoard, node: str, received: message.Message) -> None:
    """Handles one message of an entry."""
    handler = HANDLERS.get(type(received))
    if handler is None:
        board.counters["unexpected_messages"] += 1
        return
    board.counters[f"received_{type(received).__name__}"] += 1
    handler(board, node, received)


def on_link_open(board: AgentBoard, node: str) -> None:
    """Records a new link to an entry and sends heartbeats."""
    board.received_by_entry[node] = 0
    agent_leases.send_heartbeats(board)


def on_link_closed(board: AgentBoard, node: str) -> None:
    """Removes the slot requests and reservations of a disconnected entry."""
    agent_tasks.on_link_closed(board, node)


def on_tick(board: AgentBoard) -> None:
    """Does periodic work: heartbeats, refusals, credits and expiry."""
    agent_leases.send_heartbeats(board)
    agent_tasks.refuse_waiting(board)
    agent_tasks.grant_credits(board)
    agent_witness.remove_expired(board)


def may_start(board: AgentBoard, call: StartCall) -> bool:
    """Whether a task may start now.

    If it may not, the assignment is refused permanently.
    """
    return agent_tasks.may_start(board, call)


def on_finished(board: AgentBoard, call: StartCall, result: Outcome) -> None:
    """Records the outcome of a task."""
    agent_tasks.on_finished(board, call, result)


def begin_shutdown(board: AgentBoard) -> None:
    """Starts draining: refuses new tasks and notifies every entry."""
    board.draining = True
    agent_leases.send_heartbeats(board)


def is_idle(board: AgentBoard) -> bool:
    """Whether no task runs or waits to start."""
    return board.running == 0 and not board.waiting


def set_healthy(board: AgentBoard, healthy: bool) -> None:
    """Records the backend server's health and sends a change to entries."""
    if healthy != board.healthy:
        board.healthy = healthy
        agent_leases.send_heartbeats(board)
