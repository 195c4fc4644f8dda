"""Tests of running tasks on the backend server."""

import asyncio

import testtools

from egretthread import backendclient, settings
from egretthread.agentboard import StartCall
from egretthread.jobkey import JobRef
from egretthread.outcome import OutcomeKind
from egretthread_standins import backend

KEY = "1750000000000-job"


def new_client(port):
    return backendclient.BackendClient(
        settings.AgentSettings(
            name="agent-1",
            region="eire-east",
            zone="a",
            service="match",
            admin_address="127.0.0.1:0",
            backend_url=f"http://127.0.0.1:{port}",
            entries=("127.0.0.1:1",),
            shared_key="0123456789abcdef",
            processors=1,
            memory_bytes=1,
        )
    )


def start_call(index, payload="{}", timeout_s=10.0):
    job = JobRef("office", KEY)
    return StartCall(job, "match", index, 1, payload, timeout_s)


def allow():
    return True


class MisbehavingServer:
    """Reads each request and sends fixed bytes, then may close.

    Attributes:
        connections: Connections accepted so far.
        requests: Requests read so far.
        reply: Bytes sent after each request; may be empty.
        keep_open: Whether the connection stays open after the reply.
    """

    def __init__(self, reply, keep_open):
        self.connections = 0
        self.requests = 0
        self.reply = reply
        self.keep_open = keep_open
        self.closed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections += 1
        while await reader.readuntil(b"\r\n\r\n"):
            await reader.readexactly(2)
            self.requests += 1
            writer.write(self.reply)
            if not self.keep_open:
                break
        writer.close()
        await writer.wait_closed()
        self.closed.set()


class BackendClientTest(testtools.TestCase):
    def test_connections_are_reused(self):
        async def scenario():
            server = backend.BackendServer()
            server.start()
            client = new_client(server.port)
            for index in range(3):
                result = await client.run(start_call(index), allow)
                self.assertEqual(OutcomeKind.DONE, result.kind)
            self.assertEqual(1, len(client.pool.idle))
            failed = await client.run(start_call(3, '{"kind":"fail"}'), allow)
            self.assertEqual(OutcomeKind.FAILED, failed.kind)
            self.assertEqual(4, len(server.starts))
            client.close()
            await server.close()

        asyncio.run(scenario())

    def test_a_task_that_may_not_start_is_not_written(self):
        async def scenario():
            server = backend.BackendServer()
            server.start()
            client = new_client(server.port)
            refused = False
            try:
                await client.run(start_call(0), lambda: False)
            except backendclient.NotStartedError:
                refused = True
            self.assertTrue(refused)
            self.assertEqual({}, dict(server.starts))
            self.assertEqual(1, len(client.pool.idle))
            client.close()
            await server.close()

        asyncio.run(scenario())

    def test_an_unreachable_server_raises_not_started(self):
        async def scenario():
            server = backend.BackendServer()
            server.start()
            await server.close()
            client = new_client(server.port)
            refused = False
            try:
                await client.run(start_call(0), allow)
            except backendclient.NotStartedError:
                refused = True
            self.assertTrue(refused)
            client.close()

        asyncio.run(scenario())

    def test_a_connection_lost_after_the_request_gives_unknown(self):
        for reply in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"):

            async def scenario(reply=reply):
                server = MisbehavingServer(reply, keep_open=False)
                client = new_client(await server.start())
                result = await client.run(start_call(0), allow)
                self.assertEqual(OutcomeKind.UNKNOWN, result.kind)
                self.assertEqual(1, server.requests)
                self.assertEqual([], client.pool.idle)
                client.close()
                server.server.close()

            asyncio.run(scenario())

    def test_no_response_within_the_timeout_gives_unknown(self):
        async def scenario():
            server = MisbehavingServer(b"", keep_open=True)
            client = new_client(await server.start())
            result = await client.run(start_call(0, timeout_s=0.05), allow)
            self.assertEqual(OutcomeKind.UNKNOWN, result.kind)
            self.assertEqual([], client.pool.idle)
            client.close()
            server.server.close()

        asyncio.run(scenario())

    def test_a_connection_closed_while_idle_is_not_reused(self):
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

        async def scenario():
            server = MisbehavingServer(reply, keep_open=False)
            client = new_client(await server.start())
            for index in range(2):
                result = await client.run(start_call(index), allow)
                self.assertEqual(OutcomeKind.DONE, result.kind)
                while client.pool.idle:
                    await asyncio.sleep(0.001)
            self.assertEqual(2, server.connections)
            client.close()
            server.server.close()

        asyncio.run(scenario())
