"""Needs of kept jobs' tasks that no linked agent meets.

With many entries, an agent links with some of them only. A coordinator sends
the needs of its waiting tasks to the others, which name it to the agents that
meet them.
"""

from egretthread.scheduling.entryboard import AgentView, EntryBoard, Task
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import ServerNeed, ServerState

# Time that a task has waited for before its need is sent. An agent that has
# just started, or that is linked again, is known by then.
MIN_WAIT_S = 1.0
# Maximum number of needs that are sent.
MAX_NEEDS = 20


def unmet(board: EntryBoard) -> tuple[ServerNeed, ...]:
    """Returns the needs of waiting tasks that no usable linked agent meets."""
    since_s = board.now_s - MIN_WAIT_S
    needs = {
        _need(task): None
        for task in board.waiting
        if task.job.spec.kept and task.waiting_since_s <= since_s
    }
    found = [
        need
        for need in needs
        if not any(
            _may_take_runs(board, view) and _meets(view, need)
            for view in board.agents.values()
        )
    ]
    return tuple(found[:MAX_NEEDS])


def coordinators(board: EntryBoard, view: AgentView) -> tuple[str, ...]:
    """Returns the addresses of entries that have a task for an agent."""
    return tuple(
        address
        for address, needs in board.kept.needs.items()
        if any(_meets(view, need) for need in needs)
    )


def _may_take_runs(board: EntryBoard, view: AgentView) -> bool:
    """Whether an agent is linked and its backend server takes runs.

    An agent keeps the facts of a backend server that is lost or leaves.
    """
    return (
        view.is_connected
        and view.state is ServerState.READY
        and view.facts is not None
        and view.facts.zone not in board.operator_state.withdrawn
    )


def _need(task: Task) -> ServerNeed:
    room = task.spec.room
    return ServerNeed(
        task.job.route.service,
        task.spec.required_label,
        room.cpu,
        room.memory_mb,
        room.gpu,
    )


def _meets(view: AgentView, need: ServerNeed) -> bool:
    """Whether a task with a need may ever run at an agent."""
    facts = view.facts
    return (
        facts is not None
        and facts.service == need.service
        and (not need.label or need.label in facts.labels)
        and facts.capacity.holds(Room(need.cpu, need.memory_mb, need.gpu))
    )
