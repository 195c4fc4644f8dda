"""Polls the backend server for its running runs and for those that ended.

A poll is answered when a run ends or when its wait has expired, and may renew
the lease of all runs.
"""

from egretthread import logs
from egretthread.scheduling import (
    heldends,
    runorders,
    runs,
    servercrash,
    serverlease,
)
from egretthread.scheduling.agentboard import (
    AgentBoard,
    Run,
    RunPhase,
)
from egretthread.scheduling.runmessage import RunEnd, ServerState
from egretthread.scheduling.servercall import (
    EndedRun,
    PollCall,
    PollResult,
    ServerEnd,
    Verdict,
)

# How long the answer to a poll may wait for a run to end, and how long it may
# wait while a run is being stopped.
POLL_WAIT_MS = 100
STOP_POLL_WAIT_MS = 15
# The same while runs of an earlier process of the agent may be there.
FIRST_POLL_WAIT_MS = 5
# A run is stalled when its progress has not changed for this long, or for this
# share of its expected run time, whichever is longer. The share is needed since
# progress is reported in whole percents.
STALL_S = 0.35
STALL_SHARE = 0.05
# A run is slow when its projected run time is this many times the expected one.
SLOW_FACTOR = 2.5
# Interval between reports that a run is slow, and minimum age of a slow run.
SLOW_REPORT_S = 0.25
SLOW_MIN_AGE_S = 0.25

# A slow run is reported only if its backend server's speed is at most this.
# Otherwise its task is long, and moving it gains nothing.
MAX_SLOW_SPEED = 2 / 3
# How long the speed of a backend server is kept after its runs have stalled,
# unless other runs tell it. A server that only hung is then tried again.
STALL_MEMORY_S = 4.0
# Change of the believed speed, as a factor, that is logged.
LOGGED_SPEED_FACTOR = 1.3

# Time since the last answer within which a backend server can't have ended and
# started again.
SAME_LIFE_S = 0.25

RUN_ENDS = {
    ServerEnd.DONE: RunEnd.DONE,
    ServerEnd.FAILED: RunEnd.FAILED,
}


def next_poll(board: AgentBoard) -> PollCall:
    """Returns the next poll of the backend server."""
    until_ms = 0
    wait_ms = POLL_WAIT_MS
    if not serverlease.is_blocked(board):
        until_ms = serverlease.renew(board)
    if not board.is_confirmed:
        # Its clock is only known from a heartbeat. An earlier process of the
        # agent may have renewed the lease, so that it is still assumed to last.
        until_ms = 0
    if any(run.phase is RunPhase.STOPPING for run in board.runs.values()):
        wait_ms = STOP_POLL_WAIT_MS
    if not board.knows_runs or board.candidate is not None:
        wait_ms = FIRST_POLL_WAIT_MS
    # Calls name the id alone, and a new incarnation under the same id must not
    # discard ends that have the numbers of earlier ones.
    is_same_life = board.now_s - board.answered_s <= SAME_LIFE_S
    return PollCall(
        board.server.server if board.server else "",
        board.token,
        board.last_seen if is_same_life else 0,
        until_ms,
        wait_ms,
        board.now_s,
        board.server.started_unix_ms if board.server else 0,
    )


def on_poll_result(
    board: AgentBoard, call: PollCall, result: PollResult
) -> None:
    """Processes the result of a poll, unless the server was replaced since."""
    if not board.is_current(call):
        board.counters["outdated_results"] += 1
        return
    runorders.update_clock_offset(board, result)
    board.counters[f"look_{result.verdict.value}"] += 1
    if result.verdict is Verdict.FENCED:
        runorders.raise_token(board)
    elif result.verdict in (Verdict.WRONG_INSTANCE, Verdict.NOT_LISTENING):
        runorders.mark_server_lost(board, f"poll: {result.verdict}")
    elif result.verdict is Verdict.OK:
        _process_result(board, call, result)


def _process_result(
    board: AgentBoard, call: PollCall, result: PollResult
) -> None:
    server = board.server
    if (
        server
        and result.started_unix_ms
        and server.started_unix_ms
        and result.started_unix_ms != server.started_unix_ms
    ):
        _on_successor(board, call, result)
        return
    servercrash.withdraw(board)
    board.is_confirmed = True
    board.answered_s = board.listed_s = board.now_s
    candidate = board.candidate
    if candidate is not None and call.sent_s >= candidate.received_s:
        logs.info(
            "server_kept", server=call.server, refuted=candidate.record.server
        )
        board.candidate = None
    if board.state is ServerState.ABSENT and server is not None:
        board.state = ServerState.READY
        logs.info(
            "server_state", state=board.state, reason="server answers again"
        )
    board.acked_last_seen = max(board.acked_last_seen, call.last_seen)
    for ended_run in result.ended:
        if ended_run.sequence > board.last_processed:
            board.last_processed = ended_run.sequence
            _on_ended(board, ended_run)
    listed_runs = set()
    board.knows_runs = True
    for running in result.running:
        listed_runs.add((running.name, running.number))
        run = board.runs_by_task.get(running.name)
        if run is None or run.number != running.number:
            board.knows_runs = False
            _stop_unknown(board, running.name, running.number)
        else:
            _on_running(board, run, running.percent)
    for run in tuple(board.runs_by_task.values()):
        if (run.name, run.number) not in listed_runs:
            _on_missing_run(board, call, run)


def _on_successor(
    board: AgentBoard, call: PollCall, result: PollResult
) -> None:
    """Ends the runs of an incarnation after one with the same id has answered.

    Calls name the id alone, so that the successor may have carried out starts
    that were meant for the incarnation before it. These runs are stopped first.
    """
    listed = {(running.name, running.number) for running in result.running}
    may_be_alive = []
    for run in board.runs.values():
        if run.phase is RunPhase.QUEUED:
            continue
        is_listed = (run.name, run.number) in listed
        if is_listed:
            run.stop_confirmed_s = 0.0
        if is_listed or not _is_over(run, call):
            may_be_alive.append(run)
    board.knows_runs = False
    heldends.clear(board)
    runorders.mark_server_lost(board, "incarnation changed", may_be_alive)


def _is_over(run: Run, call: PollCall) -> bool:
    """Whether a run that a poll does not list has ended."""
    if run.phase is RunPhase.STOPPING:
        return 0 < run.stop_confirmed_s < call.sent_s
    return run.phase is RunPhase.RUNNING and run.started_s < call.sent_s


def _on_ended(board: AgentBoard, ended_run: EndedRun) -> None:
    run = board.runs_by_task.get(ended_run.name)
    if run is not None and run.number != ended_run.number:
        run = None
    held = heldends.hold(board, ended_run, run)
    if run is None:
        return
    end = RUN_ENDS.get(ended_run.end, RunEnd.STOPPED)
    run_s = board.now_s - run.started_s if run.started_s else 0.0
    board.samples.append(("task_seconds", run_s))
    if end is RunEnd.DONE:
        board.health.record_result(board.now_s, good=True)
        _note_resumed(board, run)
        if run_s > 0:
            _record_speed(board, run, run.expected_s / run_s)
    elif end is RunEnd.FAILED:
        board.health.record_result(board.now_s, good=False)
    elif ended_run.end is ServerEnd.LEASE_EXPIRED:
        logs.warning("server_lease_expired", job=run.name.job)
    runs.finish(board, run, end, notify=not held)


def server_speed(board: AgentBoard) -> float:
    """Returns the speed of the backend server, as reported to entries."""
    if board.load.server_speeds:
        return board.speed.speed(board.now_s)
    return board.health.speed(board.now_s)


def drop_stalled_speed(board: AgentBoard) -> None:
    """Drops the speed of a server that has stalled and had no runs since."""
    last_s = max(board.stalled_s, board.speed.at_s)
    if not board.stalled_s or board.now_s - last_s < STALL_MEMORY_S:
        return
    board.stalled_s = 0.0
    _drop_low_speed(board)


def _drop_low_speed(board: AgentBoard) -> None:
    if server_speed(board) <= MAX_SLOW_SPEED:
        board.counters["speeds_dropped"] += 1
        board.speed.clear()
        _log_speed(board)


def _record_speed(board: AgentBoard, run: Run, speed: float) -> None:
    if not board.load.server_speeds:
        board.health.record_speed(board.now_s, run.name.job, speed)
        return
    if run.has_stalled:
        # The time that it stood still says nothing about the speed now.
        return
    if board.speed.record(board.now_s, run.name.job, speed):
        _log_speed(board)


def _log_speed(board: AgentBoard) -> None:
    """Logs the believed speed if it has changed since it was last logged."""
    speed = board.speed.speed(board.now_s)
    factor = max(speed / board.logged_speed, board.logged_speed / speed)
    if factor < LOGGED_SPEED_FACTOR:
        return
    logs.info(
        "server_speed",
        speed=speed,
        before=board.logged_speed,
        uncertainty=board.speed.uncertainty(board.now_s),
        jobs=board.speed.jobs,
        changes=board.speed.changes,
    )
    board.logged_speed = speed


def _stop_unknown(board: AgentBoard, name, number: int) -> None:
    """Stops a run of an earlier agent process, or one that started too late."""
    logs.info("unknown_run_stopped", job=name.job, number=number)
    board.calls.append(runs.stop_call_for(board, name, number))


def _on_running(board: AgentBoard, run: Run, percent: int) -> None:
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        run.started_s = run.last_change_s = board.now_s
    if run.phase is not RunPhase.RUNNING:
        return
    if percent != run.percent:
        _note_resumed(board, run)
        run.percent = percent
        run.last_change_s = board.now_s
    run.listed_s = board.now_s
    age_s = board.now_s - run.started_s
    since_report_s = board.now_s - run.slow_reported_s
    if since_report_s > SLOW_REPORT_S and _is_slow(board, run, age_s):
        _report_slow(board, run, age_s)


def _is_slow(board: AgentBoard, run: Run, age_s: float) -> bool:
    if age_s < SLOW_MIN_AGE_S:
        return False
    if _is_stalled(run, board.now_s):
        return True
    projected_s = age_s * 100 / max(1, run.percent)
    return projected_s > SLOW_FACTOR * max(run.expected_s, SLOW_MIN_AGE_S)


def _is_stalled(run: Run, listed_s: float) -> bool:
    """Whether a run had stalled when it was listed."""
    limit_s = max(STALL_S, STALL_SHARE * run.expected_s)
    return listed_s - run.last_change_s > limit_s


def _report_slow(board: AgentBoard, run: Run, age_s: float) -> None:
    is_first_report = not run.slow_reported_s
    run.slow_reported_s = board.now_s
    stalled = _is_stalled(run, board.now_s)
    if stalled and is_first_report:
        board.health.record_result(board.now_s, good=False)
    if stalled and board.load.server_speeds:
        board.stalled_s = board.now_s
    if not stalled:
        speed = run.expected_s * run.percent / 100 / age_s
        _record_speed(board, run, speed)
        if _is_long_itself(board):
            board.counters["slow_runs_unreported"] += 1
            return
    logs.info(
        "run_slow",
        job=run.name.job,
        attempt=run.attempt,
        percent=run.percent,
        age_s=age_s,
        expected_s=run.expected_s,
        stalled=stalled,
    )
    runs.report(board, run, RunEnd.STALLED if stalled else RunEnd.SLOW)


def _note_resumed(board: AgentBoard, run: Run) -> None:
    """Drops a low speed when a run that has stalled makes progress again.

    The backend server stood still, and may be as fast as before. A time without
    answers to polls says nothing of it.
    """
    if not board.load.server_speeds or not _is_stalled(run, run.listed_s):
        return
    run.has_stalled = True
    _drop_low_speed(board)


def _is_long_itself(board: AgentBoard) -> bool:
    """Whether a slow run is not worth moving, since its server is not slow."""
    return (
        board.load.server_speeds
        and server_speed(board) > MAX_SLOW_SPEED
        and not board.speed.may_have_dropped
    )


def _on_missing_run(board: AgentBoard, call: PollCall, run: Run) -> None:
    """Handles a run that is listed neither as running nor as ended."""
    if not _is_over(run, call):
        return
    if run.phase is RunPhase.STOPPING:
        runs.finish(board, run, run.end)
    else:
        logs.warning("run_missing", job=run.name.job, number=run.number)
        runs.finish(board, run, RunEnd.STOPPED)


def drop_expired_runs(board: AgentBoard) -> None:
    """Drops the runs of a silent backend server after their lease expired."""
    if not board.runs_by_task or board.now_s < board.server_lease_end_s + 0.05:
        return
    if board.void_ends:
        # The lease is deliberately left to expire, and the backend server lists
        # the ends of these runs.
        return
    logs.warning("server_silent", runs=len(board.runs_by_task))
    board.state = (
        ServerState.DRAINING if board.is_shutting_down else ServerState.ABSENT
    )
    servercrash.record(board, is_certain=False)
    for run in tuple(board.runs_by_task.values()):
        if run.phase is not RunPhase.RUNNING:
            board.blocked_runs.append(runs.stop_call(board, run))
        runs.finish(board, run, RunEnd.STOPPED)
