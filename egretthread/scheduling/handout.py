"""Hands waiting tasks to agents with room."""

import collections

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

UNLIMITED = 1_000_000


def run(board: EntryBoard) -> None:
    """Hands out what fits, the most urgent first."""
    if not board.waiting or board.now_s < board.thawed_s:
        return
    board.waiting.sort(key=lambda task: waitorder.sort_key(task, board.now_s))
    candidates = {}
    full: set[tuple] = set()
    chosen: dict[tuple[str, str, int], list[Task]] = collections.defaultdict(
        list
    )
    still = []
    for task in board.waiting:
        if task.job.id in board.leftovers:
            still.append(task)
            continue
        service = task.job.route.service
        shape = (service, task.spec.room, task.spec.required_label)
        if shape in full:
            still.append(task)
            continue
        if service not in candidates:
            candidates[service] = _candidates(board, service)
        agent = _choose(board, candidates[service], task)
        if agent is None:
            if not task.spec.max_per_server:
                full.add(shape)
            still.append(task)
            continue
        placing.take(agent, task.spec)
        chosen[agent.node, task.job.id, task.step].append(task)
    board.waiting = still
    for (node, _, _), tasks in chosen.items():
        _order(board, board.agents[node], tasks)


def _candidates(board: EntryBoard, service: str) -> list[Candidate]:
    return [
        Candidate(
            view.node,
            view.facts.zone == board.zone,
            view.room,
            view.facts.capacity,
            view.speed,
            UNLIMITED,
        )
        for view in board.agents.values()
        if agentviews.is_usable(board, view) and view.facts.service == service
    ]


def _choose(
    board: EntryBoard, candidates: list[Candidate], task: Task
) -> Candidate | None:
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
            if other.state is not TaskState.WAITING
        )
        candidates = [
            candidate
            for candidate in candidates
            if taken[candidate.node] < spec.max_per_server
        ]
    return placing.choose(
        candidates, spec, task.job.expected_s[task.step], task.avoided
    )


def _order(board: EntryBoard, view: AgentView, tasks: list[Task]) -> None:
    """Hands tasks of one step to an agent."""
    first = tasks[0]
    job = first.job
    room = first.spec.room
    orders = []
    for task in tasks:
        board.attempts += 1
        task.attempt = board.attempts
        task.state = TaskState.ORDERED
        task.agent = view.node
        task.ordered_s = board.now_s
        view.tasks[task.attempt] = task
        view.ordered += 1
        view.in_flight.append((view.ordered, room))
        orders.append(RunOrder(task.step, task.index, task.attempt))
        board.samples.append(("queue_seconds", board.now_s - task.waits_s))
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
                int(job.expected_s[first.step] * 1000),
                job.route.priority,
                view.clock_ms,
                tuple(orders),
            ),
        )
    )


def has_room_elsewhere(board: EntryBoard, task: Task) -> bool:
    """Whether another agent has room for a task now."""
    candidates = [
        candidate
        for candidate in _candidates(board, task.job.route.service)
        if candidate.node != task.agent and candidate.node not in task.avoided
    ]
    return _choose(board, candidates, task) is not None


def load(board: EntryBoard, route: Route) -> intake.Load:
    """Returns what stands before a new job of a route."""
    usable_cpu = free_cpu = 0
    for view in board.agents.values():
        if view.facts is None or view.facts.service != route.service:
            continue
        if agentviews.is_usable(board, view):
            usable_cpu += view.facts.capacity.cpu * min(1.0, view.speed)
            free_cpu += max(0, view.room.cpu)
    waiting_cpu_s = sum(
        task.spec.room.cpu * task.job.expected_s[task.step]
        for task in board.waiting
        if task.job.route.service == route.service
        and task.job.route.priority <= route.priority
    )
    return intake.Load(usable_cpu, free_cpu, waiting_cpu_s)
