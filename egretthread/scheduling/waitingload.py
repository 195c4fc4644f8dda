"""The load that a job meets at an entry: waiting work, expected capacity."""

import collections
from collections.abc import Collection, Iterator

from egretthread.scheduling import (
    admission,
    agentviews,
    expectedrates,
    isolation,
    linkchoice,
    shares,
    waitorder,
)
from egretthread.scheduling.entryboard import AgentView, EntryBoard, Task
from egretthread.scheduling.jobspec import Route

# Maximum start-up period during which an entry accepts jobs although it has
# discovered few or no agents.
STARTUP_S = 2.0
# The start-up period ends when no further agent was discovered for this long.
# Agents that start together are discovered within 0.5 s of one another.
DISCOVERY_GAP_S = 0.15
# Share of the isolated backend servers' capacity that is expected to be used.
ISOLATED_UTILISATION = 0.7
# Share of each backend server's capacity that tasks of other priorities leave
# free for the most urgent tasks. These come in jobs of many tasks, which can't
# wait for other runs to end.
RESERVED_SHARE = 0.1


def load(
    board: EntryBoard,
    route: Route,
    latest_s: float,
    own_cpu_s: float = 0.0,
    lead_s: float = 0.0,
) -> admission.Load:
    """Returns the load that a new task of a route meets.

    Args:
        board: The blackboard.
        route: The route.
        latest_s: Latest start at which the task meets its objective.
        own_cpu_s: Work of its job, in thousandths of a core x seconds.
        lead_s: How much earlier than its latest start it is ordered.
    """
    key = (board.now_s > latest_s, route.priority, latest_s - lead_s)
    has_shares = bool(board.load.shares)
    share_ahead_cpu_s: dict[str, float] = collections.defaultdict(float)
    is_confined = board.crashes.is_confined(route.name, board.now_s)
    ahead_cpu_s = 0.0
    waiting_cpu_s = 0.0
    for task in board.waiting:
        if _capacity_key(board, task) == (route.service, is_confined):
            task_cpu_s = task.work_cpu_s
            waiting_cpu_s += task_cpu_s
            if waitorder.sort_key(task, board.now_s) <= key:
                ahead_cpu_s += task_cpu_s
                if has_shares:
                    share_ahead_cpu_s[task.job.share.name] += task_cpu_s
    if ahead_cpu_s:
        ahead_cpu_s += own_cpu_s
    views = usable_views(board, route.service, is_confined)
    usable_cpu = _known_cpu(board, route.service, is_confined, views)
    met = admission.Load(
        usable_cpu,
        ahead_cpu_s,
        _dispatch_rate(board, route.priority, is_confined, usable_cpu),
        waiting_cpu_s + own_cpu_s,
        expectedrates.surplus_rate(board, usable_cpu),
        is_starting(board),
        not views,
    )
    if not has_shares or is_confined:
        return met
    share = shares.find(board.load, route)
    held = shares.held(board, route.service, usable_cpu) - {share.name}
    return shares.adjust(
        met,
        shares.terms(board, route, share, usable_cpu),
        share_ahead_cpu_s[share.name],
        sum(share_ahead_cpu_s[name] for name in held),
        own_cpu_s,
    )


def iter_loads(
    board: EntryBoard, leaving: Collection[str] = ()
) -> Iterator[tuple[Task, admission.Load]]:
    """Yields each waiting task, in their order, with the load that it meets.

    Args:
        board: The blackboard.
        leaving: Ids of jobs that no longer count as waiting. The caller may add
            a job once its first task was yielded.
    """
    waiting_cpu_s: dict[tuple[str, bool], float] = collections.defaultdict(
        float
    )
    for task in board.waiting:
        waiting_cpu_s[_capacity_key(board, task)] += task.work_cpu_s
    ahead_cpu_s: dict[tuple[str, bool], float] = collections.defaultdict(float)
    views = {key: usable_views(board, *key) for key in waiting_cpu_s}
    usable_cpu = {
        key: _known_cpu(board, *key, found) for key, found in views.items()
    }
    surplus_rates = {
        key: expectedrates.surplus_rate(board, usable)
        for key, usable in usable_cpu.items()
    }
    has_just_started = is_starting(board)
    rates: dict[tuple[tuple[str, bool], int], float] = {}
    adjust_by_share, count_by_share = shares.adjuster(board)
    for task in sorted(
        board.waiting, key=lambda task: waitorder.sort_key(task, board.now_s)
    ):
        key = _capacity_key(board, task)
        priority = task.job.route.priority
        if (key, priority) not in rates:
            rates[key, priority] = _dispatch_rate(
                board, priority, key[1], usable_cpu[key]
            )
        met = admission.Load(
            usable_cpu[key],
            ahead_cpu_s[key],
            rates[key, priority],
            waiting_cpu_s[key],
            surplus_rates[key],
            has_just_started,
            not views[key],
        )
        has_share = bool(board.load.shares) and not key[1]
        if has_share:
            met = adjust_by_share(task, met)
        yield task, met
        if task.job.id in leaving:
            waiting_cpu_s[key] -= task.work_cpu_s
            continue
        ahead_cpu_s[key] += task.work_cpu_s
        if has_share:
            count_by_share(task)


def is_starting(board: EntryBoard) -> bool:
    """Whether the entry may not yet have discovered its agents."""
    if board.now_s - board.started_s >= STARTUP_S:
        return False
    return board.now_s - board.discovered_s < DISCOVERY_GAP_S


def _capacity_key(board: EntryBoard, task: Task) -> tuple[str, bool]:
    """Returns the service of a task, and whether the task is confined."""
    is_confined = isolation.treatment(board, task).is_confined
    return task.job.route.service, is_confined


def _dispatch_rate(
    board: EntryBoard, priority: int, is_confined: bool, known_cpu: int
) -> float:
    """Returns the dispatch rate of a priority and less urgent ones.

    More urgent work keeps arriving and is dispatched first, so the capacity
    that it uses is not available to this priority. Confined tasks use backend
    servers of their own, which all entries of an agent share.
    """
    if is_confined:
        sharing = min(max(1, len(board.entries)), linkchoice.LINKS_PER_AGENT)
        return ISOLATED_UTILISATION * known_cpu / sharing
    return expectedrates.dispatch_rate(board, priority, known_cpu)


def usable_views(
    board: EntryBoard, service: str, is_confined: bool
) -> list[AgentView]:
    """Returns the agents whose backend servers a service can use.

    Args:
        board: The blackboard.
        service: The service.
        is_confined: Whether for tasks that may only use isolated backend
            servers. If there are none, all tasks may use all.
    """
    isolated = isolation.isolated_agents(board, service)
    return [
        view
        for view in board.agents.values()
        if agentviews.is_usable(board, view)
        and view.facts.service == service
        and (not isolated or (view.node in isolated) == is_confined)
    ]


def _known_cpu(
    board: EntryBoard, service: str, is_confined: bool, usable: list[AgentView]
) -> int:
    """Returns the CPU that the tasks of a service may expect to use."""
    if is_confined:
        return total_cpu(usable)
    return expectedrates.known_cpu(board, service, usable)


def total_cpu(views: list[AgentView]) -> int:
    """Returns the total CPU of the backend servers of agents."""
    return sum(view.facts.capacity.cpu for view in views)
