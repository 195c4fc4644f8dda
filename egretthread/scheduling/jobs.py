"""A job's way from its submission to its answer."""

import math

from egretthread import logs
from egretthread.scheduling import handout, intake, waitorder
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
from egretthread.scheduling.runmessage import RunEnd, RunReport, StopRuns

# Time between two reviews of the jobs that wait, in seconds.
REVIEW_S = 0.1
# Times that a task is stopped for being slow, at most.
MAX_MOVES = 2
# A slow run is moved when starting over is expected to end this much sooner.
MOVE_GAIN = 1.5
# How long a run that stands still is expected to go on so, in seconds.
STALLED_S = 10.0
# What a move costs besides the work thrown away, in seconds.
MOVE_S = 0.05
# State of a kept job that was answered so.
FINAL_STATES = {
    Outcome.COMPLETED: JobState.COMPLETED,
    Outcome.FAILED: JobState.FAILED,
    Outcome.CANCELLED: JobState.CANCELLED,
}
# A caller that can't be served for lack of backend servers is told this.
NO_SERVER_RETRY_S = 2.0


def submit(
    board: EntryBoard, spec: JobSpec, route: Route, patience_s: float
) -> Answer | None:
    """Takes a job; returns the answer when it is refused at once."""
    known = board.jobs.get(spec.job)
    if known is not None:
        known.deadline_s = max(known.deadline_s, board.now_s + patience_s)
        return None
    chain_s = chain_length_s(spec, _expected_s(board, spec, route))
    refusal = _refusal(board, spec, route, chain_s, patience_s)
    if refusal is not None:
        return refusal
    open_job(board, new_job(board, spec, route, patience_s))
    handout.run(board)
    return None


def new_job(
    board: EntryBoard,
    spec: JobSpec,
    route: Route,
    patience_s: float = math.inf,
) -> Job:
    """Returns a job that came just now, with none of its tasks done."""
    expected_s = _expected_s(board, spec, route)
    chain_s = chain_length_s(spec, expected_s)
    job = Job(
        spec,
        route,
        board.now_s,
        board.now_s + patience_s,
        board.now_s + route.stretch * chain_s + route.objective_s,
        expected_s,
    )
    job.tasks = tuple(
        [Task(job, number, index) for index in range(step.count)]
        for number, step in enumerate(spec.steps)
    )
    return job


def open_job(board: EntryBoard, job: Job) -> None:
    """Lets a job's tasks be handed out, but for those that are done."""
    board.jobs[job.id] = job
    _go_on(board, job)


def _expected_s(
    board: EntryBoard, spec: JobSpec, route: Route
) -> tuple[float, ...]:
    """Returns the expected run time of a task, by step."""
    return tuple(
        board.run_times.expected_s(route.name, step.estimated_s)
        for step in spec.steps
    )


def chain_length_s(spec: JobSpec, expected_s: tuple[float, ...]) -> float:
    """Returns the run time of a job's longest chain of steps."""
    ends: list[float] = []
    for step, run_s in zip(spec.steps, expected_s, strict=True):
        begin_s = max((ends[number] for number in step.after), default=0.0)
        ends.append(begin_s + run_s)
    return max(ends, default=0.0)


def _refusal(
    board: EntryBoard, spec: JobSpec, route: Route, chain_s, patience_s
) -> Answer | None:
    """Returns why a job is refused, None when it is taken."""
    slack_s = (route.stretch - 1) * chain_s + route.objective_s
    work = sum(
        step.count * step.room.cpu * chain_s
        for step in spec.steps
        if not step.after
    )
    board.arrived.note(board.now_s, route.priority, work)
    load = handout.load(board, route, board.now_s + slack_s, work)
    if load.usable_cpu <= 0 and not load.is_starting:
        answer = Answer(
            spec.job, Outcome.REFUSED, "no backend server", NO_SERVER_RETRY_S
        )
        _log_refusal(board, answer, route, load, slack_s)
        return answer
    if board.is_closing:
        patience_s = min(patience_s, board.closing_s - board.now_s)
    if intake.must_refuse(load, slack_s, chain_s, patience_s):
        retry_s = intake.retry_after_s(load, slack_s)
        answer = Answer(spec.job, Outcome.REFUSED, "overload", retry_s)
        _log_refusal(board, answer, route, load, slack_s)
        return answer
    return None


def _unblock(board: EntryBoard, job: Job) -> None:
    """Makes the tasks wait whose earlier steps are done."""
    done = [
        all(task.state is TaskState.DONE for task in tasks)
        for tasks in job.tasks
    ]
    for tasks, step in zip(job.tasks, job.spec.steps, strict=True):
        if not all(done[number] for number in step.after):
            continue
        for task in tasks:
            if task.state is TaskState.BLOCKED:
                wait(board, task)


def wait(board: EntryBoard, task: Task) -> None:
    """Puts a task among those that wait for room."""
    task.state = TaskState.WAITING
    task.waits_s = board.now_s
    board.waiting.append(task)


def on_end(
    board: EntryBoard, view: AgentView, task: Task, row: RunReport
) -> None:
    """Takes in the end of a run."""
    job = task.job
    if board.jobs.get(job.id) is not job or task.attempt != row.attempt:
        return
    if row.end is RunEnd.DONE:
        note_done(board, task, row)
        return
    if row.end is RunEnd.FAILED:
        note_failure(board, view, task, row)
    if board.jobs.get(job.id) is job:
        wait(board, task)


def note_failure(
    board: EntryBoard, view: AgentView, task: Task, row: RunReport
) -> None:
    """Counts a run that failed; too many of them fail the job."""
    job = task.job
    task.failures += 1
    task.avoided.add(view.node)
    logs.info(
        "run_failed",
        job=job.id,
        attempt=row.attempt,
        agent=view.node,
        failures=task.failures,
        allowed=job.route.max_attempts,
    )
    if task.failures >= job.route.max_attempts:
        close(board, job, Answer(job.id, Outcome.FAILED, "task failed"))


def note_done(board: EntryBoard, task: Task, row: RunReport) -> None:
    """Notes that a task is done."""
    job = task.job
    task.state = TaskState.DONE
    # Speeds are told against what this learns, so they must not enter it.
    board.run_times.note(
        job.route.name,
        task.spec.estimated_s,
        row.run_ms / 1000 / task.stretch,
    )
    _go_on(board, job)


def _go_on(board: EntryBoard, job: Job) -> None:
    """Ends a job of which everything is done, else unblocks what it can."""
    if all(t.state is TaskState.DONE for tasks in job.tasks for t in tasks):
        close(board, job, Answer(job.id, Outcome.COMPLETED))
    elif job.id in board.jobs:
        _unblock(board, job)


def on_slow(
    board: EntryBoard, view: AgentView, task: Task, row: RunReport
) -> None:
    """Moves a run that would end much sooner if it started over elsewhere."""
    job = task.job
    if task.state is not TaskState.ORDERED or task.moves >= MAX_MOVES:
        return
    age_s = row.run_ms / 1000
    left_s = age_s * (100 - row.percent) / max(1, row.percent)
    # A task that is long is so everywhere: only what the backend server
    # lacks in speed is gained by starting over.
    headed_s = (age_s + left_s) * min(1.0, view.speed)
    again_s = max(job.expected_s[task.step], headed_s) + MOVE_S
    if row.end is RunEnd.STALLED:
        left_s = STALLED_S
        again_s = job.expected_s[task.step] + MOVE_S
    other = handout.has_room_elsewhere(board, task)
    logs.info(
        "slow_run",
        job=job.id,
        attempt=row.attempt,
        agent=view.node,
        percent=row.percent,
        speed=view.speed,
        age_s=age_s,
        left_s=left_s,
        again_s=again_s,
        room_elsewhere=other,
    )
    if not other or left_s < MOVE_GAIN * again_s:
        return
    task.moves += 1
    task.state = TaskState.STOPPING
    task.avoided.add(view.node)
    board.outbox.append((view.node, StopRuns(job.id, (row.attempt,))))


def expire(board: EntryBoard) -> None:
    """Gives up the jobs that can't be answered in time any more."""
    for job in tuple(board.jobs.values()):
        if board.now_s >= limit_s(board, job):
            give_up(board, job, "deadline")
    if board.now_s - board.reviewed_s >= REVIEW_S:
        board.reviewed_s = board.now_s
        _review(board)


def limit_s(board: EntryBoard, job: Job) -> float:
    """Returns when a job must have been answered."""
    if board.is_closing:
        return min(job.deadline_s, board.closing_s)
    return job.deadline_s


def _review(board: EntryBoard) -> None:
    """Refuses the jobs that wait in vain: others will get the room first."""
    doomed = []
    seen = set()
    for task, load in handout.loads(board):
        job = task.job
        if job.id in seen or job.may_have_started:
            continue
        seen.add(job.id)
        chain_s = chain_length_s(job.spec, job.expected_s)
        left_s = limit_s(board, job) - board.now_s
        slack_s = waitorder.latest_s(task) - board.now_s
        if intake.must_refuse(load, slack_s, chain_s, left_s):
            doomed.append(job)
    for job in doomed:
        give_up(board, job, "no room in time")


def give_up(board: EntryBoard, job: Job, reason: str) -> None:
    """Answers a job that is not completed."""
    outcome = Outcome.REFUSED
    if job.may_have_started:
        outcome = Outcome.GIVEN_UP
    chain_s = chain_length_s(job.spec, job.expected_s)
    slack_s = job.objective_s - job.accepted_s - chain_s
    load = handout.load(board, job.route, board.now_s + slack_s)
    retry_s = intake.retry_after_s(load, slack_s)
    close(board, job, Answer(job.id, outcome, reason, retry_s))


def close(board: EntryBoard, job: Job, answer: Answer) -> None:
    """Answers a job and stops what still runs of it."""
    drop(board, job)
    if job.spec.kept:
        state = FINAL_STATES[answer.outcome]
        board.kept.note_end(job.id, state, board.unix_s)
    else:
        board.answers.append(answer)
    board.samples.append(("job_seconds", board.now_s - job.accepted_s))
    _log_answer(board, answer, job)


def drop(board: EntryBoard, job: Job) -> None:
    """Stops what still runs of a job and forgets it."""
    board.jobs.pop(job.id, None)
    board.waiting = [task for task in board.waiting if task.job is not job]
    stops: dict[str, list[int]] = {}
    for view in board.agents.values():
        for attempt, task in tuple(view.tasks.items()):
            if task.job is job:
                del view.tasks[attempt]
                stops.setdefault(view.node, []).append(attempt)
                left = board.leftovers.setdefault(job.id, {})
                left[attempt] = view.fence_s
    for node, attempts in stops.items():
        board.outbox.append((node, StopRuns(job.id, tuple(attempts))))


def _log_refusal(
    board: EntryBoard,
    answer: Answer,
    route: Route,
    load: intake.Load,
    slack_s: float,
) -> None:
    """Logs a refusal with what decided it."""
    board.counters["jobs_refused"] += 1
    board.counters[f"refused_{answer.reason.replace(' ', '_')}"] += 1
    logs.info(
        "job_refused",
        job=answer.job,
        reason=answer.reason,
        route=route.name,
        retry_after_s=answer.retry_after_s,
        slack_s=slack_s,
        wait_s=intake.wait_s(load, slack_s),
        ahead_cpu_s=load.ahead_cpu_s / 1000,
        rate_cpu=load.rate / 1000,
        left_over_cpu=load.left_over / 1000,
        usable_cpu=load.usable_cpu / 1000,
        config_version=board.operator_state.version,
    )


def _log_answer(board: EntryBoard, answer: Answer, job: Job) -> None:
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
        handed_s=max(0.0, job.handed_s - job.accepted_s),
        tasks=sum(len(tasks) for tasks in job.tasks),
        runs=job.runs,
        config_version=board.operator_state.version,
    )
