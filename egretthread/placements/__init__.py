"""Placement policies, which distribute the tasks of a job among agents.

Every policy is a function `place(agents, count)` that returns (node, tasks)
shares with at least one task each. It may place fewer than `count` tasks;
the rest stays in the entry's queue. Ties between agents are broken by the
order given, so callers can pass the agents in their order of preference.
"""

from egretthread.placement import PlacementError, Policy
from egretthread.placements import late, least, random

POLICIES: dict[str, Policy] = {
    "late": late.place,
    "least": least.place,
    "random": random.place,
}


def find_policy(name: str) -> Policy:
    """Returns the placement policy of a name.

    Raises:
        PlacementError: There is no such policy.
    """
    if name not in POLICIES:
        names = ", ".join(sorted(POLICIES))
        raise PlacementError(
            f"there is no placement policy {name!r}", f"name one of {names}"
        )
    return POLICIES[name]
