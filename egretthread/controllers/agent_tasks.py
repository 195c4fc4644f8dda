"""Agent controller: starts each task at most once and reports its outcome."""

import collections
import dataclasses

from egretthread import credit, ledger, message
from egretthread.agentboard import AgentBoard, StartCall
from egretthread.controllers import agent_leases
from egretthread.jobkey import JobRef
from egretthread.message import Ballot, Refusal, TaskReport, TaskState
from egretthread.outcome import Outcome, OutcomeKind

# How long an agent keeps links to all entries after an entry without a link
# has taken over a job: the longest time that a job may take.
DIAL_ALL_S = 120.0


def _is_expired(board: AgentBoard, job: JobRef) -> bool:
    return job.issued_s < board.horizon_s


def _refusal(
    board: AgentBoard, assign: message.Assign, capacity: int
) -> Refusal:
    """Returns why a new task of a message may not start, or Refusal.NONE."""
    refusal = agent_leases.refusal(board)
    if refusal is not Refusal.NONE:
        return refusal
    if assign.service != board.settings.service:
        return Refusal.WRONG_SERVICE
    if _is_expired(board, assign.job):
        return Refusal.OUTSIDE_RETENTION
    if capacity <= 0:
        return Refusal.BUSY
    return Refusal.NONE


def on_assign(board: AgentBoard, node: str, assign: message.Assign) -> None:
    """Accepts the tasks that may start and permanently refuses the others."""
    if assign.agent != board.node:
        board.counters["assigns_for_others"] += 1
        return
    count = len(assign.tasks)
    board.received_by_entry[node] = board.received_by_entry.get(node, 0) + count
    capacity = credit.accepted(
        count,
        agent_leases.free_slots(board),
        agent_leases.reserved_for(board, node),
        assign.may_queue,
        credit.rule_for(board.slots),
    )
    _release_reservations(board, node, count)
    job_record = ledger.job_record(board.ledger, assign.job)
    superseded = assign.ballot < job_record.ballot
    if not superseded:
        _raise_ballot(board, assign.job, job_record, assign.ballot)
    reports = []
    for task in assign.tasks:
        report = ledger.known_report(job_record, task)
        if report is None:
            refusal = Refusal.SEALED
            if not superseded:
                refusal = _refusal(board, assign, capacity)
            capacity -= refusal is Refusal.NONE
            report = _start_or_refuse(board, assign, job_record, task, refusal)
        if report is not None and report.state is not TaskState.STARTED:
            reports.append(report)
    _update_slot_request(board, node, assign, reports)
    granted = _reserve_credits(board)
    if reports:
        granted.discard(node)
        _send_report(board, node, assign.job, job_record, tuple(reports))
    _send_credits(board, granted)


def _raise_ballot(
    board: AgentBoard, job: JobRef, job_record: ledger.JobRecord, ballot: Ballot
) -> None:
    """Moves a job to a higher ballot and notifies the previous coordinator.

    Without the notice a coordinator that is still alive would wait for
    reports that now go to its successor.
    """
    previous = job_record.ballot.coordinator
    ledger.raise_ballot(job_record, ballot)
    if previous and previous != job_record.ballot.coordinator:
        _send_report(board, previous, job, job_record, ())


def _start_or_refuse(
    board: AgentBoard,
    assign: message.Assign,
    job_record: ledger.JobRecord,
    task: message.TaskAssignment,
    refusal: Refusal,
) -> TaskReport | None:
    if refusal is not Refusal.NONE:
        board.counters[f"refused_{refusal}"] += 1
    if refusal is Refusal.SEALED:
        # This refusal is not recorded, because under the higher ballot the
        # attempts are counted from the start.
        return ledger.refused(task.index, task.attempt, refusal)
    if refusal is not Refusal.NONE:
        return ledger.refuse(job_record, task.index, task.attempt, refusal)
    ledger.start(job_record, task)
    board.counters["starts"] += 1
    board.waiting.append(
        StartCall(
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
    """Starts accepted tasks from the agent's queue while slots are free."""
    while board.waiting and board.running < board.slots:
        call = board.waiting.popleft()
        board.running += 1
        board.to_start.append(dataclasses.replace(call, accepted_s=board.now_s))


def refuse_waiting(board: AgentBoard) -> None:
    """Refuses the accepted tasks that wait for a slot if none may start.

    They are known not to have started, so the entries can assign them to
    other agents at once.
    """
    refusal = agent_leases.refusal(board)
    if refusal is Refusal.NONE or board.draining:
        return
    waiting, board.waiting = board.waiting, collections.deque()
    for call in waiting:
        _refuse_start(board, call, refusal)


def _release_reservations(board: AgentBoard, node: str, count: int) -> None:
    """Releases the slots reserved for an entry that now uses them."""
    remaining = []
    for until_s, holder, reserved in board.reservations:
        used = min(reserved, count) if holder == node else 0
        count -= used
        if reserved > used:
            remaining.append((until_s, holder, reserved - used))
    board.reservations = remaining


def _update_slot_request(
    board: AgentBoard,
    node: str,
    assign: message.Assign,
    reports: list[TaskReport],
) -> None:
    """Updates an entry's slot request from the counts in its message."""
    busy = sum(report.refusal is Refusal.BUSY for report in reports)
    count = max(assign.want, busy)
    if count:
        since_s = _request_since_s(board, node, assign.urgent_s)
        board.slot_requests[node] = credit.SlotRequest(
            count, since_s, assign.may_queue
        )
    else:
        board.slot_requests.pop(node, None)


def _send_report(
    board: AgentBoard,
    node: str,
    job: JobRef,
    job_record: ledger.JobRecord,
    reports: tuple[TaskReport, ...],
) -> None:
    board.send(
        node,
        message.Report(
            job,
            job_record.ballot,
            board.node,
            reports,
            free=agent_leases.free_for(board, node),
            received=board.received_by_entry.get(node, 0),
        ),
    )


def may_start(board: AgentBoard, call: StartCall) -> bool:
    """Whether a task may start now; reports it as refused otherwise.

    The server process calls this right before it writes the request to the
    backend server, without any wait in between. Otherwise a process that was
    paused could start a task after its lease has expired.
    """
    refusal = agent_leases.refusal(board)
    if refusal is Refusal.DRAINING and not board.config_reply.draining:
        # A task accepted before a graceful shutdown may still start.
        refusal = Refusal.NONE
    if refusal is Refusal.NONE and _is_expired(board, call.job):
        refusal = Refusal.OUTSIDE_RETENTION
    if refusal is Refusal.NONE:
        return True
    cancel_start(board, call, refusal)
    return False


def cancel_start(board: AgentBoard, call: StartCall, refusal: Refusal) -> None:
    """Reports as refused a task that never reached the backend server."""
    board.running -= 1
    _fill_slots(board)
    granted = _reserve_credits(board)
    job_record = _refuse_start(board, call, refusal)
    granted.discard(job_record.ballot.coordinator)
    _send_credits(board, granted)


def _refuse_start(
    board: AgentBoard, call: StartCall, refusal: Refusal
) -> ledger.JobRecord:
    job_record = board.ledger.jobs[call.job]
    report = ledger.withdraw_start(job_record, call.index, refusal)
    board.counters[f"refused_{refusal}"] += 1
    reports = (report,)
    if not job_record.running:
        # Reports of the job's finished tasks were delayed until this one.
        reports += ledger.take_unreported(job_record)
    _send_report(
        board, job_record.ballot.coordinator, call.job, job_record, reports
    )
    return job_record


def on_finished(board: AgentBoard, call: StartCall, outcome: Outcome) -> None:
    """Records the outcome of a task and reports it when a report is due.

    The job's answer needs all of its outcomes, so reports are delayed until
    no task of the job is left at this agent. They are sent earlier if a
    credit is due to the same entry, in the same message.
    """
    job_record = board.ledger.jobs[call.job]
    run_s = max(0.0, board.now_s - call.accepted_s)
    ledger.finish(job_record, call.index, outcome, run_s)
    board.running -= 1
    board.recent_failures.append(outcome.kind is not OutcomeKind.DONE)
    board.counters[f"tasks_{outcome.kind}"] += 1
    _fill_slots(board)
    granted = _reserve_credits(board)
    coordinator = job_record.ballot.coordinator
    if not job_record.running or coordinator in granted:
        # A report also states the reserved slots, so no credit is needed.
        granted.discard(coordinator)
        report_finished(board, call.job)
    _send_credits(board, granted)


def report_finished(board: AgentBoard, job: JobRef) -> None:
    """Reports the finished tasks of a job to its coordinator."""
    job_record = board.ledger.jobs[job]
    if not job_record.unreported:
        return
    reports = ledger.take_unreported(job_record)
    _send_report(board, job_record.ballot.coordinator, job, job_record, reports)


def on_want(board: AgentBoard, node: str, want: message.Want) -> None:
    """Records, updates or withdraws the slot request of an entry."""
    if want.count <= 0:
        board.slot_requests.pop(node, None)
        return
    since_s = _request_since_s(board, node, want.urgent_s)
    board.slot_requests[node] = credit.SlotRequest(
        want.count, since_s, want.may_queue
    )
    grant_credits(board)


def _request_since_s(board: AgentBoard, node: str, urgent_s: float) -> float:
    """Returns the time from which an entry's slot request has waited.

    Each grant moves the entry behind the others. If only urgency counted, an
    entry with an old backlog would starve the callers of the other entries.
    """
    granted_s = board.last_grant_s.get(node, float("-inf"))
    return max(board.now_s - urgent_s, granted_s)


def grant_credits(board: AgentBoard) -> None:
    """Grants free slots to the entries whose requests have waited longest."""
    _send_credits(board, _reserve_credits(board))


def _reserve_credits(board: AgentBoard) -> set[str]:
    """Reserves slots for entries and returns the entries to notify."""
    if not board.slot_requests or not agent_leases.accepts_tasks(board):
        return set()
    rule = credit.rule_for(board.slots)
    free = agent_leases.free_slots(board)
    granted = credit.grant(board.slot_requests, free, rule)
    credit.deduct_granted(board.slot_requests, granted)
    until_s = board.now_s + rule.hold_s
    for node, count in granted.items():
        board.counters["credits"] += count
        board.last_grant_s[node] = board.now_s
        board.reservations.append((until_s, node, count))
    return set(granted)


def _send_credits(board: AgentBoard, nodes: set[str]) -> None:
    for node in sorted(nodes):
        free = agent_leases.free_for(board, node)
        received = board.received_by_entry.get(node, 0)
        board.send(node, message.Credit(board.node, free, received))


def on_seal(board: AgentBoard, node: str, seal: message.Seal) -> None:
    """Refuses lower ballots from now on and replies with the job's tasks.

    A job whose key has expired may have been removed from the ledger, so it
    gets no reply. The entry then counts its tasks as unknown, never as not
    started.
    """
    if _is_expired(board, seal.job) and seal.job not in board.ledger.jobs:
        board.counters["seals_after_retention"] += 1
        return
    if seal.ballot.coordinator not in board.received_by_entry:
        board.dial_all_until_s = board.now_s + DIAL_ALL_S
    if seal.agent == board.node:
        job_record = ledger.job_record(board.ledger, seal.job)
        _raise_ballot(board, seal.job, job_record, seal.ballot)
    else:
        job_record = ledger.JobRecord(seal.ballot)
    reports = ledger.settled_reports(job_record)
    if job_record.ballot == seal.ballot:
        job_record.unreported.clear()
    board.send(
        node,
        message.SealReply(seal.job, job_record.ballot, board.node, reports),
    )


def on_link_closed(board: AgentBoard, node: str) -> None:
    """Removes the slot requests and reservations of a disconnected entry."""
    board.received_by_entry.pop(node, None)
    board.slot_requests.pop(node, None)
    board.last_grant_s.pop(node, None)
    board.reservations = [
        reservation
        for reservation in board.reservations
        if reservation[1] != node
    ]
