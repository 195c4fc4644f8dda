"""Least loaded: assigns each task to the agent with the lowest load."""

import heapq
from collections import Counter
from collections.abc import Sequence

from egretthread.placement import AgentView, Share


def place(agents: Sequence[AgentView], count: int) -> list[Share]:
    """Returns shares of all tasks, which may exceed the agents' idle slots."""
    heap = [
        (agent.load_share, position, agent)
        for position, agent in enumerate(agents)
        if agent.eligible and agent.weight > 0.0 and agent.slots > 0
    ]
    if not heap:
        return []
    heapq.heapify(heap)
    tasks: Counter[str] = Counter()
    for _ in range(count):
        load_share, position, agent = heap[0]
        tasks[agent.node] += 1
        load_share += 1.0 / (agent.slots * agent.weight)
        heapq.heapreplace(heap, (load_share, position, agent))
    return list(tasks.items())
