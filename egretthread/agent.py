"""The agent's engine: hands each event to its controllers."""

from egretthread import message, settings, witness
from egretthread.agentboard import AgentBoard, StartOrder
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
    """Returns the blackboard of a freshly started agent."""
    name = agent_settings.name
    return AgentBoard(
        settings=agent_settings,
        node=message.node_id(name, incarnation),
        witness=witness.WitnessRegister(name),
        slots=agent_settings.slots,
    )


def set_time(board: AgentBoard, now_s: float, unix_s: float) -> None:
    """Writes the time of the event about to be handled."""
    board.now_s = now_s
    board.unix_s = max(board.unix_s, unix_s)
    if board.config_reply is not None:
        horizon_s = board.unix_s - board.config_reply.retention_s
        board.horizon_s = max(board.horizon_s, horizon_s)


def on_message(board: AgentBoard, node: str, item: message.Message) -> None:
    """Handles one message of an entry."""
    handler = HANDLERS.get(type(item))
    if handler is None:
        board.counters["unexpected_messages"] += 1
        return
    board.counters[f"received_{type(item).__name__}"] += 1
    handler(board, node, item)


def on_link_open(board: AgentBoard, node: str) -> None:
    """Announces the agent to an entry it has just reached."""
    board.received_by_entry[node] = 0
    agent_leases.send_heartbeats(board)


def on_link_closed(board: AgentBoard, node: str) -> None:
    """Forgets what was promised to an entry that is out of reach."""
    agent_tasks.on_link_closed(board, node)


def on_tick(board: AgentBoard) -> None:
    """Does what is due by time: heartbeats, credits, forgetting."""
    agent_leases.send_heartbeats(board)
    agent_tasks.refuse_waiting(board)
    agent_tasks.give_credits(board)
    agent_witness.forget_expired(board)


def may_start(board: AgentBoard, order: StartOrder) -> bool:
    """Whether a task may start now; refuses it for good otherwise."""
    return agent_tasks.may_start(board, order)


def on_finished(board: AgentBoard, order: StartOrder, result: Outcome) -> None:
    """Records the outcome of a task."""
    agent_tasks.on_finished(board, order, result)


def begin_shutdown(board: AgentBoard) -> None:
    """Stops taking tasks and tells every entry so."""
    board.draining = True
    agent_leases.send_heartbeats(board)


def is_idle(board: AgentBoard) -> bool:
    """Whether no task runs and everything finished is reported."""
    return board.running == 0 and not board.waiting


def set_healthy(board: AgentBoard, healthy: bool) -> None:
    """Notes the backend server's health and announces a change of it."""
    if healthy != board.healthy:
        board.healthy = healthy
        agent_leases.send_heartbeats(board)
