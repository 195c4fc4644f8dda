"""Which tasks and routes crash backend servers, concluded from the crashes.

Each crash makes the tasks that were at the backend server suspect. A job is
blamed, and has failed for good, once a backend server has crashed under one of
its tasks alone, after an earlier crash; or after MAX_CRASHES crashes that are
not due to others. A crash together with other tasks proves nothing, since sound
tasks share backend servers with those that crash them.

A route with such tasks is confined: its tasks may use a part of the backend
servers only, so that further ones crash no others.
"""

import collections
import dataclasses
import typing
from collections.abc import Iterable

from egretthread import logs
from egretthread.scheduling.runmessage import (
    ConfinedRoute,
    CrashedAgent,
    CrashSummary,
    ServerCrash,
)

# Crashes under a task after which it is not started again: those that are not
# due to others, and all.
MAX_CRASHES = 3
MAX_TOTAL_CRASHES = 4
# Crashes under a task after which it runs alone, and its route is confined for
# a short time.
ISOLATE_CRASHES = 2
# How long crashes are remembered. A caller submits a lost job again, and a new
# coordinator starts, within a few seconds.
RETENTION_S = 60.0
# How long a route is confined after one of its tasks was blamed or crashed one
# of the isolated backend servers. These are back after some seconds, and only
# then can a further crash show that the route still needs to be confined.
CONFINEMENT_S = 6.0
# How long a route is confined because of one task that is not blamed yet, if a
# task of another route is about as likely to be the cause.
DOUBTFUL_CONFINEMENT_S = 1.5
# Factor on the age of a task at the crashes up to which another one is about as
# likely to be the cause.
DOUBTFUL_AGE_FACTOR = 3.0
# A crash under a task that is no further than this from one of another backend
# server without its job may be due to something else, such as a loss of power.
COINCIDENCE_S = 0.1
# A backend server that crashed this short a time ago under other jobs, for no
# known cause, may crash of its own.
RELAPSE_S = 10.0
# A task crashes backend servers at about the same age: the highest is at most
# this many times the lowest, or the floor, within which it is not measured.
MAX_AGE_FACTOR = 8.0
AGE_FLOOR_S = 0.005
# A task speaks for itself if more than this share of the other jobs' tasks at
# the backend server was started after it: what crashes a server does so soon
# after its start.
MAX_YOUNGER_SHARE = 0.34
# Time in which an isolated backend server counts as one that may crash.
RECENT_CRASH_S = 30.0
# A backend server that has not answered for this long has crashed.
SILENCE_S = 5.0
SWEEP_INTERVAL_S = 1.0
# Maximum number of crashes that are remembered.
MAX_REMEMBERED = 1000


class TaskId(typing.NamedTuple):
    """Identifies one task.

    Attributes:
        job: Id of its job.
        step: Number of its step.
        index: Its index in the step.
    """

    job: str
    step: int
    index: int


@dataclasses.dataclass
class Crash:
    """One crash of a backend server.

    Attributes:
        agent: Name of the agent's instance.
        at_s: When it was noticed.
        is_certain: Whether the incarnation has ended; it may otherwise only
            have stopped answering.
        is_of_one_job: Whether no other job took part in it.
        routes: Routes of the tasks that were there, by task.
        suspects: Those of them that may have caused it.
        ages_s: How long each of them had been at the backend server.
        blamed: Job that it is due to; empty while that is not known.
        presumed: Job that is the likeliest cause while none is blamed.
        suspicion: Task whose route was confined because of it, on suspicion
            only; None if there is none.
    """

    agent: str
    at_s: float
    is_certain: bool
    is_of_one_job: bool
    routes: dict[TaskId, str]
    suspects: frozenset[TaskId]
    ages_s: dict[TaskId, float] = dataclasses.field(default_factory=dict)
    blamed: str = ""
    presumed: str = ""
    suspicion: TaskId | None = None

    @property
    def jobs(self) -> set[str]:
        """Jobs of the tasks that were there."""
        return {task.job for task in self.routes}


@dataclasses.dataclass
class CrashBook:
    """Recent crashes of backend servers, and what follows from them.

    Attributes:
        crashes: Crashes by the incarnation that crashed.
        by_task: Incarnations that crashed under each task.
        by_job: Incarnations that crashed under any task of each job.
        blamed_jobs: When each job with a crashing task was blamed.
        confined_until_s: Until when each route is confined.
        confined_since_s: Since when each of them has been confined.
        last_crash_s: When the backend server of each agent last crashed, by the
            name of the agent's instance.
        last_sweep_s: When old crashes were last removed.
        confinements: How often a route began to be confined.
    """

    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    by_task: dict[TaskId, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    by_job: dict[str, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )
    blamed_jobs: dict[str, float] = dataclasses.field(default_factory=dict)
    confined_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    confined_since_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_crash_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_sweep_s: float = 0.0
    confinements: int = 0

    def of_task(self, task: TaskId) -> list[Crash]:
        """Returns the crashes under a task."""
        return [self.crashes[each] for each in self.by_task.get(task, ())]

    def certain_keys(self, task: TaskId) -> tuple[str, ...]:
        """Returns the keys of the incarnations that crashed under a task."""
        return tuple(
            sorted(
                each
                for each in self.by_task.get(task, ())
                if self.crashes[each].is_certain
            )
        )

    def is_suspect(self, task: TaskId) -> bool:
        """Whether a task may have caused a crash that no job is blamed for."""
        return any(
            not crash.blamed and task in crash.suspects
            for crash in self.of_task(task)
        )

    def is_isolated(self, task: TaskId) -> bool:
        """Whether a task must not share a backend server with other jobs.

        Several tasks of a wide job may crash a backend server each.
        """
        if len(self.by_task.get(task, ())) >= ISOLATE_CRASHES:
            return True
        crashes = [self.crashes[each] for each in self.by_job.get(task.job, ())]
        return sum(not crash.blamed for crash in crashes) >= MAX_CRASHES

    def may_start(self, task: TaskId) -> bool:
        """Whether a task may be started once more."""
        return (
            len(self.unexplained(task)) < MAX_CRASHES
            and len(self.by_task.get(task, ())) < MAX_TOTAL_CRASHES
            and task.job not in self.blamed_jobs
        )

    def unexplained(self, task: TaskId) -> list[Crash]:
        """Returns the crashes under a task that no other job has caused."""
        return [
            crash
            for crash in self.of_task(task)
            if not crash.blamed and crash.presumed in ("", task.job)
        ]

    def position(self, task: TaskId) -> int:
        """Returns the position of a suspect task in its last crash."""
        last = max(self.of_task(task), key=lambda crash: crash.at_s)
        return list(last.routes).index(task)

    def is_confined(self, route: str, now_s: float) -> bool:
        """Whether a route is confined."""
        return now_s < self.confined_until_s.get(route, 0.0)

    def confined_routes(self, now_s: float) -> list[str]:
        """Returns the names of the confined routes."""
        return [
            route
            for route, until_s in self.confined_until_s.items()
            if now_s < until_s
        ]

    def crashed_recently(self, agent: str, now_s: float) -> bool:
        """Whether the backend server of an agent crashed a short time ago.

        Args:
            agent: Name of the agent's instance.
            now_s: The time.
        """
        at_s = self.last_crash_s.get(agent)
        return at_s is not None and now_s - at_s < RECENT_CRASH_S


def key(crash: ServerCrash) -> str:
    """Returns the key of the incarnation that crashed."""
    return f"{crash.server}@{crash.started_unix_ms}"


def is_news(book: CrashBook, crash: ServerCrash) -> bool:
    """Whether a report tells of a crash, or of its certainty, that is new."""
    known = book.crashes.get(key(crash))
    if known is None:
        return bool(crash.rows)
    return crash.certain and not known.is_certain


def record(
    book: CrashBook, now_s: float, agent: str, crash: ServerCrash
) -> set[str]:
    """Records a crash, which may be known already.

    Args:
        book: The crashes known so far.
        now_s: The time.
        agent: Name of the agent's instance.
        crash: The crash, as its agent has reported it.

    Returns:
        The jobs that are blamed because of it.
    """
    known = book.crashes.get(key(crash))
    at_s = now_s - crash.age_ms / 1000
    if at_s <= now_s - RETENTION_S:
        return set()
    if not crash.rows:
        if known is not None and not known.is_certain:
            _remove(book, key(crash))
        return set()
    if not is_news(book, crash):
        return set()
    if known is not None:
        known.is_certain = True
        known.at_s = now_s
    else:
        _add(book, key(crash), _make_crash(book, now_s, agent, at_s, crash))
    return _conclude(book, now_s, key(crash))


def _make_crash(
    book: CrashBook, now_s: float, agent: str, at_s: float, crash: ServerCrash
) -> Crash:
    """Returns a crash with the tasks that may have caused it.

    If tasks of confined routes took part that were started since, only these
    are suspect.
    """
    rows = {TaskId(row.job, row.step, row.index): row for row in crash.rows}
    confined = [
        task
        for task, row in rows.items()
        if book.is_confined(row.route, now_s)
        and at_s - row.age_ms / 1000 >= book.confined_since_s[row.route]
    ]
    return Crash(
        agent,
        at_s,
        crash.certain,
        len({task.job for task in rows}) == 1,
        {task: row.route for task, row in rows.items()},
        frozenset(confined or rows),
        {task: row.age_ms / 1000 for task, row in rows.items()},
    )


def restore(
    book: CrashBook,
    now_s: float,
    task: TaskId,
    keys: Iterable[str],
    route: str,
) -> None:
    """Adds the crashes under a task that were read from the store.

    The job is blamed if that is due.

    Args:
        book: The crashes known so far.
        now_s: The time.
        task: The task.
        keys: Keys of the incarnations that crashed.
        route: Name of its route.
    """
    for incarnation in keys:
        known = book.crashes.get(incarnation)
        if known is None:
            suspects = frozenset((task,))
            crash = Crash("", now_s, True, False, {task: route}, suspects)
            _add(book, incarnation, crash)
        else:
            known.routes[task] = route
            book.by_task[task].add(incarnation)
            book.by_job[task.job].add(incarnation)
    if _is_to_blame(book, task):
        _blame(book, now_s, task.job)


def _add(book: CrashBook, incarnation: str, crash: Crash) -> None:
    book.crashes[incarnation] = crash
    while len(book.crashes) > MAX_REMEMBERED:
        _remove(book, next(iter(book.crashes)))
    for task in crash.routes:
        book.by_task[task].add(incarnation)
        book.by_job[task.job].add(incarnation)
        if task.job in book.blamed_jobs:
            crash.blamed = task.job
    if crash.agent:
        last_s = book.last_crash_s.get(crash.agent, crash.at_s)
        book.last_crash_s[crash.agent] = max(last_s, crash.at_s)


def _remove(book: CrashBook, incarnation: str) -> None:
    """Removes a crash from the tasks that were there."""
    crash = book.crashes.pop(incarnation)
    for task in crash.routes:
        for index, name in ((book.by_task, task), (book.by_job, task.job)):
            index[name].discard(incarnation)
            if not index[name]:
                del index[name]


def _conclude(book: CrashBook, now_s: float, incarnation: str) -> set[str]:
    """Draws the conclusions from a crash; returns the jobs that are blamed."""
    crash = book.crashes[incarnation]
    _review_suspicions(book, now_s, crash)
    blamed = {
        task.job for task in crash.routes if _is_to_blame(book, task)
    } - book.blamed_jobs.keys()
    for job in blamed:
        _blame(book, now_s, job)
    if crash.is_certain and not crash.blamed:
        _confine_suspects(book, now_s, crash)
    _prolong_confinement(book, now_s, crash)
    return blamed


def _is_to_blame(book: CrashBook, task: TaskId) -> bool:
    certain = [crash for crash in book.of_task(task) if crash.is_certain]
    if (
        len(_evidence(book, task)) >= MAX_CRASHES
        or len(certain) >= MAX_TOTAL_CRASHES
    ):
        return True
    if len(certain) < ISOLATE_CRASHES:
        return False
    last = max(certain, key=lambda crash: crash.at_s)
    if not last.is_of_one_job or _may_be_own(book, last, task.job):
        return False
    return _is_plausible(book, task, certain)


def _blame(book: CrashBook, now_s: float, job: str) -> None:
    """Blames a job for all crashes that it took part in."""
    book.blamed_jobs[job] = now_s
    is_plausible = any(
        _is_plausible(book, task, book.of_task(task))
        for task in tuple(book.by_task)
        if task.job == job
    )
    routes = set()
    last_s = 0.0
    for crash in book.crashes.values():
        tasks = [task for task in crash.routes if task.job == job]
        if tasks:
            crash.blamed = crash.blamed or job
            last_s = max(last_s, crash.at_s)
            routes.update(crash.routes[task] for task in tasks)
    if not is_plausible:
        logs.info("crashes_unexplained", job=job, routes=",".join(routes))
        return
    for route in routes:
        _confine(book, now_s, route, last_s + CONFINEMENT_S, f"job {job}")


def _confine_suspects(book: CrashBook, now_s: float, crash: Crash) -> None:
    """Confines the route of the task that is the likeliest cause of crashes.

    Sound tasks may have taken part in several crashes as well. The likeliest
    cause is the task that had been at the backend servers for the shortest
    time. From then on, its crashes are no evidence against other tasks.
    """
    ages_s = {}
    for task in crash.routes:
        crashes = _evidence(book, task) if task in crash.suspects else ()
        if len(crashes) >= ISOLATE_CRASHES and _is_plausible(
            book, task, crashes
        ):
            total_s = sum(each.ages_s.get(task, 0.0) for each in crashes)
            ages_s[task] = total_s / len(crashes)
    if not ages_s:
        return
    likeliest = min(ages_s, key=ages_s.get)
    route = crash.routes[likeliest]
    is_doubtful = any(
        crash.routes[task] != route
        and age_s <= DOUBTFUL_AGE_FACTOR * ages_s[likeliest]
        for task, age_s in ages_s.items()
    )
    if not is_doubtful:
        for each in _evidence(book, likeliest):
            each.presumed = likeliest.job
    for_s = DOUBTFUL_CONFINEMENT_S if is_doubtful else CONFINEMENT_S
    reason = f"task of {likeliest.job}"
    if not book.is_confined(route, now_s):
        crash.suspicion = likeliest
    _confine(book, now_s, route, crash.at_s + for_s, reason)


def _is_plausible(book: CrashBook, task: TaskId, crashes: list[Crash]) -> bool:
    """Whether a task is a plausible cause of the crashes under it.

    Backend servers also crash of their own: many at once, such as by a loss of
    power, or one at any time of a task's run.
    """
    # Crashes read from the store have no ages.
    ages_s = [c.ages_s[task] for c in crashes if task in c.ages_s] or [0.0]
    if max(ages_s) > MAX_AGE_FACTOR * max(AGE_FLOOR_S, min(ages_s)):
        return False
    if any(_younger_share(task, c) > MAX_YOUNGER_SHARE for c in crashes):
        return False
    return not all(_may_be_own(book, crash, task.job) for crash in crashes)


def _younger_share(task: TaskId, crash: Crash) -> float:
    """Returns the share of other jobs' tasks that were started after a task."""
    others = [other for other in crash.ages_s if other.job != task.job]
    if task not in crash.ages_s or not others:
        return 0.0
    age_s = crash.ages_s[task]
    return sum(crash.ages_s[other] < age_s for other in others) / len(others)


def _may_be_own(book: CrashBook, crash: Crash, job: str) -> bool:
    """Whether a backend server may have crashed of its own, not under a job.

    Other crashes without the job speak for that: of other servers at the same
    time, or of the same server a short time ago.
    """
    for other in book.crashes.values():
        if other is crash or not other.agent or job in other.jobs:
            continue
        apart_s = abs(other.at_s - crash.at_s)
        if other.agent != crash.agent and apart_s <= COINCIDENCE_S:
            return True
        is_explained = other.blamed or other.presumed
        is_relapse = other.agent == crash.agent and apart_s <= RELAPSE_S
        if is_relapse and not is_explained:
            return True
    return False


def _review_suspicions(book: CrashBook, now_s: float, crash: Crash) -> None:
    """Releases routes whose suspicion a crash at the same time refutes."""
    for other in tuple(book.crashes.values()):
        task = other.suspicion
        if task is None or abs(other.at_s - crash.at_s) > COINCIDENCE_S:
            continue
        if _is_plausible(book, task, _evidence(book, task) or [other]):
            continue
        other.suspicion = None
        route = other.routes[task]
        for each in book.of_task(task):
            if each.presumed == task.job:
                each.presumed = ""
        if book.is_confined(route, now_s):
            logs.info("route_released", route=route, reason="crashes coincide")
            del book.confined_until_s[route], book.confined_since_s[route]


def _evidence(book: CrashBook, task: TaskId) -> list[Crash]:
    """Returns the crashes that speak against a task."""
    return [crash for crash in book.unexplained(task) if crash.is_certain]


def _prolong_confinement(book: CrashBook, now_s: float, crash: Crash) -> None:
    """Prolongs the confinement of a route that alone took part in a crash."""
    routes = {crash.routes[task] for task in crash.suspects}
    if len(routes) == 1 and book.is_confined(*routes, now_s):
        until_s = crash.at_s + CONFINEMENT_S
        _confine(book, now_s, *routes, until_s, "further crash")


def _confine(
    book: CrashBook, now_s: float, route: str, until_s: float, reason: str
) -> None:
    if until_s <= now_s:
        return
    if not book.is_confined(route, now_s):
        logs.warning(
            "route_confined", route=route, reason=reason, for_s=until_s - now_s
        )
        book.confined_since_s[route] = now_s
        book.confinements += 1
    book.confined_until_s[route] = max(
        until_s, book.confined_until_s.get(route, 0.0)
    )


def summary(book: CrashBook, now_s: float) -> CrashSummary:
    """Returns what an entry that has just started should know."""
    return CrashSummary(
        tuple(
            ConfinedRoute(route, int((until_s - now_s) * 1000))
            for route, until_s in book.confined_until_s.items()
            if until_s > now_s
        ),
        tuple(book.blamed_jobs),
        tuple(
            CrashedAgent(agent, int((now_s - at_s) * 1000))
            for agent, at_s in book.last_crash_s.items()
        ),
    )


def adopt(book: CrashBook, now_s: float, known: CrashSummary) -> None:
    """Adopts what another entry knows."""
    for confined in known.confined:
        until_s = now_s + confined.for_ms / 1000
        _confine(book, now_s, confined.route, until_s, "told by an entry")
    for job in known.blamed_jobs:
        book.blamed_jobs.setdefault(job, now_s)
    for crashed in known.agents:
        at_s = now_s - crashed.age_ms / 1000
        last_s = book.last_crash_s.get(crashed.agent, at_s)
        book.last_crash_s[crashed.agent] = max(last_s, at_s)


def sweep(book: CrashBook, now_s: float) -> set[str]:
    """Removes what is too old to matter.

    Returns:
        The jobs that are blamed because an incarnation did not answer again.
    """
    if now_s - book.last_sweep_s < SWEEP_INTERVAL_S:
        return set()
    book.last_sweep_s = now_s
    blamed = set()
    for incarnation, crash in tuple(book.crashes.items()):
        if now_s - crash.at_s >= RETENTION_S:
            _remove(book, incarnation)
        elif not crash.is_certain and now_s - crash.at_s >= SILENCE_S:
            crash.is_certain = True
            blamed |= _conclude(book, now_s, incarnation)
    for table in (book.blamed_jobs, book.last_crash_s):
        for name, at_s in tuple(table.items()):
            if now_s - at_s >= RETENTION_S:
                del table[name]
    for route, until_s in tuple(book.confined_until_s.items()):
        if now_s >= until_s:
            logs.info("route_released", route=route)
            del book.confined_until_s[route], book.confined_since_s[route]
    return blamed
