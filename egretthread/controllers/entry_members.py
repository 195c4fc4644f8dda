"""Entry controller: known agents and entries, leases and witness table."""

from egretthread import lease, members, message, nodeid
from egretthread.blackboard import AgentState, EntryBoard, PeerState
from egretthread.controllers import dispatch, pool, reports

# The log's age in seconds that an entry states if it never read the log.
NEVER_READ_S = 1e9
# An agent absent for this long is replaced as a witness.
REPLACE_WITNESS_AFTER_S = 20.0
# The first witness table is proposed this long after the entry's start, so
# that agents have time to send a heartbeat.
FIRST_TABLE_AFTER_S = 2.0
# An entry absent for this long is removed from the list of entries.
REMOVE_ENTRY_AFTER_S = 60.0


def on_heartbeat(
    board: EntryBoard, node: str, heartbeat: message.Heartbeat
) -> None:
    """Records an agent's heartbeat, renews its lease and dispatches tasks."""
    agent = board.agents.get(heartbeat.agent)
    if agent is None:
        agent = _add_agent(board, heartbeat)
        if agent is None:
            return
    if _accepts_work(board, heartbeat) and not _accepts_work(
        board, agent.heartbeat
    ):
        agent.joined_s = board.now_s
    agent.heartbeat = heartbeat
    agent.last_received_s = board.now_s
    agent.is_connected = True
    reports.record_free_slots(agent, heartbeat.free, heartbeat.received)
    send_heartbeat_reply(board, agent)
    dispatch.dispatch_to_agent(board, agent)


def _accepts_work(board: EntryBoard, heartbeat: message.Heartbeat) -> bool:
    if board.configuration is None:
        return False
    if not heartbeat.healthy or heartbeat.draining:
        return False
    return not pool.is_withdrawn(board, heartbeat.zone)


def _add_agent(
    board: EntryBoard, heartbeat: message.Heartbeat
) -> AgentState | None:
    """Adds an agent, unless a newer incarnation of it is known."""
    name = nodeid.node_name(heartbeat.agent)
    known = board.agent_names.get(name)
    if known is not None:
        newer = nodeid.node_incarnation(known)
        if newer > nodeid.node_incarnation(heartbeat.agent):
            board.counters["old_incarnations"] += 1
            return None
        remove_agent(board, known)
    agent = AgentState(
        heartbeat.agent,
        heartbeat,
        board.now_s,
        _joined_s(board),
        heartbeat.free,
    )
    board.agents[heartbeat.agent] = agent
    board.agent_names[name] = heartbeat.agent
    board.counters["agents_joined"] += 1
    return agent


def _joined_s(board: EntryBoard) -> float:
    """Returns the time from which the ramp-up of a new agent counts.

    The ramp-up is for agents that join a running system. To an entry that
    started recently every agent is new, so no ramp-up applies.
    """
    if board.now_s - board.started_s < board.settings.dead_after_s:
        return float("-inf")
    return board.now_s


def remove_agent(board: EntryBoard, node: str) -> None:
    """Removes a lost agent and ends its assignments."""
    del board.agents[node]
    if board.agent_names.get(nodeid.node_name(node)) == node:
        del board.agent_names[nodeid.node_name(node)]
    board.counters["agents_gone"] += 1
    dispatch.on_agent_lost(board, node)


def send_heartbeat_reply(board: EntryBoard, agent: AgentState) -> None:
    """Sends an agent its lease and its part of the configuration."""
    if board.configuration is None:
        return
    heartbeat = agent.heartbeat
    name = nodeid.node_name(agent.node)
    limits = board.configuration.service(heartbeat.service)
    board.send(
        agent.node,
        message.HeartbeatReply(
            entry=board.node,
            echo_s=heartbeat.sent_s,
            config_offset=board.config_offset,
            lease_s=max(0.0, board.lease_until_s - board.now_s),
            withdrawn=pool.is_withdrawn(board, heartbeat.zone),
            draining=pool.is_drained(board, name),
            slots=limits.slots if limits else 0,
            retention_s=board.configuration.retention_s,
            clock_error_s=board.configuration.clock_error_s,
            entries=_entries_to_send(board, agent),
            shards=_shard_views(board, agent),
        ),
    )


def _entries_to_send(board: EntryBoard, agent: AgentState) -> tuple[str, ...]:
    """Returns the entries' addresses, or nothing if already sent."""
    entries = tuple(e.address for e in board.membership.entries.values())
    if entries == agent.sent_entries:
        return ()
    agent.sent_entries = entries
    return entries


def _shard_views(
    board: EntryBoard, agent: AgentState
) -> tuple[message.ShardView, ...]:
    """Returns the shards to send to an agent.

    These are the shards of the agent that changed since they were last sent
    over this link, and those that it adopted but no longer belongs to.
    """
    name = nodeid.node_name(agent.node)
    numbers = board.membership.shards_by_agent.get(name, ())
    adopted = dict(agent.heartbeat.shard_epochs)
    views = [_shard_view(board, number) for number in numbers]
    changed = [view for view in views if _needs_sending(agent, adopted, view)]
    agent.sent_shards = {v.shard: (v.epoch, v.fenced) for v in views}
    removed = [
        _shard_view(board, number)
        for number in adopted
        if number not in agent.sent_shards and number in board.membership.shards
    ]
    return (*changed, *removed)


def _shard_view(board: EntryBoard, number: int) -> message.ShardView:
    shard = board.membership.shards[number]
    return message.ShardView(
        number, shard.epoch, shard.members, is_fenced(board, number)
    )


def _needs_sending(
    agent: AgentState, adopted: dict[int, int], view: message.ShardView
) -> bool:
    sent = agent.sent_shards.get(view.shard)
    is_adopted = adopted.get(view.shard) == view.epoch
    return sent != (view.epoch, view.fenced) or not is_adopted


def is_fenced(board: EntryBoard, number: int) -> bool:
    """Whether no majority of a shard's older epoch can answer any more."""
    if number in board.fenced.get(board.membership.shards[number].epoch, ()):
        return True
    shard = board.membership.shards[number]
    adopted = {
        nodeid.node_name(agent.node)
        for agent in board.agents.values()
        if (number, shard.epoch) in agent.heartbeat.shard_epochs
    }
    if not members.is_fenced(shard, adopted):
        return False
    board.fenced.setdefault(shard.epoch, set()).add(number)
    return True


def on_configuration(board: EntryBoard) -> None:
    """Sends every agent a configuration that has just come into force."""
    renew_lease(board)
    for agent in board.agents.values():
        if agent.is_connected:
            send_heartbeat_reply(board, agent)
    for service in list(board.queues):
        dispatch.dispatch_service(board, service)


def notify_witnesses(board: EntryBoard) -> None:
    """Sends changed shards to the witnesses that they concern."""
    names = {
        name
        for shard in board.membership.shards.values()
        for name in shard.members + shard.previous
    }
    for agent in board.agents.values():
        if agent.is_connected and nodeid.node_name(agent.node) in names:
            send_heartbeat_reply(board, agent)


def renew_lease(board: EntryBoard) -> None:
    """Updates the time until which the configuration may be acted on."""
    if board.configuration is None:
        return
    if board.newest_offset_seen > board.config_offset:
        # This also holds if the entry that stated the offset was lost since.
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
    """Whether no entry with this or a newer configuration can read the log.

    Leases are then renewed only because the entries agree on the outage.
    """
    age_s = min(
        [board.log_age_s]
        + [
            view.state_age_s + view.log_age_s
            for view in _peer_views(board)
            if view.config_offset >= board.config_offset
        ]
    )
    return age_s >= lease.OUTAGE_AFTER_S


def _entry_names(board: EntryBoard) -> tuple[str, ...]:
    own = nodeid.node_name(board.node)
    return tuple({own, *board.membership.entries})


def _peer_views(board: EntryBoard) -> list[lease.PeerView]:
    """Returns the other entries' states, with ages by this entry's clock."""
    return [
        lease.PeerView(
            name=nodeid.node_name(node),
            state_age_s=board.now_s - peer.state.echo_s,
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
    """Records the state that another entry sent."""
    for known in list(board.peers):
        same_name = nodeid.node_name(known) == nodeid.node_name(node)
        if same_name and known != node:
            del board.peers[known]
    board.peers[node] = PeerState(state, board.now_s)
    board.newest_offset_seen = max(
        board.newest_offset_seen, state.config_offset
    )
    renew_lease(board)


def is_alive(board: EntryBoard, node: str) -> bool:
    """Whether another entry is connected and sent its state recently.

    A killed process closes its links at once; a paused or partitioned one
    stops sending. Taking over from a live entry is safe but wasteful.
    """
    peer = board.peers.get(node)
    if peer is None or node not in board.entry_links:
        return False
    return board.now_s - peer.last_received_s < board.settings.suspect_after_s


def send_states(board: EntryBoard) -> None:
    """Sends this entry's liveness, log age and demand to the other entries."""
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
    """Removes agents and entries that have been silent for dead_after_s."""
    limit_s = board.now_s - board.settings.dead_after_s
    for node, agent in list(board.agents.items()):
        if agent.last_received_s < limit_s:
            remove_agent(board, node)
    for node, peer in list(board.peers.items()):
        if peer.last_received_s < limit_s:
            del board.peers[node]


def propose(board: EntryBoard) -> None:
    """Prepares a record for the members stream, if one is due.

    Only the live entry with the lowest name proposes. If two entries propose
    at once, the expected offset of the append lets only one succeed.
    """
    board.proposal = ""
    _track_absent_entries(board)
    if board.configuration is None or not _is_proposer(board):
        return
    if board.log_age_s >= lease.OUTAGE_AFTER_S:
        # An entry that is cut off from the log must not remove the others
        # and become the only known entry.
        return
    board.proposal = _entry_removal(board) or _shard_changes(board)


def _is_proposer(board: EntryBoard) -> bool:
    own = nodeid.node_name(board.node)
    alive = [nodeid.node_name(node) for node in board.peers]
    return own <= min(alive, default=own)


def _track_absent_entries(board: EntryBoard) -> None:
    """Tracks since when entries are absent, also while another one proposes."""
    present = {nodeid.node_name(node) for node in (board.node, *board.peers)}
    for name in board.membership.entries:
        if name in present:
            board.absent_since_s.pop(name, None)
        else:
            board.absent_since_s.setdefault(name, board.now_s)


def _entry_removal(board: EntryBoard) -> str:
    for name, member in board.membership.entries.items():
        since_s = board.absent_since_s.get(name, board.now_s)
        if board.now_s - since_s >= REMOVE_ENTRY_AFTER_S:
            # An entry that is alive registers itself again, which starts the
            # absence time anew.
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
    """Returns the agents that may become or stay witnesses.

    A silent witness stays a candidate for REPLACE_WITNESS_AFTER_S, since it
    may be restarting and then no change of the table is needed.
    """
    witnesses = {
        name
        for shard in board.membership.shards.values()
        for name in shard.members
    }
    candidates = {}
    for agent in board.agents.values():
        heartbeat = agent.heartbeat
        name = nodeid.node_name(agent.node)
        leaving = heartbeat.draining or pool.is_drained(board, name)
        if not leaving:
            candidates[name] = members.Candidate(name, heartbeat.zone)
            board.absent_since_s.pop(name, None)
    for name in witnesses - set(candidates):
        since_s = board.absent_since_s.setdefault(name, board.now_s)
        if board.now_s - since_s < REPLACE_WITNESS_AFTER_S:
            zone = board.witness_zones.get(name, "")
            candidates[name] = members.Candidate(name, zone)
    board.witness_zones.update((c.name, c.zone) for c in candidates.values())
    return list(candidates.values())
