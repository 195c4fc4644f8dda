"""Entry: answers callers who ask about a job by its key alone."""

from egretthread import message
from egretthread.blackboard import EntryBoard
from egretthread.controllers import answers, entry_members, rounds
from egretthread.controllers.rounds import Tally
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobStatus, Lookup
from egretthread.outcome import JobAnswer
from egretthread.submission import Refusal

# A lookup without a result for this long is given up.
GIVE_UP_S = 5.0

UNKNOWN_JOB = Refusal(
    "unknown_job",
    "no job of yours has this key",
    "check the key; a key past its retention is forgotten",
)
UNAVAILABLE = Refusal(
    "unavailable",
    "it cannot be told now whether there is such a job",
    "ask again through another entry",
    retry_after_s=1.0,
)


def begin(board: EntryBoard, job: JobRef, cancel: bool) -> None:
    """Finds out about a job; the result goes to `board.lookup_results`."""
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
    current = rounds.begin(board, job, message.Look)
    if current is None:
        _finish(board, job, UNAVAILABLE)
        return
    board.lookups[job] = Lookup(current, cancel, board.now_s)


def _status(cancel: bool) -> JobStatus:
    return JobStatus.CANCELLING if cancel else JobStatus.RUNNING


def _finish(
    board: EntryBoard, job: JobRef, result: JobAnswer | Refusal | JobStatus
) -> None:
    board.lookups.pop(job, None)
    board.lookup_results.append((job, result))


def on_witness_reply(board: EntryBoard, reply: message.WitnessReply) -> None:
    """Counts a witness's reply to a lookup, if it is one."""
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
    holder = rounds.highest_promise(lookup.round).coordinator
    if not entry_members.is_alive(board, holder):
        _finish(board, job, JobStatus.STRANDED)
        return
    lookup.coordinator = holder
    if lookup.cancel:
        board.send(holder, message.CancelJob(job, board.node))
    board.send(holder, message.Ask(job, board.node))


def on_ask_reply(board: EntryBoard, reply: message.AskReply) -> None:
    """Passes on what the coordinator says of a job searched for."""
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
    """Repeats what was not answered and gives up in the end."""
    for job, lookup in list(board.lookups.items()):
        if board.now_s - lookup.started_s >= GIVE_UP_S:
            _finish(board, job, UNAVAILABLE)
        else:
            _advance(board, job, lookup)
