"""How long an entry's configuration may be taken as the one in force."""

import dataclasses
from collections.abc import Sequence

# An entry counts as cut off from the log when its last read is this old.
OUTAGE_AFTER_S = 1.5


@dataclasses.dataclass(frozen=True)
class PeerView:
    """What an entry knows of another entry.

    Attributes:
        name: The other entry's name.
        heard_age_s: Upper bound on the age of what it last said, seconds.
        config_offset: Offset of the configuration it has in force.
        log_age_s: Time since it read the log's end, when it said so.
        holds_lease: Whether its lease was in force, when it said so.
    """

    name: str
    heard_age_s: float
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
    """Returns how long ago the configuration was known to be the newest.

    An entry knows by its own read of the log, or by the word of another
    entry that has read it and has the same configuration, or because a
    majority of the entries agree that nobody can publish: the log is out.

    Args:
        log_age_s: Time since this entry read the log's end.
        config_offset: Offset of this entry's configuration.
        entries: Names of all entries last known, this one included.
        peers: What the others last said.
        holds_lease: Whether this entry's own lease is still in force.

    Returns:
        The age in seconds; infinite when another entry has a newer
        configuration.
    """
    known = [peer for peer in peers if peer.name in entries]
    if any(peer.config_offset > config_offset for peer in known):
        return float("inf")
    readers = [
        peer.heard_age_s + peer.log_age_s
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
    """Returns how old the majority's word is that the log is out.

    The age is that of the oldest statement in the freshest majority of the
    entries that are cut off from the log, and infinite without a majority.
    An entry whose lease has lapsed does not count: others may have read a
    newer configuration before the outage began. One that has no configuration
    does not count either: it was restarted, and what its former self had read
    is lost.
    """
    ages = sorted(
        peer.heard_age_s
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
        config_offset: The highest configuration offset it was told of.
        until_s: Monotonic time until which tasks may start.
    """

    config_offset: int = -1
    until_s: float = float("-inf")


NO_LEASE = AgentLease()


def renew(
    lease: AgentLease, config_offset: int, echo_s: float, lease_s: float
) -> AgentLease:
    """Returns the lease after a heartbeat reply.

    A reply from an entry with an older configuration changes nothing; one
    with a newer configuration voids what older ones have granted.
    """
    if config_offset < lease.config_offset:
        return lease
    until_s = echo_s + lease_s if lease_s > 0 else float("-inf")
    if config_offset == lease.config_offset:
        until_s = max(until_s, lease.until_s)
    return AgentLease(config_offset, until_s)
