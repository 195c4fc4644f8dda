"""A small HTTP/1.1 server and client whose connections can be disturbed."""

import asyncio
import dataclasses
import json
import urllib.parse

READ_LIMIT = 2**23


@dataclasses.dataclass(frozen=True)
class Request:
    """One request.

    Attributes:
        method: The method.
        path: The path without its query.
        query: Values of the query by name.
        headers: Headers by name in lower case.
        body: The body.
        started_s: Loop time at which it had been read.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    started_s: float

    def table(self) -> dict:
        """Returns the JSON object in the body."""
        return json.loads(self.body)


class Lost(Exception):  # noqa: N818
    """The request gets no answer; its connection stays open and silent."""


class Server:
    """HTTP server at one loopback address.

    Attributes:
        handle: Coroutine function from a request to a status and a body.
        reset_all: Whether new connections are reset at once.
        writers: Writers of the open connections.
        muted: Connections that have gone silent for good.
    """

    def __init__(self, handle):
        self.handle = handle
        self.reset_all = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.muted: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listens at an address."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=READ_LIMIT
        )

    async def close(self) -> None:
        """Stops listening and aborts all connections."""
        if self.server:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Resets the open connections."""
        for writer in tuple(self.writers):
            writer.transport.abort()

    def mute(self) -> int:
        """Makes the open connections silent for good; returns their number."""
        self.muted |= self.writers
        return len(self.writers)

    async def _serve(self, reader, writer) -> None:
        if self.reset_all:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while request := await _read_request(reader):
                try:
                    status, body = await self._answer(writer, request)
                except Lost:
                    # Stays open and silent until the client closes it.
                    while await reader.read(READ_LIMIT):
                        pass
                    return
                writer.write(_response(status, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.muted.discard(writer)
            writer.transport.abort()

    async def _answer(self, writer, request: Request):
        if writer in self.muted:
            raise Lost
        answer = await self.handle(request)
        if writer in self.muted:
            raise Lost
        return answer


def _response(status: int, body: dict | bytes) -> bytes:
    content_type = "application/octet-stream"
    if isinstance(body, dict):
        body = json.dumps(body).encode()
        content_type = "application/json"
    head = (
        f"HTTP/1.1 {status} Status\r\nContent-Type: {content_type}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def _read_head(reader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_request(reader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(
        method,
        urllib.parse.unquote(path),
        dict(urllib.parse.parse_qsl(query)),
        headers,
        body,
        asyncio.get_running_loop().time(),
    )


class Connection:
    """A client's connection, which stays open between requests.

    Attributes:
        address: Host and port of the server.
        writer: Writes to the server; None while nothing is open.
    """

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Closes the connection at once; the next request opens another."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None

    async def request(
        self,
        method: str,
        path: str,
        content: dict | bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, dict]:
        """Sends a request; closes the connection if the answer is missing.

        Returns:
            The status, which is 0 without a complete response, and the JSON
            body.
        """
        is_complete = False
        try:
            async with asyncio.timeout(timeout_s):
                got, status, body = await self._exchange(
                    method, path, content, headers or {}
                )
            is_complete = got.get("connection", "").lower() != "close"
            return status, body
        except (OSError, asyncio.IncompleteReadError):
            return 0, {}
        finally:
            if not is_complete:
                self.close()

    async def _exchange(self, method, path, content, headers):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.address
            )
        body = content if isinstance(content, bytes) else b""
        if isinstance(content, dict):
            body = json.dumps(content).encode()
        fields = {
            "Host": f"{self.address[0]}:{self.address[1]}",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            **headers,
        }
        lines = "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode())
        self.writer.write(body)
        await self.writer.drain()
        head = await _read_head(self.reader)
        if head is None:
            raise ConnectionResetError
        first, got = head
        answer = await self.reader.readexactly(
            int(got.get("content-length", "0"))
        )
        try:
            table = json.loads(answer)
        except ValueError:
            table = {}
        return got, int(first.split(" ")[1]), table


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    content: dict | bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict]:
    """Sends one request on a connection of its own.

    Returns:
        The status, which is 0 without a complete response, and the JSON body.
    """
    connection = Connection(address)
    try:
        return await connection.request(
            method,
            path,
            content,
            {"Connection": "close", **(headers or {})},
            timeout_s,
        )
    finally:
        connection.close()
