"""Client of the processes' admin interface: state and configuration."""

import asyncio
import json
import time
from collections.abc import Callable

from tornado import httpclient

from egretthread import util

POLL_S = 0.2
TIMEOUT_S = 5.0


class ProcessUnreachableError(util.EgretthreadError):
    """A process did not answer at its admin address."""

    kind = "process_unreachable"


class NotInForceError(util.EgretthreadError):
    """A configuration did not come into force everywhere in time."""

    kind = "not_in_force"


async def fetch_state(address: str) -> dict:
    """Returns the state dump of the process at `host:port`.

    Raises:
        ProcessUnreachableError: It did not answer with a state dump.
    """
    return await fetch_json(address, "/state")


async def fetch_config_offset(address: str) -> int:
    """Returns the offset of the configuration that a process has in force.

    Raises:
        ProcessUnreachableError: It did not answer.
    """
    health = await fetch_json(address, "/health")
    return int(health["config_offset"])


async def wait_in_force(
    addresses: tuple[str, ...],
    offset: int,
    timeout_s: float,
    progress: Callable[[str], None],
) -> None:
    """Waits until processes have a configuration, or a later one, in force.

    Args:
        addresses: Admin addresses, `host:port`, of entries or agents.
        offset: Log offset of the configuration.
        timeout_s: How long to wait for all of them.
        progress: Called with a line of text for each process that has it in
            force.

    Raises:
        NotInForceError: It was not in force at all processes in time.
    """
    give_up_s = time.monotonic() + timeout_s
    pending = list(addresses)
    while pending:
        for address in tuple(pending):
            if await is_in_force(address, offset):
                pending.remove(address)
                progress(f"offset {offset} is in force at {address}")
        if pending and time.monotonic() >= give_up_s:
            raise NotInForceError(
                f"offset {offset} is not in force at {', '.join(pending)}",
                "check the state of these processes and of the log service",
            )
        if pending:
            await asyncio.sleep(POLL_S)


async def is_in_force(address: str, offset: int) -> bool:
    """Whether the configuration at an offset or later is in force."""
    try:
        return await fetch_config_offset(address) >= offset
    except ProcessUnreachableError:
        return False


async def fetch_json(address: str, path: str) -> dict:
    """Returns the JSON object in a process's response, whatever the status.

    Raises:
        ProcessUnreachableError: It did not answer with a JSON object.
    """
    url = f"http://{address}{path}"
    http = httpclient.AsyncHTTPClient()
    try:
        response = await http.fetch(
            url, raise_error=False, request_timeout=TIMEOUT_S
        )
        body = json.loads(response.body)
    except (OSError, ValueError, httpclient.HTTPError) as error:
        raise ProcessUnreachableError(
            f"{url} did not answer: {error}",
            "check that the process runs and that admin_address is right",
        ) from error
    if not isinstance(body, dict):
        raise ProcessUnreachableError(
            f"{url} did not answer with a JSON object",
            "check the admin address",
        )
    return body
