"""Shares of the capacity: what jobs get when there is not enough for all.

A share that runs less than its guarantee goes before those that run more than
theirs, whatever the priority of its jobs. Capacity that a share does not need
is lent to others and returns as their runs end; no run is stopped for it. All
decisions use what this entry has dispatched itself.
"""

import collections
import dataclasses
import enum
import heapq
import math
from collections.abc import Callable, Iterator

from egretthread import logs
from egretthread.scheduling import admission, linkchoice, waitorder
from egretthread.scheduling.entryboard import EntryBoard, Job, Task
from egretthread.scheduling.jobspec import Route
from egretthread.scheduling.loadsettings import (
    UNSHARED,
    LoadSettings,
    ShareRule,
)
from egretthread.scheduling.shareboard import ShareUse

# Maximum debt of a share at which a job may exceed its guarantee as a whole,
# as the time in which the guarantee would do that work.
OVERDRAFT_S = 1.0
# How long the limits of other shares hold after a job had to wait or was
# refused.
NEED_S = 1.0
# Relative rounding error of a sum of work.
ROUNDING = 1e-6
# How long a share must be short, or served, before it is logged. Lent capacity
# has returned by then when tasks are short.
SHORT_AFTER_S = 0.2


class Standing(enum.IntEnum):
    """Standing of a share; the lowest goes first."""

    GUARANTEED = 0
    LENT = 1
    OVER_LIMIT = 2


@dataclasses.dataclass(frozen=True)
class Terms:
    """What a share changes in the load that a job meets.

    Rates are work per second, in thousandths of a core.

    Attributes:
        guaranteed_rate: Rate that the share is guaranteed; 0 for none.
        is_used_up: Whether its guarantee is in use, and jobs of many tasks
            have exceeded it recently.
        released_rate: Dispatch rate of more urgent work that makes way for the
            job, since it is above the limits of other shares.
        protected_rate: Dispatch rate of less urgent work that does not make
            way for the job, since other shares are guaranteed it.
        limit_rate: Rate that the share gets at most; infinite while it is
            below its limit.
    """

    guaranteed_rate: float
    is_used_up: bool
    released_rate: float
    protected_rate: float
    limit_rate: float


def find(settings: LoadSettings, route: Route) -> ShareRule:
    """Returns the first share that selects the jobs of a route."""
    for rule in settings.shares:
        if rule.priority not in (None, route.priority):
            continue
        if rule.host in ("", route.host) and rule.route in ("", route.name):
            return rule
    return UNSHARED


def on_ordered(board: EntryBoard, task: Task) -> None:
    """Counts a run that is ordered."""
    if not board.load.shares:
        return
    work_cpu_s = task.spec.room.cpu * task.job.expected_s[task.step]
    use = _use(board, task.job.route.service, task.job.share)
    use.dispatched.add(board.now_s, task.job.route.priority, work_cpu_s)
    use.settle(board.now_s)
    is_within = use.running_cpu < use.guaranteed_cpu
    if is_within and not _is_overdrawn(use):
        use.wide_job = task.job.id
    elif not is_within and task.job.id == use.wide_job:
        use.debt_cpu_s += work_cpu_s
    _count(board, task, use, 1)


def on_ended(board: EntryBoard, task: Task) -> None:
    """Counts a run that has ended, or that is given up as lost."""
    if board.load.shares:
        use = _use(board, task.job.route.service, task.job.share)
        use.settle(board.now_s)
        _count(board, task, use, -1)


def on_dropped(board: EntryBoard, job: Job) -> None:
    """Ends the standing of a job, so that none with its id inherits it."""
    use = board.shares.uses.get((job.route.service, job.share.name))
    if use is not None and use.wide_job == job.id:
        use.wide_job = ""


def _is_overdrawn(use: ShareUse) -> bool:
    return use.debt_cpu_s > OVERDRAFT_S * use.guaranteed_cpu


def _count(board: EntryBoard, task: Task, use: ShareUse, sign: int) -> None:
    route = task.job.route
    cpu = sign * task.spec.room.cpu
    use.running_cpu += cpu
    use.running_tasks += sign
    board.shares.running_cpu[route.service] += cpu
    board.shares.priority_cpu[route.service, route.priority] += cpu


def _use(board: EntryBoard, service: str, rule: ShareRule) -> ShareUse:
    uses = board.shares.uses
    key = (service, rule.name)
    if key not in uses:
        uses[key] = ShareUse()
    return uses[key]


def capacity_cpu(board: EntryBoard, service: str, usable_cpu: int) -> float:
    """Returns the CPU of which this entry's shares are parts.

    It is an equal part among the entries that share the agents, or what the
    entry uses now if that is more, as it is where more callers arrive.
    """
    sharing = min(max(1, len(board.entries)), linkchoice.LINKS_PER_AGENT)
    used_cpu = min(board.shares.running_cpu[service], usable_cpu)
    return max(usable_cpu / sharing, used_cpu)


def standing(board: EntryBoard, task: Task, all_cpu: float) -> Standing:
    """Returns the standing of a task while jobs of other shares wait.

    Tasks of a job that began within the guarantee keep that standing, since a
    job of many tasks is served only as a whole. The share pays for it before
    another job may exceed the guarantee.

    Args:
        board: The blackboard.
        task: The task.
        all_cpu: The CPU of which the shares are parts.
    """
    rule = task.job.share
    use = _use(board, task.job.route.service, rule)
    used_cpu = use.running_cpu
    is_within = used_cpu < rule.guaranteed * all_cpu
    if is_within or (rule.guaranteed and task.job.id == use.wide_job):
        return Standing.GUARANTEED
    if rule.limit < 1 and used_cpu >= rule.limit * all_cpu:
        return Standing.OVER_LIMIT
    return Standing.LENT


def iter_in_order(
    board: EntryBoard, usable_cpu: Callable[[str], int]
) -> Iterator[tuple[Task, Standing, float]]:
    """Yields the waiting tasks in the order in which they are dispatched.

    Each comes with the standing of its share and the CPU of which the shares
    are parts. A task that is dispatched must be counted before the next one is
    taken, since it may change the standing of its share.

    Args:
        board: The blackboard, with the waiting tasks in order of `waitorder`.
        usable_cpu: Returns the usable CPU of a service.
    """
    queues: dict[tuple[str, str, bool], collections.deque[Task]] = {}
    all_cpu = {}
    for task in board.waiting:
        service, rule = task.job.route.service, task.job.share
        use = _use(board, service, rule)
        if service not in all_cpu:
            all_cpu[service] = capacity_cpu(board, service, usable_cpu(service))
        use.guaranteed_cpu = rule.guaranteed * all_cpu[service]
        key = (service, rule.name, task.job.id == use.wide_job)
        queues.setdefault(key, collections.deque()).append(task)
    heads = [
        _head(board, key, queue[0], all_cpu) for key, queue in queues.items()
    ]
    heapq.heapify(heads)
    while heads:
        _, key, rank = heads[0]
        queue = queues[key]
        yield queue.popleft(), rank, all_cpu[key[0]]
        if queue:
            heapq.heapreplace(heads, _head(board, key, queue[0], all_cpu))
        else:
            heapq.heappop(heads)


def _head(
    board: EntryBoard,
    key: tuple[str, str, bool],
    task: Task,
    all_cpu: dict[str, float],
) -> tuple[tuple, tuple[str, str, bool], Standing]:
    rank = standing(board, task, all_cpu[key[0]])
    is_late, *rest = waitorder.sort_key(task, board.now_s)
    is_over = rank is Standing.OVER_LIMIT
    return (is_over, is_late, rank, *rest), key, rank


def others_need(board: EntryBoard, service: str, name: str) -> bool:
    """Whether jobs of other shares have waited or been refused just now."""
    since_s = board.now_s - NEED_S
    return any(
        use.needed_s >= since_s
        for key, use in board.shares.uses.items()
        if key[0] == service and key[1] != name
    )


def terms(
    board: EntryBoard,
    route: Route,
    rule: ShareRule,
    usable_cpu: int,
) -> Terms:
    """Returns what the shares change in the load that a job meets.

    Args:
        board: The blackboard.
        route: The route of the job.
        rule: Its share.
        usable_cpu: CPU of the usable backend servers of the service.
    """
    service = route.service
    all_cpu = capacity_cpu(board, service, usable_cpu)
    use = _use(board, service, rule)
    use.settle(board.now_s)
    guaranteed_cpu = rule.guaranteed * all_cpu
    released_rate = protected_rate = 0.0
    for other in board.load.shares:
        if other is rule:
            continue
        dispatched = _use(board, service, other).dispatched
        rate = dispatched.rate(board.now_s, route.priority)
        protected_rate += min(other.guaranteed * all_cpu, rate)
        if other.limit < 1:
            urgent_rate = dispatched.rate(board.now_s, 0) - rate
            released_rate += max(0.0, urgent_rate - other.limit * all_cpu)
    limit_cpu = rule.limit * all_cpu
    is_limited = (
        rule.limit < 1
        and use.running_cpu >= limit_cpu
        and others_need(board, service, rule.name)
    )
    return Terms(
        guaranteed_cpu,
        use.running_cpu >= guaranteed_cpu and _is_overdrawn(use),
        released_rate,
        protected_rate,
        limit_cpu if is_limited else math.inf,
    )


def adjust(
    load: admission.Load,
    terms_: Terms,
    own_ahead_cpu_s: float,
    held_ahead_cpu_s: float,
    own_cpu_s: float = 0.0,
) -> admission.Load:
    """Returns the load that a job meets by the order of the shares.

    A job is served within the guarantee of its share, or in the order of all
    waiting jobs, whichever comes first; above its limit only by that.

    Args:
        load: The load in the order of all waiting jobs.
        terms_: What its share changes.
        own_ahead_cpu_s: Waiting work of its share that goes before it.
        held_ahead_cpu_s: Work before it that waits for it, since its share is
            above its limit.
        own_cpu_s: Work of the job itself.
    """
    floor = max(1.0, admission.MIN_RATE_SHARE * load.usable_cpu)
    rate = load.dispatch_rate + terms_.released_rate
    rate = max(0.0, rate - terms_.protected_rate)
    ahead_cpu_s = load.ahead_cpu_s - held_ahead_cpu_s
    if ahead_cpu_s <= own_cpu_s * (1 + ROUNDING):
        # Nothing but the job itself is left.
        ahead_cpu_s = 0.0
    options = [(ahead_cpu_s, rate)]
    if own_ahead_cpu_s or terms_.is_used_up:
        own_ahead_cpu_s += own_cpu_s
    if terms_.limit_rate < math.inf:
        options = [(own_ahead_cpu_s, terms_.limit_rate)]
    elif terms_.guaranteed_rate:
        options.append((own_ahead_cpu_s, terms_.guaranteed_rate))
    ahead_cpu_s, rate = min(
        options,
        key=lambda option: option[0] / max(floor, option[1]),
    )
    return dataclasses.replace(
        load,
        ahead_cpu_s=ahead_cpu_s,
        dispatch_rate=rate,
    )


def held(board: EntryBoard, service: str, usable_cpu: int) -> frozenset[str]:
    """Returns the names of the shares of a service above their limits."""
    all_cpu = capacity_cpu(board, service, usable_cpu)
    return frozenset(
        rule.name
        for rule in board.load.shares
        if rule.limit < 1
        and _use(board, service, rule).running_cpu >= rule.limit * all_cpu
    )


def adjuster(
    board: EntryBoard,
) -> tuple[
    Callable[[Task, admission.Load], admission.Load], Callable[[Task], None]
]:
    """Returns two functions to be called for each waiting task in order.

    The order is that of `waitorder`. The first adjusts the load that a task
    meets. The second counts the task as ahead of those that follow.
    """
    ahead_cpu_s: dict[tuple[str, str], float] = collections.defaultdict(float)
    held_names: dict[str, frozenset[str]] = {}
    known: dict[tuple[str, str, int], Terms] = {}

    def adjust_next(task: Task, load: admission.Load) -> admission.Load:
        route, rule = task.job.route, task.job.share
        key = (route.service, rule.name, route.priority)
        if key not in known:
            known[key] = terms(board, route, rule, load.usable_cpu)
            held_names[route.service] = held(
                board, route.service, load.usable_cpu
            )
        own_ahead_cpu_s = ahead_cpu_s[key[:2]]
        held_ahead_cpu_s = sum(
            ahead_cpu_s[route.service, name]
            for name in held_names[route.service]
            if name != rule.name
        )
        return adjust(load, known[key], own_ahead_cpu_s, held_ahead_cpu_s)

    def count(task: Task) -> None:
        job = task.job
        work_cpu_s = task.spec.room.cpu * job.expected_s[task.step]
        ahead_cpu_s[job.route.service, job.share.name] += work_cpu_s

    return adjust_next, count


def on_refused(board: EntryBoard, route: Route, usable_cpu: float) -> dict:
    """Records that a job needed capacity and is refused.

    Returns what the log tells of its share.

    `lost_to` names the share that uses most of the service besides it.
    """
    if not board.load.shares:
        return {}
    rule = find(board.load, route)
    use = _use(board, route.service, rule)
    use.needed_s = board.now_s
    all_cpu = capacity_cpu(board, route.service, int(usable_cpu))
    board.counters[f"refused_share_{rule.name}"] += 1
    fields = {
        "share": rule.name,
        "share_cpu": use.running_cpu / 1000,
        "guaranteed_cpu": rule.guaranteed * all_cpu / 1000,
        "limit_cpu": rule.limit * all_cpu / 1000,
    }
    others = [
        (other.running_cpu, name)
        for (service, name), other in board.shares.uses.items()
        if service == route.service and name != rule.name and other.running_cpu
    ]
    if others:
        cpu, name = max(others)
        fields |= {"lost_to": name, "lost_to_cpu": cpu / 1000}
    return fields


def begin_pass(board: EntryBoard) -> None:
    """Forgets which tasks the last pass left waiting."""
    for use in board.shares.uses.values():
        use.waiting_tasks = 0


def on_left_waiting(board: EntryBoard, task: Task) -> None:
    """Records that a pass has left a task waiting."""
    use = _use(board, task.job.route.service, task.job.share)
    use.waiting_tasks += 1
    use.needed_s = board.now_s


def log_short(board: EntryBoard) -> None:
    """Logs the shares that have begun or ceased to be short."""
    for (service, name), use in board.shares.uses.items():
        is_waiting = bool(board.waiting) and use.waiting_tasks > 0
        is_short = is_waiting and use.running_cpu < use.guaranteed_cpu
        if is_short == use.is_short:
            use.differs_since_s = math.inf
            continue
        use.differs_since_s = min(use.differs_since_s, board.now_s)
        if board.now_s - use.differs_since_s < SHORT_AFTER_S:
            continue
        use.is_short = is_short
        use.differs_since_s = math.inf
        logs.info(
            "share_short" if is_short else "share_served",
            share=name,
            service=service,
            used_cpu=use.running_cpu / 1000,
            guaranteed_cpu=use.guaranteed_cpu / 1000,
            waiting_tasks=use.waiting_tasks if is_waiting else 0,
            all_used_cpu=board.shares.running_cpu[service] / 1000,
        )
