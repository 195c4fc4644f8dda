"""Random: pushes every task to an agent drawn at random, the naive way."""

import random
from collections import Counter
from collections.abc import Sequence

from egretthread.placement import AgentView, Share


def place(
    agents: Sequence[AgentView],
    count: int,
    rng: random.Random = random,
) -> list[Share]:
    """Returns shares of all tasks, blind to load.

    Args:
        agents: The agents to draw from.
        count: Tasks to place.
        rng: Source of randomness; tests and benches pass a seeded one.
    """
    eligible = [a.node for a in agents if a.eligible and a.weight > 0.0]
    if not eligible:
        return []
    return list(Counter(rng.choices(eligible, k=count)).items())
