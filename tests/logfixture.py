"""A log service and its client for tests that need both."""

import asyncio
from collections.abc import Awaitable, Callable

from egretthread import logclient
from egretthread_standins import logservice

Scenario = Callable[
    [logservice.LogService, logclient.LogClient], Awaitable[None]
]


class ManualClock:
    """A clock that advances only when `now_s` is set."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def run_with_log(scenario: Scenario, clock=None, **settings) -> None:
    """Runs a scenario with a new log service and a client of it."""

    async def run():
        service = logservice.LogService(
            logservice.LogServiceSettings(**settings), clock or ManualClock()
        )
        service.start()
        log = logclient.LogClient(service.url)
        try:
            await scenario(service, log)
        finally:
            log.close()
            await service.close()

    asyncio.run(run())


async def raises(error: type, awaitable: Awaitable):
    """Returns the expected error that awaiting raises."""
    try:
        result = await awaitable
    except error as caught:
        return caught
    raise AssertionError(f"no {error.__name__}, but {result!r}")
