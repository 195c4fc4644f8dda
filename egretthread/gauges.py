"""Gauges computed from the blackboards of an entry and an agent."""

from egretthread.adminapi import Gauges
from egretthread.blackboard import EntryBoard
from egretthread.controllers import agent_leases, entry_members


def _queued_tasks(board: EntryBoard) -> float:
    return sum(len(queue) for queue in board.queues.values())


ENTRY_GAUGES: Gauges = {
    "config_offset": lambda board: board.config_offset,
    "log_age_seconds": lambda board: min(
        entry_members.NEVER_READ_S, board.log_age_s
    ),
    "lease_open": lambda board: float(board.lease_open),
    "agents": lambda board: len(board.agents),
    "entries": lambda board: len(board.peers),
    "open_jobs": lambda board: len(board.open_jobs),
    "kept_jobs": lambda board: len(board.jobs),
    "queued_tasks": _queued_tasks,
}

AGENT_GAUGES: Gauges = {
    "config_offset": lambda board: board.lease.config_offset,
    "lease_open": lambda board: float(agent_leases.accepts_tasks(board)),
    "slots": lambda board: board.slots,
    "running_tasks": lambda board: board.running,
    "ledger_jobs": lambda board: len(board.ledger.jobs),
    "witness_records": lambda board: len(board.witness.records),
    "witness_shards": lambda board: len(board.witness.shards),
}
