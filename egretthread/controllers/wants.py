"""Entry: tells agents whether tasks wait here for their slots."""

from egretthread import fairqueue, message
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import dispatch, pool

# A wish for slots is repeated after this time.
WANT_AGAIN_S = 0.5


def update(board: EntryBoard, service: str) -> None:
    """Asks all agents of a service for slots while tasks wait."""
    queue = dispatch.queue_for(board, service)
    if not len(queue):
        withdraw(board, service)
        return
    for agent in pool.eligible(board, service):
        if pool.view(board, agent).weight <= 0.0:
            # Slots that are not used must not be held for this entry.
            withdraw_from(board, agent)
            continue
        fresh = board.now_s - agent.wanted_s < WANT_AGAIN_S
        if not (agent.wanted and fresh):
            count = min(len(queue), agent.heartbeat.slots)
            _send(board, agent, service, count, queue)


def withdraw(board: EntryBoard, service: str) -> None:
    """Tells the agents that were asked that nothing waits any more."""
    for node in board.wanting.pop(service, ()):
        agent = board.agents.get(node)
        if agent is not None:
            withdraw_from(board, agent)


def withdraw_from(board: EntryBoard, agent: AgentState) -> None:
    """Tells one agent, if it was asked, that nothing waits for it."""
    if agent.wanted:
        service = agent.heartbeat.service
        queue = dispatch.queue_for(board, service)
        board.counters["wants_withdrawn"] += 1
        _send(board, agent, service, 0, queue)


def note_wish(board: EntryBoard, agent: AgentState, service: str) -> None:
    """Notes a wish that an agent holds without a Want from here."""
    agent.wanted = max(1, agent.wanted)
    agent.wanted_s = board.now_s
    board.wanting.setdefault(service, set()).add(agent.node)


def _send(
    board: EntryBoard,
    agent: AgentState,
    service: str,
    count: int,
    queue: fairqueue.FairQueue,
) -> None:
    agent.wanted = count
    agent.wanted_s = board.now_s
    waited_s = 0.0
    if count:
        waited_s = queue.oldest_wait_s(board.now_s)
        board.wanting.setdefault(service, set()).add(agent.node)
    board.send(agent.node, message.Want(board.node, service, count, waited_s))
