"""Tests of the connection of a link without a network."""

import asyncio

import testtools

from egretthread import linkstream
from tests.aio import run_async

MAX_PENDING_BYTES = linkstream.MAX_PENDING_BYTES


class Source:
    """Transport that passes bytes to a stream while reading isn't paused.

    Attributes:
        stream: The stream.
        left: Bytes that the stream has not read yet.
    """

    def __init__(self, stream, left):
        self.stream = stream
        self.left = left
        self.is_paused = False
        stream.connection_made(self)
        self.read()

    def read(self):
        while self.left and not self.is_paused:
            buffer = self.stream.get_buffer(-1)
            size = min(len(buffer), len(self.left))
            assert size, "an empty buffer closes the connection"
            buffer[:size] = self.left[:size]
            self.left = self.left[size:]
            self.stream.buffer_updated(size)

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        if self.is_paused:
            self.is_paused = False
            asyncio.get_running_loop().call_soon(self.read)

    def set_write_buffer_limits(self, high):
        pass

    def is_closing(self):
        return False


def numbered(size):
    """Returns bytes of which each part differs."""
    return bytes(index * 7 % 251 for index in range(size))


class LinkStreamTest(testtools.TestCase):
    # Guards against an end by memory: what a foreign connection sent before
    # its handshake was read without bound.
    @run_async
    async def test_no_more_than_a_handshake_frame_waits(self):
        stream = linkstream.LinkStream()
        source = Source(stream, numbered(20 * MAX_PENDING_BYTES))
        self.assertEqual(MAX_PENDING_BYTES, len(stream.pending))
        await stream.read_bytes(4)
        await asyncio.sleep(0)
        self.assertEqual(MAX_PENDING_BYTES, len(stream.pending))
        self.assertTrue(source.is_paused)

    @run_async
    async def test_all_bytes_arrive_in_order(self):
        sent = numbered(10 * MAX_PENDING_BYTES)
        stream = linkstream.LinkStream()
        Source(stream, sent)
        received = bytearray()
        for count in (4, 0, MAX_PENDING_BYTES, 1, 0, MAX_PENDING_BYTES - 1):
            received += await stream.read_bytes(count)
        serving = asyncio.create_task(stream.serve(received.extend))
        while len(received) < len(sent):
            await asyncio.sleep(0)
        self.assertEqual(sent, bytes(received))
        stream.connection_lost(None)
        await serving

    @run_async
    async def test_a_served_connection_is_not_paused(self):
        stream = linkstream.LinkStream()
        received = bytearray()
        serving = asyncio.create_task(stream.serve(received.extend))
        source = Source(stream, b"")
        await asyncio.sleep(0)
        source.left = numbered(3 * MAX_PENDING_BYTES)
        source.read()
        self.assertEqual(3 * MAX_PENDING_BYTES, len(received))
        stream.connection_lost(None)
        await serving
