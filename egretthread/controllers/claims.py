"""Entry controller: becomes the coordinator of a job, or finds it."""

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

# Longest wait between two takeover attempts of entries that compete for a job.
BACKOFF_S = 0.2
# How often a coordinator is asked again for the answer of a job.
ASK_AGAIN_S = 1.0


def begin_claim(
    board: EntryBoard, state: JobState, registration: Registration
) -> None:
    """Registers a new job at its witnesses."""
    state.phase = Phase.CLAIMING
    state.agents = registration.agents
    state.registration = registration
    state.round = rounds.begin(board, state.job, message.Claim, registration)
    if state.round is None:
        answers.refuse(
            board, state, _unavailable("there is no witness table yet")
        )


def begin_look(board: EntryBoard, state: JobState) -> None:
    """Asks the witnesses about a job that this entry is too loaded to accept.

    If another entry runs the job or has its answer, the caller is joined to
    it, whatever the load here.
    """
    state.phase = Phase.LOOKING
    state.round = rounds.begin(board, state.job, message.Look)
    if state.round is None:
        answers.refuse(
            board, state, _unavailable("there is no witness table yet")
        )


def _after_look(board: EntryBoard, state: JobState, tally: Tally) -> None:
    ended_round, state.round = state.round, None
    if tally is not Tally.GRANTED:
        answers.refuse(board, state, _no_majority(board, state, tally))
        return
    if rounds.registrations(ended_round):
        _find_coordinator(board, state, ended_round)
        return
    refusal = admission.recheck(board, state)
    if refusal is None:
        submissions.claim(board, state)
    else:
        answers.refuse(board, state, refusal)


def on_witness_reply(
    board: EntryBoard, node: str, reply: message.WitnessReply
) -> None:
    """Records the vote of a witness and advances a job if it is decisive."""
    lookups.on_witness_reply(board, reply)
    state = board.jobs.get(reply.job)
    if state is None:
        return
    if rounds.record_reply(state.round, reply):
        advance(board, state)
    elif rounds.record_reply(state.extension, reply):
        dispatch.advance_extension(board, state)


def advance(board: EntryBoard, state: JobState) -> None:
    """Takes a job's next step once its current round is decided."""
    if state.round is None:
        return
    rounds.refresh(board, state.round)
    tally = rounds.tally(board, state.round)
    if tally is not Tally.PENDING:
        STEPS[state.phase](board, state, tally)


def _after_claim(board: EntryBoard, state: JobState, tally: Tally) -> None:
    ended_round, state.round = state.round, None
    if tally is Tally.GRANTED:
        _start_claimed(board, state)
    elif tally is Tally.REFUSED:
        _find_coordinator(board, state, ended_round)
    else:
        answers.refuse(board, state, _no_majority(board, state, tally))


def _start_claimed(board: EntryBoard, state: JobState) -> None:
    board.samples.append(("claim_seconds", board.now_s - state.created_s))
    if state.registration.closed:
        answers.mark_all_not_run(board, state)
        answers.finish(board, state)
        return
    dispatch.begin_running(board, state)


def _find_coordinator(board: EntryBoard, state: JobState, ended_round) -> None:
    """Asks the coordinator of a job for the answer, or takes the job over."""
    if _refuse_conflict(board, state, ended_round):
        return
    blocking_ballot = rounds.blocking_promise(ended_round)
    _record_generation(board, state, blocking_ballot)
    if entry_members.is_alive(board, blocking_ballot.coordinator):
        _ask_coordinator(board, state, blocking_ballot.coordinator)
    else:
        begin_prepare(board, state)


def _record_generation(
    board: EntryBoard, state: JobState, ballot: Ballot
) -> None:
    """Ensures that this entry's next ballot for a job is above a ballot."""
    known = board.generations.get(state.job, 0)
    board.generations[state.job] = max(known, ballot.generation)


def _refuse_conflict(board: EntryBoard, state: JobState, ended_round) -> bool:
    for registration in rounds.registrations(ended_round):
        if registration.digest != state.submission.digest:
            answers.refuse(board, state, answers.CONFLICT)
            return True
    return False


def _ask_coordinator(
    board: EntryBoard, state: JobState, coordinator: str
) -> None:
    state.phase = Phase.ASKING
    # Entries that asked this one as the coordinator must ask elsewhere.
    answers.notify_waiting_entries(board, state.job, None)
    state.coordinator = coordinator
    state.wake_s = board.now_s + ASK_AGAIN_S
    if state.cancel_reason == answers.CANCELLED:
        # The caller cancelled the job before its coordinator was known.
        board.send(coordinator, message.CancelJob(state.job, board.node))
    digest = state.submission.digest
    board.send(coordinator, message.Ask(state.job, board.node, digest))


def step_down(board: EntryBoard, state: JobState, ballot: Ballot) -> None:
    """Steps down and asks the coordinator of a higher ballot for the answer."""
    board.counters["jobs_superseded"] += 1
    dispatch.dequeue(board, state)
    state.round = None
    state.extension = None
    _record_generation(board, state, ballot)
    if entry_members.is_alive(board, ballot.coordinator):
        _ask_coordinator(board, state, ballot.coordinator)
    else:
        schedule_prepare(board, state)


def begin_prepare(board: EntryBoard, state: JobState) -> None:
    """Starts to take over a job with a ballot above all known ones."""
    generation = board.generations.get(state.job, 0) + 1
    board.generations[state.job] = generation
    board.counters["takeovers"] += 1
    state.phase = Phase.PREPARING
    state.ballot = Ballot(generation, board.node)
    state.seal_replies.clear()
    state.lost_agents.clear()
    state.outcomes.clear()
    state.assignments.clear()
    state.proposed_agents = ()
    state.round = rounds.begin(board, state.job, message.Prepare, state.ballot)
    if state.round is None:
        answers.refuse(
            board, state, _unavailable("there is no witness table yet")
        )


def schedule_prepare(board: EntryBoard, state: JobState) -> None:
    """Schedules a takeover attempt after a random wait to avoid collisions."""
    state.phase = Phase.PREPARING
    state.round = None
    state.wake_s = board.now_s + board.rng.uniform(0.25, 1.0) * BACKOFF_S


def _after_prepare(board: EntryBoard, state: JobState, tally: Tally) -> None:
    ended_round, state.round = state.round, None
    if tally is Tally.GRANTED:
        if not _refuse_conflict(board, state, ended_round):
            recovery.begin_seal(board, state, rounds.registrations(ended_round))
    elif tally is Tally.REFUSED:
        _yield_to_higher_ballot(board, state, ended_round)
    else:
        answers.refuse(board, state, _no_majority(board, state, tally))


def _yield_to_higher_ballot(
    board: EntryBoard, state: JobState, ended_round
) -> None:
    step_down(board, state, rounds.highest_promise(ended_round))


def _after_accept(board: EntryBoard, state: JobState, tally: Tally) -> None:
    ended_round, state.round = state.round, None
    if tally is Tally.GRANTED:
        state.registration = ended_round.request.registration
        state.agents = state.registration.agents
        dispatch.begin_running(board, state)
    elif tally is Tally.REFUSED:
        _yield_to_higher_ballot(board, state, ended_round)
    else:
        answers.refuse(board, state, _no_majority(board, state, tally))


def _after_close(board: EntryBoard, state: JobState, tally: Tally) -> None:
    ended_round, state.round = state.round, None
    if tally is Tally.GRANTED:
        state.registration = ended_round.request.registration
        answers.finish(board, state)
    elif tally is Tally.REFUSED:
        _yield_to_higher_ballot(board, state, ended_round)
    else:
        answers.finish_unclosed(board, state)


STEPS = {
    Phase.LOOKING: _after_look,
    Phase.CLAIMING: _after_claim,
    Phase.PREPARING: _after_prepare,
    Phase.ACCEPTING: _after_accept,
    Phase.CLOSING: _after_close,
}


def on_ask_reply(board: EntryBoard, node: str, reply: message.AskReply) -> None:
    """Adopts the coordinator's answer, or takes over the job."""
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
    """Resends requests and retries for a job that does not run here."""
    if state.round is not None:
        advance(board, state)
    elif board.now_s < state.wake_s:
        return
    elif state.phase is Phase.PREPARING:
        begin_prepare(board, state)
    elif state.phase is Phase.ASKING:
        if entry_members.is_alive(board, state.coordinator):
            _ask_coordinator(board, state, state.coordinator)
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
            " otherwise later with the same key",
            retry_after_s=1.0,
        )
    return _unavailable("too few witnesses of the job answered")
