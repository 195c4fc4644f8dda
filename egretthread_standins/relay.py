"""A TCP relay that stands in for a network path that fails."""

import asyncio

from egretthread import settings

CHUNK_BYTES = 65_536


class Path:
    """One relayed connection.

    Attributes:
        flowing: Set while bytes pass in both directions.
        writers: The two ends.
    """

    def __init__(self):
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.writers: list[asyncio.StreamWriter] = []

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copies one direction until its end."""
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
        """Resets both ends."""
        for writer in self.writers:
            writer.transport.abort()


class Relay:
    """Relays TCP connections on 127.0.0.1 to a target.

    Attributes:
        target: `host:port` that connections are relayed to; may be changed.
        port: The port it listens on, once started.
        accepted: Connections accepted so far.
        paths: The connections that are open.
    """

    def __init__(self, target: str):
        self.target = target
        self.port = 0
        self.accepted = 0
        self.paths: set[Path] = set()
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
        """Holds back all bytes of the open connections, their ends too.

        Args:
            include_new: Whether connections made later are silent as well.
        """
        self.stall_new = include_new
        for path in self.paths:
            path.flowing.clear()

    def resume(self) -> None:
        """Lets the silent connections pass what was held back."""
        self.stall_new = False
        for path in self.paths:
            path.flowing.set()

    def reset(self) -> None:
        """Resets the open connections; new ones work."""
        for path in tuple(self.paths):
            path.reset()

    async def close(self) -> None:
        """Stops listening and resets the open connections."""
        self.resume()
        self.reset()
        self.server.close()
        await self.server.wait_closed()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relays one connection until both directions have ended."""
        path = Path()
        path.writers.append(writer)
        self.accepted += 1
        self.paths.add(path)
        if self.stall_new:
            path.flowing.clear()
        try:
            await self.connect(path, reader, writer)
        except OSError:
            pass
        finally:
            self.paths.discard(path)
            path.reset()

    async def connect(
        self,
        path: Path,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Connects a path to the target and copies both directions."""
        host, port = settings.split_address(self.target)
        far_reader, far_writer = await asyncio.open_connection(host, port)
        path.writers.append(far_writer)
        await asyncio.gather(
            path.pump(reader, far_writer), path.pump(far_reader, writer)
        )
