"""HTTP API for callers, and the readiness check of the load balancer."""

import asyncio
import functools
import math
import re
import socket
from collections.abc import Awaitable, Callable

import orjson
import tornado.web

from egretthread import clock, intake, logs
from egretthread.platform import bodies, listener
from egretthread.scheduling.caller import Caller
from egretthread.scheduling.entryboard import (
    IDLE_STATES,
    Answer,
    Job,
    Outcome,
)
from egretthread.scheduling.entryserver import EntryServer
from egretthread.scheduling.joblog import JobLog
from egretthread.scheduling.jobrecord import Submission
from egretthread.scheduling.jobspec import (
    JobSpec,
    Route,
    StepSpec,
    find_route,
)
from egretthread.scheduling.storecall import (
    StoreRefusedError,
    StoreUnavailableError,
)

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
# How long the caller waits for the response, in ms.
DEADLINE_HEADER = "X-Egretthread-Deadline-Ms"
# Body limit until there is a configuration.
MAX_BODY_BYTES = 4 * 2**20
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 10_000
MAX_STEPS = 100
# Idle connections are closed after this time. It is far longer than callers
# keep an idle connection open, so that no request arrives on a connection that
# is being closed.
IDLE_TIMEOUT_S = 120.0
# Requests that were held for longer until there is a configuration are logged.
HELD_LOG_S = 0.1
# Features of a step that are not implemented yet. A job that requests one of
# them is refused.
UNSUPPORTED_FEATURES = (
    "checkpointing",
    "gang",
    "same_rack",
    "allow_duplicates",
    "long_running",
    "fills",
    "may_miss",
    "target_ms",
)
# HTTP status of each outcome. 502 and 504 allow the caller to submit the job
# again; 429 and 503 mean that no task of it has run.
STATUS_CODES = {
    Outcome.COMPLETED: 200,
    Outcome.FAILED: 200,
    Outcome.REFUSED: 503,
    Outcome.GIVEN_UP: 504,
    Outcome.CANCELLED: 504,
}


def decode_job(job: str, body: bytes) -> JobSpec:
    """Decodes the body of a submission.

    Raises:
        bodies.BodyError: The body is malformed.
    """
    table = bodies.parse(body)
    raw_steps = bodies.field(table, "steps", list)
    if not 1 <= len(raw_steps) <= MAX_STEPS:
        raise bodies.BodyError(
            f"steps holds {len(raw_steps)} steps",
            f"give 1 to {MAX_STEPS} steps",
        )
    steps = tuple(
        _decode_step(number, raw_step)
        for number, raw_step in enumerate(raw_steps)
    )
    if sum(step.count for step in steps) > MAX_TASKS:
        raise bodies.BodyError(
            "the job has too many tasks", f"give at most {MAX_TASKS} tasks"
        )
    payload = bodies.field(table, "task_spec", str)
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise bodies.BodyError(
            "task_spec is too long", f"give at most {MAX_PAYLOAD_BYTES} bytes"
        )
    return JobSpec(
        job,
        payload,
        steps,
        kept=not bodies.field(table, "best_effort", bool, False),
        times=bodies.count(table, "times", 0),
    )


def _decode_step(number: int, step: object) -> StepSpec:
    if not isinstance(step, dict):
        raise bodies.BodyError(
            f"step {number} is not an object", "give a JSON object per step"
        )
    after = tuple(bodies.field(step, "after", list, []))
    if not all(
        type(earlier) is int and 0 <= earlier < number for earlier in after
    ):
        raise bodies.BodyError(
            f"step {number} has after={after}",
            "list only numbers of earlier steps in after",
        )
    task_count = bodies.count(step, "count", 0)
    if task_count < 1:
        raise bodies.BodyError(
            f"step {number} has no tasks", "give a count of 1 or more"
        )
    return StepSpec(
        count=task_count,
        room=bodies.room(step),
        estimated_s=bodies.count(step, "estimated_ms", 0) / 1000,
        after=after,
        required_label=bodies.field(step, "required_label", str, ""),
        data_rack=bodies.field(step, "data_rack", str, ""),
        max_per_server=bodies.count(step, "max_per_server", 0),
        unsupported=tuple(
            name for name in UNSUPPORTED_FEATURES if step.get(name)
        ),
    )


def decode_wait_limit_s(text: str | None, route: Route) -> float:
    """Returns how long a caller waits for its response.

    Args:
        text: Value of DEADLINE_HEADER, if the request has it.
        route: The route, whose timeout applies if the header is missing or
            not a positive, finite number.
    """
    wait_limit_s = _decode_header_s(text)
    return route.timeout_s if math.isinf(wait_limit_s) else wait_limit_s


def _decode_header_s(text: str | None) -> float:
    """Returns the value of DEADLINE_HEADER in s; infinite if there is none."""
    try:
        wait_limit_s = float(text or "") / 1000
    except ValueError:
        return math.inf
    is_valid = math.isfinite(wait_limit_s) and wait_limit_s > 0
    return wait_limit_s if is_valid else math.inf


class CallerHandler(tornado.web.RequestHandler):
    """Handles the requests of callers.

    Attributes:
        server: The entry.
        log: The log of kept jobs.
        job: Id of the job in the path; empty if there is none.
        waiter: Future of the answer to the submitted job.
        received_s: Monotonic time at which the request arrived.
    """

    def initialize(self, server: EntryServer, log: JobLog) -> None:
        """Stores the entry and the log of kept jobs."""
        self.server = server
        self.log = log
        self.job = ""
        self.waiter: asyncio.Future | None = None
        self.server.open_requests += 1
        last_data_age_s = listener.last_data_age_s(
            self.request.connection.stream
        )
        self.received_s = clock.monotonic_s() - last_data_age_s

    def on_finish(self) -> None:
        """Counts the request as answered."""
        self.server.open_requests -= 1

    def on_connection_close(self) -> None:
        """Cancels the job of a caller that has disconnected."""
        if self.waiter is not None and not self.waiter.done():
            self.server.remove_waiter(self.job, self.waiter)
            self.waiter.cancel()

    async def prepare(self) -> None:
        """Refuses requests before startup is complete and oversize headers."""
        is_configured = await self.server.wait_until_configured(self.caller())
        held_s = clock.monotonic_s() - self.received_s
        if held_s > HELD_LOG_S:
            logs.info(
                "request_held",
                path=self.request.path,
                held_s=held_s,
                caller_left=self.has_left(),
                configured=is_configured,
            )
        if not is_configured:
            self.refuse(503, "no configuration yet", 1.0)
            return
        headers = self.request.headers.get_all()
        length = sum(len(name) + len(value) + 4 for name, value in headers)
        if length > self.server.board.operator_state.limits.max_header_bytes:
            self.refuse(431, "the header is too long")

    def has_left(self) -> bool:
        """Whether the caller has disconnected, also if that is unread."""
        return listener.is_closed_by_peer(self.request.connection.stream)

    def caller(self, route: Route | None = None) -> Caller:
        """Returns the caller of this request.

        Args:
            route: The route, once it is known.
        """
        text = self.request.headers.get(DEADLINE_HEADER)
        if route is None:
            wait_limit_s = _decode_header_s(text)
        else:
            wait_limit_s = decode_wait_limit_s(text, route)
        return Caller(self.received_s, wait_limit_s, self.has_left)

    def route(self) -> tuple[Route, str] | None:
        """Returns the route and the rest of the path.

        If no route matches, it sends an error response and returns None.
        """
        operator_state = self.server.board.operator_state
        host = self.request.host.partition(":")[0].lower()
        route = find_route(operator_state, host, self.request.path)
        if route is None:
            self.refuse(404, "no such queue")
            return None
        return route, self.request.path[len(route.path_prefix) :]

    def job_route(self) -> Route | None:
        """Returns the route of a path that ends in a job id.

        For any other path, it sends an error response and returns None.
        """
        found = self.route()
        if found is None:
            return None
        route, rest = found
        if not JOB_ID.fullmatch(rest):
            self.refuse(400, "the path must end in a job id of 16 hex digits")
            return None
        self.job = rest
        return route

    async def post(self) -> None:
        """Submits a job.

        A kept job is answered once it is stored, any other job at its end.
        """
        route = self.job_route()
        if route is None:
            return
        if (
            len(self.request.body)
            > self.server.board.operator_state.limits.max_body_bytes
        ):
            self.refuse(413, "the body is too long")
            return
        try:
            spec = decode_job(self.job, self.request.body)
        except bodies.BodyError as error:
            self.refuse(400, str(error))
            return
        feature = _unsupported_feature(spec)
        if feature:
            logs.warning("job_unsupported", job=self.job, feature=feature)
            self.refuse(503, f"{feature} is not supported", 10.0)
            return
        caller = self.caller(route)
        if spec.kept:
            submission = Submission(spec, route, clock.unix_s())
            if await self.wait_until_stored(
                functools.partial(self.log.submit, submission, caller)
            ):
                self.reply(200, {"state": "queued"})
            return
        self.waiter = self.server.submit(spec, route, caller)
        try:
            answer = await self.waiter
        except asyncio.CancelledError:
            # The caller has disconnected, so there is no one to respond to.
            return
        self.answer(answer)

    async def wait_until_stored(
        self, write: Callable[[], Awaitable[None]]
    ) -> bool:
        """Waits until a record is stored.

        If it is not, it sends an error response and returns False.

        Args:
            write: Stores the record, and returns once it is stored.
        """
        if self.server.is_drained:
            self.refuse(503, "shutting down", 1.0)
            return False
        try:
            await write()
        except StoreRefusedError as error:
            self.refuse(503, error.message, 1.0)
            return False
        except (StoreUnavailableError, TimeoutError):
            # The record may be stored; the caller finds out by retrying.
            self.refuse(504, "the store does not answer", 1.0)
            return False
        return True

    async def get(self) -> None:
        """Returns the state of a job, or the pending jobs of a route."""
        found = self.route()
        if found is None:
            return
        route, rest = found
        if not rest:
            count = self._pending_jobs(route) + self.server.pending_kept_jobs(
                route.name
            )
            self.reply(200, {"pending_jobs": count})
            return
        self.job = rest
        state = await self.job_state(self.caller(route))
        if state == "":
            self.refuse(410, "no such job")
        elif state:
            self.reply(200, {"state": state})

    async def delete(self) -> None:
        """Cancels a job."""
        route = self.job_route()
        if route is None:
            return
        caller = self.caller(route)
        if self.server.cancel_open(self.job):
            self.server.announce_cancellation(self.job)
            self.reply(200, {"state": "cancelled"})
            return
        state = await self.job_state(caller)
        if state is None:
            return
        if not state and await self.server.cancel_elsewhere(self.job):
            self.reply(200, {"state": "cancelled"})
            return
        # Without a state, its submission may still be on its way.
        if not await self.wait_until_stored(
            functools.partial(self.log.cancel, self.job, route, caller)
        ):
            return
        if state:
            self.reply(200, {"state": "cancelled"})
        else:
            self.refuse(410, "no such job")

    async def job_state(self, caller: Caller) -> str | None:
        """Returns the state of a job; empty when there is no such job.

        If it cannot be determined while the caller waits, it sends an error
        response and returns None.
        """
        job = self.server.board.jobs.get(self.job)
        if job is not None and not job.spec.kept:
            return "running" if _has_started(job) else "queued"
        try:
            async with asyncio.timeout(caller.left_s(clock.monotonic_s())):
                state = await self.log.state(self.job)
        except StoreUnavailableError as error:
            self.refuse(503, error.message, 1.0)
        except TimeoutError:
            self.refuse(503, "the state is not known in time", 1.0)
        else:
            return state
        return None

    def _pending_jobs(self, route: Route) -> int:
        return sum(
            job.route.name == route.name
            and not job.spec.kept
            and not _has_started(job)
            for job in self.server.board.jobs.values()
        )

    def answer(self, answer: Answer) -> None:
        """Sends the response to a submission."""
        status = STATUS_CODES[answer.outcome]
        if status == 200:
            self.reply(200, {"state": answer.outcome.value})
        else:
            self.refuse(status, answer.reason, answer.retry_after_s)

    def refuse(self, status: int, reason: str, retry_s: float = 0.0) -> None:
        """Sends an error response."""
        if retry_s:
            self.set_header("Retry-After", str(math.ceil(retry_s)))
        self.reply(status, {"error": reason})

    def reply(self, status: int, table: dict) -> None:
        """Sends a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if self.server.board.is_shutting_down:
            self.set_header("Connection", "close")
        self.finish(orjson.dumps(table))


def _unsupported_feature(spec: JobSpec) -> str:
    """Returns an unsupported feature that a job requests, or an empty text."""
    if spec.times:
        return "times"
    for step in spec.steps:
        if step.unsupported:
            return step.unsupported[0]
    return ""


def _has_started(job: Job) -> bool:
    return any(
        task.state not in IDLE_STATES for tasks in job.tasks for task in tasks
    )


class ReadyHandler(tornado.web.RequestHandler):
    """Answers the readiness check of the load balancer."""

    def initialize(self, server: EntryServer, log: JobLog) -> None:
        """Stores the entry."""
        self.server = server

    def get(self) -> None:
        """Responds 200 while the entry accepts callers, 503 otherwise."""
        self.set_status(200 if self.server.is_ready() else 503)
        self.finish()


def serve(listening: socket.socket, server: EntryServer, log: JobLog):
    """Starts the HTTP server for callers."""

    def body_limit() -> int:
        state = server.board.operator_state
        if state.is_configured:
            return state.limits.max_body_bytes
        return MAX_BODY_BYTES

    return listener.serve(
        listening,
        [(r".*", CallerHandler, {"server": server, "log": log})],
        limits=server.settings.intake,
        body_limit=body_limit,
        counters=server.board.counters,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )


def serve_readiness(listening: socket.socket, server: EntryServer, log: JobLog):
    """Starts the HTTP server for readiness checks."""
    return listener.serve(
        listening,
        [(r".*", ReadyHandler, {"server": server, "log": log})],
        limits=intake.SMALL_LIMITS,
        body_limit=lambda: intake.SMALL_BODY_BYTES,
        counters=server.board.counters,
        idle_connection_timeout=IDLE_TIMEOUT_S,
    )
