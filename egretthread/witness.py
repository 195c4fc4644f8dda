"""A witness's memory of job keys and the rules by which it answers."""

import dataclasses
import sys

from egretthread import message
from egretthread.jobkey import JobRef
from egretthread.message import NO_BALLOT, Ballot, Registration, Verdict

# A key's time, the witness's clock and the clock of the witness that held
# the shard before may each be wrong by the bound.
CLOCK_ERRORS = 3
# A process that has only just become a member may have been told of an old
# epoch by an entry that lags behind. It waits until such an entry's lease on
# the log has lapsed before it vouches for new keys.
SETTLE_S = 4.0


# Any of the requests that a witness answers.
Request = message.Claim | message.Prepare | message.Accept | message.Look


@dataclasses.dataclass
class JobRecord:
    """What a witness holds of one job.

    Attributes:
        promised: The highest ballot it has promised.
        registration: The registration accepted last, if any.
    """

    promised: Ballot
    registration: Registration | None = None


@dataclasses.dataclass
class ShardMembership:
    """A shard that this witness answers for.

    Attributes:
        epoch: The highest epoch adopted.
        ready_from_s: Keys issued from this Unix time on are all known here;
            None until older epochs are fenced off.
    """

    epoch: int
    ready_from_s: float | None = None


@dataclasses.dataclass
class WitnessRegister:
    """All that a witness remembers; lost with its process.

    Attributes:
        name: The agent's name, without incarnation.
        horizon_s: Keys issued before this Unix time are refused; it never
            goes back, so that a key once forgotten is refused for good.
        shards: Memberships by shard number.
        records: Job records by job.
    """

    name: str
    horizon_s: float = 0.0
    shards: dict[int, ShardMembership] = dataclasses.field(default_factory=dict)
    records: dict[JobRef, JobRecord] = dataclasses.field(default_factory=dict)


def adopt(
    register: WitnessRegister,
    view: message.ShardView,
    unix_s: float,
    clock_error_s: float,
) -> None:
    """Takes over a newer epoch of a shard; an older one changes nothing.

    A fresh member knows nothing of keys registered before it joined. It may
    answer only for keys issued after the older epochs were fenced off.
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


def forget_expired(register: WitnessRegister, horizon_s: float) -> None:
    """Drops the records of keys issued before a time, and refuses them."""
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
    """Returns why the witness may not answer at all, or None."""
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
    """Returns an equal registration whose names all records share.

    Each message brings strings of its own; kept for every job, the names of
    the same agents would take most of a witness's memory.
    """
    return dataclasses.replace(
        registration, agents=tuple(map(sys.intern, registration.agents))
    )


def _claim(register: WitnessRegister, request: message.Claim) -> Verdict:
    record = register.records.get(request.job)
    if record is None:
        register.records[request.job] = JobRecord(
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
        register.records[request.job] = JobRecord(request.ballot)
        return Verdict.GRANTED
    if request.ballot < record.promised:
        return Verdict.REFUSED
    record.promised = request.ballot
    return Verdict.GRANTED


def _accept(register: WitnessRegister, request: message.Accept) -> Verdict:
    ballot = request.registration.ballot
    record = register.records.setdefault(request.job, JobRecord(ballot))
    if ballot < record.promised:
        return Verdict.REFUSED
    record.promised = ballot
    if not _is_older(request.registration, record.registration):
        record.registration = _intern_names(request.registration)
    return Verdict.GRANTED


def _is_older(new: Registration, held: Registration | None) -> bool:
    """Whether a registration was sent before the one held, and came late."""
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
    """Returns the ballot a request is made under, if any."""
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
        register: The witness's memory, changed when the verdict is GRANTED.
        request: The request of an entry.
        unix_s: The witness's wall clock.
        clock_error_s: Bound on the error of any node's clock.

    Returns:
        The reply for the entry that asked.
    """
    verdict = _check_request(register, request, unix_s, clock_error_s)
    if verdict is None:
        verdict = HANDLERS[type(request)](register, request)
    record = register.records.get(request.job) or JobRecord(NO_BALLOT)
    return message.WitnessReply(
        job=request.job,
        ballot=request_ballot(request),
        request=type(request).__name__.lower(),
        witness=register.name,
        verdict=verdict,
        promised=record.promised,
        registration=record.registration,
    )
