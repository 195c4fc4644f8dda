"""Random: assigns each task to a random agent, as a naive baseline."""

import random
from collections import Counter
from collections.abc import Sequence

from egretthread.placement import AgentView, Share


def place(
    agents: Sequence[AgentView],
    count: int,
    rng: random.Random = random,
) -> list[Share]:
    """Returns shares of all tasks, without regard to load.

    Args:
        agents: The agents to choose from.
        count: Tasks to place.
        rng: Source of randomness; tests and benchmarks pass a seeded one.
    """
    eligible = [a.node for a in agents if a.eligible and a.weight > 0.0]
    if not eligible:
        return []
    return list(Counter(rng.choices(eligible, k=count)).items())
