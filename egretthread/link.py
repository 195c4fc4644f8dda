"""Framed, authenticated links between the system's processes over TCP.

A frame is a 4-byte big-endian length followed by a Cap'n Proto message. Both
ends prove that they hold the shared key before the first batch. Messages sent
within one iteration of the event loop travel in one batch. A link on which
nothing arrives for `liveness_s` is considered dead and closed; the client then
reconnects.
"""

import asyncio
import dataclasses
import functools
import logging
import random
import socket
from collections.abc import Callable, Mapping

from tornado import netutil

from egretthread import framing, handshake, logs, settings, tls, util, wire
from egretthread.linkstream import LinkStream
from egretthread.openhandshakes import OpenHandshakes
from egretthread.settings import AgentSettings, EntrySettings
from egretthread.wire import Message

WRITE_BUFFER_BYTES = 2 * wire.MAX_FRAME_BYTES
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0
# Timeouts of opening a TCP connection, used in turn. An instance without power
# does not answer, and an attempt that was begun before it is back would wait
# for the retransmission of its first packet, which takes a second or more. The
# longest leaves time for instances that are far away or slow.
CONNECT_TIMEOUTS_S = (0.1, 0.2, 0.5)
CLOSE_TIMEOUT_S = 1.0
# Reasons why a link was closed.
REASON_LOCAL = "local"
REASON_LOST = "lost"
REASON_SILENT = "silent"
REASON_SLOW = "slow"
REASON_SUPERSEDED = "superseded"

Settings = EntrySettings | AgentSettings
OnMessages = Callable[["Peer", tuple[Message, ...]], None]
OnPeer = Callable[["Peer"], None]


@dataclasses.dataclass
class Traffic:
    """Traffic counters of the links of one process, without handshakes.

    Attributes:
        frames_sent: Batches written, including keepalives.
        bytes_sent: Bytes of these batches.
        bytes_received: Bytes read.
    """

    frames_sent: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class Peer:
    """The remote process at the other end of an open link.

    Attributes:
        node: Node id of the remote process.
        role: `entry` or `agent`.
        address: `host:port` of the remote end as seen from this process.
        close_reason: Why the link was closed; empty while it is open.
        received_at: Loop time at which bytes last arrived, in seconds.
        sent_at: Loop time at which a batch was last sent, in seconds.
        stalled_at: Loop time since which no written byte has been passed to
            the network although some are waiting; None if none are waiting.
        sent_bytes: Bytes that had been passed to the network at the last check.
        traffic: Counters shared with the other links of the process.
    """

    def __init__(
        self,
        stream: LinkStream,
        hello: wire.Hello,
        address: str,
        options: Settings,
        traffic: Traffic,
    ):
        self.stream = stream
        stream.on_drained = self.on_drained
        self.node = hello.node
        self.role = hello.role
        self.address = address
        self.options = options
        self.traffic = traffic
        self.loop = asyncio.get_running_loop()
        self.queue: list[Message] = []
        self.close_reason = ""
        self.received_at = self.loop.time()
        self.sent_at = self.received_at
        self.stalled_at: float | None = None
        self.sent_bytes = 0
        self.buffer = bytearray()
        self.on_messages: OnMessages | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.abort_timer: asyncio.TimerHandle | None = None

    def send(self, message: Message) -> None:
        """Queues a message for the batch of this event loop iteration.

        Messages sent after the link was closed are dropped.
        """
        if self.close_reason:
            return
        if not self.queue:
            self.loop.call_soon(self.flush)
        self.queue.append(message)

    def close(self, reason: str = REASON_LOCAL) -> None:
        """Sends the queued messages and closes within CLOSE_TIMEOUT_S."""
        if self.close_reason:
            return
        self.flush()
        self.close_reason = self.close_reason or reason
        self.abort_timer = self.loop.call_later(
            CLOSE_TIMEOUT_S, self.stream.close
        )
        self.stream.finish_writing()

    def abort(self, reason: str) -> None:
        """Closes the link at once and drops the queued messages."""
        self.close_reason = self.close_reason or reason
        self.stream.close()

    def flush(self) -> None:
        """Writes the queued messages as one batch."""
        if self.queue and not self.close_reason:
            messages, self.queue = self.queue, []
            self.write(messages)

    def write(self, messages: list[Message]) -> None:
        """Writes a batch, split into several frames if it is too large."""
        try:
            data = wire.encode(messages)
        except wire.WireError as error:
            self.write_split(messages, error)
            return
        self.sent_at = self.loop.time()
        frame = framing.add_length(data)
        self.traffic.frames_sent += 1
        self.traffic.bytes_sent += len(frame)
        if self.stream.closed():
            self.abort(REASON_LOST)
            return
        if self.stream.bytes_waiting + len(frame) > WRITE_BUFFER_BYTES:
            self.abort(REASON_SLOW)
            return
        self.stream.write(frame)
        if self.stream.is_stalled and self.stalled_at is None:
            self.stalled_at = self.sent_at

    def write_split(
        self, messages: list[Message], error: wire.WireError
    ) -> None:
        """Writes the two halves of a batch that could not be encoded.

        A single message that cannot be encoded is dropped.
        """
        if len(messages) == 1:
            logs.error(
                "message_dropped",
                peer=self.node,
                message=type(messages[0]).__name__,
                kind=error.kind,
                remedy=error.remedy,
            )
            return
        middle = len(messages) // 2
        self.write(messages[:middle])
        self.write(messages[middle:])

    def on_drained(self) -> None:
        """Records that no written bytes are waiting."""
        self.stalled_at = None

    async def serve(self, on_messages: OnMessages) -> None:
        """Delivers batches until the link closes, and sets `close_reason`."""
        self.on_messages = on_messages
        self.schedule_tick()
        try:
            await self.stream.serve(self.on_bytes)
            self.abort(REASON_LOST)
        finally:
            self.abort(REASON_LOCAL)
            for timer in (self.timer, self.abort_timer):
                if timer:
                    timer.cancel()

    def on_bytes(self, data: memoryview) -> None:
        """Delivers the batches that are complete with these bytes."""
        self.buffer += data
        self.traffic.bytes_received += len(data)
        self.received_at = self.loop.time()
        try:
            for frame in framing.take_frames(self.buffer):
                self.deliver(frame)
        except wire.WireError as error:
            self.abort(error.kind)

    def deliver(self, frame: bytes) -> None:
        """Decodes one frame and passes its messages to the handler."""
        messages = wire.decode(frame)
        if messages:
            _call(self, self.on_messages, self, messages)

    def schedule_tick(self) -> None:
        """Schedules the next liveness check."""
        keepalive_s = self.options.keepalive_s
        due_at = max(
            self.sent_at + keepalive_s, self.loop.time() + keepalive_s / 2
        )
        self.timer = self.loop.call_at(due_at, self.tick, due_at)

    def tick(self, due_at: float) -> None:
        """Sends a keepalive if idle, and closes a silent or slow link."""
        now_s = self.loop.time()
        if now_s - due_at > self.options.keepalive_s:
            # This process was paused, and bytes that arrived meanwhile have
            # not been read yet, so the silence is not the peer's.
            self.received_at = now_s
            self.stalled_at = self.stalled_at and now_s
        if now_s - self.received_at > self.options.liveness_s:
            self.abort(REASON_SILENT)
            return
        self.check_progress(now_s)
        if now_s - (self.stalled_at or now_s) > self.options.liveness_s:
            self.abort(REASON_SLOW)
            return
        if now_s - self.sent_at >= self.options.keepalive_s:
            self.send_keepalive()
        self.schedule_tick()

    def check_progress(self, now_s: float) -> None:
        """Records whether waiting bytes have been sent since the last check."""
        if self.stalled_at is not None:
            sent_bytes = self.stream.bytes_sent
            if sent_bytes > self.sent_bytes > 0:
                self.stalled_at = now_s
            self.sent_bytes = sent_bytes

    def send_keepalive(self) -> None:
        """Writes an empty batch."""
        if not self.queue and not self.close_reason:
            self.write([])


class LinkServer:
    """Accepts links at the peer address from the settings.

    Attributes:
        tls: TLS context; None for plain TCP.
        address: The `host:port` it listens on, once started.
        sockets: The listening sockets.
        stop_accepting: Functions that stop accepting at each of them.
        options_by_role: Settings of the links with peers of a role, where they
            differ from those of the process.
        peers: The open links by node id.
        handshakes: The connections whose handshake is not complete.
        traffic: Traffic counters; may be shared with other links.
    """

    def __init__(
        self,
        options: EntrySettings,
        node: str,
        role: str,
        on_messages: OnMessages,
        on_open: OnPeer,
        on_close: OnPeer,
        options_by_role: Mapping[str, Settings] | None = None,
    ):
        self.tls = tls.server_tls(options)
        self.options = options
        self.options_by_role = options_by_role or {}
        self.node = node
        self.role = role
        self.on_messages = on_messages
        self.on_open = on_open
        self.on_close = on_close
        self.traffic = Traffic()
        self.address = ""
        self.peers: dict[str, Peer] = {}
        self.handshakes = OpenHandshakes(options.max_handshakes)
        self.sockets: list[socket.socket] = []
        self.stop_accepting: list[Callable[[], None]] = []
        self.streams: dict[LinkStream, asyncio.Task] = {}
        self.tasks: set[asyncio.Task] = set()

    def start(self, listening: socket.socket | None = None) -> None:
        """Starts accepting links.

        Args:
            listening: The listening socket; None to open one at the peer
                address from the settings.
        """
        host, port = settings.split_address(self.options.peer_address)
        self.sockets = (
            [listening] if listening else netutil.bind_sockets(port, host)
        )
        self.address = settings.join_address(*self.sockets[0].getsockname()[:2])
        self.stop_accepting = [
            netutil.add_accept_handler(each, self.on_accepted)
            for each in self.sockets
        ]

    async def close(self) -> None:
        """Stops listening and closes all links, within CLOSE_TIMEOUT_S."""
        for stop in self.stop_accepting:
            stop()
        for listening in self.sockets:
            listening.close()
        for peer in tuple(self.peers.values()):
            peer.close()
        peer_streams = {peer.stream for peer in self.peers.values()}
        for stream in tuple(self.streams):
            if stream not in peer_streams:
                stream.close()
        if self.tasks:
            await asyncio.wait(tuple(self.tasks), timeout=2 * CLOSE_TIMEOUT_S)

    def on_accepted(self, connection: socket.socket, address: tuple) -> None:
        """Serves an accepted connection in the background."""
        task = asyncio.get_running_loop().create_task(
            self.handle_connection(connection, address)
        )
        self.tasks.add(task)
        task.add_done_callback(functools.partial(self.on_done, connection))
        excess = self.handshakes.add(task, address[0])
        if excess is not None:
            logs.warning(
                "link_handshake_dropped",
                open=self.handshakes.limit,
                remedy="see whose connections fill link_port",
            )
            excess.cancel()

    def on_done(self, connection: socket.socket, task: asyncio.Task) -> None:
        """Releases a connection that has been served.

        The task of a dropped one may have ended before it began.
        """
        self.tasks.discard(task)
        self.handshakes.remove(task)
        connection.close()

    async def handle_connection(
        self, connection: socket.socket, address: tuple
    ) -> None:
        """Serves one connection until it closes."""
        remote_address = settings.join_address(*address[:2])
        try:
            async with asyncio.timeout(self.options.liveness_s):
                loop = asyncio.get_running_loop()
                _, stream = await loop.connect_accepted_socket(
                    LinkStream, connection, ssl=self.tls
                )
        except (OSError, TimeoutError) as error:
            connection.close()
            _log_failure(logging.WARNING, "link_refused", remote_address, error)
            return
        await self.handle_stream(stream, remote_address)

    async def handle_stream(
        self, stream: LinkStream, remote_address: str
    ) -> None:
        """Serves one open connection until it closes."""
        self.streams[stream] = asyncio.current_task()
        try:
            hello = await _with_timeout(
                self.options,
                handshake.accept(stream, self.options, self.hello()),
            )
        except (util.EgretthreadError, OSError, TimeoutError) as error:
            _log_failure(logging.WARNING, "link_refused", remote_address, error)
        else:
            self.handshakes.remove(asyncio.current_task())
            options = self.options_by_role.get(hello.role, self.options)
            await self.serve(
                Peer(stream, hello, remote_address, options, self.traffic)
            )
        finally:
            stream.close()
            del self.streams[stream]

    async def serve(self, peer: Peer) -> None:
        """Serves an authenticated peer until its link closes."""
        previous = self.peers.get(peer.node)
        if previous:
            # The node has reconnected, so its previous link is dead.
            self.remove(previous, REASON_SUPERSEDED)
        self.peers[peer.node] = peer
        _report_open(peer, self.on_open)
        await peer.serve(self.on_messages)
        self.remove(peer, REASON_LOST)

    def remove(self, peer: Peer, reason: str) -> None:
        """Closes a link and calls `on_close`, unless already done."""
        if self.peers.get(peer.node) is peer:
            del self.peers[peer.node]
            peer.abort(reason)
            _report_close(peer, self.on_close)

    def hello(self) -> wire.Hello:
        """Returns the first frame for a new connection."""
        return handshake.new_hello(self.node, self.role)


class LinkClient:
    """Keeps one link to an address open and reconnects when it closes.

    Attributes:
        address: The `host:port` it connects to.
        peer: The other end, or None while there is no link.
        backoff_max_s: Upper bound of the wait between two attempts.
        last_error: The error of the last attempt; None after a success.
        traffic: Traffic counters; may be shared with other links.
    """

    def __init__(
        self,
        address: str,
        options: Settings,
        node: str,
        role: str,
        on_messages: OnMessages,
        on_open: OnPeer,
        on_close: OnPeer,
        rng: random.Random | None = None,
        backoff_max_s: float = BACKOFF_MAX_S,
    ):
        self.address = address
        self.options = options
        self.node = node
        self.role = role
        self.on_messages = on_messages
        self.on_open = on_open
        self.on_close = on_close
        self.rng = rng or random.Random()
        self.backoff_max_s = backoff_max_s
        self.traffic = Traffic()
        self.peer: Peer | None = None
        self.last_error: Exception | None = None
        self.failures = 0
        self.attempts = 0
        self.closing = False
        self.tls = tls.client_tls(options)
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts connecting in the background."""
        self.task = asyncio.get_running_loop().create_task(self.run())

    async def close(self) -> None:
        """Closes the link and stops connecting, within CLOSE_TIMEOUT_S."""
        self.closing = True
        if self.task is None:
            return
        if self.peer:
            self.peer.close()
            await asyncio.wait((self.task,), timeout=2 * CLOSE_TIMEOUT_S)
        self.task.cancel()
        await asyncio.wait((self.task,))

    async def run(self) -> None:
        """Connects and serves until this end is closed."""
        loop = asyncio.get_running_loop()
        while not self.closing:
            started_at = loop.time()
            await self.connect_once()
            # Only a link that stayed open for a while shows that the other
            # end works, so a short one does not reset the backoff.
            duration_s = loop.time() - started_at
            if self.last_error is None and duration_s > self.options.liveness_s:
                self.failures = 0
            if not self.closing:
                await asyncio.sleep(
                    backoff_s(self.failures, self.rng, self.backoff_max_s)
                )
            self.failures += 1

    async def connect_once(self) -> None:
        """Connects and serves one link until it closes."""
        try:
            stream, hello = await _with_timeout(self.options, self.connect())
        except (util.EgretthreadError, OSError, TimeoutError) as error:
            repeated = type(error) is type(self.last_error)
            self.last_error = error
            level = logging.DEBUG if repeated else logging.WARNING
            _log_failure(level, "link_failed", self.address, error)
            return
        self.last_error = None
        await self.serve(
            Peer(stream, hello, self.address, self.options, self.traffic)
        )

    async def connect(self) -> tuple[LinkStream, wire.Hello]:
        """Connects and does the handshake.

        Returns:
            The stream, and the other end's hello.
        """
        host, port = settings.split_address(self.address)
        timeout_s = CONNECT_TIMEOUTS_S[self.attempts % len(CONNECT_TIMEOUTS_S)]
        self.attempts += 1
        async with asyncio.timeout(timeout_s):
            connection = await _open_socket(host, port)
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(
            LinkStream,
            sock=connection,
            ssl=self.tls,
            server_hostname=host if self.tls else None,
        )
        try:
            hello = handshake.new_hello(self.node, self.role)
            return stream, await handshake.initiate(stream, self.options, hello)
        except BaseException:
            stream.close()
            raise

    async def serve(self, peer: Peer) -> None:
        """Serves an authenticated peer until its link closes."""
        self.peer = peer
        _report_open(peer, self.on_open)
        try:
            await peer.serve(self.on_messages)
        finally:
            self.peer = None
            _report_close(peer, self.on_close)


def backoff_s(
    failures: int, rng: random.Random, max_s: float = BACKOFF_MAX_S
) -> float:
    """Returns how long to wait before the next attempt to connect.

    Args:
        failures: Attempts since a link last stayed open for `liveness_s`.
        rng: Source of the jitter.
        max_s: Upper bound of the wait.
    """
    limit_s = min(max_s, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return limit_s * rng.uniform(0.5, 1.0)


async def _open_socket(host: str, port: int) -> socket.socket:
    """Opens a TCP connection."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connection = socket.socket(family)
    connection.setblocking(False)
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return connection


async def _with_timeout(options: Settings, opening):
    """Awaits the opening of a link for at most liveness_s."""
    # Unlike wait_for of Python 3.11, this never swallows a cancellation.
    async with asyncio.timeout(options.liveness_s):
        return await opening


def _report_open(peer: Peer, on_open: OnPeer) -> None:
    logs.info("link_opened", peer=peer.node, address=peer.address)
    _call(peer, on_open, peer)


def _report_close(peer: Peer, on_close: OnPeer) -> None:
    logs.info(
        "link_closed",
        peer=peer.node,
        address=peer.address,
        reason=peer.close_reason,
    )
    _call(peer, on_close, peer)


def _call(peer: Peer, handler: Callable, *args: object) -> None:
    """Calls a handler and logs its exceptions, so that the link stays open."""
    try:
        handler(*args)
    except Exception:
        logs.exception("link_handler_failed", peer=peer.node)


def _log_failure(level: int, name: str, address: str, error: Exception) -> None:
    kind = getattr(error, "kind", "") or type(error).__name__
    logs.event(level, name, address=address, kind=kind, error=str(error))
