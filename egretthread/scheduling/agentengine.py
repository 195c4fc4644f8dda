"""Event handlers of the agent's engine, which does no I/O itself."""

from egretthread import logs
from egretthread.scheduling import (
    heldends,
    leaserule,
    runorders,
    runs,
    servercrash,
    serveridentity,
    serverpoll,
    wantedlinks,
)
from egretthread.scheduling.agentboard import (
    AgentBoard,
    Candidate,
    Coordinator,
    RunPhase,
    ServerLeave,
    ServerRecord,
    StartCall,
    StopCall,
)
from egretthread.scheduling.room import ZERO_ROOM, Room
from egretthread.scheduling.runmessage import (
    AgentBeat,
    EntryBeat,
    LiveRun,
    LiveRuns,
    OperatorRecord,
    RunEnd,
    RunReports,
    ServerFacts,
    ServerState,
    SettleEnds,
    StartRuns,
    StopRuns,
)

# Interval between heartbeats to an entry that has runs on this agent, and to
# one that has none.
BUSY_HEARTBEAT_S = 0.2
IDLE_HEARTBEAT_S = 1.0
# Entries of the same zone get a heartbeat as soon as the free capacity changes,
# but no more often than this. Traffic within a zone is free of charge.
NEAR_HEARTBEAT_S = 0.02
# Entries of other zones get such a heartbeat only while the free CPU is below
# this share of the capacity, or was when last reported to them. Several entries
# then compete for it.
FAR_HEARTBEAT_S = 0.04
LOW_CPU_SHARE = 0.3
# With more entries than this, each gets fewer heartbeats about free capacity,
# so that an agent's heartbeat traffic does not grow with their number.
FULL_RATE_ENTRIES = 3
# The link to an entry with runs on this agent is reopened after it has been
# silent for this long.
SILENT_LINK_S = 0.5
# Interval between repeated sends of the operator records to one entry.
RECORD_RESEND_S = 0.5
# Run numbers are retained this long after their last use; a delayed order
# arrives within 12 s.
RUN_NUMBER_RETENTION_S = 60.0


def new_board(node: str, token: int, now_s: float) -> AgentBoard:
    """Returns the blackboard of a newly started agent."""
    return AgentBoard(node=node, token=token, now_s=now_s)


def on_message(board: AgentBoard, node: str, message: object) -> None:
    """Handles one message from an entry."""
    handler = HANDLERS.get(type(message))
    if handler is None:
        board.counters["unexpected_messages"] += 1
        return
    coordinator = board.coordinators.setdefault(node, Coordinator(node))
    coordinator.last_received_s = board.now_s
    handler(board, coordinator, message)


def on_entry_heartbeat(
    board: AgentBoard, coordinator: Coordinator, heartbeat: EntryBeat
) -> None:
    """Renews an entry's lease and adopts newer operator state."""
    coordinator.is_near = heartbeat.is_near
    coordinator.kept_jobs_may_exist = heartbeat.kept_jobs
    coordinator.lease_end_s = max(
        coordinator.lease_end_s,
        leaserule.coordinator_lease_end_s(heartbeat.echo_ms),
    )
    _send_operator_record(board, coordinator, heartbeat)
    wantedlinks.want(board, heartbeat.coordinators)
    if heartbeat.services:
        _on_services(board, heartbeat)
    if heartbeat.operator_offset >= board.operator_offset:
        if heartbeat.withdrawn != board.is_withdrawn:
            logs.info(
                "zone_withdrawn" if heartbeat.withdrawn else "zone_returned",
                offset=heartbeat.operator_offset,
                entry=coordinator.node,
            )
        board.operator_offset = heartbeat.operator_offset
        board.is_withdrawn = heartbeat.withdrawn


def _on_services(board: AgentBoard, heartbeat: EntryBeat) -> None:
    """Adopts the services that a configuration names, unless it is outdated."""
    if heartbeat.operator_offset < board.services_offset:
        return
    is_first = not board.services
    board.services_offset = heartbeat.operator_offset
    board.services = frozenset(heartbeat.services)
    server = board.server
    if (
        is_first
        and server is not None
        and server.service not in board.services
        and not board.runs
    ):
        # It was adopted before it could be checked, and keeps out the server
        # that is here if that started earlier.
        logs.warning(
            "server_unnamed", server=server.server, service=server.service
        )
        _remove_server(board, "unnamed service")


def _send_operator_record(
    board: AgentBoard, coordinator: Coordinator, heartbeat: EntryBeat
) -> None:
    """Sends the operator records to an entry that has only older ones."""
    record = board.operator_record
    if record is None or heartbeat.operator_offset >= record.offset:
        return
    if board.now_s - coordinator.record_sent_s >= RECORD_RESEND_S:
        coordinator.record_sent_s = board.now_s
        board.outbox.append((coordinator.node, record))


def on_operator_record(
    board: AgentBoard, coordinator: Coordinator, record: OperatorRecord
) -> None:
    """Stores the operator records for entries that can't read the store."""
    if (
        board.operator_record is None
        or record.offset > board.operator_record.offset
    ):
        board.operator_record = record


HANDLERS = {
    OperatorRecord: on_operator_record,
    EntryBeat: on_entry_heartbeat,
    StartRuns: runorders.on_start_runs,
    StopRuns: runorders.on_stop_runs,
    SettleEnds: heldends.on_settle_ends,
}


def on_link_open(board: AgentBoard, node: str) -> None:
    """Sends an entry, on a new link, its runs and the ends held here."""
    coordinator = board.coordinators.setdefault(node, Coordinator(node))
    coordinator.is_connected = True
    coordinator.received_runs = 0
    coordinator.has_facts = False
    coordinator.last_received_s = board.now_s
    live_runs = [
        LiveRun(run.name.job, run.attempt)
        for run in board.runs.values()
        if run.entry == node
    ]
    servercrash.send_all(board, node)
    heldends.send_all(board, node)
    board.outbox.append((node, LiveRuns(tuple(live_runs))))
    send_heartbeat(board, coordinator)


def on_link_closed(board: AgentBoard, node: str) -> None:
    """Marks an entry as disconnected; its lease holds until it expires."""
    coordinator = board.coordinators.get(node)
    if coordinator is not None:
        coordinator.is_connected = False


def on_heartbeat(
    board: AgentBoard, record: ServerRecord, clock_ms: int
) -> None:
    """Processes a heartbeat of the backend server.

    Raises:
        serveridentity.ForeignServerError: It is of another writer.
    """
    serveridentity.check_heartbeat(board, record)
    known = board.server
    if known is not None and _is_outdated(board, record, known):
        logs.info("heartbeat_outdated", server=record.server)
        return
    if _has_left(board, record):
        logs.info("heartbeat_after_leave", server=record.server)
        return
    clock_offset_ms = clock_ms - board.clock_ms
    if known is not None and serveridentity.is_same(record, known):
        if _facts(record) != _facts(known):
            _on_facts_changed(board, record)
        _adopt(board, record)
    elif _may_be_replaced(board):
        _replace_server(board, record, clock_offset_ms)
    else:
        logs.warning(
            "server_contested",
            server=record.server,
            born=record.started_unix_ms,
            known=known.server,
            known_born=known.started_unix_ms,
            runs=len(board.runs),
        )
        board.candidate = Candidate(record, clock_offset_ms, board.now_s)


def _may_be_replaced(board: AgentBoard) -> bool:
    """Whether the known backend server has ended, or was never confirmed.

    A heartbeat of another incarnation does not prove it: it may be of another
    writer, or have been delayed.
    """
    if board.server is None:
        return True
    is_unproved = not board.is_confirmed or board.state is ServerState.ABSENT
    return is_unproved and not board.runs_by_task


def _adopt(board: AgentBoard, record: ServerRecord) -> None:
    """Adopts the state in a heartbeat of the present incarnation."""
    board.room_limit = None
    board.server = record
    if record.is_draining:
        _begin_drain(board, "heartbeat")
    elif board.state in (ServerState.ABSENT, ServerState.DRAINING):
        _set_state(board, ServerState.READY, "heartbeat")


def on_leave(board: AgentBoard, leave: ServerLeave) -> None:
    """Stops the runs at the backend server, and removes it after them.

    The server announces its end, but goes on until its leave is acknowledged.

    Raises:
        serveridentity.ForeignServerError: It is of another writer.
    """
    serveridentity.check_leave(board, leave)
    if board.server is None or board.server.server != leave.server:
        return
    logs.info("server_left", server=leave.server, runs=len(board.runs))
    board.left_server = board.server
    _begin_drain(board, "leave")
    for run in tuple(board.runs.values()):
        runs.begin_stop(board, run, RunEnd.STOPPED)
    _remove_left_server(board)


def _remove_left_server(board: AgentBoard) -> None:
    """Removes a backend server that leaves once all its runs have ended."""
    if (
        board.server is not None
        and board.server is board.left_server
        and not board.runs_by_task
    ):
        _remove_server(board, "left")


def _remove_server(board: AgentBoard, reason: str) -> None:
    board.server = None
    board.is_confirmed = False
    _reset_sent_facts(board)
    _set_state(board, ServerState.ABSENT, reason)


def on_call_result(board, call: StartCall | StopCall, result) -> None:
    """Processes the result of a start or stop call."""
    if isinstance(call, StartCall):
        runorders.on_start_result(board, call, result)
    else:
        runorders.on_stop_result(board, call, result)
    after_event(board)


def on_poll_result(board: AgentBoard, call, result) -> None:
    """Processes the result of a poll."""
    serverpoll.on_poll_result(board, call, result)
    after_event(board)


def on_tick(board: AgentBoard) -> None:
    """Performs periodic work; called on every tick."""
    runorders.stop_expired(board)
    runorders.refuse_overdue(board)
    runorders.retry_stops(board)
    serverpoll.drop_expired_runs(board)
    heldends.remove_void_ends(board)
    heldends.resend(board)
    _send_due_heartbeats(board)
    _remove_stale_state(board)
    after_event(board)


def after_event(board: AgentBoard) -> None:
    """Starts queued runs that fit now, and sends the pending reports."""
    _remove_left_server(board)
    candidate = board.candidate
    if candidate is not None and _may_be_replaced(board):
        _replace_server(board, candidate.record, candidate.clock_offset_ms)
    runorders.start_queued(board)
    for node, reports in board.reports.items():
        coordinator = board.coordinators.get(node)
        if coordinator is None or not coordinator.is_connected:
            board.counters["reports_dropped"] += len(reports)
            continue
        board.outbox.append((node, RunReports(tuple(reports))))
        send_heartbeat(board, coordinator)
    board.reports.clear()


def silent_entries(board: AgentBoard) -> list[str]:
    """Returns the entries with runs on this agent whose link is silent."""
    busy = {run.entry for run in board.runs.values()}
    return [
        node
        for node in busy
        if (entry := board.coordinators.get(node))
        and entry.is_connected
        and board.now_s - entry.last_received_s > SILENT_LINK_S
    ]


def begin_shutdown(board: AgentBoard) -> None:
    """Stops accepting runs; runs that have been started continue."""
    board.is_shutting_down = True
    _set_state(board, ServerState.DRAINING, "shutdown")
    runorders.refuse_queued(board)
    after_event(board)


def send_heartbeat(board: AgentBoard, coordinator: Coordinator) -> None:
    """Queues a heartbeat to one entry."""
    server = board.server
    if not coordinator.has_facts:
        coordinator.has_facts = True
        facts = ServerFacts(board.node, "", "", "", (), ZERO_ROOM)
        if server is not None:
            facts = ServerFacts(
                board.node,
                server.server,
                server.service,
                server.zone,
                server.labels,
                server.capacity,
            )
        board.outbox.append((coordinator.node, facts))
    free = _offered_room(board)
    coordinator.heartbeat_sent_s = board.now_s
    coordinator.sent_free_cpu = free.cpu
    serverpoll.drop_stalled_speed(board)
    heartbeat = AgentBeat(
        board.clock_ms,
        reported_state(board),
        free.cpu,
        free.memory_mb,
        free.gpu,
        serverpoll.server_speed(board),
        coordinator.received_runs,
    )
    board.outbox.append((coordinator.node, heartbeat))


def _offered_room(board: AgentBoard) -> Room:
    """Returns the free capacity; none while an exclusive run is held."""
    if any(run.exclusive for run in board.runs.values()):
        return ZERO_ROOM
    return board.free


def reported_state(board: AgentBoard) -> ServerState:
    """Returns the state of the backend server that is reported to entries."""
    if board.state is ServerState.READY:
        if board.health.is_unhealthy(board.now_s):
            return ServerState.SICK
        if board.health.is_on_trial(board.now_s) and board.runs:
            return ServerState.SICK
    return board.state


def _send_due_heartbeats(board: AgentBoard) -> None:
    """Sends heartbeats that are due by interval or by changed capacity."""
    busy = {run.entry for run in board.runs.values()}
    free_cpu = _offered_room(board).cpu
    linked = sum(c.is_connected for c in board.coordinators.values())
    # The more entries are linked, the fewer heartbeats each of them gets, so
    # that the traffic does not grow with their number.
    slowdown = max(1.0, linked / FULL_RATE_ENTRIES) ** 2
    for coordinator in board.coordinators.values():
        if not coordinator.is_connected:
            continue
        since_s = board.now_s - coordinator.heartbeat_sent_s
        period_s = (
            BUSY_HEARTBEAT_S if coordinator.node in busy else IDLE_HEARTBEAT_S
        )
        if coordinator.sent_free_cpu != free_cpu:
            if coordinator.is_near:
                period_s = min(period_s, NEAR_HEARTBEAT_S * slowdown)
            elif _is_cpu_low(board, min(free_cpu, coordinator.sent_free_cpu)):
                period_s = min(period_s, FAR_HEARTBEAT_S * slowdown)
        if since_s >= period_s:
            send_heartbeat(board, coordinator)


def _is_cpu_low(board: AgentBoard, free_cpu: int) -> bool:
    """Whether the free CPU is low."""
    if board.server is None:
        return False
    return free_cpu < LOW_CPU_SHARE * board.server.capacity.cpu


def _is_outdated(
    board: AgentBoard, record: ServerRecord, known: ServerRecord
) -> bool:
    if (
        board.is_confirmed
        and record.started_unix_ms
        and known.started_unix_ms
        and record.started_unix_ms != known.started_unix_ms
    ):
        return record.started_unix_ms < known.started_unix_ms
    same = (record.server, record.started_unix_ms) == (
        known.server,
        known.started_unix_ms,
    )
    return same and record.sequence < known.sequence


def _has_left(board: AgentBoard, record: ServerRecord) -> bool:
    """Whether a heartbeat is of the incarnation that left, or of an older one.

    An incarnation ends when it has left, so such a heartbeat was delayed.
    """
    left = board.left_server
    if left is None:
        return False
    if left is board.server and serveridentity.is_same(record, left):
        return True
    if not record.started_unix_ms or not left.started_unix_ms:
        return False
    if record.started_unix_ms == left.started_unix_ms:
        return record.server == left.server
    return record.started_unix_ms < left.started_unix_ms


def _facts(record: ServerRecord) -> tuple:
    return record.service, record.zone, record.labels, record.capacity


def _replace_server(
    board: AgentBoard, record: ServerRecord, clock_offset_ms: int
) -> None:
    logs.info(
        "server_found",
        server=record.server,
        born=record.started_unix_ms,
        cpu=record.capacity.cpu,
        before=board.server.server if board.server else "",
    )
    if board.server is not None:
        logs.warning(
            "server_replaced",
            server=record.server,
            born=record.started_unix_ms,
            service=record.service,
            sequence=record.sequence,
            before=board.server.server,
            born_before=board.server.started_unix_ms,
            service_before=board.server.service,
            runs=len(board.runs),
        )
        servercrash.record(board, is_certain=True)
        runs.drop_all(board, RunEnd.STOPPED)
    board.blocked_runs.clear()
    heldends.clear(board)
    board.clock_offset_ms = clock_offset_ms
    board.clock_read_s = board.now_s
    board.server_lease_end_s = 0.0
    board.knows_runs = False
    board.health.clear()
    board.speed.clear()
    board.server = record
    board.is_confirmed = False
    board.candidate = None
    _reset_sent_facts(board)
    if not board.is_shutting_down:
        _set_state(board, ServerState.READY, "new server")
    _adopt(board, record)


def _on_facts_changed(board: AgentBoard, record: ServerRecord) -> None:
    """Tells the entries of a changed capacity or of changed labels."""
    logs.info(
        "server_changed",
        server=record.server,
        cpu=record.capacity.cpu,
        memory_mb=record.capacity.memory_mb,
        cpu_before=board.server.capacity.cpu,
        runs=len(board.runs),
    )
    if record.capacity != board.server.capacity:
        board.speed.loosen(board.now_s)
    board.server = record
    board.room_limit = None
    _reset_sent_facts(board)
    for coordinator in board.coordinators.values():
        if coordinator.is_connected:
            send_heartbeat(board, coordinator)


def _begin_drain(board: AgentBoard, reason: str) -> None:
    if board.state is not ServerState.DRAINING:
        _set_state(board, ServerState.DRAINING, reason)
        runorders.refuse_queued(board)


def _set_state(board: AgentBoard, state: ServerState, reason: str) -> None:
    if board.is_shutting_down and state is not ServerState.DRAINING:
        return
    if board.state is state:
        return
    logs.info(
        "server_state",
        state=state,
        before=board.state,
        reason=reason,
        runs=len(board.runs),
    )
    board.state = state
    for coordinator in board.coordinators.values():
        if coordinator.is_connected:
            send_heartbeat(board, coordinator)


def _reset_sent_facts(board: AgentBoard) -> None:
    for coordinator in board.coordinators.values():
        coordinator.has_facts = False


def _remove_stale_state(board: AgentBoard) -> None:
    """Removes run numbers and entries that are no longer needed."""
    if len(board.run_numbers) > 5000:
        oldest_s = board.now_s - RUN_NUMBER_RETENTION_S
        live = {run.name for run in board.runs.values()}
        board.run_numbers = {
            name: used
            for name, used in board.run_numbers.items()
            if used[1] >= oldest_s or name in live
        }
        board.kept_tasks &= board.run_numbers.keys()
    expired = [
        node
        for node, entry in board.coordinators.items()
        if not entry.is_connected
        and board.now_s - entry.last_received_s > RUN_NUMBER_RETENTION_S
    ]
    for node in expired:
        del board.coordinators[node]


def is_idle(board: AgentBoard) -> bool:
    """Whether the agent holds no runs."""
    return not board.runs


def needs_poll(board: AgentBoard) -> bool:
    """Whether the backend server has to be polled."""
    is_present = board.state is not ServerState.ABSENT
    if board.acked_last_seen < board.last_seen:
        return is_present
    if board.server is not None and is_present and not board.knows_runs:
        return True
    if board.candidate is not None:
        return is_present
    return board.is_renewal_blocked or any(
        run.phase is not RunPhase.QUEUED for run in board.runs.values()
    )


def stop_all(board: AgentBoard) -> None:
    """Stops every run, because the agent's shutdown time has expired."""
    for run in tuple(board.runs.values()):
        runs.begin_stop(board, run, RunEnd.STOPPED)
