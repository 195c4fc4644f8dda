"""Admission control: accepts a job if it can be answered in time.

When more work arrives than the backend servers can process, accepting all of it
would make every job late. A job is accepted when it is expected to start early
enough to meet its objective. A job that would be late is queued behind all
others, so it is accepted only if surplus capacity, which is the work dispatched
less the work that arrives, reaches it before its caller stops waiting. All
other jobs are refused at once.
"""

import dataclasses

# Lower bound of the assumed dispatch rate, as a share of the capacity, so that
# the low rate measured just after an outage does not get every job refused.
MIN_RATE_SHARE = 0.1
# Lower bound of the assumed surplus rate, which late jobs get, as a share of
# the capacity.
MIN_SURPLUS_SHARE = 0.02
# Share of a job's slack that the expected wait may use. The rest allows for
# other delays, such as a full or a slow backend server.
SLACK_SHARE = 0.4
# Least wait while all backend servers are lost that should be back soon.
RETURN_WAIT_S = 0.1
# Bounds of the delay before a retry that is recommended to a refused caller.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 10.0


@dataclasses.dataclass(frozen=True)
class Load:
    """Load that a job meets; work is in thousandths of a core x seconds.

    Attributes:
        usable_cpu: CPU of the backend servers that are usable or should be back
            soon, in thousandths of a core.
        ahead_cpu_s: Waiting work that is dispatched before the job.
        dispatch_rate: Work of the job's priority and less urgent ones that is
            dispatched per second.
        waiting_cpu_s: All waiting work.
        surplus_rate: Work dispatched per second less the work that arrives.
        is_starting: Whether agents may not have been discovered yet, so that
            little is known about the capacity.
        is_out: Whether all backend servers have just been lost, some of which
            should be back soon.
    """

    usable_cpu: float
    ahead_cpu_s: float
    dispatch_rate: float
    waiting_cpu_s: float
    surplus_rate: float
    is_starting: bool = False
    is_out: bool = False


def expected_wait_s(load: Load, slack_s: float) -> float:
    """Returns how long a job is expected to wait before it is dispatched.

    Args:
        load: The load that the job meets.
        slack_s: How long the job may wait and still meet its objective.
    """
    if load.is_starting:
        return 0.0
    if load.usable_cpu <= 0:
        return float("inf")
    if load.is_out:
        return RETURN_WAIT_S
    if load.ahead_cpu_s <= 0 and slack_s >= 0:
        return 0.0
    rate = max(load.dispatch_rate, MIN_RATE_SHARE * load.usable_cpu)
    in_time_s = load.ahead_cpu_s / rate
    if in_time_s <= SLACK_SHARE * slack_s:
        return in_time_s
    surplus_rate = max(load.surplus_rate, MIN_SURPLUS_SHARE * load.usable_cpu)
    # A late job has its place behind others that are late; one that would
    # become late goes behind all work that waits.
    queued_cpu_s = load.ahead_cpu_s if slack_s < 0 else load.waiting_cpu_s
    return queued_cpu_s / surplus_rate


def must_refuse(
    load: Load, slack_s: float, run_s: float, wait_limit_s: float
) -> bool:
    """Whether a job would be answered only after its caller stops waiting.

    Args:
        load: The load that the job meets.
        slack_s: How long the job may wait and still meet its objective.
        run_s: Expected run time of the job's critical path.
        wait_limit_s: How long the caller waits from now on.
    """
    return expected_wait_s(load, slack_s) + run_s > wait_limit_s


def retry_after_s(load: Load, slack_s: float) -> float:
    """Returns the delay after which a refused caller should retry.

    By then the waiting work should have decreased enough for the job to start
    in time, provided that the arrival rate does not grow.
    """
    if load.usable_cpu <= 0:
        return MIN_RETRY_S
    excess_s = expected_wait_s(load, slack_s) - max(0.0, slack_s)
    return min(MAX_RETRY_S, max(MIN_RETRY_S, excess_s))
