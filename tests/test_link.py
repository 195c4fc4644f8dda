"""Tests of links over real sockets."""

import asyncio
import dataclasses
import io
import logging
import pathlib
import random
import socket
import struct

import testtools

from egretthread import handshake, link, linkstream, logs, settings, wire
from egretthread.message import Credit
from egretthread_standins import relay
from tests.aio import TEST_TIMEOUT_S, run_async, until

DATA = pathlib.Path(__file__).with_name("data")

OPTIONS = settings.EntrySettings(
    name="entry-1",
    region="eire-east",
    zone="zone-a",
    http_address="127.0.0.1:0",
    admin_address="127.0.0.1:0",
    peer_address="127.0.0.1:0",
    log_url="http://127.0.0.1:1",
    shared_key="a shared key of the tests",
    keepalive_s=0.02,
    liveness_s=TEST_TIMEOUT_S,
)
# A short liveness_s, for tests in which a link has to time out.
SHORT_S = 0.3
TLS = {
    "tls_cert": str(DATA / "tls_cert.pem"),
    "tls_key": str(DATA / "tls_key.pem"),
    "tls_ca": str(DATA / "tls_cert.pem"),
}


class Recorder:
    """Records the events of one end of a link.

    Attributes:
        opened: Peers whose link opened.
        closed: Peers whose link closed.
        batches: The messages of each batch received.
    """

    def __init__(self):
        self.opened = []
        self.closed = []
        self.batches = []

    def handlers(self) -> dict:
        return {
            "on_messages": lambda _, batch: self.batches.append(batch),
            "on_open": self.opened.append,
            "on_close": self.closed.append,
        }

    @property
    def messages(self) -> list:
        return [message for batch in self.batches for message in batch]


class Impostor:
    """A server without the key that reflects the client's own proof.

    Attributes:
        reflected: Proofs sent back.
        server: Accepts the connections, once started.
    """

    def __init__(self):
        self.reflected = 0
        self.server = None
        self.tasks = set()

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self.accept, "127.0.0.1", 0)
        return settings.join_address(*self.server.sockets[0].getsockname()[:2])

    def accept(self):
        stream = linkstream.LinkStream()
        task = asyncio.get_running_loop().create_task(self.reflect(stream))
        self.tasks.add(task)
        return stream

    async def reflect(self, stream):
        await handshake.read_hello(stream)
        hello = handshake.new_hello("entry-1#1", "entry")
        handshake.write_frame(stream, hello)
        proof = await handshake.read_frame(stream, wire.Proof)
        handshake.write_frame(stream, proof)
        self.reflected += 1


class LinkTest(testtools.TestCase):
    def setUp(self):  # noqa: N802
        super().setUp()
        self.log = io.StringIO()
        logs.setup("info", "test", self.log)
        self.addCleanup(logging.getLogger().handlers.clear)
        self.client_events = Recorder()
        self.server_events = Recorder()

    async def start_server(self, **changes) -> link.LinkServer:
        options = dataclasses.replace(OPTIONS, **changes)
        server = link.LinkServer(
            options, "entry-1#1", "entry", **self.server_events.handlers()
        )
        server.start()
        self.stack.push_async_callback(server.close)
        return server

    async def start_relay(self, server) -> relay.Relay:
        proxy = relay.Relay(server.address)
        await proxy.start()
        self.stack.push_async_callback(proxy.close)
        return proxy

    def start_client(self, address, **changes) -> link.LinkClient:
        options = dataclasses.replace(OPTIONS, **changes)
        client = link.LinkClient(
            address,
            options,
            "agent-1#2",
            "agent",
            **self.client_events.handlers(),
            rng=random.Random(1),
        )
        client.start()
        self.stack.push_async_callback(client.close)
        return client

    async def connect(self, **changes) -> link.LinkClient:
        server = await self.start_server(**changes)
        client = self.start_client(server.address, **changes)
        await until(
            lambda: self.client_events.opened and self.server_events.opened
        )
        return client

    @run_async
    async def test_both_ends_learn_the_other_node_and_role(self):
        client = await self.connect()
        agent = self.server_events.opened[0]
        self.assertEqual(("entry-1#1", "entry"), _names(client.peer))
        self.assertEqual(("agent-1#2", "agent"), _names(agent))

    @run_async
    async def test_messages_of_one_loop_iteration_form_one_batch(self):
        client = await self.connect()
        sent = tuple(Credit("agent-1#2", count, 0) for count in range(5))
        for message in sent:
            client.peer.send(message)
        self.server_events.opened[0].send(Credit("back", 1, 0))
        await until(
            lambda: self.server_events.batches and self.client_events.batches
        )
        self.assertEqual([sent], self.server_events.batches)
        self.assertEqual([(Credit("back", 1, 0),)], self.client_events.batches)

    @run_async
    async def test_a_batch_larger_than_a_frame_is_split(self):
        client = await self.connect()
        text = "x" * (wire.MAX_FRAME_BYTES // 3)
        for count in range(4):
            client.peer.send(Credit(text, count, 0))
        client.peer.send(Credit(text * 3, 4, 0))
        client.peer.send(Credit("last", 5, 0))
        await until(lambda: len(self.server_events.messages) == 5)
        counts = [message.free for message in self.server_events.messages]
        self.assertEqual([0, 1, 2, 3, 5], counts)
        self.assertIn("event=message_dropped", self.log.getvalue())

    @run_async
    async def test_close_sends_what_is_queued(self):
        client = await self.connect()
        client.peer.send(Credit("agent-1#2", 7, 0))
        await client.close()
        await until(lambda: self.server_events.closed)
        self.assertEqual(
            [Credit("agent-1#2", 7, 0)], self.server_events.messages
        )
        self.assertEqual("local", self.client_events.closed[0].close_reason)

    @run_async
    async def test_server_close_ends_its_links(self):
        server = await self.start_server()
        self.start_client(server.address)
        await until(lambda: self.server_events.opened)
        self.server_events.opened[0].send(Credit("bye", 1, 0))
        await server.close()
        await until(lambda: self.client_events.closed)
        self.assertEqual([Credit("bye", 1, 0)], self.client_events.messages)
        self.assertEqual({}, server.peers)

    # Guards against a shutdown that fails at a link that its peer has reset.
    @run_async
    async def test_server_close_survives_a_reset(self):
        server = await self.start_server()
        address = settings.split_address(server.address)
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(
            linkstream.LinkStream, *address
        )
        hello = handshake.new_hello("agent-1#2", "agent")
        await handshake.initiate(stream, server.options, hello)
        self.assertEqual(1, len(server.peers))
        # The connection is reset, and the server has not noticed yet.
        stream.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        stream.close()
        await asyncio.sleep(0)
        await server.close()
        self.assertEqual({}, server.peers)

    @run_async
    async def test_a_wrong_key_is_refused(self):
        server = await self.start_server()
        client = self.start_client(server.address, shared_key="another key")
        await until(lambda: client.failures > 1)
        self.assertIsInstance(client.last_error, handshake.WrongKeyError)
        self.assertEqual(
            [], self.client_events.opened + self.server_events.opened
        )
        lines = self.log.getvalue().splitlines()
        refused = [line for line in lines if "event=link_refused" in line]
        self.assertIn("kind=wrong_key", refused[0])

    @run_async
    async def test_an_impostor_server_is_refused(self):
        impostor = Impostor()
        client = self.start_client(await impostor.start())
        await until(lambda: client.failures > 1)
        impostor.server.close()
        self.assertTrue(impostor.reflected)
        self.assertIsInstance(client.last_error, handshake.WrongKeyError)
        self.assertEqual([], self.client_events.opened)

    @run_async
    async def test_unauthenticated_connections_get_no_data(self):
        server = await self.start_server()
        host, port = settings.split_address(server.address)
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\x08" + bytes(8)):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            self.assertEqual(b"", await _read_all(reader))
            writer.close()
        self.assertEqual([], self.server_events.opened)

    @run_async
    async def test_the_handshake_with_a_silent_server_times_out(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = settings.join_address(*listener.getsockname())
        client = self.start_client(address, liveness_s=0.05)
        await until(lambda: client.failures > 1)
        self.assertIsInstance(client.last_error, TimeoutError)

    @run_async
    async def test_a_silent_link_is_replaced_by_a_new_one(self):
        server = await self.start_server()
        proxy = await self.start_relay(server)
        client = self.start_client(
            f"127.0.0.1:{proxy.port}", liveness_s=SHORT_S
        )
        await until(
            lambda: self.server_events.opened and self.client_events.opened
        )
        proxy.stall()
        await until(lambda: len(self.server_events.opened) >= 2)
        self.assertEqual("silent", self.client_events.closed[0].close_reason)

        def message_arrived():
            # On an overloaded machine the new link may time out as well.
            if client.peer:
                client.peer.send(Credit("again", 1, 0))
            return self.server_events.messages

        await until(message_arrived)
        self.assertIn(server.peers["agent-1#2"], self.server_events.opened[1:])

    @run_async
    async def test_a_new_link_supersedes_the_old_one(self):
        server = await self.start_server()
        proxy = await self.start_relay(server)
        self.start_client(f"127.0.0.1:{proxy.port}", liveness_s=SHORT_S)
        await until(lambda: self.server_events.opened)
        proxy.stall()
        await until(lambda: len(self.server_events.opened) >= 2)
        self.assertEqual(
            "superseded", self.server_events.closed[0].close_reason
        )

    @run_async
    async def test_client_reconnects_after_a_lost_connection(self):
        server = await self.start_server()
        proxy = await self.start_relay(server)
        self.start_client(f"127.0.0.1:{proxy.port}")
        for count in range(1, 4):
            await until(lambda n=count: len(self.client_events.opened) == n)
            proxy.reset()
        await until(lambda: len(self.client_events.closed) == 3)
        self.assertEqual("lost", self.client_events.closed[0].close_reason)

    @run_async
    async def test_idle_links_stay_open(self):
        client = await self.connect(liveness_s=SHORT_S)
        peer = client.peer
        started_at = peer.received_at
        enough_s = 3 * SHORT_S
        await until(lambda: peer.received_at - started_at > enough_s)
        self.assertIs(peer, client.peer)

    @run_async
    async def test_a_peer_that_fills_the_write_buffer_is_closed(self):
        server = await self.start_server()
        proxy = await self.start_relay(server)
        client = self.start_client(f"127.0.0.1:{proxy.port}")
        await until(lambda: client.peer)
        proxy.stall()
        text = "x" * (wire.MAX_FRAME_BYTES // 2)
        peer = client.peer
        for _ in range(12):
            peer.send(Credit(text, 1, 0))
        await until(lambda: peer.close_reason)
        self.assertEqual("slow", peer.close_reason)

    @run_async
    async def test_a_peer_that_reads_nothing_in_time_is_closed(self):
        client = await self.connect()
        peer = client.peer
        peer.stalled_at = peer.loop.time() - 2 * OPTIONS.liveness_s
        await until(lambda: peer.close_reason)
        self.assertEqual("slow", peer.close_reason)

    @run_async
    async def test_a_pause_of_this_process_is_not_silence(self):
        client = await self.connect()
        peer = client.peer
        peer.received_at -= 10 * OPTIONS.liveness_s
        peer.tick(peer.loop.time() - 10 * OPTIONS.liveness_s)
        self.assertEqual("", peer.close_reason)

    @run_async
    async def test_a_failing_handler_does_not_end_the_link(self):
        client = await self.connect()
        self.server_events.batches = None
        client.peer.send(Credit("a", 1, 0))
        await until(lambda: "link_handler_failed" in self.log.getvalue())
        self.server_events.batches = []
        client.peer.send(Credit("b", 2, 0))
        await until(lambda: self.server_events.messages)
        self.assertEqual([], self.server_events.closed)

    # Guards against a lack of descriptors: connections without a complete
    # handshake were held in any number.
    @run_async
    async def test_connections_without_a_handshake_are_limited(self):
        server = await self.start_server(max_handshakes=3)
        address = settings.split_address(server.address)
        crowd = [socket.create_connection(address) for _ in range(20)]
        self.start_client(server.address)
        await until(
            lambda: self.client_events.opened and self.server_events.opened
        )
        await until(lambda: len(server.tasks) <= 4)
        self.assertLessEqual(len(server.handshakes.hosts), 3)
        self.assertIn("event=link_handshake_dropped", self.log.getvalue())
        for connection in crowd:
            connection.close()

    async def send_at_once(self, **changes):
        """Sends batches of which the first follow the handshake at once."""
        server = await self.start_server(**changes)
        sent = [Credit("x" * 50_000, count, 0) for count in range(4)]

        def send(peer):
            for message in sent:
                peer.write([message])

        server.on_open = send
        self.start_client(server.address, **changes)
        await until(lambda: len(self.client_events.messages) == len(sent))
        self.assertEqual(sent, self.client_events.messages)

    @run_async
    async def test_batches_right_behind_the_handshake_arrive(self):
        await self.send_at_once()

    @run_async
    async def test_batches_right_behind_the_handshake_arrive_over_tls(self):
        await self.send_at_once(**TLS)

    @run_async
    async def test_tls_links(self):
        client = await self.connect(**TLS)
        client.peer.send(Credit("agent-1#2", 7, 0))
        await until(lambda: self.server_events.messages)
        self.assertIsNotNone(
            client.peer.stream.transport.get_extra_info("cipher")
        )
        await client.close()

    @run_async
    async def test_an_attempt_that_nobody_answers_is_soon_repeated(self):
        """The packets that open a connection are lost for some time.

        A full queue of new connections stands in for an instance without
        power: the kernel drops the first packet of a further connection, and
        its retransmission would follow only after a second.
        """
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(address)
        client = self.start_client(f"127.0.0.1:{address[1]}")
        await until(lambda: isinstance(client.last_error, TimeoutError))
        await until(lambda: client.failures >= 1)
        for each in (*fillers, listener):
            each.close()

    @run_async
    async def test_plain_client_is_refused_by_a_tls_server(self):
        server = await self.start_server(**TLS)
        client = self.start_client(server.address)
        await until(lambda: client.failures > 1)
        self.assertEqual([], self.server_events.opened)


class BackoffTest(testtools.TestCase):
    def test_grows_within_bounds(self):
        rng = random.Random(3)
        waits = [link.backoff_s(failures, rng) for failures in range(20)]
        self.assertTrue(waits[0] <= link.BACKOFF_BASE_S)
        self.assertTrue(waits[-1] >= link.BACKOFF_MAX_S / 2)
        self.assertTrue(max(waits) <= link.BACKOFF_MAX_S)

    def test_stays_below_a_lower_bound(self):
        rng = random.Random(3)
        waits = [link.backoff_s(failures, rng, 0.4) for failures in range(20)]
        self.assertTrue(max(waits) <= 0.4)


def _names(peer) -> tuple[str, str]:
    return peer.node, peer.role


async def _read_all(reader) -> bytes:
    try:
        return await reader.read()
    except ConnectionError:
        return b""
