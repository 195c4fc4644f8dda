"""Agent: starts each task at most once and reports what became of it."""

import collections
import dataclasses

from egretthread import credit, ledger, message
from egretthread.agentboard import AgentBoard, StartOrder
from egretthread.controllers import agent_leases
from egretthread.jobkey import JobRef
from egretthread.message import Ballot, Refusal, TaskReport, TaskState
from egretthread.outcome import Outcome, OutcomeKind

# How long an agent keeps links with all entries once an entry without a link
# has taken over a job: as long as the job may take.
DIAL_ALL_S = 120.0


def _is_expired(board: AgentBoard, job: JobRef) -> bool:
    return job.issued_s < board.horizon_s


def _refusal(board: AgentBoard, assign: message.Assign, room: int) -> Refusal:
    """Returns why a new task of this message may not start now."""
    refusal = agent_leases.refusal(board)
    if refusal is not Refusal.NONE:
        return refusal
    if assign.service != board.settings.service:
        return Refusal.WRONG_SERVICE
    if _is_expired(board, assign.job):
        return Refusal.OUTSIDE_RETENTION
    if room <= 0:
        return Refusal.BUSY
    return Refusal.NONE


def on_assign(board: AgentBoard, node: str, assign: message.Assign) -> None:
    """Starts the tasks that may start and refuses the others for good."""
    if assign.agent != board.node:
        board.counters["assigns_for_others"] += 1
        return
    count = len(assign.tasks)
    board.received_by_entry[node] = board.received_by_entry.get(node, 0) + count
    room = credit.accepted(
        count,
        agent_leases.free_slots(board),
        agent_leases.held_for(board, node),
        assign.may_queue,
        credit.rule_for(board.slots),
    )
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
                refusal = _refusal(board, assign, room)
            room -= refusal is Refusal.NONE
            report = _start_or_refuse(board, assign, entry, task, refusal)
        if report is not None and report.state is not TaskState.STARTED:
            reports.append(report)
    _note_wish(board, node, assign, reports)
    granted = _grant_credits(board)
    if reports:
        granted.discard(node)
        _send_report(board, node, assign.job, entry, tuple(reports))
    _send_credits(board, granted)


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
    board.counters["starts"] += 1
    board.waiting.append(
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
    _fill_slots(board)
    return None


def _fill_slots(board: AgentBoard) -> None:
    """Gives free slots to the accepted tasks that wait for one."""
    while board.waiting and board.running < board.slots:
        order = board.waiting.popleft()
        board.running += 1
        board.to_start.append(
            dataclasses.replace(order, accepted_s=board.now_s)
        )


def refuse_waiting(board: AgentBoard) -> None:
    """Refuses the accepted tasks that wait while none may start.

    They provably did not start, so other agents may have them at once.
    """
    refusal = agent_leases.refusal(board)
    if refusal is Refusal.NONE or board.draining:
        return
    waiting, board.waiting = board.waiting, collections.deque()
    for order in waiting:
        _hand_back(board, order, refusal)


def _release_holds(board: AgentBoard, node: str, count: int) -> None:
    """Frees the slots held for an entry that now uses them."""
    kept = []
    for until_s, holder, held in board.held:
        used = min(held, count) if holder == node else 0
        count -= used
        if held > used:
            kept.append((until_s, holder, held - used))
    board.held = kept


def _note_wish(
    board: AgentBoard,
    node: str,
    assign: message.Assign,
    reports: list[TaskReport],
) -> None:
    """Remembers how much more work an entry has, if any."""
    busy = sum(report.refusal is Refusal.BUSY for report in reports)
    count = max(assign.want, busy)
    if count:
        since_s = _since_s(board, node, assign.urgent_s)
        board.slot_requests[node] = credit.SlotRequest(
            count, since_s, assign.may_queue
        )
    else:
        board.slot_requests.pop(node, None)


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
            received=board.received_by_entry.get(node, 0),
        ),
    )


def may_start(board: AgentBoard, order: StartOrder) -> bool:
    """Whether a task may start at this very moment.

    The shell asks right before it writes the request to the backend server,
    with no wait in between: a process that was paused must not start a task
    under a lease that has lapsed meanwhile.
    """
    refusal = agent_leases.refusal(board)
    if refusal is Refusal.DRAINING and not board.config_reply.draining:
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
    board.running -= 1
    _fill_slots(board)
    granted = _grant_credits(board)
    entry = _hand_back(board, order, refusal)
    granted.discard(entry.ballot.coordinator)
    _send_credits(board, granted)


def _hand_back(
    board: AgentBoard, order: StartOrder, refusal: Refusal
) -> ledger.JobEntry:
    entry = board.ledger.jobs[order.job]
    report = ledger.withdraw_start(entry, order.index, refusal)
    board.counters[f"refused_{refusal}"] += 1
    reports = (report,)
    if not entry.running:
        # Finished tasks waited for this one to be reported with them.
        reports += ledger.take_unreported(entry)
    _send_report(board, entry.ballot.coordinator, order.job, entry, reports)
    return entry


def on_finished(board: AgentBoard, order: StartOrder, outcome: Outcome) -> None:
    """Records the outcome of a task and reports when the job's part is over.

    Results wait until no task of the job is left here, since the job's
    answer needs all of them, or until a credit goes to the same entry.
    """
    entry = board.ledger.jobs[order.job]
    run_s = max(0.0, board.now_s - order.accepted_s)
    ledger.finish(entry, order.index, outcome, run_s)
    board.running -= 1
    board.recent.append(outcome.kind is not OutcomeKind.DONE)
    board.counters[f"tasks_{outcome.kind}"] += 1
    _fill_slots(board)
    granted = _grant_credits(board)
    coordinator = entry.ballot.coordinator
    if not entry.running or coordinator in granted:
        # A report tells of the slots held as well as a credit does.
        granted.discard(coordinator)
        flush_job(board, order.job)
    _send_credits(board, granted)


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
        board.slot_requests.pop(node, None)
        return
    since_s = _since_s(board, node, want.urgent_s)
    board.slot_requests[node] = credit.SlotRequest(
        want.count, since_s, want.may_queue
    )
    give_credits(board)


def _since_s(board: AgentBoard, node: str, urgent_s: float) -> float:
    """Returns since when an entry's wish counts.

    It goes behind the others with each grant. By urgency alone an entry
    with an old backlog would keep the slots from another entry's callers.
    """
    granted_s = board.granted_s.get(node, float("-inf"))
    return max(board.now_s - urgent_s, granted_s)


def give_credits(board: AgentBoard) -> None:
    """Gives free slots to the entries whose tasks are most urgent."""
    _send_credits(board, _grant_credits(board))


def _grant_credits(board: AgentBoard) -> set[str]:
    """Holds slots for entries; returns the entries that are to be told."""
    if not board.slot_requests or not agent_leases.is_open(board):
        return set()
    rule = credit.rule_for(board.slots)
    free = agent_leases.free_slots(board)
    granted = credit.grant(board.slot_requests, free, rule)
    credit.deduct_granted(board.slot_requests, granted)
    until_s = board.now_s + rule.hold_s
    for node, count in granted.items():
        board.counters["credits"] += count
        board.granted_s[node] = board.now_s
        board.held.append((until_s, node, count))
    return set(granted)


def _send_credits(board: AgentBoard, nodes: set[str]) -> None:
    for node in sorted(nodes):
        free = agent_leases.free_for(board, node)
        received = board.received_by_entry.get(node, 0)
        board.send(node, message.Credit(board.node, free, received))


def on_seal(board: AgentBoard, node: str, seal: message.Seal) -> None:
    """Refuses lower ballots from now on and says what is held of the job.

    What has been forgotten cannot be answered for; silence makes its tasks
    unknown to the entry, never unstarted.
    """
    if _is_expired(board, seal.job) and seal.job not in board.ledger.jobs:
        board.counters["seals_after_retention"] += 1
        return
    if seal.ballot.coordinator not in board.received_by_entry:
        board.dial_all_until_s = board.now_s + DIAL_ALL_S
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
    board.received_by_entry.pop(node, None)
    board.slot_requests.pop(node, None)
    board.granted_s.pop(node, None)
    board.held = [hold for hold in board.held if hold[1] != node]
