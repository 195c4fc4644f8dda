"""Loops that run in the background for the life of a process."""

import asyncio
from collections.abc import Awaitable, Callable

from egretthread import logs

# Delay before a loop is started again after an unexpected error.
RESTART_DELAY_S = 0.1


async def keep_running(loop: Callable[[], Awaitable[None]]) -> None:
    """Runs a loop, and runs it again after an unexpected error.

    A process whose timers or polls have ended would keep its links and look
    alive without doing its work.

    Args:
        loop: The loop, which holds no state of its own between iterations.
    """
    while True:
        try:
            await loop()
            return
        except Exception:
            logs.exception("background_loop_failed", loop=loop.__qualname__)
            await asyncio.sleep(RESTART_DELAY_S)
