"""Gauges of an agent's blackboard."""

from egretthread import adminapi

GAUGES: adminapi.Gauges = {
    "config_offset": lambda board: board.operator_offset,
    "lease_open": lambda board: float(board.server is not None),
    "running_tasks": lambda board: len(board.runs_by_task),
    "queued_tasks": lambda board: len(board.runs) - len(board.runs_by_task),
}
