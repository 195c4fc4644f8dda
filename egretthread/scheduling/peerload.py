"""What entries that are short of capacity learn of other entries' load.

Only an entry that is short asks, and each time only a few others. An entry that
has capacity to spare sends nothing by itself.
"""

import heapq

import xxhash

from egretthread.scheduling import (
    agentviews,
    isolation,
    linkchoice,
    waitingload,
)
from egretthread.scheduling.entryboard import EntryBoard
from egretthread.scheduling.forwardboard import PeerLoad, SentJob
from egretthread.scheduling.jobspec import JobSpec
from egretthread.scheduling.runmessage import EntryLoad, ServiceLoad

# Time between two questions of an entry that is short.
ASK_INTERVAL_S = 0.1
# Number of entries that it asks each time.
ASKED_ENTRIES = 4
# Time for which it asks the same ones.
SELECTION_S = 1.0
# Time for which an entry counts as short after it has refused a job.
SHORT_S = 1.0
# Age beyond which a reported counts as unknown: two replies have been lost.
MAX_AGE_S = 0.25
# Time for which an entry's own load is not determined again.
OWN_ROWS_S = 0.02
# Sizes of tasks for which free capacity is reported, in thousandths of a core.
SIZES_CPU = (500, 1000, 2000, 4000, 8000, 16_000, 32_000)


def may_reach_more(board: EntryBoard) -> bool:
    """Whether other entries may have links with agents that this one has not.

    Where an agent links with all entries, all of them see the same capacity.
    """
    return len(board.entries) > linkchoice.LINKS_PER_AGENT


def on_short(board: EntryBoard) -> None:
    """Records that a job can't be served here in time; asks the others."""
    board.forwarding.short_until_s = board.now_s + SHORT_S
    ask_if_due(board)


def ask_if_due(board: EntryBoard) -> None:
    """Asks a few entries for their load if this one is short of capacity."""
    forwards = board.forwarding
    if board.now_s - forwards.asked_s < ASK_INTERVAL_S:
        return
    # Kept jobs are not forwarded, and may wait for long.
    is_short = board.now_s < forwards.short_until_s or any(
        not task.job.spec.kept for task in board.waiting
    )
    is_short = is_short and may_reach_more(board)
    if not (is_short or forwards.sent):
        return
    forwards.asked_s = board.now_s
    forwards.last_question += 1
    forwarded: dict[str, list[SentJob]] = {}
    for job in forwards.sent.values():
        if not job.is_cancelling:
            forwarded.setdefault(job.receiver, []).append(job)
    asked = set(forwarded)
    if is_short:
        asked.update(select(board))
    for node in sorted(asked):
        jobs = forwarded.get(node, ())
        question = EntryLoad(
            forwards.last_question,
            True,
            tuple(job.number for job in jobs),
            clock_ms=max((job.clock_ms for job in jobs), default=0),
        )
        forwards.send(node, question)


def select(board: EntryBoard) -> list[str]:
    """Returns the entries to ask; others are selected after a while."""
    period = int(board.now_s / SELECTION_S)
    return heapq.nsmallest(
        ASKED_ENTRIES,
        board.forwarding.peers & board.forwarding.accepting,
        key=lambda node: xxhash.xxh64_intdigest(
            f"{board.node} {node} {period}".encode()
        ),
    )


def on_reply(board: EntryBoard, node: str, load: EntryLoad) -> None:
    """Records the load of another entry."""
    known = board.forwarding.peer_loads.get(node)
    if known is None or load.number > known.number:
        rows = {row.service: row for row in load.rows}
        board.forwarding.peer_loads[node] = PeerLoad(
            load.number, board.now_s, load.clock_ms, rows
        )


def forget_old(board: EntryBoard) -> None:
    """Removes peer_loads that are too old to be used."""
    peer_loads = board.forwarding.peer_loads
    for node, reported in tuple(peer_loads.items()):
        if board.now_s - reported.received_s > MAX_AGE_S:
            del peer_loads[node]


def own_rows(board: EntryBoard) -> tuple[ServiceLoad, ...]:
    """Returns the load of this entry, determined at most every OWN_ROWS_S."""
    forwards = board.forwarding
    if board.now_s - forwards.own_rows_s >= OWN_ROWS_S:
        forwards.own_rows = current_rows(board)
        forwards.own_rows_s = board.now_s
    return forwards.own_rows


def current_rows(board: EntryBoard) -> tuple[ServiceLoad, ...]:
    """Returns the load of this entry now."""
    usable: dict[str, int] = {}
    free: dict[str, list[int]] = {}
    isolated: dict[str, frozenset[str]] = {}
    for view in board.agents.values():
        if not agentviews.is_usable(board, view):
            continue
        service = view.facts.service
        if service not in isolated:
            isolated[service] = isolation.isolated_agents(board, service)
            usable[service] = 0
            free[service] = [0] * len(SIZES_CPU)
        if view.node in isolated[service]:
            continue
        capacity_cpu = view.facts.capacity.cpu
        usable[service] += capacity_cpu
        free_cpu = view.expected_free.cpu - int(
            waitingload.RESERVED_SHARE * capacity_cpu
        )
        for number, size_cpu in enumerate(SIZES_CPU):
            if free_cpu < size_cpu:
                break
            free[service][number] += free_cpu - free_cpu % size_cpu
    for task in board.waiting:
        service = task.job.route.service
        if service in free:
            cpu = task.spec.room.cpu
            free[service] = [max(0, each - cpu) for each in free[service]]
    return tuple(
        ServiceLoad(service, usable[service], tuple(free[service]))
        for service in usable
    )


def first_cpu(spec: JobSpec) -> int:
    """Returns the CPU that the tasks of a job's first steps take."""
    return sum(
        step.count * step.room.cpu for step in spec.steps if not step.after
    )


def free_cpu(row: ServiceLoad | None, spec: JobSpec) -> int:
    """Returns the CPU that is free for tasks as large as a job's largest."""
    if row is None:
        return 0
    largest_cpu = max(step.room.cpu for step in spec.steps)
    for size_cpu, cpu in zip(SIZES_CPU, row.free_cpu, strict=True):
        if largest_cpu <= size_cpu:
            return cpu
    return 0


def free_cpu_at(
    board: EntryBoard, node: str, service: str, spec: JobSpec
) -> int:
    """Returns the CPU free for a job at another entry, as last reported."""
    reported = board.forwarding.peer_loads.get(node)
    if reported is None or board.now_s - reported.received_s > MAX_AGE_S:
        return 0
    return free_cpu(reported.rows.get(service), spec)
