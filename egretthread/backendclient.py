"""Calls the backend server for one task at a time."""

from collections.abc import Callable

import orjson
import tornado.httpclient

from egretthread import outcome, util
from egretthread.blackboard import StartOrder
from egretthread.outcome import Outcome
from egretthread.settings import AgentSettings

MAX_RESULT_BYTES = 16_384
MAX_REASON_CHARS = 300
CONNECT_TIMEOUT_S = 2.0
HEALTH_TIMEOUT_S = 1.0
HTTP_OK = 200


class NotStartedError(util.EgretthreadError):
    """The task provably did not reach the backend server."""

    kind = "not_started"


class BackendClient:
    """Runs tasks on the backend server beside this agent.

    Attributes:
        settings: The agent's settings.
        http: The HTTP client, limited to the settings' connections.
    """

    def __init__(self, settings: AgentSettings):
        self.settings = settings
        self.http = tornado.httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=settings.connections,
            max_body_size=MAX_RESULT_BYTES * 4,
        )

    def close(self) -> None:
        """Closes the HTTP client."""
        self.http.close()

    async def run(
        self, order: StartOrder, may_start: Callable[[], bool]
    ) -> Outcome:
        """Runs one task.

        Args:
            order: The task.
            may_start: Asked right before the task's payload is written, with
                no wait in between.

        Returns:
            The task's outcome.

        Raises:
            NotStartedError: The payload was not written: the task did not
                start.
        """
        attempt = _Attempt(order.payload.encode(), may_start)
        try:
            response = await self.http.fetch(self._request(order, attempt))
        except Exception as error:
            if not attempt.written:
                raise NotStartedError(
                    f"the backend server was not reached: {error!r}",
                    "start the backend server or correct backend_url",
                ) from error
            return _outcome_of_error(error)
        return _outcome_of_response(response)

    def _request(
        self, order: StartOrder, attempt: "_Attempt"
    ) -> tornado.httpclient.HTTPRequest:
        job = order.job
        path = f"/tasks/{job.organisation}/{job.key}/{order.index}"
        return tornado.httpclient.HTTPRequest(
            self.settings.backend_url + path,
            method="POST",
            body_producer=attempt.produce,
            headers={"Content-Type": "application/json"},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=order.timeout_s,
            follow_redirects=False,
        )

    async def is_healthy(self) -> bool:
        """Whether the backend server answers its health path."""
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


class _Attempt:
    """One payload and whether any of it was written."""

    def __init__(self, payload: bytes, may_start: Callable[[], bool]):
        self.payload = payload
        self.may_start = may_start
        self.written = False

    def produce(self, write):
        """Writes the payload, unless the task may not start any more.

        This is a plain function: the HTTP client calls it once connected
        and in the same turn of the event loop as it writes.
        """
        if not self.may_start():
            raise NotStartedError(
                "the lease does not allow the start", "hand it out again"
            )
        self.written = True
        return write(self.payload)


def _outcome_of_error(error: Exception) -> Outcome:
    response = getattr(error, "response", None)
    if response is not None:
        body = response.body or b""
        text = body.decode(errors="replace")[:MAX_REASON_CHARS]
        return outcome.failed(text or f"status {response.code}")
    return outcome.unknown(
        f"the backend server gave no answer: {error!r}"[:MAX_REASON_CHARS]
    )


def _outcome_of_response(
    response: tornado.httpclient.HTTPResponse,
) -> Outcome:
    body = response.body
    if len(body) > MAX_RESULT_BYTES:
        return outcome.failed(
            f"the result has {len(body)} bytes, over {MAX_RESULT_BYTES}"
        )
    try:
        orjson.loads(body)
    except orjson.JSONDecodeError:
        return outcome.failed("the result is not JSON")
    return outcome.done(body.decode())
