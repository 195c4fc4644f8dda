"""Load pattern: agents that start before the entries that they link with.

An instance without power does not answer, and a connection attempt that was
begun before it is back does not reach it later.
"""

import asyncio
import itertools
import random
import unittest.mock

import testtools

from egretthread import link
from tests.aio import run_async
from tests.test_link import OPTIONS

# Upper bound of the wait between two attempts of an agent.
RECONNECT_S = 0.2
# When the instance answers, after the first attempt was begun.
POWER_S = 0.08
# Time in which an attempt that is begun before is given up, and another begun,
# for the usual delay of the entry's start.
LINKED_S = 0.35


class StartingInstance:
    """Stands for the connections to an instance without power.

    Attributes:
        begun_s: When each attempt was begun.
        answered_s: When one was begun that reached the instance.
        answered: Set then.
    """

    def __init__(self, power_s):
        self.power_s = power_s
        self.begun_s = []
        self.answered_s = None
        self.answered = asyncio.Event()

    async def open_socket(self, host, port):
        now_s = asyncio.get_running_loop().time()
        self.begun_s.append(now_s)
        if now_s - self.begun_s[0] < self.power_s:
            await asyncio.sleep(3600)
        self.answered_s = now_s
        self.answered.set()
        raise ConnectionRefusedError


class LinkStartTest(testtools.TestCase):
    async def connect(self, power_s, wait_s):
        """Connects until the instance answers; returns the instance."""
        instance = StartingInstance(power_s)
        client = link.LinkClient(
            "10.0.0.1:7000",
            OPTIONS,
            "agent-1#2",
            "agent",
            on_messages=lambda peer, batch: None,
            on_open=lambda peer: None,
            on_close=lambda peer: None,
            rng=random.Random(1),
            backoff_max_s=RECONNECT_S,
        )
        with unittest.mock.patch.object(
            link, "_open_socket", instance.open_socket
        ):
            client.start()
            await asyncio.wait(
                (asyncio.create_task(instance.answered.wait()),), timeout=wait_s
            )
            await client.close()
        return instance

    @run_async
    async def test_an_instance_is_reached_soon_after_its_power_is_back(self):
        instance = await self.connect(POWER_S, 5.0)
        self.assertLess(instance.answered_s - instance.begun_s[0], LINKED_S)

    @run_async
    async def test_one_of_three_attempts_leaves_time_for_distant_instances(
        self,
    ):
        instance = await self.connect(3600.0, 1.6)
        gaps_s = [
            after - before
            for before, after in itertools.pairwise(instance.begun_s)
        ]
        self.assertGreaterEqual(max(gaps_s[:3]), max(link.CONNECT_TIMEOUTS_S))
        self.assertLess(min(gaps_s), 0.2)
