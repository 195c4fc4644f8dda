"""Runs coroutine tests within testtools' test cases."""

import asyncio
import contextlib
import functools

# Bounds a test that would otherwise hang; no test takes this long.
TEST_TIMEOUT_S = 20.0


def run_async(test):
    """Makes a coroutine method a test that runs on an event loop of its own.

    The method finds an AsyncExitStack for its clean-ups in `self.stack`.
    """

    @functools.wraps(test)
    def wrapper(self):
        async def run():
            async with contextlib.AsyncExitStack() as self.stack:
                await test(self)

        asyncio.run(run())

    return wrapper


async def until(condition) -> None:
    """Waits for a condition that the event loop will bring about."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
