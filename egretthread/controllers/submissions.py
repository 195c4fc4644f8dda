"""Entry controller: accepts or refuses the submissions of callers."""

from egretthread.blackboard import EntryBoard
from egretthread.controllers import (
    admission,
    answers,
    claims,
    entry_members,
    pool,
)
from egretthread.jobstate import JobState, Phase
from egretthread.message import Ballot, Registration
from egretthread.submission import Refusal, Submission


def submit(board: EntryBoard, submission: Submission) -> Refusal | None:
    """Accepts a job, or joins the caller to the same job if it is known.

    Args:
        board: The entry's blackboard.
        submission: The job, already validated.

    Returns:
        Why the job is refused, or None if an answer will be delivered later.
    """
    known = board.jobs.get(submission.job)
    if known is not None:
        return _join(known, submission)
    refusal = _check(board, submission)
    if refusal is not None:
        board.counters[f"refused_{refusal.kind}"] += 1
        return refusal
    _begin(board, submission)
    return None


def _check_load(board: EntryBoard, submission: Submission):
    if _may_be_under_way(board, submission):
        return None
    refusal = admission.check(board, submission)
    if refusal is not None:
        # A refused job counts as demand too. Otherwise an entry that refuses
        # jobs would lose its share of the slots.
        organisation = submission.job.organisation
        board.quotas.record_demand(
            organisation, len(submission.tasks), board.now_s
        )
    return refusal


def _may_be_under_way(board: EntryBoard, submission: Submission) -> bool:
    """Whether another entry may already run the job.

    Such a job would not be queued here, so the load here does not matter.
    """
    if board.generations.get(submission.job):
        return True
    return not admission.is_new_key(board, submission)


def _join(known: JobState, submission: Submission) -> Refusal | None:
    if known.submission.digest != submission.digest:
        return answers.CONFLICT
    return None


def _check(board: EntryBoard, submission: Submission) -> Refusal | None:
    """Returns the first reason to refuse an unknown job, or None."""
    for check in CHECKS:
        refusal = check(board, submission)
        if refusal is not None:
            return refusal
    return None


def _check_serving(board: EntryBoard, submission: Submission):
    if board.is_shutting_down:
        return _unavailable("the entry is shutting down")
    if not board.lease_open:
        return _unavailable(
            "the entry cannot confirm that its configuration is up to date"
        )
    return None


def _check_outage(board: EntryBoard, submission: Submission):
    organisation = board.configuration.organisation(submission.job.organisation)
    if organisation is None:
        return _unavailable("the organisation is not in the configuration")
    stops = organisation.during_log_outage == "stop"
    if stops and entry_members.is_log_unavailable(board):
        return _unavailable(
            "the log is unavailable and the organisation stops during outages"
        )
    return None


def _check_service(board: EntryBoard, submission: Submission):
    service = board.configuration.service(submission.service)
    if service is None or (
        submission.job.organisation not in service.organisations
    ):
        return Refusal(
            "unknown_service",
            f"your organisation has no service {submission.service!r}",
            "correct the name of the service or ask its operators for access",
        )
    return None


def _check_key(board: EntryBoard, submission: Submission):
    job = submission.job
    error_s = board.configuration.clock_error_s
    if job.issued_s < board.horizon_s or job.issued_s > board.unix_s + error_s:
        return answers.outside_retention(board, job)
    return None


def _check_quota(board: EntryBoard, submission: Submission):
    admitted = board.quotas.admit(
        submission.job.organisation, len(submission.tasks), board.now_s
    )
    if admitted.ok:
        return None
    return Refusal(
        "quota_exceeded",
        "the organisation's quota is used up",
        "submit again with the same key after the stated time",
        retry_after_s=admitted.retry_after_s,
    )


CHECKS = (
    _check_serving,
    _check_outage,
    _check_service,
    _check_key,
    _check_load,
    _check_quota,
)


def _unavailable(cause: str) -> Refusal:
    return Refusal(
        "unavailable",
        cause,
        "submit again with the same key through another entry",
        retry_after_s=1.0,
    )


def _begin(board: EntryBoard, submission: Submission) -> None:
    ballot = Ballot(1, board.node)
    state = JobState(
        submission,
        Phase.CLAIMING,
        ballot,
        deadline_s=board.now_s + submission.deadline_s,
        created_s=board.now_s,
    )
    board.jobs[submission.job] = state
    board.open_jobs[submission.job] = state
    if board.generations.get(submission.job):
        # This entry used or saw a higher ballot for the job before, so a claim
        # under the first ballot would be refused as stale.
        state.cancel_reason = _infeasible_reason(board, submission)
        claims.begin_prepare(board, state)
    elif _needs_look(board, submission):
        claims.begin_look(board, state)
    else:
        claim(board, state)


def _needs_look(board: EntryBoard, submission: Submission) -> bool:
    if admission.is_new_key(board, submission):
        return False
    return admission.check(board, submission) is not None


def claim(board: EntryBoard, state: JobState) -> None:
    """Claims a job that no witness is known to have registered."""
    submission = state.submission
    state.cancel_reason = state.cancel_reason or _infeasible_reason(
        board, submission
    )
    closed = bool(state.cancel_reason)
    indices = range(len(submission.tasks)) if closed else ()
    registration = Registration(
        submission.digest,
        state.ballot,
        () if closed else pool.add_agents(board, submission.service, ()),
        closed,
        tuple(indices),
    )
    claims.begin_claim(board, state, registration)


def _infeasible_reason(board: EntryBoard, submission: Submission) -> str:
    """Returns why no worker can ever run the job, or an empty text."""
    service = board.configuration.service(submission.service)
    largest = max(task.memory_bytes for task in submission.tasks)
    if largest > service.max_memory_bytes:
        return (
            f"a task declares {largest} bytes of memory and the service"
            f" allows {service.max_memory_bytes}; declare less or split it"
        )
    if not largest:
        return ""
    workers = [
        agent.heartbeat.memory_bytes
        for agent in board.agents.values()
        if agent.heartbeat.service == submission.service
    ]
    if workers and largest > max(workers):
        return (
            f"a task declares {largest} bytes of memory and the largest"
            f" worker has {max(workers)}; declare less or split it"
        )
    return ""
