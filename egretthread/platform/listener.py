"""HTTP servers on listening sockets, and the state of their connections."""

import collections
import select
import socket
import struct
from collections.abc import Callable

import tornado.iostream
import tornado.web

from egretthread import intake
from egretthread.intake import IntakeLimits
from egretthread.intakeserver import IntakeServer

# The part of `struct tcp_info` (linux/tcp.h) that ends with
# `tcpi_last_data_recv`, the time in ms since data last arrived.
TCP_INFO = struct.Struct("=52xI")


def serve(
    listening: socket.socket,
    handlers: list[tuple],
    limits: IntakeLimits = intake.SMALL_LIMITS,
    body_limit: Callable[[], int] = lambda: intake.SMALL_BODY_BYTES,
    counters: collections.Counter | None = None,
    **options: float,
) -> IntakeServer:
    """Starts an HTTP server and returns it.

    Args:
        listening: The listening socket.
        handlers: Path, handler class and its arguments, as for
            `tornado.web.Application`.
        limits: Limits on all clients together.
        body_limit: Returns the largest body of a request in bytes.
        counters: Counters of events, if connections closed for a limit are
            counted.
        **options: Options of `tornado.httpserver.HTTPServer`.
    """
    application = tornado.web.Application(
        handlers, log_function=lambda handler: None
    )
    if counters is None:
        counters = collections.Counter()
    http = IntakeServer(application, limits, body_limit, counters, **options)
    http.add_sockets([listening])
    return http


def last_data_age_s(stream: tornado.iostream.IOStream) -> float:
    """Returns how long ago data last arrived on a connection, in seconds.

    It is 0 where the kernel does not tell.
    """
    if stream.closed():
        return 0.0
    try:
        info = stream.socket.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size
        )
    except OSError:
        return 0.0
    if len(info) < TCP_INFO.size:
        return 0.0
    (age_ms,) = TCP_INFO.unpack(info)
    return age_ms / 1000


def is_closed_by_peer(stream: tornado.iostream.IOStream) -> bool:
    """Whether the other end has closed a connection, wholly or for sending.

    Unlike `closed`, it does not depend on what has been read so far.
    """
    if stream.closed():
        return True
    poll = select.poll()
    poll.register(stream.socket, select.POLLRDHUP)
    return bool(poll.poll(0))
