"""Gauges of the blackboards of entries and agents, and their server."""

from egretthread import adminapi
from egretthread.scheduling import agentviews
from egretthread.scheduling.agentboard import AgentBoard
from egretthread.scheduling.entryboard import EntryBoard

ENTRY_GAUGES: adminapi.Gauges = {
    "config_offset": lambda board: board.operator_state.offset,
    "lease_open": lambda board: float(board.operator_state.is_configured),
    "agents": lambda board: sum(
        agentviews.is_usable(board, view) for view in board.agents.values()
    ),
    "entries": lambda board: len(board.entries) - 1,
    "open_jobs": lambda board: len(board.jobs),
    "queued_tasks": lambda board: len(board.waiting),
}

AGENT_GAUGES: adminapi.Gauges = {
    "config_offset": lambda board: board.operator_offset,
    "lease_open": lambda board: float(board.server is not None),
    "running_tasks": lambda board: len(board.runs_by_task),
    "queued_tasks": lambda board: len(board.runs) - len(board.runs_by_task),
}


def serve(
    board: EntryBoard | AgentBoard, address: str, gauges: adminapi.Gauges
) -> adminapi.AdminServer:
    """Starts and returns the server of the metrics and the state dump."""
    server = adminapi.AdminServer(board, address, gauges)
    server.start()
    return server
