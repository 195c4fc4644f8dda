"""Entry controller: selects the agents that may get tasks now."""

import dataclasses

from egretthread import credit, ejection, placement
from egretthread.blackboard import AgentState, EntryBoard

# Most agents that one job may be registered with.
MAX_AGENTS = 64
# Size of the random sample of agents from which a job's agents are chosen.
SAMPLE_AGENTS = 128
# First backoff of an agent that refuses an assignment.
FIRST_BACKOFF_S = 0.05
# Longest backoff of such an agent.
MAX_BACKOFF_S = 5.0
# A new or returning agent gets its full share of work after this time.
RAMP_S = 5.0


def is_withdrawn(board: EntryBoard, zone_name: str) -> bool:
    """Whether a zone is withdrawn or missing from the configuration."""
    zone = board.configuration.zone(zone_name)
    return zone is None or zone.withdrawn


def is_drained(board: EntryBoard, name: str) -> bool:
    """Whether operators are draining the backend server of an agent."""
    return name in board.configuration.draining_servers


def accepts_work(board: EntryBoard, agent: AgentState) -> bool:
    """Whether an agent may get tasks, as far as this entry knows."""
    heartbeat = agent.heartbeat
    if not agent.is_connected or not heartbeat.healthy or heartbeat.draining:
        return False
    if board.now_s - agent.last_received_s >= board.settings.suspect_after_s:
        return False
    if is_withdrawn(board, heartbeat.zone):
        return False
    return not is_drained(board, heartbeat.agent.rpartition("#")[0])


def eligible(board: EntryBoard, service: str) -> list[AgentState]:
    """Returns the agents of a service that may get tasks."""
    return [
        agent
        for agent in board.agents.values()
        if _serves(board, agent, service)
    ]


def _serves(board: EntryBoard, agent: AgentState, service: str) -> bool:
    return agent.heartbeat.service == service and accepts_work(board, agent)


def probation(board: EntryBoard, service: str) -> ejection.Probation:
    """Returns the probation state of a service's backend servers."""
    return board.probations.setdefault(service, ejection.Probation())


def update_probations(board: EntryBoard) -> None:
    """Ejects backend servers that fail many tasks, up to a share of them."""
    for limits in board.configuration.services:
        views = [
            ejection.HealthView(agent.node, agent.heartbeat.failure_share)
            for agent in eligible(board, limits.name)
        ]
        state = probation(board, limits.name)
        state.update(views, limits.eject_share, board.now_s)


def add_agents(
    board: EntryBoard, service: str, agents: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns the given agents and others of the service, up to MAX_AGENTS."""
    known = set(agents)
    missing = max(0, MAX_AGENTS - len(agents))
    added = _sample(board, service, known)
    if len(added) < missing:
        added = [
            agent.node
            for agent in eligible(board, service)
            if agent.node not in known
        ]
        board.rng.shuffle(added)
    return tuple(sorted([*agents, *added[:missing]]))


def _sample(board: EntryBoard, service: str, known: set[str]) -> list[str]:
    """Returns the eligible agents in a random sample of all agents.

    With thousands of agents, checking each of them for every job would cost
    more than the job itself. Returns nothing if there are few agents.
    """
    if len(board.agents) <= SAMPLE_AGENTS:
        return []
    sample = board.rng.sample(list(board.agents), SAMPLE_AGENTS)
    return [
        node
        for node in sample
        if node not in known and _serves(board, board.agents[node], service)
    ]


def record_refusal(board: EntryBoard, agent: AgentState, sent_s: float) -> None:
    """Backs off from an agent that cannot start tasks, with growing delays.

    Args:
        board: The entry's blackboard.
        agent: The agent.
        sent_s: When the refused task was sent. A task sent before the last
            refusal arrived does not count as another refusal.
    """
    if sent_s < agent.last_refusal_s:
        return
    agent.consecutive_refusals += 1
    agent.last_refusal_s = board.now_s
    _back_off(board, agent)


def record_dispatch(board: EntryBoard, agent: AgentState) -> None:
    """Backs off from an agent with refusals while its trial task runs."""
    if agent.consecutive_refusals:
        _back_off(board, agent)


def record_run(agent: AgentState) -> None:
    """Ends the backoff of an agent that has run a task."""
    agent.consecutive_refusals = 0
    agent.backoff_until_s = float("-inf")


def _back_off(board: EntryBoard, agent: AgentState) -> None:
    doublings = min(agent.consecutive_refusals - 1, 30)
    limit_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0**doublings)
    backoff_s = board.rng.uniform(0.5, 1.0) * limit_s
    agent.backoff_until_s = board.now_s + backoff_s


def _trial_share(board: EntryBoard, agent: AgentState) -> float:
    """Returns the share of its slots that an agent may use, 0 to 1.

    After a refusal it gets one trial task at a time until one has run.
    """
    if not agent.consecutive_refusals:
        return 1.0
    if board.now_s < agent.backoff_until_s:
        return 0.0
    return 1.0 / max(1, agent.heartbeat.slots)


def views(board: EntryBoard, service: str) -> dict[str, placement.AgentView]:
    """Returns the views of a service's eligible agents, by node id."""
    agents = eligible(board, service)
    board.eligible_counts[service] = len(agents)
    return {agent.node: view(board, agent) for agent in agents}


def views_of(
    board: EntryBoard, service: str, nodes: tuple[str, ...]
) -> dict[str, placement.AgentView]:
    """Returns the views of those given agents that are eligible."""
    agents = [board.agents[node] for node in nodes if node in board.agents]
    return {
        agent.node: view(board, agent)
        for agent in agents
        if _serves(board, agent, service)
    }


def view(board: EntryBoard, agent: AgentState) -> placement.AgentView:
    """Returns the view of one agent for the placement policy."""
    trials = probation(board, agent.heartbeat.service)
    slots = agent.heartbeat.slots
    ramp = ejection.ramp_weight(board.now_s - agent.joined_s, RAMP_S)
    trial = trials.weight(agent.node, slots, board.now_s)
    return placement.AgentView(
        node=agent.node,
        zone=agent.heartbeat.zone,
        slots=slots,
        free=max(0, agent.free),
        load_share=1.0 - agent.free / max(1, slots),
        weight=min(ramp, trial, _trial_share(board, agent)),
    )


def with_slots_used(
    view: placement.AgentView, count: int
) -> placement.AgentView:
    """Returns the view with `count` fewer free slots."""
    return dataclasses.replace(view, free=max(0, view.free - count))


def view_with_queue(
    board: EntryBoard, agent: AgentState
) -> placement.AgentView:
    """Returns the view with the queue places that need no credit added."""
    queue_places = credit.rule_for(agent.heartbeat.slots).unasked
    slots_only = view(board, agent)
    return dataclasses.replace(
        slots_only,
        slots=slots_only.slots + queue_places,
        free=max(0, agent.free + queue_places),
    )
