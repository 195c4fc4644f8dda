"""Entry: answers callers who ask about a job by its key alone."""

from egretthread import message
from egretthread.blackboard import EntryBoard
from egretthread.controllers import answers, entry_members, rounds
from egretthread.controllers.rounds import Tally
from egretthread.jobkey import JobRef
from egretthread.jobstate import JobStatus, LookUp
from egretthread.outcome import JobAnswer
from egretthread.submission import Refusal

# A search without a result for this long is given up.
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
        _found(board, job, state.answer or _status(cancel))
        return
    if job.issued_s < board.horizon_s:
        _found(board, job, UNKNOWN_JOB)
        return
    known = board.look_ups.get(job)
    if known is not None:
        known.cancel = known.cancel or cancel
        return
    current = rounds.begin(board, job, message.Look)
    if current is None:
        _found(board, job, UNAVAILABLE)
        return
    board.look_ups[job] = LookUp(current, cancel, board.now_s)


def _status(cancel: bool) -> JobStatus:
    return JobStatus.CANCELLING if cancel else JobStatus.RUNNING


def _found(
    board: EntryBoard, job: JobRef, result: JobAnswer | Refusal | JobStatus
) -> None:
    board.look_ups.pop(job, None)
    board.lookup_results.append((job, result))


def take(board: EntryBoard, reply: message.WitnessReply) -> None:
    """Counts a witness's reply to a search, if it is one."""
    search = board.look_ups.get(reply.job)
    if search is not None and rounds.takes(search.round, reply):
        _advance(board, reply.job, search)


def _advance(board: EntryBoard, job: JobRef, search: LookUp) -> None:
    if search.coordinator:
        return
    rounds.refresh(board, search.round)
    tally = rounds.tally(board, search.round)
    if tally is Tally.PENDING:
        return
    if tally is not Tally.GRANTED:
        _found(board, job, UNAVAILABLE)
        return
    if not rounds.registrations(search.round):
        _found(board, job, UNKNOWN_JOB)
        return
    _ask_coordinator(board, job, search)


def _ask_coordinator(board: EntryBoard, job: JobRef, search: LookUp) -> None:
    holder = rounds.highest_promise(search.round).coordinator
    if not entry_members.is_alive(board, holder):
        _found(board, job, JobStatus.STRANDED)
        return
    search.coordinator = holder
    if search.cancel:
        board.send(holder, message.CancelJob(job, board.node))
    board.send(holder, message.Ask(job, board.node))


def on_ask_reply(board: EntryBoard, reply: message.AskReply) -> None:
    """Passes on what the coordinator says of a job searched for."""
    search = board.look_ups.get(reply.job)
    if search is None or reply.entry != search.coordinator:
        return
    if reply.status is message.AskStatus.ANSWERED:
        answer = JobAnswer(reply.job.key, reply.outcomes)
        _found(board, reply.job, answer)
    elif reply.status is message.AskStatus.RUNNING:
        _found(board, reply.job, _status(search.cancel))
    else:
        _found(board, reply.job, JobStatus.STRANDED)


def on_tick(board: EntryBoard) -> None:
    """Repeats what was not answered and gives up in the end."""
    for job, search in list(board.look_ups.items()):
        if board.now_s - search.started_s >= GIVE_UP_S:
            _found(board, job, UNAVAILABLE)
        else:
            _advance(board, job, search)
