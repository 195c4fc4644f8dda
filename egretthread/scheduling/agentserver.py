"""The agent of the scheduling path: links, calls and timers."""

import asyncio
import itertools
import typing

from egretthread import clock, link, logs, message, routes
from egretthread.scheduling import agentengine, linkchoice, runlooks
from egretthread.scheduling.agentboard import (
    AgentBoard,
    ServerRecord,
    StartCall,
    StopCall,
)
from egretthread.scheduling.nodesettings import NodeSettings
from egretthread.scheduling.runmessage import EntryBeat
from egretthread.scheduling.servercall import CallResult, PollCall, PollResult

TICK_S = 0.02
# With more links than this, ticks are further apart, as the words on room are
# that they send.
FULL_PACE_LINKS = 3
# The same while the agent holds no run.
IDLE_TICK_S = 0.1
# Part of the shutdown's time that is left for reports on their way.
SHUTDOWN_MARGIN_S = 0.8
# Time without a link to any entry before others are looked for.
LONELY_S = 1.0
# Time between two reviews of the links, in seconds.
DIAL_S = 0.5
# An entry that can't be reached for this long is replaced by another: longer
# than a link takes to open again.
REPLACE_S = 1.0
# Time between two questions to whoever may know of entries.
SEARCH_S = 2.0


class ServerClient(typing.Protocol):
    """Calls the backend server beside the agent."""

    async def start_run(self, call: StartCall) -> CallResult:
        """Starts a run."""

    async def stop_run(self, call: StopCall) -> CallResult:
        """Stops a run."""

    async def poll(self, call: PollCall) -> PollResult:
        """Looks at the runs and renews their lease."""

    def close(self) -> None:
        """Closes the connections."""


class AgentServer:
    """One running agent.

    Attributes:
        settings: Its settings.
        board: Its blackboard.
        server: Client of the backend server.
        find_entries: Returns addresses of entries from elsewhere, when no
            link is open.
        clients: Links to the entries by address.
        routes: Open links by the entry's node id.
        lists: Addresses of entries, as each linked entry last told them.
        found: Addresses of entries that were found elsewhere.
        down_s: Since when an entry could not be reached, by address.
        busy: Set while the backend server has to be looked at.
    """

    def __init__(
        self, settings: NodeSettings, server: ServerClient, find_entries
    ):
        self.settings = settings
        incarnation = clock.new_incarnation()
        self.board: AgentBoard = agentengine.new_board(
            message.node_id(settings.name, incarnation),
            incarnation,
            clock.monotonic_s(),
        )
        self.server = server
        self.find_entries = find_entries
        self.clients: dict[str, link.LinkClient] = {}
        self.routes = routes.Routes()
        self.lists: dict[str, tuple[str, ...]] = {}
        self.found: tuple[str, ...] = ()
        self.down_s: dict[str, float] = {}
        self.busy = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts to serve."""
        self._dial()
        for loop in (
            self._tick_loop,
            self._look_loop,
            self._dial_loop,
            self._search_loop,
        ):
            self._spawn(loop())

    async def close(self) -> None:
        """Shuts down: takes nothing new, those running end in time."""
        self._turn()
        agentengine.begin_shutdown(self.board)
        self._pump()
        end_s = clock.monotonic_s() + self.settings.shutdown_s
        end_s -= SHUTDOWN_MARGIN_S
        while not agentengine.is_idle(self.board):
            if clock.monotonic_s() >= end_s:
                self._turn()
                agentengine.stop_all(self.board)
                self._pump()
                await asyncio.sleep(SHUTDOWN_MARGIN_S / 2)
                break
            await asyncio.sleep(TICK_S)
        for task in tuple(self.tasks):
            task.cancel()
        closing = [client.close() for client in self.clients.values()]
        await asyncio.gather(*closing)
        self.server.close()

    def on_heartbeat(self, record: ServerRecord, clock_ms: int) -> None:
        """Takes in a heartbeat of the backend server."""
        self._turn()
        agentengine.on_heartbeat(self.board, record, clock_ms)
        self._pump()

    def on_leave(self, server: str) -> None:
        """Notes that the backend server leaves."""
        self._turn()
        agentengine.on_leave(self.board, server)
        self._pump()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _turn(self) -> None:
        self.board.now_s = clock.monotonic_s()

    def _pump(self) -> None:
        """Sends the outbox and the calls to the backend server."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, item in outbox:
            self.routes.send(node, item)
        calls, self.board.calls = self.board.calls, []
        for call in calls:
            self._spawn(self._call(call))
        if agentengine.needs_look(self.board):
            self.busy.set()

    async def _call(self, call: StartCall | StopCall) -> None:
        if isinstance(call, StartCall):
            result = await self.server.start_run(call)
        else:
            result = await self.server.stop_run(call)
        self._turn()
        agentengine.on_call_result(self.board, call, result)
        self._pump()

    async def _look_loop(self) -> None:
        """Looks at the backend server while there is something to see."""
        while True:
            self._turn()
            if not agentengine.needs_look(self.board):
                self.busy.clear()
                await self.busy.wait()
                self._turn()
            call = runlooks.next_look(self.board)
            look = await self.server.poll(call)
            self._turn()
            agentengine.on_look(self.board, call, look)
            self._pump()
            if look.clock_ms == 0:
                await asyncio.sleep(TICK_S)

    async def _tick_loop(self) -> None:
        while True:
            pace = max(1.0, len(self.routes.peers) / FULL_PACE_LINKS)
            await asyncio.sleep(
                pace * TICK_S if self.board.runs else IDLE_TICK_S
            )
            self._turn()
            agentengine.on_tick(self.board)
            for node in agentengine.silent_entries(self.board):
                self._reopen(node)
            self._pump()

    def _reopen(self, node: str) -> None:
        """Opens a link afresh: something between the ends has lost it."""
        for peer in tuple(self.routes.peers.get(node, ())):
            peer.abort(link.REASON_SILENT)

    async def _search_loop(self) -> None:
        """Asks elsewhere for entries while no link is open."""
        await asyncio.sleep(LONELY_S)
        while True:
            if not self.routes.peers:
                self._want(await self.find_entries())
            await asyncio.sleep(SEARCH_S)

    def _want(self, addresses) -> None:
        new = set(addresses) - set(self._known())
        self.found = tuple(addresses)
        if new:
            logs.info("entries_found", addresses=",".join(sorted(new)))
            self._dial()

    def _known(self) -> tuple[str, ...]:
        """Returns the addresses of entries that anybody told of.

        What one entry knows may lack some, as long as the store is out.
        """
        linked = [a for a, c in self.clients.items() if c.peer]
        told = itertools.chain.from_iterable(self.lists.values())
        return tuple(
            dict.fromkeys(
                (*self.settings.seed_peers, *told, *self.found, *linked)
            )
        )

    def _on_messages(self, peer: link.Peer, items: tuple) -> None:
        self._turn()
        for item in items:
            if isinstance(item, EntryBeat) and item.entries:
                self.lists[peer.node] = item.entries
                self._dial()
            agentengine.on_message(self.board, peer.node, item)
        agentengine.after_event(self.board)
        self._pump()

    async def _dial_loop(self) -> None:
        while True:
            await asyncio.sleep(DIAL_S)
            self._dial()

    def _dial(self) -> None:
        """Opens the links that are wanted and closes idle other ones."""
        now_s = clock.monotonic_s()
        unreachable = {
            address
            for address, since_s in self.down_s.items()
            if now_s - since_s > REPLACE_S
        }
        wanted = linkchoice.choose(
            self.settings.name, self._known(), unreachable
        )
        for address in wanted:
            if address in self.clients:
                continue
            client = link.LinkClient(
                address,
                self.settings,
                self.board.node,
                "agent",
                self._on_messages,
                self._on_open,
                self._on_close,
            )
            self.clients[address] = client
            self.down_s[address] = now_s
            client.start()
        busy = {run.entry for run in self.board.runs.values()}
        for address in self.clients.keys() - set(wanted):
            peer = self.clients[address].peer
            if peer is None or peer.node not in busy:
                self.down_s.pop(address, None)
                self._spawn(self.clients.pop(address).close())

    def _on_open(self, peer: link.Peer) -> None:
        self._turn()
        self.down_s.pop(peer.address, None)
        self.routes.add(peer)
        agentengine.on_link(self.board, peer.node)
        self._pump()

    def _on_close(self, peer: link.Peer) -> None:
        if peer.address in self.clients:
            self.down_s[peer.address] = clock.monotonic_s()
        if self.routes.remove(peer):
            self.lists.pop(peer.node, None)
            self._turn()
            agentengine.on_link_closed(self.board, peer.node)
