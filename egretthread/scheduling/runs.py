"""Lifecycle of the runs that an agent holds: stops, ends and reports."""

import dataclasses
from collections.abc import Sequence

from egretthread.scheduling import serverlease
from egretthread.scheduling.agentboard import (
    AgentBoard,
    Run,
    RunPhase,
    StopCall,
    TaskName,
)
from egretthread.scheduling.runmessage import RunEnd, RunReport

# Timeouts of the successive calls that stop one run; each is retried when it
# times out, the last one again and again. Several fit into the time for which
# the run's lease is still renewed. On a busy machine an answer takes longer.
STOP_TIMEOUTS_S = (0.06, 0.06, 0.06, 0.06, 0.12, 0.25)


def finish(
    board: AgentBoard, run: Run, end: RunEnd, notify: bool = True
) -> None:
    """Removes a run that has ended.

    Args:
        board: The blackboard.
        run: The run.
        end: How it ended.
        notify: Whether to report the end to its coordinator.
    """
    if board.runs.pop((run.entry, run.attempt), None) is None:
        return
    if board.runs_by_task.get(run.name) is run:
        del board.runs_by_task[run.name]
    board.counters[f"runs_{end.value}"] += 1
    if notify:
        report(board, run, end)


def report(board: AgentBoard, run: Run, end: RunEnd) -> None:
    """Queues a report on one run to its coordinator."""
    run_s = board.now_s - run.started_s if run.started_s else 0.0
    board.reports[run.entry].append(
        RunReport(
            run.name.job, run.attempt, end, int(run_s * 1000), run.percent
        )
    )


def begin_stop(board: AgentBoard, run: Run, end: RunEnd) -> None:
    """Stops a run; its end is reported once it has certainly ended.

    Args:
        board: The blackboard.
        run: The run.
        end: The end to report then; a run that is still queued is refused.
    """
    if run.phase is RunPhase.QUEUED:
        finish(board, run, RunEnd.REFUSED)
        return
    if run.phase is RunPhase.STOPPING:
        return
    run.phase = RunPhase.STOPPING
    run.stop_deadline_s = serverlease.stop_deadline_s(board, run)
    run.end = end
    run.tries = 0
    send_stop(board, run)


def send_stop(board: AgentBoard, run: Run) -> None:
    """Queues the call that stops a run, or blocks it if it has not arrived."""
    run.tries += 1
    run.last_change_s = board.now_s
    call = stop_call(board, run)
    board.calls.append(dataclasses.replace(call, timeout_s=stop_timeout_s(run)))


def stop_timeout_s(run: Run) -> float:
    """Returns the timeout of the last call that was sent to stop a run."""
    return STOP_TIMEOUTS_S[min(run.tries, len(STOP_TIMEOUTS_S)) - 1]


def stop_call(board: AgentBoard, run: Run) -> StopCall:
    """Returns the call that stops a run."""
    return stop_call_for(board, run.name, run.number)


def stop_call_for(board: AgentBoard, name: TaskName, number: int) -> StopCall:
    """Returns the call that stops the run of a task with this number."""
    server = board.server
    if server is None:
        return StopCall(name, number, "", board.token)
    return StopCall(
        name,
        number,
        server.server,
        board.token,
        started_unix_ms=server.started_unix_ms,
    )


def drop_all(
    board: AgentBoard, end: RunEnd, may_be_alive: Sequence[Run] = ()
) -> None:
    """Removes all runs, which have ended together with their backend server.

    Args:
        board: The blackboard.
        end: How the runs ended that were at the backend server.
        may_be_alive: Runs that have not ended.
    """
    for run in tuple(board.runs.values()):
        if run in may_be_alive:
            continue
        run_end = RunEnd.REFUSED if run.phase is RunPhase.QUEUED else end
        finish(board, run, run_end)
