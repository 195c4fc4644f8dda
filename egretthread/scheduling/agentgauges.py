"""Gauges of an agent's blackboard."""

from egretthread import adminapi
from egretthread.scheduling import serverpoll

GAUGES: adminapi.Gauges = {
    "config_offset": lambda board: board.operator_offset,
    "lease_open": lambda board: float(board.server is not None),
    "running_tasks": lambda board: len(board.runs_by_task),
    "queued_tasks": lambda board: len(board.runs) - len(board.runs_by_task),
    "server_speed": serverpoll.server_speed,
    "server_speed_uncertainty": lambda board: board.speed.uncertainty(
        board.now_s
    ),
}
