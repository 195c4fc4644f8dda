"""Crashes of the backend server, which its agent remembers and reports.

A crash may be due to one of the tasks that were running. Entries therefore
learn of all of them, also of those that other entries have ordered.
"""

from egretthread import logs
from egretthread.scheduling.agentboard import AgentBoard, Crash, Run, RunPhase
from egretthread.scheduling.runmessage import LostRun, ServerCrash

# How long crashes are remembered for entries that start later.
RETENTION_S = 60.0
# Maximum number of crashes that are remembered.
MAX_CRASHES = 30


def record(board: AgentBoard, is_certain: bool) -> None:
    """Records that the backend server crashed with the runs that are at it.

    This must precede the reports on these runs, so that their entries know of
    the crash when they dispatch the tasks again.

    Args:
        board: The blackboard.
        is_certain: Whether the incarnation has ended.
    """
    server = board.server
    if server is None or server.is_draining or server is board.left_server:
        # A backend server that drains or leaves may end with runs at it.
        return
    lost = [
        run for run in board.runs.values() if run.phase is not RunPhase.QUEUED
    ]
    for run in lost:
        logs.warning(
            "run_lost",
            job=run.name.job,
            step=run.name.step,
            index=run.name.index,
            attempt=run.attempt,
            entry=run.entry,
            route=run.route,
            server=server.server,
            phase=run.phase,
            exclusive=run.exclusive,
            age_s=_age_s(board, run),
        )
    crash = _find(board, server.server, server.started_unix_ms)
    if crash is None and lost:
        rows = tuple(
            LostRun(
                run.name.job,
                run.name.step,
                run.name.index,
                run.route,
                run.entry,
                int(_age_s(board, run) * 1000),
            )
            for run in lost
        )
        crash = Crash(
            server.server, server.started_unix_ms, board.now_s, rows, is_certain
        )
        board.crashes.append(crash)
        del board.crashes[:-MAX_CRASHES]
    elif crash is not None and is_certain and not crash.is_certain:
        crash.is_certain = True
    else:
        return
    board.counters["server_crashes"] += 1
    _send(board, crash)


def _age_s(board: AgentBoard, run: Run) -> float:
    """Returns how long a run has been at the backend server.

    It is 0 until the call that starts it is answered.
    """
    return board.now_s - run.started_s if run.started_s else 0.0


def withdraw(board: AgentBoard) -> None:
    """Withdraws a presumed crash after the incarnation has answered again."""
    server = board.server
    crash = server and _find(board, server.server, server.started_unix_ms)
    if crash and not crash.is_certain:
        logs.info("crash_withdrawn", server=crash.server)
        board.crashes.remove(crash)
        crash.rows = ()
        _send(board, crash)


def send_all(board: AgentBoard, node: str) -> None:
    """Sends the remembered crashes to an entry."""
    for crash in board.crashes:
        if board.now_s - crash.at_s < RETENTION_S:
            board.outbox.append((node, _message(board, crash)))


def _find(board: AgentBoard, server: str, started_unix_ms: int) -> Crash | None:
    for crash in board.crashes:
        if (crash.server, crash.started_unix_ms) == (server, started_unix_ms):
            return crash
    return None


def _send(board: AgentBoard, crash: Crash) -> None:
    message = _message(board, crash)
    for coordinator in board.coordinators.values():
        if coordinator.is_connected:
            board.outbox.append((coordinator.node, message))


def _message(board: AgentBoard, crash: Crash) -> ServerCrash:
    return ServerCrash(
        board.node,
        crash.server,
        crash.started_unix_ms,
        int((board.now_s - crash.at_s) * 1000),
        crash.is_certain,
        crash.rows,
    )
