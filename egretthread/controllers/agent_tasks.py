"""Agent: starts each task at most once and reports what became of it."""

import collections

from egretthread import ledger, message
from egretthread.blackboard import AgentBoard, EntryWish, StartOrder
from egretthread.controllers import agent_leases
from egretthread.jobkey import JobRef
from egretthread.message import Ballot, Refusal, TaskReport, TaskState
from egretthread.outcome import Outcome, OutcomeKind

# A slot given to an entry is held this long for its next task.
CREDIT_HOLD_S = 0.02


def _is_expired(board: AgentBoard, job: JobRef) -> bool:
    return job.issued_s < board.horizon_s


def _refusal(board: AgentBoard, node: str, assign: message.Assign) -> Refusal:
    """Returns why a new task of this message may not start now."""
    refusal = agent_leases.refusal(board)
    if refusal is not Refusal.NONE:
        return refusal
    if assign.service != board.settings.service:
        return Refusal.WRONG_SERVICE
    if _is_expired(board, assign.job):
        return Refusal.OUTSIDE_RETENTION
    if agent_leases.free_slots(board) <= 0:
        return Refusal.BUSY
    return Refusal.NONE


def on_assign(board: AgentBoard, node: str, assign: message.Assign) -> None:
    """Starts the tasks that may start and refuses the others for good."""
    if assign.agent != board.node:
        board.counters["assigns_for_others"] += 1
        return
    count = len(assign.tasks)
    board.links[node] = board.links.get(node, 0) + count
    _release_holds(board, node, count)
    entry = ledger.job_entry(board.ledger, assign.job)
    superseded = assign.ballot < entry.ballot
    if not superseded:
        _raise_ballot(board, assign.job, entry, assign.ballot)
    reports = []
    for task in assign.tasks:
        report = ledger.known_report(entry, task)
        if report is None:
            refusal = Refusal.SEALED
            if not superseded:
                refusal = _refusal(board, node, assign)
            report = _start_or_refuse(board, assign, entry, task, refusal)
        if report is not None and report.state is not TaskState.STARTED:
            reports.append(report)
    _wish_for_refused(board, node, reports)
    if reports:
        _send_report(board, node, assign.job, entry, tuple(reports))


def _raise_ballot(
    board: AgentBoard, job: JobRef, entry: ledger.JobEntry, ballot: Ballot
) -> None:
    """Moves a job to a higher ballot and tells its coordinator until then.

    A coordinator that was taken over while it lives would else wait for
    reports that now go to its successor.
    """
    previous = entry.ballot.coordinator
    ledger.raise_ballot(entry, ballot)
    if previous and previous != entry.ballot.coordinator:
        _send_report(board, previous, job, entry, ())


def _start_or_refuse(
    board: AgentBoard,
    assign: message.Assign,
    entry: ledger.JobEntry,
    task: message.TaskAssignment,
    refusal: Refusal,
) -> TaskReport | None:
    if refusal is not Refusal.NONE:
        board.counters[f"refused_{refusal}"] += 1
    if refusal is Refusal.SEALED:
        # Not remembered: under the present ballot attempts count afresh.
        return ledger.refused(task.index, task.attempt, refusal)
    if refusal is not Refusal.NONE:
        return ledger.refuse(entry, task.index, task.attempt, refusal)
    ledger.start(entry, task)
    board.running += 1
    board.counters["starts"] += 1
    board.to_start.append(
        StartOrder(
            assign.job,
            assign.service,
            task.index,
            task.attempt,
            task.payload,
            task.timeout_s,
            board.now_s,
        )
    )
    return None


def _release_holds(board: AgentBoard, node: str, count: int) -> None:
    """Frees the slots held for an entry that now uses them."""
    kept = []
    for until_s, holder, held in board.held:
        used = min(held, count) if holder == node else 0
        count -= used
        if held > used:
            kept.append((until_s, holder, held - used))
    board.held = kept


def _wish_for_refused(
    board: AgentBoard, node: str, reports: list[TaskReport]
) -> None:
    """Remembers that an entry has work for slots that were not free."""
    busy = sum(report.refusal is Refusal.BUSY for report in reports)
    if busy and node not in board.wishes:
        board.wishes[node] = EntryWish(board.now_s)


def _send_report(
    board: AgentBoard,
    node: str,
    job: JobRef,
    entry: ledger.JobEntry,
    reports: tuple[TaskReport, ...],
) -> None:
    board.send(
        node,
        message.Report(
            job,
            entry.ballot,
            board.node,
            reports,
            free=agent_leases.free_for(board, node),
            received=board.links.get(node, 0),
        ),
    )


def may_start(board: AgentBoard, order: StartOrder) -> bool:
    """Whether a task may start at this very moment.

    The shell asks right before it writes the request to the backend server,
    with no wait in between: a process that was paused must not start a task
    under a lease that has lapsed meanwhile.
    """
    refusal = agent_leases.refusal(board)
    if refusal is Refusal.DRAINING and not board.view.draining:
        # A task accepted before a graceful shutdown still runs.
        refusal = Refusal.NONE
    if refusal is Refusal.NONE and _is_expired(board, order.job):
        refusal = Refusal.OUTSIDE_RETENTION
    if refusal is Refusal.NONE:
        return True
    cancel_start(board, order, refusal)
    return False


def cancel_start(
    board: AgentBoard, order: StartOrder, refusal: Refusal
) -> None:
    """Reports a task that provably did not reach the backend server."""
    entry = board.ledger.jobs[order.job]
    report = ledger.withdraw_start(entry, order.index, refusal)
    board.running -= 1
    board.counters[f"refused_{refusal}"] += 1
    give_credits(board)
    reports = (report,)
    if not entry.running:
        # Finished tasks waited for this one to be reported with them.
        reports += ledger.take_unreported(entry)
    _send_report(board, entry.ballot.coordinator, order.job, entry, reports)


def on_finished(board: AgentBoard, order: StartOrder, outcome: Outcome) -> None:
    """Records the outcome of a task and reports when the job's part is over.

    Results wait until no task of the job runs here: the job's answer needs
    all of them, and a message per job costs less than one per task.
    """
    entry = board.ledger.jobs[order.job]
    run_s = max(0.0, board.now_s - order.accepted_s)
    ledger.finish(entry, order.index, outcome, run_s)
    board.running -= 1
    board.recent.append(outcome.kind is not OutcomeKind.DONE)
    board.counters[f"tasks_{outcome.kind}"] += 1
    # Slots given as credits must not be reported as free too.
    give_credits(board)
    if not entry.running:
        flush_job(board, order.job)


def flush_job(board: AgentBoard, job: JobRef) -> None:
    """Sends the finished tasks of a job to its coordinator."""
    entry = board.ledger.jobs[job]
    if not entry.unreported:
        return
    reports = ledger.take_unreported(entry)
    _send_report(board, entry.ballot.coordinator, job, entry, reports)


def on_want(board: AgentBoard, node: str, want: message.Want) -> None:
    """Remembers or forgets that an entry has tasks waiting."""
    if want.count <= 0:
        board.wishes.pop(node, None)
        return
    board.wishes[node] = EntryWish(board.now_s - want.waited_s)
    give_credits(board)


def give_credits(board: AgentBoard) -> None:
    """Gives free slots to the entries whose tasks have waited longest.

    A wish stands until the entry withdraws it. An entry that was given a
    slot goes behind the others.
    """
    if not board.wishes or not agent_leases.is_open(board):
        return
    given = collections.Counter()
    for _ in range(agent_leases.free_slots(board)):
        node = min(board.wishes, key=lambda name: board.wishes[name].since_s)
        board.wishes[node].since_s = board.now_s
        given[node] += 1
    for node, count in given.items():
        board.held.append((board.now_s + CREDIT_HOLD_S, node, count))
    for node, count in given.items():
        _send_credit(board, node, count)


def _send_credit(board: AgentBoard, node: str, count: int) -> None:
    board.counters["credits"] += count
    free = agent_leases.free_for(board, node)
    received = board.links.get(node, 0)
    board.send(node, message.Credit(board.node, free, received))


def on_seal(board: AgentBoard, node: str, seal: message.Seal) -> None:
    """Refuses lower ballots from now on and says what is held of the job.

    What has been forgotten cannot be answered for; silence makes its tasks
    unknown to the entry, never unstarted.
    """
    if _is_expired(board, seal.job) and seal.job not in board.ledger.jobs:
        board.counters["seals_after_retention"] += 1
        return
    if seal.agent == board.node:
        entry = ledger.job_entry(board.ledger, seal.job)
        _raise_ballot(board, seal.job, entry, seal.ballot)
    else:
        entry = ledger.JobEntry(seal.ballot)
    reports = ledger.settled_reports(entry)
    if entry.ballot == seal.ballot:
        entry.unreported.clear()
    board.send(
        node, message.SealReply(seal.job, entry.ballot, board.node, reports)
    )


def on_link_closed(board: AgentBoard, node: str) -> None:
    """Forgets the wishes of an entry whose link is gone."""
    board.links.pop(node, None)
    board.wishes.pop(node, None)
    board.held = [hold for hold in board.held if hold[1] != node]
