"""The lease of all runs at the backend server, which their agent renews.

It covers all runs there alike. A run that its coordinator takes for ended must
not be kept alive by the lease of the others, so that the lease is renewed only
as far as each of them may go on.
"""

import math

from egretthread.scheduling import leaserule
from egretthread.scheduling.agentboard import AgentBoard, Run, RunPhase

# Runs are started only while the lease can be renewed for at least this long.
# A shorter one is likely to expire with them.
MIN_START_LEASE_S = 0.2
# An older reading of the backend server's clock is not relied on. A start then
# gets no lease, and is retried with the clock in its answer.
MAX_CLOCK_AGE_S = 5.0


def coordinator_lease_end_s(board: AgentBoard, run: Run) -> float:
    """Returns when the lease of a run's entry ends; 0 if it has none."""
    coordinator = board.coordinators.get(run.entry)
    return coordinator.lease_end_s if coordinator else 0.0


def stop_deadline_s(board: AgentBoard, run: Run) -> float:
    """Returns when a run that is being stopped from now on must have ended."""
    return min(
        board.now_s + leaserule.STOP_LIMIT_S,
        coordinator_lease_end_s(board, run) + leaserule.LAPSED_STOP_LIMIT_S,
    )


def renewable_until_s(board: AgentBoard) -> float:
    """Returns the time up to which the lease may be renewed now."""
    end_s = board.now_s + leaserule.SERVER_LEASE_S
    for run in board.runs.values():
        if run.phase is RunPhase.STOPPING:
            end_s = min(end_s, run.stop_deadline_s)
        elif run.phase is not RunPhase.QUEUED:
            lease_end_s = coordinator_lease_end_s(board, run)
            end_s = min(end_s, lease_end_s + leaserule.LAPSED_STOP_LIMIT_S)
    if has_runs(board):
        end_s = min(end_s, board.listed_s + leaserule.MAX_SILENCE_S)
    return end_s


def has_runs(board: AgentBoard) -> bool:
    """Whether runs are, or may be, at the backend server."""
    return any(run.phase is not RunPhase.QUEUED for run in board.runs.values())


def is_blocked(board: AgentBoard) -> bool:
    """Whether the lease must not be renewed.

    The runs of an earlier process of the agent count as ended once that
    process's lease has expired, whether or not their stops arrive.
    """
    has_unknown_runs = board.is_confirmed and not board.knows_runs
    return board.is_renewal_blocked or has_unknown_runs


def may_start(board: AgentBoard) -> bool:
    """Whether the lease can be renewed for long enough to start runs."""
    if is_blocked(board):
        return False
    return renewable_until_s(board) - board.now_s >= MIN_START_LEASE_S


def renew(board: AgentBoard) -> int:
    """Renews the lease as far as it may be.

    Returns:
        Its end on the backend server's clock in ms, or 0 if it must not be
        renewed.
    """
    lease_s = renewable_until_s(board) - board.now_s
    if lease_s <= 0:
        return 0
    board.server_lease_end_s = max(
        board.server_lease_end_s,
        board.now_s + lease_s * (1 + leaserule.CLOCK_DRIFT),
    )
    if board.now_s - board.clock_read_s > MAX_CLOCK_AGE_S:
        return _min_clock_ms(board)
    return _min_clock_ms(board) + int(lease_s * 1000)


def _min_clock_ms(board: AgentBoard) -> int:
    """Returns the backend server's clock now if it runs as slow as it may."""
    drift_s = (board.now_s - board.clock_read_s) * leaserule.CLOCK_DRIFT
    clock_ms = board.clock_ms + board.clock_offset_ms
    return clock_ms - math.ceil(drift_s * 1000)
