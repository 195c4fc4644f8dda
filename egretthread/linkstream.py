"""The TCP connection of a link: awaited reads at first, callbacks later."""

import asyncio
from collections.abc import Callable

from egretthread import framing, wire
from egretthread.readbuffer import READ_BUFFER

# Bytes of the largest handshake frame. No more are read before `serve`, since
# anyone may send them.
MAX_PENDING_BYTES = framing.LENGTH.size + wire.MAX_HANDSHAKE_BYTES


class StreamLostError(ConnectionError):
    """The connection ended before the expected bytes arrived."""


class LinkStream(asyncio.BufferedProtocol):
    """A TCP or TLS connection.

    The handshake awaits its bytes from `read_bytes`. From `serve` on, received
    bytes are passed to a callback, which costs one wake-up for each arrival.

    Attributes:
        transport: The transport; None until the connection is open.
        pending: Bytes received for `read_bytes`, at most MAX_PENDING_BYTES;
            reading is paused while there are as many.
        arrived: Set when bytes have arrived or the connection has closed.
        lost: Future that is done when the connection has closed.
        on_bytes: Callback for received bytes; None before `serve`.
        on_drained: Called when all written bytes have been passed to the
            network after some had to wait.
        is_stalled: Whether written bytes are waiting.
        bytes_written: Number of bytes written so far.
    """

    def __init__(self):
        self.transport: asyncio.Transport | None = None
        self.pending = bytearray()
        self.arrived = asyncio.Event()
        self.lost = asyncio.get_running_loop().create_future()
        self.on_bytes: Callable[[memoryview], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.is_stalled = False
        self.bytes_written = 0

    @property
    def bytes_sent(self) -> int:
        """Number of bytes passed to the network so far."""
        return self.bytes_written - self.transport.get_write_buffer_size()

    @property
    def bytes_waiting(self) -> int:
        """Number of written bytes that wait to be passed to the network."""
        return self.transport.get_write_buffer_size()

    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self.transport is not None and self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Writes bytes; what can't be sent at once waits in a buffer."""
        self.bytes_written += len(data)
        self.transport.write(data)

    async def read_bytes(self, count: int) -> bytes:
        """Returns the next bytes; used before `serve` only.

        Args:
            count: Number of bytes, at most MAX_PENDING_BYTES.

        Raises:
            StreamLostError: The connection closed before they arrived.
        """
        while len(self.pending) < count:
            if self.closed():
                raise StreamLostError("the connection was closed")
            self.arrived.clear()
            await self.arrived.wait()
        data = bytes(self.pending[:count])
        del self.pending[:count]
        if count:
            self.transport.resume_reading()
        return data

    async def serve(self, on_bytes: Callable[[memoryview], None]) -> None:
        """Passes received bytes to a callback until the connection closes."""
        self.on_bytes = on_bytes
        if self.pending:
            pending, self.pending = self.pending, bytearray()
            on_bytes(memoryview(pending))
        self.transport.resume_reading()
        await asyncio.shield(self.lost)

    def close(self) -> None:
        """Closes the connection at once; waiting bytes are dropped."""
        if self.transport is not None:
            self.transport.abort()

    def finish_writing(self) -> None:
        """Shuts down the sending direction once all bytes have been sent.

        Closing the connection at once could discard data that the other end
        has not read yet. TLS connections have no separate directions.
        """
        if self.closed():
            return
        if not self.transport.can_write_eof():
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:
            # The other end has reset the connection.
            self.transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport of the opened connection."""
        self.transport = transport
        # The protocol is told as soon as any written byte has to wait.
        transport.set_write_buffer_limits(high=0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that received bytes are read into."""
        if self.on_bytes is not None:
            return READ_BUFFER
        return READ_BUFFER[: MAX_PENDING_BYTES - len(self.pending)]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on received bytes."""
        if self.on_bytes is not None:
            self.on_bytes(READ_BUFFER[:nbytes])
            return
        self.pending += READ_BUFFER[:nbytes]
        if len(self.pending) >= MAX_PENDING_BYTES:
            self.transport.pause_reading()
        self.arrived.set()

    def eof_received(self) -> bool:
        """Closes the connection, as the other end has finished."""
        return False

    def pause_writing(self) -> None:
        """Records that written bytes are waiting."""
        self.is_stalled = True

    def resume_writing(self) -> None:
        """Records that no written bytes are waiting any more."""
        self.is_stalled = False
        if self.on_drained is not None:
            self.on_drained()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the wait for bytes and for the end of the connection."""
        if not self.lost.done():
            self.lost.set_result(None)
        self.arrived.set()
