"""All scenes by name."""

import dataclasses
from collections.abc import Awaitable, Callable

from egretthread_standins.checks import Check
from egretthread_standins.cluster import Layout
from egretthread_standins.faults import kills, pauses
from egretthread_standins.faults.stage import SMALL, Stage


@dataclasses.dataclass(frozen=True)
class Scene:
    """One scene.

    Attributes:
        play: Brings the fault about and returns the checks.
        layout: The cluster that it needs.
    """

    play: Callable[[Stage], Awaitable[list[Check]]]
    layout: Layout = SMALL


SCENES: dict[str, Scene] = {
    "kill-coordinator": Scene(kills.kill_coordinator),
    "kill-agent": Scene(kills.kill_agent),
    "kill-both": Scene(kills.kill_both),
    "pause-coordinator": Scene(pauses.pause_coordinator),
    "pause-agent": Scene(pauses.pause_agent, pauses.ONE_CONNECTION),
}


def find_scene(name: str) -> Scene:
    """Returns a scene by its name.

    Raises:
        KeyError: There is none of that name.
    """
    return SCENES[name]
