"""HTTP towards callers, and the readiness check of the balancer."""

import asyncio
import math
import re
from collections.abc import Awaitable

import orjson
import tornado.web

from egretthread import clock, logs
from egretthread.platform import bodies, listener
from egretthread.scheduling.entryboard import Answer, Job, Outcome, TaskState
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
# How long the caller waits for a response.
PATIENCE_HEADER = "X-Egretthread-Deadline-Ms"
# Body limit of the HTTP server; the configuration's is checked besides.
MAX_BODY_BYTES = 4 * 2**20
MAX_PAYLOAD_BYTES = 4000
MAX_TASKS = 10_000
MAX_STEPS = 100
# Connections without a request are closed after this, in seconds. It is far
# above the time that callers keep one, so that no request meets a closing one.
IDLE_S = 120.0
# Part of a caller's patience that is left for the answer on its way.
ANSWER_S = 0.1
# Features of a step that are not built yet; a job that asks for one is
# refused.
UNSUPPORTED = (
    "checkpointing",
    "gang",
    "same_rack",
    "allow_duplicates",
    "long_running",
    "fills",
    "may_miss",
    "target_ms",
)
# Status of each outcome. 502 and 504 let the caller submit the job again;
# 429 and 503 say that nothing of it has run.
STATUS = {
    Outcome.COMPLETED: 200,
    Outcome.FAILED: 200,
    Outcome.REFUSED: 503,
    Outcome.GIVEN_UP: 504,
    Outcome.CANCELLED: 504,
}


def decode_job(job: str, body: bytes) -> JobSpec:
    """Returns the job in a submission.

    Raises:
        bodies.BodyError: The body does not have its form.
    """
    table = bodies.parse(body)
    rows = bodies.field(table, "steps", list)
    if not 1 <= len(rows) <= MAX_STEPS:
        raise bodies.BodyError(
            f"steps holds {len(rows)} steps", f"give 1 to {MAX_STEPS}"
        )
    steps = tuple(_step(number, row) for number, row in enumerate(rows))
    if sum(step.count for step in steps) > MAX_TASKS:
        raise bodies.BodyError(
            "the job is too large", f"give {MAX_TASKS} tasks at most"
        )
    payload = bodies.field(table, "task_spec", str)
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise bodies.BodyError(
            "task_spec is too long", f"give {MAX_PAYLOAD_BYTES} bytes at most"
        )
    return JobSpec(
        job,
        payload,
        steps,
        kept=not bodies.field(table, "best_effort", bool, False),
        times=bodies.count(table, "times", 0),
    )


def _step(number: int, row: object) -> StepSpec:
    if not isinstance(row, dict):
        raise bodies.BodyError("a step is no object", "give objects in steps")
    after = tuple(bodies.field(row, "after", list, []))
    if not all(type(item) is int and 0 <= item < number for item in after):
        raise bodies.BodyError(
            f"step {number} comes after {after}",
            "name numbers of earlier steps",
        )
    tasks = bodies.count(row, "count", 0)
    if tasks < 1:
        raise bodies.BodyError(f"step {number} has no task", "give a count")
    return StepSpec(
        count=tasks,
        room=bodies.room(row),
        estimated_s=bodies.count(row, "estimated_ms", 0) / 1000,
        after=after,
        required_label=bodies.field(row, "required_label", str, ""),
        data_rack=bodies.field(row, "data_rack", str, ""),
        max_per_server=bodies.count(row, "max_per_server", 0),
        unsupported=tuple(name for name in UNSUPPORTED if row.get(name)),
    )


def patience_s(text: str | None, route: Route) -> float:
    """Returns how long a caller waits for its response."""
    try:
        wait_s = float(text or "") / 1000
    except ValueError:
        wait_s = route.timeout_s
    return wait_s if wait_s > 0 else route.timeout_s


class CallerHandler(tornado.web.RequestHandler):
    """Serves callers.

    Attributes:
        server: The entry.
        log: The log of kept jobs.
        job: Id of the job that the caller waits for; empty when none.
        waiter: Gives the job's answer.
    """

    def initialize(self, server: EntryServer, log: JobLog) -> None:
        """Keeps the entry and the log of kept jobs."""
        self.server = server
        self.log = log
        self.job = ""
        self.waiter: asyncio.Future | None = None

    def on_connection_close(self) -> None:
        """Stops the job of a caller that has left."""
        if self.waiter is not None and not self.waiter.done():
            self.server.remove_waiter(self.job, self.waiter)
            self.waiter.cancel()

    async def prepare(self) -> None:
        """Refuses what comes too early, and headers that are too long."""
        if not await self.server.wait_until_configured():
            self.refuse(503, "no configuration yet", 1.0)
            return
        headers = self.request.headers.get_all()
        length = sum(len(name) + len(value) + 4 for name, value in headers)
        if length > self.server.board.operator_state.limits.max_header_bytes:
            self.refuse(431, "the header is too long")

    def route(self) -> tuple[Route, str] | None:
        """Returns the route and the rest of the path; answers when none."""
        operators = self.server.board.operator_state
        host = self.request.host.partition(":")[0].lower()
        route = find_route(operators, host, self.request.path)
        if route is None:
            self.refuse(404, "no such queue")
            return None
        return route, self.request.path[len(route.path_prefix) :]

    def job_route(self) -> Route | None:
        """Returns the route when the path names a job; answers otherwise."""
        found = self.route()
        if found is None:
            return None
        route, rest = found
        if not JOB_ID.fullmatch(rest):
            self.refuse(400, "the path names no job")
            return None
        self.job = rest
        return route

    async def post(self) -> None:
        """Submits a job and answers at its end."""
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
        why = _unsupported(spec)
        if why:
            logs.warning("job_unsupported", job=self.job, feature=why)
            self.refuse(503, f"{why} is not supported", 10.0)
            return
        wait_s = patience_s(self.request.headers.get(PATIENCE_HEADER), route)
        if spec.kept:
            submission = Submission(spec, route, clock.unix_s())
            if await self.stored(self.log.submit(submission), wait_s):
                self.reply(200, {"state": "queued"})
            return
        self.waiter = self.server.submit(spec, route, wait_s)
        try:
            answer = await self.waiter
        except asyncio.CancelledError:
            # The caller has left; there is nobody to answer.
            return
        self.answer(answer)

    async def stored(self, writing: Awaitable[None], wait_s: float) -> bool:
        """Waits until a record is on the store; answers when it is not.

        Args:
            writing: Ends once it is.
            wait_s: How long the caller waits.
        """
        if self.server.is_drained:
            self.refuse(503, "shutting down", 1.0)
            return False
        try:
            async with asyncio.timeout(max(0.0, wait_s - ANSWER_S)):
                await writing
        except StoreRefusedError as error:
            self.refuse(503, error.message, 1.0)
            return False
        except TimeoutError:
            # It may be on the store: only asking again shows.
            self.refuse(504, "the store does not answer", 1.0)
            return False
        return True

    async def get(self) -> None:
        """Tells the state of a job, or of its queue."""
        found = self.route()
        if found is None:
            return
        route, rest = found
        if not rest:
            count = self._pending(route) + self.server.pending_kept_jobs(
                route.name
            )
            self.reply(200, {"pending_jobs": count})
            return
        self.job = rest
        state = await self.job_state()
        if state:
            self.reply(200, {"state": state})

    async def delete(self) -> None:
        """Cancels a job."""
        route = self.job_route()
        if route is None:
            return
        job = self.server.board.jobs.get(self.job)
        if job is not None and not job.spec.kept:
            self.server.cancel(self.job, "cancelled by its caller")
            self.reply(200, {"state": "cancelled"})
            return
        if not await self.job_state():
            return
        wait_s = patience_s(self.request.headers.get(PATIENCE_HEADER), route)
        if await self.stored(self.log.cancel(self.job), wait_s):
            self.reply(200, {"state": "cancelled"})

    async def job_state(self) -> str:
        """Returns the state of a job; answers when there is none."""
        job = self.server.board.jobs.get(self.job)
        if job is not None and not job.spec.kept:
            return "running" if _has_started(job) else "queued"
        is_known, state = await self.server.job_state(self.job)
        try:
            if not is_known:
                state = await self.log.state(self.job)
        except StoreUnavailableError as error:
            self.refuse(503, error.message, 1.0)
            return ""
        if not state:
            self.refuse(410, "no such job")
        return state

    def _pending(self, route: Route) -> int:
        return sum(
            job.route.name == route.name
            and not job.spec.kept
            and not _has_started(job)
            for job in self.server.board.jobs.values()
        )

    def answer(self, answer: Answer) -> None:
        """Writes the answer to a submission."""
        status = STATUS[answer.outcome]
        if status == 200:
            self.reply(200, {"state": answer.outcome.value})
        else:
            self.refuse(status, answer.reason, answer.retry_after_s)

    def refuse(self, status: int, reason: str, retry_s: float = 0.0) -> None:
        """Writes an error."""
        if retry_s:
            self.set_header("Retry-After", str(math.ceil(retry_s)))
        self.reply(status, {"error": reason})

    def reply(self, status: int, table: dict) -> None:
        """Writes a response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if self.server.board.is_closing:
            self.set_header("Connection", "close")
        self.finish(orjson.dumps(table))


def _unsupported(spec: JobSpec) -> str:
    """Returns the feature that a job asks for in vain; empty when none."""
    if spec.times:
        return "times"
    for step in spec.steps:
        if step.unsupported:
            return step.unsupported[0]
    return ""


def _has_started(job: Job) -> bool:
    return any(
        task.state not in (TaskState.BLOCKED, TaskState.WAITING)
        for tasks in job.tasks
        for task in tasks
    )


class ReadyHandler(tornado.web.RequestHandler):
    """Answers the balancer's readiness check."""

    def initialize(self, server: EntryServer, log: JobLog) -> None:
        """Keeps the entry."""
        self.server = server

    def get(self) -> None:
        """Answers 200 while callers should be sent here, else 503."""
        self.set_status(200 if self.server.is_ready() else 503)
        self.finish()


def listen(address: str, handler: type, server: EntryServer, log: JobLog):
    """Returns an HTTP server that listens at an address."""
    return listener.listen(
        address,
        [(r".*", handler, {"server": server, "log": log})],
        max_body_size=MAX_BODY_BYTES,
        idle_connection_timeout=IDLE_S,
    )
