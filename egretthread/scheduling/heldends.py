"""Ends of kept jobs' runs, held until they are on the store.

A backend server forgets an end once it is told that the end is known. A task
of a kept job must not start again after that, so the end has to be on the
store first. An end whose task was started again in the meantime counts for
nothing once the backend server's lease has lapsed; only then it is forgotten.
"""

from egretthread import logs
from egretthread.scheduling.agentboard import AgentBoard, Coordinator, Run
from egretthread.scheduling.runmessage import (
    HeldEnd,
    HeldEnds,
    RunEnd,
    SettleEnds,
)
from egretthread.scheduling.servercall import EndedRun, ServerEnd

# Time between two offers of the same ends to all entries, in seconds. The
# coordinator has them on the store in a few ms.
OFFER_S = 0.3
# Ends that the backend server may have to list at most. It lists 500 at a
# time, and those beyond would not be seen. Entries settle them long before,
# unless none can reach the store.
MAX_LISTED = 400
# Time by which a lease has surely lapsed, beyond its end, in seconds.
LAPSE_MARGIN_S = 0.05

HELD_ENDS = {ServerEnd.DONE: RunEnd.DONE, ServerEnd.FAILED: RunEnd.FAILED}


def hold(board: AgentBoard, row: EndedRun, run: Run | None) -> bool:
    """Holds an end if its job may be kept; returns whether it does.

    Args:
        board: The blackboard.
        row: The end, as listed by the backend server.
        run: The run, when it is one of this process.
    """
    end = HELD_ENDS.get(row.end)
    if end is None or not _may_be_kept(board, row, run):
        return False
    run_s = board.now_s - run.started_s if run and run.started_s else 0.0
    held = HeldEnd(
        row.name.job,
        row.name.step,
        row.name.index,
        row.sequence,
        run.entry if run else "",
        run.attempt if run else 0,
        end,
        int(run_s * 1000),
    )
    board.held[row.sequence] = held
    if run is not None:
        _send(board, run.entry, (held,))
    return True


def _may_be_kept(board: AgentBoard, row: EndedRun, run: Run | None) -> bool:
    """Whether an end may be of a kept job.

    Of a run that an earlier process of this agent started, only the entries
    know.
    """
    if run is not None:
        return run.kept
    if row.name in board.numbers:
        return row.name in board.kept_names
    return _kept_jobs_may_exist(board)


def _kept_jobs_may_exist(board: AgentBoard) -> bool:
    """Whether an entry says that there may be kept jobs, or none is heard."""
    linked = [c for c in board.coordinators.values() if c.is_connected]
    return not linked or any(c.kept_jobs for c in linked)


def offer(board: AgentBoard) -> None:
    """Offers the held ends to all entries: a coordinator may be gone."""
    if board.listed - board.last_seen > MAX_LISTED and not board.void:
        logs.warning("held_ends_dropped", ends=len(board.held))
        board.void.update(board.held)
    if not board.held or board.now_s - board.held_told_s < OFFER_S:
        return
    if not _kept_jobs_may_exist(board):
        _forget_unknown(board)
    board.held_told_s = board.now_s
    for coordinator in board.coordinators.values():
        if coordinator.is_connected:
            tell(board, coordinator.node)


def _forget_unknown(board: AgentBoard) -> None:
    """Forgets the ends of runs that an earlier process of this agent started.

    They were held in case that their jobs are kept.
    """
    for number, held in tuple(board.held.items()):
        if not held.entry:
            del board.held[number]
            board.void.discard(number)


def tell(board: AgentBoard, node: str) -> None:
    """Tells an entry of all held ends."""
    waiting = [h for n, h in board.held.items() if n not in board.void]
    if waiting:
        _send(board, node, tuple(waiting))


def _send(board: AgentBoard, node: str, rows: tuple[HeldEnd, ...]) -> None:
    if board.server is not None:
        board.outbox.append((node, HeldEnds(board.server.server, rows)))


def on_settle(
    board: AgentBoard, coordinator: Coordinator, item: SettleEnds
) -> None:
    """Lets the backend server forget ends that an entry has dealt with."""
    if board.server is None or board.server.server != item.server:
        return
    for number in item.taken:
        if number not in board.void:
            board.held.pop(number, None)
    void = board.held.keys() & set(item.void)
    if void - board.void:
        logs.info("ends_void", entry=coordinator.node, ends=len(void))
    board.void |= void


def forget_void(board: AgentBoard) -> None:
    """Forgets the void ends once the backend server's lease has lapsed."""
    if board.void and board.now_s > board.lease_end_s + LAPSE_MARGIN_S:
        for number in board.void:
            board.held.pop(number, None)
        board.void.clear()


def clear(board: AgentBoard) -> None:
    """Forgets everything: the backend server's incarnation is over."""
    board.listed = board.told_seen = 0
    board.held.clear()
    board.void.clear()
