"""Leases under which entries and agents may act on a configuration."""

import dataclasses
from collections.abc import Sequence

# An entry counts as cut off from the log if its last read is this old.
OUTAGE_AFTER_S = 1.5


@dataclasses.dataclass(frozen=True)
class PeerView:
    """The last state that another entry sent.

    Attributes:
        name: The other entry's name.
        state_age_s: Upper bound on the age of this state, in seconds.
        config_offset: Offset of the configuration in force there.
        log_age_s: Time since it had read the log's end, as of this state.
        holds_lease: Whether it held a lease, as of this state.
    """

    name: str
    state_age_s: float
    config_offset: int
    log_age_s: float
    holds_lease: bool


def confirmed_age_s(
    log_age_s: float,
    config_offset: int,
    entries: Sequence[str],
    peers: Sequence[PeerView],
    holds_lease: bool,
) -> float:
    """Returns how long ago the configuration was confirmed as the newest.

    A confirmation is this entry's own read of the log, a read by another
    entry with the same configuration, or the agreement of a majority of all
    entries that they are cut off from the log. In the last case the log is
    unavailable, so nobody can publish a newer configuration.

    Args:
        log_age_s: Time since this entry read the log's end.
        config_offset: Offset of this entry's configuration.
        entries: Names of all known entries, including this one.
        peers: Last states of the other entries.
        holds_lease: Whether this entry holds a lease.

    Returns:
        The age in seconds; infinite if another entry has a newer
        configuration.
    """
    known = [peer for peer in peers if peer.name in entries]
    if any(peer.config_offset > config_offset for peer in known):
        return float("inf")
    readers = [
        peer.state_age_s + peer.log_age_s
        for peer in known
        if peer.config_offset == config_offset
    ]
    age_s = min([log_age_s, *readers])
    if age_s < OUTAGE_AFTER_S:
        return age_s
    return min(age_s, _outage_age_s(entries, known, holds_lease))


def _outage_age_s(
    entries: Sequence[str], known: Sequence[PeerView], holds_lease: bool
) -> float:
    """Returns the age of the agreement of a majority that the log is down.

    It is the age of the oldest state in the most recent majority of entries
    that are cut off from the log, and infinite without such a majority.

    An entry whose lease has expired does not count, because other entries may
    have read a newer configuration before the outage began. An entry without
    a configuration does not count either, because it was restarted and what
    its previous incarnation had read is lost.
    """
    ages = sorted(
        peer.state_age_s
        for peer in known
        if peer.log_age_s >= OUTAGE_AFTER_S
        and peer.config_offset >= 0
        and peer.holds_lease
    )
    needed = len(entries) // 2 + 1 - holds_lease
    if needed == 0:
        return 0.0
    if len(ages) < needed:
        return float("inf")
    return ages[needed - 1]


@dataclasses.dataclass(frozen=True)
class AgentLease:
    """An agent's permission to start tasks.

    Attributes:
        config_offset: The highest configuration offset received.
        until_s: Monotonic time until which tasks may start.
    """

    config_offset: int = -1
    until_s: float = float("-inf")


NO_LEASE = AgentLease()


def renew(
    lease: AgentLease, config_offset: int, echo_s: float, lease_s: float
) -> AgentLease:
    """Returns the lease after a heartbeat reply.

    A reply with an older configuration changes nothing. A reply with a newer
    configuration revokes the time that older ones granted.
    """
    if config_offset < lease.config_offset:
        return lease
    until_s = echo_s + lease_s if lease_s > 0 else float("-inf")
    if config_offset == lease.config_offset:
        until_s = max(until_s, lease.until_s)
    return AgentLease(config_offset, until_s)
