"""Limits on what a listener holds for its clients, and whom it disconnects."""

import dataclasses
import enum
from collections.abc import Callable

# Share of the memory of a process that received requests may take. A body takes
# twice its size while it is decoded, a chunked one more, and the garbage of
# earlier requests is not returned to the system at once.
MEMORY_SHARE = 2 / 15
# Descriptors of a process that are reserved for files.
FILE_DESCRIPTORS = 200
# Share of the other descriptors that callers may take; the rest is left for
# links, with and without a handshake, the store and operators.
DESCRIPTOR_SHARE = 2 / 3
# Once a limit is reached, connections are closed until this share of it is in
# use, so that they are not sorted again for each further one.
RELIEVED_SHARE = 3 / 4
# Share of the limit on bytes that a listener reads in one turn of the event
# loop. The memory of closed connections is not free before the next turn.
TURN_SHARE = 1 / 4
# Larger requests are closed before smaller ones, as those of most callers.
LARGE_BYTES = 16 * 1024
# A request that makes no progress for this time counts as standing still.
STILL_S = 1.0
# A chunked request may have this many lines, and one more for each so many
# bytes. Each chunk has two. Lines of content count only until it is decoded.
FREE_LINES = 8_192
BYTES_PER_LINE = 64


class Reason(enum.StrEnum):
    """Why connections are closed."""

    BYTES = "bytes"
    CONNECTIONS = "connections"
    STALLED = "stalled"
    SMALL_CHUNKS = "small_chunks"


class State(enum.IntEnum):
    """What a connection does; those of low numbers are closed first."""

    NEW = 0
    IDLE = 1
    RECEIVING = 2
    WAITING = 3


@dataclasses.dataclass(frozen=True)
class IntakeLimits:
    """Limits of one listener.

    Attributes:
        total_bytes: Total size of the requests that are received or wait for
            their response.
        connections: Number of connections.
        stall_s: Time after which a request without progress is given up.
    """

    total_bytes: int
    connections: int
    stall_s: float = 30.0


# For a listener whose requests have no bodies, such as that for metrics.
SMALL_LIMITS = IntakeLimits(total_bytes=2**20, connections=64)
SMALL_BODY_BYTES = 64 * 1024


def limits_of(memory_mb: int, max_fds: int) -> IntakeLimits:
    """Returns the limits of a process's main listener.

    Args:
        memory_mb: Memory limit of the process.
        max_fds: Limit on its open descriptors.
    """
    return IntakeLimits(
        total_bytes=int(memory_mb * 10**6 * MEMORY_SHARE),
        connections=int((max_fds - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE),
    )


@dataclasses.dataclass(eq=False, slots=True)
class Client:
    """One connection of a client.

    Attributes:
        close: Closes the connection.
        progress_s: Time of the last byte received, or of the last response.
        state: What the connection does.
        started_s: Time of the first byte of the current request.
        held_bytes: Bytes received of the current request.
        lines: Lines in them, less those of the content.
        is_chunked: Whether the current request has a chunked body.
        is_closed: Whether the connection has been closed.
    """

    close: Callable[[], None]
    progress_s: float
    state: State = State.NEW
    started_s: float = 0.0
    held_bytes: int = 0
    lines: int = 0
    is_chunked: bool = False
    is_closed: bool = False


class Intake:
    """The connections of one listener.

    Attributes:
        limits: The limits.
        on_closed: Called with a reason and a number after connections have
            been closed.
        clients: The open connections.
        total_bytes: Sum of their `held_bytes`.
        turn_bytes: Bytes received since the start of the turn.
        is_paused: Whether nothing more may be read before the next turn.
    """

    def __init__(
        self, limits: IntakeLimits, on_closed: Callable[[Reason, int], None]
    ):
        self.limits = limits
        self.on_closed = on_closed
        self.clients: set[Client] = set()
        self.total_bytes = 0
        self.turn_bytes = 0
        self.is_paused = False

    def pause(self) -> bool:
        """Ends the turn if enough was read; returns whether it did."""
        if self.turn_bytes < self.limits.total_bytes * TURN_SHARE:
            return False
        self.is_paused = True
        return True

    def start_turn(self) -> None:
        """Allows to read again."""
        self.turn_bytes = 0
        self.is_paused = False

    def open(self, close: Callable[[], None], now_s: float) -> Client:
        """Adds a connection; closes others if there are too many."""
        if len(self.clients) >= self.limits.connections:
            kept = int(self.limits.connections * RELIEVED_SHARE)
            order = sorted(self.clients, key=lambda each: _rank(each, now_s))
            spare = [each for each in order if _is_spare(each, now_s)]
            self._close_all(
                spare[: len(order) - kept] or order[:1], Reason.CONNECTIONS
            )
        client = Client(close, now_s)
        self.clients.add(client)
        return client

    def receive(
        self, client: Client, size_bytes: int, lines: int, now_s: float
    ) -> bool:
        """Counts received bytes; returns whether the connection stays open."""
        if client.is_closed:
            return False
        client.progress_s = now_s
        if not client.held_bytes:
            client.started_s = now_s
        client.held_bytes += size_bytes
        client.lines += lines
        self.total_bytes += size_bytes
        self.turn_bytes += size_bytes
        if client.state is not State.WAITING:
            client.state = State.RECEIVING
        if client.is_chunked and not self.check_chunks(client):
            return False
        if self.total_bytes > self.limits.total_bytes:
            self._relieve(now_s)
        return not client.is_closed

    def check_chunks(self, client: Client) -> bool:
        """Closes a connection that sends very small chunks.

        Returns:
            Whether it stays open.
        """
        if client.lines > FREE_LINES + client.held_bytes // BYTES_PER_LINE:
            self._close_all([client], Reason.SMALL_CHUNKS)
        return not client.is_closed

    def wait(self, client: Client) -> None:
        """Records that a request is complete and waits for its response."""
        client.state = State.WAITING

    def reset(
        self, client: Client, held_bytes: int, lines: int, now_s: float
    ) -> None:
        """Records that a connection may send its next request.

        Args:
            client: The connection.
            held_bytes: Bytes received of the next request.
            lines: Lines in them.
            now_s: The time.
        """
        if client.is_closed:
            return
        self.total_bytes += held_bytes - client.held_bytes
        client.held_bytes = held_bytes
        client.lines = lines
        client.is_chunked = False
        client.progress_s = client.started_s = now_s
        if held_bytes:
            client.state = State.RECEIVING
        elif client.state is not State.NEW:
            client.state = State.IDLE

    def discard(self, client: Client) -> None:
        """Removes a connection that has been closed."""
        if not client.is_closed:
            client.is_closed = True
            self.clients.remove(client)
            self.total_bytes -= client.held_bytes
            # Breaks the cycle of references with the connection.
            client.close = _do_nothing

    def close_stalled(self, now_s: float) -> None:
        """Closes connections whose request has stood still for too long."""
        stalled = [
            client
            for client in self.clients
            if client.state is State.RECEIVING
            and now_s - client.progress_s >= self.limits.stall_s
        ]
        self._close_all(stalled, Reason.STALLED)

    def _relieve(self, now_s: float) -> None:
        """Closes connections until the requests fit the limit again."""
        excess = self.total_bytes - int(
            self.limits.total_bytes * RELIEVED_SHARE
        )
        chosen = []
        for client in sorted(
            self.clients, key=lambda each: _size_rank(each, now_s)
        ):
            if excess <= 0:
                break
            if client.held_bytes:
                chosen.append(client)
                excess -= client.held_bytes
        self._close_all(chosen, Reason.BYTES)

    def _close_all(self, clients: list[Client], reason: Reason) -> None:
        if not clients:
            return
        for client in clients:
            close = client.close
            self.discard(client)
            close()
        self.on_closed(reason, len(clients))


def _do_nothing() -> None:
    pass


def _is_still(client: Client, now_s: float) -> bool:
    return (
        client.state in (State.RECEIVING, State.NEW)
        and now_s - client.progress_s >= STILL_S
    )


def _is_spare(client: Client, now_s: float) -> bool:
    return client.state < State.RECEIVING or _is_still(client, now_s)


def _rank(client: Client, now_s: float) -> tuple:
    """Order in which connections are closed when there are too many."""
    return (not _is_still(client, now_s), client.state, client.progress_s)


def _size_rank(client: Client, now_s: float) -> tuple:
    """Order in which connections are closed when they hold too much."""
    if _is_still(client, now_s):
        return (0, client.progress_s)
    if client.held_bytes > LARGE_BYTES:
        return (1, client.started_s)
    return (2, client.started_s)
