"""Entry: becoming a job's coordinator, or finding who is."""

from egretthread import message
from egretthread.blackboard import EntryBoard
from egretthread.controllers import (
    admission,
    answers,
    dispatch,
    entry_members,
    lookups,
    recovery,
    rounds,
    submissions,
)
from egretthread.controllers.rounds import Tally
from egretthread.jobstate import JobState, Phase
from egretthread.message import Ballot, Registration
from egretthread.submission import Refusal

# Two entries that outbid each other wait up to this long between tries.
BACKOFF_S = 0.2
# A coordinator that is asked for its answer is asked again this often.
ASK_AGAIN_S = 1.0


def begin_claim(
    board: EntryBoard, state: JobState, registration: Registration
) -> None:
    """Registers a job of which this entry knows nothing yet."""
    state.phase = Phase.CLAIMING
    state.agents = registration.agents
    state.registration = registration
    state.round = rounds.begin(board, state.job, message.Claim, registration)
    if state.round is None:
        answers.refuse(board, state, _unavailable("no witness table yet"))


def begin_look(board: EntryBoard, state: JobState) -> None:
    """Asks the witnesses about a job that this entry would not start now.

    It may be under way or over elsewhere, and then its caller is joined to
    it, however much waits here.
    """
    state.phase = Phase.LOOKING
    state.round = rounds.begin(board, state.job, message.Look)
    if state.round is None:
        answers.refuse(board, state, _unavailable("no witness table yet"))


def _looked(board: EntryBoard, state: JobState, tally: Tally) -> None:
    current, state.round = state.round, None
    if tally is not Tally.GRANTED:
        answers.refuse(board, state, _no_majority(board, state, tally))
        return
    if rounds.registrations(current):
        _find_coordinator(board, state, current)
        return
    refusal = admission.refuse_again(board, state)
    if refusal is None:
        submissions.claim(board, state)
    else:
        answers.refuse(board, state, refusal)


def on_witness_reply(
    board: EntryBoard, node: str, reply: message.WitnessReply
) -> None:
    """Counts a witness's vote and takes the step it decides."""
    lookups.take(board, reply)
    state = board.jobs.get(reply.job)
    if state is None:
        return
    if rounds.takes(state.round, reply):
        advance(board, state)
    elif rounds.takes(state.extension, reply):
        dispatch.advance_extension(board, state)


def advance(board: EntryBoard, state: JobState) -> None:
    """Takes the next step of a job's round once its votes decide it."""
    if state.round is None:
        return
    rounds.refresh(board, state.round)
    tally = rounds.tally(board, state.round)
    if tally is not Tally.PENDING:
        STEPS[state.phase](board, state, tally)


def _claimed(board: EntryBoard, state: JobState, tally: Tally) -> None:
    current, state.round = state.round, None
    if tally is Tally.GRANTED:
        _start_claimed(board, state)
    elif tally is Tally.REFUSED:
        _find_coordinator(board, state, current)
    else:
        answers.refuse(board, state, _no_majority(board, state, tally))


def _start_claimed(board: EntryBoard, state: JobState) -> None:
    board.samples.append(("claim_seconds", board.now_s - state.created_s))
    if state.registration.closed:
        answers.close_unstarted(board, state)
        answers.finish(board, state)
        return
    dispatch.begin_running(board, state)


def _find_coordinator(board: EntryBoard, state: JobState, current) -> None:
    """Asks whoever holds the job, or takes it over."""
    if _conflicts(board, state, current):
        return
    holder = rounds.holding_promise(current)
    _note_generation(board, state, holder)
    if entry_members.is_alive(board, holder.coordinator):
        _ask(board, state, holder.coordinator)
    else:
        begin_prepare(board, state)


def _note_generation(
    board: EntryBoard, state: JobState, ballot: Ballot
) -> None:
    """Makes this entry's next bid for a job higher than a ballot."""
    known = board.generations.get(state.job, 0)
    board.generations[state.job] = max(known, ballot.generation)


def _conflicts(board: EntryBoard, state: JobState, current) -> bool:
    for registration in rounds.registrations(current):
        if registration.digest != state.submission.digest:
            answers.refuse(board, state, answers.CONFLICT)
            return True
    return False


def _ask(board: EntryBoard, state: JobState, coordinator: str) -> None:
    state.phase = Phase.ASKING
    # Whoever took this entry for the coordinator need wait no longer.
    answers.tell_askers(board, state.job, None)
    state.coordinator = coordinator
    state.wake_s = board.now_s + ASK_AGAIN_S
    if state.cancel_reason == answers.CANCELLED:
        # The caller cancelled it before its coordinator was known.
        board.send(coordinator, message.CancelJob(state.job, board.node))
    digest = state.submission.digest
    board.send(coordinator, message.Ask(state.job, board.node, digest))


def find_new_coordinator(
    board: EntryBoard, state: JobState, ballot: Ballot
) -> None:
    """Steps down for a higher ballot and asks its holder for the answer."""
    board.counters["jobs_superseded"] += 1
    dispatch.stop_running(board, state)
    state.round = None
    state.extension = None
    _note_generation(board, state, ballot)
    if entry_members.is_alive(board, ballot.coordinator):
        _ask(board, state, ballot.coordinator)
    else:
        prepare_later(board, state)


def begin_prepare(board: EntryBoard, state: JobState) -> None:
    """Bids for a job with a ballot above all that are known."""
    generation = board.generations.get(state.job, 0) + 1
    board.generations[state.job] = generation
    board.counters["takeovers"] += 1
    state.phase = Phase.PREPARING
    state.ballot = Ballot(generation, board.node)
    state.seals.clear()
    state.vanished.clear()
    state.outcomes.clear()
    state.assignments.clear()
    state.proposed_agents = ()
    state.round = rounds.begin(board, state.job, message.Prepare, state.ballot)
    if state.round is None:
        answers.refuse(board, state, _unavailable("no witness table yet"))


def prepare_later(board: EntryBoard, state: JobState) -> None:
    """Bids again after a random wait, so that rivals do not collide."""
    state.phase = Phase.PREPARING
    state.round = None
    state.wake_s = board.now_s + board.rng.uniform(0.25, 1.0) * BACKOFF_S


def _prepared(board: EntryBoard, state: JobState, tally: Tally) -> None:
    current, state.round = state.round, None
    if tally is Tally.GRANTED:
        if not _conflicts(board, state, current):
            recovery.begin_seal(board, state, rounds.registrations(current))
    elif tally is Tally.REFUSED:
        _outbid(board, state, current)
    else:
        answers.refuse(board, state, _no_majority(board, state, tally))


def _outbid(board: EntryBoard, state: JobState, current) -> None:
    find_new_coordinator(board, state, rounds.highest_promise(current))


def _accepted(board: EntryBoard, state: JobState, tally: Tally) -> None:
    current, state.round = state.round, None
    if tally is Tally.GRANTED:
        state.registration = current.request.registration
        state.agents = state.registration.agents
        dispatch.begin_running(board, state)
    elif tally is Tally.REFUSED:
        _outbid(board, state, current)
    else:
        answers.refuse(board, state, _no_majority(board, state, tally))


def _closed(board: EntryBoard, state: JobState, tally: Tally) -> None:
    current, state.round = state.round, None
    if tally is Tally.GRANTED:
        state.registration = current.request.registration
        answers.finish(board, state)
    elif tally is Tally.REFUSED:
        _outbid(board, state, current)
    else:
        answers.finish_unclosed(board, state)


STEPS = {
    Phase.LOOKING: _looked,
    Phase.CLAIMING: _claimed,
    Phase.PREPARING: _prepared,
    Phase.ACCEPTING: _accepted,
    Phase.CLOSING: _closed,
}


def on_ask_reply(board: EntryBoard, node: str, reply: message.AskReply) -> None:
    """Takes over the coordinator's answer, or the job when it has none."""
    lookups.on_ask_reply(board, reply)
    state = board.jobs.get(reply.job)
    if state is None or state.phase is not Phase.ASKING:
        return
    if reply.entry != state.coordinator:
        return
    if reply.status is message.AskStatus.ANSWERED:
        state.outcomes = dict(enumerate(reply.outcomes))
        answers.finish(board, state)
    elif reply.status is message.AskStatus.CONFLICT:
        answers.refuse(board, state, answers.CONFLICT)
    elif reply.status is message.AskStatus.NOT_COORDINATOR:
        begin_prepare(board, state)


def on_tick(board: EntryBoard, state: JobState) -> None:
    """Does what is due by time for a job that is not running yet."""
    if state.round is not None:
        advance(board, state)
    elif board.now_s < state.wake_s:
        return
    elif state.phase is Phase.PREPARING:
        begin_prepare(board, state)
    elif state.phase is Phase.ASKING:
        if entry_members.is_alive(board, state.coordinator):
            _ask(board, state, state.coordinator)
        else:
            begin_prepare(board, state)


def _unavailable(cause: str) -> Refusal:
    return Refusal(
        "unavailable",
        f"the job could not be registered: {cause}",
        "submit again with the same key",
        retry_after_s=1.0,
    )


def _no_majority(board: EntryBoard, state: JobState, tally: Tally) -> Refusal:
    if tally is Tally.OUTSIDE_RETENTION:
        return answers.outside_retention(board, state.job)
    if tally is Tally.NOT_READY:
        return Refusal(
            "shard_unavailable",
            "the witnesses cannot tell whether this key was used before",
            "submit again with a new key if this was its first submission,"
            " else later with the same key",
            retry_after_s=1.0,
        )
    return _unavailable("too few witnesses answer")
