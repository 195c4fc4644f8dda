"""Ends of kept jobs' runs, held until they are written to the store.

A backend server discards an end once it has been acknowledged. A task of a kept
job must not start again after that, so the end is acknowledged only when it is
in the store. An end is void if its task was started again in the meantime; it
is acknowledged only after the backend server's lease has expired.
"""

from egretthread import logs
from egretthread.scheduling import wantedlinks
from egretthread.scheduling.agentboard import AgentBoard, Coordinator, Run
from egretthread.scheduling.runmessage import (
    HeldEnd,
    HeldEnds,
    RunEnd,
    SettleEnds,
)
from egretthread.scheduling.servercall import EndedRun, ServerEnd

# Interval between sends of the same ends to all entries. A coordinator writes
# them to the store within a few ms.
RESEND_S = 0.3
# Maximum number of ends that the backend server has to list. It lists 500 at a
# time, and further ones would not be seen. Entries settle the ends long before,
# unless no entry can reach the store.
MAX_LISTED = 400
# Time after the end of a lease when it has certainly expired at the backend
# server too.
EXPIRY_MARGIN_S = 0.05

RUN_ENDS = {ServerEnd.DONE: RunEnd.DONE, ServerEnd.FAILED: RunEnd.FAILED}


def hold(board: AgentBoard, ended_run: EndedRun, run: Run | None) -> bool:
    """Holds an end if its job may be kept; returns whether it was held.

    Args:
        board: The blackboard.
        ended_run: The ended run, as listed by the backend server.
        run: The run, if this agent process started it.
    """
    end = RUN_ENDS.get(ended_run.end)
    if end is None or not _may_be_kept(board, ended_run, run):
        return False
    run_s = board.now_s - run.started_s if run and run.started_s else 0.0
    number = ended_run.number
    if run is not None and run.ordered_number != number:
        number = 0
    held = HeldEnd(
        ended_run.name.job,
        ended_run.name.step,
        ended_run.name.index,
        ended_run.sequence,
        run.entry if run else "",
        run.attempt if run else 0,
        end,
        int(run_s * 1000),
        number,
    )
    board.held_ends[ended_run.sequence] = held
    if run is not None:
        _send(board, run.entry, (held,))
    return True


def _may_be_kept(
    board: AgentBoard, ended_run: EndedRun, run: Run | None
) -> bool:
    """Whether an end may belong to a kept job.

    For a run that an earlier process of this agent started, only the entries
    know this.
    """
    if run is not None:
        return run.kept
    if ended_run.name in board.run_numbers:
        return ended_run.name in board.kept_tasks
    return _kept_jobs_may_exist(board)


def _kept_jobs_may_exist(board: AgentBoard) -> bool:
    """Whether a connected entry reports kept jobs, or none is connected."""
    linked = [c for c in board.coordinators.values() if c.is_connected]
    return not linked or any(c.kept_jobs_may_exist for c in linked)


def resend(board: AgentBoard) -> None:
    """Sends the held ends to all linked entries.

    Their coordinator may be lost. An entry that is not the coordinator names
    the one that is, and the agent links with it (see `wantedlinks`).
    """
    if (
        board.last_processed - board.last_seen > MAX_LISTED
        and not board.void_ends
    ):
        logs.warning("held_ends_dropped", ends=len(board.held_ends))
        board.void_ends.update(board.held_ends)
    if not board.held_ends or board.now_s - board.held_ends_sent_s < RESEND_S:
        return
    if not _kept_jobs_may_exist(board):
        _remove_ends_of_earlier_process(board)
    board.held_ends_sent_s = board.now_s
    for coordinator in board.coordinators.values():
        if coordinator.is_connected:
            send_all(board, coordinator.node)


def _remove_ends_of_earlier_process(board: AgentBoard) -> None:
    """Removes ends of runs that an earlier process of this agent started.

    They were held in case their jobs were kept.
    """
    for sequence, held in tuple(board.held_ends.items()):
        if not held.entry:
            del board.held_ends[sequence]
            board.void_ends.discard(sequence)


def send_all(board: AgentBoard, node: str) -> None:
    """Sends all held ends that are not void to an entry."""
    pending = [
        held
        for sequence, held in board.held_ends.items()
        if sequence not in board.void_ends
    ]
    if pending:
        _send(board, node, tuple(pending))


def _send(board: AgentBoard, node: str, ends: tuple[HeldEnd, ...]) -> None:
    if board.server is not None:
        board.outbox.append((node, HeldEnds(board.server.incarnation, ends)))


def on_settle_ends(
    board: AgentBoard, coordinator: Coordinator, settled: SettleEnds
) -> None:
    """Releases the ends that an entry has written, and marks the void ones.

    For the others, the agent links with their coordinators.
    """
    if board.server is None or board.server.incarnation != settled.server:
        return
    wantedlinks.want(board, settled.coordinators)
    for sequence in settled.taken:
        if sequence not in board.void_ends:
            board.held_ends.pop(sequence, None)
    void = board.held_ends.keys() & set(settled.void)
    if void - board.void_ends:
        logs.info("ends_void", entry=coordinator.node, ends=len(void))
    board.void_ends |= void


def remove_void_ends(board: AgentBoard) -> None:
    """Removes the void ends once the backend server's lease has expired."""
    if (
        board.void_ends
        and board.now_s > board.server_lease_end_s + EXPIRY_MARGIN_S
    ):
        for sequence in board.void_ends:
            board.held_ends.pop(sequence, None)
        board.void_ends.clear()


def clear(board: AgentBoard) -> None:
    """Removes all ends after the backend server's incarnation has ended."""
    board.last_processed = board.acked_last_seen = 0
    board.answered_s = 0.0
    board.held_ends.clear()
    board.void_ends.clear()
