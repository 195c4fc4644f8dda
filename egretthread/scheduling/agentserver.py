"""Agent process of the scheduling path: links, calls and timers."""

import asyncio
import itertools
import typing

from egretthread import background, clock, link, logs, nodeid, routes
from egretthread.scheduling import (
    agentengine,
    linkchoice,
    serverpoll,
    wantedlinks,
)
from egretthread.scheduling.agentboard import (
    AgentBoard,
    ServerLeave,
    ServerRecord,
    StartCall,
    StopCall,
)
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.runmessage import EntryBeat, SettleEnds
from egretthread.scheduling.servercall import CallResult, PollCall, PollResult

# Interval between ticks while the agent holds runs.
TICK_S = 0.02
# With more links than this, ticks are less frequent, and so are the heartbeats
# about free capacity that they send.
FULL_RATE_LINKS = 3
# Interval between ticks while the agent holds no runs.
IDLE_TICK_S = 0.1
# Part of the shutdown time that is reserved for stopping runs and for reports
# in transit.
SHUTDOWN_MARGIN_S = 0.8
# Time after the start before the first attempt of discovery.
DISCOVERY_DELAY_S = 1.0
# Interval between reviews of the selected links.
LINK_REVIEW_S = 0.5
# An entry is replaced by another when it has been unreachable for this long,
# which is longer than a link takes to reopen.
REPLACE_AFTER_S = 1.0
# Upper bound of the wait between two attempts to open a link. A restarted entry
# refuses work until it has found its agents.
RECONNECT_S = 0.2
# How long the first links wait for the list of entries in the store. From the
# seeds alone, all agents of a restarted deployment would link with the same few
# entries and leave most of them again.
FIRST_LOOKUP_S = 0.25
# Interval between attempts of discovery, which are made only while no link is
# open.
DISCOVERY_S = 2.0


class ServerClient(typing.Protocol):
    """Client of the backend server on the agent's instance."""

    async def start_run(self, call: StartCall) -> CallResult:
        """Starts a run."""

    async def stop_run(self, call: StopCall) -> CallResult:
        """Stops a run."""

    async def poll(self, call: PollCall) -> PollResult:
        """Lists the runs and renews their lease."""

    def close(self) -> None:
        """Closes the connections."""


class AgentServer:
    """Agent process: connects the engine to links, calls and timers.

    Attributes:
        settings: Its settings.
        board: Blackboard of its engine.
        backend: Client of the backend server.
        find_entries: Discovers addresses of entries while no link is open.
        entry_clients: Links to the entries, by address.
        entry_links: Open links, by the entry's node id.
        reported_entries: Addresses of entries in the last list from each linked
            entry, by node id.
        discovered: Addresses of entries that discovery returned last.
        unreachable_since_s: When an entry became unreachable, by address.
        poll_needed: Set while the backend server has to be polled.
        tasks: Background tasks.
    """

    def __init__(
        self, settings: NodeSettings, backend: ServerClient, find_entries
    ):
        self.settings = settings
        incarnation = clock.new_incarnation()
        self.board: AgentBoard = agentengine.new_board(
            nodeid.node_id(settings.name, incarnation),
            incarnation,
            clock.monotonic_s(),
        )
        self.board.load = settings.load
        self.board.zone = settings.zone
        self.backend = backend
        self.find_entries = find_entries
        self.entry_clients: dict[str, link.LinkClient] = {}
        self.entry_links = routes.Routes()
        self.reported_entries: dict[str, tuple[str, ...]] = {}
        self.discovered: tuple[str, ...] = ()
        self.unreachable_since_s: dict[str, float] = {}
        self.poll_needed = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Opens the links and starts the background loops."""
        self._spawn(self._open_first_links())
        for loop in (
            self._tick_loop,
            self._poll_loop,
            self._link_loop,
            self._discovery_loop,
        ):
            self._spawn(background.keep_running(loop))

    async def close(self) -> None:
        """Shuts down: refuses new runs and waits for the running ones.

        Runs that have not ended in time are stopped.
        """
        self._update_time()
        agentengine.begin_shutdown(self.board)
        self._process_output()
        end_s = clock.monotonic_s() + self.settings.shutdown_s
        end_s -= SHUTDOWN_MARGIN_S
        while not agentengine.is_idle(self.board):
            if clock.monotonic_s() >= end_s:
                self._update_time()
                agentengine.stop_all(self.board)
                self._process_output()
                await asyncio.sleep(SHUTDOWN_MARGIN_S / 2)
                break
            await asyncio.sleep(TICK_S)
        for task in tuple(self.tasks):
            task.cancel()
        closing = [client.close() for client in self.entry_clients.values()]
        await asyncio.gather(*closing)
        self.backend.close()

    def on_heartbeat(self, record: ServerRecord, clock_ms: int) -> None:
        """Processes a heartbeat of the backend server.

        Raises:
            serveridentity.ForeignServerError: It is of another writer.
        """
        self._update_time()
        agentengine.on_heartbeat(self.board, record, clock_ms)
        self._process_output()

    def on_leave(self, leave: ServerLeave) -> None:
        """Processes the notice that the backend server leaves.

        Raises:
            serveridentity.ForeignServerError: It is of another writer.
        """
        self._update_time()
        agentengine.on_leave(self.board, leave)
        self._process_output()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _update_time(self) -> None:
        self.board.now_s = clock.monotonic_s()

    def _process_output(self) -> None:
        """Sends the queued messages, and the calls to the backend server."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, outgoing in outbox:
            self.entry_links.send(node, outgoing)
        calls, self.board.calls = self.board.calls, []
        for call in calls:
            self._spawn(self._call(call))
        if agentengine.needs_poll(self.board):
            self.poll_needed.set()

    async def _call(self, call: StartCall | StopCall) -> None:
        if isinstance(call, StartCall):
            result = await self.backend.start_run(call)
        else:
            result = await self.backend.stop_run(call)
        self._update_time()
        agentengine.on_call_result(self.board, call, result)
        self._process_output()

    async def _poll_loop(self) -> None:
        """Polls the backend server while the engine needs it."""
        while True:
            self._update_time()
            if not agentengine.needs_poll(self.board):
                self.poll_needed.clear()
                await self.poll_needed.wait()
                self._update_time()
            call = serverpoll.next_poll(self.board)
            result = await self.backend.poll(call)
            self._update_time()
            agentengine.on_poll_result(self.board, call, result)
            self._process_output()
            if result.clock_ms == 0:
                await asyncio.sleep(TICK_S)

    async def _tick_loop(self) -> None:
        while True:
            slowdown = max(1.0, len(self.entry_links.peers) / FULL_RATE_LINKS)
            await asyncio.sleep(
                slowdown * TICK_S if self.board.runs else IDLE_TICK_S
            )
            self._update_time()
            agentengine.on_tick(self.board)
            for node in agentengine.silent_entries(self.board):
                self._reopen(node)
            self._process_output()

    def _reopen(self, node: str) -> None:
        """Closes a silent link so that it is reopened.

        A device on the path between the ends may have dropped the connection.
        """
        for peer in tuple(self.entry_links.peers.get(node, ())):
            peer.abort(link.REASON_SILENT)

    async def _open_first_links(self) -> None:
        """Opens the first links, knowing the registered entries if possible."""
        try:
            async with asyncio.timeout(FIRST_LOOKUP_S):
                self.discovered = tuple(await self.find_entries())
        except TimeoutError:
            logs.info("entry_lookup_skipped", waited_s=FIRST_LOOKUP_S)
        self._update_links()

    async def _discovery_loop(self) -> None:
        """Discovers entries while no link is open."""
        await asyncio.sleep(DISCOVERY_DELAY_S)
        while True:
            if not self.entry_links.peers:
                self._on_entries_found(await self.find_entries())
            await asyncio.sleep(DISCOVERY_S)

    def _on_entries_found(self, addresses) -> None:
        new = set(addresses) - set(self._known_entries())
        self.discovered = tuple(addresses)
        if new:
            logs.info("entries_found", addresses=",".join(sorted(new)))
            self._update_links()

    def _known_entries(self) -> tuple[str, ...]:
        """Returns the addresses of entries from all sources.

        The list of a single entry may be incomplete while the store is
        unavailable.
        """
        linked = [
            address
            for address, client in self.entry_clients.items()
            if client.peer
        ]
        reported = itertools.chain.from_iterable(self.reported_entries.values())
        return tuple(
            dict.fromkeys(
                (
                    *self.settings.seed_peers,
                    *reported,
                    *self.discovered,
                    *linked,
                )
            )
        )

    def _on_messages(self, peer: link.Peer, messages: tuple) -> None:
        self._update_time()
        for incoming in messages:
            if isinstance(incoming, EntryBeat) and incoming.entries:
                self.reported_entries[peer.node] = incoming.entries
                self._update_links()
            agentengine.on_message(self.board, peer.node, incoming)
            if isinstance(incoming, SettleEnds) and incoming.coordinators:
                self._update_links()
        agentengine.after_event(self.board)
        self._process_output()

    async def _link_loop(self) -> None:
        while True:
            await asyncio.sleep(LINK_REVIEW_S)
            self._update_links()

    def _update_links(self) -> None:
        """Opens the selected links, and closes others that have no runs."""
        now_s = clock.monotonic_s()
        unreachable = {
            address
            for address, since_s in self.unreachable_since_s.items()
            if now_s - since_s > REPLACE_AFTER_S
        }
        selected = linkchoice.choose(
            self.settings.name, self._known_entries(), unreachable
        )
        selected += wantedlinks.addresses(self.board)
        for address in selected:
            if address in self.entry_clients:
                continue
            client = link.LinkClient(
                address,
                self.settings,
                self.board.node,
                "agent",
                self._on_messages,
                self._on_open,
                self._on_close,
                backoff_max_s=RECONNECT_S,
            )
            self.entry_clients[address] = client
            self.unreachable_since_s[address] = now_s
            client.start()
        busy = {run.entry for run in self.board.runs.values()}
        for address in self.entry_clients.keys() - set(selected):
            peer = self.entry_clients[address].peer
            if peer is None or peer.node not in busy:
                self.unreachable_since_s.pop(address, None)
                self._spawn(self.entry_clients.pop(address).close())

    def _on_open(self, peer: link.Peer) -> None:
        self._update_time()
        self.unreachable_since_s.pop(peer.address, None)
        self.entry_links.add(peer)
        agentengine.on_link_open(self.board, peer.node)
        self._process_output()

    def _on_close(self, peer: link.Peer) -> None:
        if peer.address in self.entry_clients:
            self.unreachable_since_s[peer.address] = clock.monotonic_s()
        if self.entry_links.remove(peer):
            self.reported_entries.pop(peer.node, None)
            self._update_time()
            agentengine.on_link_closed(self.board, peer.node)
