"""The agent process: links, timers and backend requests around the engine."""

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
from egretthread.agentboard import AgentBoard, StartCall
from egretthread.controllers import agent_tasks
from egretthread.message import Refusal
from egretthread.settings import AgentSettings

# Consecutive health checks that must fail before the agent reports its backend
# server as unhealthy.
UNHEALTHY_AFTER = 2
HEALTH_CHECK_S = 1.0
CREDIT_TICK_S = 0.02
SHUTDOWN_CHECK_S = 0.05
# How long a witness that shuts down waits for its shards to be moved to other
# agents.
HAND_OVER_S = 5.0


class AgentServer:
    """One running agent.

    Attributes:
        settings: Settings of the agent.
        board: Blackboard of the agent.
        backend: Client of the backend server.
        admin: HTTP server for metrics and the state dump.
        entry_clients: Links to the entries by address.
        entry_links: Open links by the entry's node id.
        traffic: Traffic counters of all links.
        slots_requested: Set while an entry requests slots.
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
        self.slots_requested = asyncio.Event()
        self.entry_clients: dict[str, link.LinkClient] = {}
        self.entry_links: dict[str, link.Peer] = {}
        self.tasks: set[asyncio.Task] = set()

    def _count_traffic(self, table: metrics.Metrics) -> None:
        metrics.set_traffic(table, self.traffic)

    async def start(self) -> None:
        """Starts listening, connects to the entries and starts the timers."""
        # Listening on a fixed port also prevents a second agent of the same
        # name from starting.
        self.admin.start()
        self._update_links()
        for loop in (self._tick_loop, self._credit_loop, self._health_loop):
            self._spawn(loop())

    async def close(self) -> None:
        """Shuts down after accepted tasks finish or `shutdown_s` has passed.

        New tasks are refused meanwhile.
        """
        self._update_time()
        agent.begin_shutdown(self.board)
        self._process_output()
        await self._wait(
            lambda: agent.is_idle(self.board), self.settings.shutdown_s
        )
        await self._wait(self._handed_over, HAND_OVER_S)
        for task in tuple(self.tasks):
            task.cancel()
        closing = [client.close() for client in self.entry_clients.values()]
        await asyncio.gather(*closing)
        self.backend.close()
        await self.admin.close()

    def _handed_over(self) -> bool:
        return not self.board.witness.shards or not self.entry_links

    async def _wait(self, condition, limit_s: float) -> None:
        end_s = clock.monotonic_s() + limit_s
        while not condition() and clock.monotonic_s() < end_s:
            await asyncio.sleep(SHUTDOWN_CHECK_S)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _update_time(self) -> None:
        agent.set_time(self.board, clock.monotonic_s(), clock.unix_s())

    def _process_output(self) -> None:
        """Sends the queued messages and starts the accepted tasks."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, outgoing in outbox:
            peer = self.entry_links.get(node)
            if peer is not None:
                self.board.counters[f"sent_{type(outgoing).__name__}"] += 1
                peer.send(outgoing)
        if self.board.slot_requests:
            self.slots_requested.set()
        calls, self.board.to_start = self.board.to_start, []
        for call in calls:
            self._spawn(self._run_task(call))

    async def _run_task(self, call: StartCall) -> None:
        refused = False
        started_s = clock.monotonic_s()

        def may_start() -> bool:
            nonlocal refused
            self._update_time()
            refused = not agent.may_start(self.board, call)
            return not refused

        try:
            result = await self.backend.run(call, may_start)
        except backendclient.NotStartedError as error:
            self._update_time()
            if not refused:
                logs.warning("task_not_started", error=str(error))
                refusal = Refusal.BACKEND_UNREACHABLE
                agent_tasks.cancel_start(self.board, call, refusal)
        else:
            self._update_time()
            run_s = self.board.now_s - started_s
            self.board.samples.append(("task_seconds", run_s))
            agent.on_finished(self.board, call, result)
        self._process_output()

    def _on_messages(
        self, peer: link.Peer, messages: tuple[message.Message, ...]
    ) -> None:
        self._update_time()
        for incoming in messages:
            agent.on_message(self.board, peer.node, incoming)
        self._process_output()

    def _on_open(self, peer: link.Peer) -> None:
        self._update_time()
        self.entry_links[peer.node] = peer
        agent.on_link_open(self.board, peer.node)
        self._process_output()

    def _on_close(self, peer: link.Peer) -> None:
        if self.entry_links.get(peer.node) is not peer:
            return
        self._update_time()
        del self.entry_links[peer.node]
        agent.on_link_closed(self.board, peer.node)

    def _update_links(self) -> None:
        """Opens missing links and closes those to entries no longer listed."""
        selected = self._selected_entries()
        for address in selected:
            if address not in self.entry_clients:
                self._open_link(address)
        # A link to an entry that is listed but no longer selected stays open,
        # because the entry may coordinate jobs that this agent holds tasks of.
        listed = set(self.board.entries or self.settings.entries)
        for address in set(self.entry_clients) - selected - listed:
            client = self.entry_clients.pop(address)
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
        self.entry_clients[address] = client
        client.start()

    def _selected_entries(self) -> set[str]:
        """Returns the addresses of the entries to connect to.

        A witness connects to all entries. Any other agent connects to
        `entry_fanout` of them, and temporarily to all while an entry without a
        link coordinates a job that the agent may hold tasks of.
        """
        addresses = self.board.entries or self.settings.entries
        needs_all = self.board.now_s < self.board.dial_all_until_s
        if needs_all or self.board.witness.shards:
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
            self._update_time()
            self._update_links()
            agent.on_tick(self.board)
            self._process_output()

    async def _credit_loop(self) -> None:
        """Grants the slots of expired credits to entries that request slots."""
        while True:
            await self.slots_requested.wait()
            await asyncio.sleep(CREDIT_TICK_S)
            self._update_time()
            agent_tasks.grant_credits(self.board)
            self._process_output()
            if not self.board.slot_requests:
                self.slots_requested.clear()

    async def _health_loop(self) -> None:
        failures = 0
        while True:
            healthy = await self.backend.is_healthy()
            failures = 0 if healthy else failures + 1
            self._update_time()
            agent.set_healthy(self.board, failures < UNHEALTHY_AFTER)
            self._process_output()
            await asyncio.sleep(HEALTH_CHECK_S)
