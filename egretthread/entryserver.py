"""The entry process: links, HTTP servers and timers around the engine."""

import asyncio
import random

import tornado.netutil

from egretthread import (
    adminapi,
    callerapi,
    clock,
    entry,
    gauges,
    link,
    logfeed,
    message,
    metrics,
    nodeid,
)
from egretthread.blackboard import EntryBoard
from egretthread.intake import IntakeLimits
from egretthread.intakeserver import IntakeServer
from egretthread.jobkey import JobRef
from egretthread.settings import EntrySettings, join_address, split_address
from egretthread.submission import Refusal, SingleRequest, Submission

TICK_S = 0.05
SHUTDOWN_CHECK_S = 0.05
MAX_BODY_BYTES = 32 * 2**20
CALLER_LIMITS = IntakeLimits(total_bytes=4 * MAX_BODY_BYTES, connections=4_000)


class EntryServer:
    """One running entry.

    Attributes:
        settings: Settings of the entry.
        board: Blackboard of the entry.
        link_server: Accepts links of agents and other entries.
        admin: HTTP server for metrics and the state dump.
        http: HTTP server for callers.
        http_address: `host:port` of the HTTP server for callers, once bound.
        feed: Reads and writes the platform's log.
        entry_clients: Links to other entries by address.
        open_links: Open links by node id, the newest last.
        job_waiters: Futures of callers that wait for a job's answer.
        request_waiters: Futures of callers that wait for the result of a
            single request.
        lookup_waiters: Futures of callers that look up a job.
        tasks: Background tasks, cancelled on shutdown.
    """

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.board: EntryBoard = entry.new_board(
            settings,
            clock.new_incarnation(),
            clock.monotonic_s(),
            random.SystemRandom().getrandbits(64),
        )
        self.link_server = link.LinkServer(
            settings,
            self.board.node,
            "entry",
            self._on_messages,
            self._on_open,
            self._on_close,
        )
        self.admin = adminapi.AdminServer(
            self.board, settings.admin_address, gauges.ENTRY_GAUGES
        )
        self.admin.metrics.refreshers.append(self._count_traffic)
        self.http = IntakeServer(
            callerapi.application(self),
            CALLER_LIMITS,
            lambda: MAX_BODY_BYTES,
            self.board.counters,
        )
        self.http_address = ""
        self.feed = logfeed.LogFeed(settings, self.board, self._on_log_update)
        self.entry_clients: dict[str, link.LinkClient] = {}
        self.open_links: dict[str, list[link.Peer]] = {}
        self.job_waiters: dict[JobRef, list[asyncio.Future]] = {}
        self.request_waiters: dict[JobRef, list[asyncio.Future]] = {}
        self.lookup_waiters: dict[JobRef, list[asyncio.Future]] = {}
        self.tasks: set[asyncio.Task] = set()

    def _count_traffic(self, table: metrics.Metrics) -> None:
        metrics.set_traffic(table, self.link_server.traffic)

    async def start(self) -> None:
        """Starts listening and all background tasks."""
        self.link_server.start()
        self.board.address = (
            self.settings.advertised_address or self.link_server.address
        )
        self.admin.start()
        self._listen_for_callers()
        self.feed.start()
        for loop in (self._tick_loop, self._slow_tick_loop):
            self._spawn(loop())

    def _listen_for_callers(self) -> None:
        host, port = split_address(self.settings.http_address)
        sockets = tornado.netutil.bind_sockets(port, host)
        self.http.add_sockets(sockets)
        self.http_address = join_address(*sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Shuts down after open jobs are answered or `shutdown_s` has passed.

        New jobs are refused meanwhile.
        """
        self._update_time()
        entry.begin_shutdown(self.board)
        end_s = clock.monotonic_s() + self.settings.shutdown_s
        while not self._is_idle() and clock.monotonic_s() < end_s:
            await asyncio.sleep(SHUTDOWN_CHECK_S)
        await self.feed.close()
        for task in tuple(self.tasks):
            task.cancel()
        self.http.stop()
        await self.http.close_all_connections()
        closing = [client.close() for client in self.entry_clients.values()]
        await asyncio.gather(*closing)
        await self.link_server.close()
        await self.admin.close()

    def _is_idle(self) -> bool:
        waiting = self.job_waiters or self.request_waiters
        return entry.is_idle(self.board) and not waiting

    def submit(self, submission: Submission) -> asyncio.Future:
        """Submits a job; the future yields its answer or a refusal."""
        waiter = asyncio.get_running_loop().create_future()
        self._update_time()
        refusal = entry.submit(self.board, submission)
        known = self.board.jobs.get(submission.job)
        if refusal is not None:
            waiter.set_result(refusal)
        elif known is not None and known.answer is not None:
            waiter.set_result(known.answer)
        else:
            self.job_waiters.setdefault(submission.job, []).append(waiter)
        self._process_output()
        return waiter

    def request(self, single: SingleRequest) -> asyncio.Future:
        """Submits a single request; the future yields an outcome or refusal."""
        waiter = asyncio.get_running_loop().create_future()
        self._update_time()
        accepted = entry.request(self.board, single)
        if isinstance(accepted, Refusal):
            waiter.set_result(accepted)
        else:
            self.request_waiters[accepted] = [waiter]
        self._process_output()
        return waiter

    async def look_up(self, job: JobRef, cancel: bool):
        """Returns the answer or status of a job, or a refusal.

        Args:
            job: The job.
            cancel: Whether to cancel the job as well.
        """
        waiter = asyncio.get_running_loop().create_future()
        self.lookup_waiters.setdefault(job, []).append(waiter)
        self._update_time()
        entry.look_up(self.board, job, cancel)
        self._process_output()
        return await waiter

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _update_time(self) -> None:
        entry.set_time(self.board, clock.monotonic_s(), clock.unix_s())

    def _process_output(self) -> None:
        """Sends the queued messages and the results for waiting callers."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, outgoing in outbox:
            peers = self.open_links.get(node)
            if peers:
                self.board.counters[f"sent_{type(outgoing).__name__}"] += 1
                peers[-1].send(outgoing)
        job_results, self.board.job_results = self.board.job_results, []
        _resolve(self.job_waiters, job_results)
        request_results, self.board.request_results = (
            self.board.request_results,
            [],
        )
        _resolve(self.request_waiters, request_results)
        lookup_results, self.board.lookup_results = (
            self.board.lookup_results,
            [],
        )
        _resolve(self.lookup_waiters, lookup_results)

    def _on_log_update(self) -> None:
        """Applies changes that were read from the log."""
        self._update_links()
        self._process_output()

    def _update_links(self) -> None:
        """Opens and closes links so that there is one to each other entry."""
        own_name = nodeid.node_name(self.board.node)
        addresses = {
            member.address
            for member in self.board.membership.entries.values()
            if member.name != own_name
        }
        for address in addresses - set(self.entry_clients):
            client = link.LinkClient(
                address,
                self.settings,
                self.board.node,
                "entry",
                self._on_messages,
                self._on_open,
                self._on_close,
            )
            client.traffic = self.link_server.traffic
            self.entry_clients[address] = client
            client.start()
        for address in set(self.entry_clients) - addresses:
            self._spawn(self.entry_clients.pop(address).close())

    def _on_messages(
        self, peer: link.Peer, messages: tuple[message.Message, ...]
    ) -> None:
        self._update_time()
        for incoming in messages:
            entry.on_message(self.board, peer.node, incoming)
        self._process_output()

    def _on_open(self, peer: link.Peer) -> None:
        self._update_time()
        self.open_links.setdefault(peer.node, []).append(peer)
        if peer.role == "agent":
            entry.on_agent_link_open(self.board, peer.node)
        else:
            entry.on_entry_link_open(self.board, peer.node)
        self._process_output()

    def _on_close(self, peer: link.Peer) -> None:
        peers = self.open_links.get(peer.node, [])
        if peer in peers:
            peers.remove(peer)
        if peers:
            return
        self.open_links.pop(peer.node, None)
        self._update_time()
        if peer.role == "agent":
            entry.on_agent_link_closed(self.board, peer.node)
        else:
            entry.on_entry_link_closed(self.board, peer.node)

    async def _tick_loop(self) -> None:
        while True:
            self.admin.observe_samples()
            await asyncio.sleep(TICK_S)
            self._update_time()
            entry.on_tick(self.board)
            self._process_output()

    async def _slow_tick_loop(self) -> None:
        while True:
            await asyncio.sleep(self.settings.heartbeat_s)
            self._update_time()
            entry.on_slow_tick(self.board)
            self._process_output()


def _resolve(
    waiters: dict[JobRef, list[asyncio.Future]], results: list
) -> None:
    for job, result in results:
        for waiter in waiters.pop(job, ()):
            if not waiter.done():
                waiter.set_result(result)
