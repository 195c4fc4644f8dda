"""Starts HTTP servers on listening sockets."""

import socket

import tornado.httpserver
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
