"""Hands waiting tasks to agents with room."""

import collections
import dataclasses
from collections.abc import Iterator

from egretthread.scheduling import agentviews, intake, placing, waitorder
from egretthread.scheduling.entryboard import (
    AgentView,
    EntryBoard,
    Task,
    TaskState,
)
from egretthread.scheduling.jobspec import Route
from egretthread.scheduling.placing import Candidate
from egretthread.scheduling.runmessage import (
    RunOrder,
    StartRuns,
)

# Time after its start in which an entry takes jobs though it has found few or
# no agents. Agents that start at the same time are there within 0.5 s, or at
# the next heartbeat of their backend server, 1.5 s later.
STARTING_S = 2.0
# Least time between two passes that news of room causes. Room that is free
# for a tick on average would cost short tasks a tenth of the capacity; many
# ends come at once, and each pass looks at all that waits.
PAUSE_S = 0.004
# Largest random factor of what an agent costs.
JITTER = 1.2
# A run that finds no room waits at its agent this long for a run to end; then
# its entry, which is a round trip away, looks for room elsewhere.
WAIT_S = 0.01
# The same for an urgent run, which goes first there.
URGENT_WAIT_S = 0.07
# Share of each backend server's room that only the most urgent tasks get
# while others wait: they come in jobs of many tasks and can't wait for ends.
RESERVE_SHARE = 0.1


@dataclasses.dataclass
class _Round:
    """One pass over the waiting tasks.

    Attributes:
        most_urgent: Priority that goes before the others; None when there is
            only one.
        candidates: Agents by service, with the room that is left.
        full: Shapes of tasks that nobody has room for.
        chosen: Tasks by agent, job, step and time that they may wait there.
    """

    most_urgent: int | None
    candidates: dict[str, list[Candidate]]
    full: set[tuple]
    chosen: dict[tuple[str, str, int, float], list[Task]]


def run(board: EntryBoard) -> None:
    """Hands out what fits, the most urgent first."""
    if not board.waiting or board.now_s < board.thawed_s:
        return
    board.handed_s = board.now_s
    board.waiting.sort(key=lambda task: waitorder.sort_key(task, board.now_s))
    priorities = {route.priority for route in board.operator_state.routes}
    most_urgent = min(priorities) if len(priorities) > 1 else None
    this = _Round(most_urgent, {}, set(), collections.defaultdict(list))
    board.waiting = [
        task for task in board.waiting if not _place(board, this, task)
    ]
    for (node, _, _, waits_s), tasks in this.chosen.items():
        _order(board, board.agents[node], tasks, waits_s)


def run_soon(board: EntryBoard) -> None:
    """Hands out what fits after news of room, unless that was just done."""
    if board.now_s - board.handed_s >= PAUSE_S:
        run(board)


def _place(board: EntryBoard, this: _Round, task: Task) -> bool:
    """Chooses an agent for a task; returns whether there is one."""
    if task.job.id in board.leftovers:
        return False
    route = task.job.route
    spec = task.spec
    shape = (
        route.service,
        route.priority,
        spec.room,
        spec.required_label,
        spec.data_rack,
    )
    if shape in this.full:
        return False
    if route.service not in this.candidates:
        this.candidates[route.service] = _candidates(board, route.service)
    eligible = _eligible(board, this.candidates[route.service], task)
    agent, waits_s = _choose(board, this, eligible, task)
    if agent is None:
        if not spec.max_per_server and not task.avoided:
            this.full.add(shape)
        return False
    placing.take(agent, spec)
    task.state = TaskState.ORDERED
    task.agent = agent.node
    remote = placing.is_remote(agent, spec)
    task.stretch = board.remote_factor if remote else 1.0
    this.chosen[agent.node, task.job.id, task.step, waits_s].append(task)
    return True


def _choose(
    board: EntryBoard, this: _Round, eligible: list[Candidate], task: Task
) -> tuple[Candidate | None, float]:
    """Returns the agent for a task, and how long it may wait there."""
    urgent = task.job.route.priority == this.most_urgent
    reserve = 0.0 if urgent or this.most_urgent is None else RESERVE_SHARE
    expected_s = task.job.expected_s[task.step]
    agent = placing.choose(
        eligible,
        task.spec,
        expected_s,
        task.avoided,
        reserve,
        board.remote_factor,
    )
    if agent and _should_wait_for_rack(board, eligible, agent, task):
        return None, WAIT_S
    if agent or not urgent or waitorder.is_late(task, board.now_s):
        return agent, WAIT_S
    agent = placing.choose_queue(eligible, task.spec, task.avoided)
    return agent, URGENT_WAIT_S


def _should_wait_for_rack(
    board: EntryBoard,
    eligible: list[Candidate],
    agent: Candidate,
    task: Task,
) -> bool:
    """Whether a task is in time only if it waits for its data's rack."""
    if not placing.is_remote(agent, task.spec):
        return False
    remote_s = task.job.expected_s[task.step] * board.remote_factor
    if board.now_s + remote_s <= task.job.objective_s:
        return False
    if board.now_s > waitorder.latest_s(task):
        return False
    return any(not placing.is_remote(c, task.spec) for c in eligible)


def _candidates(board: EntryBoard, service: str) -> list[Candidate]:
    return [
        Candidate(
            view.node,
            view.facts.zone == board.zone,
            view.room,
            view.facts.capacity,
            view.speed,
            view.facts.labels,
            board.rng.uniform(1.0, JITTER),
        )
        for view in board.agents.values()
        if agentviews.is_usable(board, view) and view.facts.service == service
    ]


def _eligible(
    board: EntryBoard, candidates: list[Candidate], task: Task
) -> list[Candidate]:
    """Returns the agents whose backend server may run a task at all."""
    spec = task.spec
    if spec.required_label:
        candidates = [
            candidate
            for candidate in candidates
            if spec.required_label in board.agents[candidate.node].facts.labels
        ]
    if spec.max_per_server:
        taken = collections.Counter(
            other.agent
            for other in task.job.tasks[task.step]
            if other.state not in (TaskState.BLOCKED, TaskState.WAITING)
        )
        candidates = [
            candidate
            for candidate in candidates
            if taken[candidate.node] < spec.max_per_server
        ]
    return candidates


def _order(
    board: EntryBoard, view: AgentView, tasks: list[Task], waits_s: float
) -> None:
    """Hands tasks of one step to an agent, where they may wait for room."""
    if not view.tasks:
        view.busy_s = board.now_s
    first = tasks[0]
    job = first.job
    room = first.spec.room
    orders = []
    for task in tasks:
        board.attempts += 1
        task.attempt = board.attempts
        view.tasks[task.attempt] = task
        view.ordered += 1
        view.in_flight.append((view.ordered, room))
        orders.append(RunOrder(task.step, task.index, task.attempt))
        board.samples.append(("queue_seconds", board.now_s - task.waits_s))
        board.drained.note(board.now_s, job.route.priority, _work_cpu_s(task))
    job.may_have_started = True
    job.handed_s = board.now_s
    job.runs += len(tasks)
    agentviews.extend_fence(view, ordered=True)
    board.outbox.append(
        (
            view.node,
            StartRuns(
                job.id,
                job.spec.payload,
                room.cpu,
                room.memory_mb,
                room.gpu,
                int(job.expected_s[first.step] * first.stretch * 1000),
                job.route.priority,
                view.clock_ms,
                int(waits_s * 1000),
                tuple(orders),
                job.spec.kept,
            ),
        )
    )


def has_room_elsewhere(board: EntryBoard, task: Task) -> bool:
    """Whether another agent has room for a task now."""
    eligible = _eligible(
        board, _candidates(board, task.job.route.service), task
    )
    others = [
        candidate
        for candidate in eligible
        if candidate.node != task.agent and candidate.node not in task.avoided
    ]
    expected_s = task.job.expected_s[task.step]
    chosen = placing.choose(
        others,
        task.spec,
        expected_s,
        frozenset(),
        remote_factor=board.remote_factor,
    )
    if chosen is None:
        return False
    return task.stretch > 1 or not placing.is_remote(chosen, task.spec)


def load(
    board: EntryBoard, route: Route, latest_s: float, own_cpu_s: float = 0.0
) -> intake.Load:
    """Returns what stands before a task of a route.

    Args:
        board: The blackboard.
        route: The route.
        latest_s: When the task must start to meet its objective.
        own_cpu_s: Work of the same job, thousandths of a core x seconds.
    """
    key = (board.now_s > latest_s, route.priority, latest_s)
    ahead_cpu_s = waiting_cpu_s = 0.0
    for task in board.waiting:
        if task.job.route.service == route.service:
            work = _work_cpu_s(task)
            waiting_cpu_s += work
            if waitorder.sort_key(task, board.now_s) <= key:
                ahead_cpu_s += work
    if ahead_cpu_s:
        ahead_cpu_s += own_cpu_s
    return intake.Load(
        _usable_cpu(board, route.service),
        ahead_cpu_s,
        _rate(board, route.priority),
        waiting_cpu_s + own_cpu_s,
        _left_over(board),
        is_starting(board),
    )


def loads(board: EntryBoard) -> Iterator[tuple[Task, intake.Load]]:
    """Yields each waiting task with what stands before it."""
    waiting_cpu_s: dict[str, float] = collections.defaultdict(float)
    for task in board.waiting:
        waiting_cpu_s[task.job.route.service] += _work_cpu_s(task)
    ahead_cpu_s: dict[str, float] = collections.defaultdict(float)
    usable_cpu = {
        service: _usable_cpu(board, service) for service in waiting_cpu_s
    }
    left_over = _left_over(board)
    starting = is_starting(board)
    rates: dict[int, float] = {}
    for task in sorted(
        board.waiting, key=lambda task: waitorder.sort_key(task, board.now_s)
    ):
        route = task.job.route
        service = route.service
        if route.priority not in rates:
            rates[route.priority] = _rate(board, route.priority)
        yield (
            task,
            intake.Load(
                usable_cpu[service],
                ahead_cpu_s[service],
                rates[route.priority],
                waiting_cpu_s[service],
                left_over,
                starting,
            ),
        )
        ahead_cpu_s[service] += _work_cpu_s(task)


def is_starting(board: EntryBoard) -> bool:
    """Whether the entry is still finding its agents."""
    return board.now_s - board.started_s < STARTING_S


def _rate(board: EntryBoard, priority: int) -> float:
    """Returns the work of a priority that gets room in a second.

    What is more urgent keeps coming and goes first, so its part of the room
    is not to be had.
    """
    return board.drained.rate(board.now_s, priority)


def _left_over(board: EntryBoard) -> float:
    """Returns the work that gets room in a second beyond what comes."""
    drained = board.drained.rate(board.now_s, 0)
    return drained - board.arrived.rate(board.now_s, 0)


def _usable_cpu(board: EntryBoard, service: str) -> int:
    """Returns the processor of all backend servers that may get tasks."""
    return sum(
        view.facts.capacity.cpu
        for view in board.agents.values()
        if agentviews.is_usable(board, view) and view.facts.service == service
    )


def _work_cpu_s(task: Task) -> float:
    return task.spec.room.cpu * task.job.expected_s[task.step]
