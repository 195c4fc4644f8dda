"""What a placement policy sees of an agent, and lookup of the policies."""

import dataclasses
import math
from collections.abc import Callable, Sequence

from egretthread import util


@dataclasses.dataclass(frozen=True)
class AgentView:
    """An entry's belief about one agent.

    Attributes:
        node: Node id of the agent.
        zone: Its availability zone.
        slots: Tasks that its backend server runs at once.
        free: Slots believed free: last reported less own pushes since.
        load_share: Believed busy and pushed tasks per slot; may pass 1.
        weight: Share of its slots that may be used, 0 to 1, for a ramp.
        delay_s: Estimated network delay to the agent, one way.
        eligible: Whether it may get new work at all.
    """

    node: str
    zone: str
    slots: int
    free: int
    load_share: float = 0.0
    weight: float = 1.0
    delay_s: float = 0.0
    eligible: bool = True


# Agent node id and how many tasks of the job to push to it.
Share = tuple[str, int]
Policy = Callable[[Sequence[AgentView], int], list[Share]]


class PlacementError(util.EgretthreadError):
    """No placement policy has the name asked for."""

    kind = "unknown_placement"


def usable_slots(agent: AgentView) -> int:
    """Returns how many tasks the agent may get now without queueing.

    A weight below 1 bounds the slots in use, so an agent that ramps up or
    is on probation with any weight above 0 may use at least one slot.
    """
    if not agent.eligible or agent.weight <= 0.0:
        return 0
    busy = agent.slots - agent.free
    allowed = math.ceil(agent.slots * min(1.0, agent.weight))
    return max(0, min(agent.free, allowed - busy))
