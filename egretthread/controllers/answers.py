"""Entry controller: final answers, refusals and cancellation of jobs."""

import dataclasses

from egretthread import message, outcome
from egretthread.blackboard import EntryBoard
from egretthread.controllers import dispatch, requests, rounds
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobState, Phase
from egretthread.outcome import JobAnswer, OutcomeKind
from egretthread.submission import Refusal

# The reason of tasks that are not run because their job was cancelled.
CANCELLED = "cancelled by its caller"
# Two clocks may differ by twice the bound on the error of a clock.
CLOCK_ERRORS = 2
# Phases in which a majority of the witnesses has accepted the job's content.
REGISTERED = (Phase.RUNNING, Phase.CLOSING, Phase.ANSWERED)

CONFLICT = Refusal(
    "key_conflict",
    "this job key was used before with other tasks",
    "use a new key for new tasks",
)


def outside_retention(board: EntryBoard, job: JobRef) -> Refusal:
    """Returns the refusal of a key that is too old or too new."""
    # The clock of a witness may be behind this entry's by both errors.
    errors_s = CLOCK_ERRORS * board.configuration.clock_error_s
    ahead_s = job.issued_s - board.unix_s + errors_s
    if ahead_s > 0.0:
        return Refusal(
            "key_in_future",
            "the time in the job key is in the future",
            "correct the clock, or submit again after the stated time",
            retry_after_s=ahead_s,
        )
    return Refusal(
        "key_expired",
        "the job key is older than the retention; its tasks may have run",
        "find out whether the job ran before using a new key",
    )


def refuse(board: EntryBoard, state: JobState, refusal: Refusal) -> None:
    """Drops a job at this entry and refuses it to its callers.

    The refusal states whether tasks may have started, since an entry that
    stepped down may have assigned tasks before.
    """
    # Tasks assigned for an earlier submission may still start.
    started = state.job in board.dispatched_jobs
    refusal = dataclasses.replace(refusal, started=started)
    del board.jobs[state.job]
    _release_quota(board, state)
    board.counters[f"refused_{refusal.kind}"] += 1
    _deliver(board, state.job, refusal)
    notify_waiting_entries(board, state.job, None)


def finish_if_settled(board: EntryBoard, state: JobState) -> None:
    """Answers a job once every task has an outcome.

    An incomplete answer is first recorded as final at the witnesses, so that
    no other coordinator starts a task that was reported as not run.
    """
    if state.phase is not Phase.RUNNING:
        return
    if len(state.outcomes) < len(state.submission.tasks):
        return
    complete = all(
        task_outcome.kind is OutcomeKind.DONE
        for task_outcome in state.outcomes.values()
    )
    if complete or state.registration.closed:
        finish(board, state)
        return
    _close(board, state)


def _close(board: EntryBoard, state: JobState) -> None:
    state.phase = Phase.CLOSING
    state.extension = None
    registration = message.Registration(
        state.submission.digest,
        state.ballot,
        state.agents,
        closed=True,
        not_run=not_run(state),
    )
    state.round = rounds.begin(board, state.job, message.Accept, registration)
    if state.round is None:
        finish_unclosed(board, state)


def not_run(state: JobState) -> tuple[int, ...]:
    """Returns the indices of the tasks that did not run and never will."""
    return tuple(
        index
        for index, task_outcome in sorted(state.outcomes.items())
        if task_outcome.kind is OutcomeKind.NOT_RUN
    )


def mark_all_not_run(board: EntryBoard, state: JobState) -> None:
    """Marks all tasks of a job that was registered as closed as not run."""
    for index in range(len(state.submission.tasks)):
        state.outcomes[index] = outcome.not_run(state.cancel_reason)


def finish_unclosed(board: EntryBoard, state: JobState) -> None:
    """Answers a job whose final state the witnesses could not record.

    Another coordinator may still start the tasks that were not started here,
    so they are reported as unknown.
    """
    for index in not_run(state):
        state.outcomes[index] = outcome.unknown(
            "not started here, but the witnesses could not record this"
        )
    finish(board, state)


def finish(board: EntryBoard, state: JobState) -> None:
    """Delivers the whole answer to callers and to waiting entries."""
    outcomes = tuple(
        state.outcomes[index] for index in range(len(state.submission.tasks))
    )
    state.phase = Phase.ANSWERED
    state.round = None
    state.extension = None
    state.assignments.clear()
    state.seal_replies.clear()
    state.answer = JobAnswer(state.job.key, outcomes)
    _release_quota(board, state)
    state.submission = dataclasses.replace(state.submission, tasks=())
    kind = "complete" if state.answer.complete else "failed"
    board.counters[f"jobs_{kind}"] += 1
    board.samples.append(("job_seconds", board.now_s - state.created_s))
    _deliver(board, state.job, state.answer)
    notify_waiting_entries(board, state.job, state.answer)


def _deliver(
    board: EntryBoard, job: JobRef, result: JobAnswer | Refusal
) -> None:
    if not requests.on_result(board, job, result):
        board.job_results.append((job, result))


def _release_quota(board: EntryBoard, state: JobState) -> None:
    tasks = len(state.submission.tasks)
    board.quotas.release(state.job.organisation, tasks)


def notify_waiting_entries(
    board: EntryBoard, job: JobRef, answer: JobAnswer | None
) -> None:
    """Sends waiting entries the answer, or that this one has none."""
    for node, digest in board.waiting_entries.pop(job, {}).items():
        if answer is not None and _has_other_content(board.jobs[job], digest):
            _send_conflict(board, job, node)
        else:
            board.send(node, _ask_reply(board, job, answer))


def _has_other_content(state: JobState, digest: str) -> bool:
    """Whether a digest is of other tasks submitted under the same key."""
    return bool(digest) and digest != state.submission.digest


def _send_conflict(board: EntryBoard, job: JobRef, node: str) -> None:
    status = message.AskStatus.CONFLICT
    board.send(node, message.AskReply(job, board.node, status))


def _ask_reply(
    board: EntryBoard, job: JobRef, answer: JobAnswer | None
) -> message.AskReply:
    if answer is not None:
        status = message.AskStatus.ANSWERED
        return message.AskReply(job, board.node, status, answer.outcomes)
    status = message.AskStatus.NOT_COORDINATOR
    return message.AskReply(job, board.node, status)


_NOT_COORDINATING = (Phase.LOOKING, Phase.ASKING)


def on_ask(board: EntryBoard, node: str, ask: message.Ask) -> None:
    """Sends another entry the answer, now or once there is one."""
    state = board.jobs.get(ask.job)
    if state is None or state.phase in _NOT_COORDINATING:
        board.send(ask.entry, _ask_reply(board, ask.job, None))
    elif state.phase in REGISTERED and _has_other_content(state, ask.digest):
        _send_conflict(board, ask.job, ask.entry)
    elif state.answer is not None:
        board.send(ask.entry, _ask_reply(board, ask.job, state.answer))
    else:
        waiting = board.waiting_entries.setdefault(ask.job, {})
        waiting[ask.entry] = ask.digest
        status = message.AskStatus.RUNNING
        board.send(ask.entry, message.AskReply(ask.job, board.node, status))


def cancel(board: EntryBoard, job: JobRef, reason: str) -> bool:
    """Cancels a job's unassigned tasks; returns whether the job is known."""
    state = board.jobs.get(job)
    if state is None:
        return False
    if state.answer is None and not state.cancel_reason:
        state.cancel_reason = reason
        if state.phase is Phase.ASKING:
            board.send(state.coordinator, message.CancelJob(job, board.node))
        dispatch.cancel_unassigned(board, state)
        finish_if_settled(board, state)
    return True


def on_cancel(board: EntryBoard, node: str, request: message.CancelJob) -> None:
    """Cancels a job on behalf of another entry."""
    cancel(board, request.job, CANCELLED)


def on_deadline(board: EntryBoard, state: JobState) -> None:
    """Ends a job whose deadline has passed, with an answer or a refusal."""
    if state.phase is Phase.RUNNING:
        state.cancel_reason = state.cancel_reason or "its deadline passed"
        dispatch.cancel_unassigned(board, state)
        for index in list(state.assignments):
            del state.assignments[index]
            state.outcomes[index] = outcome.unknown(
                "still running when the job's deadline passed"
            )
        finish_if_settled(board, state)
    elif state.phase is not Phase.CLOSING:
        refuse(
            board,
            state,
            Refusal(
                "deadline_exceeded",
                "the deadline passed before the entry learned the job's state",
                "ask again with the same key",
                retry_after_s=1.0,
            ),
        )
