"""A TCP relay that simulates network faults."""

import asyncio

from egretthread import settings

CHUNK_BYTES = 65_536


class RelayedConnection:
    """One relayed connection.

    Attributes:
        flowing: Set while bytes are relayed; cleared while it is stalled.
        writers: Writers to the client and, once connected, to the target.
    """

    def __init__(self):
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.writers: list[asyncio.StreamWriter] = []

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copies one direction until end of file."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.flowing.wait()
                writer.write(data)
                await writer.drain()
            await self.flowing.wait()
            writer.write_eof()
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Aborts the connections to both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Relays TCP connections on 127.0.0.1 to a target.

    Attributes:
        target: `host:port` of the target; may be changed for new connections.
        port: Port that the relay listens on; set by `start`.
        accepted: Number of connections accepted so far.
        connections: The open connections.
        stall_new: Whether new connections are stalled.
    """

    def __init__(self, target: str):
        self.target = target
        self.port = 0
        self.accepted = 0
        self.connections: set[RelayedConnection] = set()
        self.stall_new = False
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listens on a free port, or on `port` when set, and returns it."""
        self.server = await asyncio.start_server(
            self.handle, "127.0.0.1", self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def stall(self, include_new: bool = False) -> None:
        """Holds back all bytes and ends of file of the open connections.

        Args:
            include_new: Whether new connections are stalled as well.
        """
        self.stall_new = include_new
        for connection in self.connections:
            connection.flowing.clear()

    def resume(self) -> None:
        """Resumes stalled connections; bytes held back are delivered."""
        self.stall_new = False
        for connection in self.connections:
            connection.flowing.set()

    def reset(self) -> None:
        """Aborts the open connections; new ones are still accepted."""
        for connection in tuple(self.connections):
            connection.reset()

    async def close(self) -> None:
        """Stops listening and aborts the open connections."""
        self.resume()
        self.reset()
        self.server.close()
        await self.server.wait_closed()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until both directions have ended."""
        connection = RelayedConnection()
        connection.writers.append(writer)
        self.accepted += 1
        self.connections.add(connection)
        if self.stall_new:
            connection.flowing.clear()
        try:
            await self.connect(connection, reader, writer)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            connection.reset()

    async def connect(
        self,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connects to the target and copies both directions."""
        host, port = settings.split_address(self.target)
        target_reader, target_writer = await asyncio.open_connection(host, port)
        connection.writers.append(target_writer)
        await asyncio.gather(
            connection.pump(reader, target_writer),
            connection.pump(target_reader, writer),
        )
