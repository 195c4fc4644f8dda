"""Who is refused: whether a job can be answered while its caller waits."""

import dataclasses

# Share of the room that the model counts on: ends and starts leave gaps.
USABLE_SHARE = 0.9
# A caller is told to come back no earlier and no later than this.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 10.0


@dataclasses.dataclass(frozen=True)
class Load:
    """What stands between a new job and its answer.

    Attributes:
        usable_cpu: Processor of the backend servers in use, in thousandths.
        free_cpu: The part of it that is free.
        waiting_cpu_s: Work that waits and goes first, thousandths x seconds.
        largest_free_cpu: Largest room on one backend server.
    """

    usable_cpu: float
    free_cpu: float
    waiting_cpu_s: float


def wait_s(load: Load, cpu: float) -> float:
    """Returns the expected wait for room.

    Args:
        load: The load.
        cpu: Processor that the job's tasks take together, in thousandths.
    """
    if load.usable_cpu <= 0:
        return float("inf")
    if not load.waiting_cpu_s and load.free_cpu >= cpu:
        return 0.0
    return load.waiting_cpu_s / (load.usable_cpu * USABLE_SHARE)


def must_refuse(
    load: Load, cpu: float, run_s: float, patience_s: float
) -> bool:
    """Whether a job would be answered only after its caller has left.

    Args:
        load: The load.
        cpu: Processor that the job's tasks take together.
        run_s: Run time of its longest chain.
        patience_s: How long the caller waits.
    """
    return wait_s(load, cpu) + run_s > patience_s


def retry_after_s(load: Load, cpu: float, run_s: float, patience_s) -> float:
    """Returns when a refused caller had better come back.

    By then the work that waits has gone down so far that the job would fit
    into the caller's patience.
    """
    if load.usable_cpu <= 0:
        return MIN_RETRY_S * 4
    excess_s = wait_s(load, cpu) + run_s - patience_s
    return min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s))
