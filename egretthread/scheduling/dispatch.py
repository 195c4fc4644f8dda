"""Dispatches waiting tasks to agents with enough free capacity."""

import collections
import dataclasses

from egretthread.scheduling import (
    agentviews,
    expectedrates,
    isolation,
    placing,
    runnumbers,
    shares,
    waitingload,
    waitorder,
)
from egretthread.scheduling.entryboard import (
    IDLE_STATES,
    AgentView,
    EntryBoard,
    Task,
    TaskState,
)
from egretthread.scheduling.placing import Candidate
from egretthread.scheduling.runmessage import (
    RunOrder,
    StartRuns,
)
from egretthread.scheduling.shares import Standing

# Minimum time between two passes that reports of free capacity trigger. With
# passes on ticks only, short tasks would leave a tenth of all capacity idle. A
# pass on every report would be too many, since many runs end at once and each
# pass examines all waiting tasks.
MIN_PASS_INTERVAL_S = 0.004
# Upper bound of the random factor on the cost of an agent.
MAX_JITTER = 1.2
# Time for which a waiting task leaves idle the agents on which it has failed,
# while others have no capacity for it.
AVOID_S = 2.0
# Minimum free share of all capacity with which a task may use the reserve of a
# backend server, if no other one can run it.
MIN_FREE_SHARE = 0.5
# How long a run that finds its agent full is queued there for another run to
# end. Then its entry, which is a round trip away, looks for another agent.
QUEUE_WAIT_S = 0.01
# How long an urgent run may be queued at its agent, where it goes first.
URGENT_QUEUE_WAIT_S = 0.07
# How long an exclusive run may be queued at its agent until the backend server
# is empty: a few run times of short tasks.
EXCLUSIVE_QUEUE_WAIT_S = 0.4
# How many times the reserve the less urgent tasks of an entry leave of its part
# while it doubts that urgent tasks are what uses the reserve.
RESERVE_MARGIN = 2


@dataclasses.dataclass
class _Pass:
    """One pass over the waiting tasks.

    Attributes:
        top_priority: The most urgent of the configured priorities; None when
            there is only one.
        candidates: Agents by service, with their remaining capacity.
        isolated: Agents whose backend servers are isolated, by service.
        unplaceable: Requirements of tasks for which no agent was found.
        assignments: Tasks by agent, job, step, the time that they may be
            queued at the agent, and their priority there.
        blocked: Services and shares of which a task that any agent may run
            found no capacity.
        reserve_used: Whether most of what is reserved for the most urgent
            tasks is in use, by service.
        reserve_needed: Whether the reserve is kept free for them, by service.
    """

    top_priority: int | None
    candidates: dict[str, list[Candidate]]
    isolated: dict[str, frozenset[str]]
    unplaceable: set[tuple]
    assignments: dict[tuple[str, str, int, float, int], list[Task]]
    blocked: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    reserve_used: dict[str, bool] = dataclasses.field(default_factory=dict)
    reserve_needed: dict[str, bool] = dataclasses.field(default_factory=dict)


def dispatch_waiting(board: EntryBoard) -> None:
    """Dispatches the waiting tasks that fit, the most urgent first."""
    if not board.waiting or board.now_s < board.resume_at_s:
        expectedrates.note_pass(board)
        return
    board.last_pass_s = board.now_s
    board.waiting.sort(key=lambda task: waitorder.sort_key(task, board.now_s))
    priorities = {route.priority for route in board.operator_state.routes}
    top_priority = min(priorities) if len(priorities) > 1 else None
    dispatch_pass = _Pass(
        top_priority,
        {},
        {},
        set(),
        collections.defaultdict(list),
    )
    if board.load.shares:
        board.waiting = _assign_by_share(board, dispatch_pass)
    else:
        board.waiting = [
            task
            for task in board.waiting
            if not _assign(board, dispatch_pass, task)
        ]
    for key, tasks in dispatch_pass.assignments.items():
        node, _, _, queue_wait_s, priority = key
        _send_orders(board, board.agents[node], tasks, queue_wait_s, priority)
    expectedrates.note_pass(board)


def dispatch_if_due(board: EntryBoard) -> None:
    """Dispatches waiting tasks unless a pass has only just run.

    This is called when an agent reports free capacity.
    """
    if board.now_s - board.last_pass_s >= MIN_PASS_INTERVAL_S:
        dispatch_waiting(board)


def _assign_by_share(board: EntryBoard, dispatch_pass: _Pass) -> list[Task]:
    """Assigns tasks in the order of their shares; returns those left."""
    shares.begin_pass(board)
    left = []
    for task, standing, all_cpu in shares.iter_in_order(
        board,
        lambda service: waitingload.total_cpu(
            waitingload.usable_views(board, service, is_confined=False)
        ),
    ):
        route, name = task.job.route, task.job.share.name
        is_held = False
        if standing is Standing.OVER_LIMIT:
            # All tasks of other shares come before.
            is_held = any(
                service == route.service and share != name
                for service, share in dispatch_pass.blocked
            )
            if not shares.others_need(board, route.service, name):
                standing = Standing.LENT
        if standing is Standing.GUARANTEED and not _may_use_reserve(
            board, dispatch_pass, route.service, all_cpu
        ):
            standing = Standing.LENT
        if not is_held and _assign(board, dispatch_pass, task, standing):
            continue
        left.append(task)
        shares.on_left_waiting(board, task)
    return left


def _assign(
    board: EntryBoard,
    dispatch_pass: _Pass,
    task: Task,
    standing: Standing = Standing.LENT,
) -> bool:
    """Assigns a task to an agent; returns whether one was found."""
    if task.job.id in board.orphaned_runs:
        return False
    treatment = isolation.treatment(board, task)
    if not treatment.may_start:
        return False
    route = task.job.route
    spec = task.spec
    requirements = (
        treatment,
        route.service,
        route.priority,
        standing,
        spec.room,
        spec.required_label,
        spec.data_rack,
    )
    if requirements in dispatch_pass.unplaceable:
        _note_blocked(dispatch_pass, task)
        return False
    if route.service not in dispatch_pass.candidates:
        dispatch_pass.candidates[route.service] = _list_candidates(
            board, route.service
        )
        dispatch_pass.isolated[route.service] = isolation.isolated_agents(
            board, route.service
        )
    eligible = _filter_eligible(
        board,
        dispatch_pass.candidates[route.service],
        task,
        dispatch_pass.isolated[route.service],
    )
    top_priority = dispatch_pass.top_priority
    is_urgent = top_priority is not None and (
        standing is Standing.GUARANTEED or route.priority == top_priority
    )
    agent, queue_wait_s = _choose_agent(
        board, dispatch_pass, eligible, task, treatment, is_urgent
    )
    if agent is None:
        if not (
            spec.max_per_server or task.avoided_agents or treatment.is_suspect
        ):
            dispatch_pass.unplaceable.add(requirements)
            _note_blocked(dispatch_pass, task)
        return False
    placing.allocate(agent, spec)
    task.state = TaskState.ORDERED
    task.agent = agent.node
    remote = placing.is_remote(agent, spec)
    task.run_time_factor = board.remote_factor if remote else 1.0
    priority = route.priority
    if is_urgent and not treatment.is_exclusive:
        priority = top_priority
    dispatch_pass.assignments[
        agent.node, task.job.id, task.step, queue_wait_s, priority
    ].append(task)
    shares.on_ordered(board, task)
    return True


def _may_use_reserve(
    board: EntryBoard, dispatch_pass: _Pass, service: str, all_cpu: float
) -> bool:
    """Whether a guaranteed task may use the reserve of urgent tasks.

    It may while urgent tasks use the reserve: those of this entry, or those of
    others as far as the less urgent tasks of this entry can't be what uses it.
    """
    reserved_cpu = waitingload.RESERVED_SHARE * all_cpu
    urgent_cpu = board.shares.priority_cpu[service, dispatch_pass.top_priority]
    if urgent_cpu >= reserved_cpu:
        return True
    less_urgent_cpu = board.shares.running_cpu[service] - urgent_cpu
    if less_urgent_cpu >= all_cpu - RESERVE_MARGIN * reserved_cpu:
        return False
    return _is_reserve_used(board, dispatch_pass, service)


def _is_reserve_used(
    board: EntryBoard, dispatch_pass: _Pass, service: str
) -> bool:
    """Whether agents report most of the reserve as used."""
    if service not in dispatch_pass.reserve_used:
        usable = [
            view
            for view in board.agents.values()
            if agentviews.is_usable(board, view)
            and view.facts.service == service
        ]
        free_cpu = sum(max(0, view.free.cpu) for view in usable)
        usable_cpu = sum(view.facts.capacity.cpu for view in usable)
        dispatch_pass.reserve_used[service] = (
            free_cpu < waitingload.RESERVED_SHARE / 2 * usable_cpu
        )
    return dispatch_pass.reserve_used[service]


def _note_blocked(dispatch_pass: _Pass, task: Task) -> None:
    """Records that a task waits for capacity that others could use."""
    job = task.job
    if not task.spec.required_label:
        dispatch_pass.blocked.add((job.route.service, job.share.name))


def _choose_agent(
    board: EntryBoard,
    dispatch_pass: _Pass,
    eligible: list[Candidate],
    task: Task,
    treatment: isolation.Treatment,
    is_urgent: bool,
) -> tuple[Candidate | None, float]:
    """Returns the agent for a task and how long it may be queued there.

    The agent is None when the task has to wait at the entry.
    """
    if treatment.is_exclusive:
        isolated = dispatch_pass.isolated[task.job.route.service]
        if len(isolated) > 1 and len(eligible) == 1:
            # The only one left serves the tasks that have crashed none.
            return None, EXCLUSIVE_QUEUE_WAIT_S
        own = {
            sibling.agent
            for sibling in task.job.tasks[task.step]
            if sibling.state is TaskState.ORDERED
        }
        agent = placing.choose_exclusive(eligible, task.spec, own)
        return agent, EXCLUSIVE_QUEUE_WAIT_S
    reserved_share = (
        0.0
        if is_urgent
        or treatment.is_confined
        or dispatch_pass.top_priority is None
        else waitingload.RESERVED_SHARE
    )
    expected_s = task.job.expected_s[task.step]
    avoided_agents = _avoided_agents(board, task)
    agent = None
    if treatment.is_suspect:
        agent = placing.choose(
            isolation.spread(board, eligible, task),
            task.spec,
            expected_s,
            avoided_agents,
            0.0,
            board.remote_factor,
        )
    agent = agent or placing.choose(
        eligible,
        task.spec,
        expected_s,
        avoided_agents,
        reserved_share,
        board.remote_factor,
    )
    if (
        agent is None
        and reserved_share
        and not _is_reserve_needed(dispatch_pass, task.job.route.service)
    ):
        agent = placing.choose(
            eligible,
            task.spec,
            expected_s,
            avoided_agents,
            0.0,
            board.remote_factor,
        )
    if agent and _should_wait_for_rack(board, eligible, agent, task):
        return None, QUEUE_WAIT_S
    if agent or not is_urgent or waitorder.is_late(task, board.now_s):
        return agent, QUEUE_WAIT_S
    agent = placing.choose_queue(eligible, task.spec, task.avoided_agents)
    return agent, URGENT_QUEUE_WAIT_S


def _is_reserve_needed(dispatch_pass: _Pass, service: str) -> bool:
    """Whether urgent tasks may need the reserve of every backend server.

    While most of the capacity is free they find room elsewhere.
    """
    if service not in dispatch_pass.reserve_needed:
        candidates = dispatch_pass.candidates[service]
        free_cpu = sum(max(0, c.free.cpu) for c in candidates)
        total_cpu = sum(c.capacity.cpu for c in candidates)
        dispatch_pass.reserve_needed[service] = (
            free_cpu < MIN_FREE_SHARE * total_cpu
        )
    return dispatch_pass.reserve_needed[service]


def _avoided_agents(board: EntryBoard, task: Task) -> set[str]:
    """Returns the agents that a task is not dispatched to yet."""
    if board.now_s - task.waiting_since_s > AVOID_S:
        return set()
    return task.avoided_agents


def _should_wait_for_rack(
    board: EntryBoard,
    eligible: list[Candidate],
    agent: Candidate,
    task: Task,
) -> bool:
    """Whether a task should wait for an agent on the rack of its data.

    It should if it would miss its objective when it runs on another rack now,
    but can still meet it on that rack.
    """
    if not placing.is_remote(agent, task.spec):
        return False
    remote_s = task.job.expected_s[task.step] * board.remote_factor
    if board.now_s + remote_s <= task.job.objective_s:
        return False
    if board.now_s > waitorder.latest_s(task):
        return False
    return any(not placing.is_remote(c, task.spec) for c in eligible)


def _list_candidates(board: EntryBoard, service: str) -> list[Candidate]:
    return [
        Candidate(
            view.node,
            view.facts.zone == board.zone,
            view.expected_free,
            view.facts.capacity,
            view.speed,
            view.facts.labels,
            board.rng.uniform(1.0, MAX_JITTER),
        )
        for view in board.agents.values()
        if agentviews.is_usable(board, view) and view.facts.service == service
    ]


def _filter_eligible(
    board: EntryBoard,
    candidates: list[Candidate],
    task: Task,
    isolated: frozenset[str],
) -> list[Candidate]:
    """Returns the agents whose backend server is allowed to run a task."""
    spec = task.spec
    if isolated:
        is_confined = isolation.treatment(board, task).is_confined
        candidates = [
            candidate
            for candidate in candidates
            if (candidate.node in isolated) == is_confined
        ]
    if spec.required_label:
        candidates = [
            candidate
            for candidate in candidates
            if spec.required_label in board.agents[candidate.node].facts.labels
        ]
    if spec.max_per_server:
        candidates = _filter_by_count(candidates, task)
    return candidates


def _filter_by_count(
    candidates: list[Candidate], task: Task
) -> list[Candidate]:
    """Returns the agents that may run one more task of a step.

    Tasks that are done count only while there is another agent without them.
    """
    siblings = [
        sibling
        for sibling in task.job.tasks[task.step]
        if sibling.state not in IDLE_STATES
    ]
    all_counts = collections.Counter(s.agent for s in siblings)
    live_counts = collections.Counter(
        s.agent for s in siblings if s.state is not TaskState.DONE
    )
    limit = task.spec.max_per_server
    unused = [
        candidate
        for candidate in candidates
        if all_counts[candidate.node] < limit
        and candidate.capacity.holds(task.spec.room)
    ]
    return unused or [
        candidate
        for candidate in candidates
        if live_counts[candidate.node] < limit
    ]


def _send_orders(
    board: EntryBoard,
    view: AgentView,
    tasks: list[Task],
    queue_wait_s: float,
    priority: int,
) -> None:
    """Sends tasks of one step to an agent.

    Args:
        board: The blackboard.
        view: The agent.
        tasks: The tasks, all of one job and step.
        queue_wait_s: How long they may be queued at the agent.
        priority: Their priority in the agent's queue.
    """
    if not view.tasks:
        view.busy_since_s = board.now_s
    first = tasks[0]
    job = first.job
    room = first.spec.room
    orders = []
    for task in tasks:
        board.last_attempt += 1
        task.attempt = board.last_attempt
        task.start_by_s = board.now_s + queue_wait_s
        view.tasks[task.attempt] = task
        view.ordered_runs += 1
        view.in_flight.append((view.ordered_runs, room))
        if job.spec.kept:
            task.run = runnumbers.next_number(task)
        orders.append(RunOrder(task.step, task.index, task.attempt, task.run))
        board.samples.append(
            ("queue_seconds", board.now_s - task.waiting_since_s)
        )
        board.dispatched_work.add(
            board.now_s, job.route.priority, task.work_cpu_s
        )
    job.may_have_started = True
    job.last_dispatch_s = board.now_s
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
                int(job.expected_s[first.step] * first.run_time_factor * 1000),
                priority,
                view.clock_ms,
                int(queue_wait_s * 1000),
                tuple(orders),
                job.spec.kept,
                job.route.name,
                isolation.treatment(board, first).is_exclusive,
                int((board.now_s - view.last_received_s) * 1000),
            ),
        )
    )


def capacity_elsewhere(board: EntryBoard, task: Task) -> Candidate | None:
    """Returns another agent that could start a task now; None without one.

    A task that runs on its data's rack is not moved to another rack.
    """
    service = task.job.route.service
    eligible = _filter_eligible(
        board,
        _list_candidates(board, service),
        task,
        isolation.isolated_agents(board, service),
    )
    other_candidates = [
        candidate
        for candidate in eligible
        if candidate.node != task.agent
        and candidate.node not in task.avoided_agents
    ]
    expected_s = task.job.expected_s[task.step]
    chosen = placing.choose(
        other_candidates,
        task.spec,
        expected_s,
        frozenset(),
        remote_factor=board.remote_factor,
    )
    if chosen is None:
        return None
    if task.run_time_factor <= 1 and placing.is_remote(chosen, task.spec):
        return None
    return chosen
