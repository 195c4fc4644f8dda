"""Quotas of the organisations, enforced over several entries.

Each entry holds one token bucket per organisation, filled at its share of
the organisation's rate. The shares follow the demand that entries gossip
each second, so no entry asks another before it admits a job.

Overshoot is bounded. If the entries agree on the demand, their shares add up
to at most 1 + 1 / FLOOR_DIVISOR. Over T seconds an organisation then starts
at most `rate * (1 + 1 / FLOOR_DIVISOR) * T`, plus its bursts, which add up to
`rate * (1 + 1 / FLOOR_DIVISOR) * BURST_S`, plus one job of debt per entry.
While the entries disagree, for one gossip round at most, each of them stays
within the whole rate.
"""

import dataclasses
import math
from collections.abc import Iterable, Mapping

from egretthread.config import Organisation

# Size of a bucket, in seconds of its rate.
BURST_S = 1.0
# An entry without demand gets rate / (entries * FLOOR_DIVISOR).
FLOOR_DIVISOR = 4
# Time constant of the demand estimate, in seconds.
DEMAND_TIME_S = 1.0
# Retry-after for an organisation that is not in the configuration.
UNKNOWN_RETRY_S = 1.0
# Retry-after while too many tasks are queued or running.
RUNNING_RETRY_S = 0.5
# Lowest rate of a bucket in starts per second, which bounds retry-after.
MIN_RATE_PER_S = 1e-3


@dataclasses.dataclass(frozen=True)
class Admission:
    """Whether a whole job is admitted.

    Attributes:
        ok: Whether the job is admitted.
        retry_after_s: Time until the next attempt if it is not; 0 if it is.
    """

    ok: bool
    retry_after_s: float = 0.0


@dataclasses.dataclass
class Bucket:
    """One organisation's quota at this entry.

    Attributes:
        rate_per_s: This entry's share of the rate, in starts per second.
        max_running: Most tasks queued or running at this entry.
        tokens: Starts that may be admitted now; negative after a job larger
            than the bucket.
        running: Admitted tasks that have not ended.
        filled_s: Time of the last update of `tokens`.
        demand_per_s: Estimate of the starts requested per second.
        demand_updated_s: Time of the last update of `demand_per_s`.
    """

    rate_per_s: float
    max_running: int
    tokens: float
    running: int = 0
    filled_s: float | None = None
    demand_per_s: float = 0.0
    demand_updated_s: float = 0.0

    @property
    def burst(self) -> float:
        """The most tokens that the bucket holds."""
        return self.rate_per_s * BURST_S

    def fill(self, now_s: float) -> None:
        """Adds the tokens earned since the last call."""
        if self.filled_s is not None:
            self.tokens += self.rate_per_s * max(0.0, now_s - self.filled_s)
        self.tokens = min(self.tokens, self.burst)
        self.filled_s = now_s

    def decay_demand(self, now_s: float) -> None:
        """Updates the demand estimate."""
        elapsed_s = max(0.0, now_s - self.demand_updated_s)
        self.demand_per_s *= math.exp(-elapsed_s / DEMAND_TIME_S)
        self.demand_updated_s = now_s


class QuotaTable:
    """The organisations' quotas at one entry.

    Attributes:
        organisations: The organisations of the configuration, by name.
        buckets: Their buckets, by name.
        shares: This entry's share of each organisation's rate, by name.
        entries: Number of entries that share the rates, as last set.
    """

    def __init__(self, organisations: Iterable[Organisation] = ()):
        self.organisations: dict[str, Organisation] = {}
        self.buckets: dict[str, Bucket] = {}
        self.shares: dict[str, float] = {}
        self.entries = 1
        self.configure(organisations)

    def configure(self, organisations: Iterable[Organisation]) -> None:
        """Applies the organisations of a configuration."""
        self.organisations = {o.name: o for o in organisations}
        removed = self.buckets.keys() - self.organisations.keys()
        for name in removed:
            del self.buckets[name]
            self.shares.pop(name, None)
        for name, organisation in self.organisations.items():
            self._configure_bucket(name, organisation)

    def admit(self, organisation: str, starts: int, now_s: float) -> Admission:
        """Admits a job whole or refuses it whole.

        A job larger than the bucket is admitted once the bucket is full and
        leaves a debt, which later tokens pay off.

        Args:
            organisation: Name of the organisation.
            starts: Number of tasks of the job.
            now_s: The current time.
        """
        bucket = self.buckets.get(organisation)
        if bucket is None:
            return Admission(False, UNKNOWN_RETRY_S)
        self.record_demand(organisation, starts, now_s)
        bucket.fill(now_s)
        if bucket.running and bucket.running + starts > bucket.max_running:
            return Admission(False, RUNNING_RETRY_S)
        needed = min(float(starts), bucket.burst)
        if bucket.tokens < needed:
            missing = needed - bucket.tokens
            return Admission(False, missing / bucket.rate_per_s)
        bucket.tokens -= starts
        bucket.running += starts
        return Admission(True)

    def record_demand(
        self, organisation: str, starts: int, now_s: float
    ) -> None:
        """Adds starts to the demand, whether they are admitted or not."""
        bucket = self.buckets.get(organisation)
        if bucket is not None:
            bucket.decay_demand(now_s)
            bucket.demand_per_s += starts / DEMAND_TIME_S

    def refund(self, organisation: str, starts: int) -> None:
        """Refunds the starts of a job that was admitted and refused later."""
        bucket = self.buckets.get(organisation)
        if bucket is not None:
            bucket.tokens += starts

    def release(self, organisation: str, tasks: int) -> None:
        """Records that admitted tasks have ended, whether they ran or not."""
        bucket = self.buckets.get(organisation)
        if bucket is not None:
            bucket.running = max(0, bucket.running - tasks)

    def demand(self, now_s: float) -> tuple[tuple[str, float], ...]:
        """Returns pairs of organisation and starts requested per second."""
        for bucket in self.buckets.values():
            bucket.decay_demand(now_s)
        return tuple(
            (name, bucket.demand_per_s)
            for name, bucket in sorted(self.buckets.items())
            if bucket.demand_per_s >= MIN_RATE_PER_S
        )

    def slot_share(
        self,
        own_demand: Mapping[str, float],
        peer_demands: Iterable[Mapping[str, float]],
    ) -> float:
        """Returns this entry's share of the slots, from its share of demand.

        Args:
            own_demand: Starts requested per second here, by organisation.
            peer_demands: The demand at each other entry, by organisation.
        """
        own = sum(own_demand.values())
        peers = [sum(peer.values()) for peer in peer_demands]
        return entry_share(own, own + sum(peers), 1 + len(peers))

    def set_shares(
        self,
        own_demand: Mapping[str, float],
        peer_demands: Iterable[Mapping[str, float]],
    ) -> None:
        """Sets this entry's share of each organisation's rate.

        Args:
            own_demand: Starts requested per second here, by organisation.
            peer_demands: The demand at each other entry, by organisation.
        """
        peers = list(peer_demands)
        self.entries = 1 + len(peers)
        for name, organisation in self.organisations.items():
            own = own_demand.get(name, 0.0)
            total = own + sum(peer.get(name, 0.0) for peer in peers)
            self.shares[name] = entry_share(own, total, self.entries)
            self._configure_bucket(name, organisation)

    def _configure_bucket(self, name: str, organisation: Organisation) -> None:
        share = self.shares.get(name, 1.0 / self.entries)
        rate_per_s = max(MIN_RATE_PER_S, organisation.starts_per_s * share)
        if name not in self.buckets:
            tokens = rate_per_s * BURST_S
            self.buckets[name] = Bucket(
                rate_per_s, organisation.max_running, tokens
            )
        bucket = self.buckets[name]
        bucket.rate_per_s = rate_per_s
        bucket.max_running = organisation.max_running


def entry_share(own: float, total: float, entries: int) -> float:
    """Returns one entry's share of a rate, 0 to 1.

    Args:
        own: Starts requested per second at this entry.
        total: Starts requested per second at all entries.
        entries: Number of entries.
    """
    if total <= 0.0:
        return 1.0 / entries
    return max(own / total, 1.0 / (entries * FLOOR_DIVISOR))
