"""Listening for HTTP at an address of the settings."""

import tornado.httpserver
import tornado.netutil
import tornado.web

from egretthread.settings import split_address

# Connections that may wait to be accepted.
BACKLOG = 512


def listen(
    address: str, handlers: list[tuple], **options: float
) -> tornado.httpserver.HTTPServer:
    """Returns an HTTP server that listens.

    Args:
        address: `host:port`.
        handlers: Path, handler and its arguments, as tornado takes them.
        **options: Options of the HTTP server.
    """
    application = tornado.web.Application(
        handlers, log_function=lambda handler: None
    )
    http = tornado.httpserver.HTTPServer(application, **options)
    host, port = split_address(address)
    http.add_sockets(tornado.netutil.bind_sockets(port, host, backlog=BACKLOG))
    return http
