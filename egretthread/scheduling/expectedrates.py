"""Rates that an entry expects from the capacity that it knows.

The rate at which work was dispatched tells what an entry gets only while work
waits for the present capacity. After a calm time, a restart or a loss of agents
it does not. An entry therefore expects its share of the capacity of its agents
until it has measured what it gets, or the measured rate if that is higher.
"""

import math

from egretthread import nodeid
from egretthread.scheduling import agentviews, linkchoice, workmeter
from egretthread.scheduling.entryboard import AgentView, EntryBoard

# Share of the capacity that arriving work is assumed to need until it has been
# measured.
USUAL_UTILISATION = 0.7


def note_pass(board: EntryBoard) -> None:
    """Records since when tasks wait after every pass."""
    if all(task.job.spec.kept for task in board.waiting):
        board.backlog_since_s = math.inf
    else:
        board.backlog_since_s = min(board.backlog_since_s, board.now_s)


def note_arrival(board: EntryBoard, priority: int, cpu_s: float) -> None:
    """Records work that has arrived, in thousandths of a core x seconds."""
    board.arrived_work.add(board.now_s, priority, cpu_s)
    board.usual_work.add(board.now_s, priority, cpu_s)


def dispatch_rate(board: EntryBoard, priority: int, known_cpu: float) -> float:
    """Returns the rate of work of a priority and less urgent ones.

    More urgent work keeps arriving and is dispatched first, so the capacity
    that it uses is not available to this priority.

    Args:
        board: The blackboard.
        priority: The priority.
        known_cpu: CPU of the agents that the work can use.
    """
    usual = board.usual_work
    urgent_rate = usual.rate(board.now_s, 0) - usual.rate(board.now_s, priority)
    measured_rate = board.dispatched_work.rate(board.now_s, priority)
    share_rate = max(0.0, _share(board) * known_cpu - urgent_rate)
    weight = _measured_weight(board)
    return max(
        measured_rate, weight * measured_rate + (1 - weight) * share_rate
    )


def surplus_rate(board: EntryBoard, known_cpu: float) -> float:
    """Returns the rate of dispatched work less that of arriving work."""
    return dispatch_rate(board, 0, known_cpu) - _arrival_rate(board, known_cpu)


def _arrival_rate(board: EntryBoard, known_cpu: float) -> float:
    """Returns the rate at which work is expected to arrive from now on.

    Work that still waits has its place already, and does not count: a burst
    that has ended does not take the capacity that it waits for. Most bursts are
    short, so the usual rate counts if it is lower.
    """
    waiting_cpu_s = sum(task.work_cpu_s for task in board.waiting)
    assumed_rate = USUAL_UTILISATION * _share(board) * known_cpu
    return min(
        max(
            0.0,
            meter.rate(board.now_s, 0) - waiting_cpu_s / meter.time_constant_s,
        )
        + (1 - meter.measured_share(board.now_s)) * assumed_rate
        for meter in (board.arrived_work, board.usual_work)
    )


def known_cpu(board: EntryBoard, service: str, usable: list[AgentView]) -> int:
    """Returns the CPU of usable agents and of those that were lost just now.

    A restarted agent has another node id than the process that was lost.

    Args:
        board: The blackboard.
        service: The service.
        usable: The agents that can be used now.
    """
    lost = []
    usable_names = set()
    for view in board.agents.values():
        if agentviews.is_usable(board, view):
            usable_names.add(nodeid.node_name(view.node))
        elif agentviews.may_return(board, view, service):
            lost.append(view)
    return sum(view.facts.capacity.cpu for view in usable) + sum(
        view.facts.capacity.cpu
        for view in lost
        if nodeid.node_name(view.node) not in usable_names
    )


def _measured_weight(board: EntryBoard) -> float:
    """Returns how much the measured dispatch rate counts.

    It was measured since work waits, and since the last agent was found.
    """
    measured_s = board.now_s - max(board.backlog_since_s, board.discovered_s)
    return 1 - math.exp(-max(0.0, measured_s) / workmeter.TIME_CONSTANT_S)


def _share(board: EntryBoard) -> float:
    """Returns the share of its agents' capacity that this entry may expect.

    The entries that an agent links with compete for it on equal terms.
    """
    entries = 1 + len(board.forwarding.peers)
    return 1 / min(entries, linkchoice.LINKS_PER_AGENT)
