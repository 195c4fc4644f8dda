"""The entry's engine: hands each event to its controllers."""

import random

from egretthread import config, members, message, settings
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

TICKERS = {
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
    """Returns the blackboard of a freshly started entry."""
    return EntryBoard(
        settings=entry_settings,
        node=message.node_id(entry_settings.name, incarnation),
        rng=random.Random(seed),
        now_s=now_s,
        started_s=now_s,
    )


def set_time(board: EntryBoard, now_s: float, unix_s: float) -> None:
    """Writes the time of the event about to be handled."""
    board.now_s = now_s
    board.unix_s = max(board.unix_s, unix_s)
    if board.configuration is not None:
        horizon_s = board.unix_s - board.configuration.retention_s
        board.horizon_s = max(board.horizon_s, horizon_s)


def on_message(board: EntryBoard, node: str, item: message.Message) -> None:
    """Handles one message of an agent or of another entry."""
    handler = HANDLERS.get(type(item))
    if handler is None:
        board.counters["unexpected_messages"] += 1
        return
    board.counters[f"received_{type(item).__name__}"] += 1
    if board.configuration is None and type(item) not in _BEFORE_CONFIG:
        return
    handler(board, node, item)


_BEFORE_CONFIG = (message.EntryState,)


def on_agent_link_open(board: EntryBoard, node: str) -> None:
    """Repeats what an agent may have missed while its link was down."""
    agent = board.agents.get(node)
    if agent is not None:
        agent.connected = True
        agent.requested_slots = 0
        agent.assigned = 0
        agent.sent_entries = ()
        agent.sent_shards.clear()
        dispatch.resend(board, node)


def on_agent_link_closed(board: EntryBoard, node: str) -> None:
    """Notes that an agent is out of reach for now."""
    agent = board.agents.get(node)
    if agent is not None:
        agent.connected = False
        agent.requested_slots = 0


def on_entry_link_open(board: EntryBoard, node: str) -> None:
    """Notes a link to another entry."""
    board.entry_links.add(node)


def on_entry_link_closed(board: EntryBoard, node: str) -> None:
    """Notes that another entry is out of reach for now."""
    board.entry_links.discard(node)


def on_log_read(board: EntryBoard, sent_s: float) -> None:
    """Notes that the log's end was read by a request sent at a time."""
    board.log_read_s = max(board.log_read_s, sent_s)
    entry_members.renew_lease(board)


def on_configuration(
    board: EntryBoard, offset: int, configuration: config.Configuration
) -> None:
    """Puts a configuration into force unless it is an older one."""
    if offset <= board.config_offset:
        return
    board.configuration = configuration
    board.config_offset = offset
    board.quotas.configure(configuration.organisations)
    set_time(board, board.now_s, board.unix_s)
    entry_members.on_configuration(board)


def on_members_record(board: EntryBoard, offset: int, text: str) -> None:
    """Takes in one record of the members stream."""
    before = dict(board.membership.shards)
    members.apply(board.membership, offset, text)
    # What was proposed rests on the membership before this record.
    board.proposal = ""
    if board.membership.shards != before:
        entry_members.notify_witnesses(board)


def submit(board: EntryBoard, submission: Submission) -> Refusal | None:
    """Takes a job; returns the refusal when it is refused at once."""
    return submissions.submit(board, submission)


def request(board: EntryBoard, single: SingleRequest) -> JobRef | Refusal:
    """Takes a single request; the result comes in `board.request_results`."""
    return requests.submit(board, single)


def cancel(board: EntryBoard, job: JobRef) -> bool:
    """Starts no more tasks of a job; returns whether it is known here."""
    return answers.cancel(board, job, answers.CANCELLED)


def look_up(board: EntryBoard, job: JobRef, to_cancel: bool) -> None:
    """Finds out about a job; the result comes in `board.lookup_results`."""
    lookups.begin(board, job, to_cancel)


def on_tick(board: EntryBoard) -> None:
    """Does what is due by time; called several times a second."""
    entry_members.renew_lease(board)
    for job, state in list(board.open_jobs.items()):
        if state.answer is not None or board.jobs.get(job) is not state:
            del board.open_jobs[job]
        elif board.now_s >= state.deadline_s:
            answers.expire(board, state)
        if state.answer is None and board.jobs.get(job) is state:
            TICKERS[state.phase](board, state)
    requests.on_tick(board)
    lookups.on_tick(board)
    for service in list(board.queues):
        dispatch.dispatch_service(board, service)


def on_slow_tick(board: EntryBoard) -> None:
    """Does what is due about once a second."""
    entry_members.send_states(board)
    entry_members.remove_silent(board)
    entry_members.propose(board)
    if board.configuration is not None:
        pool.update_probations(board)
    _share_quotas(board)
    _stop_waiting_organisations(board)
    _forget_expired(board)


def _share_quotas(board: EntryBoard) -> None:
    own = dict(board.quotas.demand(board.now_s))
    others = [dict(peer.state.demand) for peer in board.peers.values()]
    board.quotas.set_shares(own, others)
    board.slot_share = board.quotas.slot_share(own, others)


def _stop_waiting_organisations(board: EntryBoard) -> None:
    """Ends jobs of organisations that do not work while the log is out."""
    if board.configuration is None or not entry_members.is_log_unavailable(
        board
    ):
        return
    for job in list(board.open_jobs):
        organisation = board.configuration.organisation(job.organisation)
        if organisation and organisation.during_log_outage == "stop":
            answers.cancel(board, job, "the log is out")


def _forget_expired(board: EntryBoard) -> None:
    """Drops answered jobs whose keys are past retention."""
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
    """Refuses new submissions; jobs under way go on."""
    board.shutting_down = True


def is_idle(board: EntryBoard) -> bool:
    """Whether every job and request under way has its answer."""
    return not board.waiting_requests and all(
        state.answer is not None or board.jobs.get(job) is not state
        for job, state in board.open_jobs.items()
    )
