"""HTTP interface of an entry for callers."""

import asyncio
from collections.abc import Callable

import orjson
import tornado.web

from egretthread import accesskey, jobform, jobkey, util
from egretthread.config import Organisation
from egretthread.jobkey import JobRef
from egretthread.outcome import JobAnswer, Outcome, OutcomeKind
from egretthread.submission import Refusal

BEARER = "Bearer "
# HTTP status of each kind of refusal; all other kinds are answered with 503.
STATUS_BY_KIND = {
    "bad_request": 400,
    "bad_job_key": 400,
    "unauthorised": 401,
    "unknown_service": 404,
    "unknown_job": 404,
    "key_conflict": 409,
    "key_expired": 410,
    "key_in_future": 425,
    "quota_exceeded": 429,
    "overloaded": 429,
    "unavailable": 503,
    "shard_unavailable": 503,
    "deadline_exceeded": 503,
}


class CallerHandler(tornado.web.RequestHandler):
    """Base class of the handlers: checks access keys, writes error bodies."""

    def initialize(self, entry):
        """Stores the server object of the entry."""
        self.entry = entry

    def set_default_headers(self):
        """Sets the JSON content type and omits the name of the HTTP server."""
        self.clear_header("Server")
        self.set_header("Content-Type", "application/json")

    def organisation(self) -> Organisation | None:
        """Returns the caller's organisation, or answers with an error."""
        configuration = self.entry.board.configuration
        if configuration is None:
            self.refuse(NOT_SERVING)
            return None
        header = self.request.headers.get("Authorization", "")
        token = header.removeprefix(BEARER)
        organisation = accesskey.verify(configuration, token)
        if organisation is None:
            self.refuse(UNAUTHORISED)
        return organisation

    def refuse(self, refusal: Refusal, **extra) -> None:
        """Answers with a typed error body."""
        self.set_status(STATUS_BY_KIND.get(refusal.kind, 503))
        body = {
            "kind": refusal.kind,
            "message": refusal.message,
            "remedy": refusal.remedy,
            "started_by_this_request": refusal.started,
            **extra,
        }
        if refusal.retry_after_s:
            body["retry_after_s"] = round(refusal.retry_after_s, 3)
        self.finish(orjson.dumps(body))

    def job_ref(self, organisation: Organisation, key: str) -> JobRef | None:
        """Returns the job of a key; answers 400 if the key is malformed."""
        try:
            return JobRef(organisation.name, jobkey.check_key(key))
        except jobkey.JobKeyError as error:
            self.refuse(Refusal(error.kind, error.message, error.remedy))
            return None

    def parse_body(self, parse: Callable, organisation: Organisation):
        """Returns the parsed body; answers 400 if it holds faults."""
        try:
            return parse(
                self.request.body,
                organisation.name,
                self.entry.board.configuration,
            )
        except util.OptionError as error:
            faults = [str(fault) for fault in error.faults]
            refusal = Refusal("bad_request", error.message, error.remedy)
            self.refuse(refusal, faults=faults)
            return None

    async def answer(self, waiter: asyncio.Future, body: Callable) -> None:
        """Waits for a result and sends it, or the refusal in its place."""
        self.waiter = waiter
        try:
            result = await waiter
        except asyncio.CancelledError:
            return
        if isinstance(result, Refusal):
            self.refuse(result)
        else:
            self.finish(body(result))

    def on_connection_close(self):
        """Stops waiting for the answer; what was submitted is not cancelled."""
        waiter = getattr(self, "waiter", None)
        if waiter is not None:
            waiter.cancel()


NOT_SERVING = Refusal(
    "unavailable",
    "the entry has no configuration yet",
    "submit again with the same key through another entry",
    retry_after_s=1.0,
)
UNAUTHORISED = Refusal(
    "unauthorised",
    "the access key is missing or not valid",
    "send Authorization: Bearer <organisation>.<secret> with a valid key",
)


class JobsHandler(CallerHandler):
    """Accepts jobs: POST /v1/jobs."""

    async def post(self):
        """Answers when the job has ended."""
        organisation = self.organisation()
        if organisation is None:
            return
        submission = self.parse_body(jobform.parse, organisation)
        if submission is not None:
            await self.answer(self.entry.submit(submission), answer_body)


class RequestsHandler(CallerHandler):
    """Accepts single requests: POST /v1/requests."""

    async def post(self):
        """Answers when the request has ended."""
        organisation = self.organisation()
        if organisation is None:
            return
        single = self.parse_body(jobform.parse_request, organisation)
        if single is not None:
            await self.answer(self.entry.request(single), outcome_body)


class JobHandler(CallerHandler):
    """Status and cancellation: GET and DELETE /v1/jobs/KEY."""

    async def get(self, key):
        """Answers with the job's state, and its answer if it has ended."""
        await self.look_up(key, cancel=False)

    async def delete(self, key):
        """Cancels the job: no more of its tasks start, running ones finish."""
        await self.look_up(key, cancel=True)

    async def look_up(self, key: str, cancel: bool) -> None:
        """Looks up the job at this entry or at its coordinator."""
        organisation = self.organisation()
        if organisation is None:
            return
        job = self.job_ref(organisation, key)
        if job is None:
            return
        found = await self.entry.look_up(job, cancel)
        if isinstance(found, Refusal):
            self.refuse(found)
        elif isinstance(found, JobAnswer):
            self.finish(answer_body(found))
        else:
            self.set_status(202 if cancel else 200)
            self.finish(orjson.dumps({"key": key, "state": found.value}))


def answer_body(answer: JobAnswer) -> bytes:
    """Returns the JSON text of a job's answer."""
    return orjson.dumps(
        {
            "key": answer.key,
            "state": "complete" if answer.complete else "failed",
            "tasks": [_task_body(outcome) for outcome in answer.outcomes],
        }
    )


def outcome_body(outcome: Outcome) -> bytes:
    """Returns the JSON text of a single request's outcome."""
    return orjson.dumps(_task_body(outcome))


def _task_body(outcome: Outcome) -> dict:
    if outcome.kind is OutcomeKind.DONE:
        return {"outcome": "done", "result": orjson.Fragment(outcome.result)}
    return {"outcome": outcome.kind.value, "reason": outcome.reason}


def application(entry) -> tornado.web.Application:
    """Returns the web application that serves an entry's callers."""
    context = {"entry": entry}
    return tornado.web.Application(
        [
            (r"/v1/jobs", JobsHandler, context),
            (r"/v1/requests", RequestsHandler, context),
            (r"/v1/jobs/([^/]+)", JobHandler, context),
        ],
        log_function=lambda handler: None,
    )
