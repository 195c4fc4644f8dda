"""Late binding: assigns tasks only to slots known to be idle.

Tasks are spread over the zones in proportion to their idle slots, so that
the loss of one zone affects as few tasks as possible. Within a zone they go
in batches to the agents with the most idle slots, because each agent that
gets tasks of a job costs an Assign and a Report message.
"""

from collections.abc import Sequence

from egretthread.placement import AgentView, Share, usable_slots

# Smallest batch that is worth a pair of messages, in tasks.
BATCH_TASKS = 4


def place(agents: Sequence[AgentView], count: int) -> list[Share]:
    """Returns shares that never exceed an agent's idle slots."""
    idle_by_zone: dict[str, list[Share]] = {}
    for agent in agents:
        idle = usable_slots(agent)
        if idle > 0:
            idle_by_zone.setdefault(agent.zone, []).append((agent.node, idle))
    zones = list(idle_by_zone.values())
    totals = [sum(idle for _, idle in zone) for zone in zones]
    shares: list[Share] = []
    for zone, tasks in zip(zones, split(totals, count), strict=True):
        shares.extend(fill(zone, tasks))
    return shares


def split(capacities: Sequence[int], count: int) -> list[int]:
    """Splits tasks in proportion to capacities without exceeding them.

    Args:
        capacities: Most tasks that each part can take.
        count: Tasks to split; those beyond the total capacity are left out.

    Returns:
        The tasks of each part, in the order of `capacities`.
    """
    total = sum(capacities)
    count = max(0, min(count, total))
    if not count:
        return [0] * len(capacities)
    parts = [count * capacity // total for capacity in capacities]
    by_remainder = sorted(
        range(len(capacities)),
        key=lambda part: -(count * capacities[part] % total),
    )
    for part in by_remainder[: count - sum(parts)]:
        parts[part] += 1
    return parts


def fill(idle: Sequence[Share], count: int) -> list[Share]:
    """Places tasks of one zone on few agents, in batches of BATCH_TASKS.

    Args:
        idle: Agents and the numbers of their idle slots.
        count: Tasks to place, at most the number of idle slots.
    """
    by_idle = sorted(idle, key=lambda share: -share[1])
    chosen: list[Share] = []
    capacity = 0
    batches = -(-count // BATCH_TASKS)
    for share in by_idle:
        if capacity >= count and len(chosen) >= batches:
            break
        chosen.append(share)
        capacity += share[1]
    parts = split([slots for _, slots in chosen], count)
    return [
        (node, tasks)
        for (node, _), tasks in zip(chosen, parts, strict=True)
        if tasks
    ]
