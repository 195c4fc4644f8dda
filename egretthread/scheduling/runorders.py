"""Orders of entries to an agent, and the agent's to its backend server."""

import dataclasses

from egretthread import logs
from egretthread.scheduling import leaserule, runs
from egretthread.scheduling.agentboard import (
    AgentBoard,
    Coordinator,
    Run,
    RunPhase,
    StartCall,
    StopCall,
    TaskName,
)
from egretthread.scheduling.room import Room
from egretthread.scheduling.runmessage import (
    RunEnd,
    RunReport,
    ServerState,
    StartRuns,
    StopRuns,
)
from egretthread.scheduling.servercall import CallResult, Verdict

# Runs that wait here take this share of the backend server's room at most.
MAX_QUEUE_SHARE = 0.4
# How long each call of one start waits for its answer; after the last the run
# is barred. The backend server is on the same machine and answers within a
# few ms; a start that is repeated is carried out once.
START_TIMEOUTS_S = (0.04, 0.08, 0.15)
START_TRIES = len(START_TIMEOUTS_S)
# Time between two attempts to stop a run.
STOP_RETRY_S = 0.15
# A token that is too low is raised by this much: more than clocks jump back.
TOKEN_STEP = 10_000


def on_start_runs(
    board: AgentBoard, coordinator: Coordinator, order: StartRuns
) -> None:
    """Takes the runs that may start here, and refuses the others."""
    coordinator.received += len(order.orders)
    why = refusal(board, order)
    if why:
        _refuse_order(board, coordinator, order, why)
        return
    coordinator.lease_s = max(
        coordinator.lease_s,
        leaserule.lease_end_s(order.echo_ms),
        board.now_s + leaserule.ACCEPTED_GRACE_S,
    )
    room = Room(order.cpu, order.memory_mb, order.gpu)
    for item in order.orders:
        run = Run(
            coordinator.node,
            TaskName(order.job, item.step, item.index),
            item.attempt,
            order.payload,
            room,
            order.expected_ms / 1000,
            order.priority,
            board.now_s,
            order.wait_ms / 1000,
            kept=order.kept,
        )
        board.runs.setdefault((run.entry, run.attempt), run)


def refusal(board: AgentBoard, order: StartRuns) -> str:
    """Returns why an order is not taken; empty when it is."""
    if not leaserule.order_is_fresh(board.clock_ms, order.echo_ms):
        return "order too old"
    if board.state is not ServerState.READY:
        return f"server {board.state}"
    if board.is_withdrawn:
        return "zone withdrawn"
    room = Room(order.cpu, order.memory_mb, order.gpu)
    if not board.server.capacity.holds(room):
        return "larger than the server"
    if -board.free.cpu > MAX_QUEUE_SHARE * board.server.capacity.cpu:
        return "too many wait"
    return ""


def _refuse_order(
    board: AgentBoard, coordinator: Coordinator, order: StartRuns, why: str
) -> None:
    logs.info(
        "runs_refused",
        job=order.job,
        runs=len(order.orders),
        why=why,
        entry=coordinator.node,
        age_ms=board.clock_ms - order.echo_ms,
    )
    board.counters["runs_refused"] += len(order.orders)
    board.reports[coordinator.node] += [
        RunReport(order.job, item.attempt, RunEnd.REFUSED, 0, 0)
        for item in order.orders
    ]


def on_stop_runs(
    board: AgentBoard, coordinator: Coordinator, order: StopRuns
) -> None:
    """Stops runs that their coordinator does not want any more."""
    for attempt in order.attempts:
        run = board.runs.get((coordinator.node, attempt))
        if run is not None:
            runs.begin_stop(board, run, RunEnd.STOPPED)


def start_queued(board: AgentBoard) -> None:
    """Orders the queued runs that fit, the most urgent first."""
    queued = [r for r in board.runs.values() if r.phase is RunPhase.QUEUED]
    if not queued or board.server is None or board.is_lease_barred:
        return
    queued.sort(key=lambda run: (run.priority, run.accepted_s))
    free = board.server.capacity - board.used
    for run in queued:
        if free.holds(run.room) and _may_start(board, run):
            free -= run.room
            _begin_start(board, run)


def _may_start(board: AgentBoard, run: Run) -> bool:
    """Whether no other run of the task is here; one that is gets stopped."""
    other = board.runs_by_task.get(run.name)
    if other is not None:
        runs.begin_stop(board, other, RunEnd.STOPPED)
        return False
    return board.state is ServerState.READY and not board.is_withdrawn


def _begin_start(board: AgentBoard, run: Run) -> None:
    number, _ = board.numbers.get(run.name, (0, 0.0))
    run.number = number + 1
    run.phase = RunPhase.STARTING
    run.tries = 0
    board.runs_by_task[run.name] = run
    send_start(board, run)


def send_start(board: AgentBoard, run: Run) -> None:
    """Queues the order that starts a run, or repeats it."""
    run.tries += 1
    board.numbers[run.name] = (run.number, board.now_s)
    if run.kept:
        board.kept_names.add(run.name)
    board.calls.append(
        StartCall(
            run,
            run.number,
            board.server.server,
            renew_lease(board),
            board.token,
            START_TIMEOUTS_S[min(run.tries, START_TRIES) - 1],
        )
    )


def renew_lease(board: AgentBoard) -> int:
    """Returns the end of a lease from now on, on the server's clock."""
    board.lease_end_s = max(
        board.lease_end_s, board.now_s + leaserule.server_lapse_s()
    )
    until_ms = board.clock_ms + board.clock_offset_ms
    return until_ms + int(leaserule.SERVER_LEASE_S * 1000)


def on_start_result(
    board: AgentBoard, call: StartCall, result: CallResult
) -> None:
    """Takes in the answer to a start."""
    run = call.run
    note_answer(board, result)
    live = board.runs.get((run.entry, run.attempt)) is run
    if not live or run.phase is not RunPhase.STARTING:
        return
    if run.number != call.number:
        return
    board.counters[f"start_{result.verdict.value}"] += 1
    START_HANDLERS[result.verdict](board, run)


def _on_started(board: AgentBoard, run: Run) -> None:
    run.phase = RunPhase.RUNNING
    run.started_s = run.moved_s = board.now_s


def _on_no_answer(board: AgentBoard, run: Run) -> None:
    if run.tries < START_TRIES:
        send_start(board, run)
        return
    logs.warning("start_unanswered", job=run.name.job, number=run.number)
    board.health.note(board.now_s, good=False)
    runs.begin_stop(board, run, RunEnd.STOPPED)


def _on_unhealthy(board: AgentBoard, run: Run) -> None:
    board.health.note(board.now_s, good=False)
    _give_back(board, run)


def _give_back(board: AgentBoard, run: Run) -> None:
    """Reports a run as not started, once that is sure."""
    if run.tries == 1:
        runs.finish(board, run, RunEnd.REFUSED)
    else:
        # An earlier call without an answer may still be carried out.
        runs.begin_stop(board, run, RunEnd.STOPPED)


def _on_no_room(board: AgentBoard, run: Run) -> None:
    logs.info("server_full", job=run.name.job, cpu=run.room.cpu)
    _give_back(board, run)


def _on_old(board: AgentBoard, run: Run) -> None:
    """Takes a higher number: an earlier agent used this one."""
    if run.tries > START_TRIES * 4:
        _give_back(board, run)
        return
    run.number = 2 * run.number + 1
    send_start(board, run)


def _on_fenced(board: AgentBoard, run: Run) -> None:
    raise_token(board)
    if run.tries > START_TRIES:
        _give_back(board, run)
        return
    send_start(board, run)


def raise_token(board: AgentBoard) -> None:
    """Raises the fencing token above that of an earlier agent."""
    board.token += TOKEN_STEP
    logs.warning("token_raised", token=board.token)


def _on_late(board: AgentBoard, run: Run) -> None:
    """Repeats a start whose lease was over; the clock is known by now."""
    if run.tries < START_TRIES:
        send_start(board, run)
    else:
        _give_back(board, run)


def _on_wrong_instance(board: AgentBoard, run: Run) -> None:
    lose_server(board, "another incarnation answers")


def _on_gone(board: AgentBoard, run: Run) -> None:
    lose_server(board, "nothing listens")


def lose_server(board: AgentBoard, why: str) -> None:
    """Drops all runs: the incarnation that had them is over."""
    logs.warning("server_lost", why=why, runs=len(board.runs))
    runs.lose_all(board, RunEnd.STOPPED)
    board.barred.clear()
    if board.state is not ServerState.DRAINING:
        board.state = ServerState.ABSENT


def _on_invalid(board: AgentBoard, run: Run) -> None:
    logs.error("start_invalid", job=run.name.job, step=run.name.step)
    runs.finish(board, run, RunEnd.FAILED)


START_HANDLERS = {
    Verdict.OK: _on_started,
    Verdict.NO_ROOM: _on_no_room,
    Verdict.STALE_NUMBER: _on_old,
    Verdict.FENCED: _on_fenced,
    Verdict.LEASE_EXPIRED: _on_late,
    Verdict.UNHEALTHY: _on_unhealthy,
    Verdict.WRONG_INSTANCE: _on_wrong_instance,
    Verdict.INVALID: _on_invalid,
    Verdict.NO_ANSWER: _on_no_answer,
    Verdict.NOT_LISTENING: _on_gone,
}


def note_answer(board: AgentBoard, result) -> None:
    """Notes the backend server's clock."""
    if result.clock_ms:
        board.clock_offset_ms = result.clock_ms - board.clock_ms


def on_stop_result(
    board: AgentBoard, call: StopCall, result: CallResult
) -> None:
    """Takes in the answer to a stop."""
    note_answer(board, result)
    board.counters[f"stop_{result.verdict.value}"] += 1
    if result.verdict in (Verdict.WRONG_INSTANCE, Verdict.NOT_LISTENING):
        lose_server(board, f"stop: {result.verdict}")
        return
    if result.verdict is Verdict.FENCED:
        raise_token(board)
        return
    if result.verdict is not Verdict.OK:
        return
    board.barred = [b for b in board.barred if not _same(b, call)]
    run = board.runs_by_task.get(call.name)
    if run and run.number == call.number and run.phase is RunPhase.STOPPING:
        run.stopped_s = run.stopped_s or board.now_s


def _same(one: StopCall, other: StopCall) -> bool:
    return one.name == other.name and one.number == other.number


def retry_stops(board: AgentBoard) -> None:
    """Repeats the stops that have not been confirmed."""
    for run in board.runs.values():
        waits = run.phase is RunPhase.STOPPING and not run.stopped_s
        if waits and board.now_s - run.moved_s > STOP_RETRY_S:
            runs.send_stop(board, run)
    if board.barred and board.now_s - board.barred_s > STOP_RETRY_S:
        board.barred_s = board.now_s
        board.calls += [
            dataclasses.replace(call, token=board.token)
            for call in board.barred
        ]


def stop_lapsed(board: AgentBoard) -> None:
    """Stops the runs of entries that were not heard of for a lease."""
    for run in tuple(board.runs.values()):
        coordinator = board.coordinators.get(run.entry)
        lapsed = coordinator is None or board.now_s >= coordinator.lease_s
        if lapsed and run.phase is not RunPhase.STOPPING:
            logs.info(
                "run_lapsed",
                job=run.name.job,
                attempt=run.attempt,
                entry=run.entry,
                silent_s=board.now_s - coordinator.heard_s
                if coordinator
                else 0.0,
            )
            runs.begin_stop(board, run, RunEnd.STOPPED)


def refuse_overdue(board: AgentBoard) -> None:
    """Gives back the runs that have waited here for too long."""
    for run in tuple(board.runs.values()):
        waits_s = board.now_s - run.accepted_s
        if run.phase is RunPhase.QUEUED and waits_s > run.wait_s:
            logs.info(
                "run_refused",
                job=run.name.job,
                attempt=run.attempt,
                entry=run.entry,
                cpu=run.room.cpu,
                free_cpu=board.free.cpu,
            )
            runs.finish(board, run, RunEnd.REFUSED)


def refuse_queued(board: AgentBoard) -> None:
    """Gives back all runs that have not been started."""
    for run in tuple(board.runs.values()):
        if run.phase is RunPhase.QUEUED:
            runs.finish(board, run, RunEnd.REFUSED)
