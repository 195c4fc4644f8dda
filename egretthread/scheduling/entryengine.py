"""The scheduling engine of an entry: handles each event on its blackboard."""

import random

from egretthread import logs, nodeid
from egretthread.scheduling import (
    agentviews,
    crashbook,
    dispatch,
    forwardedjobs,
    isolation,
    jobs,
    keptjobs,
    leaserule,
    shares,
    waitingload,
)
from egretthread.scheduling.entryboard import (
    AgentView,
    Answer,
    EntryBoard,
    Outcome,
)
from egretthread.scheduling.jobspec import JobSpec, OperatorState, Route
from egretthread.scheduling.runmessage import (
    UNKNOWN_RUN_MS,
    AgentBeat,
    HeldEnds,
    LiveRuns,
    RunEnd,
    RunReport,
    RunReports,
    ServerCrash,
    ServerFacts,
    StopRuns,
)

# Time without a tick after which the process counts as paused. Messages that
# arrived meanwhile are read before any task is dispatched.
PAUSE_S = 0.4
# Time to read these messages, during which nothing is dispatched.
RESUME_DELAY_S = 0.06
# Minimum time between two replies to an agent. Its heartbeats may be more
# frequent, to report free capacity. The lease that a reply renews lasts several
# times as long.
MIN_REPLY_INTERVAL_S = 0.18
# Number of agents of a zone that hold a copy of the operators' records.
RECORD_REPLICAS = 3
# Time after which an agent without a link is removed.
AGENT_RETENTION_S = 30.0


def new_board(node: str, zone: str, now_s: float) -> EntryBoard:
    """Returns the blackboard of an entry that has just started."""
    return EntryBoard(
        node,
        zone,
        now_s,
        started_s=now_s,
        last_tick_s=now_s,
        rng=random.Random(node),
    )


def set_time(board: EntryBoard, now_s: float, unix_s: float) -> bool:
    """Sets the time of the event that is handled next.

    Partitions whose time has passed are released before it.

    Args:
        board: The blackboard.
        now_s: Time on the monotonic clock.
        unix_s: Time on the wall clock.

    Returns:
        Whether the process was paused before this event.
    """
    board.now_s = now_s
    board.unix_s = unix_s
    keptjobs.expire(board)
    if now_s - board.last_tick_s <= PAUSE_S:
        return False
    logs.warning("process_paused", paused_s=now_s - board.last_tick_s)
    board.resume_at_s = now_s + RESUME_DELAY_S
    board.last_tick_s = now_s
    return True


def is_ready(board: EntryBoard) -> bool:
    """Whether this entry is ready to serve callers."""
    return (
        not board.is_shutting_down
        and board.operator_state.is_configured
        and any(agentviews.is_usable(board, v) for v in board.agents.values())
    )


def submit(
    board: EntryBoard, spec: JobSpec, route: Route, wait_limit_s: float
) -> Answer | None:
    """Accepts a job, or returns the answer when it is refused at once.

    Args:
        board: The blackboard.
        spec: The job.
        route: Its route.
        wait_limit_s: How long its caller waits.
    """
    return jobs.submit(board, spec, route, wait_limit_s)


def cancel(board: EntryBoard, job: str, reason: str) -> None:
    """Cancels an open job and stops its runs."""
    if forwardedjobs.cancel(board, job, reason):
        return
    open_job = board.jobs.get(job)
    if open_job is not None:
        jobs.close(board, open_job, Answer(job, Outcome.CANCELLED, reason))
    dispatch.dispatch_waiting(board)


def cancel_for_all(board: EntryBoard, job: str, reason: str) -> bool:
    """Cancels a job that is not kept, also for its other callers.

    Returns:
        Whether it was open here, or was forwarded.
    """
    open_job = board.jobs.get(job)
    if open_job is None and job not in board.forwarding.sent:
        return False
    if open_job is not None and open_job.spec.kept:
        return False
    received = board.forwarding.received.get(job)
    if received is not None:
        received.is_joined = False
    cancel(board, job, reason)
    return True


def on_operators(board: EntryBoard, state: OperatorState) -> None:
    """Adopts a published operator state unless it is outdated."""
    previous = board.operator_state
    if state.offset < previous.offset:
        logs.info(
            "operators_outdated",
            offset=state.offset,
            version=state.version,
            offset_in_force=previous.offset,
        )
        return
    board.operator_state = state
    if (
        state.version != previous.version
        or state.withdrawn != previous.withdrawn
    ):
        logs.info(
            "operators_state",
            offset=state.offset,
            version=state.version,
            routes=len(state.routes),
            withdrawn=",".join(sorted(state.withdrawn)),
        )
    if (
        state.withdrawn != previous.withdrawn
        or state.services != previous.services
    ):
        for view in board.agents.values():
            if view.is_connected:
                agentviews.send_heartbeat_reply(board, view)


def on_message(board: EntryBoard, node: str, incoming: object) -> None:
    """Handles one message from an agent."""
    view = board.agents.get(node)
    handler = HANDLERS.get(type(incoming))
    if view is None or handler is None:
        board.counters["unexpected_messages"] += 1
        return
    handler(board, view, incoming)


def _on_facts(board: EntryBoard, view: AgentView, facts: ServerFacts) -> None:
    view.facts = facts if facts.server else None


def _on_heartbeat(
    board: EntryBoard, view: AgentView, heartbeat: AgentBeat
) -> None:
    agentviews.record_heartbeat(board, view, heartbeat)
    dispatch.dispatch_if_due(board)
    if board.now_s - view.last_reply_s >= MIN_REPLY_INTERVAL_S:
        agentviews.send_heartbeat_reply(board, view)


def _on_reports(
    board: EntryBoard, view: AgentView, reports: RunReports
) -> None:
    for report in reports.rows:
        _on_report(board, view, report)


def _on_report(board: EntryBoard, view: AgentView, report: RunReport) -> None:
    orphans = board.orphaned_runs.get(report.job)
    is_running = report.end in (RunEnd.SLOW, RunEnd.STALLED)
    if orphans and not is_running:
        orphans.pop(report.attempt, None)
        if not orphans:
            del board.orphaned_runs[report.job]
    task = view.tasks.get(report.attempt)
    if task is None:
        return
    if is_running:
        jobs.on_slow_run(board, view, task, report)
        return
    del view.tasks[report.attempt]
    shares.on_ended(board, task)
    jobs.on_run_ended(board, view, task, report)


def _on_live(board: EntryBoard, view: AgentView, live: LiveRuns) -> None:
    """Reconciles the runs that an agent holds with those dispatched to it.

    Runs that the agent does not hold have ended, and runs that are not known
    here are stopped.
    """
    held = {run.attempt for run in live.rows}
    for attempt in view.unconfirmed - held:
        # The order or the report of its end was lost with the previous link.
        task = view.tasks.pop(attempt, None)
        if task is not None:
            shares.on_ended(board, task)
            report = RunReport(
                task.job.id, attempt, RunEnd.STOPPED, UNKNOWN_RUN_MS, 0
            )
            jobs.on_run_ended(board, view, task, report)
    view.unconfirmed = frozenset()
    for run in live.rows:
        if run.attempt not in view.tasks:
            stop = StopRuns(run.job, (run.attempt,))
            board.outbox.append((view.node, stop))


def _on_crash(board: EntryBoard, view: AgentView, crash: ServerCrash) -> None:
    """Records a crash; passes it on if it ended runs of this entry."""
    is_new = crashbook.is_news(board.crashes, crash)
    if is_new and any(row.entry == board.node for row in crash.rows):
        board.relays.append(crash)
    on_crash(board, crash)


def on_crash(board: EntryBoard, crash: ServerCrash) -> None:
    """Records a crash; fails the jobs that are blamed for it."""
    agent = nodeid.node_name(crash.agent)
    blamed = crashbook.record(board.crashes, board.now_s, agent, crash)
    for job in sorted(blamed):
        jobs.fail_blamed(board, job)
    keptjobs.on_crash(board, crash)


HANDLERS = {
    ServerCrash: _on_crash,
    ServerFacts: _on_facts,
    AgentBeat: _on_heartbeat,
    RunReports: _on_reports,
    LiveRuns: _on_live,
    HeldEnds: keptjobs.on_held_ends,
}


def stale_record_replicas(board: EntryBoard) -> list[str]:
    """Returns the agents that should be sent the operators' records.

    A few agents of the zone hold a copy of them. Thus entries still get a
    configuration when all of them are replaced during an outage of the store.
    The returned agents are assumed to be up to date from now on.
    """
    near = [
        view
        for view in board.agents.values()
        if view.is_connected and view.facts and view.facts.zone == board.zone
    ]
    near.sort(key=lambda view: view.node)
    offset = board.operator_state.offset
    stale_views = [
        v for v in near[:RECORD_REPLICAS] if v.sent_record_offset != offset
    ]
    for view in stale_views:
        view.sent_record_offset = offset
    return [view.node for view in stale_views]


def on_link_open(board: EntryBoard, node: str) -> None:
    """Records a new link to an agent."""
    name = nodeid.node_name(node)
    for earlier in board.agents.values():
        if earlier.node != node and nodeid.node_name(earlier.node) == name:
            # An earlier process of the same agent. The backend server drops its
            # runs when their lease expires, which that process may have renewed
            # until this one started, also without a link.
            fence_s = leaserule.fence_after_restart_s(board.now_s)
            earlier.fence_s = min(earlier.fence_s, fence_s)
            earlier.is_connected = False
    view = board.agents.setdefault(node, AgentView(node))
    view.is_connected = True
    view.closed_at_s = 0.0
    view.ordered_runs = 0
    view.in_flight.clear()
    view.unconfirmed = frozenset(view.tasks)
    view.sent_entries = ()
    view.sent_services = ()
    view.sent_record_offset = 0


def on_link_closed(board: EntryBoard, node: str) -> None:
    """Records that the link to an agent has closed."""
    view = board.agents.get(node)
    if view is not None:
        view.is_connected = False
        view.closed_at_s = board.now_s


def on_tick(board: EntryBoard) -> None:
    """Performs periodic work; called on every tick."""
    board.last_tick_s = board.now_s
    if not board.is_started and not waitingload.is_starting(board):
        _end_start(board)
    _expire_agents(board)
    keptjobs.on_tick(board)
    isolation.sample(board)
    for job in sorted(crashbook.sweep(board.crashes, board.now_s)):
        jobs.fail_blamed(board, job)
    jobs.expire(board)
    forwardedjobs.on_tick(board)
    _expire_orphans(board)
    dispatch.dispatch_waiting(board)
    if board.load.shares:
        shares.log_short(board)


def _end_start(board: EntryBoard) -> None:
    """Records what the entry knows at the end of its start-up period."""
    board.is_started = True
    usable = [
        view
        for view in board.agents.values()
        if agentviews.is_usable(board, view)
    ]
    logs.info(
        "agents_found",
        agents=len(usable),
        usable_cpu=sum(view.facts.capacity.cpu for view in usable) / 1000,
        after_s=board.now_s - board.started_s,
        waiting_tasks=len(board.waiting),
        entries=len(board.entries),
    )


def _expire_agents(board: EntryBoard) -> None:
    """Ends the runs of agents whose fence has passed; removes lost agents.

    An agent stops the runs of an entry when it has received nothing from it for
    too long, so all of them have ended at the fence.
    """
    for node, view in tuple(board.agents.items()):
        if view.tasks and board.now_s >= view.fence_s:
            logs.warning(
                "agent_lost",
                agent=node,
                runs=len(view.tasks),
                silent_s=board.now_s - view.last_received_s,
            )
            lost, view.tasks = view.tasks, {}
            for attempt, task in lost.items():
                shares.on_ended(board, task)
                report = RunReport(
                    task.job.id, attempt, RunEnd.STOPPED, UNKNOWN_RUN_MS, 0
                )
                jobs.on_run_ended(board, view, task, report)
        disconnected_s = board.now_s - max(
            view.last_received_s, view.closed_at_s
        )
        if (
            not view.is_connected
            and not view.tasks
            and disconnected_s > AGENT_RETENTION_S
        ):
            del board.agents[node]


def _expire_orphans(board: EntryBoard) -> None:
    """Removes orphaned runs that have certainly ended by now."""
    for job, attempts in tuple(board.orphaned_runs.items()):
        for attempt, fence_s in tuple(attempts.items()):
            if board.now_s >= fence_s:
                del attempts[attempt]
        if not attempts:
            del board.orphaned_runs[job]


def begin_shutdown(board: EntryBoard, grace_s: float) -> None:
    """Starts a shutdown: all jobs, also new ones, are answered in `grace_s`."""
    board.is_shutting_down = True
    board.shutdown_end_s = board.now_s + grace_s


def give_up_all(board: EntryBoard) -> None:
    """Answers every open job because the entry exits."""
    for job in tuple(board.jobs.values()):
        jobs.give_up(board, job, "shutdown")
    forwardedjobs.give_up_all(board)
