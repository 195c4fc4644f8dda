"""Entry: takes in what agents report of the tasks they hold."""

from egretthread import message, outcome
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import (
    admission,
    answers,
    claims,
    dispatch,
    pool,
    wants,
)
from egretthread.jobstate import JobState, Phase
from egretthread.message import Refusal, TaskReport, TaskState

# Refusals of agents that go on offering their slots.
RESTING_REFUSALS = (Refusal.BACKEND_UNREACHABLE, Refusal.WRONG_SERVICE)


def on_credit(board: EntryBoard, node: str, credit: message.Credit) -> None:
    """Uses the slots that an agent holds for this entry."""
    agent = board.agents.get(credit.agent)
    if agent is None:
        return
    note_free(agent, credit.free, credit.received)
    # The agent took what it gives off the wish.
    agent.requested_slots = max(0, agent.requested_slots - max(0, credit.free))
    dispatch.dispatch_to_agent(board, agent)


def note_free(agent: AgentState, free: int, received: int) -> None:
    """Takes over an agent's count of free slots.

    The tasks that were on their way when the agent counted use up slots
    that it still took for free.
    """
    under_way = max(0, agent.assigned - received)
    agent.free = free - under_way


def on_report(board: EntryBoard, node: str, report: message.Report) -> None:
    """Takes in finished and refused tasks."""
    agent = board.agents.get(report.agent)
    if agent is not None:
        note_free(agent, report.free, report.received)
    state = board.jobs.get(report.job)
    if state is not None and state.answer is None:
        for item in report.tasks:
            TAKERS[item.state](board, state, report, item)
            if state.phase not in _TAKING:
                break
        answers.check_over(board, state)
        if state.phase is Phase.RUNNING and report.ballot > state.ballot:
            claims.find_new_coordinator(board, state, report.ballot)
    if agent is not None:
        dispatch.dispatch_to_agent(board, agent)


# Phases in which reports of this entry's own ballot are of use.
_TAKING = (Phase.SEALING, Phase.ACCEPTING, Phase.RUNNING, Phase.CLOSING)


def _take_finished(
    board: EntryBoard,
    state: JobState,
    report: message.Report,
    item: TaskReport,
) -> None:
    """Records an outcome; what was unknown is known now."""
    if state.phase not in _TAKING:
        return
    known = state.outcomes.get(item.index)
    if known is not None and known.kind is not outcome.OutcomeKind.UNKNOWN:
        return
    state.outcomes[item.index] = item.outcome
    state.assignments.pop(item.index, None)
    agent = board.agents.get(report.agent)
    if agent is not None:
        pool.note_finished(agent)
    if item.outcome.kind is outcome.OutcomeKind.DONE:
        # What failed says nothing of how long tasks take.
        admission.learn(board, state.submission.service, item.run_s)
    pool.probation(board, state.submission.service).record_finish(
        report.agent,
        item.outcome.kind is outcome.OutcomeKind.DONE,
        board.now_s,
    )


def _take_refused(
    board: EntryBoard,
    state: JobState,
    report: message.Report,
    item: TaskReport,
) -> None:
    """Puts a task that did not start back into the queue."""
    if item.refusal is Refusal.SEALED:
        return
    held = state.assignments.get(item.index)
    if held is None or held.agent != report.agent:
        return
    if report.ballot != state.ballot or item.attempt < held.attempt:
        return
    del state.assignments[item.index]
    board.counters[f"handed_back_{item.refusal}"] += 1
    _note_refusal(board, state, report.agent, item.refusal, held.sent_s)
    if state.phase is not Phase.RUNNING:
        return
    reason = state.cancel_reason
    if item.refusal is Refusal.OUTSIDE_RETENTION:
        reason = reason or "its key is no longer remembered"
    if reason:
        state.outcomes[item.index] = outcome.not_run(reason)
    else:
        dispatch.enqueue(board, state, [item.index])


def _note_refusal(
    board: EntryBoard,
    state: JobState,
    node: str,
    refusal: Refusal,
    sent_s: float,
) -> None:
    """Takes in what a refusal tells of the agent itself.

    A busy agent remembers by itself that tasks wait here, until it is told
    otherwise. Any other one gets nothing more until it speaks of free slots
    again.
    """
    agent = board.agents.get(node)
    if agent is None:
        return
    if refusal is Refusal.BUSY:
        wants.note_wish(board, agent)
        return
    agent.free = 0
    if refusal in RESTING_REFUSALS:
        pool.note_refusal(board, agent, sent_s)
        wants.withdraw_from(board, agent)


def _take_started(
    board: EntryBoard,
    state: JobState,
    report: message.Report,
    item: TaskReport,
) -> None:
    """A started task needs nothing but patience."""


TAKERS = {
    TaskState.FINISHED: _take_finished,
    TaskState.REFUSED: _take_refused,
    TaskState.STARTED: _take_started,
}
