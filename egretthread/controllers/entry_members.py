"""Entry: agents and other entries, their leases, and the witness table."""

from egretthread import lease, members, message
from egretthread.blackboard import AgentState, EntryBoard, PeerState
from egretthread.controllers import dispatch, pool, reports

# The log's age that an entry states when it never read the log, seconds.
NEVER_READ_S = 1e9
# An agent absent for this long is replaced as a witness.
REPLACE_WITNESS_AFTER_S = 20.0
# The first witness table waits this long for agents to announce themselves.
FIRST_TABLE_AFTER_S = 2.0
# An entry absent for this long is taken off the list of entries.
REMOVE_ENTRY_AFTER_S = 60.0


def on_heartbeat(board: EntryBoard, node: str, beat: message.Heartbeat) -> None:
    """Takes in an agent's announcement and renews its lease."""
    agent = board.agents.get(beat.agent)
    if agent is None:
        agent = _join(board, beat)
        if agent is None:
            return
    if _takes_work(board, beat) and not _takes_work(board, agent.heartbeat):
        agent.joined_s = board.now_s
    agent.heartbeat = beat
    agent.heard_s = board.now_s
    agent.connected = True
    reports.note_free(agent, beat.free, beat.received)
    reply(board, agent)
    dispatch.dispatch_to_agent(board, agent)


def _takes_work(board: EntryBoard, beat: message.Heartbeat) -> bool:
    if board.configuration is None:
        return False
    if not beat.healthy or beat.draining:
        return False
    return not pool.is_withdrawn(board, beat.zone)


def _join(board: EntryBoard, beat: message.Heartbeat) -> AgentState | None:
    """Adds an agent; an older incarnation than the known one is ignored."""
    name = message.node_name(beat.agent)
    known = board.agent_names.get(name)
    if known is not None:
        newer = message.node_incarnation(known)
        if newer > message.node_incarnation(beat.agent):
            board.counters["old_incarnations"] += 1
            return None
        remove_agent(board, known)
    agent = AgentState(
        beat.agent, beat, board.now_s, _joined_s(board), beat.free
    )
    board.agents[beat.agent] = agent
    board.agent_names[name] = beat.agent
    board.counters["agents_joined"] += 1
    return agent


def _joined_s(board: EntryBoard) -> float:
    """Returns since when a newly announced agent counts as present.

    To an entry that has only just started every agent is new; the ramp is
    for those that join a running system.
    """
    if board.now_s - board.started_s < board.settings.dead_after_s:
        return float("-inf")
    return board.now_s


def remove_agent(board: EntryBoard, node: str) -> None:
    """Forgets an agent that is gone for good, and what it held."""
    del board.agents[node]
    if board.agent_names.get(message.node_name(node)) == node:
        del board.agent_names[message.node_name(node)]
    board.counters["agents_gone"] += 1
    dispatch.on_agent_gone(board, node)


def reply(board: EntryBoard, agent: AgentState) -> None:
    """Sends an agent its lease and its part of the configuration."""
    if board.configuration is None:
        return
    beat = agent.heartbeat
    name = message.node_name(agent.node)
    limits = board.configuration.service(beat.service)
    board.send(
        agent.node,
        message.HeartbeatReply(
            entry=board.node,
            echo_s=beat.sent_s,
            config_offset=board.config_offset,
            lease_s=max(0.0, board.lease_until_s - board.now_s),
            withdrawn=pool.is_withdrawn(board, beat.zone),
            draining=pool.is_drained(board, name),
            slots=limits.slots if limits else 0,
            retention_s=board.configuration.retention_s,
            clock_error_s=board.configuration.clock_error_s,
            entries=_entries_to_tell(board, agent),
            shards=_shard_views(board, agent),
        ),
    )


def _entries_to_tell(board: EntryBoard, agent: AgentState) -> tuple[str, ...]:
    """Returns the addresses of all entries, or nothing if they are known."""
    entries = tuple(e.address for e in board.membership.entries.values())
    if entries == agent.sent_entries:
        return ()
    agent.sent_entries = entries
    return entries


def _shard_views(
    board: EntryBoard, agent: AgentState
) -> tuple[message.ShardView, ...]:
    """Returns the shards that an agent is to learn something of.

    These are the ones that it belongs to and that changed since this link
    told of them, and those that it belongs to no more.
    """
    name = message.node_name(agent.node)
    numbers = board.membership.shards_by_agent.get(name, ())
    believed = dict(agent.heartbeat.shard_epochs)
    views = [_shard_view(board, number) for number in numbers]
    fresh = [view for view in views if _is_news(agent, believed, view)]
    agent.sent_shards = {v.shard: (v.epoch, v.fenced) for v in views}
    others = [
        _shard_view(board, number)
        for number in believed
        if number not in agent.sent_shards and number in board.membership.shards
    ]
    return (*fresh, *others)


def _shard_view(board: EntryBoard, number: int) -> message.ShardView:
    shard = board.membership.shards[number]
    return message.ShardView(
        number, shard.epoch, shard.members, is_fenced(board, number)
    )


def _is_news(
    agent: AgentState, believed: dict[int, int], view: message.ShardView
) -> bool:
    told = agent.sent_shards.get(view.shard)
    adopted = believed.get(view.shard) == view.epoch
    return told != (view.epoch, view.fenced) or not adopted


def is_fenced(board: EntryBoard, number: int) -> bool:
    """Whether no majority of a shard's older epoch can answer any more."""
    if number in board.fenced.get(board.membership.shards[number].epoch, ()):
        return True
    shard = board.membership.shards[number]
    adopted = {
        message.node_name(agent.node)
        for agent in board.agents.values()
        if (number, shard.epoch) in agent.heartbeat.shard_epochs
    }
    if not members.is_fenced(shard, adopted):
        return False
    board.fenced.setdefault(shard.epoch, set()).add(number)
    return True


def on_configuration(board: EntryBoard) -> None:
    """Tells every agent at once of a configuration newly in force."""
    renew_lease(board)
    for agent in board.agents.values():
        if agent.connected:
            reply(board, agent)
    for service in list(board.queues):
        dispatch.dispatch_service(board, service)


def notify_witnesses(board: EntryBoard) -> None:
    """Tells the agents at once of shards that have other members now."""
    names = {
        name
        for shard in board.membership.shards.values()
        for name in shard.members + shard.previous
    }
    for agent in board.agents.values():
        if agent.connected and message.node_name(agent.node) in names:
            reply(board, agent)


def renew_lease(board: EntryBoard) -> None:
    """Works out until when the configuration may be acted on."""
    if board.configuration is None:
        return
    if board.heard_offset > board.config_offset:
        # Also when the entry that told of it is gone meanwhile.
        board.lease_until_s = float("-inf")
        return
    age_s = lease.confirmed_age_s(
        board.log_age_s,
        board.config_offset,
        _entry_names(board),
        _peer_views(board),
        board.lease_open,
    )
    board.lease_until_s = board.now_s + board.settings.lease_s - age_s


def is_log_unavailable(board: EntryBoard) -> bool:
    """Whether work goes on only because the entries agree on an outage."""
    age_s = min(
        [board.log_age_s]
        + [
            view.heard_age_s + view.log_age_s
            for view in _peer_views(board)
            if view.config_offset >= board.config_offset
        ]
    )
    return age_s >= lease.OUTAGE_AFTER_S


def _entry_names(board: EntryBoard) -> tuple[str, ...]:
    own = message.node_name(board.node)
    return tuple({own, *board.membership.entries})


def _peer_views(board: EntryBoard) -> list[lease.PeerView]:
    """Returns what others said, aged by this entry's own clock."""
    return [
        lease.PeerView(
            name=message.node_name(node),
            heard_age_s=board.now_s - peer.state.echo_s,
            config_offset=peer.state.config_offset,
            log_age_s=peer.state.log_age_s,
            holds_lease=peer.state.holds_lease,
        )
        for node, peer in board.peers.items()
        if peer.state.echo_s > 0
    ]


def on_entry_state(
    board: EntryBoard, node: str, state: message.EntryState
) -> None:
    """Takes in what another entry says of itself."""
    for other in list(board.peers):
        same_name = message.node_name(other) == message.node_name(node)
        if same_name and other != node:
            del board.peers[other]
    board.peers[node] = PeerState(state, board.now_s)
    board.heard_offset = max(board.heard_offset, state.config_offset)
    renew_lease(board)


def is_alive(board: EntryBoard, node: str) -> bool:
    """Whether another entry is linked and was heard of not long ago.

    A process that is killed closes its links at once; one that is paused or
    cut off falls silent. Taking over from a live one is safe, only wasteful.
    """
    peer = board.peers.get(node)
    if peer is None or node not in board.entry_links:
        return False
    return board.now_s - peer.heard_s < board.settings.suspect_after_s


def send_states(board: EntryBoard) -> None:
    """Tells the other entries of this one's liveness, log and demand."""
    demand = board.quotas.demand(board.now_s)
    for node in board.entry_links:
        peer = board.peers.get(node)
        board.send(
            node,
            message.EntryState(
                entry=board.node,
                address=board.address,
                sent_s=board.now_s,
                echo_s=peer.state.sent_s if peer else 0.0,
                config_offset=board.config_offset,
                log_age_s=min(NEVER_READ_S, board.log_age_s),
                demand=demand,
                holds_lease=board.lease_open,
            ),
        )


def remove_silent(board: EntryBoard) -> None:
    """Removes agents and entries that have been silent for too long."""
    limit_s = board.now_s - board.settings.dead_after_s
    for node, agent in list(board.agents.items()):
        if agent.heard_s < limit_s:
            remove_agent(board, node)
    for node, peer in list(board.peers.items()):
        if peer.heard_s < limit_s:
            del board.peers[node]


def propose(board: EntryBoard) -> None:
    """Works out a record for the members stream, if one is due here.

    Only the live entry with the lowest name proposes; a race is settled by
    the expected offset of the append.
    """
    board.proposal = ""
    _note_absent_entries(board)
    if board.configuration is None or not _is_proposer(board):
        return
    if board.log_age_s >= lease.OUTAGE_AFTER_S:
        # Cut off itself, it must not make itself the only known entry.
        return
    board.proposal = _entry_removal(board) or _shard_changes(board)


def _is_proposer(board: EntryBoard) -> bool:
    own = message.node_name(board.node)
    alive = [message.node_name(node) for node in board.peers]
    return own <= min(alive, default=own)


def _note_absent_entries(board: EntryBoard) -> None:
    """Keeps count, also while others propose, of how long entries are gone."""
    present = {message.node_name(node) for node in (board.node, *board.peers)}
    for name in board.membership.entries:
        if name in present:
            board.absent_since_s.pop(name, None)
        else:
            board.absent_since_s.setdefault(name, board.now_s)


def _entry_removal(board: EntryBoard) -> str:
    for name, member in board.membership.entries.items():
        since_s = board.absent_since_s.get(name, board.now_s)
        if board.now_s - since_s >= REMOVE_ENTRY_AFTER_S:
            # One that is alive announces itself again and is given time anew.
            del board.absent_since_s[name]
            return members.entry_down_record(member)
    return ""


def _shard_changes(board: EntryBoard) -> str:
    if board.now_s - board.started_s < FIRST_TABLE_AFTER_S:
        return ""
    if not board.membership.shards and len(board.agents) == 0:
        return ""
    fenced = {n for n in board.membership.shards if is_fenced(board, n)}
    changes = members.propose_shards(
        board.membership,
        board.configuration.shards,
        _candidates(board),
        fenced,
    )
    if not changes:
        return ""
    count = board.membership.shard_count or board.configuration.shards
    return members.shards_record(count, changes)


def _candidates(board: EntryBoard) -> list[members.Candidate]:
    """Returns the agents that are, or may stay, witnesses.

    A present member stays for a while after it fell silent, since it may
    only be restarting and its successor needs no change of the table.
    """
    present = {
        name
        for shard in board.membership.shards.values()
        for name in shard.members
    }
    found = {}
    for agent in board.agents.values():
        beat = agent.heartbeat
        name = message.node_name(agent.node)
        leaving = beat.draining or pool.is_drained(board, name)
        if not leaving:
            found[name] = members.Candidate(name, beat.zone)
            board.absent_since_s.pop(name, None)
    for name in present - set(found):
        since_s = board.absent_since_s.setdefault(name, board.now_s)
        if board.now_s - since_s < REPLACE_WITNESS_AFTER_S:
            zone = board.witness_zones.get(name, "")
            found[name] = members.Candidate(name, zone)
    board.witness_zones.update((c.name, c.zone) for c in found.values())
    return list(found.values())
