"""Where work goes: the agent that should get a task.

A task goes to the agent where it is expected to end first. An agent of
another zone must win by CROSS_ZONE_S, since traffic between zones is slow and
dear. An agent without room is no candidate: the task waits here, where it can
still go to whoever has room first.
"""

import dataclasses
from collections.abc import Iterable

from egretthread.scheduling.jobspec import StepSpec
from egretthread.scheduling.room import Room

# What an agent of another zone must be faster by, in seconds.
CROSS_ZONE_S = 0.01
# The same as a share of the run time.
CROSS_ZONE_SHARE = 0.3
# How much a full backend server counts against an empty one, as a share of
# the run time: spreads tasks while all are alike.
CROWDING_SHARE = 0.1


# Share of a backend server's room that urgent tasks may wait for at its agent.
QUEUE_SHARE = 0.15


@dataclasses.dataclass
class Candidate:
    """An agent that may get tasks of one step.

    Attributes:
        node: Its node id.
        is_near: Whether it is in the entry's zone.
        room: Room left; falls with each task that it is given.
        capacity: Its room when empty.
        speed: Speed of its backend server.
        labels: Labels of its backend server, its rack among them.
        jitter: Random factor of its cost, so that entries that know the same
            do not all choose the same agent.
    """

    node: str
    is_near: bool
    room: Room
    capacity: Room
    speed: float
    labels: tuple[str, ...] = ()
    jitter: float = 1.0


def choose(
    candidates: Iterable[Candidate],
    spec: StepSpec,
    expected_s: float,
    avoided: set[str],
    reserve: float = 0.0,
    remote_factor: float = 1.0,
) -> Candidate | None:
    """Returns the agent for one task, None when none has room.

    Args:
        candidates: The agents.
        spec: The task's step.
        expected_s: Its run time on a backend server of speed 1.
        avoided: Agents that are taken only when there is no other: a task
            that failed there waits for room elsewhere.
        reserve: Share of a busy agent's room that must stay free.
        remote_factor: How many times as long a task takes on a rack that is
            not its data's.
    """
    best = None
    best_cost = None
    candidates = tuple(candidates)
    if avoided:
        others = [c for c in candidates if c.node not in avoided]
        candidates = others or candidates
    for candidate in candidates:
        if not candidate.room.holds(spec.room):
            continue
        left_cpu = candidate.room.cpu - spec.room.cpu
        if left_cpu < reserve * candidate.capacity.cpu:
            continue
        stretch = remote_factor if is_remote(candidate, spec) else 1.0
        cost = _cost_s(candidate, expected_s * stretch)
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


def choose_queue(
    candidates: Iterable[Candidate], spec: StepSpec, avoided: set[str]
) -> Candidate | None:
    """Returns the agent where an urgent task waits for the next free room.

    There it goes before what is less urgent, of other entries too; an entry
    can hold back only its own tasks.

    Args:
        candidates: The agents.
        spec: The task's step.
        avoided: Agents that are left out.
    """
    best = None
    for candidate in candidates:
        if candidate.node in avoided:
            continue
        if not candidate.capacity.holds(spec.room):
            continue
        left = (candidate.room.cpu - spec.room.cpu) / candidate.capacity.cpu
        if left < -QUEUE_SHARE:
            continue
        cost = (-left, not candidate.is_near)
        if best is None or cost < best[0]:
            best = (cost, candidate)
    return best[1] if best else None


def is_remote(candidate: Candidate, spec: StepSpec) -> bool:
    """Whether a step's data is on another rack than a backend server."""
    return bool(spec.data_rack) and spec.data_rack not in candidate.labels


def take(candidate: Candidate, spec: StepSpec) -> None:
    """Takes a task's room off a candidate."""
    candidate.room -= spec.room


def _cost_s(candidate: Candidate, expected_s: float) -> float:
    run_s = expected_s / candidate.speed
    used = 1 - candidate.room.cpu / max(1, candidate.capacity.cpu)
    cost_s = run_s * (1 + CROWDING_SHARE * used)
    if not candidate.is_near:
        cost_s += CROSS_ZONE_S + CROSS_ZONE_SHARE * run_s
    return cost_s * candidate.jitter
