"""Gauges of an entry's blackboard."""

from egretthread import adminapi, metrics
from egretthread.scheduling import agentviews
from egretthread.scheduling.entryboard import EntryBoard

GAUGES: adminapi.Gauges = {
    "config_offset": lambda board: board.operator_state.offset,
    "lease_open": lambda board: float(board.operator_state.is_configured),
    "agents": lambda board: sum(
        agentviews.is_usable(board, view) for view in board.agents.values()
    ),
    "entries": lambda board: len(board.entries) - 1,
    "open_jobs": lambda board: len(board.jobs),
    "queued_tasks": lambda board: len(board.waiting),
    "long_job_share": lambda board: max(
        (spread.tail_share for spread in board.spreads.values()), default=0.0
    ),
    "forwarded_jobs": lambda board: len(board.forwarding.sent),
    "received_jobs": lambda board: len(board.forwarding.received),
    "backlog_seconds": lambda board: max(
        0.0, board.now_s - board.backlog_since_s
    ),
}


def set_shares(board: EntryBoard, process_metrics: metrics.Metrics) -> None:
    """Sets the cores in use of each share of the capacity."""
    for (service, name), use in board.shares.uses.items():
        process_metrics.set(
            "share_cores", use.running_cpu / 1000, service, name
        )
