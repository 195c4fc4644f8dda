"""The entry process: links, HTTP servers and timers around its engine."""

import asyncio
import random

import tornado.httpserver
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
)
from egretthread.blackboard import EntryBoard
from egretthread.jobkey import JobRef
from egretthread.settings import EntrySettings, join_address, split_address
from egretthread.submission import Refusal, SingleRequest, Submission

TICK_S = 0.05
SHUTDOWN_CHECK_S = 0.05
MAX_BODY_BYTES = 32 * 2**20


class EntryServer:
    """One running entry.

    Attributes:
        settings: Its settings.
        board: Its blackboard.
        links: Accepts links of agents and other entries.
        admin: HTTP server for metrics and the state dump.
        http: HTTP server for callers.
        http_address: `host:port` that callers reach, once bound.
        feed: Reads and writes the platform's log.
        clients: Links to other entries by address.
        routes: Open links by node id, the newest last.
        waiters: Callers who wait for a job's answer.
        requesters: Callers who wait for a single request's result.
        searchers: Callers who wait for what is known of a job.
    """

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.board: EntryBoard = entry.new_board(
            settings,
            clock.new_incarnation(),
            clock.monotonic_s(),
            random.SystemRandom().getrandbits(64),
        )
        self.links = link.LinkServer(
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
        self.http = tornado.httpserver.HTTPServer(
            callerapi.application(self), max_body_size=MAX_BODY_BYTES
        )
        self.http_address = ""
        self.feed = logfeed.LogFeed(settings, self.board, self._after_log)
        self.clients: dict[str, link.LinkClient] = {}
        self.routes: dict[str, list[link.Peer]] = {}
        self.waiters: dict[JobRef, list[asyncio.Future]] = {}
        self.requesters: dict[JobRef, list[asyncio.Future]] = {}
        self.searchers: dict[JobRef, list[asyncio.Future]] = {}
        self.tasks: set[asyncio.Task] = set()

    def _count_traffic(self, table: metrics.Metrics) -> None:
        metrics.set_traffic(table, self.links.traffic)

    async def start(self) -> None:
        """Starts to serve."""
        self.links.start()
        self.board.address = (
            self.settings.advertised_address or self.links.address
        )
        self.admin.start()
        self._listen_for_callers()
        self.feed.start()
        for loop in (self._tick_loop, self._second_loop):
            self._spawn(loop())

    def _listen_for_callers(self) -> None:
        host, port = split_address(self.settings.http_address)
        sockets = tornado.netutil.bind_sockets(port, host)
        self.http.add_sockets(sockets)
        self.http_address = join_address(*sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Shuts down: no new jobs, those under way get their answer."""
        self._turn()
        entry.begin_shutdown(self.board)
        end_s = clock.monotonic_s() + self.settings.shutdown_s
        while not self._is_idle() and clock.monotonic_s() < end_s:
            await asyncio.sleep(SHUTDOWN_CHECK_S)
        await self.feed.close()
        for task in tuple(self.tasks):
            task.cancel()
        self.http.stop()
        await self.http.close_all_connections()
        closing = [client.close() for client in self.clients.values()]
        await asyncio.gather(*closing)
        await self.links.close()
        await self.admin.close()

    def _is_idle(self) -> bool:
        waiting = self.waiters or self.requesters
        return entry.is_idle(self.board) and not waiting

    def submit(self, submission: Submission) -> asyncio.Future:
        """Takes a job; the future gives its answer or a refusal."""
        waiter = asyncio.get_running_loop().create_future()
        self._turn()
        refusal = entry.submit(self.board, submission)
        known = self.board.jobs.get(submission.job)
        if refusal is not None:
            waiter.set_result(refusal)
        elif known is not None and known.answer is not None:
            waiter.set_result(known.answer)
        else:
            self.waiters.setdefault(submission.job, []).append(waiter)
        self._pump()
        return waiter

    def request(self, single: SingleRequest) -> asyncio.Future:
        """Takes a single request; the future gives outcome or refusal."""
        waiter = asyncio.get_running_loop().create_future()
        self._turn()
        taken = entry.request(self.board, single)
        if isinstance(taken, Refusal):
            waiter.set_result(taken)
        else:
            self.requesters[taken] = [waiter]
        self._pump()
        return waiter

    async def look_up(self, job: JobRef, cancel: bool):
        """Returns what is known of a job: answer, status or refusal."""
        waiter = asyncio.get_running_loop().create_future()
        self.searchers.setdefault(job, []).append(waiter)
        self._turn()
        entry.look_up(self.board, job, cancel)
        self._pump()
        return await waiter

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _turn(self) -> None:
        entry.set_time(self.board, clock.monotonic_s(), clock.unix_s())

    def _pump(self) -> None:
        """Sends the outbox and answers the callers whose jobs are over."""
        outbox, self.board.outbox = self.board.outbox, []
        for node, item in outbox:
            routes = self.routes.get(node)
            if routes:
                self.board.counters[f"sent_{type(item).__name__}"] += 1
                routes[-1].send(item)
        finished, self.board.job_results = self.board.job_results, []
        _resolve(self.waiters, finished)
        answered, self.board.request_results = self.board.request_results, []
        _resolve(self.requesters, answered)
        looked_up, self.board.lookup_results = self.board.lookup_results, []
        _resolve(self.searchers, looked_up)

    def _after_log(self) -> None:
        """Acts on what was read from the log."""
        self._dial()
        self._pump()

    def _dial(self) -> None:
        """Keeps a link to every other entry that the log names."""
        own = message.node_name(self.board.node)
        wanted = {
            member.address
            for member in self.board.membership.entries.values()
            if member.name != own
        }
        for address in wanted - set(self.clients):
            client = link.LinkClient(
                address,
                self.settings,
                self.board.node,
                "entry",
                self._on_messages,
                self._on_open,
                self._on_close,
            )
            client.traffic = self.links.traffic
            self.clients[address] = client
            client.start()
        for address in set(self.clients) - wanted:
            self._spawn(self.clients.pop(address).close())

    def _on_messages(
        self, peer: link.Peer, items: tuple[message.Message, ...]
    ) -> None:
        self._turn()
        for item in items:
            entry.on_message(self.board, peer.node, item)
        self._pump()

    def _on_open(self, peer: link.Peer) -> None:
        self._turn()
        self.routes.setdefault(peer.node, []).append(peer)
        if peer.role == "agent":
            entry.on_agent_link_open(self.board, peer.node)
        else:
            entry.on_entry_link_open(self.board, peer.node)
        self._pump()

    def _on_close(self, peer: link.Peer) -> None:
        routes = self.routes.get(peer.node, [])
        if peer in routes:
            routes.remove(peer)
        if routes:
            return
        self.routes.pop(peer.node, None)
        self._turn()
        if peer.role == "agent":
            entry.on_agent_link_closed(self.board, peer.node)
        else:
            entry.on_entry_link_closed(self.board, peer.node)

    async def _tick_loop(self) -> None:
        while True:
            self.admin.observe_samples()
            await asyncio.sleep(TICK_S)
            self._turn()
            entry.on_tick(self.board)
            self._pump()

    async def _second_loop(self) -> None:
        while True:
            await asyncio.sleep(self.settings.heartbeat_s)
            self._turn()
            entry.on_slow_tick(self.board)
            self._pump()


def _resolve(
    waiters: dict[JobRef, list[asyncio.Future]], results: list
) -> None:
    for job, result in results:
        for waiter in waiters.pop(job, ()):
            if not waiter.done():
                waiter.set_result(result)
