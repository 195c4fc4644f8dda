"""Entry: single requests, one task each, without a key of the caller's.

Each attempt is a job of one task under a key that this entry makes, so all
that holds for jobs holds for it. Nobody else knows the key: a request that
is not idempotent runs at most once because it has one key.
"""

import dataclasses

from egretthread import jobform, jobkey, message, retry
from egretthread.blackboard import EntryBoard
from egretthread.controllers import submissions
from egretthread.jobkey import JobRef
from egretthread.jobstate import RequestState
from egretthread.outcome import JobAnswer, Outcome, OutcomeKind
from egretthread.submission import Refusal, SingleRequest, Submission

# Attempts of one idempotent request at most.
MAX_ATTEMPTS = 3
# Less time than this before the deadline is not worth another attempt.
MIN_LEFT_S = jobform.MIN_DEADLINE_S


def submit(board: EntryBoard, request: SingleRequest) -> JobRef | Refusal:
    """Takes a request; its result goes to `board.request_results`.

    Returns:
        The key of the first attempt, by which the result is named, or why
        the request is refused.
    """
    job = _new_job(board, request.organisation)
    state = RequestState(request, job, board.now_s + request.deadline_s)
    board.requests[job] = state
    refusal = _attempt(board, state, job)
    if refusal is not None:
        del board.requests[job]
        return _without_key(refusal)
    return job


def _new_job(board: EntryBoard, organisation: str) -> JobRef:
    incarnation = message.node_incarnation(board.node)
    name = f"request-{incarnation}-{board.rng.getrandbits(64):016x}"
    # No process's clock may find the key's time in the future.
    issued_s = board.unix_s - board.configuration.clock_error_s
    return JobRef(organisation, jobkey.make_key(issued_s, name))


def _attempt(
    board: EntryBoard, state: RequestState, job: JobRef
) -> Refusal | None:
    request = state.request
    state.attempts += 1
    return submissions.submit(
        board,
        Submission(
            job,
            request.service,
            jobform.digest(request.service, (request.task,)),
            (request.task,),
            state.deadline_s - board.now_s,
        ),
    )


def on_result(
    board: EntryBoard, job: JobRef, result: JobAnswer | Refusal
) -> bool:
    """Takes in how an attempt ended; returns whether it was one."""
    state = board.requests.pop(job, None)
    if state is None:
        return False
    state.result = _joined(state.result, result)
    if _is_done(state.result):
        board.retry_budget.record_success()
    if _may_try_again(board, state):
        wait_s = retry.backoff_s(state.attempts, board.rng)
        state.wake_s = board.now_s + wait_s
        board.waiting_requests.append(state)
    else:
        _answer(board, state)
    return True


def _joined(
    before: Outcome | Refusal | None, result: JobAnswer | Refusal
) -> Outcome | Refusal:
    """Returns what is true of all attempts so far.

    An earlier attempt that may have run is not undone by a later one that
    did not.
    """
    if isinstance(result, Refusal):
        return before or result
    item = result.outcomes[0]
    if before is not None and item.kind is OutcomeKind.NOT_RUN:
        return before
    return item


def _is_done(result: Outcome | Refusal) -> bool:
    return isinstance(result, Outcome) and result.kind is OutcomeKind.DONE


def _may_try_again(board: EntryBoard, state: RequestState) -> bool:
    """Whether another attempt is allowed, needed, and within the budget."""
    if not _wants_another(state) or state.attempts >= MAX_ATTEMPTS:
        return False
    if state.deadline_s - board.now_s < MIN_LEFT_S or board.shutting_down:
        return False
    if not board.retry_budget.take(board.now_s):
        board.counters["request_retries_denied"] += 1
        return False
    return True


def _wants_another(state: RequestState) -> bool:
    """Whether another key may do better and cannot do harm."""
    result = state.result
    if isinstance(result, Refusal):
        # The next key most likely lies in a shard with other witnesses.
        return result.kind == "shard_unavailable" and not result.started
    unknown = result.kind is OutcomeKind.UNKNOWN
    return unknown and state.request.idempotent


def _answer(board: EntryBoard, state: RequestState) -> None:
    result = state.result
    if isinstance(result, Refusal):
        result = _without_key(result)
    board.request_results.append((state.job, result))


def _without_key(refusal: Refusal) -> Refusal:
    """Returns a refusal whose remedy speaks of no job key."""
    if not refusal.retry_after_s:
        return refusal
    remedy = "send the request again if it was not started or is idempotent"
    return dataclasses.replace(refusal, remedy=remedy)


def on_tick(board: EntryBoard) -> None:
    """Makes the further attempts whose time has come."""
    waiting, board.waiting_requests = board.waiting_requests, []
    for state in waiting:
        if board.now_s < state.wake_s:
            board.waiting_requests.append(state)
        else:
            _try_again(board, state)


def _try_again(board: EntryBoard, state: RequestState) -> None:
    if state.deadline_s - board.now_s < MIN_LEFT_S:
        _answer(board, state)
        return
    job = _new_job(board, state.request.organisation)
    board.requests[job] = state
    board.counters["request_retries"] += 1
    if _attempt(board, state, job) is not None:
        # What is known of the earlier attempt says more than this refusal.
        del board.requests[job]
        _answer(board, state)
