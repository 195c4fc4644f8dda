"""Pool of persistent connections to one HTTP server, without pipelining."""

import asyncio
import dataclasses
import ssl
import urllib.parse
from collections.abc import Mapping

from tornado import http1connection, httputil, iostream, tcpclient

from egretthread import clock

CONNECT_TIMEOUT_S = 2.0
# Connections that are idle for longer are not reused. The server might be
# closing the connection, and then it would be unknown whether it has executed
# a request that was written.
MAX_IDLE_S = 1.0


@dataclasses.dataclass(frozen=True)
class IdleConnection:
    """A connection without a request in progress.

    Attributes:
        stream: The connection.
        since_s: Monotonic time since which it has been idle.
    """

    stream: iostream.IOStream
    since_s: float


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete HTTP response.

    Attributes:
        code: HTTP status code.
        body: The body.
    """

    code: int
    body: bytes


class ConnectionPool:
    """Pool of connections to the server of one URL.

    Attributes:
        url: The parsed base URL.
        max_body_bytes: Maximum length of a response's body.
        max_idle_s: Time after which an idle connection is not reused.
        idle: The idle connections, the most recently used last.
        semaphore: Limits the number of requests in progress.
    """

    def __init__(
        self,
        url: str,
        max_connections: int,
        max_body_bytes: int,
        max_idle_s: float = MAX_IDLE_S,
    ):
        self.url = urllib.parse.urlsplit(url)
        self.max_body_bytes = max_body_bytes
        self.max_idle_s = max_idle_s
        self.idle: list[IdleConnection] = []
        self.semaphore = asyncio.Semaphore(max_connections)
        self.client = tcpclient.TCPClient()
        self.tls = None
        if self.url.scheme == "https":
            self.tls = ssl.create_default_context()

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.stream.close()
        self.client.close()

    async def connect(self) -> iostream.IOStream:
        """Returns an idle connection or opens a new one.

        Raises:
            OSError: The server is unreachable.
            iostream.StreamClosedError: The connection failed.
            TimeoutError: The connection was not established in time.
        """
        self._drop_old()
        self._drop_closed()
        if self.idle:
            return self.idle.pop().stream
        port = self.url.port or (443 if self.tls else 80)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stream = await self.client.connect(
                self.url.hostname, port, ssl_options=self.tls
            )
        stream.set_nodelay(True)
        return stream

    def release(self, stream: iostream.IOStream) -> None:
        """Returns a connection without a request in progress to the pool."""
        if stream.closed():
            return
        # Without a callback, an idle stream does not detect that the other end
        # has closed it.
        stream.set_close_callback(self._drop_closed)
        self.idle.append(IdleConnection(stream, clock.monotonic_s()))

    def _drop_closed(self) -> None:
        self.idle = [c for c in self.idle if not c.stream.closed()]

    def _drop_old(self) -> None:
        oldest_s = clock.monotonic_s() - self.max_idle_s
        while self.idle and self.idle[0].since_s < oldest_s:
            self.idle.pop(0).stream.close()

    async def request(
        self,
        path: str,
        body: bytes,
        timeout_s: float,
        method: str = "POST",
        headers: Mapping[str, str] | None = None,
    ) -> Response:
        """Sends one request and returns its response.

        Raises:
            OSError: The server is unreachable.
            iostream.StreamClosedError: The connection was lost.
            TimeoutError: No complete response arrived in time.
        """
        async with asyncio.timeout(timeout_s), self.semaphore:
            stream = await self.connect()
            try:
                connection = self.write(stream, path, body, method, headers)
                return await self.read(connection)
            except asyncio.CancelledError:
                stream.close()
                raise

    def write(
        self,
        stream: iostream.IOStream,
        path: str,
        body: bytes,
        method: str = "POST",
        headers: Mapping[str, str] | None = None,
    ) -> http1connection.HTTP1Connection:
        """Writes a complete request without yielding to the event loop.

        Args:
            stream: The connection.
            path: Path and query.
            body: The body; JSON text unless the headers say otherwise.
            method: HTTP method.
            headers: Additional headers, or replacements of the default ones.
        """
        # The callback is only for idle connections.
        stream.set_close_callback(None)
        parameters = http1connection.HTTP1ConnectionParameters(
            max_body_size=self.max_body_bytes
        )
        connection = http1connection.HTTP1Connection(stream, True, parameters)
        fields = httputil.HTTPHeaders(
            {
                "Host": self.url.netloc,
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                **(headers or {}),
            }
        )
        start_line = httputil.RequestStartLine(method, self.url.path + path, "")
        connection.write_headers(start_line, fields, body)
        connection.finish()
        return connection

    async def read(
        self, connection: http1connection.HTTP1Connection
    ) -> Response:
        """Reads the response and returns the connection to the pool.

        A connection that cannot be reused is closed.

        Raises:
            iostream.StreamClosedError: The connection was closed before the
                response was complete.
        """
        reader = _Reader()
        stream = connection.stream
        try:
            await connection.read_response(reader)
        finally:
            if not reader.complete:
                stream.close()
        if not reader.complete:
            raise iostream.StreamClosedError()
        if reader.keep_alive:
            self.release(stream)
        else:
            stream.close()
        return Response(reader.code, b"".join(reader.chunks))


class _Reader(httputil.HTTPMessageDelegate):
    """Collects one response.

    Attributes:
        code: HTTP status code.
        keep_alive: Whether the connection may be reused.
        chunks: The chunks of the body received so far.
        complete: Whether the complete response has arrived.
    """

    def __init__(self):
        self.code = 0
        self.keep_alive = False
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line, headers) -> None:
        """Records the status and whether the connection stays open."""
        self.code = start_line.code
        connection_option = headers.get("Connection", "").lower()
        delimited = "Content-Length" in headers or (
            "Transfer-Encoding" in headers
        )
        self.keep_alive = (
            start_line.version == "HTTP/1.1"
            and connection_option != "close"
            and delimited
        )

    def data_received(self, chunk: bytes) -> None:
        """Adds a chunk of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Records the end of the response, unless it is an interim one."""
        self.complete = self.code >= 200
