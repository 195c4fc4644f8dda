"""Entry: tells agents whether tasks wait here for their slots."""

from egretthread import credit, message
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import dispatch, pool

RULE = credit.CreditRule()


def update(board: EntryBoard, service: str) -> None:
    """Asks agents of a service for slots while tasks wait."""
    waiting = len(dispatch.queue_for(board, service))
    if not waiting:
        withdraw(board, service)
        return
    agents = pool.eligible(board, service)
    for agent in _choose(board, agents, waiting):
        if pool.view(board, agent).weight <= 0.0:
            # Slots that are not used must not be held for this entry.
            withdraw_from(board, agent)
        elif not _is_fresh(board, agent):
            _send(board, agent, count_for(board, agent))


def _choose(
    board: EntryBoard, agents: list[AgentState], waiting: int
) -> list[AgentState]:
    """Returns the agents to ask: those asked before, and some at random."""
    count = credit.agents_to_ask(waiting, len(agents), RULE)
    if count >= len(agents):
        return agents
    asked = [agent for agent in agents if agent.requested_slots]
    if len(asked) >= count:
        return asked
    return asked + board.rng.sample(agents, count - len(asked))


def _is_fresh(board: EntryBoard, agent: AgentState) -> bool:
    age_s = board.now_s - agent.wanted_s
    return agent.requested_slots > 0 and age_s < RULE.again_s


def count_for(board: EntryBoard, agent: AgentState) -> int:
    """Returns how many waiting tasks an agent is asked to take."""
    waiting = len(dispatch.queue_for(board, agent.heartbeat.service))
    return min(waiting, agent.heartbeat.slots)


def may_queue(board: EntryBoard, service: str) -> bool:
    """Whether so much waits here that agents may queue tasks."""
    waiting = len(dispatch.queue_for(board, service))
    if not waiting:
        return False
    agents = board.eligible_counts.get(service, 0)
    return credit.is_deep(waiting, agents, RULE)


def withdraw(board: EntryBoard, service: str) -> None:
    """Tells the agents that were asked that nothing waits any more."""
    for node in board.wanting.pop(service, ()):
        agent = board.agents.get(node)
        if agent is not None:
            withdraw_from(board, agent)


def withdraw_from(board: EntryBoard, agent: AgentState) -> None:
    """Tells one agent, if it was asked, that nothing waits for it."""
    if agent.requested_slots:
        board.counters["wants_withdrawn"] += 1
        _send(board, agent, 0)


def note_wish(board: EntryBoard, agent: AgentState) -> None:
    """Notes a wish that an agent holds without a Want from here."""
    note_count(board, agent, max(1, agent.requested_slots))


def note_count(board: EntryBoard, agent: AgentState, count: int) -> None:
    """Notes what an agent has been told of the tasks that wait here."""
    agent.requested_slots = count
    agent.wanted_s = board.now_s
    if count:
        service = agent.heartbeat.service
        board.wanting.setdefault(service, set()).add(agent.node)


def urgent_s(board: EntryBoard, service: str) -> float:
    """Returns how long the most urgent task is past its patience."""
    return dispatch.queue_for(board, service).urgency_s(board.now_s)


def _send(board: EntryBoard, agent: AgentState, count: int) -> None:
    note_count(board, agent, count)
    service = agent.heartbeat.service
    waited_s = urgent_s(board, service) if count else 0.0
    queued = may_queue(board, service) if count else False
    board.send(
        agent.node,
        message.Want(board.node, service, count, waited_s, queued),
    )
