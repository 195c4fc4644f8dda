"""The entry's engine for jobs of steps: each event and its controller."""

import random

from egretthread import logs, message
from egretthread.scheduling import (
    agentviews,
    handout,
    jobs,
    keptjobs,
    leaserule,
)
from egretthread.scheduling.entryboard import (
    AgentView,
    Answer,
    EntryBoard,
    Outcome,
)
from egretthread.scheduling.jobspec import JobSpec, OperatorState, Route
from egretthread.scheduling.runmessage import (
    AgentBeat,
    HeldEnds,
    LiveRuns,
    RunEnd,
    RunReport,
    RunReports,
    ServerFacts,
    StopRuns,
)

# A pause of this process longer than this counts as one: what arrived
# meanwhile is read before anything is handed out.
PAUSE_S = 0.4
AFTER_PAUSE_S = 0.06
# Least time between two replies to an agent. Its heartbeats may come faster,
# to tell of room; what a reply renews lasts far longer.
REPLY_S = 0.18
# Agents of a zone that keep the operators' records.
RECORD_KEEPERS = 3
# An agent without a link is forgotten after this long.
AGENT_KEPT_S = 30.0


def new_board(node: str, zone: str, now_s: float) -> EntryBoard:
    """Returns the blackboard of a freshly started entry."""
    return EntryBoard(
        node,
        zone,
        now_s,
        started_s=now_s,
        ticked_s=now_s,
        rng=random.Random(node),
    )


def set_time(board: EntryBoard, now_s: float, unix_s: float) -> None:
    """Writes the time of the event about to be handled.

    Args:
        board: The blackboard.
        now_s: The monotonic clock.
        unix_s: The wall clock.
    """
    board.now_s = now_s
    board.unix_s = unix_s
    if now_s - board.ticked_s > PAUSE_S:
        logs.warning("process_paused", paused_s=now_s - board.ticked_s)
        board.thawed_s = now_s + AFTER_PAUSE_S
        board.ticked_s = now_s


def is_ready(board: EntryBoard) -> bool:
    """Whether callers should be sent here."""
    return (
        not board.is_closing
        and board.operator_state.is_configured
        and any(agentviews.is_usable(board, v) for v in board.agents.values())
    )


def submit(
    board: EntryBoard, spec: JobSpec, route: Route, patience_s: float
) -> Answer | None:
    """Takes a job; returns the answer when it is refused at once.

    Args:
        board: The blackboard.
        spec: The job.
        route: Its route.
        patience_s: How long its caller waits.
    """
    return jobs.submit(board, spec, route, patience_s)


def cancel(board: EntryBoard, job: str, reason: str) -> None:
    """Stops a job whose caller has left."""
    open_job = board.jobs.get(job)
    if open_job is not None:
        jobs.close(board, open_job, Answer(job, Outcome.CANCELLED, reason))
    handout.run(board)


def on_operators(board: EntryBoard, state: OperatorState) -> None:
    """Puts what operators have published into force, unless it is older."""
    known = board.operator_state
    if state.offset < known.offset:
        return
    board.operator_state = state
    if state.version != known.version or state.withdrawn != known.withdrawn:
        logs.info(
            "operators_state",
            offset=state.offset,
            version=state.version,
            routes=len(state.routes),
            withdrawn=",".join(sorted(state.withdrawn)),
        )
    if state.withdrawn != known.withdrawn:
        for view in board.agents.values():
            if view.is_connected:
                agentviews.send_beat(board, view)


def on_message(board: EntryBoard, node: str, item: object) -> None:
    """Handles one message of an agent."""
    view = board.agents.get(node)
    handler = HANDLERS.get(type(item))
    if view is None or handler is None:
        board.counters["unexpected_messages"] += 1
        return
    handler(board, view, item)


def _on_facts(board: EntryBoard, view: AgentView, facts: ServerFacts) -> None:
    view.facts = facts if facts.server else None


def _on_beat(board: EntryBoard, view: AgentView, beat: AgentBeat) -> None:
    agentviews.take_beat(board, view, beat)
    handout.run_soon(board)
    if board.now_s - view.replied_s >= REPLY_S:
        agentviews.send_beat(board, view)


def _on_reports(board: EntryBoard, view: AgentView, item: RunReports) -> None:
    for row in item.rows:
        _on_report(board, view, row)


def _on_report(board: EntryBoard, view: AgentView, row: RunReport) -> None:
    leftovers = board.leftovers.get(row.job)
    goes_on = row.end in (RunEnd.SLOW, RunEnd.STALLED)
    if leftovers and not goes_on:
        leftovers.pop(row.attempt, None)
        if not leftovers:
            del board.leftovers[row.job]
    task = view.tasks.get(row.attempt)
    if task is None:
        return
    if goes_on:
        jobs.on_slow(board, view, task, row)
        return
    del view.tasks[row.attempt]
    jobs.on_end(board, view, task, row)


def _on_live(board: EntryBoard, view: AgentView, item: LiveRuns) -> None:
    """Compares an agent's runs with those that it should have."""
    held = {row.attempt for row in item.rows}
    for attempt in view.unconfirmed - held:
        # Its report, or the order itself, was lost with the old link.
        task = view.tasks.pop(attempt, None)
        if task is not None:
            row = RunReport(task.job.id, attempt, RunEnd.STOPPED, 0, 0)
            jobs.on_end(board, view, task, row)
    view.unconfirmed = frozenset()
    for row in item.rows:
        if row.attempt not in view.tasks:
            stop = StopRuns(row.job, (row.attempt,))
            board.outbox.append((view.node, stop))


HANDLERS = {
    ServerFacts: _on_facts,
    AgentBeat: _on_beat,
    RunReports: _on_reports,
    LiveRuns: _on_live,
    HeldEnds: keptjobs.on_held_ends,
}


def stale_record_replicas(board: EntryBoard) -> list[str]:
    """Returns the agents that should be sent the operators' records.

    A few agents of the zone keep them, so that entries which are all replaced
    while the store is out still find a configuration.
    """
    near = [
        view
        for view in board.agents.values()
        if view.is_connected and view.facts and view.facts.zone == board.zone
    ]
    near.sort(key=lambda view: view.node)
    offset = board.operator_state.offset
    keepers = [v for v in near[:RECORD_KEEPERS] if v.told_record != offset]
    for view in keepers:
        view.told_record = offset
    return [view.node for view in keepers]


def on_link(board: EntryBoard, node: str) -> None:
    """Notes a new link to an agent."""
    name = message.node_name(node)
    for other in board.agents.values():
        if other.node != node and message.node_name(other.node) == name:
            # A former process of the same agent; its runs lapse.
            closed_s = other.closed_s or board.now_s
            fence_s = leaserule.fence_after_restart_s(closed_s)
            other.fence_s = min(other.fence_s, fence_s)
            other.is_connected = False
    view = board.agents.setdefault(node, AgentView(node))
    view.is_connected = True
    view.closed_s = 0.0
    view.ordered = 0
    view.in_flight.clear()
    view.unconfirmed = frozenset(view.tasks)
    view.told_entries = ()
    view.told_record = 0


def on_link_closed(board: EntryBoard, node: str) -> None:
    """Notes that an agent is out of reach for now."""
    view = board.agents.get(node)
    if view is not None:
        view.is_connected = False
        view.closed_s = board.now_s


def on_tick(board: EntryBoard) -> None:
    """Does what is due by time; called many times a second."""
    board.ticked_s = board.now_s
    _drop_fenced(board)
    keptjobs.on_tick(board)
    jobs.expire(board)
    _forget_leftovers(board)
    handout.run(board)


def _drop_fenced(board: EntryBoard) -> None:
    """Takes the runs of agents that were silent for too long as over."""
    for node, view in tuple(board.agents.items()):
        if view.tasks and board.now_s >= view.fence_s:
            logs.warning(
                "agent_lost",
                agent=node,
                runs=len(view.tasks),
                silent_s=board.now_s - view.heard_s,
            )
            lost, view.tasks = view.tasks, {}
            for attempt, task in lost.items():
                row = RunReport(task.job.id, attempt, RunEnd.STOPPED, 0, 0)
                jobs.on_end(board, view, task, row)
        gone_s = board.now_s - max(view.heard_s, view.closed_s)
        if not view.is_connected and not view.tasks and gone_s > AGENT_KEPT_S:
            del board.agents[node]


def _forget_leftovers(board: EntryBoard) -> None:
    for job, attempts in tuple(board.leftovers.items()):
        for attempt, over_s in tuple(attempts.items()):
            if board.now_s >= over_s:
                del attempts[attempt]
        if not attempts:
            del board.leftovers[job]


def begin_shutdown(board: EntryBoard, grace_s: float) -> None:
    """Has everything answered within a time; new jobs that fit are served."""
    board.is_closing = True
    board.closing_s = board.now_s + grace_s


def give_up_all(board: EntryBoard) -> None:
    """Answers every open job: the entry must end."""
    for job in tuple(board.jobs.values()):
        jobs.give_up(board, job, "shutdown")
