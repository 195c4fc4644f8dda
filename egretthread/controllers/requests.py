"""Entry controller: single requests, which have one task and no job key.

Each attempt is a job of one task under a key that this entry generates, with
the same guarantees as any job. Nobody else knows the key, and a request that
is not idempotent gets another one only if its task cannot have started, so
it runs at most once.
"""

import dataclasses

from egretthread import jobform, jobkey, nodeid, retry
from egretthread.blackboard import EntryBoard
from egretthread.controllers import submissions
from egretthread.jobkey import JobRef
from egretthread.jobstate import RequestState
from egretthread.outcome import JobAnswer, Outcome, OutcomeKind
from egretthread.submission import Refusal, SingleRequest, Submission

# Most attempts of one request.
MAX_ATTEMPTS = 3
# No attempt is made with less time than this left before the deadline.
MIN_LEFT_S = jobform.MIN_DEADLINE_S


def submit(board: EntryBoard, request: SingleRequest) -> JobRef | Refusal:
    """Accepts a request; its result goes to `board.request_results`.

    Returns:
        The job of the first attempt, under which the result is delivered, or
        why the request is refused.
    """
    job = _new_job(board, request.organisation)
    state = RequestState(request, job, board.now_s + request.deadline_s)
    board.requests[job] = state
    refusal = _submit_attempt(board, state, job)
    if refusal is not None:
        del board.requests[job]
        return _without_key(refusal)
    return job


def _new_job(board: EntryBoard, organisation: str) -> JobRef:
    incarnation = nodeid.node_incarnation(board.node)
    name = f"request-{incarnation}-{board.rng.getrandbits(64):016x}"
    # The key must not be in the future by the clock of any process.
    issued_s = board.unix_s - board.configuration.clock_error_s
    return JobRef(organisation, jobkey.make_key(issued_s, name))


def _submit_attempt(
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
    """Handles the result of a job; returns whether it was an attempt."""
    state = board.requests.pop(job, None)
    if state is None:
        return False
    state.result = _combine(state.result, result)
    if _is_done(state.result):
        board.retry_budget.record_success()
    if _may_retry(board, state):
        wait_s = retry.backoff_s(state.attempts, board.rng)
        state.wake_s = board.now_s + wait_s
        board.waiting_requests.append(state)
    else:
        _deliver(board, state)
    return True


def _combine(
    before: Outcome | Refusal | None, result: JobAnswer | Refusal
) -> Outcome | Refusal:
    """Returns the combined result of all attempts so far.

    If an earlier attempt may have run, its result is kept even if a later
    attempt did not run.
    """
    if isinstance(result, Refusal):
        return before or result
    outcome = result.outcomes[0]
    if before is not None and outcome.kind is OutcomeKind.NOT_RUN:
        return before
    return outcome


def _is_done(result: Outcome | Refusal) -> bool:
    return isinstance(result, Outcome) and result.kind is OutcomeKind.DONE


def _may_retry(board: EntryBoard, state: RequestState) -> bool:
    """Whether a retry is useful, safe and within the retry budget."""
    if not _is_retryable(state) or state.attempts >= MAX_ATTEMPTS:
        return False
    if state.deadline_s - board.now_s < MIN_LEFT_S or board.is_shutting_down:
        return False
    if not board.retry_budget.take(board.now_s):
        board.counters["request_retries_denied"] += 1
        return False
    return True


def _is_retryable(state: RequestState) -> bool:
    """Whether an attempt under another key is useful and safe."""
    result = state.result
    if isinstance(result, Refusal):
        # The next key is most likely in a shard with other witnesses.
        return result.kind == "shard_unavailable" and not result.started
    unknown = result.kind is OutcomeKind.UNKNOWN
    return unknown and state.request.idempotent


def _deliver(board: EntryBoard, state: RequestState) -> None:
    result = state.result
    if isinstance(result, Refusal):
        result = _without_key(result)
    board.request_results.append((state.job, result))


def _without_key(refusal: Refusal) -> Refusal:
    """Returns a refusal with a remedy that does not mention a job key."""
    if not refusal.retry_after_s:
        return refusal
    remedy = "send the request again if it was not started or is idempotent"
    return dataclasses.replace(refusal, remedy=remedy)


def on_tick(board: EntryBoard) -> None:
    """Starts the attempts whose backoff is over."""
    waiting, board.waiting_requests = board.waiting_requests, []
    for state in waiting:
        if board.now_s < state.wake_s:
            board.waiting_requests.append(state)
        else:
            _retry(board, state)


def _retry(board: EntryBoard, state: RequestState) -> None:
    if state.deadline_s - board.now_s < MIN_LEFT_S:
        _deliver(board, state)
        return
    job = _new_job(board, state.request.organisation)
    board.requests[job] = state
    board.counters["request_retries"] += 1
    if _submit_attempt(board, state, job) is not None:
        # The result of the earlier attempts is delivered instead of this
        # refusal, since it says whether the task may have run.
        del board.requests[job]
        _deliver(board, state)
