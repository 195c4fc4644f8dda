"""Tests of the HTTP interface for callers, with a scripted entry."""

import asyncio
import dataclasses
import json

import testtools
import tornado.httpclient
import tornado.httpserver
import tornado.netutil

from egretthread import accesskey, callerapi, outcome, submission
from tests import world
from tests.aio import run_async

OVERLOADED = submission.Refusal(
    "overloaded", "too many tasks wait", "retry later", retry_after_s=1.5
)


class ScriptedEntry:
    """Accepts every submission and gives each the same result.

    Attributes:
        board: Stands for the entry's board; holds the configuration.
        result: Result of every submission.
        submissions: The jobs and single requests that were submitted.
    """

    def __init__(self, configuration, result):
        self.board = self
        self.configuration = configuration
        self.result = result
        self.submissions = []

    def request(self, submission):
        """Accepts a single request or a job."""
        self.submissions.append(submission)
        waiter = asyncio.get_running_loop().create_future()
        waiter.set_result(self.result)
        return waiter

    submit = request


class CallerApiTest(testtools.TestCase):
    def start(self, result):
        token, key = accesskey.make("dublin", "first")
        base = world.CONFIGURATION
        first = dataclasses.replace(base.organisations[0], access_keys=(key,))
        configuration = dataclasses.replace(
            base, organisations=(first, base.organisations[1])
        )
        entry = ScriptedEntry(configuration, result)
        server = tornado.httpserver.HTTPServer(callerapi.application(entry))
        (socket,) = tornado.netutil.bind_sockets(0, "127.0.0.1")
        server.add_sockets([socket])
        http = tornado.httpclient.AsyncHTTPClient(force_instance=True)
        self.stack.push_async_callback(server.close_all_connections)
        self.stack.callback(server.stop)
        self.stack.callback(http.close)
        url = f"http://127.0.0.1:{socket.getsockname()[1]}"

        async def post(path, body, token=token):
            response = await http.fetch(
                url + path,
                method="POST",
                body=json.dumps(body),
                headers={"Authorization": f"Bearer {token}"},
                raise_error=False,
            )
            return response.code, json.loads(response.body)

        return entry, post

    @run_async
    async def test_single_request_gets_its_outcome(self):
        entry, post = self.start(outcome.done('{"n": 1}'))
        body = {"service": world.SERVICE, "payload": [1], "idempotent": True}
        answer = await post("/v1/requests", body)
        self.assertEqual((200, {"outcome": "done", "result": {"n": 1}}), answer)
        (single,) = entry.submissions
        self.assertEqual(
            ("dublin", "[1]", True),
            (single.organisation, single.task.payload, single.idempotent),
        )

    @run_async
    async def test_overload_states_retry_time_and_that_nothing_started(self):
        _, post = self.start(OVERLOADED)
        job = {
            "key": "1796336037123-a",
            "service": world.SERVICE,
            "tasks": [{"payload": 1}],
        }
        single = {"service": world.SERVICE, "payload": 1}
        for path, body in (("/v1/jobs", job), ("/v1/requests", single)):
            status, answer = await post(path, body)
            self.assertEqual(429, status)
            self.assertEqual(1.5, answer["retry_after_s"])
            self.assertFalse(answer["started_by_this_request"])

    @run_async
    async def test_faults_are_listed_and_nothing_is_submitted(self):
        entry, post = self.start(OVERLOADED)
        for path in ("/v1/jobs", "/v1/requests"):
            status, answer = await post(path, {"service": 1})
            self.assertEqual((400, "bad_request"), (status, answer["kind"]))
            self.assertTrue(len(answer["faults"]) >= 2)
        self.assertEqual([], entry.submissions)

    @run_async
    async def test_wrong_keys_are_refused_alike(self):
        entry, post = self.start(OVERLOADED)
        for token in ("", "dublin", "dublin.wrong", "nobody.wrong"):
            status, answer = await post("/v1/jobs", {}, token)
            self.assertEqual((401, "unauthorised"), (status, answer["kind"]))
        self.assertEqual([], entry.submissions)
