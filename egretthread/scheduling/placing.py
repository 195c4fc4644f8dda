"""Placement: selects the agent that a task is dispatched to.

A task is placed on the agent where it is expected to end first. An agent of
another zone is chosen only if it is faster by CROSS_ZONE_S plus
CROSS_ZONE_SHARE of the run time, since traffic between zones is slow and
expensive. An agent without enough free capacity is not chosen: the task waits
at the entry, which can then use whichever agent has capacity first.
"""

import dataclasses
from collections.abc import Iterable

from egretthread.scheduling.jobspec import StepSpec
from egretthread.scheduling.room import Room

# Constant part of the cost of an agent of another zone.
CROSS_ZONE_S = 0.01
# Variable part of that cost, as a share of the run time.
CROSS_ZONE_SHARE = 0.3
# Additional cost of a full backend server compared with an empty one, as a
# share of the run time. It spreads tasks over backend servers that are
# otherwise equal.
UTILISATION_SHARE = 0.1
# Upper bound of the CPU that queued urgent tasks may lack at an agent, as a
# share of the capacity of its backend server.
QUEUE_SHARE = 0.15
# The same for exclusive tasks, which wait until the backend server is empty. An
# agent accepts no longer queue.
EXCLUSIVE_QUEUE_SHARE = 0.4


@dataclasses.dataclass
class Candidate:
    """An agent that tasks may be dispatched to.

    Attributes:
        node: Its node id.
        is_near: Whether it is in the entry's zone.
        free: Free capacity, reduced by each task that is placed on it.
        capacity: Total capacity.
        speed: Speed of its backend server.
        labels: Labels of its backend server, including its rack.
        jitter: Random factor on its cost, so that entries with the same view
            of the agents do not all choose the same one.
    """

    node: str
    is_near: bool
    free: Room
    capacity: Room
    speed: float
    labels: tuple[str, ...] = ()
    jitter: float = 1.0


def choose(
    candidates: Iterable[Candidate],
    spec: StepSpec,
    expected_s: float,
    avoided_agents: set[str],
    reserved_share: float = 0.0,
    remote_factor: float = 1.0,
) -> Candidate | None:
    """Returns the agent for one task; None when none has enough capacity.

    Args:
        candidates: The agents.
        spec: The task's step.
        expected_s: Expected run time on a backend server of speed 1.
        avoided_agents: Node ids of agents that are used only when no other
            candidate is large enough; a task that failed on one of them waits
            for capacity of another.
        reserved_share: Share of an agent's capacity that must stay free, unless
            the task leaves less of an idle backend server.
        remote_factor: Factor on the run time on another rack than that of the
            task's data.
    """
    best = None
    best_cost = None
    candidates = tuple(candidates)
    if avoided_agents:
        preferred = [
            candidate
            for candidate in candidates
            if candidate.node not in avoided_agents
            and candidate.capacity.holds(spec.room)
        ]
        candidates = preferred or candidates
    for candidate in candidates:
        if not candidate.free.holds(spec.room):
            continue
        left_cpu = candidate.free.cpu - spec.room.cpu
        idle_left_cpu = candidate.capacity.cpu - spec.room.cpu
        reserved_cpu = reserved_share * candidate.capacity.cpu
        if left_cpu < min(reserved_cpu, idle_left_cpu):
            continue
        run_time_factor = remote_factor if is_remote(candidate, spec) else 1.0
        cost = _cost_s(candidate, expected_s * run_time_factor)
        if best is None or cost < best_cost:
            best, best_cost = candidate, cost
    return best


def choose_queue(
    candidates: Iterable[Candidate], spec: StepSpec, avoided_agents: set[str]
) -> Candidate | None:
    """Returns the agent at which to queue an urgent task; None when none fits.

    In an agent's queue an urgent task goes before the less urgent tasks of all
    entries, whereas an entry can delay only its own tasks.

    Args:
        candidates: The agents.
        spec: The task's step.
        avoided_agents: Node ids of agents that are not used.
    """
    best = None
    for candidate in candidates:
        if candidate.node in avoided_agents:
            continue
        if not candidate.capacity.holds(spec.room):
            continue
        left_share = (candidate.free.cpu - spec.room.cpu) / max(
            1, candidate.capacity.cpu
        )
        if left_share < -QUEUE_SHARE:
            continue
        cost = (-left_share, not candidate.is_near)
        if best is None or cost < best[0]:
            best = (cost, candidate)
    return best[1] if best else None


def choose_exclusive(
    candidates: Iterable[Candidate], spec: StepSpec, own_agents: set[str]
) -> Candidate | None:
    """Returns the agent for a task that shares its backend server with no job.

    It is queued at the agent until the backend server is empty. The tasks of a
    job use one backend server at a time, since each of them may crash it.

    Args:
        candidates: The agents.
        spec: The task's step.
        own_agents: Node ids of agents with tasks of the same job.
    """
    best = None
    for candidate in candidates:
        if own_agents and candidate.node not in own_agents:
            continue
        if not candidate.capacity.holds(spec.room):
            continue
        left_share = (candidate.free.cpu - spec.room.cpu) / max(
            1, candidate.capacity.cpu
        )
        if left_share < -EXCLUSIVE_QUEUE_SHARE:
            continue
        if best is None or left_share > best[0]:
            best = (left_share, candidate)
    return best[1] if best else None


def is_remote(candidate: Candidate, spec: StepSpec) -> bool:
    """Whether a step's data is on another rack than the backend server."""
    return bool(spec.data_rack) and spec.data_rack not in candidate.labels


def allocate(candidate: Candidate, spec: StepSpec) -> None:
    """Reduces the free capacity of a candidate by the needs of a task."""
    candidate.free -= spec.room


def _cost_s(candidate: Candidate, expected_s: float) -> float:
    run_s = expected_s / candidate.speed
    utilisation = 1 - candidate.free.cpu / max(1, candidate.capacity.cpu)
    cost_s = run_s * (1 + UTILISATION_SHARE * utilisation)
    if not candidate.is_near:
        cost_s += CROSS_ZONE_S + CROSS_ZONE_SHARE * run_s
    return cost_s * candidate.jitter
