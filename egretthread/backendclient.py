"""Runs tasks on the backend server over HTTP."""

import asyncio
from collections.abc import Callable

import orjson
import tornado.httpclient

from egretthread import backendpool, outcome, util
from egretthread.agentboard import StartCall
from egretthread.httpconnection import Connection, Response
from egretthread.outcome import Outcome
from egretthread.settings import AgentSettings

MAX_RESULT_BYTES = 16_384
MAX_REASON_CHARS = 300
HEALTH_TIMEOUT_S = 1.0
HTTP_OK = 200
HTTP_REDIRECTION = 300


class NotStartedError(util.EgretthreadError):
    """No part of the task's request was sent, so the task did not start."""

    kind = "not_started"


class BackendClient:
    """Client of the backend server on this agent's worker.

    Attributes:
        settings: The agent's settings.
        pool: Connections for tasks; the settings limit their number.
        http: HTTP client for health checks, which use new connections.
    """

    def __init__(self, settings: AgentSettings):
        self.settings = settings
        self.pool = backendpool.ConnectionPool(
            settings.backend_url, settings.connections, MAX_RESULT_BYTES * 4
        )
        self.http = tornado.httpclient.AsyncHTTPClient(force_instance=True)

    def close(self) -> None:
        """Closes the connections."""
        self.pool.close()
        self.http.close()

    async def run(
        self, call: StartCall, may_start: Callable[[], bool]
    ) -> Outcome:
        """Runs one task.

        Args:
            call: The call for the task.
            may_start: Returns whether the task may still start. It is called
                immediately before the payload is written, without yielding to
                the event loop in between.

        Returns:
            The task's outcome.

        Raises:
            NotStartedError: The payload was not written, so the task did not
                start.
        """
        async with self.pool.semaphore:
            try:
                connection = await self.pool.connect()
            except OSError as error:
                raise NotStartedError(
                    f"cannot connect to the backend server: {error!r}",
                    "start the backend server or correct backend_url",
                ) from error
            if not may_start():
                self.pool.release(connection)
                raise NotStartedError(
                    "the agent's lease does not allow the task to start",
                    "assign the task again",
                )
            return await self._exchange(call, connection)

    async def _exchange(
        self, call: StartCall, connection: Connection
    ) -> Outcome:
        """Writes a task's payload without waiting, then reads the result."""
        job = call.job
        path = f"/tasks/{job.organisation}/{job.key}/{call.index}"
        self.pool.write(connection, path, call.payload.encode())
        try:
            async with asyncio.timeout(call.timeout_s):
                response = await self.pool.read(connection)
        except OSError as error:
            return outcome.unknown(
                f"the backend server gave no answer: {error!r}"[
                    :MAX_REASON_CHARS
                ]
            )
        return _outcome_of_response(response)

    async def is_healthy(self) -> bool:
        """Whether the health check of the backend server succeeds."""
        url = self.settings.backend_url + self.settings.backend_health_path
        try:
            response = await self.http.fetch(
                url,
                raise_error=False,
                connect_timeout=HEALTH_TIMEOUT_S,
                request_timeout=HEALTH_TIMEOUT_S,
            )
        except (OSError, tornado.httpclient.HTTPError):
            return False
        return response.code == HTTP_OK


def _outcome_of_response(response: Response) -> Outcome:
    body = response.body
    if not HTTP_OK <= response.code < HTTP_REDIRECTION:
        text = body.decode(errors="replace")[:MAX_REASON_CHARS]
        return outcome.failed(text or f"status {response.code}")
    if len(body) > MAX_RESULT_BYTES:
        return outcome.failed(
            f"the result has {len(body)} bytes, over {MAX_RESULT_BYTES}"
        )
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return outcome.failed("the result is not JSON")
    return outcome.done(body.decode())
