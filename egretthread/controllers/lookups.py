"""Entry controller: looks up jobs by their key for callers."""

from egretthread import message
from egretthread.blackboard import EntryBoard
from egretthread.controllers import answers, entry_members, rounds
from egretthread.controllers.rounds import Tally
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobStatus, Lookup
from egretthread.outcome import JobAnswer
from egretthread.submission import Refusal

# A lookup without a result fails after this time.
GIVE_UP_S = 5.0

UNKNOWN_JOB = Refusal(
    "unknown_job",
    "your organisation has no job with this key",
    "check the key; jobs are removed when their retention ends",
)
UNAVAILABLE = Refusal(
    "unavailable",
    "the entry cannot find out now whether there is such a job",
    "ask again through another entry",
    retry_after_s=1.0,
)


def begin(board: EntryBoard, job: JobRef, cancel: bool) -> None:
    """Looks up a job; the result goes to `board.lookup_results`."""
    state = board.jobs.get(job)
    if state is not None:
        if cancel:
            answers.cancel(board, job, answers.CANCELLED)
        _finish(board, job, state.answer or _status(cancel))
        return
    if job.issued_s < board.horizon_s:
        _finish(board, job, UNKNOWN_JOB)
        return
    known = board.lookups.get(job)
    if known is not None:
        known.cancel = known.cancel or cancel
        return
    voting_round = rounds.begin(board, job, message.Look)
    if voting_round is None:
        _finish(board, job, UNAVAILABLE)
        return
    board.lookups[job] = Lookup(voting_round, cancel, board.now_s)


def _status(cancel: bool) -> JobStatus:
    return JobStatus.CANCELLING if cancel else JobStatus.RUNNING


def _finish(
    board: EntryBoard, job: JobRef, result: JobAnswer | Refusal | JobStatus
) -> None:
    board.lookups.pop(job, None)
    board.lookup_results.append((job, result))


def on_witness_reply(board: EntryBoard, reply: message.WitnessReply) -> None:
    """Records a witness's reply if it belongs to a lookup."""
    lookup = board.lookups.get(reply.job)
    if lookup is not None and rounds.record_reply(lookup.round, reply):
        _advance(board, reply.job, lookup)


def _advance(board: EntryBoard, job: JobRef, lookup: Lookup) -> None:
    if lookup.coordinator:
        return
    rounds.refresh(board, lookup.round)
    tally = rounds.tally(board, lookup.round)
    if tally is Tally.PENDING:
        return
    if tally is not Tally.GRANTED:
        _finish(board, job, UNAVAILABLE)
        return
    if not rounds.registrations(lookup.round):
        _finish(board, job, UNKNOWN_JOB)
        return
    _ask_coordinator(board, job, lookup)


def _ask_coordinator(board: EntryBoard, job: JobRef, lookup: Lookup) -> None:
    coordinator = rounds.highest_promise(lookup.round).coordinator
    if not entry_members.is_alive(board, coordinator):
        _finish(board, job, JobStatus.STRANDED)
        return
    lookup.coordinator = coordinator
    if lookup.cancel:
        board.send(coordinator, message.CancelJob(job, board.node))
    board.send(coordinator, message.Ask(job, board.node))


def on_ask_reply(board: EntryBoard, reply: message.AskReply) -> None:
    """Ends a lookup with the coordinator's reply."""
    lookup = board.lookups.get(reply.job)
    if lookup is None or reply.entry != lookup.coordinator:
        return
    if reply.status is message.AskStatus.ANSWERED:
        answer = JobAnswer(reply.job.key, reply.outcomes)
        _finish(board, reply.job, answer)
    elif reply.status is message.AskStatus.RUNNING:
        _finish(board, reply.job, _status(lookup.cancel))
    else:
        _finish(board, reply.job, JobStatus.STRANDED)


def on_tick(board: EntryBoard) -> None:
    """Resends unanswered requests and ends lookups that take too long."""
    for job, lookup in list(board.lookups.items()):
        if board.now_s - lookup.started_s >= GIVE_UP_S:
            _finish(board, job, UNAVAILABLE)
        else:
            _advance(board, job, lookup)
