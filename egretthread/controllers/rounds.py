"""Entry controller: voting rounds among the witnesses of a job."""

import dataclasses
import enum

from egretthread import members, message, witness
from egretthread.blackboard import EntryBoard
from egretthread.jobkey import JobRef
from egretthread.jobstate import Round
from egretthread.message import Verdict

# An unanswered request is resent after this time.
RESEND_S = 0.5
# No reply is expected from a witness that has not answered for this long.
SILENT_S = 1.0
# A round without a majority fails after this time.
GIVE_UP_S = 4.0


class Tally(enum.StrEnum):
    """The result of a voting round so far."""

    PENDING = "pending"
    GRANTED = "granted"
    REFUSED = "refused"
    NOT_READY = "not_ready"
    OUTSIDE_RETENTION = "outside_retention"
    UNAVAILABLE = "unavailable"


def shard_for(
    board: EntryBoard, job: JobRef
) -> tuple[int, members.Shard | None]:
    """Returns the number and the current state of a job's shard."""
    count = board.membership.shard_count
    if not count:
        return 0, None
    number = members.shard_of(job, count)
    return number, board.membership.shards.get(number)


def begin(
    board: EntryBoard, job: JobRef, kind: type, *body: object
) -> Round | None:
    """Starts a round by sending a request to all witnesses of a job.

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
    voting_round = Round(request, {}, board.now_s, board.now_s)
    _send(board, voting_round, shard.members)
    return voting_round


def _send(
    board: EntryBoard, voting_round: Round, names: tuple[str, ...]
) -> None:
    voting_round.sent_s = board.now_s
    for name in names:
        node = board.agent_names.get(name)
        if node is None or name in voting_round.replies:
            continue
        if board.agents[node].is_connected:
            board.send(node, voting_round.request)


def refresh(board: EntryBoard, voting_round: Round) -> None:
    """Restarts a round under a newer epoch, or resends unanswered requests."""
    _, shard = shard_for(board, voting_round.request.job)
    if shard is None:
        return
    if shard.epoch != voting_round.request.epoch:
        voting_round.request = dataclasses.replace(
            voting_round.request, epoch=shard.epoch
        )
        voting_round.replies.clear()
        _send(board, voting_round, shard.members)
    elif board.now_s - voting_round.sent_s >= RESEND_S:
        for name, reply in list(voting_round.replies.items()):
            if reply.verdict is Verdict.STALE_EPOCH:
                del voting_round.replies[name]
        _send(board, voting_round, shard.members)


def record_reply(
    voting_round: Round | None, reply: message.WitnessReply
) -> bool:
    """Records a reply if it belongs to this round; returns whether it does."""
    if voting_round is None:
        return False
    request = voting_round.request
    if reply.request != type(request).__name__.lower():
        return False
    if reply.ballot != witness.request_ballot(request):
        return False
    if _is_vote_for_other_registration(request, reply):
        return False
    voting_round.replies[reply.witness] = reply
    return True


def _is_vote_for_other_registration(
    request: witness.Request, reply: message.WitnessReply
) -> bool:
    """Whether a vote was given for another registration under this ballot.

    An entry may propose several registrations under one ballot. A vote for
    one of them must not count for another.
    """
    if reply.verdict is not Verdict.GRANTED:
        return False
    if not isinstance(request, message.Claim | message.Accept):
        return False
    return reply.registration != request.registration


def tally(board: EntryBoard, voting_round: Round) -> Tally:
    """Counts the votes of a round and returns its result so far."""
    _, shard = shard_for(board, voting_round.request.job)
    if shard is None:
        return Tally.UNAVAILABLE
    verdicts = [
        voting_round.replies[name].verdict
        for name in shard.members
        if name in voting_round.replies
    ]
    needed = members.majority(len(shard.members))
    if verdicts.count(Verdict.GRANTED) >= needed:
        return Tally.GRANTED
    if board.now_s - voting_round.started_s >= GIVE_UP_S:
        return Tally.UNAVAILABLE
    if Verdict.OUTSIDE_RETENTION in verdicts:
        return Tally.OUTSIDE_RETENTION
    outstanding = _outstanding_votes(board, voting_round, shard)
    if verdicts.count(Verdict.GRANTED) + outstanding >= needed:
        return Tally.PENDING
    if Verdict.REFUSED in verdicts:
        return Tally.REFUSED
    if Verdict.NOT_READY in verdicts:
        return Tally.NOT_READY
    return Tally.PENDING


def _outstanding_votes(
    board: EntryBoard, voting_round: Round, shard: members.Shard
) -> int:
    """Returns the number of witnesses whose vote is still expected."""
    votes = 0
    for name in shard.members:
        reply = voting_round.replies.get(name)
        if reply is not None:
            votes += reply.verdict is Verdict.STALE_EPOCH
            continue
        node = board.agent_names.get(name)
        connected = node is not None and board.agents[node].is_connected
        silent = board.now_s - voting_round.started_s >= SILENT_S
        votes += connected and not silent
    return votes


def highest_promise(voting_round: Round) -> message.Ballot:
    """Returns the highest ballot that any reply states as promised."""
    return max(reply.promised for reply in voting_round.replies.values())


def blocking_promise(voting_round: Round) -> message.Ballot:
    """Returns the highest ballot of the replies that block this round.

    A witness that granted a claim promised this entry's own ballot, which
    does not show who coordinates the job. A look is never refused, so all of
    its replies count.
    """
    replies = list(voting_round.replies.values())
    refused = [r for r in replies if r.verdict is Verdict.REFUSED]
    return max(reply.promised for reply in refused or replies)


def registrations(voting_round: Round) -> list[message.Registration]:
    """Returns the registrations contained in the replies."""
    return [
        reply.registration
        for reply in voting_round.replies.values()
        if reply.registration is not None
    ]
