"""HTTP server that bounds what its clients make it hold."""

import collections
import socket
from collections.abc import Callable

import orjson
import tornado.httpserver
import tornado.httputil
import tornado.ioloop
import tornado.iostream
import tornado.netutil

from egretthread import clock, logs
from egretthread.intake import Intake, IntakeLimits, Reason

MAX_HEADER_BYTES = 64 * 1024
SWEEP_MS = 5_000
NEWLINE = b"\r\n"
# The lines of shorter reads are counted only for chunked requests.
UNCOUNTED_BYTES = 4096

_TOO_LONG = orjson.dumps({"error": "the body is too long"})


class CountingStream(tornado.iostream.IOStream):
    """Stream that counts what it receives.

    Attributes:
        intake: The connections of the listener.
        client: This connection.
    """

    def __init__(self, connection: socket.socket, intake: Intake, **options):
        super().__init__(connection, **options)
        self.intake = intake
        self.client = intake.open(self.close, clock.monotonic_s())

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Reads into a buffer; returns the number of bytes, if any."""
        # A socket that is not read stays readable until the next turn.
        if self.intake.is_paused:
            return None
        if self.intake.pause():
            self.io_loop.add_callback(self.intake.start_turn)
            return None
        size_bytes = super().read_from_fd(buf)
        if not size_bytes:
            return size_bytes
        lines = 0
        if self.client.is_chunked or size_bytes > UNCOUNTED_BYTES:
            lines = buf.count(NEWLINE, 0, size_bytes)
        if not self.intake.receive(
            self.client, size_bytes, lines, clock.monotonic_s()
        ):
            raise ConnectionResetError("closed for a limit")
        return size_bytes

    def start_request(self) -> None:
        """Counts only what has been received of the next request."""
        buffered_bytes = self._read_buffer_size
        lines = self._read_buffer.count(NEWLINE) if buffered_bytes else 0
        self.intake.reset(
            self.client, buffered_bytes, lines, clock.monotonic_s()
        )


class _MessageDelegate(tornado.httputil.HTTPMessageDelegate):
    """Passes a request on, unless its body exceeds the limit."""

    def __init__(
        self,
        delegate: tornado.httputil.HTTPMessageDelegate,
        connection: tornado.httputil.HTTPConnection,
        body_limit: int,
    ):
        self.delegate = delegate
        self.connection = connection
        self.body_limit = body_limit
        self.body_bytes = 0

    def headers_received(self, start_line, headers):
        """Refuses a body whose announced length exceeds the limit."""
        stream = self.connection.stream
        if "Transfer-Encoding" in headers:
            stream.client.is_chunked = True
            if not stream.intake.check_chunks(stream.client):
                # Prevents that chunks in the buffer are decoded.
                raise tornado.httputil.HTTPInputError("very small chunks")
        elif _length(headers) > self.body_limit:
            self._refuse()
            return None
        return self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Passes a part of the body on."""
        self.body_bytes += len(chunk)
        if self.body_bytes > self.body_limit:
            self._refuse()
            return None
        client = self.connection.stream.client
        if client.is_chunked:
            client.lines -= chunk.count(NEWLINE)
        return self.delegate.data_received(chunk)

    def finish(self) -> None:
        """Passes the end of the request on."""
        stream = self.connection.stream
        stream.intake.wait(stream.client)
        # The connection keeps this object until the response is complete.
        delegate, self.delegate = self.delegate, None
        delegate.finish()

    def on_connection_close(self) -> None:
        """Passes on that the client has disconnected."""
        if self.delegate is not None:
            self.delegate.on_connection_close()

    def _refuse(self) -> None:
        headers = tornado.httputil.HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(_TOO_LONG)),
                "Connection": "close",
            }
        )
        self.connection.write_headers(
            tornado.httputil.ResponseStartLine(
                "HTTP/1.1", 413, "Content Too Large"
            ),
            headers,
            _TOO_LONG,
        )
        # Closes the connection, since the body is still incomplete.
        self.connection.finish()


def _length(headers: tornado.httputil.HTTPHeaders) -> int:
    """Returns the announced length of a body; 0 if there is none."""
    try:
        return int(headers.get("Content-Length", "0"))
    except ValueError:
        # The connection refuses the request as malformed.
        return 0


class IntakeServer(tornado.httpserver.HTTPServer):
    """HTTP server whose clients share limited memory and connections.

    Attributes:
        intake: The connections.
        body_limit: Returns the largest body in bytes.
        listening: Functions that stop accepting, by listening socket.
        sweeper: Closes stalled connections from time to time.
    """

    def initialize(
        self,
        request_callback,
        limits: IntakeLimits,
        body_limit: Callable[[], int],
        counters: collections.Counter,
        **options,
    ) -> None:
        """Creates a server.

        Args:
            request_callback: The application.
            limits: Limits on all clients together.
            body_limit: Returns the largest body of a request in bytes.
            counters: Counters of events, which get the connections that
                were closed for each reason.
            **options: Options of `tornado.httpserver.HTTPServer`.
        """
        options.setdefault("max_header_size", MAX_HEADER_BYTES)
        # Longer bodies are refused before they reach this limit.
        super().initialize(request_callback, max_body_size=2**62, **options)

        def closed(reason: Reason, count: int) -> None:
            logs.warning("connections_closed", reason=reason.value, count=count)
            counters[f"connections_closed_{reason.value}"] += count

        self.intake = Intake(limits, closed)
        self.body_limit = body_limit
        self.listening: dict[socket.socket, Callable[[], None]] = {}
        self.sweeper = tornado.ioloop.PeriodicCallback(self._sweep, SWEEP_MS)

    def add_sockets(self, sockets) -> None:
        """Accepts connections on listening sockets."""
        for listening in sockets:
            self.listening[listening] = tornado.netutil.add_accept_handler(
                listening, self._accept
            )
        self.sweeper.start()

    def stop(self) -> None:
        """Stops accepting connections."""
        for listening, remove_acceptor in self.listening.items():
            remove_acceptor()
            listening.close()
        self.listening.clear()
        self.sweeper.stop()

    def _accept(self, connection: socket.socket, address: tuple) -> None:
        stream = CountingStream(
            connection,
            self.intake,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        self.handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn
    ) -> tornado.httputil.HTTPMessageDelegate:
        """Starts the next request of a connection."""
        request_conn.stream.start_request()
        return _MessageDelegate(
            super().start_request(server_conn, request_conn),
            request_conn,
            self.body_limit(),
        )

    def on_close(self, server_conn: object) -> None:
        """Removes a closed connection."""
        self.intake.discard(server_conn.stream.client)
        super().on_close(server_conn)

    def _sweep(self) -> None:
        self.intake.close_stalled(clock.monotonic_s())
