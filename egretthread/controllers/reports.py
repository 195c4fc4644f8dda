"""Entry controller: handles the credits and reports of agents."""

from egretthread import message, outcome
from egretthread.blackboard import AgentState, EntryBoard
from egretthread.controllers import (
    admission,
    answers,
    claims,
    dispatch,
    pool,
    slot_requests,
)
from egretthread.jobstate import JobState, Phase
from egretthread.message import Refusal, TaskReport, TaskState

# Refusals after which agents still offer free slots, so that entries have to
# back off from them.
BACKOFF_REFUSALS = (Refusal.BACKEND_UNREACHABLE, Refusal.WRONG_SERVICE)


def on_credit(board: EntryBoard, node: str, credit: message.Credit) -> None:
    """Uses the slots that an agent has reserved for this entry."""
    agent = board.agents.get(credit.agent)
    if agent is None:
        return
    record_free_slots(agent, credit.free, credit.received)
    # The agent deducted the granted slots from its copy of the request.
    agent.requested_slots = max(0, agent.requested_slots - max(0, credit.free))
    dispatch.dispatch_to_agent(board, agent)


def record_free_slots(agent: AgentState, free: int, received: int) -> None:
    """Records an agent's count of free slots, less the tasks in flight.

    The agent counted before it received the tasks in flight, so they will
    use some of these slots.
    """
    in_flight = max(0, agent.assigned - received)
    agent.free = free - in_flight


def on_report(board: EntryBoard, node: str, report: message.Report) -> None:
    """Applies the finished and refused tasks of a report."""
    agent = board.agents.get(report.agent)
    if agent is not None:
        record_free_slots(agent, report.free, report.received)
    state = board.jobs.get(report.job)
    if state is not None and state.answer is None:
        for task in report.tasks:
            REPORT_HANDLERS[task.state](board, state, report, task)
            if state.phase not in _REPORT_PHASES:
                break
        answers.finish_if_settled(board, state)
        if state.phase is Phase.RUNNING and report.ballot > state.ballot:
            claims.step_down(board, state, report.ballot)
    if agent is not None:
        dispatch.dispatch_to_agent(board, agent)


# Phases in which this entry uses the outcomes that agents report.
_REPORT_PHASES = (Phase.SEALING, Phase.ACCEPTING, Phase.RUNNING, Phase.CLOSING)


def _on_finished(
    board: EntryBoard,
    state: JobState,
    report: message.Report,
    task: TaskReport,
) -> None:
    """Records an outcome, which may replace an unknown one."""
    if state.phase not in _REPORT_PHASES:
        return
    known = state.outcomes.get(task.index)
    if known is not None and known.kind is not outcome.OutcomeKind.UNKNOWN:
        return
    state.outcomes[task.index] = task.outcome
    state.assignments.pop(task.index, None)
    agent = board.agents.get(report.agent)
    if agent is not None:
        pool.record_run(agent)
    if task.outcome.kind is outcome.OutcomeKind.DONE:
        # A failed task does not show how long tasks take.
        admission.record_run_time(board, state.submission.service, task.run_s)
    pool.probation(board, state.submission.service).record_finish(
        report.agent,
        task.outcome.kind is outcome.OutcomeKind.DONE,
        board.now_s,
    )


def _on_refused(
    board: EntryBoard,
    state: JobState,
    report: message.Report,
    task: TaskReport,
) -> None:
    """Enqueues a task again that an agent refused to start."""
    if task.refusal is Refusal.SEALED:
        return
    assignment = state.assignments.get(task.index)
    if assignment is None or assignment.agent != report.agent:
        return
    if report.ballot != state.ballot or task.attempt < assignment.attempt:
        return
    del state.assignments[task.index]
    board.counters[f"handed_back_{task.refusal}"] += 1
    _record_refusal(board, state, report.agent, task.refusal, assignment.sent_s)
    if state.phase is not Phase.RUNNING:
        return
    reason = state.cancel_reason
    if task.refusal is Refusal.OUTSIDE_RETENTION:
        reason = reason or "its key is older than the retention"
    if reason:
        state.outcomes[task.index] = outcome.not_run(reason)
    else:
        dispatch.enqueue(board, state, [task.index])


def _record_refusal(
    board: EntryBoard,
    state: JobState,
    node: str,
    refusal: Refusal,
    sent_s: float,
) -> None:
    """Updates what this entry knows about an agent that refused a task.

    A busy agent infers a slot request from the refused task, which stands
    until this entry withdraws it. Any other agent counts as full until it
    reports free slots again.
    """
    agent = board.agents.get(node)
    if agent is None:
        return
    if refusal is Refusal.BUSY:
        slot_requests.record_implied_request(board, agent)
        return
    agent.free = 0
    if refusal in BACKOFF_REFUSALS:
        pool.record_refusal(board, agent, sent_s)
        slot_requests.withdraw_from(board, agent)


def _on_started(
    board: EntryBoard,
    state: JobState,
    report: message.Report,
    task: TaskReport,
) -> None:
    """Ignores a started task, which is reported again once it ends."""


REPORT_HANDLERS = {
    TaskState.FINISHED: _on_finished,
    TaskState.REFUSED: _on_refused,
    TaskState.STARTED: _on_started,
}
