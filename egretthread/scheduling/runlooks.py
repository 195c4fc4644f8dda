"""Looks at the backend server: which runs are there, and how they ended."""

from egretthread import logs
from egretthread.scheduling import heldends, runorders, runs
from egretthread.scheduling.agentboard import (
    AgentBoard,
    Run,
    RunPhase,
    StopCall,
)
from egretthread.scheduling.runmessage import RunEnd, ServerState
from egretthread.scheduling.servercall import (
    EndedRun,
    PollCall,
    PollResult,
    ServerEnd,
    Verdict,
)

# How long a look may wait for an end while runs go on, in milliseconds.
WAIT_MS = 100
# The same while a stop awaits its end.
STOP_WAIT_MS = 15
# Work that has not moved for this long stands still, or for this share of
# the time expected, whichever is longer: progress is told in whole percents.
STALL_S = 0.35
STALL_SHARE = 0.05
# A run is slow when it is headed for this many times the time expected.
SLOW_FACTOR = 2.5
# Time between two reports that a run is slow, and age before the first.
SLOW_REPORT_S = 0.25
SLOW_MIN_AGE_S = 0.25

ENDS = {
    ServerEnd.DONE: RunEnd.DONE,
    ServerEnd.FAILED: RunEnd.FAILED,
}


def next_look(board: AgentBoard) -> PollCall:
    """Returns the next question to the backend server."""
    until_ms = 0
    wait_ms = WAIT_MS
    if not board.is_lease_barred:
        until_ms = runorders.renew_lease(board)
    if any(run.phase is RunPhase.STOPPING for run in board.runs.values()):
        wait_ms = STOP_WAIT_MS
    return PollCall(
        board.server.server if board.server else "",
        board.token,
        board.last_seen,
        until_ms,
        wait_ms,
        board.now_s,
    )


def on_look(board: AgentBoard, call: PollCall, look: PollResult) -> None:
    """Takes in one look."""
    runorders.note_answer(board, look)
    board.counters[f"look_{look.verdict.value}"] += 1
    if look.verdict is Verdict.FENCED:
        runorders.raise_token(board)
    elif look.verdict in (Verdict.WRONG_INSTANCE, Verdict.NOT_LISTENING):
        runorders.lose_server(board, f"look: {look.verdict}")
    elif look.verdict is Verdict.OK:
        _take_in(board, call, look)


def _take_in(board: AgentBoard, call: PollCall, look: PollResult) -> None:
    server = board.server
    if (
        server
        and look.started_unix_ms
        and server.started_unix_ms
        and look.started_unix_ms != server.started_unix_ms
    ):
        runorders.lose_server(board, "born again")
        return
    if board.state is ServerState.ABSENT and server is not None:
        board.state = ServerState.READY
        logs.info("server_state", state=board.state, why="it answers again")
    board.told_seen = max(board.told_seen, call.last_seen)
    for row in look.ended:
        if row.sequence > board.listed:
            board.listed = row.sequence
            _on_ended(board, row)
    listed = set()
    for row in look.running:
        listed.add((row.name, row.number))
        run = board.runs_by_task.get(row.name)
        if run is None or run.number != row.number:
            _stop_unknown(board, row.name, row.number)
        else:
            _on_running(board, run, row.percent)
    for run in tuple(board.runs_by_task.values()):
        if (run.name, run.number) not in listed:
            _on_unlisted(board, call, run)


def _on_ended(board: AgentBoard, row: EndedRun) -> None:
    run = board.runs_by_task.get(row.name)
    if run is not None and run.number != row.number:
        run = None
    held = heldends.hold(board, row, run)
    if run is None:
        return
    end = ENDS.get(row.end, RunEnd.STOPPED)
    run_s = board.now_s - run.started_s if run.started_s else 0.0
    board.samples.append(("task_seconds", run_s))
    if end is RunEnd.DONE:
        board.health.note(board.now_s, good=True)
        if run_s > 0:
            _note_speed(board, run, run.expected_s / run_s)
    elif end is RunEnd.FAILED:
        board.health.note(board.now_s, good=False)
    elif row.end is ServerEnd.LAPSED:
        logs.warning("server_lease_lapsed", job=run.name.job)
    runs.finish(board, run, end, tell=not held)


def _note_speed(board: AgentBoard, run: Run, speed: float) -> None:
    board.health.note_speed(board.now_s, run.name.job, speed)


def _stop_unknown(board: AgentBoard, name, number: int) -> None:
    """Stops a run that an earlier agent started, or that came late."""
    logs.info("unknown_run_stopped", job=name.job, number=number)
    server = board.server.server if board.server else ""
    board.calls.append(StopCall(name, number, server, board.token))


def _on_running(board: AgentBoard, run: Run, percent: int) -> None:
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        run.started_s = run.moved_s = board.now_s
    if run.phase is not RunPhase.RUNNING:
        return
    if percent != run.percent:
        run.percent = percent
        run.moved_s = board.now_s
    age_s = board.now_s - run.started_s
    silent_s = board.now_s - run.slow_reported_s
    if silent_s > SLOW_REPORT_S and _is_slow(board, run, age_s):
        _report_slow(board, run, age_s)


def _is_slow(board: AgentBoard, run: Run, age_s: float) -> bool:
    if age_s < SLOW_MIN_AGE_S:
        return False
    if _stands_still(board, run):
        return True
    headed_s = age_s * 100 / max(1, run.percent)
    return headed_s > SLOW_FACTOR * max(run.expected_s, SLOW_MIN_AGE_S)


def _stands_still(board: AgentBoard, run: Run) -> bool:
    patience_s = max(STALL_S, STALL_SHARE * run.expected_s)
    return board.now_s - run.moved_s > patience_s


def _report_slow(board: AgentBoard, run: Run, age_s: float) -> None:
    first = not run.slow_reported_s
    run.slow_reported_s = board.now_s
    stalled = _stands_still(board, run)
    if stalled and first:
        board.health.note(board.now_s, good=False)
    if not stalled:
        speed = run.expected_s * run.percent / 100 / age_s
        _note_speed(board, run, speed)
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


def _on_unlisted(board: AgentBoard, call: PollCall, run: Run) -> None:
    """Handles a run that is neither there nor among the ends."""
    if run.phase is RunPhase.RUNNING and run.started_s < call.sent_s:
        logs.warning("run_missing", job=run.name.job, number=run.number)
        runs.finish(board, run, RunEnd.STOPPED)
    elif run.phase is RunPhase.STOPPING and 0 < run.stopped_s < call.sent_s:
        runs.finish(board, run, run.end)


def check_server(board: AgentBoard) -> None:
    """Drops all runs once a backend server that is silent has dropped them."""
    if not board.runs_by_task or board.now_s < board.lease_end_s + 0.05:
        return
    if board.void:
        # The lease lapses on purpose; the ends of these runs are listed.
        return
    logs.warning("server_silent", runs=len(board.runs_by_task))
    board.state = (
        ServerState.DRAINING if board.is_closing else ServerState.ABSENT
    )
    for run in tuple(board.runs_by_task.values()):
        if run.phase is not RunPhase.RUNNING:
            board.barred.append(runs.stop_call(board, run))
        runs.finish(board, run, RunEnd.STOPPED)
