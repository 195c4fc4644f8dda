"""What happens to a run that an agent holds."""

from egretthread.scheduling.agentboard import (
    AgentBoard,
    Run,
    RunPhase,
    StopCall,
)
from egretthread.scheduling.runmessage import RunEnd, RunReport


def finish(board: AgentBoard, run: Run, end: RunEnd, tell: bool = True) -> None:
    """Drops a run that is over.

    Args:
        board: The blackboard.
        run: The run.
        end: How it ended.
        tell: Whether to report the end to its coordinator.
    """
    if board.runs.pop((run.entry, run.attempt), None) is None:
        return
    if board.runs_by_task.get(run.name) is run:
        del board.runs_by_task[run.name]
    board.counters[f"runs_{end.value}"] += 1
    if tell:
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
    """Stops a run; it is reported once it is surely over.

    Args:
        board: The blackboard.
        run: The run.
        end: What to report then.
    """
    if run.phase is RunPhase.QUEUED:
        finish(board, run, RunEnd.REFUSED)
        return
    if run.phase is RunPhase.STOPPING:
        return
    run.phase = RunPhase.STOPPING
    run.end = end
    run.tries = 0
    send_stop(board, run)


def send_stop(board: AgentBoard, run: Run) -> None:
    """Queues the order that stops a run or bars it."""
    run.tries += 1
    run.moved_s = board.now_s
    board.calls.append(stop_call(board, run))


def stop_call(board: AgentBoard, run: Run) -> StopCall:
    """Returns the order that stops a run."""
    server = board.server.server if board.server else ""
    return StopCall(run.name, run.number, server, board.token)


def lose_all(board: AgentBoard, end: RunEnd) -> None:
    """Drops all runs, which are over with their backend server."""
    for run in tuple(board.runs.values()):
        over = RunEnd.REFUSED if run.phase is RunPhase.QUEUED else end
        finish(board, run, over)
