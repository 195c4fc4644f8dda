"""Handles the messages and timers of jobs forwarded between entries."""

from egretthread import logs
from egretthread.scheduling import (
    admission,
    dispatch,
    forwarding,
    jobs,
    peerload,
    waitingload,
)
from egretthread.scheduling.entryboard import Answer, EntryBoard, Outcome
from egretthread.scheduling.forwardboard import ReceivedJob, SentJob
from egretthread.scheduling.jobspec import Route
from egretthread.scheduling.runmessage import (
    EntryLoad,
    ForwardCancel,
    ForwardEnd,
    ForwardJob,
    ForwardReply,
)


def on_link_open(board: EntryBoard, node: str) -> None:
    """Records that messages can be sent to an entry."""
    board.forwarding.peers.add(node)


def on_hello(board: EntryBoard, node: str, accepts_jobs: bool) -> None:
    """Records whether an entry takes jobs.

    One of an earlier release does not, and can't read messages about them.
    """
    if accepts_jobs:
        board.forwarding.accepting.add(node)
    else:
        board.forwarding.accepting.discard(node)


def on_link_closed(board: EntryBoard, node: str) -> None:
    """Records that no messages can be sent to an entry.

    Jobs forwarded to it are given up when their lease ends, since the link may
    open again before.
    """
    board.forwarding.peers.discard(node)
    board.forwarding.accepting.discard(node)
    board.forwarding.peer_loads.pop(node, None)


def on_message(board: EntryBoard, node: str, incoming: object) -> None:
    """Handles a message from another entry."""
    HANDLERS[type(incoming)](board, node, incoming)


def _on_load(board: EntryBoard, node: str, load: EntryLoad) -> None:
    if not load.is_question:
        peerload.on_reply(board, node, load)
        _on_still_running(board, node, load)
        return
    wanted = set(load.forwarded)
    open_numbers = []
    for job_id, received in tuple(board.forwarding.received.items()):
        if received.sender != node:
            continue
        if received.number in wanted:
            if _is_recent(board, load.clock_ms):
                received.heard_s = board.now_s
            open_numbers.append(received.number)
        else:
            _stop(board, job_id, received, "not wanted by its entry")
    for number in load.forwarded:
        # Its last message was lost with a link.
        settled = board.forwarding.settled.get((node, number))
        if settled is not None:
            board.forwarding.send(node, settled[0])
    rows = peerload.own_rows(board) if board.load.forward_jobs else ()
    reply = EntryLoad(
        load.number, False, tuple(open_numbers), rows, _clock_ms(board)
    )
    board.forwarding.send(node, reply)


def _clock_ms(board: EntryBoard) -> int:
    return int(board.now_s * 1000)


def _is_recent(board: EntryBoard, echo_ms: int) -> bool:
    """Whether a message that repeats this entry's clock was not held up."""
    return _clock_ms(board) - echo_ms <= forwarding.MAX_MESSAGE_AGE_S * 1000


def _on_still_running(board: EntryBoard, node: str, load: EntryLoad) -> None:
    """Renews the leases of forwarded jobs that their receiver runs."""
    running = set(load.forwarded)
    for sent in tuple(board.forwarding.sent.values()):
        if sent.receiver != node or sent.question >= load.number:
            continue
        if sent.number in running:
            sent.heard_s = board.now_s
            sent.clock_ms = load.clock_ms
            sent.is_accepted = True
        elif sent.is_accepted:
            forwarding.abandon(
                board, sent, Outcome.GIVEN_UP, "lost at the other entry"
            )


def _on_forward(board: EntryBoard, node: str, incoming: ForwardJob) -> None:
    """Takes over a job, or refuses it; answers a repeated message again."""
    forwards = board.forwarding
    number = incoming.number
    if (node, number) in forwards.settled:
        forwards.send(node, forwards.settled[node, number][0])
        return
    received = forwards.received.get(incoming.spec.job)
    if received is not None and (received.sender, received.number) == (
        node,
        number,
    ):
        forwards.send(node, ForwardReply(number, True))
        return
    route = next(
        (
            each
            for each in board.operator_state.routes
            if each.name == incoming.route
        ),
        None,
    )
    reason = _refusal_reason(board, incoming, route)
    if not reason:
        _take(board, node, incoming, route)
        return
    board.counters["forwarded_jobs_rejected"] += 1
    logs.info(
        "forwarded_job_rejected",
        job=incoming.spec.job,
        entry=node,
        number=number,
        reason=reason,
    )
    forwarding.settle(board, node, number, ForwardReply(number, False, reason))


def _refusal_reason(
    board: EntryBoard, incoming: ForwardJob, route: Route | None
) -> str:
    """Returns why a job is not received over; empty if it is."""
    spec = incoming.spec
    if not board.load.forward_jobs:
        return "not enabled"
    if board.is_shutting_down:
        return "shutting down"
    if not _is_recent(board, incoming.echo_ms):
        return "too old"
    if route is None:
        return "unknown route"
    if (
        spec.kept
        or spec.job in board.jobs
        or spec.job in board.forwarding.sent
        or spec.job in board.orphaned_runs
        or spec.job in board.crashes.blamed_jobs
        or board.crashes.is_confined(route.name, board.now_s)
    ):
        return "not allowed here"
    rows = {row.service: row for row in peerload.current_rows(board)}
    free_cpu = peerload.free_cpu(rows.get(route.service), spec)
    if free_cpu < peerload.first_cpu(spec):
        return "no free capacity"
    if _expected_wait_s(board, incoming, route) > 0:
        return "not in time"
    return ""


def _expected_wait_s(
    board: EntryBoard, incoming: ForwardJob, route: Route
) -> float:
    """Returns how long a job would wait here; infinite if that is too long."""
    job = jobs.new_job(board, incoming.spec, route)
    critical_s = jobs.critical_path_s(job.spec, job.expected_s)
    slack_s = incoming.objective_left_ms / 1000 - critical_s
    if incoming.left_ms / 1000 < critical_s:
        return float("inf")
    load = waitingload.load(board, route, board.now_s + slack_s)
    return admission.expected_wait_s(load, slack_s)


def _take(
    board: EntryBoard, node: str, incoming: ForwardJob, route: Route
) -> None:
    job = jobs.new_job(board, incoming.spec, route, incoming.left_ms / 1000)
    job.objective_s = board.now_s + incoming.objective_left_ms / 1000
    board.forwarding.received[job.id] = ReceivedJob(
        incoming.number, node, board.now_s, board.now_s
    )
    # Its capacity is no longer free for the next job.
    board.forwarding.own_rows_s = float("-inf")
    critical_s = jobs.critical_path_s(job.spec, job.expected_s)
    work_cpu_s = peerload.first_cpu(job.spec) * critical_s
    board.arrived_work.add(board.now_s, route.priority, work_cpu_s)
    board.counters["forwarded_jobs_accepted"] += 1
    logs.info(
        "forwarded_job_accepted",
        job=job.id,
        entry=node,
        number=incoming.number,
        route=route.name,
        left_s=incoming.left_ms / 1000,
        objective_left_s=incoming.objective_left_ms / 1000,
    )
    board.forwarding.send(node, ForwardReply(incoming.number, True))
    jobs.open_job(board, job)
    dispatch.dispatch_waiting(board)


def _on_reply(board: EntryBoard, node: str, reply: ForwardReply) -> None:
    sent = _find_sent(board, node, reply.number)
    if sent is None:
        return
    if reply.accepted:
        sent.is_accepted = True
        sent.heard_s = board.now_s
    else:
        _return(board, sent, reply.reason)


def _return(board: EntryBoard, sent: SentJob, reason: str) -> None:
    """Decides here about a job that has not been started elsewhere."""
    job_id = sent.spec.job
    board.forwarding.peer_loads.pop(sent.receiver, None)
    if forwarding.forward_again(board, sent):
        return
    board.counters["forwarded_jobs_returned"] += 1
    if sent.refusal_reason or board.is_shutting_down:
        answer = Answer(
            job_id,
            Outcome.REFUSED,
            sent.refusal_reason or "shutdown",
            sent.retry_after_s,
        )
        # As for a job that is refused without having been forwarded.
        board.counters["jobs_refused"] += 1
        forwarding.end(board, sent, answer)
        return
    logs.info(
        "forwarded_job_returned", job=job_id, entry=sent.receiver, reason=reason
    )
    left_s = sent.deadline_s - board.now_s
    job = jobs.new_job(board, sent.spec, sent.route, left_s)
    job.accepted_s = sent.accepted_s
    job.objective_s = sent.objective_s
    jobs.open_job(board, job)
    dispatch.dispatch_waiting(board)


def _on_end(board: EntryBoard, node: str, ended: ForwardEnd) -> None:
    sent = _find_sent(board, node, ended.number)
    if sent is None:
        return
    outcome = Outcome(ended.outcome)
    if outcome is Outcome.CANCELLED:
        # Its caller still waits here.
        outcome = Outcome.GIVEN_UP
    if outcome is Outcome.REFUSED and not sent.is_accepted:
        _return(board, sent, ended.reason)
        return
    if outcome is Outcome.GIVEN_UP:
        fences = board.orphaned_runs.setdefault(sent.spec.job, {})
        fences[-sent.number] = board.now_s + forwarding.FENCE_S
    retry_s = ended.retry_after_ms / 1000
    answer = Answer(sent.spec.job, outcome, ended.reason, retry_s)
    forwarding.end(board, sent, answer)


def _find_sent(board: EntryBoard, node: str, number: int) -> SentJob | None:
    for sent in board.forwarding.sent.values():
        if sent.number == number and sent.receiver == node:
            return sent
    board.counters["outdated_forward_messages"] += 1
    return None


def _on_cancel(board: EntryBoard, node: str, cancel: ForwardCancel) -> None:
    """Stops a job; one that has not arrived yet is not received over later."""
    number = cancel.number
    for job_id, received in tuple(board.forwarding.received.items()):
        if received.sender == node and received.number == number:
            _stop(board, job_id, received, "cancelled by its entry")
            return
    settled = board.forwarding.settled.get((node, number))
    if settled is not None:
        board.forwarding.send(node, settled[0])
        return
    outgoing = ForwardEnd(number, Outcome.REFUSED.value, "not received")
    forwarding.settle(board, node, number, outgoing)


def _stop(
    board: EntryBoard, job_id: str, received: ReceivedJob, reason: str
) -> None:
    """Stops a job that its sender no longer answers.

    If its caller has submitted it here too, it goes on.
    """
    job = board.jobs.get(job_id)
    if received.is_joined or job is None:
        del board.forwarding.received[job_id]
        answer = Answer(job_id, Outcome.GIVEN_UP, reason)
        forwarding.report_end(board, received, answer)
        return
    outcome = Outcome.REFUSED
    if job.may_have_started:
        outcome = Outcome.CANCELLED
    jobs.close(board, job, Answer(job_id, outcome, reason))


HANDLERS = {
    EntryLoad: _on_load,
    ForwardJob: _on_forward,
    ForwardReply: _on_reply,
    ForwardEnd: _on_end,
    ForwardCancel: _on_cancel,
}


def cancel(board: EntryBoard, job_id: str, reason: str) -> bool:
    """Cancels a job whose caller here has left, if it was forwarded.

    Returns:
        Whether nothing else has to be done about it here.
    """
    sent = board.forwarding.sent.get(job_id)
    if sent is not None:
        forwarding.abandon(board, sent, Outcome.CANCELLED, reason)
        return True
    received = board.forwarding.received.get(job_id)
    if received is not None and received.is_joined:
        # The entry that has forwarded it may still have its caller.
        received.is_joined = False
        return True
    return False


def on_tick(board: EntryBoard) -> None:
    """Ends what has timed out; asks other entries for their load if due."""
    forwards = board.forwarding
    for sent in tuple(forwards.sent.values()):
        _check_sent(board, sent)
    for job_id, received in tuple(forwards.received.items()):
        if board.now_s - received.heard_s >= forwarding.LEASE_S:
            _stop(board, job_id, received, "its entry is lost")
    for key, (_, settled_s) in tuple(forwards.settled.items()):
        if board.now_s - settled_s < forwarding.SETTLED_RETENTION_S:
            break
        del forwards.settled[key]
    if board.load.forward_jobs or forwards.sent:
        peerload.forget_old(board)
        peerload.ask_if_due(board)


def _check_sent(board: EntryBoard, sent: SentJob) -> None:
    """Gives up a forwarded job whose deadline or lease has passed."""
    if board.now_s >= sent.deadline_s:
        forwarding.abandon(board, sent, Outcome.GIVEN_UP, "deadline")
    elif board.now_s - sent.heard_s >= forwarding.LEASE_S:
        forwarding.abandon(
            board, sent, Outcome.GIVEN_UP, "other entry unreachable"
        )
    elif not (sent.is_accepted or sent.is_cancelling) and (
        board.now_s - sent.sent_s >= forwarding.REPLY_TIMEOUT_S
    ):
        sent.is_cancelling = True
        board.forwarding.send(sent.receiver, ForwardCancel(sent.number))


def give_up_all(board: EntryBoard) -> None:
    """Answers every job that was forwarded because the entry exits."""
    for sent in tuple(board.forwarding.sent.values()):
        forwarding.abandon(board, sent, Outcome.GIVEN_UP, "shutdown")
