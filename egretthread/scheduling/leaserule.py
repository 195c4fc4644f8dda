"""Leases between entries, agents and backend servers, without clock sync.

Each heartbeat of an agent carries a reading of the agent's clock, and the entry
echoes the last reading it received. An order or heartbeat reply is therefore no
older than the reading that it echoes. An entry may assume that all runs of an
unreachable agent have ended at `fence_s`.

The store may assign the partitions of a coordinator to another one without the
former's knowledge. The former one goes on for up to `TENURE_S` after its last
call to the group that was answered, renewing leases and ordering runs, and its
runs may outlive it. The next one may assume that all of them have ended at
`takeover_s`.
"""

# An order whose echoed reading is older was delayed in transit and is refused.
MAX_ORDER_AGE_MS = 1500
# An order is also refused if it and the heartbeat that it echoes were longer in
# transit. Its entry may have ended since, and runs that are accepted must end
# before callers submit its jobs again.
MAX_ORDER_TRANSIT_MS = 400
# Runs are stopped when the last reading that their coordinator echoed is older.
# This plus the time for the stops is less than the time after which callers
# submit a lost job again.
COORDINATOR_LEASE_S = 0.8
# Minimum lease of runs that have just been accepted. The next heartbeat reply
# arrives within it.
ACCEPTED_GRACE_S = 0.4
# Lease of the runs at the backend server, which drops them when it is not
# renewed.
SERVER_LEASE_S = 0.5
# How long after the end of its coordinator's lease a run may go on while it is
# being stopped. The lease at the backend server is not renewed beyond that.
# Callers submit a lost job again, and its agent's fence passes, only later.
LAPSED_STOP_LIMIT_S = 0.4
# The same after the decision to stop a run whose coordinator has a lease. That
# decision may be due to the loss of another entry, which has forwarded the job.
STOP_LIMIT_S = 0.5
# Maximum time for which the lease is renewed while no poll is answered. The
# runs are given up after that.
MAX_SILENCE_S = 2.5
# Maximum share by which a backend server's clock runs slow.
CLOCK_DRIFT = 0.02
# Maximum time in which an agent notices the end of a lease.
STOP_MARGIN_S = 0.2
# How long a coordinator may act for its partitions after it sent the last call
# to the group that was answered.
TENURE_S = 2.3


def order_is_fresh(clock_ms: int, echo_ms: int) -> bool:
    """Whether an order that echoes this reading may be carried out.

    Args:
        clock_ms: The agent's clock.
        echo_ms: The reading that the order echoes.
    """
    return clock_ms - echo_ms <= MAX_ORDER_AGE_MS


def order_is_prompt(clock_ms: int, echo_ms: int, echo_age_ms: int) -> bool:
    """Whether an order was not delayed in transit.

    Args:
        clock_ms: The agent's clock.
        echo_ms: The reading that the order echoes.
        echo_age_ms: How long ago the entry had received it when it sent the
            order.
    """
    return clock_ms - echo_ms - echo_age_ms <= MAX_ORDER_TRANSIT_MS


def coordinator_lease_end_s(echo_ms: int) -> float:
    """Returns when the lease of an entry that echoes this reading ends."""
    return echo_ms / 1000 + COORDINATOR_LEASE_S


def max_server_lease_s() -> float:
    """Returns the longest time for which runs can outlive their agent."""
    return SERVER_LEASE_S * (1 + CLOCK_DRIFT)


def fence_s(echo_received_s: float, ordered: bool) -> float:
    """Returns when all runs of a silent agent have certainly ended.

    Args:
        echo_received_s: When the entry received the reading it last echoed.
        ordered: Whether it was echoed in an order.
    """
    lease_s = COORDINATOR_LEASE_S
    if ordered:
        lease_s = max(lease_s, MAX_ORDER_AGE_MS / 1000 + ACCEPTED_GRACE_S)
    return echo_received_s + lease_s + max_server_lease_s() + STOP_MARGIN_S


def tenure_end_s(assigned_s: float) -> float:
    """Returns when all earlier coordinators of a partition have given it up.

    Args:
        assigned_s: When its coordinator learned that it is assigned to it. No
            earlier coordinator has had its assignment renewed since.
    """
    return assigned_s + TENURE_S


def takeover_s(ended_s: float) -> float:
    """Returns when all runs of a former coordinator have certainly ended.

    Args:
        ended_s: When it ordered and renewed nothing any longer.
    """
    lease_s = max(
        COORDINATOR_LEASE_S, MAX_ORDER_TRANSIT_MS / 1000 + ACCEPTED_GRACE_S
    )
    stop_s = LAPSED_STOP_LIMIT_S * (1 + CLOCK_DRIFT)
    return ended_s + lease_s + stop_s + STOP_MARGIN_S


def fence_after_restart_s(restarted_s: float) -> float:
    """Returns when all runs of a restarted agent's old process have ended.

    Args:
        restarted_s: When the new process was first seen.
    """
    return restarted_s + max_server_lease_s() + STOP_MARGIN_S
