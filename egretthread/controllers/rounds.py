"""Entry: one request to the witnesses of a job, and the count of votes."""

import dataclasses
import enum

from egretthread import members, message, witness
from egretthread.blackboard import EntryBoard
from egretthread.jobkey import JobRef
from egretthread.jobstate import Round
from egretthread.message import Verdict

# An unanswered request is sent again after this time.
RESEND_S = 0.5
# A witness that has not answered for this long does not count any more.
SILENT_S = 1.0
# A round without a majority for this long has failed.
GIVE_UP_S = 4.0


class Tally(enum.StrEnum):
    """What the replies of a round add up to."""

    PENDING = "pending"
    GRANTED = "granted"
    REFUSED = "refused"
    NOT_READY = "not_ready"
    OUTSIDE_RETENTION = "outside_retention"
    UNAVAILABLE = "unavailable"


def shard_for(
    board: EntryBoard, job: JobRef
) -> tuple[int, members.Shard | None]:
    """Returns the number and the present state of the job's shard."""
    count = board.membership.shard_count
    if not count:
        return 0, None
    number = members.shard_of(job, count)
    return number, board.membership.shards.get(number)


def begin(
    board: EntryBoard, job: JobRef, kind: type, *body: object
) -> Round | None:
    """Sends a request to all witnesses of a job.

    Args:
        board: The entry's blackboard.
        job: The job.
        kind: message.Claim, Prepare, Accept or Look.
        body: The registration, the ballot for a prepare, nothing for a look.

    Returns:
        The round, or None when the witness table has no such shard.
    """
    number, shard = shard_for(board, job)
    if shard is None:
        return None
    request = kind(job, number, shard.epoch, *body)
    new = Round(request, {}, board.now_s, board.now_s)
    _send(board, new, shard.members)
    return new


def _send(board: EntryBoard, current: Round, names: tuple[str, ...]) -> None:
    current.sent_s = board.now_s
    for name in names:
        node = board.agent_names.get(name)
        if node is None or name in current.replies:
            continue
        if board.agents[node].connected:
            board.send(node, current.request)


def refresh(board: EntryBoard, current: Round) -> None:
    """Sends a round again: whole under a newer epoch, else what is missing."""
    _, shard = shard_for(board, current.request.job)
    if shard is None:
        return
    if shard.epoch != current.request.epoch:
        current.request = dataclasses.replace(
            current.request, epoch=shard.epoch
        )
        current.replies.clear()
        _send(board, current, shard.members)
    elif board.now_s - current.sent_s >= RESEND_S:
        for name, reply in list(current.replies.items()):
            if reply.verdict is Verdict.STALE_EPOCH:
                del current.replies[name]
        _send(board, current, shard.members)


def record_reply(current: Round | None, reply: message.WitnessReply) -> bool:
    """Whether a reply answers this round; it is then recorded."""
    if current is None:
        return False
    request = current.request
    if reply.request != type(request).__name__.lower():
        return False
    if reply.ballot != witness.request_ballot(request):
        return False
    if _is_vote_for_other_registration(request, reply):
        return False
    current.replies[reply.witness] = reply
    return True


def _is_vote_for_other_registration(
    request: witness.Request, reply: message.WitnessReply
) -> bool:
    """Whether a vote was given to another registration of this ballot.

    Several registrations go out under one ballot; a vote for one of them
    must not count for another.
    """
    if reply.verdict is not Verdict.GRANTED:
        return False
    if not isinstance(request, message.Claim | message.Accept):
        return False
    return reply.registration != request.registration


def tally(board: EntryBoard, current: Round) -> Tally:
    """Counts the votes of a round."""
    _, shard = shard_for(board, current.request.job)
    if shard is None:
        return Tally.UNAVAILABLE
    verdicts = [
        current.replies[name].verdict
        for name in shard.members
        if name in current.replies
    ]
    needed = members.majority(len(shard.members))
    if verdicts.count(Verdict.GRANTED) >= needed:
        return Tally.GRANTED
    if board.now_s - current.started_s >= GIVE_UP_S:
        return Tally.UNAVAILABLE
    if Verdict.OUTSIDE_RETENTION in verdicts:
        return Tally.OUTSIDE_RETENTION
    open_votes = _open_votes(board, current, shard)
    if verdicts.count(Verdict.GRANTED) + open_votes >= needed:
        return Tally.PENDING
    if Verdict.REFUSED in verdicts:
        return Tally.REFUSED
    if Verdict.NOT_READY in verdicts:
        return Tally.NOT_READY
    return Tally.PENDING


def _open_votes(board: EntryBoard, current: Round, shard: members.Shard) -> int:
    """Counts the witnesses whose vote may still come soon."""
    votes = 0
    for name in shard.members:
        reply = current.replies.get(name)
        if reply is not None:
            votes += reply.verdict is Verdict.STALE_EPOCH
            continue
        node = board.agent_names.get(name)
        connected = node is not None and board.agents[node].connected
        silent = board.now_s - current.started_s >= SILENT_S
        votes += connected and not silent
    return votes


def highest_promise(current: Round) -> message.Ballot:
    """Returns the highest ballot that any reply speaks of."""
    return max(reply.promised for reply in current.replies.values())


def blocking_promise(current: Round) -> message.Ballot:
    """Returns the highest ballot that stands in this round's way.

    A witness that granted a claim promised this entry's own ballot, which
    tells nothing of who holds the job; a look is never in anyone's way.
    """
    replies = list(current.replies.values())
    refused = [r for r in replies if r.verdict is Verdict.REFUSED]
    return max(reply.promised for reply in refused or replies)


def registrations(current: Round) -> list[message.Registration]:
    """Returns the registrations that the replies hold."""
    return [
        reply.registration
        for reply in current.replies.values()
        if reply.registration is not None
    ]
