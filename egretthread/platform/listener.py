"""Starts HTTP servers at addresses from the settings."""

import tornado.httpserver
import tornado.netutil
import tornado.web

from egretthread.settings import split_address

# Maximum number of connections waiting to be accepted.
BACKLOG = 512


def listen(
    address: str, handlers: list[tuple], **options: float
) -> tornado.httpserver.HTTPServer:
    """Starts an HTTP server and returns it.

    Args:
        address: `host:port` to listen on.
        handlers: Path, handler class and its arguments, as for
            `tornado.web.Application`.
        **options: Options of `tornado.httpserver.HTTPServer`.
    """
    application = tornado.web.Application(
        handlers, log_function=lambda handler: None
    )
    http = tornado.httpserver.HTTPServer(application, **options)
    host, port = split_address(address)
    http.add_sockets(tornado.netutil.bind_sockets(port, host, backlog=BACKLOG))
    return http
