"""Entry: which agents may get tasks now."""

import dataclasses

from egretthread import credit, ejection, placement
from egretthread.blackboard import AgentState, EntryBoard

# Most agents that one job may be registered with.
MAX_AGENTS = 64
# Agents drawn at random to find so many among.
SAMPLE_AGENTS = 128
# An agent that refuses what it is handed rests for this long at first.
FIRST_REST_S = 0.05
# It rests for this long at most.
MAX_REST_S = 5.0
# A new or returning agent gets its full share of work after this time.
RAMP_S = 5.0


def is_withdrawn(board: EntryBoard, zone_name: str) -> bool:
    """Whether a zone takes no work; an unknown zone takes none either."""
    zone = board.configuration.zone(zone_name)
    return zone is None or zone.withdrawn


def is_drained(board: EntryBoard, name: str) -> bool:
    """Whether operators drain the backend server of an agent."""
    return name in board.configuration.draining_servers


def accepts_work(board: EntryBoard, agent: AgentState) -> bool:
    """Whether an agent may be handed tasks, as far as this entry knows."""
    beat = agent.heartbeat
    if not agent.connected or not beat.healthy or beat.draining:
        return False
    if board.now_s - agent.heard_s >= board.settings.suspect_after_s:
        return False
    if is_withdrawn(board, beat.zone):
        return False
    return not is_drained(board, beat.agent.rpartition("#")[0])


def eligible(board: EntryBoard, service: str) -> list[AgentState]:
    """Returns the agents of a service that may be handed tasks."""
    return [
        agent
        for agent in board.agents.values()
        if _serves(board, agent, service)
    ]


def _serves(board: EntryBoard, agent: AgentState, service: str) -> bool:
    return agent.heartbeat.service == service and accepts_work(board, agent)


def probation(board: EntryBoard, service: str) -> ejection.Probation:
    """Returns the record of a service's ejected backend servers."""
    return board.probations.setdefault(service, ejection.Probation())


def update_probations(board: EntryBoard) -> None:
    """Ejects backend servers that fail what they start, within limits."""
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
    """Returns the given agents and more of the service, up to a limit."""
    known = set(agents)
    room = max(0, MAX_AGENTS - len(agents))
    fresh = _sample(board, service, known)
    if len(fresh) < room:
        fresh = [
            agent.node
            for agent in eligible(board, service)
            if agent.node not in known
        ]
        board.rng.shuffle(fresh)
    return tuple(sorted([*agents, *fresh[:room]]))


def _sample(board: EntryBoard, service: str, known: set[str]) -> list[str]:
    """Returns eligible agents among a few drawn at random from very many.

    Looking at each of thousands for every job would cost more than the job.
    """
    if len(board.agents) <= SAMPLE_AGENTS:
        return []
    drawn = board.rng.sample(list(board.agents), SAMPLE_AGENTS)
    return [
        node
        for node in drawn
        if node not in known and _serves(board, board.agents[node], service)
    ]


def record_refusal(board: EntryBoard, agent: AgentState, sent_s: float) -> None:
    """Lets an agent rest that cannot start tasks, the longer the more often.

    Args:
        board: The entry's blackboard.
        agent: The agent.
        sent_s: When the refused task was sent; what was sent before the last
            refusal came says nothing new.
    """
    if sent_s < agent.last_refusal_s:
        return
    agent.consecutive_refusals += 1
    agent.last_refusal_s = board.now_s
    _back_off(board, agent)


def record_dispatch(board: EntryBoard, agent: AgentState) -> None:
    """Lets an agent that refused before rest until its trial is settled."""
    if agent.consecutive_refusals:
        _back_off(board, agent)


def record_success(agent: AgentState) -> None:
    """Trusts an agent again that has run a task."""
    agent.consecutive_refusals = 0
    agent.backoff_until_s = float("-inf")


def _back_off(board: EntryBoard, agent: AgentState) -> None:
    doublings = min(agent.consecutive_refusals - 1, 30)
    limit_s = min(MAX_REST_S, FIRST_REST_S * 2.0**doublings)
    rest_s = board.rng.uniform(0.5, 1.0) * limit_s
    agent.backoff_until_s = board.now_s + rest_s


def _trial_share(board: EntryBoard, agent: AgentState) -> float:
    """Returns the share of its slots that an agent may use, 0 to 1.

    After a refusal it gets one task at a time until one has run.
    """
    if not agent.consecutive_refusals:
        return 1.0
    if board.now_s < agent.backoff_until_s:
        return 0.0
    return 1.0 / max(1, agent.heartbeat.slots)


def views(board: EntryBoard, service: str) -> dict[str, placement.AgentView]:
    """Returns what the placement policy sees of each agent, by node id."""
    agents = eligible(board, service)
    board.eligible_counts[service] = len(agents)
    return {agent.node: view(board, agent) for agent in agents}


def views_of(
    board: EntryBoard, service: str, nodes: tuple[str, ...]
) -> dict[str, placement.AgentView]:
    """Returns what the placement policy sees of some agents, by node id."""
    agents = [board.agents[node] for node in nodes if node in board.agents]
    return {
        agent.node: view(board, agent)
        for agent in agents
        if _serves(board, agent, service)
    }


def view(board: EntryBoard, agent: AgentState) -> placement.AgentView:
    """Returns what the placement policy sees of one agent."""
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
    """Returns the view after so many of its free slots were used."""
    return dataclasses.replace(view, free=max(0, view.free - count))


def view_with_queue(
    board: EntryBoard, agent: AgentState
) -> placement.AgentView:
    """Returns the view with room for tasks that the agent queues unasked."""
    beyond = credit.rule_for(agent.heartbeat.slots).unasked
    narrow = view(board, agent)
    return dataclasses.replace(
        narrow,
        slots=narrow.slots + beyond,
        free=max(0, agent.free + beyond),
    )
