"""Client library of callers: submits jobs and recovers their answers.

A request that got no answer is retried through the next entry under the same
job key, so that no task of the job starts twice.
"""

import asyncio
import dataclasses
import json
import random
import secrets
import time
from collections.abc import Callable

from tornado import httpclient, ioloop, simple_httpclient

from egretthread import apierror, callerjob, endpoints, jobkey, retry
from egretthread.callerjob import (
    Job,
    JobState,
    JobStatus,
    SingleRequest,
    Task,
)
from egretthread.outcome import JobAnswer, Outcome

__all__ = [
    "AsyncClient",
    "Client",
    "ClientSettings",
    "Job",
    "JobAnswer",
    "JobState",
    "JobStatus",
    "Outcome",
    "SingleRequest",
    "Task",
    "new_key",
]

# Longest time for a status or cancel call, including its retries.
CONTROL_TIMEOUT_S = 10.0
# Retries earned by each successful call.
RETRY_SHARE = 0.2
# Retries per second that are allowed without any success.
MIN_RETRIES_PER_S = 10.0
# Pause before a call asks the exhausted retry budget again.
BUDGET_PAUSE_S = 0.1
# The pause that an entry asks for is multiplied by a random factor between 1
# and this one.
MAX_RETRY_AFTER_FACTOR = 1.5
MAX_CONNECTIONS = 1000
MAX_ANSWER_BYTES = 256 * 2**20


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """Settings of a client.

    Attributes:
        endpoints: Base URLs of the entries, or of the load balancer in front
            of them.
        token: Access key, `<organisation>.<secret>`.
        answer_grace_s: How long to wait for an answer after the deadline.
        attempt_s: Timeout of one attempt. The same request is then sent to
            another entry, so that a silent connection costs no more time.
        connect_s: Timeout of opening a connection.
        avoid_s: How long an endpoint is avoided after a lost connection.
        retry_share: Retries earned by each successful call.
        min_retries_per_s: Retries per second that are allowed without any
            success.
        max_connections: Largest number of requests in flight.
    """

    endpoints: tuple[str, ...]
    token: str
    answer_grace_s: float = 5.0
    attempt_s: float = 15.0
    connect_s: float = 1.0
    avoid_s: float = 2.0
    retry_share: float = RETRY_SHARE
    min_retries_per_s: float = MIN_RETRIES_PER_S
    max_connections: int = MAX_CONNECTIONS


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request to any entry.

    Attributes:
        method: HTTP method.
        path: Path below the endpoint.
        key: The job key that the answer must name; empty for a request
            without a job key.
        job: The job to submit; None for other requests.
        single: The single request to send; None for other requests.
    """

    method: str
    path: str
    key: str = ""
    job: Job | None = None
    single: SingleRequest | None = None

    @property
    def starts_tasks(self) -> bool:
        """Whether the request can make an entry start tasks."""
        return self.job is not None or self.single is not None

    @property
    def at_most_once(self) -> bool:
        """Whether a retry is forbidden once a task may have started."""
        return self.single is not None and not self.single.idempotent

    def body(self) -> str | None:
        """Returns the JSON text to send; None if there is none."""
        if self.job is not None:
            return json.dumps(callerjob.job_body(self.job))
        if self.single is not None:
            return json.dumps(callerjob.request_body(self.single))
        return None


@dataclasses.dataclass
class Call:
    """State of one call across its attempts.

    Attributes:
        give_up_s: Monotonic time after which no more attempts are made.
        failures: Number of attempts that failed so far.
        may_have_started: Whether an attempt may have started a task.
    """

    give_up_s: float
    failures: int = 0
    may_have_started: bool = False


def new_key(name: str = "") -> str:
    """Returns a new job key for the current time.

    Args:
        name: 1 to 64 of the characters A-Z a-z 0-9 . _ - that make the key
            unique within its millisecond; random if empty.

    Raises:
        jobkey.JobKeyError: The name does not have that form.
    """
    return jobkey.make_key(time.time(), name or secrets.token_hex(8))


def check_status(request: Request, status: JobStatus) -> JobStatus:
    """Returns the status if it is a complete answer to the request.

    Raises:
        ValueError: It is for another job or does not hold all outcomes.
    """
    if status.key != request.key:
        raise ValueError(
            f"the answer is for job {status.key}, not for {request.key}"
        )
    if request.job is None:
        return status
    if status.answer is None:
        raise ValueError("the answer holds no outcomes")
    if len(status.answer.outcomes) != len(request.job.tasks):
        raise ValueError(
            f"the answer holds {len(status.answer.outcomes)} outcomes for"
            f" {len(request.job.tasks)} tasks"
        )
    return status


def submit_request(job: Job) -> Request:
    """Returns the request that submits a job."""
    return Request("POST", "/v1/jobs", job.key, job)


def single_request(single: SingleRequest) -> Request:
    """Returns the request for one task without a job key."""
    return Request("POST", "/v1/requests", single=single)


def keep_request(request: Request, error: apierror.ApiError) -> Request:
    """Returns the request unchanged, whatever the error was."""
    del error
    return request


def rekey_request(request: Request, error: apierror.ApiError) -> Request:
    """Returns the request, under a new key if the key's shard is unavailable.

    The key changes only if its shard has no majority, and only as long as no
    attempt under it may have started a task.
    """
    shard_unavailable = isinstance(error, apierror.ShardUnavailableError)
    if not shard_unavailable or error.may_have_started:
        return request
    name = request.key.partition("-")[2]
    return submit_request(
        dataclasses.replace(request.job, key=new_key(name)),
    )


class AsyncClient:
    """Submits jobs from within a running asyncio event loop.

    Attributes:
        settings: The client's settings.
        rng: Random source of the jitter and of the first endpoint.
        budget: Limits the retries of all calls together.
        endpoints: The entries, used in turn.
        http: The HTTP client; None unless started.
    """

    def __init__(
        self, settings: ClientSettings, rng: random.Random | None = None
    ):
        self.settings = settings
        self.rng = rng or random.Random()
        self.budget = retry.RetryBudget(
            settings.retry_share, settings.min_retries_per_s
        )
        self.endpoints = endpoints.Endpoints(settings.endpoints, self.rng)
        self.http: httpclient.AsyncHTTPClient | None = None

    def start(self) -> None:
        """Opens the HTTP client on the running event loop."""
        self.http = httpclient.AsyncHTTPClient(
            force_instance=True,
            max_clients=self.settings.max_connections,
            max_body_size=MAX_ANSWER_BYTES,
            max_buffer_size=MAX_ANSWER_BYTES,
        )

    def close(self) -> None:
        """Closes the HTTP client; calls in flight fail."""
        if self.http:
            self.http.close()
            self.http = None

    async def submit(self, job: Job, rekey: bool = False) -> JobAnswer:
        """Submits a job and waits for its complete answer.

        Lost connections and temporary refusals are retried under the same
        key until the deadline, within the retry budget. Submitting the same
        job again later is safe and gets the same answer.

        Args:
            job: The job.
            rekey: States that this key was never submitted before, and allows
                a new key if the key's shard is unavailable and no task was
                started. The answer then holds the new key.

        Raises:
            apierror.ApiError: A permanent refusal, or the last failure when
                the time or the retry budget ran out. `may_have_started` tells
                whether a task may have started through this call.
        """
        amend = rekey_request if rekey else keep_request
        wait_s = job.deadline_s + self.settings.answer_grace_s
        status = await self.call(submit_request(job), wait_s, amend)
        return status.answer

    async def request(self, single: SingleRequest) -> Outcome:
        """Sends a single request and waits for its outcome.

        A request that is not idempotent is retried only as long as its task
        cannot have started.

        Raises:
            apierror.ApiError: As for `submit`. If `may_have_started` is set,
                it can no longer be determined whether the task ran.
        """
        wait_s = single.deadline_s + self.settings.answer_grace_s
        return await self.call(single_request(single), wait_s, keep_request)

    async def status(self, key: str) -> JobStatus:
        """Returns the state of a job.

        Raises:
            apierror.ApiError: As for `submit`; UnknownJobError if the job is
                not known.
        """
        request = Request("GET", f"/v1/jobs/{jobkey.check_key(key)}", key)
        return await self.call(request, CONTROL_TIMEOUT_S, keep_request)

    async def cancel(self, key: str) -> JobStatus:
        """Cancels a job: no more of its tasks start, running ones finish.

        Raises:
            apierror.ApiError: As for `submit`; UnknownJobError if the job is
                not known.
        """
        request = Request("DELETE", f"/v1/jobs/{jobkey.check_key(key)}", key)
        return await self.call(request, CONTROL_TIMEOUT_S, keep_request)

    async def call(
        self,
        request: Request,
        wait_s: float,
        amend: Callable[[Request, apierror.ApiError], Request],
    ) -> JobStatus | Outcome:
        """Makes attempts until one succeeds or no retry is allowed."""
        call = Call(time.monotonic() + wait_s)
        while True:
            try:
                result = await self.attempt(request, call)
            except apierror.ApiError as error:
                if request.at_most_once and error.may_have_started:
                    raise
                await self.pause(call, error)
                request = amend(request, error)
            else:
                self.budget.record_success()
                return result

    async def pause(self, call: Call, error: apierror.ApiError) -> None:
        """Waits before the next attempt, or raises the error if none is due."""
        call.failures += 1
        call.may_have_started |= error.may_have_started
        error.may_have_started = call.may_have_started
        if not error.retryable:
            raise error
        await self.sleep(self.pause_s(call, error), call, error)
        while not self.budget.take(time.monotonic()):
            await self.sleep(BUDGET_PAUSE_S, call, error)

    def pause_s(self, call: Call, error: apierror.ApiError) -> float:
        """Returns how long to wait before the next attempt."""
        if error.retry_after_s > 0.0:
            factor = self.rng.uniform(1.0, MAX_RETRY_AFTER_FACTOR)
            return error.retry_after_s * factor
        return retry.backoff_s(call.failures, self.rng)

    async def sleep(
        self, delay_s: float, call: Call, error: apierror.ApiError
    ) -> None:
        """Sleeps, or raises the error if the call would time out meanwhile."""
        if time.monotonic() + delay_s >= call.give_up_s:
            raise error
        await asyncio.sleep(delay_s)

    async def attempt(
        self, request: Request, call: Call
    ) -> JobStatus | Outcome:
        """Sends the request to one entry and returns its validated answer."""
        url = self.endpoints.next(time.monotonic())
        try:
            response = await self.fetch(url, request, call)
        except ConnectionRefusedError as error:
            self.avoid(url)
            raise connection_lost(url, error, may_have_started=False) from None
        except (OSError, httpclient.HTTPError) as error:
            self.avoid(url)
            started = request.starts_tasks and not is_unsent(error)
            raise connection_lost(url, error, started) from None
        return read_response(url, request, response)

    def avoid(self, url: str) -> None:
        """Skips an endpoint for `avoid_s`."""
        until_s = time.monotonic() + self.settings.avoid_s
        self.endpoints.avoid(url, until_s)

    async def fetch(
        self, url: str, request: Request, call: Call
    ) -> httpclient.HTTPResponse:
        """Sends the request to one entry and returns its response."""
        left_s = max(0.001, call.give_up_s - time.monotonic())
        attempt_s = min(left_s, self.settings.attempt_s)
        return await self.http.fetch(
            url + request.path,
            raise_error=False,
            method=request.method,
            body=request.body(),
            headers={
                "Authorization": f"Bearer {self.settings.token}",
                "Content-Type": "application/json",
            },
            follow_redirects=False,
            connect_timeout=min(left_s, self.settings.connect_s),
            request_timeout=left_s if request.at_most_once else attempt_s,
        )


def is_unsent(error: Exception) -> bool:
    """Whether an attempt timed out before its request was sent."""
    is_timeout = isinstance(error, simple_httpclient.HTTPTimeoutError)
    return is_timeout and "during request" not in str(error)


def connection_lost(
    url: str, cause: object, may_have_started: bool
) -> apierror.ConnectionLostError:
    """Returns the error for an attempt that got no complete answer."""
    return apierror.ConnectionLostError(
        f"no complete answer from {url}: {cause}",
        "submit again with the same key",
        may_have_started=may_have_started,
    )


def read_response(
    url: str, request: Request, response: httpclient.HTTPResponse
) -> JobStatus | Outcome:
    """Returns the validated job status or outcome in a response.

    Raises:
        apierror.ApiError: It is an error response or malformed.
    """
    starts_tasks = request.starts_tasks
    try:
        body = json.loads(response.body)
    except ValueError:
        body = None
    if response.code >= 300:
        error = apierror.from_body(response.code, body)
        error.may_have_started &= starts_tasks
        raise error
    try:
        if request.single is not None:
            return callerjob.parse_outcome(body)
        return check_status(request, callerjob.parse_status(body))
    except (KeyError, TypeError, ValueError) as error:
        raise connection_lost(url, error, starts_tasks) from None


class Client:
    """Submits jobs from a program without an event loop, one at a time.

    Attributes:
        loop: The client's own event loop.
        client: The asynchronous client that runs on it.
    """

    def __init__(self, settings: ClientSettings):
        self.loop = ioloop.IOLoop(make_current=False)
        self.client = AsyncClient(settings)

    def start(self) -> None:
        """Opens the HTTP client."""

        async def start_client():
            self.client.start()

        self.loop.run_sync(start_client)

    def close(self) -> None:
        """Closes the HTTP client and the event loop."""
        self.client.close()
        self.loop.close()

    def submit(self, job: Job, rekey: bool = False) -> JobAnswer:
        """Submits a job and waits for its answer; see `AsyncClient.submit`."""
        return self.loop.run_sync(lambda: self.client.submit(job, rekey))

    def request(self, single: SingleRequest) -> Outcome:
        """Sends a single request and waits; see `AsyncClient.request`."""
        return self.loop.run_sync(lambda: self.client.request(single))

    def status(self, key: str) -> JobStatus:
        """Returns the state of a job; see `AsyncClient.status`."""
        return self.loop.run_sync(lambda: self.client.status(key))

    def cancel(self, key: str) -> JobStatus:
        """Cancels a job; see `AsyncClient.cancel`."""
        return self.loop.run_sync(lambda: self.client.cancel(key))
