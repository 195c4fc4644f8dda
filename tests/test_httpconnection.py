"""Tests of the HTTP client connection and its pool."""

import asyncio
import os

import testtools

from egretthread import backendpool, httpconnection
from tests.aio import TEST_TIMEOUT_S

MAX_BODY_BYTES = 1000

# An address of this process alone. Requests that other programs still send to
# the former owner of a port would count as connections.
HOST = "127.9.{}.{}".format(*divmod(os.getpid() % 65_000 + 256, 256))


class ScriptedServer:
    """Answers each request with the next scripted parts, sent apart.

    Attributes:
        replies: Parts of the reply to each request.
        requests: Bytes of the heads and bodies read.
        connections: Number of connections accepted.
    """

    def __init__(self, *replies, close=False):
        self.replies = list(replies)
        self.close = close
        self.requests = []
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            body = await reader.readexactly(2)
            self.requests.append(head + body)
            for part in self.replies.pop(0):
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.005)
            if self.close:
                break
        writer.close()


def exchange(server, requests=1, first_timeout_s=TEST_TIMEOUT_S):
    """Returns the responses to some requests, or the errors."""

    async def scenario():
        port = await server.start()
        pool = backendpool.ConnectionPool(
            f"http://{HOST}:{port}", 1, MAX_BODY_BYTES
        )
        results = []
        timeout_s = first_timeout_s
        for _ in range(requests):
            try:
                response = await pool.request("/x", b"{}", timeout_s)
                results.append((response.code, response.body))
            except OSError as error:
                results.append(type(error))
            timeout_s = TEST_TIMEOUT_S
            # Lets the end of a connection arrive before the next request.
            await asyncio.sleep(0.1)
        idle = len(pool.idle)
        pool.close()
        server.server.close()
        return results, idle

    return asyncio.run(scenario())


class TestConnection(testtools.TestCase):
    def test_a_response_in_pieces_is_complete(self):
        reply = (b"HTTP/1.1 200 OK\r\nConte", b"nt-Length: 5\r\n\r\nhe", b"llo")
        server = ScriptedServer(reply, reply)
        results, idle = exchange(server, requests=2)
        self.assertEqual([(200, b"hello")] * 2, results)
        self.assertEqual(1, server.connections)
        self.assertEqual(1, idle)
        self.assertTrue(server.requests[0].startswith(b"POST /x HTTP/1.1\r\n"))
        self.assertIn(b"Content-Length: 2\r\n", server.requests[0])

    def test_a_chunked_response_is_complete(self):
        server = ScriptedServer(
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"3\r\nabc",
                b"\r\n2\r\nde\r\n0\r\n\r\n",
            )
        )
        results, idle = exchange(server)
        self.assertEqual([(200, b"abcde")], results)
        self.assertEqual(1, idle)

    def test_an_informational_response_is_skipped(self):
        server = ScriptedServer(
            (
                b"HTTP/1.1 100 Continue\r\n\r\n",
                b"HTTP/1.1 503 Busy\r\nContent-Length: 1\r\n\r\nx",
            )
        )
        results, idle = exchange(server)
        self.assertEqual([(503, b"x")], results)
        self.assertEqual(1, idle)

    # Guards against an end by memory: a header without end was read whole.
    def test_headers_are_limited(self):
        value = b"x" * (2 * httpconnection.MAX_HEADER_BYTES)
        for head in (
            b"HTTP/1.1 200 OK\r\nX-Long: " + value + b"\r\n",
            b"HTTP/1.1 200 OK\r\n" + b"X-A: b\r\n" * (len(value) // 8),
            b"HTTP/1.1 100 Continue\r\n\r\n" * (len(value) // 25)
            + b"HTTP/1.1 200 OK\r\n",
        ):
            server = ScriptedServer((head + b"Content-Length: 1\r\n\r\nx",))
            results, idle = exchange(server)
            self.assertEqual([httpconnection.ConnectionLostError], results)
            self.assertEqual(0, idle)

    def test_a_response_without_length_ends_with_the_connection(self):
        server = ScriptedServer(
            (b"HTTP/1.1 200 OK\r\n\r\nab", b"cd"), close=True
        )
        results, idle = exchange(server)
        self.assertEqual([(200, b"abcd")], results)
        self.assertEqual(0, idle)

    def test_a_closed_connection_is_not_reused(self):
        for head in (
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
            b"HTTP/1.0 200 OK\r\n",
        ):
            server = ScriptedServer(
                (head + b"Content-Length: 1\r\n\r\nx",), close=False
            )
            results, idle = exchange(server)
            self.assertEqual([(200, b"x")], results)
            self.assertEqual(0, idle)

    def test_a_broken_response_loses_the_request_and_its_connection(self):
        for parts in (
            (),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",),
            (b"NOT HTTP\r\n\r\n",),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000,),
        ):
            server = ScriptedServer(parts, close=True)
            results, idle = exchange(server)
            self.assertEqual([httpconnection.ConnectionLostError], results)
            self.assertEqual(0, idle)

    def test_a_late_response_does_not_answer_the_next_request(self):
        server = ScriptedServer(
            (b"",) * 60 + (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1",),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n2",),
        )
        results, _ = exchange(server, requests=2, first_timeout_s=0.1)
        self.assertEqual(TimeoutError, results[0])
        self.assertEqual((200, b"2"), results[1])
        self.assertEqual(2, server.connections)

    def test_unrequested_bytes_close_an_idle_connection(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
        server = ScriptedServer((reply, reply), (reply,))
        results, idle = exchange(server, requests=2)
        self.assertEqual([(200, b"x")] * 2, results)
        self.assertEqual(2, server.connections)
        self.assertEqual(1, idle)

    def test_the_begin_of_an_unrequested_response_is_not_read_on(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
        server = ScriptedServer(
            (reply + b"1" + reply,), (b"x" + reply + b"2",), (reply + b"3",)
        )
        results, _ = exchange(server, requests=2)
        self.assertEqual((200, b"1"), results[0])
        self.assertNotEqual((200, b"x"), results[1])
        self.assertEqual(2, server.connections)

    # Guards against idle connections that have gone silent together and cost
    # a timeout each.
    def test_silent_connections_cost_one_timeout(self):
        async def scenario():
            reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
            server = ScriptedServer(*([(reply,)] * 4), (), (reply,))
            port = await server.start()
            pool = backendpool.ConnectionPool(
                f"http://{HOST}:{port}", 4, MAX_BODY_BYTES, closes_idle=True
            )

            def request(timeout_s=TEST_TIMEOUT_S):
                return pool.request("/x", b"{}", timeout_s)

            await asyncio.gather(*(request() for _ in range(4)))
            self.assertEqual(4, len(pool.idle))
            with self.assertRaises(TimeoutError):
                await request(0.1)
            self.assertEqual([], pool.idle)
            await request()
            pool.close()
            server.server.close()
            # Lets the ends of the connections arrive.
            await asyncio.sleep(0.1)
            return server.connections

        self.assertEqual(5, asyncio.run(scenario()))

    # Guards against new connections to a server that left one order unanswered.
    def test_other_connections_to_a_slow_server_stay_open(self):
        async def scenario():
            reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
            server = ScriptedServer((reply,), (reply,), ())
            port = await server.start()
            pool = backendpool.ConnectionPool(
                f"http://{HOST}:{port}", 2, MAX_BODY_BYTES
            )
            await asyncio.gather(
                *(pool.request("/x", b"{}", TEST_TIMEOUT_S) for _ in range(2))
            )
            with self.assertRaises(TimeoutError):
                await pool.request("/x", b"{}", 0.1)
            idle = len(pool.idle)
            pool.close()
            server.server.close()
            await asyncio.sleep(0.1)
            return idle

        self.assertEqual(1, asyncio.run(scenario()))

    def test_an_unreachable_server_refuses(self):
        async def scenario():
            server = ScriptedServer()
            port = await server.start()
            server.server.close()
            await server.server.wait_closed()
            pool = backendpool.ConnectionPool(
                f"http://{HOST}:{port}", 1, MAX_BODY_BYTES
            )
            with self.assertRaises(ConnectionRefusedError):
                await pool.request("/x", b"{}", 1.0)

        asyncio.run(scenario())
