"""Placement policies: how many tasks of a job go to each agent at once.

Every policy is a function `place(agents, count)` that returns (node, tasks)
shares with at least one task each. It may place fewer than `count` tasks;
the rest stays in the entry's queue. Agents that tie are taken in the order
given, so callers pass each entry's own order of preference.
"""

from egretthread.placement import PlacementError, Policy
from egretthread.placements import late, least, random

POLICIES: dict[str, Policy] = {
    "late": late.place,
    "least": least.place,
    "random": random.place,
}


def find_policy(name: str) -> Policy:
    """Returns the placement policy of that name.

    Raises:
        PlacementError: There is none.
    """
    if name not in POLICIES:
        names = ", ".join(sorted(POLICIES))
        raise PlacementError(
            f"there is no placement policy {name!r}", f"name one of {names}"
        )
    return POLICIES[name]
