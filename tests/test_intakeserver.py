"""Tests of the HTTP server that bounds what its clients make it hold."""

import asyncio
import collections

import testtools
import tornado.netutil
import tornado.web

from egretthread.intake import IntakeLimits
from egretthread.intakeserver import IntakeServer
from tests.aio import run_async

LIMITS = IntakeLimits(total_bytes=200_000, connections=16)
BODY_BYTES = 60_000


class Echo(tornado.web.RequestHandler):
    def post(self):
        self.finish(str(len(self.request.body)))


class TestIntakeServer(testtools.TestCase):
    def start(self):
        self.counters = collections.Counter()
        self.server = IntakeServer(
            tornado.web.Application([(r".*", Echo)]),
            LIMITS,
            lambda: BODY_BYTES,
            self.counters,
        )
        (listening,) = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self.port = listening.getsockname()[1]
        self.server.add_sockets([listening])

    async def close(self):
        self.server.stop()
        await self.server.close_all_connections()

    async def send(self, fields, body):
        """Sends one request; returns all that is received."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{fields}"
        writer.write(f"{head}\r\n\r\n".encode() + body)
        try:
            return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    @run_async
    async def test_a_body_of_the_largest_size_is_served(self):
        self.start()
        answer = await self.send(
            f"Content-Length: {BODY_BYTES}", b"x" * BODY_BYTES
        )
        self.assertIn(b"200 OK", answer)
        self.assertTrue(answer.endswith(str(BODY_BYTES).encode()))
        await self.close()
        self.assertEqual(0, self.server.intake.total_bytes)
        self.assertEqual(set(), self.server.intake.clients)

    @run_async
    async def test_a_body_that_announces_too_much_is_refused(self):
        self.start()
        answer = await self.send(f"Content-Length: {BODY_BYTES + 1}", b"")
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
        self.assertEqual(1, answer.count(b"HTTP/1.1"))
        await self.close()

    @run_async
    async def test_a_chunked_body_that_grows_too_large_is_refused(self):
        self.start()
        chunk = b"3e8\r\n" + b"x" * 1000 + b"\r\n"
        answer = await self.send("Transfer-Encoding: chunked", chunk * 61)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
        await self.close()

    @run_async
    async def test_a_chunked_body_with_many_lines_is_served(self):
        self.start()
        content = b"[1, 2]\r\n" * 7_500
        chunk = f"{len(content):x}\r\n".encode() + content + b"\r\n"
        answer = await self.send(
            "Transfer-Encoding: chunked", chunk + b"0\r\n\r\n"
        )
        self.assertTrue(answer.endswith(str(len(content)).encode()))
        await self.close()

    # Guards against a process that hangs over chunks of one byte.
    @run_async
    async def test_a_body_in_chunks_of_one_byte_is_not_read_to_its_end(self):
        self.start()
        await self.send("Transfer-Encoding: chunked", b"1\r\nx\r\n" * 15_000)
        self.assertEqual(1, self.counters["connections_closed_small_chunks"])
        await self.close()

    @run_async
    async def test_requests_on_one_connection_are_served_in_turn(self):
        self.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
        writer.write((request + b"x" * 9000) * 20)
        for _ in range(20):
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b"200 OK", head)
            self.assertEqual(b"9000", await reader.readexactly(4))
        writer.close()
        await self.close()
