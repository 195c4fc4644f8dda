"""The agent's engine: each event, and the controller that handles it."""

from egretthread import logs
from egretthread.scheduling import (
    heldends,
    leaserule,
    runlooks,
    runorders,
    runs,
)
from egretthread.scheduling.agentboard import (
    AgentBoard,
    Coordinator,
    RunPhase,
    ServerRecord,
    StartCall,
    StopCall,
)
from egretthread.scheduling.room import ZERO_ROOM
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

# Time between two heartbeats to an entry with runs here, and without.
BUSY_BEAT_S = 0.2
IDLE_BEAT_S = 1.0
# An entry of the same zone is told at once when room was taken or freed, but
# no more often than this. Traffic within a zone costs nothing.
NEAR_BEAT_S = 0.02
# Entries of other zones are told so only while little room is left or was
# left: it is then that several entries reach for the same room.
FAR_BEAT_S = 0.04
LITTLE_ROOM_SHARE = 0.3
# With more entries than this, each is told of room less often, so that an
# agent's heartbeats do not grow with their number.
FULL_PACE_ENTRIES = 3
# Silence of an entry with runs here after which its link is opened afresh.
SILENT_LINK_S = 0.5
# Time between two offers of the operators' records to one entry.
RECORD_S = 0.5
# A run number is remembered this long; late orders come within 12 s.
NUMBER_KEPT_S = 60.0


def new_board(node: str, token: int, now_s: float) -> AgentBoard:
    """Returns the blackboard of a freshly started agent."""
    return AgentBoard(node=node, token=token, now_s=now_s)


def on_message(board: AgentBoard, node: str, item: object) -> None:
    """Handles one message of an entry."""
    handler = HANDLERS.get(type(item))
    if handler is None:
        board.counters["unexpected_messages"] += 1
        return
    coordinator = board.coordinators.setdefault(node, Coordinator(node))
    coordinator.heard_s = board.now_s
    handler(board, coordinator, item)


def on_entry_beat(
    board: AgentBoard, coordinator: Coordinator, beat: EntryBeat
) -> None:
    """Renews an entry's lease and takes over what operators have in force."""
    coordinator.is_near = beat.is_near
    coordinator.kept_jobs = beat.kept_jobs
    coordinator.lease_s = max(
        coordinator.lease_s, leaserule.lease_end_s(beat.echo_ms)
    )
    _offer_record(board, coordinator, beat)
    if beat.operator_offset >= board.operator_offset:
        if beat.withdrawn != board.is_withdrawn:
            logs.info(
                "zone_withdrawn" if beat.withdrawn else "zone_returned",
                offset=beat.operator_offset,
                entry=coordinator.node,
            )
        board.operator_offset = beat.operator_offset
        board.is_withdrawn = beat.withdrawn


def _offer_record(
    board: AgentBoard, coordinator: Coordinator, beat: EntryBeat
) -> None:
    """Sends the operators' records to an entry that is behind them."""
    record = board.record
    if record is None or beat.operator_offset >= record.offset:
        return
    if board.now_s - coordinator.record_sent_s >= RECORD_S:
        coordinator.record_sent_s = board.now_s
        board.outbox.append((coordinator.node, record))


def on_operator_record(
    board: AgentBoard, coordinator: Coordinator, record: OperatorRecord
) -> None:
    """Keeps the operators' records for entries that can't read the store."""
    if board.record is None or record.offset > board.record.offset:
        board.record = record


HANDLERS = {
    OperatorRecord: on_operator_record,
    EntryBeat: on_entry_beat,
    StartRuns: runorders.on_start_runs,
    StopRuns: runorders.on_stop_runs,
    SettleEnds: heldends.on_settle,
}


def on_link(board: AgentBoard, node: str) -> None:
    """Tells an entry on a new link what this agent holds of it."""
    coordinator = board.coordinators.setdefault(node, Coordinator(node))
    coordinator.is_connected = True
    coordinator.received = 0
    coordinator.told_facts = False
    coordinator.heard_s = board.now_s
    rows = [
        LiveRun(run.name.job, run.attempt)
        for run in board.runs.values()
        if run.entry == node
    ]
    heldends.tell(board, node)
    board.outbox.append((node, LiveRuns(tuple(rows))))
    send_beat(board, coordinator)


def on_link_closed(board: AgentBoard, node: str) -> None:
    """Notes that an entry is out of reach; its lease runs on."""
    coordinator = board.coordinators.get(node)
    if coordinator is not None:
        coordinator.is_connected = False


def on_heartbeat(
    board: AgentBoard, record: ServerRecord, clock_ms: int
) -> None:
    """Takes in what the backend server says of itself."""
    known = board.server
    if known is not None and _is_older(record, known):
        logs.info("heartbeat_outdated", server=record.server)
        return
    if known is None or _is_other(record, known):
        _replace_server(board, record, clock_ms)
    elif record.capacity != known.capacity or record.labels != known.labels:
        _forget_told(board)
    board.server = record
    if record.is_draining:
        _begin_drain(board)
    elif board.state in (ServerState.ABSENT, ServerState.DRAINING):
        _set_state(board, ServerState.READY, "heartbeat")


def on_leave(board: AgentBoard, server: str) -> None:
    """Notes that the backend server has left."""
    if board.server is not None and board.server.server == server:
        logs.info("server_left", server=server, runs=len(board.runs))
        runs.lose_all(board, RunEnd.STOPPED)
        board.server = None
        _forget_told(board)
        _set_state(board, ServerState.ABSENT, "left")


def on_call_result(board, call: StartCall | StopCall, result) -> None:
    """Takes in the backend server's answer to an order."""
    if isinstance(call, StartCall):
        runorders.on_start_result(board, call, result)
    else:
        runorders.on_stop_result(board, call, result)
    after_event(board)


def on_look(board: AgentBoard, call, look) -> None:
    """Takes in the backend server's answer to a look."""
    runlooks.on_look(board, call, look)
    after_event(board)


def on_tick(board: AgentBoard) -> None:
    """Does what is due by time; called many times a second."""
    runorders.stop_lapsed(board)
    runorders.refuse_overdue(board)
    runorders.retry_stops(board)
    runlooks.check_server(board)
    heldends.forget_void(board)
    heldends.offer(board)
    _send_due_beats(board)
    _forget_old(board)
    after_event(board)


def after_event(board: AgentBoard) -> None:
    """Starts what fits by now and sends what there is to report."""
    runorders.start_queued(board)
    for node, rows in board.reports.items():
        coordinator = board.coordinators.get(node)
        if coordinator is None or not coordinator.is_connected:
            board.counters["reports_dropped"] += len(rows)
            continue
        board.outbox.append((node, RunReports(tuple(rows))))
        send_beat(board, coordinator)
    board.reports.clear()


def silent_entries(board: AgentBoard) -> list[str]:
    """Returns the entries with runs here whose link has gone silent."""
    busy = {run.entry for run in board.runs.values()}
    return [
        node
        for node in busy
        if (entry := board.coordinators.get(node))
        and entry.is_connected
        and board.now_s - entry.heard_s > SILENT_LINK_S
    ]


def begin_shutdown(board: AgentBoard) -> None:
    """Takes no more runs; those under way go on."""
    board.is_closing = True
    _set_state(board, ServerState.DRAINING, "shutdown")
    runorders.refuse_queued(board)
    after_event(board)


def send_beat(board: AgentBoard, coordinator: Coordinator) -> None:
    """Queues a heartbeat to one entry."""
    server = board.server
    if not coordinator.told_facts:
        coordinator.told_facts = True
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
    free = board.free
    coordinator.beat_s = board.now_s
    coordinator.told_cpu = free.cpu
    beat = AgentBeat(
        board.clock_ms,
        shown_state(board),
        free.cpu,
        free.memory_mb,
        free.gpu,
        board.health.speed(board.now_s),
        coordinator.received,
    )
    board.outbox.append((coordinator.node, beat))


def shown_state(board: AgentBoard) -> ServerState:
    """Returns the state that entries are told."""
    if board.state is ServerState.READY:
        if board.health.is_sick(board.now_s):
            return ServerState.SICK
        if board.health.is_on_trial(board.now_s) and board.runs:
            return ServerState.SICK
    return board.state


def _send_due_beats(board: AgentBoard) -> None:
    """Sends the heartbeats that are due, by time or for news of room."""
    busy = {run.entry for run in board.runs.values()}
    free_cpu = board.free.cpu
    linked = sum(c.is_connected for c in board.coordinators.values())
    # Fewer words to each of more entries, so that they grow with neither.
    pace = max(1.0, linked / FULL_PACE_ENTRIES) ** 2
    for coordinator in board.coordinators.values():
        if not coordinator.is_connected:
            continue
        since_s = board.now_s - coordinator.beat_s
        period_s = BUSY_BEAT_S if coordinator.node in busy else IDLE_BEAT_S
        if coordinator.told_cpu != free_cpu:
            if coordinator.is_near:
                period_s = min(period_s, NEAR_BEAT_S * pace)
            elif _is_short(board, min(free_cpu, coordinator.told_cpu)):
                period_s = min(period_s, FAR_BEAT_S * pace)
        if since_s >= period_s:
            send_beat(board, coordinator)


def _is_short(board: AgentBoard, free_cpu: int) -> bool:
    """Whether little room is left."""
    if board.server is None:
        return False
    return free_cpu < LITTLE_ROOM_SHARE * board.server.capacity.cpu


def _is_older(record: ServerRecord, known: ServerRecord) -> bool:
    if (
        record.started_unix_ms
        and known.started_unix_ms
        and record.started_unix_ms != known.started_unix_ms
    ):
        return record.started_unix_ms < known.started_unix_ms
    same = record.server == known.server
    return same and record.sequence < known.sequence


def _is_other(record: ServerRecord, known: ServerRecord) -> bool:
    return (record.server, record.started_unix_ms) != (
        known.server,
        known.started_unix_ms,
    )


def _replace_server(board: AgentBoard, record: ServerRecord, clock_ms) -> None:
    logs.info(
        "server_found",
        server=record.server,
        born=record.started_unix_ms,
        cpu=record.capacity.cpu,
        before=board.server.server if board.server else "",
    )
    if board.server is not None:
        runs.lose_all(board, RunEnd.STOPPED)
    board.barred.clear()
    heldends.clear(board)
    board.clock_offset_ms = clock_ms - board.clock_ms
    board.lease_end_s = 0.0
    board.health.clear()
    board.server = record
    _forget_told(board)
    if not board.is_closing:
        _set_state(board, ServerState.READY, "new server")


def _begin_drain(board: AgentBoard) -> None:
    if board.state is not ServerState.DRAINING:
        _set_state(board, ServerState.DRAINING, "heartbeat")
        runorders.refuse_queued(board)


def _set_state(board: AgentBoard, state: ServerState, why: str) -> None:
    if board.is_closing and state is not ServerState.DRAINING:
        return
    if board.state is state:
        return
    logs.info(
        "server_state",
        state=state,
        before=board.state,
        why=why,
        runs=len(board.runs),
    )
    board.state = state
    for coordinator in board.coordinators.values():
        if coordinator.is_connected:
            send_beat(board, coordinator)


def _forget_told(board: AgentBoard) -> None:
    for coordinator in board.coordinators.values():
        coordinator.told_facts = False


def _forget_old(board: AgentBoard) -> None:
    """Drops run numbers and entries that nothing rests on any more."""
    if len(board.numbers) > 5000:
        oldest_s = board.now_s - NUMBER_KEPT_S
        live = {run.name for run in board.runs.values()}
        board.numbers = {
            name: pair
            for name, pair in board.numbers.items()
            if pair[1] >= oldest_s or name in live
        }
        board.kept_names &= board.numbers.keys()
    gone = [
        node
        for node, entry in board.coordinators.items()
        if not entry.is_connected
        and board.now_s - entry.heard_s > NUMBER_KEPT_S
    ]
    for node in gone:
        del board.coordinators[node]


def is_idle(board: AgentBoard) -> bool:
    """Whether the agent holds no run."""
    return not board.runs


def needs_look(board: AgentBoard) -> bool:
    """Whether the backend server has to be looked at."""
    if board.told_seen < board.last_seen:
        return board.state is not ServerState.ABSENT
    return board.is_lease_barred or any(
        run.phase is not RunPhase.QUEUED for run in board.runs.values()
    )


def stop_all(board: AgentBoard) -> None:
    """Stops every run: the agent must end."""
    for run in tuple(board.runs.values()):
        runs.begin_stop(board, run, RunEnd.STOPPED)
