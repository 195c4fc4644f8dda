"""A witness's records of job keys and its rules for voting."""

import dataclasses
import sys

from egretthread import message
from egretthread.jobkey import JobRef
from egretthread.message import NO_BALLOT, Ballot, Registration, Verdict

# Number of clocks that may each be wrong by the bound on clock errors: the one
# that gave the time in a key, the witness's own, and that of the previous
# witness of the shard.
CLOCK_ERRORS = 3
# A new member of a shard may have received an old epoch from an entry that lags
# behind. It waits until the lease of such an entry has expired before it votes
# on new keys.
SETTLE_S = 4.0


# Any of the requests that a witness answers.
Request = message.Claim | message.Prepare | message.Accept | message.Look


@dataclasses.dataclass
class KeyRecord:
    """A witness's record of one job key.

    Attributes:
        promised: The highest ballot promised.
        registration: The last registration accepted, if any.
    """

    promised: Ballot
    registration: Registration | None = None


@dataclasses.dataclass
class ShardMembership:
    """Membership of this witness in a shard.

    Attributes:
        epoch: The highest epoch adopted.
        ready_from_s: The witness knows all registered keys that were issued
            at or after this Unix time; None until older epochs are fenced.
    """

    epoch: int
    ready_from_s: float | None = None


@dataclasses.dataclass
class WitnessRegister:
    """All records of a witness; they are lost with its process.

    Attributes:
        name: The agent's name, without incarnation.
        horizon_s: Keys issued before this Unix time are refused. It never
            moves back, so a key whose record was removed stays refused.
        shards: Memberships by shard number.
        records: Records of job keys, by job.
    """

    name: str
    horizon_s: float = 0.0
    shards: dict[int, ShardMembership] = dataclasses.field(default_factory=dict)
    records: dict[JobRef, KeyRecord] = dataclasses.field(default_factory=dict)


def adopt(
    register: WitnessRegister,
    view: message.ShardView,
    unix_s: float,
    clock_error_s: float,
) -> None:
    """Adopts a newer epoch of a shard and ignores an older one.

    A new member does not know the keys that were registered before it joined,
    so it may vote only on keys issued after the older epochs were fenced.
    """
    membership = register.shards.get(view.shard)
    if membership is None:
        membership = ShardMembership(view.epoch)
        register.shards[view.shard] = membership
    if view.epoch < membership.epoch:
        return
    membership.epoch = view.epoch
    if view.fenced and membership.ready_from_s is None:
        settled_s = unix_s + SETTLE_S
        membership.ready_from_s = settled_s + CLOCK_ERRORS * clock_error_s


def remove_expired(register: WitnessRegister, horizon_s: float) -> None:
    """Removes records of keys issued before a time and refuses such keys."""
    register.horizon_s = max(register.horizon_s, horizon_s)
    expired = [
        job for job in register.records if job.issued_s < register.horizon_s
    ]
    for job in expired:
        del register.records[job]


def _check_request(
    register: WitnessRegister,
    request: Request,
    unix_s: float,
    clock_error_s: float,
) -> Verdict | None:
    """Returns why the witness may not vote on a request, or None."""
    membership = register.shards.get(request.shard)
    if membership is None:
        return Verdict.NOT_READY
    if request.epoch != membership.epoch:
        return Verdict.STALE_EPOCH
    issued_s = request.job.issued_s
    if issued_s < register.horizon_s or issued_s > unix_s + clock_error_s:
        return Verdict.OUTSIDE_RETENTION
    ready_from_s = membership.ready_from_s
    if ready_from_s is None or issued_s < ready_from_s:
        return Verdict.NOT_READY
    return None


def _intern_names(registration: Registration) -> Registration:
    """Returns an equal registration with interned agent names.

    Each decoded message has its own string objects. Without interning, the
    repeated agent names would take most of a witness's memory.
    """
    return dataclasses.replace(
        registration, agents=tuple(map(sys.intern, registration.agents))
    )


def _claim(register: WitnessRegister, request: message.Claim) -> Verdict:
    record = register.records.get(request.job)
    if record is None:
        register.records[request.job] = KeyRecord(
            request.registration.ballot, _intern_names(request.registration)
        )
        return Verdict.GRANTED
    repeated = record.registration == request.registration
    if repeated and record.promised == request.registration.ballot:
        return Verdict.GRANTED
    return Verdict.REFUSED


def _prepare(register: WitnessRegister, request: message.Prepare) -> Verdict:
    record = register.records.get(request.job)
    if record is None:
        register.records[request.job] = KeyRecord(request.ballot)
        return Verdict.GRANTED
    if request.ballot < record.promised:
        return Verdict.REFUSED
    record.promised = request.ballot
    return Verdict.GRANTED


def _accept(register: WitnessRegister, request: message.Accept) -> Verdict:
    ballot = request.registration.ballot
    record = register.records.setdefault(request.job, KeyRecord(ballot))
    if ballot < record.promised:
        return Verdict.REFUSED
    record.promised = ballot
    if not _is_older(request.registration, record.registration):
        record.registration = _intern_names(request.registration)
    return Verdict.GRANTED


def _is_older(new: Registration, held: Registration | None) -> bool:
    """Whether a registration arrives after a newer one of its ballot.

    Under one ballot, a job only gains agents until it is closed.
    """
    if held is None or held.ballot != new.ballot:
        return False
    return (held.closed, len(held.agents)) > (new.closed, len(new.agents))


def _look(register: WitnessRegister, request: message.Look) -> Verdict:
    return Verdict.GRANTED


HANDLERS = {
    message.Look: _look,
    message.Claim: _claim,
    message.Prepare: _prepare,
    message.Accept: _accept,
}


def request_ballot(request: Request) -> Ballot:
    """Returns the ballot of a request, or NO_BALLOT for a look."""
    if isinstance(request, message.Look):
        return NO_BALLOT
    if isinstance(request, message.Prepare):
        return request.ballot
    return request.registration.ballot


def answer(
    register: WitnessRegister,
    request: Request,
    unix_s: float,
    clock_error_s: float,
) -> message.WitnessReply:
    """Answers an entry's request about one job.

    Args:
        register: The witness's records, changed if the verdict is GRANTED.
        request: The request of an entry.
        unix_s: The witness's wall clock.
        clock_error_s: Bound on the error of any node's clock.

    Returns:
        The reply to the requesting entry.
    """
    verdict = _check_request(register, request, unix_s, clock_error_s)
    if verdict is None:
        verdict = HANDLERS[type(request)](register, request)
    record = register.records.get(request.job) or KeyRecord(NO_BALLOT)
    return message.WitnessReply(
        job=request.job,
        ballot=request_ballot(request),
        request=type(request).__name__.lower(),
        witness=register.name,
        verdict=verdict,
        promised=record.promised,
        registration=record.registration,
    )
