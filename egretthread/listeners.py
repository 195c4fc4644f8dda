"""Listening sockets that a process opens before it loads its other modules."""

import socket

from egretthread import settings

# Maximum number of connections waiting to be accepted.
BACKLOG = 512


class Listeners:
    """The listening sockets of one process.

    A connection that arrives while the process is still starting waits in the
    queue of its socket. Without a socket it would be refused, and its sender
    would retry only some time later.

    Attributes:
        sockets: Sockets that nobody serves yet, by address.
    """

    def __init__(self):
        self.sockets: dict[str, socket.socket] = {}

    def open(self, address: str) -> None:
        """Starts listening at `host:port`.

        Raises:
            OSError: The address is in use or not one of this instance.
        """
        host, port = settings.split_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        opened = socket.create_server(
            (host, port), family=family, backlog=BACKLOG
        )
        opened.setblocking(False)
        self.sockets[address] = opened

    def take(self, address: str) -> socket.socket:
        """Returns the socket that listens at `host:port`, opened if necessary.

        Raises:
            OSError: The address is in use or not one of this instance.
        """
        if address not in self.sockets:
            self.open(address)
        return self.sockets.pop(address)
