"""Helpers for coroutine tests in testtools test cases."""

import asyncio
import contextlib
import functools
import random
import socket

# Timeout of a wait in a test that would otherwise hang; no test takes so long.
TEST_TIMEOUT_S = 20.0

# Ports below those that the kernel gives to outgoing connections, any of which
# could take a port between its choice and its use.
PORTS = range(12_000, 32_000)


def free_port() -> int:
    """Returns a port of 127.0.0.1 at which nothing listens."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # Somebody else has it.
                continue
        return port


def run_async(test):
    """Runs a coroutine test method on an event loop of its own.

    The method can register clean-ups with the AsyncExitStack `self.stack`.
    """

    @functools.wraps(test)
    def wrapper(self):
        async def run():
            async with contextlib.AsyncExitStack() as self.stack:
                await test(self)

        asyncio.run(run())

    return wrapper


async def until(condition) -> None:
    """Polls until a condition holds.

    Raises:
        TimeoutError: It does not hold within the timeout.
    """
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
