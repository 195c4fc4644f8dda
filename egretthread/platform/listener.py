"""HTTP servers on listening sockets, and the state of their connections."""

import select
import socket

import tornado.httpserver
import tornado.iostream
import tornado.web


def serve(
    listening: socket.socket, handlers: list[tuple], **options: float
) -> tornado.httpserver.HTTPServer:
    """Starts an HTTP server and returns it.

    Args:
        listening: The listening socket.
        handlers: Path, handler class and its arguments, as for
            `tornado.web.Application`.
        **options: Options of `tornado.httpserver.HTTPServer`.
    """
    application = tornado.web.Application(
        handlers, log_function=lambda handler: None
    )
    http = tornado.httpserver.HTTPServer(application, **options)
    http.add_sockets([listening])
    return http


def is_closed_by_peer(stream: tornado.iostream.IOStream) -> bool:
    """Whether the other end has closed a connection, wholly or for sending.

    Unlike `closed`, it does not depend on what has been read so far.
    """
    if stream.closed():
        return True
    poll = select.poll()
    poll.register(stream.socket, select.POLLRDHUP)
    return bool(poll.poll(0))
