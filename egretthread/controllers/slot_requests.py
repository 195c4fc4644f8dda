"""Entry controller: requests slots from agents while tasks are queued."""

from egretthread import credit, message
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import dispatch, pool

RULE = credit.CreditRule()


def update(board: EntryBoard, service: str) -> None:
    """Requests slots from agents of a service, or withdraws the requests."""
    waiting = len(dispatch.queue_for(board, service))
    if not waiting:
        withdraw(board, service)
        return
    agents = pool.eligible(board, service)
    for agent in _agents_to_ask(board, agents, waiting):
        if pool.view(board, agent).weight <= 0.0:
            # This entry must not use the agent, which would otherwise
            # reserve slots for it in vain.
            withdraw_from(board, agent)
        elif not _is_recent(board, agent):
            _send(board, agent, count_for(board, agent))


def _agents_to_ask(
    board: EntryBoard, agents: list[AgentState], waiting: int
) -> list[AgentState]:
    """Returns the agents to ask: those asked before and a random sample."""
    count = credit.agents_to_ask(waiting, len(agents), RULE)
    if count >= len(agents):
        return agents
    asked = [agent for agent in agents if agent.requested_slots]
    if len(asked) >= count:
        return asked
    return asked + board.rng.sample(agents, count - len(asked))


def _is_recent(board: EntryBoard, agent: AgentState) -> bool:
    age_s = board.now_s - agent.requested_s
    return agent.requested_slots > 0 and age_s < RULE.again_s


def count_for(board: EntryBoard, agent: AgentState) -> int:
    """Returns the number of slots to request from an agent."""
    waiting = len(dispatch.queue_for(board, agent.heartbeat.service))
    return min(waiting, agent.heartbeat.slots)


def may_queue(board: EntryBoard, service: str) -> bool:
    """Whether the queue is so deep that agents may queue tasks."""
    waiting = len(dispatch.queue_for(board, service))
    if not waiting:
        return False
    agents = board.eligible_counts.get(service, 0)
    return credit.is_deep(waiting, agents, RULE)


def withdraw(board: EntryBoard, service: str) -> None:
    """Withdraws all slot requests of a service."""
    for node in board.requested_agents.pop(service, ()):
        agent = board.agents.get(node)
        if agent is not None:
            withdraw_from(board, agent)


def withdraw_from(board: EntryBoard, agent: AgentState) -> None:
    """Withdraws the slot request from one agent, if there is one."""
    if agent.requested_slots:
        board.counters["wants_withdrawn"] += 1
        _send(board, agent, 0)


def record_implied_request(board: EntryBoard, agent: AgentState) -> None:
    """Records the slot request that an agent infers from a refused task."""
    record_request(board, agent, max(1, agent.requested_slots))


def record_request(board: EntryBoard, agent: AgentState, count: int) -> None:
    """Records the number of slots last requested from an agent."""
    agent.requested_slots = count
    agent.requested_s = board.now_s
    if count:
        service = agent.heartbeat.service
        board.requested_agents.setdefault(service, set()).add(agent.node)


def urgent_s(board: EntryBoard, service: str) -> float:
    """Returns by how much the most urgent job exceeds its wait allowance."""
    return dispatch.queue_for(board, service).urgency_s(board.now_s)


def _send(board: EntryBoard, agent: AgentState, count: int) -> None:
    record_request(board, agent, count)
    service = agent.heartbeat.service
    waited_s = urgent_s(board, service) if count else 0.0
    queued = may_queue(board, service) if count else False
    board.send(
        agent.node,
        message.Want(board.node, service, count, waited_s, queued),
    )
