"""The life cycle of a job, from its submission to its answer."""

import dataclasses
import math
import types
from collections.abc import Mapping

from egretthread import logs
from egretthread.scheduling import (
    admission,
    dispatch,
    expectedrates,
    forwarding,
    longruns,
    pendingcounts,
    retryplan,
    runnumbers,
    shares,
    waitingload,
    waitorder,
)
from egretthread.scheduling.entryboard import (
    AgentView,
    Answer,
    EntryBoard,
    Job,
    Outcome,
    Task,
    TaskState,
)
from egretthread.scheduling.jobrecord import JobState
from egretthread.scheduling.jobspec import JobSpec, Route
from egretthread.scheduling.placing import Candidate
from egretthread.scheduling.runmessage import RunEnd, RunReport, StopRuns

# Time between two reviews of the waiting jobs.
REVIEW_INTERVAL_S = 0.1
# Maximum number of times that a slow run of a task is stopped and restarted.
MAX_MOVES = 2
# A slow run is moved if its remaining time is at least this many times the
# time of a new run.
MIN_MOVE_GAIN = 1.5
# Assumed remaining time of a run that makes no progress.
STALLED_REMAINING_S = 10.0
# Cost of moving a run besides the work that is lost.
MOVE_OVERHEAD_S = 0.05
# State of a kept job by its outcome.
STATE_BY_OUTCOME = {
    Outcome.COMPLETED: JobState.COMPLETED,
    Outcome.FAILED: JobState.FAILED,
    Outcome.CANCELLED: JobState.CANCELLED,
}
# Reason of the answer to a job with a task that crashes backend servers.
CRASHED_REASON = "a task crashes backend servers"
# Reason of the answer to a job that is refused when it is submitted.
OVERLOAD_REASON = "overload"
# Delay before a retry that is recommended while there is no backend server.
NO_SERVER_RETRY_S = 2.0
# Reason of the answer to a waiting job that can no longer be answered in time.
NO_ROOM_REASON = "no room in time"
# Reason of the answer to a job whose caller has already stopped waiting.
NO_TIME_REASON = "no time left"


@dataclasses.dataclass(frozen=True)
class _Check:
    """The load that a job meets at its submission, and the refusal if any."""

    load: admission.Load
    slack_s: float
    refusal: Answer | None = None


def submit(
    board: EntryBoard, spec: JobSpec, route: Route, wait_limit_s: float
) -> Answer | None:
    """Accepts a job, or returns the answer when it is refused at once.

    A job that is already open gets the later of both deadlines.
    """
    if spec.job in board.crashes.blamed_jobs:
        return Answer(spec.job, Outcome.FAILED, CRASHED_REASON)
    if forwarding.join(board, spec.job, wait_limit_s):
        return None
    known = board.jobs.get(spec.job)
    if known is not None:
        known.deadline_s = max(known.deadline_s, board.now_s + wait_limit_s)
        return None
    if wait_limit_s <= 0:
        board.counters["jobs_refused"] += 1
        logs.info(
            "job_refused",
            job=spec.job,
            reason=NO_TIME_REASON,
            route=route.name,
            late_s=-wait_limit_s,
        )
        return Answer(spec.job, Outcome.REFUSED, NO_TIME_REASON)
    critical_s = critical_path_s(spec, _expected_s(board, spec, route))
    slack_s = _slack_s(route, critical_s)
    is_returning = board.load.spread_retries and retryplan.claim(
        board, spec.job
    )
    lead_s = slack_s if is_returning else 0.0
    check = _check_admission(
        board, spec, route, critical_s, wait_limit_s, lead_s
    )
    if _forward(board, spec, route, wait_limit_s, check):
        return None
    if check.refusal is not None:
        return _refuse(board, spec, route, critical_s, check)
    job = new_job(board, spec, route, wait_limit_s)
    job.lead_s = lead_s
    open_job(board, job)
    dispatch.dispatch_waiting(board)
    return None


def _forward(
    board: EntryBoard,
    spec: JobSpec,
    route: Route,
    wait_limit_s: float,
    check: _Check,
) -> bool:
    """Passes a job on that is refused or late here; returns whether it was."""
    if not board.load.forward_jobs:
        return False
    wait_s = admission.expected_wait_s(check.load, check.slack_s)
    if check.refusal is None and wait_s <= check.slack_s:
        return False
    job = new_job(board, spec, route, wait_limit_s)
    critical_s = critical_path_s(spec, job.expected_s)
    return forwarding.forward_job(board, job, critical_s, wait_s, check.refusal)


def new_job(
    board: EntryBoard,
    spec: JobSpec,
    route: Route,
    wait_limit_s: float = math.inf,
) -> Job:
    """Returns a new job, accepted now, with none of its tasks done."""
    expected_s = _expected_s(board, spec, route)
    critical_s = critical_path_s(spec, expected_s)
    job = Job(
        spec,
        route,
        board.now_s,
        board.now_s + wait_limit_s,
        board.now_s + route.stretch * critical_s + route.objective_s,
        expected_s,
        share=shares.find(board.load, route),
    )
    job.tasks = tuple(
        [Task(job, number, index) for index in range(step.count)]
        for number, step in enumerate(spec.steps)
    )
    return job


def open_job(board: EntryBoard, job: Job) -> None:
    """Opens a job: its tasks that are not done may be dispatched."""
    board.jobs[job.id] = job
    _advance(board, job)


def _expected_s(
    board: EntryBoard, spec: JobSpec, route: Route
) -> tuple[float, ...]:
    """Returns the expected run time of a task of each step."""
    return tuple(
        board.run_times.expected_s(route.name, step.estimated_s)
        for step in spec.steps
    )


def critical_path_s(spec: JobSpec, expected_s: tuple[float, ...]) -> float:
    """Returns the expected run time of a job's critical path of steps."""
    ends: list[float] = []
    for step, run_s in zip(spec.steps, expected_s, strict=True):
        start_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(start_s + run_s)
    return max(ends, default=0.0)


def _slack_s(route: Route, critical_s: float) -> float:
    """Returns how long a new job may wait and still meet its objective."""
    return (route.stretch - 1) * critical_s + route.objective_s


def _work_cpu_s(spec: JobSpec, critical_s: float) -> float:
    """Returns the work of a job's first steps."""
    return sum(
        step.count * step.room.cpu * critical_s
        for step in spec.steps
        if not step.after
    )


def _retry_after_s(
    board: EntryBoard,
    spec: JobSpec,
    route: Route,
    critical_s: float,
    load: admission.Load,
    slack_s: float,
) -> float:
    """Returns the delay that is recommended to a refused caller."""
    if not board.load.spread_retries or board.is_shutting_down:
        return admission.retry_after_s(load, slack_s)
    share = shares.find(board.load, route)
    work_cpu_s = _work_cpu_s(spec, critical_s)
    return retryplan.book(board, spec.job, route, share, work_cpu_s, load)


def _check_admission(
    board: EntryBoard,
    spec: JobSpec,
    route: Route,
    critical_s: float,
    wait_limit_s: float,
    lead_s: float,
) -> _Check:
    """Returns the load that a job meets, and its answer if it is refused."""
    slack_s = _slack_s(route, critical_s)
    work_cpu_s = _work_cpu_s(spec, critical_s)
    expectedrates.note_arrival(board, route.priority, work_cpu_s)
    board.demand.add(board.now_s, route.name, work_cpu_s)
    load = waitingload.load(
        board, route, board.now_s + slack_s, work_cpu_s, lead_s
    )
    if load.usable_cpu <= 0 and not load.is_starting:
        is_confined = board.crashes.is_confined(route.name, board.now_s)
        reason = "route confined" if is_confined else "no backend server"
        answer = Answer(spec.job, Outcome.REFUSED, reason, NO_SERVER_RETRY_S)
        return _Check(load, slack_s, answer)
    if board.is_shutting_down:
        wait_limit_s = min(wait_limit_s, board.shutdown_end_s - board.now_s)
    if admission.must_refuse(load, slack_s, critical_s, wait_limit_s):
        retry_s = admission.retry_after_s(load, slack_s)
        answer = Answer(spec.job, Outcome.REFUSED, OVERLOAD_REASON, retry_s)
        return _Check(load, slack_s, answer)
    return _Check(load, slack_s)


def _refuse(
    board: EntryBoard,
    spec: JobSpec,
    route: Route,
    critical_s: float,
    check: _Check,
) -> Answer:
    """Returns the answer to a refused job, and logs its cause."""
    answer = check.refusal
    # A job that asks for less time than it takes is refused without any load.
    wait_s = admission.expected_wait_s(check.load, check.slack_s)
    if answer.reason == OVERLOAD_REASON and wait_s > 0:
        retry_s = _retry_after_s(
            board, spec, route, critical_s, check.load, check.slack_s
        )
        answer = dataclasses.replace(answer, retry_after_s=retry_s)
    _log_refusal(board, answer, route, check.load, check.slack_s)
    return answer


def _unblock(board: EntryBoard, job: Job) -> None:
    """Enqueues the blocked tasks whose preceding steps are done."""
    is_done = [
        all(task.state is TaskState.DONE for task in tasks)
        for tasks in job.tasks
    ]
    for tasks, step in zip(job.tasks, job.spec.steps, strict=True):
        if not all(is_done[number] for number in step.after):
            continue
        for task in tasks:
            if task.state is TaskState.BLOCKED:
                enqueue(board, task)


def enqueue(board: EntryBoard, task: Task) -> None:
    """Adds a task to those that wait to be dispatched."""
    task.state = TaskState.WAITING
    task.waiting_since_s = board.now_s
    board.waiting.append(task)


def on_run_ended(
    board: EntryBoard, view: AgentView, task: Task, report: RunReport
) -> None:
    """Completes a run's task, or enqueues it again unless its job failed."""
    job = task.job
    if board.jobs.get(job.id) is not job or task.attempt != report.attempt:
        return
    if report.end is RunEnd.DONE:
        record_done(board, task, report)
        return
    if report.end is RunEnd.FAILED:
        record_failure(board, view, task, report)
    if board.jobs.get(job.id) is not job:
        return
    if not job.spec.kept:
        enqueue(board, task)
    elif report.end is RunEnd.REFUSED:
        runnumbers.on_refused(task)
        enqueue(board, task)
    else:
        pendingcounts.on_run_lost(board, task, report.run_ms)
        # It is enqueued once the store has the number of that run.
        task.state = TaskState.RECORDING
        board.kept.record_run(task)


def record_failure(
    board: EntryBoard, view: AgentView, task: Task, report: RunReport
) -> None:
    """Counts a failed run; fails the job when the route allows no more."""
    job = task.job
    task.failures += 1
    task.avoided_agents.add(view.node)
    logs.info(
        "run_failed",
        job=job.id,
        attempt=report.attempt,
        agent=view.node,
        failures=task.failures,
        allowed=job.route.max_attempts,
    )
    if task.failures >= job.route.max_attempts:
        close(board, job, Answer(job.id, Outcome.FAILED, "task failed"))


def fail_blamed(board: EntryBoard, job_id: str) -> None:
    """Fails a job, if it is open here, that crashes backend servers."""
    job = board.jobs.get(job_id)
    logs.warning("job_blamed", job=job_id, is_open=job is not None)
    board.counters["jobs_blamed"] += 1
    if job is not None:
        close(board, job, Answer(job_id, Outcome.FAILED, CRASHED_REASON))


def record_done(board: EntryBoard, task: Task, report: RunReport) -> None:
    """Marks a task as done and advances its job."""
    job = task.job
    task.state = TaskState.DONE
    # The run time is not corrected for the speed of the backend server, since
    # speeds are themselves measured relative to the learned run times.
    board.run_times.update(
        job.route.name,
        task.spec.estimated_s,
        report.run_ms / 1000 / task.run_time_factor,
    )
    if board.load.server_speeds:
        _record_work(board, task, report)
    _advance(board, job)


def _record_work(board: EntryBoard, task: Task, report: RunReport) -> None:
    """Records the run time of a task at speed 1.

    The first of its step counts for its route, as the others are as long.
    """
    job = task.job
    view = board.agents.get(task.agent)
    speed = view.speed if view else 1.0
    task.work_s = report.run_ms / 1000 * speed / task.run_time_factor
    done = sum(t.state is TaskState.DONE for t in job.tasks[task.step])
    if done == 1:
        spread = board.spreads[job.route.name]
        spread.record(job.expected_s[task.step], task.work_s)


def _advance(board: EntryBoard, job: Job) -> None:
    """Closes a job if all its tasks are done, else unblocks its next steps."""
    if all(t.state is TaskState.DONE for tasks in job.tasks for t in tasks):
        close(board, job, Answer(job.id, Outcome.COMPLETED))
    elif job.id in board.jobs:
        _unblock(board, job)


def on_slow_run(
    board: EntryBoard, view: AgentView, task: Task, report: RunReport
) -> None:
    """Stops a slow run if a new run elsewhere should end much sooner."""
    job = task.job
    if task.state is not TaskState.ORDERED or task.move_count >= MAX_MOVES:
        return
    age_s = report.run_ms / 1000
    remaining_s = age_s * (100 - report.percent) / max(1, report.percent)
    # A task that is inherently long takes long on every backend server. A new
    # run is shorter only as far as this backend server is slower than average.
    projected_s = (age_s + remaining_s) * min(1.0, view.speed)
    restart_s = max(job.expected_s[task.step], projected_s) + MOVE_OVERHEAD_S
    is_stalled = report.end is RunEnd.STALLED
    if is_stalled:
        remaining_s = STALLED_REMAINING_S
        restart_s = job.expected_s[task.step] + MOVE_OVERHEAD_S
    other = dispatch.capacity_elsewhere(board, task)
    # What a stalled run has run, and how long its job is, don't count: it may
    # never end where it is.
    is_weighed = board.load.server_speeds and not is_stalled
    if is_weighed:
        restart_s = _restart_s(board, view, task, report, other)
    logs.info(
        "slow_run",
        job=job.id,
        attempt=report.attempt,
        agent=view.node,
        percent=report.percent,
        speed=view.speed,
        age_s=age_s,
        left_s=remaining_s,
        again_s=restart_s,
        room_elsewhere=other is not None,
    )
    board.counters["slow_runs_checked"] += 1
    if other is None or remaining_s < MIN_MOVE_GAIN * restart_s:
        return
    if is_weighed:
        slack_s = job.objective_s - board.now_s
        case = longruns.MoveCase(
            age_s, view.speed, remaining_s, restart_s, slack_s
        )
        if not longruns.is_worth_moving(case):
            board.counters["moves_declined"] += 1
            return
    board.counters["runs_moved"] += 1
    board.counters["moved_run_ms"] += report.run_ms
    task.move_count += 1
    task.state = TaskState.STOPPING
    task.avoided_agents.add(view.node)
    board.outbox.append((view.node, StopRuns(job.id, (report.attempt,))))


def _restart_s(
    board: EntryBoard,
    view: AgentView,
    task: Task,
    report: RunReport,
    other: Candidate | None,
) -> float:
    """Returns how long a new run of a slow task takes on another agent."""
    job = task.job
    siblings = job.tasks[task.step]
    running = [
        sibling
        for sibling in siblings
        if sibling is not task and sibling.state is TaskState.ORDERED
    ]
    # A sibling's age is not known, but no run has started after this.
    age_s = board.now_s - job.last_dispatch_s
    speeds = [
        board.agents[sibling.agent].speed
        for sibling in running
        if sibling.agent in board.agents
    ]
    projected_s = report.run_ms / 10 / max(1, report.percent) * view.speed
    work_s = longruns.work_s(
        board.spreads[job.route.name],
        job.expected_s[task.step],
        projected_s,
        [sibling.work_s for sibling in siblings if sibling.work_s],
        age_s * max(speeds, default=0.0),
    )
    speed = min(1.0, other.speed) if other else 1.0
    return work_s / speed + MOVE_OVERHEAD_S


def expire(board: EntryBoard) -> None:
    """Gives up the jobs whose deadline has passed; reviews the waiting jobs."""
    for job in tuple(board.jobs.values()):
        if board.now_s >= answer_deadline_s(board, job):
            give_up(board, job, "deadline")
    if board.now_s - board.last_review_s >= REVIEW_INTERVAL_S:
        board.last_review_s = board.now_s
        _review(board)


def answer_deadline_s(board: EntryBoard, job: Job) -> float:
    """Returns the time by which a job must be answered."""
    if board.is_shutting_down:
        return min(job.deadline_s, board.shutdown_end_s)
    return job.deadline_s


def _review(board: EntryBoard) -> None:
    """Gives up waiting jobs that can no longer be answered in time.

    The work that goes before them is expected to take too long. While all
    backend servers are lost, jobs go to other entries that have capacity.
    """
    refused_jobs = []
    forwarded_jobs = []
    reviewed_ids = set()
    leaving = set()
    for task, load in waitingload.iter_loads(board, leaving):
        job = task.job
        if job.id in reviewed_ids or job.may_have_started:
            continue
        reviewed_ids.add(job.id)
        critical_s = critical_path_s(job.spec, job.expected_s)
        left_s = answer_deadline_s(board, job) - board.now_s
        slack_s = waitorder.latest_s(task) - board.now_s
        if load.is_out:
            wait_s = admission.expected_wait_s(load, slack_s)
            if forwarding.forward_job(board, job, critical_s, wait_s, None):
                forwarded_jobs.append(job)
                leaving.add(job.id)
                continue
        if admission.must_refuse(load, slack_s, critical_s, left_s):
            refused_jobs.append(job)
            leaving.add(job.id)
            _log_no_room(board, job, load, slack_s, left_s)
    for job in forwarded_jobs:
        drop(board, job)
    for job in refused_jobs:
        give_up(board, job, NO_ROOM_REASON)


def _log_no_room(
    board: EntryBoard,
    job: Job,
    load: admission.Load,
    slack_s: float,
    left_s: float,
) -> None:
    """Logs what a waiting job is given up for."""
    board.counters["refused_no_room_in_time"] += 1
    logs.info(
        "no_room_in_time",
        job=job.id,
        slack_s=slack_s,
        left_s=left_s,
        wait_s=admission.expected_wait_s(load, slack_s),
        ahead_cpu_s=load.ahead_cpu_s / 1000,
        usable_cpu=load.usable_cpu / 1000,
    )


def give_up(board: EntryBoard, job: Job, reason: str) -> None:
    """Answers a job that is not completed and recommends a retry delay."""
    outcome = Outcome.REFUSED
    if job.may_have_started:
        outcome = Outcome.GIVEN_UP
    critical_s = critical_path_s(job.spec, job.expected_s)
    slack_s = job.objective_s - job.accepted_s - critical_s
    load = waitingload.load(board, job.route, board.now_s + slack_s)
    if reason == NO_ROOM_REASON and outcome is Outcome.REFUSED:
        retry_s = admission.retry_after_s(load, slack_s)
        answer = Answer(job.id, outcome, reason, retry_s)
        wait_s = admission.expected_wait_s(load, slack_s)
        if forwarding.forward_job(board, job, critical_s, wait_s, answer):
            drop(board, job)
            return
    share_fields = {}
    if outcome is Outcome.REFUSED:
        retry_s = _retry_after_s(
            board, job.spec, job.route, critical_s, load, slack_s
        )
        share_fields = shares.on_refused(board, job.route, load.usable_cpu)
    else:
        retry_s = admission.retry_after_s(load, slack_s)
    answer = Answer(job.id, outcome, reason, retry_s)
    close(board, job, answer, share_fields)


def close(
    board: EntryBoard,
    job: Job,
    answer: Answer,
    share_fields: Mapping[str, object] = types.MappingProxyType({}),
) -> None:
    """Answers a job, stops its runs and removes it.

    The outcome of a kept job is recorded instead, to be written to the store.

    Args:
        board: The blackboard.
        job: The job.
        answer: Its answer.
        share_fields: What the log tells of its share, if it is refused.
    """
    drop(board, job)
    if job.spec.kept:
        state = STATE_BY_OUTCOME[answer.outcome]
        board.kept.record_end(job.id, state, board.unix_s)
    else:
        board.answers.append(answer)
    forwarding.on_closed(board, job, answer)
    board.samples.append(("job_seconds", board.now_s - job.accepted_s))
    _log_answer(board, answer, job, share_fields)


def drop(board: EntryBoard, job: Job) -> None:
    """Stops the runs of a job and removes it without an answer."""
    board.jobs.pop(job.id, None)
    shares.on_dropped(board, job)
    board.waiting = [task for task in board.waiting if task.job is not job]
    stops: dict[str, list[int]] = {}
    for view in board.agents.values():
        for attempt, task in tuple(view.tasks.items()):
            if task.job is job:
                del view.tasks[attempt]
                shares.on_ended(board, task)
                stops.setdefault(view.node, []).append(attempt)
                orphans = board.orphaned_runs.setdefault(job.id, {})
                orphans[attempt] = view.fence_s
    for node, attempts in stops.items():
        board.outbox.append((node, StopRuns(job.id, tuple(attempts))))


def _log_refusal(
    board: EntryBoard,
    answer: Answer,
    route: Route,
    load: admission.Load,
    slack_s: float,
) -> None:
    """Logs a refusal with the load that caused it."""
    board.counters["jobs_refused"] += 1
    board.counters[f"refused_{answer.reason.replace(' ', '_')}"] += 1
    logs.info(
        "job_refused",
        job=answer.job,
        reason=answer.reason,
        route=route.name,
        retry_after_s=answer.retry_after_s,
        slack_s=slack_s,
        wait_s=admission.expected_wait_s(load, slack_s),
        ahead_cpu_s=load.ahead_cpu_s / 1000,
        rate_cpu=load.dispatch_rate / 1000,
        left_over_cpu=load.surplus_rate / 1000,
        usable_cpu=load.usable_cpu / 1000,
        config_version=board.operator_state.version,
        **shares.on_refused(board, route, load.usable_cpu),
    )


def _log_answer(
    board: EntryBoard,
    answer: Answer,
    job: Job,
    share_fields: Mapping[str, object],
) -> None:
    board.counters[f"jobs_{answer.outcome.value}"] += 1
    logs.info(
        "job_answered",
        job=answer.job,
        outcome=answer.outcome,
        reason=answer.reason,
        retry_after_s=answer.retry_after_s,
        took_s=board.now_s - job.accepted_s,
        objective_left_s=job.objective_s - board.now_s,
        patience_s=job.deadline_s - job.accepted_s,
        route=job.route.name,
        expected_s=max(job.expected_s),
        handed_s=max(0.0, job.last_dispatch_s - job.accepted_s),
        tasks=sum(len(tasks) for tasks in job.tasks),
        runs=job.runs,
        config_version=board.operator_state.version,
        **share_fields,
    )
