"""Simulated network between the entries and agents of a benchmark."""

import collections
from collections.abc import Callable

from egretthread_bench.eventloop import EventLoop


class Network:
    """Delivers messages after a constant delay and counts them.

    Attributes:
        loop: The event loop.
        delay_s: One-way delay of a message.
        messages: Number of messages sent, by kind.
        frames: Number of writes to connections; messages that one process
            sends to another at the same time share one.
    """

    def __init__(self, loop: EventLoop, delay_s: float):
        self.loop = loop
        self.delay_s = delay_s
        self.messages: collections.Counter[str] = collections.Counter()
        self.frames = 0
        self._last_s: dict[tuple, float] = {}

    def send(
        self,
        kind: str,
        source: str,
        target: str,
        handler: Callable,
        *args,
        count: int = 1,
    ) -> None:
        """Sends one or more messages; the handler runs when they arrive.

        Args:
            kind: Kind under which the messages are counted.
            source: Node id of the sender.
            target: Node id of the receiver.
            handler: Called with `args` after the delay.
            *args: Content of the messages.
            count: Number of messages that the content takes.
        """
        self.messages[kind] += count
        now_s = self.loop.now_s
        if self._last_s.get((source, target)) != now_s:
            self._last_s[source, target] = now_s
            self.frames += 1
        self.loop.at(now_s + self.delay_s, handler, *args)
