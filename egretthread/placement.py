"""The view of an agent that placement policies decide on."""

import dataclasses
import math
from collections.abc import Callable, Sequence

from egretthread import util


@dataclasses.dataclass(frozen=True)
class AgentView:
    """The state of one agent as known to an entry.

    Attributes:
        node: Node id of the agent.
        zone: Its availability zone.
        slots: Number of tasks that its backend server runs at once.
        free: Free slots as last reported, less the tasks assigned since.
        load_share: Running and assigned tasks per slot; may exceed 1.
        weight: Share of its slots that may be used, 0 to 1; less than 1
            during a ramp-up or on probation.
        delay_s: Estimated one-way network delay to the agent.
        eligible: Whether it may get new tasks at all.
    """

    node: str
    zone: str
    slots: int
    free: int
    load_share: float = 0.0
    weight: float = 1.0
    delay_s: float = 0.0
    eligible: bool = True


# Node id of an agent and the number of tasks to assign to it.
Share = tuple[str, int]
Policy = Callable[[Sequence[AgentView], int], list[Share]]


class PlacementError(util.EgretthreadError):
    """There is no placement policy of the given name."""

    kind = "unknown_placement"


def usable_slots(agent: AgentView) -> int:
    """Returns the number of tasks that an agent may get without queueing.

    A weight below 1 limits the slots in use. It is rounded up, so an agent
    with any weight above 0 may use at least one slot.
    """
    if not agent.eligible or agent.weight <= 0.0:
        return 0
    busy = agent.slots - agent.free
    allowed = math.ceil(agent.slots * min(1.0, agent.weight))
    return max(0, min(agent.free, allowed - busy))
