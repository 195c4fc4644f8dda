"""Entry: the final answer of a job, refusals and cancellation."""

import dataclasses

from egretthread import message, outcome
from egretthread.blackboard import EntryBoard
from egretthread.controllers import dispatch, requests, rounds
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobState, Phase
from egretthread.outcome import JobAnswer, OutcomeKind
from egretthread.submission import Refusal

# Why a cancelled job's tasks are not run.
CANCELLED = "cancelled by its caller"
# Two clocks differ by twice the bound on the error of each.
CLOCK_ERRORS = 2
# Phases in which the content of a job is settled at its witnesses.
REGISTERED = (Phase.RUNNING, Phase.CLOSING, Phase.OVER)

CONFLICT = Refusal(
    "key_conflict",
    "this job key was used before with other tasks",
    "use a new key for new tasks",
)


def outside_retention(board: EntryBoard, job: JobRef) -> Refusal:
    """Returns the refusal of a key that is too old or too new."""
    # A witness's clock may be behind this entry's by both their errors.
    errors_s = CLOCK_ERRORS * board.configuration.clock_error_s
    ahead_s = job.issued_s - board.unix_s + errors_s
    if ahead_s > 0.0:
        return Refusal(
            "key_in_future",
            "the job key's time lies in the future",
            "correct the clock, or submit again a little later",
            retry_after_s=ahead_s,
        )
    return Refusal(
        "key_expired",
        "the job key is older than keys are remembered; its tasks may have run",
        "check what became of the job before using a new key",
    )


def refuse(board: EntryBoard, state: JobState, refusal: Refusal) -> None:
    """Ends this entry's part in a job without an answer.

    An entry that was superseded may have handed out tasks before.
    """
    # Tasks that an earlier submission handed out may start even now.
    started = state.job in board.dispatched_jobs
    refusal = dataclasses.replace(refusal, started=started)
    del board.jobs[state.job]
    _free_quota(board, state)
    board.counters[f"refused_{refusal.kind}"] += 1
    _deliver(board, state.job, refusal)
    tell_askers(board, state.job, None)


def check_over(board: EntryBoard, state: JobState) -> None:
    """Gives the answer once every task has an outcome.

    An answer that is not complete is first made final at the witnesses, so
    that no other coordinator starts what is reported as not run.
    """
    if state.phase is not Phase.RUNNING:
        return
    if len(state.outcomes) < len(state.submission.tasks):
        return
    complete = all(
        item.kind is OutcomeKind.DONE for item in state.outcomes.values()
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
    """Returns the indices of the tasks that did not and will not run."""
    return tuple(
        index
        for index, item in sorted(state.outcomes.items())
        if item.kind is OutcomeKind.NOT_RUN
    )


def close_unstarted(board: EntryBoard, state: JobState) -> None:
    """Gives every task of a job registered as closed its outcome."""
    for index in range(len(state.submission.tasks)):
        state.outcomes[index] = outcome.not_run(state.cancel_reason)


def finish_unclosed(board: EntryBoard, state: JobState) -> None:
    """Answers without the witnesses: what was not started may yet be."""
    for index in not_run(state):
        state.outcomes[index] = outcome.unknown(
            "not started here, but the witnesses could not be told so"
        )
    finish(board, state)


def finish(board: EntryBoard, state: JobState) -> None:
    """Gives the whole answer to the callers and to the entries that ask."""
    outcomes = tuple(
        state.outcomes[index] for index in range(len(state.submission.tasks))
    )
    state.phase = Phase.OVER
    state.round = None
    state.extension = None
    state.assignments.clear()
    state.seals.clear()
    state.answer = JobAnswer(state.job.key, outcomes)
    _free_quota(board, state)
    state.submission = dataclasses.replace(state.submission, tasks=())
    kind = "complete" if state.answer.complete else "failed"
    board.counters[f"jobs_{kind}"] += 1
    board.samples.append(("job_seconds", board.now_s - state.created_s))
    _deliver(board, state.job, state.answer)
    tell_askers(board, state.job, state.answer)


def _deliver(
    board: EntryBoard, job: JobRef, result: JobAnswer | Refusal
) -> None:
    if not requests.on_result(board, job, result):
        board.job_results.append((job, result))


def _free_quota(board: EntryBoard, state: JobState) -> None:
    tasks = len(state.submission.tasks)
    board.quotas.finish(state.job.organisation, tasks)


def tell_askers(
    board: EntryBoard, job: JobRef, answer: JobAnswer | None
) -> None:
    """Tells the entries that ask the answer, or that it is not found here."""
    for node, digest in board.askers.pop(job, {}).items():
        if answer is not None and _is_other(board.jobs[job], digest):
            _send_conflict(board, job, node)
        else:
            board.send(node, _ask_reply(board, job, answer))


def _is_other(state: JobState, digest: str) -> bool:
    """Whether an asker's caller sent other tasks under the same key."""
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
    """Tells another entry the answer, now or once it is there."""
    state = board.jobs.get(ask.job)
    if state is None or state.phase in _NOT_COORDINATING:
        board.send(ask.entry, _ask_reply(board, ask.job, None))
    elif state.phase in REGISTERED and _is_other(state, ask.digest):
        _send_conflict(board, ask.job, ask.entry)
    elif state.answer is not None:
        board.send(ask.entry, _ask_reply(board, ask.job, state.answer))
    else:
        askers = board.askers.setdefault(ask.job, {})
        askers[ask.entry] = ask.digest
        status = message.AskStatus.RUNNING
        board.send(ask.entry, message.AskReply(ask.job, board.node, status))


def cancel(board: EntryBoard, job: JobRef, reason: str) -> bool:
    """Starts no more tasks of a job; returns whether the job is known."""
    state = board.jobs.get(job)
    if state is None:
        return False
    if state.answer is None and not state.cancel_reason:
        state.cancel_reason = reason
        if state.phase is Phase.ASKING:
            board.send(state.coordinator, message.CancelJob(job, board.node))
        dispatch.give_up_queued(board, state)
        check_over(board, state)
    return True


def on_cancel(board: EntryBoard, node: str, item: message.CancelJob) -> None:
    """Cancels a job on behalf of another entry."""
    cancel(board, item.job, CANCELLED)


def expire(board: EntryBoard, state: JobState) -> None:
    """Gives the answer of a job whose deadline has passed, at once."""
    if state.phase is Phase.RUNNING:
        state.cancel_reason = state.cancel_reason or "its deadline passed"
        dispatch.give_up_queued(board, state)
        for index in list(state.assignments):
            del state.assignments[index]
            state.outcomes[index] = outcome.unknown(
                "still running when the job's deadline passed"
            )
        check_over(board, state)
    elif state.phase is not Phase.CLOSING:
        refuse(
            board,
            state,
            Refusal(
                "deadline_exceeded",
                "the deadline passed before this entry knew the job's state",
                "ask again with the same key",
                retry_after_s=1.0,
            ),
        )
