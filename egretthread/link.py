"""Framed, authenticated links between the system's processes over TCP.

A frame is its length in 4 bytes, big-endian, and a capnp message. Both ends
prove the shared key before the first batch. Messages that are sent within
one turn of the event loop travel in one batch. A link on which nothing
arrives for `liveness_s` counts as silent and is closed; the client connects
afresh.
"""

import asyncio
import dataclasses
import logging
import random
import socket
from collections.abc import Callable

from tornado import iostream, netutil, tcpserver

from egretthread import framing, handshake, logs, settings, tls, util, wire
from egretthread.message import Message
from egretthread.settings import AgentSettings, EntrySettings

CHUNK_BYTES = 65_536
WRITE_BUFFER_BYTES = 2 * wire.MAX_FRAME_BYTES
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 2.0
CLOSE_TIMEOUT_S = 1.0
# Reasons for which a link closes.
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
    """What the links of one process have carried, handshakes left out.

    Attributes:
        frames_sent: Batches written, keepalives included.
        bytes_sent: Bytes of these batches.
        bytes_received: Bytes read.
    """

    frames_sent: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class Peer:
    """The other end of an open link.

    Attributes:
        node: Its node id.
        role: `entry` or `agent`.
        address: Its `host:port` as seen from here.
        close_reason: Why the link closed; empty while it is open.
        received_at: Loop time at which bytes last arrived, in seconds.
        sent_at: Loop time at which a batch was last sent, in seconds.
        stalled_at: Loop time since which written bytes wait, or None.
        traffic: Counts what this and the process's other links carry.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        hello: wire.Hello,
        address: str,
        options: Settings,
        traffic: Traffic,
    ):
        stream.max_write_buffer_size = WRITE_BUFFER_BYTES
        self.stream = stream
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
        self.timer: asyncio.TimerHandle | None = None
        self.abort_timer: asyncio.TimerHandle | None = None

    def send(self, message: Message) -> None:
        """Queues a message for the batch of this turn of the event loop.

        Messages sent after the link has closed are dropped.
        """
        if self.close_reason:
            return
        if not self.queue:
            self.loop.call_soon(self.flush)
        self.queue.append(message)

    def close(self, reason: str = REASON_LOCAL) -> None:
        """Sends what is queued, then closes, within CLOSE_TIMEOUT_S."""
        if self.close_reason:
            return
        self.flush()
        self.close_reason = self.close_reason or reason
        self.abort_timer = self.loop.call_later(
            CLOSE_TIMEOUT_S, self.stream.close
        )
        if self.stalled_at is None:
            self.end_writing()

    def abort(self, reason: str) -> None:
        """Closes at once and drops what is queued."""
        self.close_reason = self.close_reason or reason
        self.stream.close()

    def flush(self) -> None:
        """Writes the queued messages as one batch."""
        if self.queue and not self.close_reason:
            messages, self.queue = self.queue, []
            self.write(messages)

    def write(self, messages: list[Message]) -> None:
        """Writes a batch, in halves when it exceeds a frame."""
        try:
            data = wire.encode(messages)
        except wire.WireError as error:
            self.write_halves(messages, error)
            return
        self.sent_at = self.loop.time()
        frame = framing.add_length(data)
        self.traffic.frames_sent += 1
        self.traffic.bytes_sent += len(frame)
        try:
            self.watch(self.stream.write(frame))
        except iostream.StreamBufferFullError:
            self.abort(REASON_SLOW)
        except iostream.StreamClosedError:
            self.abort(REASON_LOST)

    def write_halves(
        self, messages: list[Message], error: wire.WireError
    ) -> None:
        """Writes what can be sent of a batch that could not be encoded."""
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

    def watch(self, written: asyncio.Future) -> None:
        """Notes since when bytes have been waiting to be written."""
        if written.done():
            return
        if self.stalled_at is None:
            self.stalled_at = self.loop.time()
        written.add_done_callback(self.on_written)

    def on_written(self, written: asyncio.Future) -> None:
        """Notes that the stream made progress."""
        if written.cancelled() or written.exception():
            return
        if self.stream.writing():
            self.stalled_at = self.loop.time()
            return
        self.stalled_at = None
        if self.close_reason:
            self.end_writing()

    def end_writing(self) -> None:
        """Ends this direction, so that the other end reads all of it.

        Closing the socket outright could discard what the other end has
        not read yet.
        """
        if self.stream.closed():
            return
        if isinstance(self.stream, iostream.SSLIOStream):
            self.stream.close()
            return
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.stream.close()

    async def serve(self, on_messages: OnMessages) -> None:
        """Reads batches until the link closes; sets close_reason."""
        self.schedule_tick()
        buffer = bytearray()
        try:
            while True:
                chunk = await self.stream.read_bytes(CHUNK_BYTES, partial=True)
                buffer += chunk
                self.traffic.bytes_received += len(chunk)
                self.received_at = self.loop.time()
                for frame in framing.take_frames(buffer):
                    self.deliver(frame, on_messages)
        except iostream.StreamClosedError:
            self.abort(REASON_LOST)
        except wire.WireError as error:
            self.abort(error.kind)
        finally:
            self.abort(REASON_LOCAL)
            for timer in (self.timer, self.abort_timer):
                if timer:
                    timer.cancel()

    def deliver(self, frame: bytes, on_messages: OnMessages) -> None:
        """Hands the messages of one frame on."""
        messages = wire.decode(frame)
        if messages:
            _call(self, on_messages, self, messages)

    def schedule_tick(self) -> None:
        """Plans the next look at the link's liveness."""
        keepalive_s = self.options.keepalive_s
        due_at = max(
            self.sent_at + keepalive_s, self.loop.time() + keepalive_s / 2
        )
        self.timer = self.loop.call_at(due_at, self.tick, due_at)

    def tick(self, due_at: float) -> None:
        """Sends a keepalive when idle, and closes a silent or slow link."""
        now_s = self.loop.time()
        if now_s - due_at > self.options.keepalive_s:
            # This process was paused; what has arrived is not read yet.
            self.received_at = now_s
            self.stalled_at = self.stalled_at and now_s
        if now_s - self.received_at > self.options.liveness_s:
            self.abort(REASON_SILENT)
            return
        if now_s - (self.stalled_at or now_s) > self.options.liveness_s:
            self.abort(REASON_SLOW)
            return
        if now_s - self.sent_at >= self.options.keepalive_s:
            self.send_keepalive()
        self.schedule_tick()

    def send_keepalive(self) -> None:
        """Writes an empty batch."""
        if not self.queue and not self.close_reason:
            self.write([])


class LinkServer(tcpserver.TCPServer):
    """Accepts links at the settings' peer address.

    Attributes:
        address: The `host:port` it listens on, once started.
        peers: The open links by node id.
        traffic: What the links carry; may be shared with other links.
    """

    def __init__(
        self,
        options: EntrySettings,
        node: str,
        role: str,
        on_messages: OnMessages,
        on_open: OnPeer,
        on_close: OnPeer,
    ):
        super().__init__(ssl_options=tls.server_tls(options))
        self.options = options
        self.node = node
        self.role = role
        self.on_messages = on_messages
        self.on_open = on_open
        self.on_close = on_close
        self.traffic = Traffic()
        self.address = ""
        self.peers: dict[str, Peer] = {}
        self.streams: dict[iostream.IOStream, asyncio.Task] = {}

    def start(self) -> None:
        """Listens for links."""
        host, port = settings.split_address(self.options.peer_address)
        sockets = netutil.bind_sockets(port, host)
        self.add_sockets(sockets)
        self.address = settings.join_address(*sockets[0].getsockname()[:2])

    async def close(self) -> None:
        """Stops listening and closes all links, within CLOSE_TIMEOUT_S."""
        self.stop()
        for peer in tuple(self.peers.values()):
            peer.close()
        open_nodes = {peer.stream for peer in self.peers.values()}
        for stream in tuple(self.streams):
            if stream not in open_nodes:
                stream.close()
        tasks = tuple(self.streams.values())
        if tasks:
            await asyncio.wait(tasks, timeout=2 * CLOSE_TIMEOUT_S)

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple
    ) -> None:
        """Serves one connection until it closes."""
        self.streams[stream] = asyncio.current_task()
        where = settings.join_address(*address[:2])
        try:
            hello = await _bounded(
                self.options,
                handshake.accept(stream, self.options, self.hello()),
            )
        except (util.EgretthreadError, OSError, TimeoutError) as error:
            _log_failure(logging.WARNING, "link_refused", where, error)
        else:
            await self.serve(
                Peer(stream, hello, where, self.options, self.traffic)
            )
        finally:
            stream.close()
            del self.streams[stream]

    async def serve(self, peer: Peer) -> None:
        """Serves an authenticated peer until its link closes."""
        previous = self.peers.get(peer.node)
        if previous:
            # The node has dialled afresh: its older link went silent.
            self.forget(previous, REASON_SUPERSEDED)
        self.peers[peer.node] = peer
        _open(peer, self.on_open)
        await peer.serve(self.on_messages)
        self.forget(peer, REASON_LOST)

    def forget(self, peer: Peer, reason: str) -> None:
        """Closes a peer and reports it, unless that was done before."""
        if self.peers.get(peer.node) is peer:
            del self.peers[peer.node]
            peer.abort(reason)
            _close(peer, self.on_close)

    def hello(self) -> wire.Hello:
        """Returns the first frame for a new connection."""
        return handshake.new_hello(self.node, self.role)


class LinkClient:
    """Keeps one link to an address open, connecting afresh when it closes.

    Attributes:
        address: The `host:port` it connects to.
        peer: The other end, or None while there is no link.
        last_error: The error of the last attempt; None after a success.
        traffic: What the link carries; may be shared with other links.
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
    ):
        self.address = address
        self.options = options
        self.node = node
        self.role = role
        self.on_messages = on_messages
        self.on_open = on_open
        self.on_close = on_close
        self.rng = rng or random.Random()
        self.traffic = Traffic()
        self.peer: Peer | None = None
        self.last_error: Exception | None = None
        self.failures = 0
        self.closing = False
        self.tls = tls.client_tls(options)
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        """Begins to connect."""
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
            # Only a link that lasted shows that the other end is well.
            lasted_s = loop.time() - started_at
            if self.last_error is None and lasted_s > self.options.liveness_s:
                self.failures = 0
            if not self.closing:
                await asyncio.sleep(backoff_s(self.failures, self.rng))
            self.failures += 1

    async def connect_once(self) -> None:
        """Connects and serves one link until it closes."""
        try:
            stream, hello = await _bounded(self.options, self.dial())
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

    async def dial(self) -> tuple[iostream.IOStream, wire.Hello]:
        """Connects and proves the key.

        Returns:
            The stream, and what the other end says of itself.
        """
        host, port = settings.split_address(self.address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        stream = iostream.IOStream(socket.socket(family))
        try:
            await stream.connect((host, port))
            if self.tls:
                stream = await stream.start_tls(False, self.tls)
            hello = handshake.new_hello(self.node, self.role)
            return stream, await handshake.introduce(
                stream, self.options, hello
            )
        except BaseException:
            stream.close()
            raise

    async def serve(self, peer: Peer) -> None:
        """Serves an authenticated peer until its link closes."""
        self.peer = peer
        _open(peer, self.on_open)
        try:
            await peer.serve(self.on_messages)
        finally:
            self.peer = None
            _close(peer, self.on_close)


def backoff_s(failures: int, rng: random.Random) -> float:
    """Returns how long to wait before the next attempt to connect.

    Args:
        failures: Attempts that failed since a link last lasted.
        rng: Source of the jitter.
    """
    longest_s = min(BACKOFF_MAX_S, BACKOFF_BASE_S * 2 ** min(failures, 16))
    return longest_s * rng.uniform(0.5, 1.0)


async def _bounded(options: Settings, opening):
    """Awaits the opening of a link for at most liveness_s."""
    # Unlike wait_for of Python 3.11, this never swallows a cancellation.
    async with asyncio.timeout(options.liveness_s):
        return await opening


def _open(peer: Peer, on_open: OnPeer) -> None:
    logs.info("link_opened", peer=peer.node, address=peer.address)
    _call(peer, on_open, peer)


def _close(peer: Peer, on_close: OnPeer) -> None:
    logs.info(
        "link_closed",
        peer=peer.node,
        address=peer.address,
        reason=peer.close_reason,
    )
    _call(peer, on_close, peer)


def _call(peer: Peer, handler: Callable, *args: object) -> None:
    """Calls a handler, whose faults must not end the link."""
    try:
        handler(*args)
    except Exception:
        logs.exception("link_handler_failed", peer=peer.node)


def _log_failure(level: int, name: str, address: str, error: Exception) -> None:
    kind = getattr(error, "kind", "") or type(error).__name__
    logs.event(level, name, address=address, kind=kind, error=str(error))
