"""Delivers messages between the bench's entries and agents, and counts."""

import collections
from collections.abc import Callable

from egretthread_bench.eventloop import EventLoop


class Postbox:
    """Delivers after a constant delay.

    Attributes:
        loop: The event loop.
        delay_s: Delay of a message, one way.
        messages: Messages sent, by kind.
        frames: Writes to a connection: messages that one process sends to
            another at the same moment share one.
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
        """Sends messages that go together; the handler runs on arrival.

        Args:
            kind: Kind of the messages, under which they are counted.
            source: Node id of the sender.
            target: Node id of the receiver.
            handler: Called with `args` after the delay.
            *args: What the messages say.
            count: How many messages that takes.
        """
        self.messages[kind] += count
        now_s = self.loop.now_s
        if self._last_s.get((source, target)) != now_s:
            self._last_s[source, target] = now_s
            self.frames += 1
        self.loop.at(now_s + self.delay_s, handler, *args)
