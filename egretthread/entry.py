"""The entry's engine: dispatches each event to the controllers.

The engine does no network I/O. Its state is the blackboard, and it leaves
messages to send in the blackboard's outbox.
"""

import random

from egretthread import config, members, message, nodeid, settings
from egretthread.blackboard import EntryBoard
from egretthread.controllers import (
    answers,
    claims,
    dispatch,
    entry_members,
    lookups,
    pool,
    recovery,
    reports,
    requests,
    submissions,
)
from egretthread.jobkey import JobRef
from egretthread.jobstate import Phase
from egretthread.submission import Refusal, SingleRequest, Submission

HANDLERS = {
    message.WitnessReply: claims.on_witness_reply,
    message.AskReply: claims.on_ask_reply,
    message.Seal: recovery.on_seal,
    message.SealReply: recovery.on_seal_reply,
    message.Report: reports.on_report,
    message.Credit: reports.on_credit,
    message.Heartbeat: entry_members.on_heartbeat,
    message.EntryState: entry_members.on_entry_state,
    message.Ask: answers.on_ask,
    message.CancelJob: answers.on_cancel,
}

TICK_HANDLERS = {
    Phase.CLAIMING: claims.on_tick,
    Phase.LOOKING: claims.on_tick,
    Phase.ASKING: claims.on_tick,
    Phase.PREPARING: claims.on_tick,
    Phase.SEALING: recovery.on_tick,
    Phase.ACCEPTING: claims.on_tick,
    Phase.RUNNING: dispatch.on_tick,
    Phase.CLOSING: claims.on_tick,
}


def new_board(
    entry_settings: settings.EntrySettings,
    incarnation: int,
    now_s: float,
    seed: int,
) -> EntryBoard:
    """Returns the blackboard of an entry that has just started."""
    return EntryBoard(
        settings=entry_settings,
        node=nodeid.node_id(entry_settings.name, incarnation),
        rng=random.Random(seed),
        now_s=now_s,
        started_s=now_s,
    )


def set_time(board: EntryBoard, now_s: float, unix_s: float) -> None:
    """Sets the time of the event that is about to be handled."""
    board.now_s = now_s
    board.unix_s = max(board.unix_s, unix_s)
    if board.configuration is not None:
        horizon_s = board.unix_s - board.configuration.retention_s
        board.horizon_s = max(board.horizon_s, horizon_s)


def on_message(board: EntryBoard, node: str, received: message.Message) -> None:
    """Handles one message of an agent or of another entry."""
    handler = HANDLERS.get(type(received))
    if handler is None:
        board.counters["unexpected_messages"] += 1
        return
    board.counters[f"received_{type(received).__name__}"] += 1
    if (
        board.configuration is None
        and type(received) not in _ACCEPTED_WITHOUT_CONFIG
    ):
        return
    handler(board, node, received)


# All other messages are dropped until the entry has a configuration.
_ACCEPTED_WITHOUT_CONFIG = (message.EntryState,)


def on_agent_link_open(board: EntryBoard, node: str) -> None:
    """Resends messages that an agent may have missed without a link."""
    agent = board.agents.get(node)
    if agent is not None:
        agent.is_connected = True
        agent.requested_slots = 0
        agent.assigned = 0
        agent.sent_entries = ()
        agent.sent_shards.clear()
        dispatch.resend(board, node)


def on_agent_link_closed(board: EntryBoard, node: str) -> None:
    """Records that an agent is disconnected."""
    agent = board.agents.get(node)
    if agent is not None:
        agent.is_connected = False
        agent.requested_slots = 0


def on_entry_link_open(board: EntryBoard, node: str) -> None:
    """Records that another entry is connected."""
    board.entry_links.add(node)


def on_entry_link_closed(board: EntryBoard, node: str) -> None:
    """Records that another entry is disconnected."""
    board.entry_links.discard(node)


def on_log_read(board: EntryBoard, sent_s: float) -> None:
    """Records that the log was read up to its end.

    Args:
        board: The blackboard.
        sent_s: Monotonic time at which the read request was sent.
    """
    board.log_read_s = max(board.log_read_s, sent_s)
    entry_members.renew_lease(board)


def on_configuration(
    board: EntryBoard, offset: int, configuration: config.Configuration
) -> None:
    """Adopts a configuration unless it is older than the one in force."""
    if offset <= board.config_offset:
        return
    board.configuration = configuration
    board.config_offset = offset
    board.quotas.configure(configuration.organisations)
    set_time(board, board.now_s, board.unix_s)
    entry_members.on_configuration(board)


def on_members_record(board: EntryBoard, offset: int, text: str) -> None:
    """Applies one record of the members stream."""
    before = dict(board.membership.shards)
    members.apply(board.membership, offset, text)
    # A pending proposal was based on the membership before this record.
    board.proposal = ""
    if board.membership.shards != before:
        entry_members.notify_witnesses(board)


def submit(board: EntryBoard, submission: Submission) -> Refusal | None:
    """Accepts a job, or returns the reason why it is refused at once."""
    return submissions.submit(board, submission)


def request(board: EntryBoard, single: SingleRequest) -> JobRef | Refusal:
    """Accepts a single request, or returns why it is refused at once.

    The result is added to `board.request_results` later.
    """
    return requests.submit(board, single)


def cancel(board: EntryBoard, job: JobRef) -> bool:
    """Cancels a job, and returns whether this entry knows it.

    No more of its tasks are started.
    """
    return answers.cancel(board, job, answers.CANCELLED)


def look_up(board: EntryBoard, job: JobRef, to_cancel: bool) -> None:
    """Starts a lookup of a job, and cancels the job if requested.

    The result is added to `board.lookup_results` later.
    """
    lookups.begin(board, job, to_cancel)


def on_tick(board: EntryBoard) -> None:
    """Does periodic work that is due; called several times a second."""
    entry_members.renew_lease(board)
    for job, state in list(board.open_jobs.items()):
        if state.answer is not None or board.jobs.get(job) is not state:
            del board.open_jobs[job]
        elif board.now_s >= state.deadline_s:
            answers.on_deadline(board, state)
        if state.answer is None and board.jobs.get(job) is state:
            TICK_HANDLERS[state.phase](board, state)
    requests.on_tick(board)
    lookups.on_tick(board)
    for service in list(board.queues):
        dispatch.dispatch_service(board, service)


def on_slow_tick(board: EntryBoard) -> None:
    """Does periodic work that is due about once a second."""
    entry_members.send_states(board)
    entry_members.remove_silent(board)
    entry_members.propose(board)
    if board.configuration is not None:
        pool.update_probations(board)
    _share_quotas(board)
    _cancel_jobs_during_outage(board)
    _remove_expired(board)


def _share_quotas(board: EntryBoard) -> None:
    own_demand = dict(board.quotas.demand(board.now_s))
    peer_demands = [dict(peer.state.demand) for peer in board.peers.values()]
    board.quotas.set_shares(own_demand, peer_demands)
    board.slot_share = board.quotas.slot_share(own_demand, peer_demands)


def _cancel_jobs_during_outage(board: EntryBoard) -> None:
    """Cancels jobs of organisations that opt out of running without the log."""
    if board.configuration is None or not entry_members.is_log_unavailable(
        board
    ):
        return
    for job in list(board.open_jobs):
        organisation = board.configuration.organisation(job.organisation)
        if organisation and organisation.during_log_outage == "stop":
            answers.cancel(board, job, "the log is unavailable")


def _remove_expired(board: EntryBoard) -> None:
    """Removes answered jobs whose keys are past the retention period."""
    expired = [
        job
        for job, state in board.jobs.items()
        if job.issued_s < board.horizon_s and state.answer is not None
    ]
    for job in expired:
        del board.jobs[job]
    for job in [j for j in board.generations if j.issued_s < board.horizon_s]:
        del board.generations[job]
    board.dispatched_jobs = {
        job for job in board.dispatched_jobs if job.issued_s >= board.horizon_s
    }


def begin_shutdown(board: EntryBoard) -> None:
    """Refuses new submissions; open jobs continue."""
    board.is_shutting_down = True


def is_idle(board: EntryBoard) -> bool:
    """Whether every accepted job and request is answered."""
    return not board.waiting_requests and all(
        state.answer is not None or board.jobs.get(job) is not state
        for job, state in board.open_jobs.items()
    )
