"""Crowds of HTTP clients that stop short of the end of their requests."""

import asyncio
import contextlib
import dataclasses
import pathlib
import socket

# Clients connect from this many loopback addresses.
SOURCES = 200
PIECE_PAUSE_S = 0.02


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Clients that all send the same bytes and keep their connections open.

    Attributes:
        clients: Number of clients.
        pieces: What each client sends, with a pause between two pieces.
    """

    clients: int
    pieces: tuple[bytes, ...]


def _header(path: str, fields: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\n{fields}\r\n".encode()


def announced(
    host: str, path: str, size_bytes: int, missing_bytes: int = 1
) -> tuple[bytes, ...]:
    """Returns a request whose body stops short of its announced length."""
    header = _header(
        path,
        f"Host: {host}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {size_bytes}\r\n",
    )
    return (header + b" " * (size_bytes - missing_bytes),)


def in_pieces(message: bytes, pieces: int) -> tuple[bytes, ...]:
    """Divides a message into pieces of the same size."""
    size_bytes = -(-len(message) // pieces)
    return tuple(
        message[start : start + size_bytes]
        for start in range(0, len(message), size_bytes)
    )


def chunked(
    host: str, path: str, chunk_bytes: int, chunks: int
) -> tuple[bytes, ...]:
    """Returns a request with a chunked body that lacks its last chunk."""
    header = _header(
        path,
        f"Host: {host}\r\nContent-Type: application/json\r\n"
        "Transfer-Encoding: chunked\r\n",
    )
    chunk = f"{chunk_bytes:x}\r\n".encode() + b" " * chunk_bytes + b"\r\n"
    return (header + chunk * chunks,)


def unfinished_header(
    host: str, path: str, size_bytes: int
) -> tuple[bytes, ...]:
    """Returns a header of this size that lacks its end."""
    start = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Filler: ".encode()
    return (start + b"x" * (size_bytes - len(start)),)


@contextlib.asynccontextmanager
async def send(crowd: Crowd, address: tuple[str, int], limit_s: float):
    """Sends a crowd, whose connections stay open within the context.

    The context begins once each client has sent everything or has lost its
    connection, or after `limit_s`.
    """
    sockets: list[socket.socket] = []
    async with asyncio.TaskGroup() as group:
        clients = [
            group.create_task(_send(crowd, number, address, sockets))
            for number in range(crowd.clients)
        ]
        try:
            await asyncio.wait(clients, timeout=limit_s)
            yield
        finally:
            for client in clients:
                client.cancel()
            for client_socket in sockets:
                client_socket.close()


async def _send(
    crowd: Crowd,
    number: int,
    address: tuple[str, int],
    sockets: list[socket.socket],
) -> None:
    loop = asyncio.get_running_loop()
    client_socket = socket.socket()
    client_socket.setblocking(False)
    sockets.append(client_socket)
    client_socket.bind((f"127.2.0.{number % SOURCES + 1}", 0))
    try:
        await loop.sock_connect(client_socket, address)
        for piece in crowd.pieces:
            await loop.sock_sendall(client_socket, piece)
            await asyncio.sleep(PIECE_PAUSE_S)
    except OSError:
        # The server may close connections.
        pass


def peak_bytes(pid: int) -> int:
    """Returns the largest resident size that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError(f"process {pid} has no resident size")


def open_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(tuple(pathlib.Path(f"/proc/{pid}/fd").iterdir()))
