"""Agent: heartbeats to the entries and the lease they grant."""

import dataclasses

from egretthread import credit, lease, message, witness
from egretthread.agentboard import AgentBoard


def is_open(board: AgentBoard) -> bool:
    """Whether tasks may start at this very moment."""
    return refusal(board) is message.Refusal.NONE


def refusal(board: AgentBoard) -> message.Refusal:
    """Returns why no task may start now, or Refusal.NONE."""
    if board.config_reply is None or board.now_s >= board.lease.until_s:
        return message.Refusal.NO_LEASE
    if board.config_reply.withdrawn:
        return message.Refusal.WITHDRAWN
    if board.draining or board.config_reply.draining:
        return message.Refusal.DRAINING
    if not board.healthy:
        return message.Refusal.BACKEND_UNREACHABLE
    return message.Refusal.NONE


def free_slots(board: AgentBoard) -> int:
    """Returns the slots neither running a task nor held nor queued for.

    It is negative while accepted tasks wait for slots.
    """
    _drop_lapsed_holds(board)
    held = sum(count for _, _, count in board.held)
    return board.slots - board.running - len(board.waiting) - held


def _drop_lapsed_holds(board: AgentBoard) -> None:
    kept = [hold for hold in board.held if hold[0] > board.now_s]
    if len(kept) < len(board.held):
        lapsed = sum(hold[2] for hold in board.held if hold not in kept)
        board.counters["credits_lapsed"] += lapsed
        board.held = kept


def free_for(board: AgentBoard, node: str) -> int:
    """Returns the slots that an entry may fill now."""
    if not is_open(board):
        return 0
    return credit.offered_slots(
        free_slots(board),
        held_for(board, node),
        credit.rule_for(board.slots),
    )


def held_for(board: AgentBoard, node: str) -> int:
    """Returns the slots held for an entry."""
    return sum(count for _, holder, count in board.held if holder == node)


def failure_share(board: AgentBoard) -> float:
    """Returns the share of the recent tasks that failed, 0 to 1."""
    if not board.recent:
        return 0.0
    return sum(board.recent) / len(board.recent)


def send_heartbeats(board: AgentBoard) -> None:
    """Announces the agent to every connected entry."""
    settings = board.settings
    draining = board.draining or bool(
        board.config_reply and board.config_reply.draining
    )
    beat = message.Heartbeat(
        agent=board.node,
        zone=settings.zone,
        service=settings.service,
        processors=settings.processors,
        memory_bytes=settings.memory_bytes,
        slots=board.slots,
        free=0,
        healthy=board.healthy,
        draining=draining,
        failure_share=failure_share(board),
        sent_s=board.now_s,
        received=0,
        shard_epochs=_epochs(board),
    )
    for node, received in board.received_by_entry.items():
        free = free_for(board, node)
        board.send(
            node, dataclasses.replace(beat, free=free, received=received)
        )


def on_heartbeat_reply(
    board: AgentBoard, node: str, reply: message.HeartbeatReply
) -> None:
    """Takes over the lease, the configuration and the witness shards."""
    if reply.config_offset < 0:
        return
    board.entries = reply.entries or board.entries
    _take_shards(board, reply)
    previous = board.lease
    board.lease = lease.renew(
        previous, reply.config_offset, reply.echo_s, reply.lease_s
    )
    if reply.config_offset < previous.config_offset:
        board.counters["stale_heartbeat_replies"] += 1
        return
    board.config_reply = reply
    board.slots = min(board.settings.slots, reply.slots)


def _take_shards(board: AgentBoard, reply: message.HeartbeatReply) -> None:
    """Adopts shards; an entry tells of each change only once.

    The witness table does not depend on the configuration, so that of an
    entry whose configuration is old counts too.
    """
    if not reply.shards:
        return
    before = _epochs(board)
    _adopt_shards(board, reply)
    if _epochs(board) != before:
        # The entries wait for this to fence off the older epochs.
        send_heartbeats(board)


def _epochs(board: AgentBoard) -> tuple[tuple[int, int], ...]:
    """Returns (shard, epoch) pairs of the shards this agent answers for."""
    shards = board.witness.shards.items()
    return tuple((number, member.epoch) for number, member in shards)


def _adopt_shards(board: AgentBoard, reply: message.HeartbeatReply) -> None:
    """Adopts the shards named; one that moved away is kept until replaced.

    Entries may lag behind one another, so a shard that one of them does not
    name is dropped only when a newer epoch without this agent is seen.
    """
    error_s = reply.clock_error_s
    if board.config_reply is not None:
        error_s = max(error_s, board.config_reply.clock_error_s)
    for view in reply.shards:
        if board.witness.name not in view.members:
            known = board.witness.shards.get(view.shard)
            if known is not None and known.epoch < view.epoch:
                del board.witness.shards[view.shard]
            continue
        witness.adopt(board.witness, view, board.unix_s, error_s)
