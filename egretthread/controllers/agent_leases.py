"""Agent controller: heartbeats to the entries and the lease they grant."""

import dataclasses

from egretthread import credit, lease, message, witness
from egretthread.agentboard import AgentBoard


def accepts_tasks(board: AgentBoard) -> bool:
    """Whether tasks may start now."""
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
    """Returns the slots that are not running a task, queued for or reserved.

    The number is negative while accepted tasks wait for slots.
    """
    _drop_expired_reservations(board)
    reserved = sum(count for _, _, count in board.reservations)
    return board.slots - board.running - len(board.waiting) - reserved


def _drop_expired_reservations(board: AgentBoard) -> None:
    kept = [
        reservation
        for reservation in board.reservations
        if reservation[0] > board.now_s
    ]
    if len(kept) < len(board.reservations):
        lapsed = sum(
            reservation[2]
            for reservation in board.reservations
            if reservation not in kept
        )
        board.counters["credits_lapsed"] += lapsed
        board.reservations = kept


def free_for(board: AgentBoard, node: str) -> int:
    """Returns the slots that an entry may fill now."""
    if not accepts_tasks(board):
        return 0
    return credit.offered_slots(
        free_slots(board),
        reserved_for(board, node),
        credit.rule_for(board.slots),
    )


def reserved_for(board: AgentBoard, node: str) -> int:
    """Returns the number of slots reserved for an entry."""
    return sum(
        count for _, holder, count in board.reservations if holder == node
    )


def failure_share(board: AgentBoard) -> float:
    """Returns the share of the recent tasks that failed, 0 to 1."""
    if not board.recent_failures:
        return 0.0
    return sum(board.recent_failures) / len(board.recent_failures)


def send_heartbeats(board: AgentBoard) -> None:
    """Sends a heartbeat to every connected entry."""
    settings = board.settings
    draining = board.draining or bool(
        board.config_reply and board.config_reply.draining
    )
    heartbeat = message.Heartbeat(
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
        shard_epochs=_shard_epochs(board),
    )
    for node, received in board.received_by_entry.items():
        free = free_for(board, node)
        board.send(
            node, dataclasses.replace(heartbeat, free=free, received=received)
        )


def on_heartbeat_reply(
    board: AgentBoard, node: str, reply: message.HeartbeatReply
) -> None:
    """Adopts the lease, the configuration and the shards of a reply."""
    if reply.config_offset < 0:
        return
    board.entries = reply.entries or board.entries
    _update_shards(board, reply)
    previous = board.lease
    board.lease = lease.renew(
        previous, reply.config_offset, reply.echo_s, reply.lease_s
    )
    if reply.config_offset < previous.config_offset:
        board.counters["stale_heartbeat_replies"] += 1
        return
    board.config_reply = reply
    board.slots = min(board.settings.slots, reply.slots)


def _update_shards(board: AgentBoard, reply: message.HeartbeatReply) -> None:
    """Adopts the shards of a reply; an entry sends each change only once.

    The witness table does not depend on the configuration, so shards are
    adopted even from an entry with an old configuration.
    """
    if not reply.shards:
        return
    before = _shard_epochs(board)
    _adopt_shards(board, reply)
    if _shard_epochs(board) != before:
        # The entries need this to know that the older epochs are fenced.
        send_heartbeats(board)


def _shard_epochs(board: AgentBoard) -> tuple[tuple[int, int], ...]:
    """Returns (shard, epoch) pairs of the shards adopted by this agent."""
    shards = board.witness.shards.items()
    return tuple((number, member.epoch) for number, member in shards)


def _adopt_shards(board: AgentBoard, reply: message.HeartbeatReply) -> None:
    """Adopts newer epochs of shards and drops shards that moved away.

    Some entries lag behind others, so a shard is dropped only when a newer
    epoch without this agent is received, not when a reply lacks the shard.
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
