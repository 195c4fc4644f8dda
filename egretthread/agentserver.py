"""The agent process: links, timers and calls around its engine."""

import asyncio

import xxhash

from egretthread import (
    adminapi,
    agent,
    backendclient,
    clock,
    gauges,
    link,
    logs,
    message,
    metrics,
)
from egretthread.agentboard import AgentBoard, StartOrder
from egretthread.controllers import agent_tasks
from egretthread.message import Refusal
from egretthread.settings import AgentSettings

# Health checks in a row that must fail before the agent says so.
UNHEALTHY_AFTER = 2
HEALTH_CHECK_S = 1.0
CREDIT_TICK_S = 0.02
SHUTDOWN_CHECK_S = 0.05
# How long a leaving witness waits for its shards to move elsewhere.
HAND_OVER_S = 5.0


class AgentServer:
    """One running agent.

    Attributes:
        settings: Its settings.
        board: Its blackboard.
        backend: Client of the backend server.
        admin: HTTP server for metrics and the state dump.
        clients: Links to the entries by address.
        peers: Open links by the entry's node id.
        traffic: What all links carry.
        wished: Set while an entry wishes for slots.
    """

    def __init__(self, settings: AgentSettings):
        self.settings = settings
        self.board: AgentBoard = agent.new_board(
            settings, clock.new_incarnation()
        )
        self.backend = backendclient.BackendClient(settings)
        self.admin = adminapi.AdminServer(
            self.board, settings.admin_address, gauges.AGENT_GAUGES
        )
        self.admin.metrics.refreshers.append(self._count_traffic)
        self.traffic = link.Traffic()
        self.wished = asyncio.Event()
        self.clients: dict[str, link.LinkClient] = {}
        self.peers: dict[str, link.Peer] = {}
        self.tasks: set[asyncio.Task] = set()

    def _count_traffic(self, table: metrics.Metrics) -> None:
        metrics.set_traffic(table, self.traffic)

    async def start(self) -> None:
        """Starts to serve: binds, dials the entries, starts the timers."""
        # The fixed port also keeps a second agent of this name from starting.
        self.admin.start()
        self._dial()
        for loop in (self._tick_loop, self._credit_loop, self._health_loop):
            self._spawn(loop())

    async def close(self) -> None:
        """Shuts down: no new tasks, those running finish and are reported."""
        self._turn()
        agent.begin_shutdown(self.board)
        self._pump()
        await self._wait(
            lambda: agent.is_idle(self.board), self.settings.shutdown_s
        )
        await self._wait(self._handed_over, HAND_OVER_S)
        for task in tuple(self.tasks):
            task.cancel()
        closing = [client.close() for client in self.clients.values()]
        await asyncio.gather(*closing)
        self.backend.close()
        await self.admin.close()

    def _handed_over(self) -> bool:
        return not self.board.witness.shards or not self.peers

    async def _wait(self, condition, limit_s: float) -> None:
        end_s = clock.monotonic_s() + limit_s
        while not condition() and clock.monotonic_s() < end_s:
            await asyncio.sleep(SHUTDOWN_CHECK_S)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _turn(self) -> None:
        agent.set_time(self.board, clock.monotonic_s(), clock.unix_s())

    def _pump(self) -> None:
        """Sends the outbox and starts the tasks that the engine accepted."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, item in outbox:
            peer = self.peers.get(node)
            if peer is not None:
                self.board.counters[f"sent_{type(item).__name__}"] += 1
                peer.send(item)
        if self.board.slot_requests:
            self.wished.set()
        orders, self.board.to_start = self.board.to_start, []
        for order in orders:
            self._spawn(self._run_task(order))

    async def _run_task(self, order: StartOrder) -> None:
        refused = False
        began_s = clock.monotonic_s()

        def may_start() -> bool:
            nonlocal refused
            self._turn()
            refused = not agent.may_start(self.board, order)
            return not refused

        try:
            result = await self.backend.run(order, may_start)
        except backendclient.NotStartedError as error:
            self._turn()
            if not refused:
                logs.warning("task_not_started", error=str(error))
                refusal = Refusal.BACKEND_UNREACHABLE
                agent_tasks.cancel_start(self.board, order, refusal)
        else:
            self._turn()
            run_s = self.board.now_s - began_s
            self.board.samples.append(("task_seconds", run_s))
            agent.on_finished(self.board, order, result)
        self._pump()

    def _on_messages(
        self, peer: link.Peer, items: tuple[message.Message, ...]
    ) -> None:
        self._turn()
        for item in items:
            agent.on_message(self.board, peer.node, item)
        self._pump()

    def _on_open(self, peer: link.Peer) -> None:
        self._turn()
        self.peers[peer.node] = peer
        agent.on_link_open(self.board, peer.node)
        self._pump()

    def _on_close(self, peer: link.Peer) -> None:
        if self.peers.get(peer.node) is not peer:
            return
        self._turn()
        del self.peers[peer.node]
        agent.on_link_closed(self.board, peer.node)

    def _dial(self) -> None:
        """Opens the links that are wanted and closes the others."""
        wanted = self._wanted_entries()
        for address in wanted:
            if address not in self.clients:
                self._open_link(address)
        # An entry that is still listed may coordinate jobs that this agent
        # holds tasks of, even when another one is preferred by now.
        listed = set(self.board.entries or self.settings.entries)
        for address in set(self.clients) - wanted - listed:
            client = self.clients.pop(address)
            self._spawn(client.close())

    def _open_link(self, address: str) -> None:
        client = link.LinkClient(
            address,
            self.settings,
            self.board.node,
            "agent",
            self._on_messages,
            self._on_open,
            self._on_close,
        )
        client.traffic = self.traffic
        self.clients[address] = client
        client.start()

    def _wanted_entries(self) -> set[str]:
        """Returns the addresses of the entries to keep links with.

        A witness is reached by every entry; another agent by a few, and by
        all while an entry without a link coordinates a job it may hold.
        """
        addresses = self.board.entries or self.settings.entries
        called = self.board.now_s < self.board.dial_all_until_s
        if called or self.board.witness.shards:
            return set(addresses)
        ranked = sorted(addresses, key=self._rank)
        return set(ranked[: self.settings.entry_fanout])

    def _rank(self, address: str) -> int:
        return xxhash.xxh3_64_intdigest(
            f"{self.settings.name}/{address}".encode()
        )

    async def _tick_loop(self) -> None:
        while True:
            self.admin.observe_samples()
            await asyncio.sleep(self.settings.heartbeat_s)
            self._turn()
            self._dial()
            agent.on_tick(self.board)
            self._pump()

    async def _credit_loop(self) -> None:
        """Gives lapsed credits to others while entries wish for slots."""
        while True:
            await self.wished.wait()
            await asyncio.sleep(CREDIT_TICK_S)
            self._turn()
            agent_tasks.give_credits(self.board)
            self._pump()
            if not self.board.slot_requests:
                self.wished.clear()

    async def _health_loop(self) -> None:
        failures = 0
        while True:
            healthy = await self.backend.is_healthy()
            failures = 0 if healthy else failures + 1
            self._turn()
            agent.set_healthy(self.board, failures < UNHEALTHY_AFTER)
            self._pump()
            await asyncio.sleep(HEALTH_CHECK_S)
