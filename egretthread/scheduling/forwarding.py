"""Decides which jobs are forwarded to another entry, and records them.

A job is forwarded when it can't be served in time here, none of its tasks has
been ordered, and another entry has free capacity for it now. The sender remains
the one that answers the caller.
"""

from egretthread import logs
from egretthread.scheduling import peerload
from egretthread.scheduling.entryboard import Answer, EntryBoard, Job, Outcome
from egretthread.scheduling.forwardboard import ReceivedJob, SentJob
from egretthread.scheduling.jobspec import JobSpec, Route
from egretthread.scheduling.runmessage import (
    ForwardCancel,
    ForwardEnd,
    ForwardJob,
)

# Time without news after which a forwarded job is given up by its sender, and
# stopped by its receiver. With the time to stop its runs, it is less than the
# time after which callers submit a job again.
LEASE_S = 0.3
# Time after which a sender cancels a job to which there was no reply: a few
# round trips.
REPLY_TIMEOUT_S = 0.15
# Age beyond which a message does not start a job or renew its lease: it was
# delayed in transit, and the job may have been given up and submitted again.
MAX_MESSAGE_AGE_S = peerload.MAX_AGE_S + REPLY_TIMEOUT_S
# Age of a job without a reply beyond which its receiver gets no other job.
SLOW_REPLY_S = 0.05
# Maximum number of jobs without an answer at one entry.
MAX_OPEN_PER_ENTRY = 32
# Number of entries that may turn a job down before its sender decides.
MAX_TRIES = 3
# Time for the job and its answer to be transmitted.
TRANSFER_S = 0.01
# Time to end the runs of a job, also if their stops are not answered.
STOP_S = 0.57
# Time in which the runs of a job have ended whose receiver is lost. A job that
# is submitted again earlier waits for it.
FENCE_S = MAX_MESSAGE_AGE_S + LEASE_S + STOP_S
# Time for which the last message about a job is kept to be repeated.
SETTLED_RETENTION_S = 10.0


def is_eligible(board: EntryBoard, spec: JobSpec, route: Route) -> bool:
    """Whether a job, none of whose tasks was ordered here, may be forwarded."""
    return (
        board.load.forward_jobs
        and peerload.may_reach_more(board)
        and not spec.kept
        and not board.is_shutting_down
        and spec.job not in board.forwarding.received
        and spec.job not in board.forwarding.sent
        and spec.job not in board.orphaned_runs
        and not board.crashes.is_confined(route.name, board.now_s)
        and not any(
            step.required_label or step.room.gpu > 0 for step in spec.steps
        )
    )


def forward_job(
    board: EntryBoard,
    job: Job,
    critical_s: float,
    wait_s: float,
    refusal: Answer | None,
) -> bool:
    """Passes on a job that can't be served here; returns whether it was.

    Args:
        board: The blackboard.
        job: The job.
        critical_s: Expected run time of its critical path.
        wait_s: Expected wait here.
        refusal: The answer if it isn't forwarded; None if it is queued here.
    """
    if not is_eligible(board, job.spec, job.route):
        return False
    peerload.on_short(board)
    sent = SentJob(
        job.spec,
        job.route,
        job.accepted_s,
        job.deadline_s,
        job.objective_s,
        critical_s,
        wait_s,
        refusal.reason if refusal else "",
        refusal.retry_after_s if refusal else 0.0,
    )
    return _try_next(board, sent)


def forward_again(board: EntryBoard, sent: SentJob) -> bool:
    """Passes a job on that was rejected, unless that happened too often."""
    del board.forwarding.sent[sent.spec.job]
    if board.is_shutting_down or sent.tries >= MAX_TRIES:
        return False
    return _try_next(board, sent)


def _try_next(board: EntryBoard, sent: SentJob) -> bool:
    """Passes a job on to an entry that can serve it in time, if any."""
    end_s = sent.deadline_s
    if not sent.refusal_reason:
        end_s = min(end_s, sent.objective_s)
    if end_s - board.now_s - sent.critical_s < 2 * TRANSFER_S:
        return False
    receiver, free_cpu = choose(board, sent.spec, sent.route.service)
    if not receiver:
        return False
    _send(board, sent, receiver, free_cpu)
    return True


def choose(board: EntryBoard, spec: JobSpec, service: str) -> tuple[str, int]:
    """Returns the entry with the most free capacity for a job, and how much.

    The node id is empty when none has enough.
    """
    best, best_cpu = "", 0
    needed_cpu = peerload.first_cpu(spec)
    for node, reported in board.forwarding.peer_loads.items():
        cpu = peerload.free_cpu_at(board, node, service, spec)
        if cpu < needed_cpu or cpu <= best_cpu:
            continue
        jobs = _open_at(board, node)
        if node not in board.forwarding.peers or not _may_get_more(board, jobs):
            continue
        # Those forwarded since that entry determined its load.
        cpu -= sum(
            peerload.first_cpu(job.spec)
            for job in jobs
            if job.question >= reported.number
        )
        if cpu >= needed_cpu and cpu > best_cpu:
            best, best_cpu = node, cpu
    return best, best_cpu


def _open_at(board: EntryBoard, node: str) -> list[SentJob]:
    """Returns the jobs forwarded to an entry and not answered."""
    return [
        job for job in board.forwarding.sent.values() if job.receiver == node
    ]


def _may_get_more(board: EntryBoard, jobs: list[SentJob]) -> bool:
    """Whether an entry replies and has not too many jobs of this one."""
    return len(jobs) < MAX_OPEN_PER_ENTRY and all(
        job.is_accepted or board.now_s - job.sent_s < SLOW_REPLY_S
        for job in jobs
    )


def _send(
    board: EntryBoard, sent: SentJob, receiver: str, free_cpu: int
) -> None:
    forwards = board.forwarding
    forwards.last_number += 1
    sent.number = forwards.last_number
    sent.receiver = receiver
    sent.tries += 1
    sent.sent_s = sent.heard_s = board.now_s
    sent.question = forwards.last_question
    sent.clock_ms = forwards.peer_loads[receiver].clock_ms
    sent.is_accepted = sent.is_cancelling = False
    forwards.sent[sent.spec.job] = sent
    left_s = sent.deadline_s - board.now_s - TRANSFER_S
    objective_left_s = sent.objective_s - board.now_s - TRANSFER_S
    forwards.send(
        receiver,
        ForwardJob(
            sent.number,
            sent.spec,
            sent.route.name,
            max(0, int(left_s * 1000)),
            int(objective_left_s * 1000),
            sent.clock_ms,
        ),
    )
    board.counters["jobs_forwarded"] += 1
    logs.info(
        "job_forwarded",
        job=sent.spec.job,
        entry=receiver,
        number=sent.number,
        tries=sent.tries,
        reason=sent.refusal_reason or "late here",
        route=sent.route.name,
        wait_s=sent.wait_s,
        objective_left_s=sent.objective_s - board.now_s,
        needed_cpu=peerload.first_cpu(sent.spec) / 1000,
        free_cpu_there=free_cpu / 1000,
        load_age_s=board.now_s - forwards.peer_loads[receiver].received_s,
    )


def join(board: EntryBoard, job: str, wait_limit_s: float) -> bool:
    """Extends the deadline of a forwarded job that is submitted again.

    Returns:
        Whether it is answered by this entry once its receiver has.
    """
    sent = board.forwarding.sent.get(job)
    if sent is not None:
        sent.deadline_s = max(sent.deadline_s, board.now_s + wait_limit_s)
        return True
    received = board.forwarding.received.get(job)
    if received is not None:
        received.is_joined = True
    return False


def end(board: EntryBoard, sent: SentJob, answer: Answer) -> None:
    """Answers the caller of a job that was forwarded."""
    board.forwarding.sent.pop(sent.spec.job, None)
    board.answers.append(answer)
    board.counters[f"forwarded_jobs_{answer.outcome.value}"] += 1
    board.samples.append(("job_seconds", board.now_s - sent.accepted_s))
    logs.info(
        "forwarded_job_ended",
        job=sent.spec.job,
        entry=sent.receiver,
        number=sent.number,
        outcome=answer.outcome,
        reason=answer.reason,
        was_accepted=sent.is_accepted,
        took_s=board.now_s - sent.accepted_s,
        there_s=board.now_s - sent.sent_s,
        objective_left_s=sent.objective_s - board.now_s,
        retry_after_s=answer.retry_after_s,
        route=sent.route.name,
    )


def abandon(
    board: EntryBoard, sent: SentJob, outcome: Outcome, reason: str
) -> None:
    """Answers a job that may still run at its receiver, and has it stopped."""
    board.forwarding.send(sent.receiver, ForwardCancel(sent.number))
    fences = board.orphaned_runs.setdefault(sent.spec.job, {})
    fences[-sent.number] = board.now_s + FENCE_S
    end(board, sent, Answer(sent.spec.job, outcome, reason))


def on_closed(board: EntryBoard, job: Job, answer: Answer) -> None:
    """Tells the sender of a job that was received over how it has ended."""
    received = board.forwarding.received.pop(job.id, None)
    if received is not None:
        report_end(board, received, answer)


def report_end(
    board: EntryBoard, received: ReceivedJob, answer: Answer
) -> None:
    """Sends the outcome of a job to its sender."""
    outgoing = ForwardEnd(
        received.number,
        answer.outcome.value,
        answer.reason,
        int(answer.retry_after_s * 1000),
    )
    settle(board, received.sender, received.number, outgoing)


def settle(
    board: EntryBoard, sender: str, number: int, outgoing: object
) -> None:
    """Sends the last message about a job, and keeps it to be repeated."""
    board.forwarding.settled[sender, number] = (outgoing, board.now_s)
    board.forwarding.send(sender, outgoing)
