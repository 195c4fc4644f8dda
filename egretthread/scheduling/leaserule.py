"""How long an entry's word holds at an agent, without comparing clocks.

Each heartbeat of an agent carries its own clock; the entry returns the last
reading it has. An order or a reply is thus known to be no older than the
reading it carries. An entry that has not been heard of may take a run as over
at `fence_s`.
"""

# An order whose reading is older is refused: it was held up on its way.
ORDER_AGE_MS = 1500
# Runs are stopped when their coordinator's last reading is older. With the
# stops it is less than the time after which callers submit a lost job again.
COORDINATOR_LEASE_S = 0.8
# A run just accepted is kept this long, while the next reading is on its way.
ACCEPTED_GRACE_S = 0.4
# Lease of the runs at the backend server; it drops them when it is not renewed.
SERVER_LEASE_S = 0.5
# A backend server's clock may be this much slower.
CLOCK_DRIFT = 0.02
# Time within which an agent notices that a lease has ended, and stops a run.
STOP_MARGIN_S = 0.2


def order_is_fresh(clock_ms: int, echo_ms: int) -> bool:
    """Whether an order with this reading may be carried out.

    Args:
        clock_ms: The agent's clock.
        echo_ms: The reading in the order.
    """
    return clock_ms - echo_ms <= ORDER_AGE_MS


def lease_end_s(echo_ms: int) -> float:
    """Returns when the runs of an entry with this reading are stopped."""
    return echo_ms / 1000 + COORDINATOR_LEASE_S


def server_lapse_s() -> float:
    """Returns the longest time for which runs outlive their agent."""
    return SERVER_LEASE_S * (1 + CLOCK_DRIFT)


def fence_s(echo_heard_s: float, ordered: bool) -> float:
    """Returns when the runs at an agent that is silent are surely over.

    Args:
        echo_heard_s: When the entry received the last reading it returned.
        ordered: Whether it was returned in an order.
    """
    lease_s = COORDINATOR_LEASE_S
    if ordered:
        lease_s = max(lease_s, ORDER_AGE_MS / 1000 + ACCEPTED_GRACE_S)
    return echo_heard_s + lease_s + server_lapse_s() + STOP_MARGIN_S


def fence_after_restart_s(closed_s: float) -> float:
    """Returns when the runs of an agent that has restarted are over.

    Args:
        closed_s: When the link to its former process closed.
    """
    return closed_s + server_lapse_s() + STOP_MARGIN_S
