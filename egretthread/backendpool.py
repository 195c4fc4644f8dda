"""Kept connections to one HTTP server, one request on each at a time."""

import asyncio
import dataclasses
import ssl
import urllib.parse
from collections.abc import Mapping

from tornado import http1connection, httputil, iostream, tcpclient

from egretthread import clock

CONNECT_TIMEOUT_S = 2.0
# A connection idle for longer is not used again: the server may be about to
# close it, and what it did with a request written then is not known.
MAX_IDLE_S = 1.0


@dataclasses.dataclass(frozen=True)
class IdleConnection:
    """A connection that waits for its next request.

    Attributes:
        stream: The connection.
        since_s: Monotonic time since when it is idle.
    """

    stream: iostream.IOStream
    since_s: float


@dataclasses.dataclass(frozen=True)
class Response:
    """A whole response.

    Attributes:
        code: HTTP status.
        body: The body.
    """

    code: int
    body: bytes


class ConnectionPool:
    """Connections to the server of one URL.

    Attributes:
        parts: The URL, split.
        max_body_bytes: Longest body of a response.
        max_idle_s: Time after which an idle connection is not used again.
        idle: The connections without a request, the latest used last.
    """

    def __init__(
        self,
        url: str,
        max_connections: int,
        max_body_bytes: int,
        max_idle_s: float = MAX_IDLE_S,
    ):
        self.parts = urllib.parse.urlsplit(url)
        self.max_body_bytes = max_body_bytes
        self.max_idle_s = max_idle_s
        self.idle: list[IdleConnection] = []
        self.room = asyncio.Semaphore(max_connections)
        self.client = tcpclient.TCPClient()
        self.tls = None
        if self.parts.scheme == "https":
            self.tls = ssl.create_default_context()

    def close(self) -> None:
        """Closes the idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            connection.stream.close()
        self.client.close()

    async def connect(self) -> iostream.IOStream:
        """Returns a kept connection or a new one.

        Raises:
            OSError: The server was not reached.
            iostream.StreamClosedError: The connection failed.
            TimeoutError: It took too long.
        """
        self._drop_old()
        self._drop_closed()
        if self.idle:
            return self.idle.pop().stream
        port = self.parts.port or (443 if self.tls else 80)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stream = await self.client.connect(
                self.parts.hostname, port, ssl_options=self.tls
            )
        stream.set_nodelay(True)
        return stream

    def keep(self, stream: iostream.IOStream) -> None:
        """Takes back a connection that has no request under way."""
        if stream.closed():
            return
        # Only a stream with a callback notices that the other end closes it.
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
            OSError: The server was not reached.
            iostream.StreamClosedError: The connection was lost.
            TimeoutError: No whole response came in time.
        """
        async with asyncio.timeout(timeout_s), self.room:
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
        """Writes a request in one piece, without any wait.

        Args:
            stream: The connection.
            path: Path and query.
            body: The body; JSON text unless the headers say otherwise.
            method: HTTP method.
            headers: Headers besides those that every request has.
        """
        # Idle connections alone are watched for their end.
        stream.set_close_callback(None)
        parameters = http1connection.HTTP1ConnectionParameters(
            max_body_size=self.max_body_bytes
        )
        connection = http1connection.HTTP1Connection(stream, True, parameters)
        fields = httputil.HTTPHeaders(
            {
                "Host": self.parts.netloc,
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                **(headers or {}),
            }
        )
        line = httputil.RequestStartLine(method, self.parts.path + path, "")
        connection.write_headers(line, fields, body)
        connection.finish()
        return connection

    async def read(
        self, connection: http1connection.HTTP1Connection
    ) -> Response:
        """Reads the response and keeps the connection if it may be used.

        Raises:
            iostream.StreamClosedError: It closed before the whole response.
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
        if reader.keep:
            self.keep(stream)
        else:
            stream.close()
        return Response(reader.code, b"".join(reader.chunks))


class _Reader(httputil.HTTPMessageDelegate):
    """Collects one response.

    Attributes:
        code: HTTP status.
        keep: Whether the server lets the connection be used again.
        chunks: The body so far.
        complete: Whether all of it has arrived.
    """

    def __init__(self):
        self.code = 0
        self.keep = False
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line, headers) -> None:
        """Notes the status and whether the connection stays open."""
        self.code = start_line.code
        asked = headers.get("Connection", "").lower()
        delimited = "Content-Length" in headers or (
            "Transfer-Encoding" in headers
        )
        self.keep = (
            start_line.version == "HTTP/1.1" and asked != "close" and delimited
        )

    def data_received(self, chunk: bytes) -> None:
        """Adds a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Notes the end of the response."""
        self.complete = self.code >= 200
