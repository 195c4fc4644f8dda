"""Orders from entries to an agent, and its calls to its backend server."""

import dataclasses
from collections.abc import Sequence

from egretthread import logs
from egretthread.scheduling import (
    leaserule,
    runs,
    servercrash,
    serverlease,
)
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

# An order is refused while the accepted runs exceed the CPU of the backend
# server by more than this share.
MAX_QUEUE_SHARE = 0.4
# Timeouts of the successive calls that start one run; after the last one, the
# run is blocked at the backend server. That is on the same machine and answers
# within a few ms. A start call that is retried is carried out only once.
START_TIMEOUTS_S = (0.04, 0.08, 0.15)
START_TRIES = len(START_TIMEOUTS_S)
# A fencing token that is too low is raised by this much. Tokens are start times
# in Unix ms, and clocks jump back by less than this.
TOKEN_STEP = 10_000


def on_start_runs(
    board: AgentBoard, coordinator: Coordinator, order: StartRuns
) -> None:
    """Queues the runs of an order, or refuses all of them."""
    coordinator.received_runs += len(order.orders)
    reason = refusal_reason(board, order)
    if reason:
        _refuse_order(board, coordinator, order, reason)
        return
    coordinator.lease_end_s = max(
        coordinator.lease_end_s,
        leaserule.coordinator_lease_end_s(order.echo_ms),
        board.now_s + leaserule.ACCEPTED_GRACE_S,
    )
    room = Room(order.cpu, order.memory_mb, order.gpu)
    for run_order in order.orders:
        run = Run(
            coordinator.node,
            TaskName(order.job, run_order.step, run_order.index),
            run_order.attempt,
            order.payload,
            room,
            order.expected_ms / 1000,
            order.priority,
            board.now_s,
            order.wait_ms / 1000,
            ordered_number=run_order.run,
            kept=order.kept,
            route=order.route,
            exclusive=order.exclusive,
        )
        board.runs.setdefault((run.entry, run.attempt), run)


def refusal_reason(board: AgentBoard, order: StartRuns) -> str:
    """Returns why an order is refused, or an empty text if it is accepted."""
    if not leaserule.order_is_fresh(board.clock_ms, order.echo_ms):
        return "order too old"
    if not leaserule.order_is_prompt(
        board.clock_ms, order.echo_ms, order.echo_age_ms
    ):
        return "order delayed"
    if board.state is not ServerState.READY:
        return f"server {board.state}"
    if board.is_withdrawn:
        return "zone withdrawn"
    room = Room(order.cpu, order.memory_mb, order.gpu)
    if not board.server.capacity.holds(room):
        return "task exceeds capacity of server"
    if -board.free.cpu > MAX_QUEUE_SHARE * board.server.capacity.cpu:
        return "queue full"
    return ""


def _refuse_order(
    board: AgentBoard, coordinator: Coordinator, order: StartRuns, reason: str
) -> None:
    logs.info(
        "runs_refused",
        job=order.job,
        runs=len(order.orders),
        reason=reason,
        entry=coordinator.node,
        age_ms=board.clock_ms - order.echo_ms,
    )
    board.counters["runs_refused"] += len(order.orders)
    board.reports[coordinator.node] += [
        RunReport(order.job, run_order.attempt, RunEnd.REFUSED, 0, 0)
        for run_order in order.orders
    ]


def on_stop_runs(
    board: AgentBoard, coordinator: Coordinator, order: StopRuns
) -> None:
    """Stops runs that their coordinator no longer needs."""
    logs.info(
        "runs_stop_ordered",
        job=order.job,
        runs=len(order.attempts),
        entry=coordinator.node,
    )
    for attempt in order.attempts:
        run = board.runs.get((coordinator.node, attempt))
        if run is not None:
            runs.begin_stop(board, run, RunEnd.STOPPED)


def start_queued(board: AgentBoard) -> None:
    """Starts the queued runs that fit, in order of priority.

    After a pause of the process this may come before the tick that refuses the
    runs whose entry has given them up meanwhile.
    """
    queued = [
        run
        for run in board.runs.values()
        if run.phase is RunPhase.QUEUED and has_lease(board, run)
    ]
    if not queued or board.server is None or not serverlease.may_start(board):
        return
    if not board.knows_runs or board.candidate is not None:
        return
    queued.sort(key=lambda run: (run.priority, run.accepted_s))
    free = board.capacity - board.used
    at_server = [
        run for run in board.runs.values() if run.phase is not RunPhase.QUEUED
    ]
    for run in queued:
        if _must_wait(run, at_server):
            if run.exclusive:
                # Runs behind it would keep the backend server from emptying.
                break
            continue
        if free.holds(run.room) and _may_start(board, run):
            free -= run.room
            at_server.append(run)
            _begin_start(board, run)


def _must_wait(run: Run, at_server: list[Run]) -> bool:
    """Whether an exclusive run keeps a run from sharing the backend server."""
    return any(
        other.name.job != run.name.job and (run.exclusive or other.exclusive)
        for other in at_server
    )


def _may_start(board: AgentBoard, run: Run) -> bool:
    """Whether a run may start now; stops a live run of the same task."""
    live_run = board.runs_by_task.get(run.name)
    if live_run is not None:
        runs.begin_stop(board, live_run, RunEnd.STOPPED)
        return False
    return board.state is ServerState.READY and not board.is_withdrawn


def _begin_start(board: AgentBoard, run: Run) -> None:
    number, _ = board.run_numbers.get(run.name, (0, 0.0))
    run.number = number + 1
    if run.ordered_number and run.ordered_number >= number:
        # A number is used again when the start was refused.
        run.number = run.ordered_number
    if not serverlease.has_runs(board):
        board.listed_s = board.now_s
    run.phase = RunPhase.STARTING
    run.tries = 0
    board.runs_by_task[run.name] = run
    send_start(board, run)


def _retry_start(board: AgentBoard, run: Run) -> None:
    """Retries the start of a run unless its lease may not last."""
    if has_lease(board, run) and serverlease.may_start(board):
        send_start(board, run)
    else:
        runs.begin_stop(board, run, RunEnd.STOPPED)


def send_start(board: AgentBoard, run: Run) -> None:
    """Queues the call that starts a run, or retries it."""
    run.tries += 1
    board.run_numbers[run.name] = (run.number, board.now_s)
    if run.kept:
        board.kept_tasks.add(run.name)
    board.calls.append(
        StartCall(
            run,
            run.number,
            board.server.server,
            serverlease.renew(board),
            board.token,
            START_TIMEOUTS_S[min(run.tries, START_TRIES) - 1],
            board.server.started_unix_ms,
        )
    )


def on_start_result(
    board: AgentBoard, call: StartCall, result: CallResult
) -> None:
    """Processes the result of a start call."""
    if not board.is_current(call):
        board.counters["outdated_results"] += 1
        return
    run = call.run
    update_clock_offset(board, result)
    live = board.runs.get((run.entry, run.attempt)) is run
    if not live or run.phase is not RunPhase.STARTING:
        return
    if run.number != call.number:
        return
    board.counters[f"start_{result.verdict.value}"] += 1
    START_HANDLERS[result.verdict](board, run)


def _on_started(board: AgentBoard, run: Run) -> None:
    run.phase = RunPhase.RUNNING
    run.started_s = run.last_change_s = board.now_s


def _on_no_answer(board: AgentBoard, run: Run) -> None:
    if run.tries < START_TRIES:
        _retry_start(board, run)
        return
    logs.warning("start_unanswered", job=run.name.job, number=run.number)
    board.health.record_result(board.now_s, good=False)
    runs.begin_stop(board, run, RunEnd.STOPPED)


def _on_unhealthy(board: AgentBoard, run: Run) -> None:
    board.health.record_result(board.now_s, good=False)
    _refuse_run(board, run)


def _refuse_run(board: AgentBoard, run: Run) -> None:
    """Reports a run as refused, once it is certain that it can't start."""
    if run.tries == 1:
        runs.finish(board, run, RunEnd.REFUSED)
    else:
        # An earlier call that was not answered may still be carried out.
        runs.begin_stop(board, run, RunEnd.STOPPED)


def _on_no_room(board: AgentBoard, run: Run) -> None:
    logs.info("server_full", job=run.name.job, cpu=run.room.cpu)
    # Its capacity has shrunk, which its next heartbeat tells.
    board.room_limit = board.used - run.room
    _refuse_run(board, run)


def _on_stale_number(board: AgentBoard, run: Run) -> None:
    """Retries with a higher number; an earlier agent process used this one.

    A run that its entry has numbered may also have ended since a call that was
    not answered. It is given up instead, and is numbered anew if need be.
    """
    if run.number == run.ordered_number:
        if run.tries == 1:
            runs.finish(board, run, RunEnd.STOPPED)
        else:
            runs.begin_stop(board, run, RunEnd.STOPPED)
        return
    if run.tries > START_TRIES * 4:
        _refuse_run(board, run)
        return
    run.number = 2 * run.number + 1
    _retry_start(board, run)


def _on_fenced(board: AgentBoard, run: Run) -> None:
    raise_token(board)
    if run.tries > START_TRIES:
        _refuse_run(board, run)
        return
    _retry_start(board, run)


def raise_token(board: AgentBoard) -> None:
    """Raises the fencing token above that of an earlier agent process."""
    board.token += TOKEN_STEP
    logs.warning("token_raised", token=board.token)


def _on_lease_expired(board: AgentBoard, run: Run) -> None:
    """Retries a start with a lease computed from the clock in the result."""
    if run.tries < START_TRIES:
        _retry_start(board, run)
    else:
        _refuse_run(board, run)


def _on_wrong_instance(board: AgentBoard, run: Run) -> None:
    mark_server_lost(board, "answer from another incarnation")


def _on_not_listening(board: AgentBoard, run: Run) -> None:
    if run.tries == 1:
        # The only call did not arrive, so the run is no cause of the crash.
        runs.finish(board, run, RunEnd.REFUSED)
    mark_server_lost(board, "connection refused")


def mark_server_lost(
    board: AgentBoard, reason: str, may_be_alive: Sequence[Run] = ()
) -> None:
    """Drops all runs, since the incarnation that executed them has ended.

    Args:
        board: The blackboard.
        reason: How its end was noticed.
        may_be_alive: Runs that its successor may execute, and that are stopped.
    """
    server = board.server.server if board.server else ""
    logs.warning(
        "server_lost", reason=reason, server=server, runs=len(board.runs)
    )
    servercrash.record(board, is_certain=True)
    runs.drop_all(board, RunEnd.STOPPED, may_be_alive)
    for run in may_be_alive:
        runs.begin_stop(board, run, RunEnd.STOPPED)
    board.blocked_runs.clear()
    board.is_confirmed = False
    if board.state is not ServerState.DRAINING:
        board.state = ServerState.ABSENT


def _on_invalid(board: AgentBoard, run: Run) -> None:
    logs.error("start_invalid", job=run.name.job, step=run.name.step)
    runs.finish(board, run, RunEnd.FAILED)


START_HANDLERS = {
    Verdict.OK: _on_started,
    Verdict.NO_ROOM: _on_no_room,
    Verdict.STALE_NUMBER: _on_stale_number,
    Verdict.FENCED: _on_fenced,
    Verdict.LEASE_EXPIRED: _on_lease_expired,
    Verdict.UNHEALTHY: _on_unhealthy,
    Verdict.WRONG_INSTANCE: _on_wrong_instance,
    Verdict.INVALID: _on_invalid,
    Verdict.NO_ANSWER: _on_no_answer,
    Verdict.NOT_LISTENING: _on_not_listening,
}


def update_clock_offset(board: AgentBoard, result) -> None:
    """Updates the offset of the backend server's clock from a result."""
    if result.clock_ms:
        board.clock_offset_ms = result.clock_ms - board.clock_ms
        board.clock_read_s = board.now_s


def on_stop_result(
    board: AgentBoard, call: StopCall, result: CallResult
) -> None:
    """Processes the result of a stop call."""
    if not board.is_current(call):
        board.counters["outdated_results"] += 1
        return
    update_clock_offset(board, result)
    board.counters[f"stop_{result.verdict.value}"] += 1
    if result.verdict in (Verdict.WRONG_INSTANCE, Verdict.NOT_LISTENING):
        mark_server_lost(board, f"stop: {result.verdict}")
        return
    if result.verdict is Verdict.FENCED:
        raise_token(board)
        return
    if result.verdict is not Verdict.OK:
        return
    board.blocked_runs = [
        c for c in board.blocked_runs if not _is_same_run(c, call)
    ]
    run = board.runs_by_task.get(call.name)
    if run and run.number == call.number and run.phase is RunPhase.STOPPING:
        run.stop_confirmed_s = run.stop_confirmed_s or board.now_s


def _is_same_run(call: StopCall, confirmed: StopCall) -> bool:
    return call.name == confirmed.name and call.number == confirmed.number


def retry_stops(board: AgentBoard) -> None:
    """Retries the stop calls that have not been confirmed."""
    for run in board.runs.values():
        is_unconfirmed = (
            run.phase is RunPhase.STOPPING and not run.stop_confirmed_s
        )
        waited_s = board.now_s - run.last_change_s
        if is_unconfirmed and waited_s > runs.stop_timeout_s(run):
            if run.tries == 1:
                logs.info(
                    "stop_unanswered",
                    job=run.name.job,
                    attempt=run.attempt,
                    entry=run.entry,
                    has_lease=has_lease(board, run),
                    server_lease_s=board.server_lease_end_s - board.now_s,
                )
            runs.send_stop(board, run)
    timeout_s = runs.STOP_TIMEOUTS_S[-1]
    if board.blocked_runs and board.now_s - board.blocked_sent_s > timeout_s:
        board.blocked_sent_s = board.now_s
        board.calls += [
            dataclasses.replace(call, token=board.token, timeout_s=timeout_s)
            for call in board.blocked_runs
        ]


def has_lease(board: AgentBoard, run: Run) -> bool:
    """Whether the lease of a run's entry is current."""
    return board.now_s < serverlease.coordinator_lease_end_s(board, run)


def stop_expired(board: AgentBoard) -> None:
    """Stops the runs of entries whose lease has expired."""
    for run in tuple(board.runs.values()):
        if not has_lease(board, run) and run.phase is not RunPhase.STOPPING:
            coordinator = board.coordinators.get(run.entry)
            logs.info(
                "run_lapsed",
                job=run.name.job,
                attempt=run.attempt,
                entry=run.entry,
                silent_s=board.now_s - coordinator.last_received_s
                if coordinator
                else 0.0,
            )
            runs.begin_stop(board, run, RunEnd.STOPPED)


def refuse_overdue(board: AgentBoard) -> None:
    """Refuses runs that were queued for longer than their order allows."""
    for run in tuple(board.runs.values()):
        waited_s = board.now_s - run.accepted_s
        if run.phase is RunPhase.QUEUED and waited_s > run.queue_wait_s:
            logs.info(
                "run_overdue",
                job=run.name.job,
                attempt=run.attempt,
                entry=run.entry,
                cpu=run.room.cpu,
                free_cpu=board.free.cpu,
            )
            runs.finish(board, run, RunEnd.REFUSED)


def refuse_queued(board: AgentBoard) -> None:
    """Refuses all runs that are still queued."""
    for run in tuple(board.runs.values()):
        if run.phase is RunPhase.QUEUED:
            runs.finish(board, run, RunEnd.REFUSED)
