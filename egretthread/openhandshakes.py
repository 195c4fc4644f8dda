"""Connections whose handshake is not complete yet, limited in number."""

import asyncio
import itertools


class OpenHandshakes:
    """Connections that are not authenticated yet.

    When there are too many, the host with the most of them loses its oldest.
    Other hosts, which complete their handshakes soon, can still connect.

    Attributes:
        limit: Maximum number of connections.
        tasks_by_host: Tasks of the connections of each host, the oldest first,
            with the order in which they were added.
        hosts: Host of each task.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.tasks_by_host: dict[str, dict[asyncio.Task, int]] = {}
        self.hosts: dict[asyncio.Task, str] = {}
        self.numbers = itertools.count()

    def add(self, task: asyncio.Task, host: str) -> asyncio.Task | None:
        """Adds a connection.

        Args:
            task: Task that serves the connection.
            host: IP address of the other end.

        Returns:
            The task of a connection to close instead, which is removed; None
            while there are not too many.
        """
        self.hosts[task] = host
        self.tasks_by_host.setdefault(host, {})[task] = next(self.numbers)
        if len(self.hosts) <= self.limit:
            return None
        excess = next(iter(max(self.tasks_by_host.values(), key=_precedence)))
        self.remove(excess)
        return excess

    def remove(self, task: asyncio.Task) -> None:
        """Removes a connection if it is still there."""
        host = self.hosts.pop(task, None)
        if host is None:
            return
        tasks = self.tasks_by_host[host]
        del tasks[task]
        if not tasks:
            del self.tasks_by_host[host]


def _precedence(tasks: dict[asyncio.Task, int]) -> tuple[int, int]:
    """Returns what is greatest for the host that loses a connection."""
    return len(tasks), -next(iter(tasks.values()))
